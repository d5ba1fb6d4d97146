//! The merge: a function of the set of tables, kept up to date by changes at a cost that goes by their size.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

use thiserror::Error;

use super::lookup::Index;
use super::route::{Match, Name, Route};
use super::table::Table;

/// A route with whom it is from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// The partner that told it, or this site.
    pub from: Name,
    /// The route.
    pub route: Arc<Route>,
    /// It has been withdrawn with most of the others and is used for a while, and told to nobody.
    pub withdrawn: bool,
}

/// What decides between two routes for the same requests, in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// The one that is not withdrawn.
    Withdrawn,
    /// The one of higher preference.
    Preference,
    /// The one that came through fewer sites.
    Length,
    /// The first by its path's names, then the name of who told it, then its own.
    Name,
}

type Rank<'a> = (bool, Reverse<u32>, usize, &'a [Name], &'a Name, &'a Name);

impl Held {
    /// The lower is chosen. Every site ranks by the same rule, and a route is lower at no site than at the one before it:
    /// that is why routes that sites pass to each other come to rest.
    pub fn rank(&self) -> Rank<'_> {
        let Route { preference, path, name, .. } = self.route.as_ref();
        (self.withdrawn, Reverse(*preference), path.len(), path, &self.from, name)
    }

    /// Which rule chose this one over another.
    pub fn over(&self, other: &Self) -> Rule {
        let (one, two) = (self.rank(), other.rank());
        if one.0 != two.0 {
            Rule::Withdrawn
        } else if one.1 != two.1 {
            Rule::Preference
        } else if one.2 != two.2 {
            Rule::Length
        } else {
            Rule::Name
        }
    }
}

/// A route of a partner that comes, changes or goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// What it was in the merge.
    pub before: Option<Held>,
    /// What it is.
    pub after: Option<Held>,
}

/// The tables of all partners, by name.
pub type Tables = BTreeMap<Name, Table>;

/// Both sets of tables: of each partner the higher version, and where a partner told two tables under one version, the
/// greater of these. It is commutative, associative and idempotent.
pub fn join(one: &Tables, two: &Tables) -> Tables {
    let mut both = one.clone();
    for (partner, table) in two {
        let kept = both.entry(partner.clone()).or_default();
        *kept = std::mem::take(kept).max(table.clone());
    }
    both
}

/// A change under the number of a duty that has been handed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the number {told} is below {seen}")]
pub struct Superseded {
    /// The number that it was to be made under.
    pub told: u64,
    /// The highest that has been seen.
    pub seen: u64,
}

/// The merged table. A clone is a snapshot: it costs next to nothing and stays as it is.
#[derive(Clone, Default)]
pub struct Merged {
    number: u64,
    index: Index,
}

impl Merged {
    /// The merge of these tables.
    pub fn of(tables: &Tables) -> Self {
        let mut merged = Self::default();
        for (partner, table) in tables {
            for route in table.routes.values() {
                let after = Held { from: partner.clone(), route: route.clone(), withdrawn: false };
                merged.change(&Change { before: None, after: Some(after) });
            }
        }
        merged
    }

    /// Makes changes under the number of the duty. What is returned are the requests whose routes have changed.
    ///
    /// # Errors
    /// A higher number has been seen: nothing is changed.
    pub fn apply(&mut self, number: u64, changes: &[Change]) -> Result<Vec<Match>, Superseded> {
        if number < self.number {
            return Err(Superseded { told: number, seen: self.number });
        }
        self.number = number;
        let mut matches: Vec<Match> = changes.iter().flat_map(|change| self.change(change)).collect();
        matches.sort_unstable();
        matches.dedup();
        Ok(matches)
    }

    fn change(&mut self, Change { before, after }: &Change) -> Vec<Match> {
        let mut changed = Vec::new();
        if let Some(before) = before {
            self.index.alter(&before.route.matches, |chain| {
                chain.retain(|held| held.from != before.from || held.route.name != before.route.name);
            });
            changed.push(before.route.matches.clone());
        }
        if let Some(after) = after {
            self.index.alter(&after.route.matches, |chain| {
                let at = chain.partition_point(|held| held.rank() < after.rank());
                if chain.get(at) != Some(after) {
                    chain.insert(at, after.clone());
                }
            });
            changed.push(after.route.matches.clone());
        }
        changed
    }

    /// The routes for just these requests, the chosen one first.
    pub fn chain(&self, matches: &Match) -> &[Held] {
        self.index.chain(matches)
    }

    /// What was chosen for just these requests, and over what by which rule.
    pub fn explain(&self, matches: &Match) -> Option<(&Held, Vec<(&Held, Rule)>)> {
        let (chosen, others) = self.chain(matches).split_first()?;
        Some((chosen, others.iter().map(|other| (other, chosen.over(other))).collect()))
    }

    /// Where requests are looked up.
    pub fn index(&self) -> &Index {
        &self.index
    }

    /// The number of the duty under which it was changed last.
    pub fn number(&self) -> u64 {
        self.number
    }
}
