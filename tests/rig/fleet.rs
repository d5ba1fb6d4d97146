//! A fleet on the rig: the first few processes are members of the store, and all of them belong.

use std::net::SocketAddr;
use std::time::Duration;

use sillflow::fleet::gossip::State;
use sillflow::fleet::wire::{Line, Question, Report, Told, ask};

use super::relay::DATAGRAMS;
use super::{PATIENCE, Rig, until, wait};

/// Members of the store.
pub const STORE: usize = 3;

impl Rig {
    /// Where a process listens for the fleet, with nothing between.
    pub fn fleet_address(&self, n: usize) -> SocketAddr {
        let host = self.address(n).split(':').next().unwrap_or_default().to_owned();
        format!("{host}:{DATAGRAMS}").parse().expect("an address")
    }

    /// The operator's file of a node in a zone, under its own name or another's.
    pub fn fleet_table(&self, n: usize, zone: usize) -> String {
        let relayed = self.relayed(n).split(':').next().unwrap_or_default().to_owned();
        let stores: Vec<String> = (1..=STORE).map(|member| self.relayed(member)).collect();
        let store = if n <= STORE { self.table(n, &(1..=STORE).collect::<Vec<_>>()) } else { String::new() };
        format!(
            "{store}\n[fleet]\nlisten = \"{}\"\naddress = \"{relayed}:{DATAGRAMS}\"\ndirectory = {:?}\nzone = \"z{zone}\"\nstore = {stores:?}\n",
            self.fleet_address(n),
            self.dir.join(format!("fleet-{n}")),
        )
    }

    pub fn join(&mut self, n: usize, zone: usize) {
        let table = self.fleet_table(n, zone);
        self.start_with(n, &table, "");
    }

    /// Starts so many nodes, in three zones, and waits until each knows that all belong.
    pub fn fleet(&mut self, count: usize) -> Duration {
        (1..=STORE).for_each(|n| self.join(n, n % 3));
        self.led(&(1..=STORE).collect::<Vec<_>>());
        (STORE + 1..=count).for_each(|n| self.join(n, n % 3));
        let all: Vec<usize> = (1..=count).collect();
        until("all belong", PATIENCE * 2, || self.all_see(&all, count))
    }

    /// Whether the file of a node has it among those that belong.
    pub fn has_kept(&self, n: usize) -> bool {
        let file = self.dir.join(format!("fleet-{n}")).join("fleet.json");
        std::fs::read_to_string(file).is_ok_and(|text| text.contains(&format!("\"n{n}\"")))
    }

    /// Whether each of these knows that so many belong, itself among them.
    pub fn all_see(&self, these: &[usize], count: usize) -> bool {
        these.iter().all(|n| {
            self.seen(*n).is_some_and(|seen| seen.nodes.len() == count && seen.incarnation.is_some())
        })
    }

    /// What a node sees of the fleet.
    pub fn seen(&self, n: usize) -> Option<Report> {
        match wait(ask(self.fleet_address(n), &Question::Report)) {
            Ok(Told::Report(report)) => Some(*report),
            _ => None,
        }
    }

    pub fn tell(&self, n: usize, question: &Question) -> Result<String, String> {
        match wait(ask(self.fleet_address(n), question)) {
            Ok(Told::Done(done)) => Ok(done),
            other => Err(format!("{other:?}")),
        }
    }

    /// What a node thinks of another.
    pub fn thinks(&self, n: usize, of: usize) -> Option<State> {
        line(&self.seen(n)?, of)?.opinion.map(|opinion| opinion.state)
    }

    /// How many of these take another one for dead.
    pub fn hold_dead(&self, these: &[usize], of: usize) -> usize {
        these.iter().filter(|n| self.thinks(**n, of) == Some(State::Dead)).count()
    }

    /// Nodes that any of these takes for dead.
    pub fn dead(&self, these: &[usize]) -> Vec<String> {
        let dead = |line: &&Line| line.opinion.is_some_and(|opinion| opinion.state == State::Dead);
        let name = |line: &Line| line.node.applicant.name.clone();
        let seen = these.iter().filter_map(|n| self.seen(*n));
        let mut names: Vec<String> =
            seen.flat_map(|seen| seen.nodes.iter().filter(dead).map(name).collect::<Vec<_>>()).collect();
        names.sort();
        names.dedup();
        names
    }
}

/// What a report says of a node.
pub fn line(report: &Report, of: usize) -> Option<Line> {
    report.nodes.iter().find(|line| line.node.applicant.name == format!("n{of}")).cloned()
}
