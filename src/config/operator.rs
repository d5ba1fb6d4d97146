//! The operator's file: what the platform does not set. Without it the node serves the platform alone.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;

use super::ConfigError;

/// The file, in TOML.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// The AJP front; absent where it is off.
    pub ajp: Option<Ajp>,
}

/// The AJP front.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ajp {
    /// Where web servers connect.
    pub listen: SocketAddr,
    /// The secret that requests must carry.
    pub secret: Option<String>,
    /// The path of health checks.
    #[serde(default = "health_path")]
    pub health: String,
}

fn health_path() -> String {
    "/health".to_owned()
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
        toml::from_str(&text).map_err(|cause| ConfigError::Toml { path: name, cause })
    }
}
