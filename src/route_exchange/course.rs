//! The sites that a request goes to, one after the other: all from one table, each once, and none after it may have run
//! where a second run would do harm.

use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;

use super::merge::{Held, Merged};
use super::route::{Name, Request, Subjects};
use crate::fault_injection::{self, InjectedFault};

/// A request, as far as it is known.
#[derive(Clone, Copy, Debug)]
pub struct Asked<'a> {
    /// Its class.
    pub class: &'a str,
    /// Its tenant, where it names one.
    pub tenant: Option<&'a str>,
    /// Its subject, where it names one: without it, it takes no route for some subjects alone.
    pub subject: Option<u64>,
    /// Where it comes from, where that is known: without it, it takes no route for some addresses alone.
    pub address: Option<IpAddr>,
}

impl Asked<'_> {
    fn request(&self) -> Request<'_> {
        let address = self.address.map_or(Ipv4Addr::UNSPECIFIED.into(), |address| address.to_canonical());
        Request { class: self.class, tenant: self.tenant, subject: self.subject.unwrap_or(0), address }
    }

    /// Whether a route does not hang on what is not known.
    fn is_told_enough(&self, held: &Held) -> bool {
        let matches = &held.route.matches;
        (self.subject.is_some() || matches.subjects == Subjects::ALL)
            && (self.address.is_some() || matches.addresses.is_none())
    }
}

/// What became of a request at the site that was chosen last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tried {
    /// None has been chosen yet.
    Nothing,
    /// It has not run there, for sure.
    NotRun,
    /// It may have run there.
    MayHaveRun,
}

/// Where a request goes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next<T> {
    /// There.
    To(T),
    /// Nowhere: none of its routes can be taken, or it may not run again.
    Nowhere,
    /// No route serves it.
    Unserved,
}

/// A request's choices: all from one table, each site once.
pub struct Course {
    table: Arc<Merged>,
    /// In ms since 1970 (UTC).
    began: u64,
    tried: Vec<Name>,
}

impl Course {
    /// Begins with the table in force. `now` is in ms since 1970 (UTC), here and below.
    pub fn new(table: Arc<Merged>, now: u64) -> Self {
        Self { table, began: now, tried: Vec::new() }
    }

    /// Where to go next: to the first site that was not chosen before and that `take` takes. A request that is not safe
    /// to repeat goes nowhere else once it may have run. The retry budget and the time that is due are the caller's.
    pub fn next<T>(
        &mut self,
        asked: &Asked,
        safe: bool,
        tried: Tried,
        now: u64,
        mut take: impl FnMut(&Held) -> Option<T>,
    ) -> Next<T> {
        if !safe && tried == Tried::MayHaveRun && !fault_injection::is_active(InjectedFault::RunAgain) {
            return Next::Nowhere;
        }
        let (request, now) = (asked.request(), self.moment(now));
        let mut courses = self.table.index().courses(&request, now).filter(|held| asked.is_told_enough(held));
        let mut is_served = !self.tried.is_empty();
        let next = courses.find_map(|held| {
            is_served = true;
            let is_new = !self.tried.contains(&held.from);
            is_new.then(|| take(held)).flatten().map(|taken| (held.from.clone(), taken))
        });
        match next {
            Some((site, taken)) => {
                self.tried.push(site);
                Next::To(taken)
            }
            None if is_served => Next::Nowhere,
            None => Next::Unserved,
        }
    }

    /// Whether a route that was taken may be used once more: its tenants, and its end, hold at each choice.
    pub fn still_serves(&self, held: &Held, asked: &Asked, now: u64) -> bool {
        held.route.restrictions.serves(asked.tenant, self.moment(now))
    }

    fn moment(&self, now: u64) -> u64 {
        if fault_injection::is_active(InjectedFault::EndForgotten) { self.began } else { now }
    }

    /// What must not happen: it goes on by another table.
    pub(crate) fn planted_turn(&mut self, newer: &Arc<Merged>) {
        if fault_injection::is_active(InjectedFault::NewerTable) {
            self.table = newer.clone();
        }
    }
}
