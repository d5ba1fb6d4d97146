//! The operator's tables for a dependency whose servers a node reaches itself, and for what nodes tell each other of
//! them.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use ipnet::IpNet;
use serde::{Deserialize, Serialize};

use crate::route::{Options, Spec};

/// Servers and donors that a file names at the most.
const MOST_SERVERS: usize = 10_000;
const MOST_DONORS: usize = 8;

/// A value that cannot be used: its key, itself, and why.
pub(super) type Fault = (String, String, &'static str);

/// The servers of the records service. With this table the platform's address for it is not used.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordsTable {
    /// How they are chosen among.
    #[serde(default)]
    pub choice: Options,
    /// The servers.
    pub servers: Vec<Spec>,
}

impl RecordsTable {
    /// Holds every value to its range.
    pub(super) fn check(&self) -> Result<(), Fault> {
        let c = &self.choice;
        let figures = [
            ("cross_zone", c.cross_zone, 1.0, 100.0, "is not from 1 to 100"),
            ("most_in_hand", c.most_in_hand, 1.0, 1e6, "is not from 1 to 1000000"),
            ("most_out", c.most_out, 0.0, 0.9, "is not from 0 to 0.9"),
            ("retry_share", c.retry_share, 0.0, 1.0, "is not from 0 to 1"),
            ("warm_ms", c.warm_ms, 1.0, 3.6e6, "is not from 1 to 3600000"),
            ("warm_from", c.warm_from, 0.01, 1.0, "is not from 0.01 to 1"),
        ];
        if let Some((key, value, _, _, why)) =
            figures.into_iter().find(|(_, v, least, most, _)| !(*least <= *v && *v <= *most))
        {
            return Err((format!("records.choice.{key}"), value.to_string(), why));
        }
        if self.servers.is_empty() || self.servers.len() > MOST_SERVERS {
            let count = self.servers.len().to_string();
            return Err(("records.servers".to_owned(), count, "is not from 1 to 10000 servers"));
        }
        let mut seen = HashSet::new();
        for (at, server) in self.servers.iter().enumerate() {
            let key = |name: &str| format!("records.servers[{at}].{name}");
            if !(0.01..=1000.0).contains(&server.weight) {
                return Err((key("weight"), server.weight.to_string(), "is not from 0.01 to 1000"));
            }
            if !seen.insert(server.address) {
                return Err((key("address"), server.address.to_string(), "is named twice"));
            }
        }
        Ok(())
    }
}

/// What nodes tell each other of the servers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct KnowledgeTable {
    /// Where others, and the operator, ask; without it nobody can.
    pub listen: Option<SocketAddr>,
    /// The networks that may ask.
    pub allow: Vec<IpNet>,
    /// The nodes that are asked at the start.
    pub donors: Vec<SocketAddr>,
    /// How long a donor has for its answer, in ms; without it, 1 s.
    pub deadline_ms: Option<u64>,
}

impl KnowledgeTable {
    /// How long a donor has for its answer.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms.unwrap_or(1_000))
    }

    /// Whether nothing is set.
    pub(super) fn is_off(&self) -> bool {
        *self == Self::default()
    }

    /// Holds every value to its range; without servers there is nothing to tell of.
    pub(super) fn check(&self, has_servers: bool) -> Result<(), Fault> {
        if !has_servers && !self.is_off() {
            return Err(("knowledge".to_owned(), "the table".to_owned(), "is of no use without [records]"));
        }
        let fault = |key: &str, value: String, why| Err((format!("knowledge.{key}"), value, why));
        if self.listen.is_some() && self.allow.is_empty() {
            return fault("allow", "[]".to_owned(), "names no network, so nobody could ask");
        }
        if self.donors.len() > MOST_DONORS {
            return fault("donors", self.donors.len().to_string(), "are over 8");
        }
        if let Some(own) = self.donors.iter().find(|donor| Some(**donor) == self.listen) {
            return fault("donors", own.to_string(), "is this node itself");
        }
        match self.deadline_ms {
            Some(ms) if !(10..=60_000).contains(&ms) => {
                fault("deadline_ms", ms.to_string(), "is not from 10 to 60000")
            }
            _ => Ok(()),
        }
    }
}
