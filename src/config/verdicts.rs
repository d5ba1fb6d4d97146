//! The operator's table for votes before a server is removed for the whole fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::fault::Fault;
use super::routes::RecordsTable;
use crate::ejection::cap::{Limits, Member, OperatorOverride};
use crate::ejection::coordinator::Policy;
use crate::ejection::detection::Rules;
use crate::lease::DutyName;

/// The range of machines that may lie.
const LIARS: (usize, usize) = (0, 64);
/// Servers that each list of an operator's words names at the most.
const MOST_WORDS: usize = 1024;

/// The node's part in the votes on servers of the records service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct VerdictsTable {
    /// The port on which nodes tell each other, at the address where the fleet reaches them. All nodes have the same.
    pub port: u16,
    /// The duty of the node that counts. All nodes have the same.
    pub duty: String,
    /// How many machines may lie; without it one in 32, and at least one.
    pub liars: Option<usize>,
    /// How many servers may be out at once.
    pub limits: Limits,
    /// The number of the latest list is kept here over a restart; without it, in the fleet's directory where there is one.
    pub file: Option<PathBuf>,
    /// Servers that no vote removes. As with the next two, the words of the node that counts are in force.
    #[schemars(with = "Vec<String>")]
    pub always_in: Vec<SocketAddr>,
    /// Servers that are out, whatever votes say.
    #[schemars(with = "Vec<String>")]
    pub out_now: Vec<SocketAddr>,
    /// Servers that are being worked on: what they do meanwhile is not held against them.
    #[schemars(with = "Vec<String>")]
    pub in_work: Vec<SocketAddr>,
}

impl Default for VerdictsTable {
    fn default() -> Self {
        Self {
            port: 7073,
            duty: "verdicts".to_owned(),
            liars: None,
            limits: Limits::default(),
            file: None,
            always_in: Vec::new(),
            out_now: Vec::new(),
            in_work: Vec::new(),
        }
    }
}

impl VerdictsTable {
    /// Holds every value to its range. `has` tells whether there are the tables records, fleet and duties.
    pub(super) fn check(&self, has: [bool; 3], faults: &mut Vec<Fault>) {
        let needs = [
            ("records", "its servers are voted on"),
            ("fleet", "nodes of it vote"),
            ("duties", "to count is one"),
        ];
        for ((table, why), _) in needs.iter().zip(has).filter(|(_, has)| !has) {
            faults.push(Fault::new("verdicts", "", format!("needs the table {table}: {why}")));
        }
        if self.port == 0 {
            faults.push(Fault::new("verdicts.port", 0, "is no port that others can know"));
        }
        if let Err(bad) = DutyName::new(self.duty.clone()) {
            faults.push(Fault::new("verdicts.duty", &self.duty, bad.to_string()));
        }
        if let Some(liars) = self.liars.filter(|liars| !(LIARS.0..=LIARS.1).contains(liars)) {
            let why = format!("is not from {} to {}", LIARS.0, LIARS.1);
            faults.push(Fault::new("verdicts.liars", liars, why));
        }
        for (key, part) in [("most_out", self.limits.most_out), ("many", self.limits.many)] {
            if !(0.0..=1.0).contains(&part) {
                faults.push(Fault::new(format!("verdicts.limits.{key}"), part, "is not from 0 to 1"));
            }
        }
        let words = [("always_in", &self.always_in), ("out_now", &self.out_now), ("in_work", &self.in_work)];
        for (key, servers) in words {
            if servers.len() > MOST_WORDS {
                let why = format!("are over {MOST_WORDS} servers");
                faults.push(Fault::new(format!("verdicts.{key}"), servers.len(), why));
            }
        }
        for (at, server) in self.out_now.iter().enumerate().filter(|(_, one)| self.always_in.contains(one)) {
            faults.push(Fault::new(format!("verdicts.out_now[{at}]"), server, "is in always_in as well"));
        }
    }

    /// What the node that counts holds to, with these servers.
    pub fn terms(&self, records: &RecordsTable) -> Policy {
        let member = |spec: &crate::route::Spec| Member {
            server: spec.address,
            zone: spec.zone.clone(),
            capacity: spec.weight,
            routes: Vec::new(),
        };
        let always = self.always_in.iter().map(|server| (*server, OperatorOverride::AlwaysIn));
        let words: BTreeMap<SocketAddr, OperatorOverride> =
            always.chain(self.out_now.iter().map(|server| (*server, OperatorOverride::OutNow))).collect();
        let in_work: BTreeSet<SocketAddr> = self.in_work.iter().copied().collect();
        Policy {
            members: records.servers.iter().map(member).collect(),
            words,
            in_work,
            limits: self.limits,
            rules: Rules { liars: self.liars, injected_fault: None },
        }
    }
}
