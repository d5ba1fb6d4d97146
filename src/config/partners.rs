//! The operator's table for partner sites: what this site tells, whom, and what each partner is held to.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use ipnet::IpNet;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::fault::Fault;
use crate::lease::DutyName;
use crate::route_exchange::export::Aggregate;
use crate::route_exchange::restrict::Restriction;
use crate::route_exchange::route::{MOST_SERVERS, Match, Name, Route};
use crate::route_exchange::table::{Grant, Terms};

/// Partners at the most.
const MOST_SITES: u64 = 64;
/// Addresses of a partner.
const MOST_ADDRESSES: u64 = 32;
/// Aggregates, and grants.
const MOST_WIDER: u64 = 1024;
/// Routes of this site, or of a partner's table.
const MOST_ROUTES: u64 = 1_000_000;
/// Bytes of a partner's document.
const BYTES: (u64, u64) = (1024, 1 << 28);
/// How long a stale table may be used, in ms.
const STALE_MS: (u64, u64) = (500, 86_400_000);

/// The node's part in telling and hearing partners' routes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PartnersTable {
    /// What partners know this site as.
    pub site: Name,
    /// Where partners and the nodes of this fleet ask, on the same port at each node.
    #[schemars(with = "String")]
    pub listen: SocketAddr,
    /// The duty under which one node asks the partners, merges and tells.
    #[serde(default = "PartnersTable::one_duty")]
    pub duty: String,
    /// Networks of the nodes of this fleet: whoever asks from there may have the whole merged table.
    #[schemars(with = "Vec<String>")]
    pub nodes: Vec<IpNet>,
    /// What is kept over a restart is here.
    pub directory: PathBuf,
    /// Groups of sites that restrictions name.
    #[serde(default)]
    pub groups: BTreeMap<Name, BTreeSet<Name>>,
    /// This site's own routes.
    #[serde(default)]
    pub routes: Vec<OwnRoute>,
    /// A JSON file with a list of further ones; it is read again when it changes.
    pub routes_file: Option<PathBuf>,
    /// Wider routes that are told in place of knowing their parts.
    #[serde(default)]
    pub aggregates: Vec<AggregateTable>,
    /// Requests that only some sites may announce routes for.
    #[serde(default)]
    pub grants: Vec<GrantTable>,
    /// The partners.
    pub sites: Vec<SiteTable>,
}

/// A route of this site.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct OwnRoute {
    /// Its name, which no other one has.
    pub name: Name,
    /// Which requests it serves.
    #[serde(rename = "match", default)]
    pub matches: Match,
    /// Who serves them.
    #[schemars(with = "Vec<String>")]
    pub servers: BTreeSet<SocketAddr>,
    /// The higher goes before the lower.
    #[serde(default)]
    pub preference: u32,
    /// Requests a second that it is good for.
    pub capacity: u64,
    /// Who may be told.
    #[serde(default)]
    pub restrictions: Vec<Restriction>,
}

/// A wider route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct AggregateTable {
    /// Its name.
    pub name: Name,
    /// Which requests; its parts serve some of these each.
    #[serde(rename = "match")]
    pub matches: Match,
}

/// Requests that only some sites may announce routes for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct GrantTable {
    /// Which requests.
    #[serde(rename = "match")]
    pub matches: Match,
    /// Whose routes count for them.
    pub to: BTreeSet<Name>,
}

/// A partner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SiteTable {
    /// Its name, by which it asks as well.
    pub name: Name,
    /// Where it is asked: its nodes, one after the other.
    #[schemars(with = "Vec<String>")]
    pub addresses: Vec<SocketAddr>,
    /// Networks that it asks from. Nothing else says who asks.
    #[schemars(with = "Vec<String>")]
    pub allow: Vec<IpNet>,
    /// Bytes of a document of it.
    #[serde(default = "SiteTable::bytes")]
    pub bytes: usize,
    /// Routes of its table.
    #[serde(default = "SiteTable::routes")]
    pub routes: usize,
    /// How long its last good table is used when it is not heard, in ms.
    #[serde(default = "SiteTable::stale_ms")]
    pub stale_ms: u64,
}

impl SiteTable {
    fn bytes() -> usize {
        32 << 20
    }

    fn routes() -> usize {
        100_000
    }

    fn stale_ms() -> u64 {
        60_000
    }
}

impl OwnRoute {
    /// The route as this site holds it.
    pub fn held(&self) -> Arc<Route> {
        let mut matches = self.matches.clone();
        matches.addresses = matches.addresses.map(|net| net.trunc());
        Arc::new(Route {
            name: self.name.clone(),
            matches,
            servers: self.servers.clone(),
            preference: self.preference,
            capacity: self.capacity,
            path: Vec::new(),
            through: BTreeSet::new(),
            restrictions: self.restrictions.iter().cloned().collect(),
        })
    }

    /// The first field that cannot be used.
    fn wrong(&self) -> Option<(&'static str, String)> {
        let subjects = self.matches.subjects;
        let rules = [
            (subjects.first > subjects.last, "match.subjects", "begin after their end".to_owned()),
            (self.servers.is_empty(), "servers", "names none".to_owned()),
            (self.servers.len() > MOST_SERVERS, "servers", format!("has over {MOST_SERVERS}")),
            (self.capacity == 0, "capacity", "is 0".to_owned()),
        ];
        rules.into_iter().find(|(broken, ..)| *broken).map(|(_, field, why)| (field, why))
    }
}

/// Every value of a list of own routes that cannot be used, under this key.
fn check_own(key: &str, routes: &[OwnRoute], faults: &mut Vec<Fault>) {
    let mut names = BTreeSet::new();
    for (at, route) in routes.iter().enumerate() {
        if !names.insert(&route.name) {
            faults.push(Fault::new(format!("{key}[{at}].name"), &route.name, "is there twice"));
        }
        if let Some((field, why)) = route.wrong() {
            faults.push(Fault::new(format!("{key}[{at}].{field}"), &route.name, why));
        }
    }
}

impl PartnersTable {
    fn one_duty() -> String {
        "partners".to_owned()
    }

    /// The rules that partners are held to, by name.
    pub fn terms(&self) -> BTreeMap<Name, Terms> {
        let grant = |grant: &GrantTable| Grant { matches: grant.matches.clone(), to: grant.to.clone() };
        let grants: Vec<Grant> = self.grants.iter().map(grant).collect();
        let terms = |site: &SiteTable| Terms {
            partner: site.name.clone(),
            own: self.site.clone(),
            bytes: site.bytes,
            routes: site.routes,
            stale_ms: site.stale_ms,
            grants: grants.clone(),
        };
        self.sites.iter().map(|site| (site.name.clone(), terms(site))).collect()
    }

    /// The wider routes.
    pub fn wider(&self) -> Vec<Aggregate> {
        let wider =
            |table: &AggregateTable| Aggregate { name: table.name.clone(), matches: table.matches.clone() };
        self.aggregates.iter().map(wider).collect()
    }

    /// The routes of this site: those of the table and those of its file.
    ///
    /// # Errors
    /// The file cannot be read, or values of it cannot be used: file, key and value.
    pub fn own(&self) -> Result<Vec<Arc<Route>>, String> {
        let mut all = self.routes.clone();
        if let Some(path) = &self.routes_file {
            let name = path.display();
            let text = std::fs::read(path).map_err(|problem| format!("{name}: {problem}"))?;
            let reader = &mut serde_json::Deserializer::from_slice(&text);
            let more: Vec<OwnRoute> = serde_path_to_error::deserialize(reader)
                .map_err(|problem| format!("{name}: {}: {}", problem.path(), problem.inner()))?;
            all.extend(more);
        }
        let mut faults = Vec::new();
        check_own("routes", &all, &mut faults);
        if all.len() as u64 > MOST_ROUTES {
            faults.push(Fault::new("routes", all.len(), format!("is over {MOST_ROUTES}")));
        }
        match faults.first() {
            Some(fault) => {
                Err(format!("{}: {fault}", self.routes_file.clone().unwrap_or_default().display()))
            }
            None => Ok(all.iter().map(OwnRoute::held).collect()),
        }
    }

    pub(super) fn check(&self, has_fleet: bool, has_duties: bool, faults: &mut Vec<Fault>) {
        for (has, table) in [(has_fleet, "fleet"), (has_duties, "duties")] {
            if !has {
                let why = format!("needs the table {table}: one node of it asks the partners");
                faults.push(Fault::new("partners", "", why));
            }
        }
        if let Err(bad) = DutyName::new(self.duty.clone()) {
            faults.push(Fault::new("partners.duty", &self.duty, bad.to_string()));
        }
        check_own("partners.routes", &self.routes, faults);
        let mut within = |key: String, value: u64, (least, most): (u64, u64)| {
            if !(least..=most).contains(&value) {
                let why = format!("is not from {least} to {most}");
                faults.push(Fault::new(format!("partners.{key}"), value, why));
            }
        };
        within("sites".to_owned(), self.sites.len() as u64, (0, MOST_SITES));
        within("aggregates".to_owned(), self.aggregates.len() as u64, (0, MOST_WIDER));
        within("grants".to_owned(), self.grants.len() as u64, (0, MOST_WIDER));
        for (at, site) in self.sites.iter().enumerate() {
            within(format!("sites[{at}].addresses"), site.addresses.len() as u64, (1, MOST_ADDRESSES));
            within(format!("sites[{at}].bytes"), site.bytes as u64, BYTES);
            within(format!("sites[{at}].routes"), site.routes as u64, (1, MOST_ROUTES));
            within(format!("sites[{at}].stale_ms"), site.stale_ms, STALE_MS);
        }
        self.check_names(faults);
    }

    fn check_names(&self, faults: &mut Vec<Fault>) {
        let mut names = BTreeSet::from([&self.site]);
        for (at, site) in self.sites.iter().enumerate() {
            if !names.insert(&site.name) {
                let key = format!("partners.sites[{at}].name");
                faults.push(Fault::new(key, &site.name, "is there twice, or is this site"));
            }
        }
        for (at, grant) in self.grants.iter().enumerate() {
            for to in grant.to.iter().filter(|to| !names.contains(to)) {
                let key = format!("partners.grants[{at}].to");
                faults.push(Fault::new(key, to, "is neither a partner nor this site"));
            }
        }
    }
}
