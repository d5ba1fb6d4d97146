//! The log, the vote and the last snapshot of a member: in the directory that the operator names, else in memory.

use std::fmt::Debug;
use std::ops::RangeBounds;
use std::path::Path;
use std::sync::Arc;

use openraft::storage::{LogFlushed, RaftLogStorage};
use openraft::{Entry, LogId, LogState, OptionalSend, RaftLogReader, StorageError, StorageIOError, Vote};
use redb::backends::InMemoryBackend;
use redb::{Database, ReadableTable, TableDefinition};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use super::Types;
use super::map::Contents;

const LOG: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("log");
const META: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("meta");
/// The file in the operator's directory.
const FILE: &str = "store.redb";

/// Why something cannot be kept or read.
#[derive(Debug, Error)]
pub(super) enum DiskError {
    #[error("{0}")]
    Database(Box<redb::Error>),
    #[error("{0}")]
    Form(#[from] serde_json::Error),
}

/// Turns the database's many errors into one.
fn db<T, E: Into<redb::Error>>(result: Result<T, E>) -> Result<T, DiskError> {
    result.map_err(|e| DiskError::Database(Box::new(e.into())))
}

/// What a member keeps beside its map.
#[derive(Clone)]
pub(super) struct Disk(Arc<Database>);

impl Disk {
    /// Opens the file in a directory that is made where it is missing; without one all is kept in memory.
    pub fn open(directory: Option<&Path>) -> Result<Self, DiskError> {
        let database = match directory {
            Some(directory) => {
                db(std::fs::create_dir_all(directory).map_err(redb::Error::Io))?;
                db(Database::create(directory.join(FILE)))?
            }
            None => db(Database::builder().create_with_backend(InMemoryBackend::new()))?,
        };
        let write = db(database.begin_write())?;
        db(write.open_table(LOG))?;
        db(write.open_table(META))?;
        db(write.commit())?;
        Ok(Self(Arc::new(database)))
    }

    pub fn snapshot(&self) -> Result<Option<Contents>, DiskError> {
        self.meta("snapshot")
    }

    pub fn save_snapshot(&self, contents: &Contents) -> Result<(), DiskError> {
        self.set_meta("snapshot", contents)
    }

    fn meta<T: DeserializeOwned>(&self, name: &str) -> Result<Option<T>, DiskError> {
        let read = db(self.0.begin_read())?;
        let table = db(read.open_table(META))?;
        let found = db(table.get(name))?;
        Ok(found.map(|bytes| serde_json::from_slice(bytes.value())).transpose()?)
    }

    fn set_meta<T: Serialize>(&self, name: &str, value: &T) -> Result<(), DiskError> {
        let write = db(self.0.begin_write())?;
        db(db(write.open_table(META))?.insert(name, serde_json::to_vec(value)?.as_slice()))?;
        db(write.commit())
    }

    fn entries(&self, range: impl RangeBounds<u64>) -> Result<Vec<Entry<Types>>, DiskError> {
        let read = db(self.0.begin_read())?;
        let table = db(read.open_table(LOG))?;
        let found = db(table.range(range))?;
        found.map(|row| Ok(serde_json::from_slice(db(row)?.1.value())?)).collect()
    }

    fn last_log_id(&self) -> Result<Option<LogId<u64>>, DiskError> {
        let read = db(self.0.begin_read())?;
        let table = db(read.open_table(LOG))?;
        let Some((_, bytes)) = db(table.last())? else { return Ok(None) };
        Ok(Some(serde_json::from_slice::<Entry<Types>>(bytes.value())?.log_id))
    }

    fn add(&self, entries: impl IntoIterator<Item = Entry<Types>>) -> Result<(), DiskError> {
        let write = db(self.0.begin_write())?;
        let mut table = db(write.open_table(LOG))?;
        for entry in entries {
            db(table.insert(entry.log_id.index, serde_json::to_vec(&entry)?.as_slice()))?;
        }
        drop(table);
        db(write.commit())
    }

    fn remove(&self, range: impl RangeBounds<u64>) -> Result<(), DiskError> {
        let write = db(self.0.begin_write())?;
        db(db(write.open_table(LOG))?.retain_in(range, |_, _| false))?;
        db(write.commit())
    }
}

impl RaftLogReader<Types> for Disk {
    async fn try_get_log_entries<RB: RangeBounds<u64> + Clone + Debug + OptionalSend>(
        &mut self,
        range: RB,
    ) -> Result<Vec<Entry<Types>>, StorageError<u64>> {
        Ok(self.entries(range).map_err(|e| StorageIOError::read_logs(&e))?)
    }
}

impl RaftLogStorage<Types> for Disk {
    type LogReader = Self;

    async fn get_log_state(&mut self) -> Result<LogState<Types>, StorageError<u64>> {
        let purged = self.meta("purged").map_err(|e| StorageIOError::read_logs(&e))?;
        let last = self.last_log_id().map_err(|e| StorageIOError::read_logs(&e))?;
        Ok(LogState { last_purged_log_id: purged, last_log_id: last.or(purged) })
    }

    async fn get_log_reader(&mut self) -> Self {
        self.clone()
    }

    async fn save_vote(&mut self, vote: &Vote<u64>) -> Result<(), StorageError<u64>> {
        Ok(self.set_meta("vote", vote).map_err(|e| StorageIOError::write_vote(&e))?)
    }

    async fn read_vote(&mut self) -> Result<Option<Vote<u64>>, StorageError<u64>> {
        Ok(self.meta("vote").map_err(|e| StorageIOError::read_vote(&e))?)
    }

    async fn save_committed(&mut self, committed: Option<LogId<u64>>) -> Result<(), StorageError<u64>> {
        Ok(self.set_meta("committed", &committed).map_err(|e| StorageIOError::write_logs(&e))?)
    }

    async fn read_committed(&mut self) -> Result<Option<LogId<u64>>, StorageError<u64>> {
        let committed: Option<Option<LogId<u64>>> =
            self.meta("committed").map_err(|e| StorageIOError::read_logs(&e))?;
        Ok(committed.flatten())
    }

    async fn append<I>(&mut self, entries: I, callback: LogFlushed<Types>) -> Result<(), StorageError<u64>>
    where
        I: IntoIterator<Item = Entry<Types>> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        self.add(entries).map_err(|e| StorageIOError::write_logs(&e))?;
        callback.log_io_completed(Ok(()));
        Ok(())
    }

    async fn truncate(&mut self, log_id: LogId<u64>) -> Result<(), StorageError<u64>> {
        Ok(self.remove(log_id.index..).map_err(|e| StorageIOError::write_logs(&e))?)
    }

    async fn purge(&mut self, log_id: LogId<u64>) -> Result<(), StorageError<u64>> {
        self.set_meta("purged", &Some(log_id)).map_err(|e| StorageIOError::write_logs(&e))?;
        Ok(self.remove(..=log_id.index).map_err(|e| StorageIOError::write_logs(&e))?)
    }
}
