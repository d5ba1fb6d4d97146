//! The catalog of the classes and tenants that requests can currently name.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::receipt::span;
use crate::config::Site;
use crate::interface::Effect;

/// Classes and tenants as the client side and the server side need them. Indices are never reused, so a request keeps its
/// class even if that is removed.
#[derive(Debug, Default)]
pub struct Catalog {
    /// Indices of the offered classes, by name.
    pub classes: HashMap<String, usize>,
    /// Indices of the tenants, by name.
    pub tenants: HashMap<String, usize>,
    /// Whether the requests of a class carry idempotency keys, by index.
    pub keyed: Vec<bool>,
    /// The deadlines of classes, by index.
    pub deadlines: Vec<Duration>,
    /// The names of all classes by index, including removed ones.
    pub class_names: Vec<String>,
    /// The names of the tenants by index; empty for removed ones.
    pub tenant_names: Vec<String>,
    /// How long clients keep an idle connection; `None` means without limit.
    pub idle_timeout: Option<Duration>,
}

impl Catalog {
    /// The catalog of a site, with or without recently removed classes.
    pub(super) fn of(site: &Site, with_retired: bool) -> Self {
        let offered = |index: usize| with_retired || !site.settings.classes[index].retired;
        let indices = |names: &[String]| -> HashMap<String, usize> {
            let named = names.iter().cloned().enumerate().filter(|(_, name)| !name.is_empty());
            named.map(|(index, name)| (name, index)).collect()
        };
        let mut classes = indices(&site.classes);
        classes.retain(|_, index| offered(*index));
        let idle_ms = Some(site.settings.idle_ms).filter(|ms| *ms > 0.0);
        Self {
            classes,
            tenants: indices(&site.tenants),
            keyed: site.settings.classes.iter().map(|class| class.effect == Effect::Keyed).collect(),
            deadlines: site.settings.classes.iter().map(|class| span(class.deadline_ms)).collect(),
            class_names: site.classes.clone(),
            tenant_names: site.tenants.clone(),
            idle_timeout: idle_ms.map(|ms| Duration::from_secs_f64(ms / 1000.0)),
        }
    }
}
