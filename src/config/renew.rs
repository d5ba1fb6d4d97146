//! What a file must hold to take the place of the one in force.

use serde_json::{Map, Value};

/// The path of a key that the file in force has and the new one lacks. A part of the whole is no configuration:
/// what it leaves out would fall back to values that nobody has chosen.
pub(super) fn lacks(in_force: &Value, new: &Value) -> Option<String> {
    match (in_force, new) {
        (Value::Object(old), Value::Object(new)) => {
            old.iter().find_map(|(name, old)| lacks_key(name, old, new))
        }
        // Lists may grow and shrink; each item is held to what all those in force have.
        (Value::Array(old), Value::Array(new)) => {
            let common = common(old)?;
            new.iter().find_map(|item| lacks(&common, item))
        }
        (Value::Object(_) | Value::Array(_), _) => Some(String::new()),
        _ => None,
    }
}

fn lacks_key(name: &str, old: &Value, new: &Map<String, Value>) -> Option<String> {
    let below = match new.get(name) {
        None | Some(Value::Null) if !old.is_null() => String::new(),
        None => return None,
        Some(new) => lacks(old, new)?,
    };
    Some(if below.is_empty() { name.to_owned() } else { format!("{name}.{below}") })
}

/// The keys that all objects of a list have, with the values of the first.
fn common(items: &[Value]) -> Option<Value> {
    let mut objects = items.iter().filter_map(Value::as_object);
    let mut common = objects.next()?.clone();
    objects.for_each(|other| common.retain(|name, _| other.contains_key(name)));
    Some(Value::Object(common))
}
