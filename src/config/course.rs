//! Routes of sites from files, for a node that takes no part in the exchange between them.

use std::path::{Path, PathBuf};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::ConfigError;
use crate::route_exchange::merge::{Merged, Tables};
use crate::route_exchange::route::Name;
use crate::route_exchange::table::{Table, Terms};

/// Bytes and routes of a file at the most.
const MOST_BYTES: usize = 64 << 20;
const MOST_ROUTES: usize = 100_000;

/// Where the tables of sites are read from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RoutesTable {
    /// This site.
    #[schemars(with = "String")]
    pub site: Name,
    /// A whole table of each site, each in a file of its own.
    pub files: Vec<RoutesFile>,
}

/// A site's table in a file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RoutesFile {
    /// Whose it is.
    #[schemars(with = "String")]
    pub of: Name,
    /// The file, as JSON.
    pub file: PathBuf,
}

impl RoutesTable {
    /// The merge of what the files have now.
    ///
    /// # Errors
    /// Says which file cannot be read, or which of its fields is at fault.
    pub fn merged(&self) -> Result<Merged, ConfigError> {
        let tables: Result<Tables, ConfigError> =
            self.files.iter().map(|file| Ok((file.of.clone(), self.table(file)?))).collect();
        Ok(Merged::of(&tables?))
    }

    fn table(&self, RoutesFile { of, file }: &RoutesFile) -> Result<Table, ConfigError> {
        let bytes = std::fs::read(file)
            .map_err(|cause| ConfigError::File { path: file.display().to_string(), cause })?;
        let terms = Terms {
            partner: of.clone(),
            own: self.site.clone(),
            bytes: MOST_BYTES,
            routes: MOST_ROUTES,
            stale_ms: 0,
            grants: Vec::new(),
        };
        let read = terms.read(&bytes).and_then(|document| Table::default().after(&document, &terms));
        read.map_err(|refused| ConfigError::Value(format!("{}: {refused}", Path::new(file).display())))
    }
}
