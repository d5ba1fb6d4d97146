//! The operator's file: what the platform does not set. Without it the node serves the platform alone.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use super::ConfigError;
use super::routes::{KnowledgeTable, RecordsTable};

/// The file, in TOML.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
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
}

/// This node's member of the store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreOptions {
    /// The number of this member.
    pub id: u64,
    /// Where other members and programs beside the node connect; without it there is no socket.
    pub listen: Option<SocketAddr>,
    /// Where it is kept over a restart; without it, it is kept in memory.
    pub directory: Option<PathBuf>,
    /// The other members.
    pub peers: Vec<Peer>,
}

/// Another member of the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Its number.
    pub id: u64,
    /// Where it listens for the store.
    pub address: SocketAddr,
}

impl StoreOptions {
    /// A member that forgot its vote could vote twice, so those with peers need a directory.
    fn check(&self) -> Result<(), ConfigError> {
        let problem = match self {
            Self { peers, .. } if peers.is_empty() => return Ok(()),
            Self { directory: None, .. } => "a store with peers needs a directory",
            Self { listen: None, .. } => "a store with peers needs an address to listen on",
            Self { id, peers, .. } if peers.iter().any(|peer| peer.id == *id) => {
                "a peer has this member's id"
            }
            _ => return Ok(()),
        };
        Err(ConfigError::Value(problem.to_owned()))
    }
}

/// The AJP front.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ajp {
    /// Where web servers connect.
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
        file.store.check()?;
        let servers = file.records.as_ref();
        let checked = servers.map_or(Ok(()), RecordsTable::check);
        match checked.and_then(|()| file.knowledge.check(servers.is_some())) {
            Ok(()) => Ok(file),
            Err((key, value, why)) => Err(ConfigError::Setting { path: name, key, value, why }),
        }
    }
}
