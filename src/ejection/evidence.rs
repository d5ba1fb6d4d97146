//! What the calls of one voter tell of servers: counts over short spans, never an opinion.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::ops::AddAssign;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Time that is counted together, in ms, and such slots that count at the most.
pub const SLOT_MS: f64 = 1_000.0;
/// See [`SLOT_MS`].
pub const SLOTS: u64 = 256;
/// Classes that are told apart; all further ones are counted with the last.
pub const CLASSES: usize = 4;
/// Items of one message at the most.
pub const MAX_ITEMS: usize = 64;
/// Bytes of a message at the most, by what its items can come to.
pub const MAX_BYTES: usize = 4096;
/// Calls that an item may claim.
const MOST_CALLS: u32 = 10_000;
/// Evidence that waits to be sent is bounded by this many items, and dropped by age alone: what is dropped by what it
/// says would bend the rest.
const MOST_WAITING: usize = 1024;
/// Entries that the counting node keeps of one server, and of one voter's among them: a liar that floods the book
/// drives out nobody else's.
const MAX_ENTRIES: usize = 65_536;
const MOST_OF_VOTER: u32 = 1_024;
/// Voters that it knows, in all.
const MOST_VOTERS: usize = 4_096;
/// Servers that it keeps evidence of.
const MOST_SERVERS: usize = 16_384;
/// Messages of evidence that reach the counting node in a second, however large the fleet.
const MESSAGES_A_SECOND: f64 = 200.0;
/// A server that has started so shortly ago is not held to its times, in ms.
pub const COLD_MS: f64 = 30_000.0;
/// A call is slow past this many times the pool's 90th percentile: ln 1.5.
const SLOWER: f64 = 0.405_465_108_108_164;
/// Times of the pool that are kept for that, and without how many there is none.
const KEPT_TIMES: usize = 128;
const LEAST_TIMES: usize = 24;
/// The percentile is taken anew after so many.
const TIMES_A_LOOK: usize = 8;
/// Robust deviations from the middle at which the 90th percentile of a normal distribution lies, and what makes a
/// median absolute deviation a standard one.
const TO_P90: f64 = 1.281_551_565_544_6;
const MAD_TO_SIGMA: f64 = 1.4826;

/// How often each of so many nodes sends its evidence, in ms: more of them know as much by saying it less often.
pub fn send_every_ms(nodes: usize) -> f64 {
    (nodes as f64 * 1_000.0 / MESSAGES_A_SECOND).max(1_000.0)
}

/// Calls, and what they showed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Calls that the server could be held to, and those among them that failed.
    pub calls: u32,
    /// See `calls`.
    pub failed: u32,
    /// Calls whose time could be held beside the pool's, and those among them that were slow.
    pub timed: u32,
    /// See `timed`.
    pub slow: u32,
}

impl AddAssign for Counts {
    fn add_assign(&mut self, other: Self) {
        self.calls = self.calls.saturating_add(other.calls);
        self.failed = self.failed.saturating_add(other.failed);
        self.timed = self.timed.saturating_add(other.timed);
        self.slow = self.slow.saturating_add(other.slow);
    }
}

/// One start of a server's process, as it told the voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerIncarnation {
    /// A word that changes with each start.
    pub incarnation: u64,
    /// How long before the call it had started, in ms.
    pub up_ms: u32,
}

/// What a voter's calls of one slot tell of one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The server.
    pub server: SocketAddr,
    /// The class of the calls.
    pub class: u8,
    /// The start of it that was called, where it told.
    pub life: Option<ServerIncarnation>,
    /// How long ago the calls ended when this was sent, in ms of the voter's clock.
    pub age_ms: u32,
    /// What they showed.
    pub counts: Counts,
}

/// A message of evidence.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Grows with each message of one life of the voter: none counts twice.
    pub number: u64,
    /// Server by server.
    pub items: Vec<Item>,
}

/// Why nothing of a message counts.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EvidenceError {
    /// There is too much of it.
    #[error("{0} items are over {MAX_ITEMS}")]
    Long(usize),
    /// Counts that no calls come to.
    #[error("{server}: {counts:?} cannot be")]
    Counts {
        /// Which server.
        server: SocketAddr,
        /// What was claimed.
        counts: Counts,
    },
    /// It was counted already, or a later one was.
    #[error("number {told} is not past {seen}")]
    Again {
        /// Its number.
        told: u64,
        /// The highest that was counted.
        seen: u64,
    },
    /// Nobody else is listened to.
    #[error("{MOST_VOTERS} other nodes have sent evidence")]
    Voters,
}

impl Evidence {
    /// Makes it so much older: what was sent and not answered is sent again as what it is.
    pub fn age(&mut self, by_ms: f64) {
        let by_ms = by_ms.clamp(0.0, f64::from(u32::MAX)) as u32;
        self.items.iter_mut().for_each(|item| item.age_ms = item.age_ms.saturating_add(by_ms));
    }

    /// Holds every figure to what calls can come to. One that cannot be discredits the whole.
    ///
    /// # Errors
    /// Names the first thing that cannot be.
    pub fn check(&self) -> Result<(), EvidenceError> {
        if self.items.len() > MAX_ITEMS {
            return Err(EvidenceError::Long(self.items.len()));
        }
        for Item { server, counts, .. } in &self.items {
            let Counts { calls, failed, timed, slow } = *counts;
            if calls > MOST_CALLS || failed > calls || timed > calls || slow > timed {
                return Err(EvidenceError::Counts { server: *server, counts: *counts });
            }
        }
        Ok(())
    }
}

/// One call, as the voter saw it end. Calls that tell nothing of the server (withdrawn, never sent) are none.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Call {
    /// The server.
    pub server: SocketAddr,
    /// Its class.
    pub class: u8,
    /// Which start of the server answered.
    pub life: Option<ServerIncarnation>,
    /// Whether it failed.
    pub failed: bool,
    /// Time for a unit of work, in ms; absent where that is not known.
    pub unit_ms: Option<f64>,
}

/// The pool's 90th percentile as one voter sees it, robust against up to half of the servers.
#[derive(Clone, Debug, Default)]
struct Beside {
    times: VecDeque<f64>,
    since: usize,
    p90: Option<f64>,
}

impl Beside {
    /// Whether a log time is slow beside those before it, which it then joins.
    fn slow(&mut self, log_time: f64) -> Option<bool> {
        let slow = self.p90.map(|p90| log_time > p90 + SLOWER);
        if self.times.len() == KEPT_TIMES {
            self.times.pop_front();
        }
        self.times.push_back(log_time);
        self.since += 1;
        if self.since >= TIMES_A_LOOK && self.times.len() >= LEAST_TIMES {
            self.since = 0;
            self.p90 = Some(robust_p90(self.times.iter().copied().collect()));
        }
        slow
    }
}

fn robust_p90(mut values: Vec<f64>) -> f64 {
    let at = (values.len().max(1) - 1) / 2;
    let middle = |values: &mut Vec<f64>| *values.select_nth_unstable_by(at, f64::total_cmp).1;
    let median = middle(&mut values);
    values.iter_mut().for_each(|value| *value = (*value - median).abs());
    median + TO_P90 * MAD_TO_SIGMA * middle(&mut values)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    slot: u64,
    server: SocketAddr,
    class: u8,
    incarnation: Option<u64>,
}

/// What a voter notes until it is sent.
#[derive(Clone, Debug, Default)]
pub struct Recorder {
    waiting: BTreeMap<Key, (Option<ServerIncarnation>, Counts)>,
    beside: [Beside; CLASSES],
    number: u64,
}

impl Recorder {
    /// Notes the end of a call, and says what it counts as.
    pub fn note(&mut self, now: f64, call: &Call) -> Counts {
        let class = usize::from(call.class).min(CLASSES - 1);
        let mut counts = Counts { calls: 1, failed: u32::from(call.failed), ..Counts::default() };
        let cold = call.life.is_some_and(|life| f64::from(life.up_ms) < COLD_MS);
        if let Some(unit_ms) = call.unit_ms.filter(|unit_ms| !call.failed && *unit_ms > 0.0)
            && !cold
            && let Some(slow) = self.beside[class].slow(unit_ms.ln())
        {
            (counts.timed, counts.slow) = (1, u32::from(slow));
        }
        let incarnation = call.life.map(|life| life.incarnation);
        let key = Key { slot: slot(now), server: call.server, class: class as u8, incarnation };
        let noted = self.waiting.entry(key).or_insert((call.life, Counts::default()));
        if noted.1.calls < MOST_CALLS {
            noted.1 += counts;
        }
        if self.waiting.len() > MOST_WAITING {
            self.waiting.pop_first();
        }
        counts
    }

    /// What is to be sent next, the oldest first; the rest waits for the next message.
    pub fn take(&mut self, now: f64) -> Evidence {
        let oldest = slot(now).saturating_sub(SLOTS);
        self.waiting = self.waiting.split_off(&Key {
            slot: oldest,
            server: SocketAddr::from(([0, 0, 0, 0], 0)),
            class: 0,
            incarnation: None,
        });
        let mut items = Vec::with_capacity(self.waiting.len().min(MAX_ITEMS));
        while items.len() < MAX_ITEMS {
            let Some((key, (life, counts))) = self.waiting.pop_first() else { break };
            let age_ms = (now - key.slot as f64 * SLOT_MS).clamp(0.0, f64::from(u32::MAX)) as u32;
            items.push(Item { server: key.server, class: key.class, life, age_ms, counts });
        }
        self.number += 1;
        Evidence { number: self.number, items }
    }
}

fn slot(now: f64) -> u64 {
    (now.max(0.0) / SLOT_MS) as u64
}

/// Who sent evidence, by the fleet's view and not by its own word.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Voter {
    /// Its name.
    pub name: String,
    /// What fails as one: all votes of it count as one.
    pub machine: String,
    /// What is cut off as one.
    pub zone: String,
}

/// Evidence as the counting node keeps it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Entry {
    pub(super) slot: u64,
    /// Index of the voter.
    pub(super) voter: usize,
    pub(super) class: u8,
    /// The start that was called, and when that was by this node's clock, in ms.
    pub(super) life: Option<(u64, f64)>,
    pub(super) counts: Counts,
}

/// What is kept of one server.
#[derive(Clone, Debug, Default)]
pub(super) struct Shelf {
    /// The oldest first.
    pub(super) entries: VecDeque<Entry>,
    of_voter: HashMap<usize, u32>,
}

impl Shelf {
    fn put(&mut self, entry: Entry) {
        let of_voter = self.of_voter.entry(entry.voter).or_default();
        if *of_voter >= MOST_OF_VOTER {
            return;
        }
        *of_voter += 1;
        let place = self.entries.partition_point(|one| one.slot <= entry.slot);
        self.entries.insert(place, entry);
        if self.entries.len() > MAX_ENTRIES {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some(entry) = self.entries.pop_front() else { return };
        if let Some(count) = self.of_voter.get_mut(&entry.voter) {
            *count -= 1;
        }
    }
}

/// All evidence that counts, as the counting node has it.
#[derive(Clone, Debug, Default)]
pub struct EvidenceStore {
    pub(super) voters: Vec<Voter>,
    /// The highest number of each voter.
    seen: Vec<u64>,
    by_name: HashMap<String, usize>,
    pub(super) servers: BTreeMap<SocketAddr, Shelf>,
    /// Slots in which a server is known to restart or be worked on.
    grace: HashMap<SocketAddr, (u64, u64)>,
}

impl EvidenceStore {
    /// Takes the evidence of a voter.
    ///
    /// # Errors
    /// It cannot be, was taken already, or comes from one voter too many.
    pub fn take(&mut self, now: f64, voter: &Voter, evidence: &Evidence) -> Result<(), EvidenceError> {
        evidence.check()?;
        let at = self.voter(voter).ok_or(EvidenceError::Voters)?;
        let seen = self.seen[at];
        if evidence.number <= seen {
            return Err(EvidenceError::Again { told: evidence.number, seen });
        }
        self.seen[at] = evidence.number;
        let oldest = slot(now).saturating_sub(SLOTS);
        for item in &evidence.items {
            let ended = now - f64::from(item.age_ms);
            // A voter slower than this sends what is over already.
            if slot(ended) < oldest
                || !self.servers.contains_key(&item.server) && self.servers.len() >= MOST_SERVERS
            {
                continue;
            }
            let life = item.life.map(|life| (life.incarnation, ended - f64::from(life.up_ms)));
            let class = item.class.min(CLASSES as u8 - 1);
            let entry = Entry { slot: slot(ended), voter: at, class, life, counts: item.counts };
            self.servers.entry(item.server).or_default().put(entry);
        }
        Ok(())
    }

    fn voter(&mut self, voter: &Voter) -> Option<usize> {
        if let Some(at) = self.by_name.get(&voter.name) {
            // It may have moved.
            self.voters[*at] = voter.clone();
            return Some(*at);
        }
        if self.voters.len() >= MOST_VOTERS {
            return None;
        }
        self.voters.push(voter.clone());
        self.seen.push(0);
        self.by_name.insert(voter.name.clone(), self.voters.len() - 1);
        Some(self.voters.len() - 1)
    }

    /// A voter has begun another life: its numbers start anew, and what the one before it said stays.
    pub fn reset_sequence(&mut self, name: &str) {
        if let Some(at) = self.by_name.get(name) {
            self.seen[*at] = 0;
        }
    }

    /// What a server does from `from` to `until`, in ms, is not held against it: a planned restart, a release.
    pub fn exempt(&mut self, server: SocketAddr, from: f64, until: f64) {
        self.grace.insert(server, (slot(from), slot(until)));
    }

    /// Forgets what those of a zone (all, where none is named) have said of a server, as once it has been judged by it: no
    /// evidence removes twice.
    pub fn forget(&mut self, server: SocketAddr, zone: Option<&str>) {
        let Some(zone) = zone else { return drop(self.servers.remove(&server)) };
        let Some(shelf) = self.servers.get_mut(&server) else { return };
        let of_zone = |voter: &usize| self.voters[*voter].zone == zone;
        shelf.entries.retain(|entry| !of_zone(&entry.voter));
        shelf.of_voter.retain(|voter, _| !of_zone(voter));
    }

    /// Drops what is too old to count.
    pub fn expire(&mut self, now: f64) {
        let oldest = slot(now).saturating_sub(SLOTS);
        self.servers.retain(|_, shelf| {
            while shelf.entries.front().is_some_and(|entry| entry.slot < oldest) {
                shelf.drop_oldest();
            }
            !shelf.entries.is_empty()
        });
        self.grace.retain(|_, (_, until)| *until >= oldest);
    }

    /// Whether what a server did in a slot is forgiven.
    pub(super) fn forgiven(&self, server: SocketAddr, slot: u64) -> bool {
        self.grace.get(&server).is_some_and(|(from, until)| (*from..=*until).contains(&slot))
    }

    /// The slot of this moment.
    pub(super) fn slot(now: f64) -> u64 {
        slot(now)
    }
}
