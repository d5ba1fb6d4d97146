//! Reads the settings that a node is given at its start: path=value pairs, as text or flattened from JSON.

use std::collections::BTreeMap;
use std::str::FromStr;

use serde_json::Value;

use crate::interface::{Below, Class, Effect, Gauges, SayKind, Settings, Tenant};

/// What the settings tell beside the numbers of the decision module: names, in the order of its lists.
#[derive(Clone, Debug, Default)]
pub struct Site {
    /// The settings of the decision module.
    pub settings: Settings,
    /// The names of the gauges, in the order in which their values come.
    pub gauges: Vec<String>,
    /// The names of the classes.
    pub classes: Vec<String>,
    /// The names of the tenants.
    pub tenants: Vec<String>,
}

impl Site {
    /// The same site under new settings. What requests name keeps its place, so that open ones keep their class:
    /// a class that is gone is retired, a tenant that is gone loses its name.
    #[must_use]
    pub fn retuned(&self, new: Self) -> Self {
        let mut site = Self { classes: self.classes.clone(), tenants: self.tenants.clone(), ..new.clone() };
        let gone = |class: &Class| Class { retired: true, ..class.clone() };
        site.settings.classes = self.settings.classes.iter().map(gone).collect();
        place(&mut site.classes, &mut site.settings.classes, &new.classes, new.settings.classes);
        site.settings.tenants = self.settings.tenants.clone();
        for name in site.tenants.iter_mut().filter(|name| !new.tenants.contains(name)) {
            name.clear();
        }
        place(&mut site.tenants, &mut site.settings.tenants, &new.tenants, new.settings.tenants);
        site
    }
}

/// Puts items where their names are, or behind all others.
fn place<T>(names: &mut Vec<String>, items: &mut Vec<T>, new_names: &[String], new_items: Vec<T>) {
    for (name, item) in new_names.iter().zip(new_items) {
        match names.iter().position(|known| known == name) {
            Some(at) => items[at] = item,
            None => {
                names.push(name.clone());
                items.push(item);
            }
        }
    }
}

/// Settings by path.
#[derive(Default)]
pub struct Pairs(BTreeMap<String, String>);

impl Pairs {
    /// Reads one pair a line.
    ///
    /// # Errors
    /// Names the line that holds no pair.
    pub fn from_text(text: &str) -> Result<Self, String> {
        let mut map = BTreeMap::new();
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            let (key, value) = line.split_once('=').ok_or_else(|| format!("settings: no '=' in '{line}'"))?;
            map.insert(key.trim().to_owned(), value.trim().to_owned());
        }
        Ok(Self(map))
    }

    /// Flattens nested JSON into the same paths: lists of objects get a count and numbered items, lists of
    /// plain values are joined with commas.
    pub fn from_json(value: &Value) -> Self {
        let mut pairs = Self::default();
        pairs.flatten(String::new(), value);
        pairs
    }

    fn flatten(&mut self, path: String, value: &Value) {
        let below = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
        match value {
            Value::Null => {}
            Value::Object(fields) => fields.iter().for_each(|(name, v)| self.flatten(below(name), v)),
            Value::Array(items) if items.iter().all(|item| !item.is_object()) => {
                let items: Vec<String> = items.iter().map(plain).collect();
                self.0.insert(path, items.join(","));
            }
            Value::Array(items) => {
                self.0.insert(below("count"), items.len().to_string());
                items.iter().enumerate().for_each(|(i, v)| self.flatten(below(&i.to_string()), v));
            }
            _ => {
                self.0.insert(path, plain(value));
            }
        }
    }

    fn value<T: FromStr>(&self, key: &str, absent: T) -> Result<T, String> {
        match self.0.get(key) {
            None => Ok(absent),
            Some(text) => text.parse().map_err(|_| format!("setting {key}: '{text}' cannot be read")),
        }
    }
    fn number(&self, key: &str) -> Result<f64, String> {
        let number: f64 = self.value(key, 0.0)?;
        if number.is_finite() { Ok(number) } else { Err(format!("setting {key}: not a finite number")) }
    }
    fn list<T: FromStr>(&self, key: &str) -> Result<Vec<T>, String> {
        let text = self.0.get(key).map_or("", String::as_str);
        let items = text.split(',').filter(|item| !item.is_empty());
        items
            .map(|item| item.parse().map_err(|_| format!("setting {key}: '{item}' cannot be read")))
            .collect()
    }
    fn word<T: Copy>(&self, key: &str, absent: T, words: &[(&str, T)]) -> Result<T, String> {
        match self.0.get(key) {
            None => Ok(absent),
            Some(text) => words
                .iter()
                .find(|(word, _)| word == text)
                .map(|(_, meaning)| *meaning)
                .ok_or_else(|| format!("setting {key}: '{text}' is not known")),
        }
    }
}

/// The most classes or tenants that requests can name.
const LIST_LIMIT: usize = 65_536;

fn plain(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

/// The settings under the names that they have on the wire.
///
/// # Errors
/// Names the setting that cannot be read, and its value.
pub fn parse(pairs: &Pairs) -> Result<Site, String> {
    let info = |name: &str| pairs.number(&format!("family-info.{name}"));
    let count = |key: &str| -> Result<usize, String> {
        let n = pairs.value(key, 0usize)?;
        if n > LIST_LIMIT { Err(format!("setting {key}: {n} is too many")) } else { Ok(n) }
    };
    let calls: Vec<bool> = pairs.list("family-info.calls-by-class")?;
    let skips: Vec<f64> = pairs.list("family-info.degraded-worth")?;
    let effects = [("retryable", Effect::Safe), ("dedup", Effect::Keyed), ("fragile", Effect::Unsafe)];
    let name = |key: String| pairs.0.get(&key).cloned().unwrap_or_default();
    let (mut classes, mut class_names) = (Vec::new(), Vec::new());
    for i in 0..count("classes.count")? {
        let field = |name: &str| format!("classes.{i}.{name}");
        class_names.push(name(field("name")));
        classes.push(Class {
            aim_ms: pairs.number(&field("aim"))?,
            deadline_ms: pairs.number(&field("hard-limit"))?,
            worth: pairs.number(&field("worth"))?,
            late_worth: pairs.number(&field("late-worth"))?,
            effect: pairs.word(&field("effect"), Effect::Safe, &effects)?,
            window_ms: pairs.number(&field("repeat-window"))?,
            calls: calls.get(i).copied().unwrap_or(false),
            skip_worth: skips.get(i).copied().unwrap_or(0.0),
            retired: false,
        });
    }
    let (mut tenants, mut tenant_names) = (Vec::new(), Vec::new());
    for i in 0..count("tenants.count")? {
        tenant_names.push(name(format!("tenants.{i}.name")));
        tenants.push(Tenant { quota_per_s: pairs.number(&format!("tenants.{i}.quota-rps"))? });
    }
    let shared =
        Below::Shared { share: info("calls-out")?, span_ms: info("share-span")?, linger_ms: info("linger")? };
    let belows = [("off", Below::Nothing), ("shared", shared), ("tier", Below::Tier)];
    let says = [
        ("off", SayKind::Off),
        ("level", SayKind::Level),
        ("credit", SayKind::Credit),
        ("weight", SayKind::Weight),
    ];
    let advice = pairs.value("limits.retry-after", false)?;
    let settings = Settings {
        cores: pairs.value("family-info.cpus", 0)?,
        memory_kb: info("memory-kb")?,
        run_factor: info("blowup")?,
        key_kb: info("key-kb")?,
        classes,
        tenants,
        over_share_worth: pairs.number("over-share-worth")?,
        worth_by_work: pairs.word("counted-by", false, &[("work", true), ("request", false)])?,
        servers: pairs.value("servers", 0)?,
        callers: pairs.value("family-info.senders", 0)?,
        marks_further: pairs.value("clients.marks-retry", false)?,
        below: pairs.word("family-info.below", Below::Nothing, &belows)?,
        fresh_ms: info("fresh")?,
        say: pairs.word("family-info.say", SayKind::Off, &says)?,
        cold: pairs.value("family-info.just-started", false)?,
        cold_ms: pairs.number("rules.cold")?,
        cold_from: pairs.number("rules.cold-from")?,
        fall_multiple: pairs.number("rules.fall-multiple")?,
        drain_grace_ms: pairs.number("rules.drain-grace")?,
        answer_slack_ms: pairs.number("rules.answer-slack")?,
        idle_ms: info("idle")?,
        max_retry_after_ms: if advice { pairs.number("limits.max-retry-after")? } else { 0.0 },
    };
    let gauges = pairs.list("family-info.gauges")?;
    Ok(Site { settings, gauges, classes: class_names, tenants: tenant_names })
}

/// Names the gauges that came with a timer.
pub fn gauges(names: &[String], values: &[f32]) -> Gauges {
    let mut out = Gauges::default();
    for (name, value) in names.iter().zip(values) {
        let value = Some(f64::from(*value));
        match name.as_str() {
            "core_use" => out.core_use = value,
            "on_cores" => out.on_cores = value,
            _ => {}
        }
    }
    out
}
