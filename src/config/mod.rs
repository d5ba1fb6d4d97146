//! What a node is told at its start: environment, JSON file and, for what the platform does not set, the
//! operator's file.

mod copies;
mod course;
mod descriptors;
mod duties;
mod fault;
mod operator;
mod partners;
mod renew;
mod routes;
mod settings;
mod verdicts;

use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

use crate::interface::SettingsError;
use crate::route::ASSUMED_PROCESSES;
use crate::validate::check_settings;

pub use copies::{CopiesTable, Late};
pub use course::{RoutesFile, RoutesTable};
pub use descriptors::Descriptors;
pub use duties::{DutiesTable, HeartbeatTable};
pub use fault::Fault;
pub use operator::{Ajp, FleetTable, Operator, Peer, StoreOptions};
pub use partners::{AggregateTable, GrantTable, OwnRoute, PartnersTable, SiteTable};
pub use routes::{KnowledgeTable, RecordsTable};
pub use settings::{Pairs, Site, gauges, parse};
pub use verdicts::VerdictsTable;

/// Why a node cannot start.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// A variable of the environment is missing.
    #[error("{0} is not set")]
    Unset(&'static str),
    /// A file cannot be read.
    #[error("{path}: {cause}")]
    File {
        /// The file.
        path: String,
        /// What went wrong.
        cause: std::io::Error,
    },
    /// A file is not what it should be.
    #[error("{path}: {cause}")]
    Json {
        /// The file.
        path: String,
        /// What went wrong.
        cause: serde_json::Error,
    },
    /// The operator's file is not what it should be.
    #[error("{path}: {cause}")]
    Toml {
        /// The file.
        path: String,
        /// What went wrong.
        cause: toml::de::Error,
    },
    /// A value cannot be used.
    #[error("{0}")]
    Value(String),
    /// Values of the operator's file cannot be used.
    #[error("{path}: {}", faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
    Faults {
        /// The file.
        path: String,
        /// All of them.
        faults: Vec<Fault>,
    },
    /// The settings make no sense.
    #[error("{0}")]
    Settings(#[from] SettingsError),
}

/// All that one node needs to know.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name, as the control plane knows it.
    pub name: String,
    /// Where front ends connect.
    pub listen: SocketAddr,
    /// The number of the descriptor under which the platform hands down the socket that it holds there.
    pub inherited: Option<RawFd>,
    /// Where operators connect; without it there is no door for them.
    pub admin: Option<SocketAddr>,
    /// Where the other parties are reached.
    pub peers: Peers,
    /// Seed for the decision module's random numbers.
    pub seed: u64,
    /// Time between the notice to leave and the stop.
    pub stop: Duration,
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// Memory that the process may take, in bytes.
    pub memory_bytes: usize,
    /// The settings and their names.
    pub site: Site,
    /// What the operator has set.
    pub operator: Operator,
    /// The platform's file as it stands.
    file: Value,
}

/// Where the parties on the server side are reached. These may change while the node runs.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Peers {
    /// The processor.
    pub processor: SocketAddr,
    /// Where reports of readiness go.
    pub control: SocketAddr,
    /// The proxy to the tier below; absent in the last tier.
    pub records: Option<SocketAddr>,
}

/// What others may read of a configuration in the store.
#[derive(Serialize)]
struct Published<'a> {
    listen: SocketAddr,
    #[serde(flatten)]
    peers: Peers,
    operator: &'a Operator,
}

#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    admin_addr: Option<SocketAddr>,
    #[serde(flatten)]
    peers: Peers,
    #[serde(default)]
    seed: String,
    stop_ms: u64,
    limits: Limits,
    settings: Value,
}

#[derive(Deserialize)]
struct Limits {
    sockets: usize,
    memory_mb: usize,
}

impl Config {
    /// Reads the file that `PROXY_CONFIG` names; `PROXY_NAME`, `PROXY_LISTEN` and `PROXY_ADMIN_ADDR` go before
    /// what it says.
    ///
    /// # Errors
    /// Says which variable, file or value is at fault.
    pub fn from_env() -> Result<Self, ConfigError> {
        let path = std::env::var("PROXY_CONFIG").map_err(|_| ConfigError::Unset("PROXY_CONFIG"))?;
        let text = std::fs::read_to_string(&path)
            .map_err(|cause| ConfigError::File { path: path.clone(), cause })?;
        let bad = |cause| ConfigError::Json { path: path.clone(), cause };
        let whole: Value = serde_json::from_str(&text).map_err(bad)?;
        let file = File::deserialize(&whole).map_err(bad)?;
        let mut config = Self::from_file(file, whole)?;
        config.operator = Operator::from_env()?;
        let processes = config.processes();
        // Where nobody names what a server in slow start may get, nothing bounds it.
        let bounded = |records: &&mut RecordsTable| records.choice.slow_start_calls.is_some();
        if let Some(records) = config.operator.records.as_mut().filter(bounded) {
            records.choice.processes.get_or_insert(processes);
        }
        if let Ok(name) = std::env::var("PROXY_NAME") {
            config.name = name;
        }
        config.listen = variable("PROXY_LISTEN")?.unwrap_or(config.listen);
        config.admin = variable("PROXY_ADMIN_ADDR")?.or(config.admin);
        config.inherited = variable("PROXY_FD")?;
        Ok(config)
    }

    /// Reads all of this anew. The whole file must be good, and hold all that the one in force holds.
    ///
    /// # Errors
    /// Says which variable, file, key or value is at fault.
    pub fn renewed(&self) -> Result<Self, ConfigError> {
        let new = Self::from_env()?;
        match renew::lacks(&self.file, &new.file) {
            Some(key) => Err(ConfigError::Value(format!("'{key}' is missing"))),
            None => Ok(new),
        }
    }

    /// Processes that are assumed to call the servers that this node calls: one for each node of its tier. Where the
    /// settings name no number, one that no fleet is expected to have.
    pub fn processes(&self) -> u32 {
        match self.site.settings.servers {
            0 => ASSUMED_PROCESSES,
            servers => servers,
        }
    }

    /// The text that is kept in the store: all but the settings and the secret.
    ///
    /// # Errors
    /// It has no form as JSON.
    pub fn published(&self) -> serde_json::Result<String> {
        let Self { listen, peers, operator, .. } = self;
        serde_json::to_string(&Published { listen: *listen, peers: *peers, operator })
    }

    fn from_file(file: File, whole: Value) -> Result<Self, ConfigError> {
        let bad_seed = |_| ConfigError::Value(format!("seed: '{}' is not a hexadecimal number", file.seed));
        let seed =
            if file.seed.is_empty() { 0 } else { u64::from_str_radix(&file.seed, 16).map_err(bad_seed)? };
        let site = parse(&Pairs::from_json(&file.settings)).map_err(ConfigError::Value)?;
        check_settings(&site.settings)?;
        check_classes(&file.settings)?;
        Ok(Self {
            name: file.name,
            listen: file.listen,
            inherited: None,
            admin: file.admin_addr,
            peers: file.peers,
            seed,
            stop: Duration::from_millis(file.stop_ms),
            sockets: file.limits.sockets,
            memory_bytes: file.limits.memory_mb << 20,
            site,
            operator: Operator::default(),
            file: whole,
        })
    }
}

fn variable<T: FromStr>(name: &'static str) -> Result<Option<T>, ConfigError> {
    let bad = |text: &str| ConfigError::Value(format!("{name}: '{text}' cannot be read"));
    std::env::var(name).ok().map(|text| text.parse().map_err(|_| bad(&text))).transpose()
}

/// Each class has a name, and times that are numbers rather than what reads like one.
fn check_classes(settings: &Value) -> Result<(), ConfigError> {
    let bad = |what: String| Err(ConfigError::Value(what));
    let Some(classes) = settings["classes"].as_array().filter(|classes| !classes.is_empty()) else {
        return bad("there are no classes".to_owned());
    };
    for class in classes {
        let Some(name) = class["name"].as_str().filter(|name| !name.is_empty()) else {
            return bad("a class without a name".to_owned());
        };
        if let Some(time) = ["aim", "hard-limit"].into_iter().find(|time| !class[time].is_number()) {
            return bad(format!("{time} of {name} is not a number"));
        }
    }
    Ok(())
}
