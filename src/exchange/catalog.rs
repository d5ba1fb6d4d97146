//! What requests can name just now.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::receipt::span;
use crate::config::Site;
use crate::interface::Effect;

/// Classes and tenants as both sides need them. Places are never used again, so that a request keeps its class
/// whatever becomes of it.
#[derive(Debug, Default)]
pub struct Catalog {
    /// Places of the classes that may be asked for, by name.
    pub classes: HashMap<String, usize>,
    /// Places of the tenants by name.
    pub tenants: HashMap<String, usize>,
    /// Whether classes carry keys, by place.
    pub keyed: Vec<bool>,
    /// The limits of classes, by place.
    pub deadlines: Vec<Duration>,
    /// The names of all classes by place, also of those that are gone.
    pub class_names: Vec<String>,
    /// The names of the tenants by place; those that are gone have none.
    pub tenant_names: Vec<String>,
    /// How long front ends keep an idle connection; absent where they may for good.
    pub idle_timeout: Option<Duration>,
}

impl Catalog {
    /// What a site offers, with classes that have just been dropped or without them.
    pub(super) fn of(site: &Site, with_retired: bool) -> Self {
        let offered = |at: usize| with_retired || !site.settings.classes[at].retired;
        let places = |names: &[String]| -> HashMap<String, usize> {
            let named = names.iter().cloned().enumerate().filter(|(_, name)| !name.is_empty());
            named.map(|(at, name)| (name, at)).collect()
        };
        let mut classes = places(&site.classes);
        classes.retain(|_, at| offered(*at));
        let idle_ms = Some(site.settings.idle_ms).filter(|ms| *ms > 0.0);
        Self {
            classes,
            tenants: places(&site.tenants),
            keyed: site.settings.classes.iter().map(|class| class.effect == Effect::Keyed).collect(),
            deadlines: site.settings.classes.iter().map(|class| span(class.deadline_ms)).collect(),
            class_names: site.classes.clone(),
            tenant_names: site.tenants.clone(),
            idle_timeout: idle_ms.map(|ms| Duration::from_secs_f64(ms / 1000.0)),
        }
    }
}
