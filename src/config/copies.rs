//! The operator's table for copies of keys and results on further nodes.

use std::path::PathBuf;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::fault::Fault;
use crate::replication::slots::{MOST_COPIES, Terms};

/// The widest window of a key, in ms.
const MOST_WINDOW_MS: u64 = 3_600_000;
/// The longest wait for holders, in ms.
const MOST_CLAIM_MS: u64 = 10_000;
/// The least and the most memory for copies, in kB.
const MEMORY_KB: (usize, usize) = (64, 1 << 20);
/// The greatest weight.
const MOST_WEIGHT: u8 = 16;

/// What is done with a result that cannot be copied in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Late {
    /// The request fails; repeats get the result once it is copied.
    #[default]
    Fail,
    /// It is served, and counted as less than promised.
    Serve,
}

/// What is copied to further nodes of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct CopiesTable {
    /// Holders of each key: the whole fleet keeps to the number that was set last.
    pub holders: u8,
    /// The widest window of a key, in ms; a class with a wider one is not copied, and its requests are refused.
    pub window_ms: u64,
    /// Where claims and results are synced before a holder says yes; without it, they are kept in memory.
    pub directory: Option<PathBuf>,
    /// Memory for what is held for others, in kB.
    pub memory_kb: usize,
    /// How many times as much as others it holds; 0 for nothing.
    pub weight: u8,
    /// How long the holders may take to give a claim, in ms.
    pub claim_ms: u64,
    /// Classes whose requests run under the node's own table where the holders cannot be reached.
    pub alone: Vec<String>,
    /// What is done with a result that cannot be copied in time.
    pub late: Late,
    /// Whether the node leaves the fleet when it is stopped, and hands its copies on; without it, one that keeps them in
    /// memory does and one with a directory does not.
    pub leave_on_stop: Option<bool>,
}

impl Default for CopiesTable {
    fn default() -> Self {
        Self {
            holders: 3,
            window_ms: 120_000,
            directory: None,
            memory_kb: 8192,
            weight: 1,
            claim_ms: 400,
            alone: Vec::new(),
            late: Late::default(),
            leave_on_stop: None,
        }
    }
}

impl CopiesTable {
    /// What the whole fleet is to keep to, by this file.
    pub fn terms(&self) -> Terms {
        Terms { copies: self.holders, window_ms: self.window_ms }
    }

    /// Whether the node leaves when it is stopped.
    pub fn leaves(&self) -> bool {
        self.leave_on_stop.unwrap_or(self.directory.is_none())
    }

    pub(super) fn check(&self, has_fleet: bool, faults: &mut Vec<Fault>) {
        if !has_fleet {
            faults.push(Fault::new("copies", "", "needs the table fleet: the holders are nodes of it"));
        }
        let mut within = |key: &str, value: u64, least: u64, most: u64| {
            if !(least..=most).contains(&value) {
                let why = format!("is not from {least} to {most}");
                faults.push(Fault::new(format!("copies.{key}"), value, why));
            }
        };
        within("holders", self.holders.into(), 1, MOST_COPIES.into());
        within("window_ms", self.window_ms, 1, MOST_WINDOW_MS);
        within("memory_kb", self.memory_kb as u64, MEMORY_KB.0 as u64, MEMORY_KB.1 as u64);
        within("weight", self.weight.into(), 0, MOST_WEIGHT.into());
        within("claim_ms", self.claim_ms, 1, MOST_CLAIM_MS);
    }
}
