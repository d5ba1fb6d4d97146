//! The list that a new holder goes on from, out of what nodes say that they have. Any of them may lie, and a list that was
//! made up would be in force for all: so one counts only where more machines tell it alike than may lie, or where this
//! node has it itself, from a holder that the store has vouched for.

use std::collections::{BTreeMap, BTreeSet};

use super::list::{List, Number};
use crate::fault_injection::{self, InjectedFault};

/// Lists of one machine that are looked at: its nodes may be one list apart.
const MOST_OF_MACHINE: usize = 2;

/// What was told so far.
#[derive(Clone, Debug)]
pub struct LatestList {
    /// The number of the duty: every list before it has a lower one.
    fence: u64,
    /// Machines that have to tell a list alike.
    needed: usize,
    own: Option<List>,
    told: Vec<(List, BTreeSet<String>)>,
    of_machine: BTreeMap<String, usize>,
}

impl LatestList {
    /// For a holder under this number, where so many machines may lie. `own` is the list that it has itself.
    pub fn new(fence: u64, liars: usize, own: Option<List>) -> Self {
        let needed = if fault_injection::is_active(InjectedFault::ListUnproved) { 1 } else { liars + 1 };
        Self { fence, needed, own, told: Vec::new(), of_machine: BTreeMap::new() }
    }

    /// Hears a list from a node on a machine.
    pub fn receive(&mut self, machine: &str, list: List) {
        if list.number.fence >= self.fence {
            return;
        }
        let count = self.of_machine.entry(machine.to_owned()).or_default();
        *count += 1;
        if *count > MOST_OF_MACHINE {
            return;
        }
        match self.told.iter_mut().find(|(told, _)| *told == list) {
            Some((_, machines)) => _ = machines.insert(machine.to_owned()),
            None => self.told.push((list, BTreeSet::from([machine.to_owned()]))),
        }
    }

    /// The latest list that counts.
    pub fn found(&self) -> Option<&List> {
        let alike = self.told.iter().filter(|(_, machines)| machines.len() >= self.needed);
        alike.map(|(list, _)| list).chain(&self.own).max_by_key(|list| list.number)
    }

    /// Its number.
    pub fn number(&self) -> Number {
        self.found().map_or(Number::default(), |list| list.number)
    }
}
