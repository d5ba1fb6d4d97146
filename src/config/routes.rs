//! The operator's tables for a dependency whose servers a node reaches itself, and for what nodes tell each other of
//! them.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use ipnet::IpNet;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::fault::Fault;
use crate::route::{Options, Spec};

/// Servers and donors that a file names at the most.
const MOST_SERVERS: usize = 10_000;
const MOST_DONORS: usize = 8;

/// The servers of the records service. With this table the platform's address for it is not used.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
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
    pub(super) fn check(&self, faults: &mut Vec<Fault>) {
        let c = &self.choice;
        let figures = [
            ("cross_zone", c.cross_zone_factor, 1.0, 100.0),
            ("most_in_hand", c.max_in_flight, 1.0, 1e6),
            ("most_out", c.max_ejected_share, 0.0, 0.9),
            ("retry_share", c.retry_share, 0.0, 1.0),
            ("warm_ms", c.warm_ms, 1.0, 3.6e6),
            ("warm_from", c.cold_speed, 0.01, 1.0),
        ];
        let calls = c.slow_start_calls.map(|calls| ("slow_start_calls", calls, 0.0, 1e6));
        let processes = c.processes.map(|processes| ("processes", f64::from(processes), 1.0, 1e6));
        for (key, value, least, most) in figures.into_iter().chain(calls).chain(processes) {
            within(format!("records.choice.{key}"), value, (least, most), faults);
        }
        if self.servers.is_empty() || self.servers.len() > MOST_SERVERS {
            let why = format!("is not from 1 to {MOST_SERVERS} servers");
            faults.push(Fault::new("records.servers", self.servers.len(), why));
        }
        let mut seen = HashSet::new();
        for (at, server) in self.servers.iter().enumerate() {
            within(format!("records.servers[{at}].weight"), server.weight, (0.01, 1000.0), faults);
            if !seen.insert(server.address) {
                let key = format!("records.servers[{at}].address");
                faults.push(Fault::new(key, server.address, "is named twice"));
            }
        }
    }
}

/// What is no number lies in no range.
fn within(key: String, value: f64, (least, most): (f64, f64), faults: &mut Vec<Fault>) {
    if !(least <= value && value <= most) {
        faults.push(Fault::new(key, value, format!("is not from {least} to {most}")));
    }
}

/// What nodes tell each other of the servers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct KnowledgeTable {
    /// Where others, and the operator, ask; without it nobody can.
    #[schemars(with = "Option<String>")]
    pub listen: Option<SocketAddr>,
    /// The networks that may ask.
    #[schemars(with = "Vec<String>")]
    pub allow: Vec<IpNet>,
    /// The nodes that are asked at the start.
    #[schemars(with = "Vec<String>")]
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
    pub(super) fn check(&self, has_servers: bool, faults: &mut Vec<Fault>) {
        if self.is_off() {
            return;
        }
        if !has_servers {
            faults.push(Fault::new("knowledge", "", "the table is of no use without [records]"));
        }
        if self.listen.is_some() && self.allow.is_empty() {
            faults.push(Fault::new("knowledge.allow", "[]", "names no network, so nobody could ask"));
        }
        if self.donors.len() > MOST_DONORS {
            let why = format!("are over {MOST_DONORS}");
            faults.push(Fault::new("knowledge.donors", self.donors.len(), why));
        }
        for (at, own) in self.donors.iter().enumerate().filter(|(_, donor)| Some(**donor) == self.listen) {
            faults.push(Fault::new(format!("knowledge.donors[{at}]"), own, "is this node itself"));
        }
        if let Some(ms) = self.deadline_ms.filter(|ms| !(10..=60_000).contains(ms)) {
            faults.push(Fault::new("knowledge.deadline_ms", ms, "is not from 10 to 60000"));
        }
    }
}
