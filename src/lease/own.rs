//! What a node's session has, as the node itself knows it: under which numbers it may act and until when. Answers of the
//! store may come late, twice and in any order.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::expiry::good_until;
use super::table::{Grant, Grants};
use super::{DutyName, Fence};

/// A session's duties at its node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Own {
    session: u64,
    revision: u64,
    until_ms: u64,
    held: BTreeMap<DutyName, u64>,
    /// The last number of each duty under which was acted here: no number is begun twice.
    begun: BTreeMap<DutyName, u64>,
}

/// What an answer of the store changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Turned {
    /// These may be begun.
    pub begun: Vec<Grant>,
    /// These are over at once; the store waits for word of it.
    pub over: Vec<Fence>,
    /// These are to be handed on.
    pub hand_on: Vec<DutyName>,
    /// The store counts these as held, and nobody here acts under them any more: the word of it was lost.
    pub left: Vec<Fence>,
}

impl Own {
    /// What a session has at its beginning. Numbers that a session before it of this process acted under stay used.
    pub fn begin(&mut self, session: u64) {
        self.end();
        self.session = session;
    }

    /// Until when it may act, on the clock of [`super::expiry::now_ms`]; 0 where it may not.
    pub fn until_ms(&self) -> u64 {
        self.until_ms
    }

    /// Whether it may act under a number now: its lease is good, and the duty was not taken.
    pub fn may(&self, now_ms: u64, fence: &Fence) -> bool {
        now_ms < self.until_ms && self.held.get(&fence.duty) == Some(&fence.number)
    }

    /// What it acts under.
    pub fn held(&self) -> impl Iterator<Item = Fence> {
        self.held.iter().map(|(duty, number)| Fence { duty: duty.clone(), number: *number })
    }

    /// The store has confirmed a renewal that was asked for then.
    pub fn renewed(&mut self, session: u64, asked_ms: u64, lease_ms: u64) {
        if session != self.session {
            return;
        }
        self.until_ms = self.until_ms.max(good_until(asked_ms, lease_ms));
    }

    /// Turns to what the store says; what is older than what it said before, or is of another
    /// session, counts for nothing.
    pub fn turn_to(&mut self, grants: Grants) -> Turned {
        let mut turned = Turned::default();
        if grants.session != self.session || grants.revision < self.revision {
            return turned;
        }
        self.revision = grants.revision;
        let listed: BTreeMap<&DutyName, u64> =
            grants.grants.iter().map(|grant| (&grant.duty, grant.number)).collect();
        self.held.retain(|duty, number| {
            let stays = listed.get(duty) == Some(number);
            if !stays {
                turned.over.push(Fence { duty: duty.clone(), number: *number });
            }
            stays
        });
        for grant in grants.grants {
            let begun = self.begun.get(&grant.duty).copied().unwrap_or(0);
            if self.held.contains_key(&grant.duty) {
                if grant.hand_on {
                    turned.hand_on.push(grant.duty);
                }
            } else if grant.number > begun {
                self.begun.insert(grant.duty.clone(), grant.number);
                self.held.insert(grant.duty.clone(), grant.number);
                if grant.hand_on {
                    turned.hand_on.push(grant.duty.clone());
                }
                turned.begun.push(grant);
            } else {
                turned.left.push(Fence { duty: grant.duty, number: grant.number });
            }
        }
        turned
    }

    /// Nobody acts under this number any more. Says whether somebody did.
    pub fn stop(&mut self, fence: &Fence) -> bool {
        let did = self.held.get(&fence.duty) == Some(&fence.number);
        if did {
            self.held.remove(&fence.duty);
        }
        did
    }

    /// What goes to the node's next process: nothing is held there but what has ended here.
    pub fn pass(mut self, ended: impl Fn(&Fence) -> bool) -> Self {
        self.held.retain(|duty, number| ended(&Fence { duty: duty.clone(), number: *number }));
        self
    }

    /// It has come from another process, which sent it then. Where that is ahead of this one's clock, they have different
    /// clocks (another boot or another namespace of time), and nothing may be done until the lease is renewed.
    pub fn arrive(&mut self, sent_ms: u64, now_ms: u64, lease_ms: u64) {
        if now_ms < sent_ms || self.until_ms > good_until(sent_ms, lease_ms) {
            self.until_ms = 0;
        }
    }

    /// The session is over: nothing of it counts any more.
    pub fn end(&mut self) -> Vec<Fence> {
        (self.session, self.until_ms, self.revision) = (0, 0, 0);
        let over = self.held().collect();
        self.held.clear();
        over
    }
}
