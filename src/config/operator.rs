//! The operator's file: what the platform does not set. Without it the node serves the platform alone.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use schemars::JsonSchema;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::ConfigError;
use super::copies::CopiesTable;
use super::course::RoutesTable;
use super::duties::DutiesTable;
use super::fault::Fault;
use super::partners::PartnersTable;
use super::routes::{KnowledgeTable, RecordsTable};
use super::verdicts::VerdictsTable;
use crate::fleet::view::MOST_NAME;

/// The file, in TOML.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// The AJP front; absent where it is off.
    pub ajp: Option<Ajp>,
    /// The node's store; absent where it has one member, in memory.
    #[serde(default)]
    pub store: StoreOptions,
    /// The servers of the records service; absent where the platform's proxy reaches them.
    pub records: Option<RecordsTable>,
    /// What nodes tell each other of those servers.
    #[serde(default, skip_serializing_if = "KnowledgeTable::is_off")]
    pub knowledge: KnowledgeTable,
    /// The node's part in a fleet; absent where it stands alone.
    pub fleet: Option<FleetTable>,
    /// What is copied to further nodes of the fleet; absent where each node's keys are its own.
    pub copies: Option<CopiesTable>,
    /// The node's part in duties that one node does at a time; absent where it takes none.
    pub duties: Option<DutiesTable>,
    /// Partner sites whose routes are merged with this one's; absent where there are none.
    pub partners: Option<PartnersTable>,
    /// The node's part in votes on the servers of the records service; absent where each node removes them for itself.
    pub verdicts: Option<VerdictsTable>,
    /// Routes of sites that calls follow, from files; absent where there are none, or partners tell them.
    pub routes: Option<RoutesTable>,
}

/// The node's part in a fleet of nodes that know each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct FleetTable {
    /// Where other nodes and operators reach it, by datagram and connection.
    #[schemars(with = "String")]
    pub listen: SocketAddr,
    /// Where others reach it, where that is not where it listens.
    #[schemars(with = "Option<String>")]
    pub address: Option<SocketAddr>,
    /// What it keeps over a restart is here; without it, each start is a new life of the node.
    pub directory: Option<PathBuf>,
    /// What fails as one with it; without it, the node's name.
    pub machine: Option<String>,
    /// What is cut off as one with it.
    #[serde(default = "FleetTable::one_zone")]
    pub zone: String,
    /// Members of the store, which has the view.
    #[schemars(with = "Vec<String>")]
    pub store: Vec<SocketAddr>,
}

impl FleetTable {
    fn one_zone() -> String {
        "one".to_owned()
    }

    fn check(&self, faults: &mut Vec<Fault>) {
        if self.store.is_empty() {
            faults.push(Fault::new("fleet.store", "", "names no member of the store"));
        }
        if self.address.is_none() && self.listen.ip().is_unspecified() {
            faults.push(Fault::new(
                "fleet.listen",
                self.listen,
                "is no address that others can reach; set address",
            ));
        }
        for (key, name) in [("machine", self.machine.as_deref().unwrap_or("-")), ("zone", &self.zone)] {
            if name.is_empty() || name.len() > MOST_NAME {
                faults.push(Fault::new(
                    format!("fleet.{key}"),
                    name,
                    format!("is empty or over {MOST_NAME} bytes"),
                ));
            }
        }
    }
}

/// This node's member of the store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct StoreOptions {
    /// The number of this member.
    pub id: u64,
    /// Where other members and programs beside the node connect; without it there is no socket.
    #[schemars(with = "Option<String>")]
    pub listen: Option<SocketAddr>,
    /// Where it is kept over a restart; without it, it is kept in memory.
    pub directory: Option<PathBuf>,
    /// Where others reach this member, where that is not where it listens.
    #[schemars(with = "Option<String>")]
    pub address: Option<SocketAddr>,
    /// The other members that a new directory is brought in by: all of those that a store is formed of, or some of one
    /// that is there.
    pub peers: Vec<Peer>,
    /// A new directory only ever joins a store that is there.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub joins: bool,
    /// This member only follows until it takes the place of one that is lost.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub spare: bool,
    /// A voter that is silent for so long is replaced where a spare is there, in ms; without it, an operator does.
    pub replace_after_ms: Option<u64>,
}

/// A voter is not given up sooner than this, in ms: it may only be starting anew.
const SOONEST_REPLACED: u64 = 3000;

/// Another member of the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Its number.
    pub id: u64,
    /// Where it listens for the store.
    #[schemars(with = "String")]
    pub address: SocketAddr,
}

impl StoreOptions {
    /// Whether there is a store at all: one that nobody reaches and that is not kept has nothing to hold.
    pub fn is_set_up(&self) -> bool {
        self.listen.is_some() || self.directory.is_some()
    }

    /// A member that forgot its vote could vote twice, so those with peers need a directory.
    fn check(&self, faults: &mut Vec<Fault>) {
        if let Some(ms) = self.replace_after_ms.filter(|ms| *ms < SOONEST_REPLACED) {
            let bound = format!("is under {SOONEST_REPLACED}: a member that starts anew would be given up");
            faults.push(Fault::new("store.replace_after_ms", ms, bound));
        }
        for (key, on) in [("joins", self.joins), ("spare", self.spare)] {
            if on && self.peers.is_empty() {
                faults.push(Fault::new(format!("store.{key}"), "true", "needs peers to join"));
            }
        }
        if self.peers.is_empty() {
            return;
        }
        if self.directory.is_none() {
            faults.push(Fault::new("store.directory", "", "a store with peers needs a directory"));
        }
        if self.listen.is_none() {
            faults.push(Fault::new("store.listen", "", "a store with peers needs an address to listen on"));
        }
        for (at, peer) in self.peers.iter().enumerate().filter(|(_, peer)| peer.id == self.id) {
            faults.push(Fault::new(format!("store.peers[{at}].id"), peer.id, "is this member's own id"));
        }
    }
}

/// The AJP front.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Ajp {
    /// Where web servers connect.
    #[schemars(with = "String")]
    pub listen: SocketAddr,
    /// The secret that requests must carry. It is never written anywhere.
    #[serde(default, skip_serializing)]
    pub secret: Option<String>,
    /// The path of health checks.
    #[serde(default = "Ajp::health_path")]
    pub health: String,
    /// Connections at once; without it, half of what the descriptors allow.
    pub connections: Option<usize>,
    /// A body that stands still for this long ends its connection, in ms; without it, 2 s.
    pub body_wait_ms: Option<u64>,
}

impl Ajp {
    /// The path where none is set.
    pub fn health_path() -> String {
        "/health".to_owned()
    }
}

impl Operator {
    /// Reads the file that `SILLFLOW_OPERATOR` names; without that variable nothing is set.
    ///
    /// # Errors
    /// Says which file is at fault, and where.
    pub fn from_env() -> Result<Self, ConfigError> {
        match std::env::var("SILLFLOW_OPERATOR") {
            Ok(path) => Self::read(Path::new(&path)),
            Err(_) => Ok(Self::default()),
        }
    }

    fn read(path: &Path) -> Result<Self, ConfigError> {
        let name = path.display().to_string();
        let text =
            std::fs::read_to_string(path).map_err(|cause| ConfigError::File { path: name.clone(), cause })?;
        let file: Self =
            toml::from_str(&text).map_err(|cause| ConfigError::Toml { path: name.clone(), cause })?;
        let faults = file.faults(file.records.is_some());
        if faults.is_empty() { Ok(file) } else { Err(ConfigError::Faults { path: name, faults }) }
    }

    /// Every value that cannot be used. A table of servers that cannot be read is there all the same.
    fn faults(&self, has_servers: bool) -> Vec<Fault> {
        let mut faults = Vec::new();
        self.store.check(&mut faults);
        if let Some(records) = &self.records {
            records.check(&mut faults);
        }
        self.knowledge.check(has_servers, &mut faults);
        if let Some(fleet) = &self.fleet {
            fleet.check(&mut faults);
        }
        if let Some(copies) = &self.copies {
            copies.check(self.fleet.is_some(), &mut faults);
        }
        if let Some(duties) = &self.duties {
            duties.check(self.fleet.is_some(), &mut faults);
        }
        if let Some(partners) = &self.partners {
            partners.check(self.fleet.is_some(), self.duties.is_some(), &mut faults);
        }
        if self.partners.is_some() && self.routes.is_some() {
            faults.push(Fault::new(
                "routes",
                "",
                "stands beside partners, who tell the routes that are followed",
            ));
        }
        if let Some(verdicts) = &self.verdicts {
            let has = [has_servers, self.fleet.is_some(), self.duties.is_some()];
            verdicts.check(has, &mut faults);
        }
        faults
    }

    /// All that is wrong with a file of this text, where a start would stop at the first: each table is read by
    /// itself, and those that can be read are held to their ranges.
    pub fn check(text: &str) -> Vec<Fault> {
        let tables: toml::Table = match toml::from_str(text) {
            Ok(tables) => tables,
            Err(problem) => return vec![Fault::new("", "", problem.to_string().trim_end())],
        };
        let mut faults = Vec::new();
        let file = Self {
            ajp: read_alone::<AjpAlone>(text, "ajp", &mut faults).ajp,
            store: read_alone::<StoreAlone>(text, "store", &mut faults).store,
            records: read_alone::<RecordsAlone>(text, "records", &mut faults).records,
            knowledge: read_alone::<KnowledgeAlone>(text, "knowledge", &mut faults).knowledge,
            fleet: read_alone::<FleetAlone>(text, "fleet", &mut faults).fleet,
            copies: read_alone::<CopiesAlone>(text, "copies", &mut faults).copies,
            duties: read_alone::<DutiesAlone>(text, "duties", &mut faults).duties,
            partners: read_alone::<PartnersAlone>(text, "partners", &mut faults).partners,
            routes: read_alone::<RoutesAlone>(text, "routes", &mut faults).routes,
            verdicts: read_alone::<VerdictsAlone>(text, "verdicts", &mut faults).verdicts,
        };
        let unknown = tables.keys().filter(|key| !TABLES.contains(&key.as_str()));
        faults.extend(unknown.map(|key| Fault::new(key, "", "is no table of this file")));
        faults.extend(file.faults(tables.contains_key("records")));
        faults
    }

    /// The schema of the file.
    pub fn schema() -> schemars::Schema {
        schemars::schema_for!(Self)
    }
}

/// The tables of the file.
const TABLES: [&str; 10] =
    ["ajp", "store", "records", "knowledge", "fleet", "copies", "duties", "partners", "routes", "verdicts"];

#[derive(Default, Deserialize)]
struct AjpAlone {
    ajp: Option<Ajp>,
}

#[derive(Default, Deserialize)]
struct StoreAlone {
    #[serde(default)]
    store: StoreOptions,
}

#[derive(Default, Deserialize)]
struct RecordsAlone {
    records: Option<RecordsTable>,
}

#[derive(Default, Deserialize)]
struct FleetAlone {
    fleet: Option<FleetTable>,
}

#[derive(Default, Deserialize)]
struct CopiesAlone {
    copies: Option<CopiesTable>,
}

#[derive(Default, Deserialize)]
struct DutiesAlone {
    duties: Option<DutiesTable>,
}

#[derive(Default, Deserialize)]
struct PartnersAlone {
    partners: Option<PartnersTable>,
}

#[derive(Default, Deserialize)]
struct RoutesAlone {
    routes: Option<RoutesTable>,
}

#[derive(Default, Deserialize)]
struct VerdictsAlone {
    verdicts: Option<VerdictsTable>,
}

#[derive(Default, Deserialize)]
struct KnowledgeAlone {
    #[serde(default)]
    knowledge: KnowledgeTable,
}

/// One table of the file, with the others passed over; nothing where it cannot be read.
fn read_alone<T: Default + DeserializeOwned>(text: &str, key: &str, faults: &mut Vec<Fault>) -> T {
    toml::from_str(text).unwrap_or_else(|problem| {
        faults.push(Fault::new(key, "", problem.to_string().trim_end()));
        T::default()
    })
}
