//! The map itself, as the state machine of the consensus library.

use std::collections::BTreeMap;
use std::io::Cursor;

use openraft::storage::RaftStateMachine;
use openraft::{
    BasicNode, Entry, EntryPayload, LogId, OptionalSend, RaftSnapshotBuilder, Snapshot, SnapshotMeta,
    StorageError, StorageIOError, StoredMembership,
};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use super::disk::Disk;
use super::{Change, MOST_KEYS, Outcome, Types};

/// A value and the version at which it was set: versions only ever grow, over all keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Versioned {
    /// The value.
    pub value: String,
    /// Its version.
    pub version: u64,
}

/// All that a member holds.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Contents {
    applied: Option<LogId<u64>>,
    members: StoredMembership<u64, BasicNode>,
    map: BTreeMap<String, Versioned>,
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

    fn change(&mut self, change: Change, version: u64) -> Outcome {
        let now = self.map.get(&change.key).map_or(0, |versioned| versioned.version);
        let fits = now != 0 || change.value.is_none() || self.map.len() < MOST_KEYS;
        if !fits || change.expect.is_some_and(|expected| expected != now) {
            return Outcome { changed: false, version: now };
        }
        match change.value {
            Some(value) => {
                self.map.insert(change.key, Versioned { value, version });
                Outcome { changed: true, version }
            }
            None => Outcome { changed: self.map.remove(&change.key).is_some(), version: 0 },
        }
    }

    fn apply(&mut self, entry: Entry<Types>) -> Outcome {
        self.applied = Some(entry.log_id);
        match entry.payload {
            EntryPayload::Blank => Outcome::default(),
            EntryPayload::Normal(change) => self.change(change, entry.log_id.index),
            EntryPayload::Membership(members) => {
                self.members = StoredMembership::new(Some(entry.log_id), members);
                Outcome::default()
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
    shown: watch::Sender<Contents>,
}

/// Builds snapshots of the map as it was when this was made.
pub(super) struct Builder {
    disk: Disk,
    contents: Contents,
}

impl StateMachine {
    /// The map as of the last snapshot; the log brings it up to date.
    pub fn new(disk: Disk, shown: watch::Sender<Contents>) -> Self {
        if let Ok(Some(contents)) = disk.snapshot() {
            shown.send_replace(contents);
        }
        Self { disk, shown }
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
    ) -> Result<(Option<LogId<u64>>, StoredMembership<u64, BasicNode>), StorageError<u64>> {
        let contents = self.shown.borrow();
        Ok((contents.applied, contents.members.clone()))
    }

    async fn apply<I>(&mut self, entries: I) -> Result<Vec<Outcome>, StorageError<u64>>
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
        meta: &SnapshotMeta<u64, BasicNode>,
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
