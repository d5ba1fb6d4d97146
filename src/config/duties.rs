//! The operator's table for duties that one node of the fleet does at a time.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::fault::Fault;
use crate::lease::expiry::LEASE_MS;
use crate::lease::{DutyName, MOST_DUTIES};

/// The range of renewals over which a duty may stand still.
const STILL: (u64, u64) = (2, 10_000);
/// The longest time for which a node counts as cold, in ms.
const MOST_COLD_MS: u64 = 3_600_000;
/// The shortest and the longest time between two beats, in ms.
const EVERY_MS: (u64, u64) = (5, 3_600_000);

/// The node's part in duties.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct DutiesTable {
    /// For how long the node may act without the store, in ms; when it dies, its duties wait so long.
    pub lease_ms: u64,
    /// Renewals, four in each lease, over which a duty may make no progress before it is taken.
    pub still: u32,
    /// How many times as much as others the node is given; 0 for nothing.
    pub weight: u8,
    /// How long it counts as cold after its start, in ms.
    pub cold_ms: u64,
    /// Duties that announce themselves. All nodes of the fleet should have the same.
    pub beats: Vec<HeartbeatTable>,
}

/// A duty whose holder beats at an address.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct HeartbeatTable {
    /// The duty's name.
    pub name: String,
    /// Where its holder beats.
    #[schemars(with = "String")]
    pub address: SocketAddr,
    /// How often, in ms.
    #[serde(default = "HeartbeatTable::every")]
    pub every_ms: u64,
}

impl HeartbeatTable {
    fn every() -> u64 {
        1000
    }
}

impl Default for DutiesTable {
    fn default() -> Self {
        Self { lease_ms: 3000, still: 40, weight: 1, cold_ms: 5000, beats: Vec::new() }
    }
}

impl DutiesTable {
    pub(super) fn check(&self, has_fleet: bool, faults: &mut Vec<Fault>) {
        if !has_fleet {
            faults.push(Fault::new("duties", "", "needs the table fleet: nodes of it hold them"));
        }
        let mut within = |key: String, value: u64, (least, most): (u64, u64)| {
            if !(least..=most).contains(&value) {
                let why = format!("is not from {least} to {most}");
                faults.push(Fault::new(format!("duties.{key}"), value, why));
            }
        };
        within("lease_ms".to_owned(), self.lease_ms, LEASE_MS);
        within("still".to_owned(), self.still.into(), STILL);
        within("cold_ms".to_owned(), self.cold_ms, (0, MOST_COLD_MS));
        within("beats".to_owned(), self.beats.len() as u64, (0, MOST_DUTIES as u64));
        for (at, heartbeat) in self.beats.iter().enumerate() {
            within(format!("beats[{at}].every_ms"), heartbeat.every_ms, EVERY_MS);
        }
        let mut names = BTreeSet::new();
        for (at, heartbeat) in self.beats.iter().enumerate() {
            let key = format!("duties.beats[{at}].name");
            match DutyName::new(heartbeat.name.clone()) {
                Err(bad) => faults.push(Fault::new(key, &heartbeat.name, bad.to_string())),
                Ok(name) if !names.insert(name.clone()) => {
                    faults.push(Fault::new(key, &heartbeat.name, "is there twice"));
                }
                Ok(_) => {}
            }
        }
    }
}
