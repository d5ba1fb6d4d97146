//! A partner's table and what is sent of it: the whole, or the differences from a version; read strictly and within bounds.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use imbl::OrdMap;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

use super::restrict::{MOST_NAMED, Restriction, Restrictions};
use super::route::{MOST_PATH, MOST_SERVERS, Match, Name, Route, Subjects};

/// Sites that parts of a route may have come through.
pub const MOST_THROUGH: usize = 64;

/// A table's version: the number of the duty under which it was told, and one that rises under it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// The duty's number.
    pub term: u64,
    /// Rises by each document under that number.
    pub serial: u64,
}

/// A table, or the differences from one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, JsonSchema)]
pub struct Document {
    /// Whose it is.
    pub site: Name,
    /// What the table is after it.
    pub version: Version,
    /// What it has to be before it; nothing where this is the whole table.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub from: Option<Version>,
    /// Routes of the table after it.
    pub count: usize,
    /// Those that are new or changed.
    pub routes: Vec<Arc<Route>>,
    /// Those that are withdrawn, by name.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub gone: Vec<Name>,
}

/// The same before its routes have been looked at.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Envelope {
    site: Name,
    version: Version,
    from: Option<Version>,
    count: usize,
    routes: Vec<serde_json::Map<String, Value>>,
    #[serde(default)]
    gone: Vec<Name>,
}

#[derive(Deserialize)]
struct Fields {
    name: Name,
    #[serde(rename = "match")]
    matches: Match,
    servers: BTreeSet<SocketAddr>,
    preference: u32,
    capacity: u64,
    path: Vec<Name>,
    #[serde(default)]
    through: BTreeSet<Name>,
    #[serde(default)]
    restrictions: Restrictions,
}

/// The fields of a route. One with further fields is newer, and is held under the tightest restrictions.
const FIELDS: [&str; 8] =
    ["name", "match", "servers", "preference", "capacity", "path", "through", "restrictions"];

/// What is wrong with what a partner sent.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("partner {partner}{}, {field}: {why}", route.as_ref().map_or(String::new(), |route| format!(", route {route}")))]
pub struct Fault {
    /// Who sent it.
    pub partner: Name,
    /// In which route; nothing where it is the document as a whole.
    pub route: Option<String>,
    /// In which field.
    pub field: String,
    /// Why it cannot be used.
    pub why: String,
}

/// A document that is turned down, with what in it is to be heeded all the same.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{fault}")]
pub struct Refused {
    /// What is wrong with it.
    pub fault: Box<Fault>,
    /// The restrictions of its routes that could be read: those held until now are kept under these as well.
    pub tightened: Vec<(Name, Restrictions)>,
    /// What it withdraws: no longer told to others.
    pub gone: Vec<Name>,
}

/// Requests that only some partners may announce routes for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Which requests.
    pub matches: Match,
    /// Whose routes count for them.
    pub to: BTreeSet<Name>,
}

/// What a partner is held to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Terms {
    /// The partner.
    pub partner: Name,
    /// This site.
    pub own: Name,
    /// Bytes of a document.
    pub bytes: usize,
    /// Routes of its table.
    pub routes: usize,
    /// How long its last good table is used after it, in ms.
    pub stale_ms: u64,
    /// What the operator's file gives to whom.
    pub grants: Vec<Grant>,
}

impl Terms {
    fn fault(&self, route: Option<&str>, field: &str, why: impl Into<String>) -> Fault {
        let route = route.map(str::to_owned);
        Fault { partner: self.partner.clone(), route, field: field.to_owned(), why: why.into() }
    }

    pub(super) fn refuse(&self, field: &str, why: impl Into<String>) -> Refused {
        Refused { fault: Box::new(self.fault(None, field, why)), tightened: Vec::new(), gone: Vec::new() }
    }

    /// Reads what the partner sent.
    ///
    /// # Errors
    /// The first thing that is wrong with it: nothing of it is used then but what makes restrictions tighter.
    pub fn read(&self, bytes: &[u8]) -> Result<Document, Refused> {
        if bytes.len() > self.bytes {
            return Err(self.refuse("bytes", format!("{} are over {}", bytes.len(), self.bytes)));
        }
        let reader = &mut serde_json::Deserializer::from_slice(bytes);
        let envelope: Envelope = serde_path_to_error::deserialize(reader)
            .map_err(|problem| self.refuse(&problem.path().to_string(), problem.inner().to_string()))?;
        let Envelope { site, version, from, count, routes, gone } = envelope;
        if site != self.partner {
            return Err(self.refuse("site", format!("{site} is another")));
        }
        if routes.len() > self.routes || count > self.routes {
            return Err(
                self.refuse("routes", format!("{} are over {}", routes.len().max(count), self.routes))
            );
        }
        let (mut read, mut first) = (Vec::with_capacity(routes.len()), None);
        for fields in routes {
            match self.route(fields) {
                Ok(route) => read.push(Arc::new(route)),
                Err(fault) => first = first.or(Some(fault)),
            }
        }
        let mut names = BTreeSet::new();
        let twice = read.iter().map(|route| &route.name).chain(&gone).find(|name| !names.insert(*name));
        let half = from.is_none() && (count != read.len() || !gone.is_empty());
        let whole = first.or_else(|| {
            twice.map(|name| self.fault(Some(&name.to_string()), "name", "is there twice")).or_else(|| {
                half.then(|| self.fault(None, "count", format!("{count} and not {}", read.len())))
            })
        });
        match whole {
            None => Ok(Document { site, version, from, count, routes: read, gone }),
            Some(fault) => {
                let tightened =
                    read.iter().map(|route| (route.name.clone(), route.restrictions.clone())).collect();
                Err(Refused { fault: Box::new(fault), tightened, gone })
            }
        }
    }

    fn route(&self, mut fields: serde_json::Map<String, Value>) -> Result<Route, Fault> {
        let named = fields.get("name").and_then(Value::as_str).unwrap_or("without a name").to_owned();
        let before = fields.len();
        fields.retain(|field, _| FIELDS.contains(&field.as_str()));
        let is_newer = fields.len() < before;
        let fields: Fields = serde_path_to_error::deserialize(Value::Object(fields)).map_err(|problem| {
            self.fault(Some(&named), &problem.path().to_string(), problem.inner().to_string())
        })?;
        let Fields { name, mut matches, servers, preference, capacity, path, through, restrictions } = fields;
        matches.addresses = matches.addresses.map(|net| net.trunc());
        let restrictions = if is_newer { Restrictions::tightest() } else { restrictions };
        let route = Route { name, matches, servers, preference, capacity, path, through, restrictions };
        match self.wrong(&route) {
            None => Ok(route),
            Some((field, why)) => Err(self.fault(Some(&named), field, why)),
        }
    }

    /// Whether the partner may tell a route that has been read.
    pub fn admits(&self, route: &Route) -> bool {
        self.wrong(route).is_none()
    }

    /// The first field of a route that is out of its range.
    fn wrong(&self, route: &Route) -> Option<(&'static str, String)> {
        let Route { matches, servers, capacity, path, through, restrictions, .. } = route;
        let Subjects { first, last } = matches.subjects;
        let sites: BTreeSet<&Name> = path.iter().collect();
        let other = self
            .grants
            .iter()
            .find(|grant| !grant.to.contains(&self.partner) && grant.matches.meets(matches));
        let of_others =
            other.map(|grant| grant.to.iter().map(Name::to_string).collect::<Vec<_>>().join(", "));
        let rules = [
            (path.first() != Some(&self.partner), "path", "does not begin with the partner".to_owned()),
            (path.len() > MOST_PATH, "path", format!("has over {MOST_PATH} sites")),
            (sites.len() < path.len(), "path", "has a site twice".to_owned()),
            (route.came_through(&self.own), "path", "is a loop: it came through this site".to_owned()),
            (through.len() > MOST_THROUGH, "through", format!("has over {MOST_THROUGH} sites")),
            (first > last, "match.subjects", format!("{first} is after {last}")),
            (servers.is_empty(), "servers", "names none".to_owned()),
            (servers.len() > MOST_SERVERS, "servers", format!("has over {MOST_SERVERS}")),
            (*capacity == 0, "capacity", "is 0".to_owned()),
            (!is_bounded(restrictions), "restrictions", format!("names over {MOST_NAMED}")),
            (of_others.is_some(), "match", format!("is given to {}", of_others.unwrap_or_default())),
        ];
        rules.into_iter().find(|(broken, ..)| *broken).map(|(_, field, why)| (field, why))
    }
}

fn is_bounded(restrictions: &Restrictions) -> bool {
    restrictions.written().iter().all(|restriction| match restriction {
        Restriction::Only { to } | Restriction::Not { to } => to.len() <= MOST_NAMED,
        Restriction::Tenants { names } => names.len() <= MOST_NAMED,
        _ => true,
    })
}

/// A partner's table.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Table {
    /// What it is.
    pub version: Version,
    /// Its routes by name.
    pub routes: OrdMap<Name, Arc<Route>>,
}

impl Table {
    /// The table after a document, which has been read under the same terms.
    ///
    /// # Errors
    /// It is not above this one, is of another one's differences, or comes to another count.
    pub fn after(&self, document: &Document, terms: &Terms) -> Result<Self, Refused> {
        let Document { version, from, count, routes, gone, .. } = document;
        if *version <= self.version {
            let why = format!("{version:?} is not above {:?}", self.version);
            return Err(terms.refuse("version", why));
        }
        let mut after = match from {
            None => OrdMap::new(),
            Some(from) if *from == self.version => self.routes.clone(),
            Some(from) => {
                return Err(terms.refuse("from", format!("{from:?} is not {:?}", self.version)));
            }
        };
        gone.iter().for_each(|name| drop(after.remove(name)));
        routes.iter().for_each(|route| drop(after.insert(route.name.clone(), route.clone())));
        if after.len() != *count || after.len() > terms.routes {
            let refused = terms.refuse("count", format!("{count} and not {}", after.len()));
            let tightened = routes.iter().map(|route| (route.name.clone(), route.restrictions.clone()));
            return Err(Refused { tightened: tightened.collect(), gone: gone.clone(), ..refused });
        }
        Ok(Self { version: *version, routes: after })
    }

    /// All of it, as it is sent and kept.
    pub fn whole(&self, site: Name) -> Document {
        Document {
            site,
            version: self.version,
            from: None,
            count: self.routes.len(),
            routes: self.routes.values().cloned().collect(),
            gone: Vec::new(),
        }
    }
}

/// The schema of what is sent.
pub fn schema() -> schemars::Schema {
    schemars::schema_for!(Document)
}
