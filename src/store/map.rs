//! The map itself, as the state machine of the consensus library.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::Cursor;
use std::sync::Arc;

use openraft::storage::RaftStateMachine;
use openraft::{
    Entry, EntryPayload, LogId, Membership, OptionalSend, RaftSnapshotBuilder, Snapshot, SnapshotMeta,
    StorageError, StorageIOError, StoredMembership,
};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::fleet::view as fleet;
use crate::lease::table as duty;

use super::decide::members::Place;
use super::disk::{Disk, DiskError};
use super::{Change, Denied, MOST_KEYS, MOST_TOTAL, Outcome, Types};

/// Numbers that stand for something special at the most.
const MOST_ROSTER: usize = 64;

/// A value and the version at which it was set: versions only ever grow, over all keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Versioned {
    /// The value.
    pub value: String,
    /// Its version.
    pub version: u64,
}

/// What a number stands for beside its member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Roster {
    /// Nothing special: the entry is taken out.
    Usual,
    /// It has left, and is taken in again only when an operator says so.
    Left,
    /// It was lost and replaced: when it comes back it is a spare.
    Replaced,
}

/// An entry of the log that is no change of members: what several callers wished at once, in one sync.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Batch(pub Vec<Logged>);

/// What came of each of a batch, in its order.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Outcomes(pub Vec<Outcome>);

/// One of a batch.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Logged {
    /// A random word under which it counts once, however often it is tried.
    pub tag: u64,
    /// How many there had been when the first try began: one that comes much later is not made any more.
    pub since: u64,
    /// What it does.
    pub deed: Deed,
}

/// What one of a batch does.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Deed {
    /// Changes a key.
    Change(Change),
    /// Says what a number stands for.
    Roster(u64, Roster),
    /// Changes which nodes belong to the fleet.
    Fleet(fleet::Change),
    /// Changes sessions and duties.
    Duty(duty::Deed),
}

/// Deeds over which the outcome of one is remembered. A try that comes later is not made.
pub const REMEMBERED: u64 = 8192;

/// All that a member holds.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Contents {
    applied: Option<LogId<u64>>,
    members: StoredMembership<u64, Place>,
    map: BTreeMap<String, Versioned>,
    bytes: usize,
    /// Deeds so far; each change is at the version of its turn.
    turn: u64,
    fleet: fleet::View,
    #[serde(default)]
    duties: duty::Table,
    roster: BTreeMap<u64, Roster>,
    outcomes: BTreeMap<u64, Outcome>,
    tags: VecDeque<(u64, u64)>,
}

impl Contents {
    /// The value of a key.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.map.get(key).map(|versioned| versioned.value.as_str())
    }

    /// All keys that begin so, with their values.
    pub fn under(&self, prefix: &str) -> BTreeMap<String, Versioned> {
        let found = self.map.range(prefix.to_owned()..).take_while(|(key, _)| key.starts_with(prefix));
        found.map(|(key, value)| (key.clone(), value.clone())).collect()
    }

    /// A state that begins with these keys, as of this entry, with one member.
    pub fn planted(applied: LogId<u64>, member: u64, place: Place, map: BTreeMap<String, Versioned>) -> Self {
        let nodes = BTreeMap::from([(member, place)]);
        let membership = Membership::new(vec![BTreeSet::from([member])], nodes);
        let bytes = map.iter().map(|(key, now)| key.len() + now.value.len()).sum();
        let members = StoredMembership::new(Some(applied), membership);
        let turn = map.values().map(|now| now.version).max().unwrap_or(0);
        Self { applied: Some(applied), members, map, bytes, turn, ..Self::default() }
    }

    /// The last entry that is in it.
    pub fn applied(&self) -> Option<LogId<u64>> {
        self.applied
    }

    /// The members as of that entry.
    pub fn members(&self) -> &StoredMembership<u64, Place> {
        &self.members
    }

    /// Deeds so far.
    pub fn turn(&self) -> u64 {
        self.turn
    }

    /// Which nodes belong to the fleet.
    pub fn fleet(&self) -> &fleet::View {
        &self.fleet
    }

    /// Sessions of nodes, and duties.
    pub fn duties(&self) -> &duty::Table {
        &self.duties
    }

    /// What a number stands for.
    pub fn roster(&self, number: u64) -> Roster {
        self.roster.get(&number).copied().unwrap_or(Roster::Usual)
    }

    /// How many keys there are.
    pub fn len(&self) -> usize {
        self.map.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.map.is_empty()
    }

    /// Bytes of all keys and values.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn change(&mut self, change: Change) -> Outcome {
        let version = self.turn;
        let now = self.map.get(&change.key);
        let size = now.map_or(0, |now| change.key.len() + now.value.len());
        let now = now.map_or(0, |now| now.version);
        let more = change.value.as_ref().map_or(0, |value| change.key.len() + value.len());
        let fits = more <= size
            || (self.bytes - size + more <= MOST_TOTAL && (now != 0 || self.map.len() < MOST_KEYS));
        if change.expect.is_some_and(|expected| expected != now) {
            return Outcome { version: now, ..Outcome::default() };
        }
        if !fits {
            return Outcome { version: now, denied: Some(Denied::Full), ..Outcome::default() };
        }
        self.bytes = self.bytes - size + more;
        match change.value {
            Some(value) => {
                self.map.insert(change.key, Versioned { value, version });
                Outcome { changed: true, version, ..Outcome::default() }
            }
            None => Outcome { changed: self.map.remove(&change.key).is_some(), ..Outcome::default() },
        }
    }

    /// Does one of a batch, once over all tries of it.
    fn perform(&mut self, logged: Logged) -> Outcome {
        if let Some(known) = self.outcomes.get(&logged.tag) {
            return known.clone();
        }
        if self.turn > logged.since + REMEMBERED {
            return Outcome { denied: Some(Denied::Late), ..Outcome::default() };
        }
        self.turn += 1;
        self.forget();
        let outcome = match logged.deed {
            Deed::Change(change) => self.change(change),
            Deed::Fleet(change) => {
                let before = self.fleet.number();
                let fleet = self.fleet.change(change);
                let changed = self.fleet.number() != before;
                if changed {
                    let Self { fleet, duties, .. } = self;
                    duties.settle(&|node, incarnation| fleet.has(node, incarnation));
                }
                Outcome { changed, fleet: Some(fleet), ..Outcome::default() }
            }
            Deed::Duty(deed) => {
                let Self { fleet, duties, .. } = self;
                let done = duties.apply(deed, &|node, incarnation| fleet.has(node, incarnation));
                Outcome { changed: done.is_ok(), duty: Some(done), ..Outcome::default() }
            }
            Deed::Roster(number, Roster::Usual) => {
                Outcome { changed: self.roster.remove(&number).is_some(), ..Outcome::default() }
            }
            Deed::Roster(number, stands) => {
                let room = self.roster.len() < MOST_ROSTER || self.roster.contains_key(&number);
                let changed = room && self.roster.insert(number, stands) != Some(stands);
                Outcome { changed, denied: (!room).then_some(Denied::Full), ..Outcome::default() }
            }
        };
        self.outcomes.insert(logged.tag, outcome.clone());
        self.tags.push_back((self.turn, logged.tag));
        outcome
    }

    /// Outcomes that no try may ask for any more are forgotten.
    fn forget(&mut self) {
        let turn = self.turn;
        while let Some((_, tag)) = self.tags.front().copied().filter(|(at, _)| *at + REMEMBERED < turn) {
            self.tags.pop_front();
            self.outcomes.remove(&tag);
        }
    }

    fn apply(&mut self, entry: Entry<Types>) -> Outcomes {
        self.applied = Some(entry.log_id);
        match entry.payload {
            EntryPayload::Blank => Outcomes::default(),
            EntryPayload::Normal(Batch(batch)) => {
                Outcomes(batch.into_iter().map(|logged| self.perform(logged)).collect())
            }
            EntryPayload::Membership(members) => {
                self.members = StoredMembership::new(Some(entry.log_id), members);
                Outcomes::default()
            }
        }
    }

    fn snapshot(&self) -> Result<Snapshot<Types>, serde_json::Error> {
        let data = serde_json::to_vec(self)?;
        let id =
            self.applied.map_or_else(|| "0".to_owned(), |log| format!("{}-{}", log.leader_id, log.index));
        let meta = SnapshotMeta {
            last_log_id: self.applied,
            last_membership: self.members.clone(),
            snapshot_id: id,
        };
        Ok(Snapshot { meta, snapshot: Box::new(Cursor::new(data)) })
    }
}

/// The map with its place on disk.
pub(super) struct StateMachine {
    disk: Disk,
    shown: Arc<watch::Sender<Contents>>,
}

/// Builds snapshots of the map as it was when this was made.
pub(super) struct Builder {
    disk: Disk,
    contents: Contents,
}

impl StateMachine {
    /// The map as of the last snapshot; the log brings it up to date.
    ///
    /// # Errors
    /// The snapshot cannot be read.
    pub fn new(disk: Disk, shown: Arc<watch::Sender<Contents>>) -> Result<Self, DiskError> {
        shown.send_replace(disk.snapshot()?.unwrap_or_default());
        Ok(Self { disk, shown })
    }
}

impl RaftSnapshotBuilder<Types> for Builder {
    async fn build_snapshot(&mut self) -> Result<Snapshot<Types>, StorageError<u64>> {
        self.disk.save_snapshot(&self.contents).map_err(|e| StorageIOError::write_snapshot(None, &e))?;
        Ok(self.contents.snapshot().map_err(|e| StorageIOError::write_snapshot(None, &e))?)
    }
}

impl RaftStateMachine<Types> for StateMachine {
    type SnapshotBuilder = Builder;

    async fn applied_state(
        &mut self,
    ) -> Result<(Option<LogId<u64>>, StoredMembership<u64, Place>), StorageError<u64>> {
        let contents = self.shown.borrow();
        Ok((contents.applied, contents.members.clone()))
    }

    async fn apply<I>(&mut self, entries: I) -> Result<Vec<Outcomes>, StorageError<u64>>
    where
        I: IntoIterator<Item = Entry<Types>> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let mut outcomes = Vec::new();
        self.shown.send_modify(|contents| {
            outcomes.extend(entries.into_iter().map(|entry| contents.apply(entry)));
        });
        Ok(outcomes)
    }

    async fn get_snapshot_builder(&mut self) -> Builder {
        Builder { disk: self.disk.clone(), contents: self.shown.borrow().clone() }
    }

    async fn begin_receiving_snapshot(&mut self) -> Result<Box<Cursor<Vec<u8>>>, StorageError<u64>> {
        Ok(Box::default())
    }

    async fn install_snapshot(
        &mut self,
        meta: &SnapshotMeta<u64, Place>,
        snapshot: Box<Cursor<Vec<u8>>>,
    ) -> Result<(), StorageError<u64>> {
        let signature = Some(meta.signature());
        let contents: Contents = serde_json::from_slice(snapshot.get_ref())
            .map_err(|e| StorageIOError::read_snapshot(signature.clone(), &e))?;
        self.disk.save_snapshot(&contents).map_err(|e| StorageIOError::write_snapshot(signature, &e))?;
        self.shown.send_replace(contents);
        Ok(())
    }

    async fn get_current_snapshot(&mut self) -> Result<Option<Snapshot<Types>>, StorageError<u64>> {
        let kept = self.disk.snapshot().map_err(|e| StorageIOError::read_snapshot(None, &e))?;
        let snapshot = kept.map(|contents| contents.snapshot()).transpose();
        Ok(snapshot.map_err(|e| StorageIOError::read_snapshot(None, &e))?)
    }
}
