//! The log, the vote, the last snapshot and the identity of a member: in the directory that the operator names, else
//! in memory. What is acknowledged was synced in two phases, so that a commit is there whole or not at all, and each
//! row carries its digest: what is torn or turned over is found when the directory is opened, and refused.

use std::fmt::Debug;
use std::fs;
use std::io;
use std::ops::RangeBounds;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::UNIX_EPOCH;

use openraft::storage::{LogFlushed, RaftLogStorage};
use openraft::{
    Entry, EntryPayload, LogId, LogState, OptionalSend, RaftLogReader, StorageError, StorageIOError,
    StoredMembership, Vote,
};
use redb::backends::InMemoryBackend;
use redb::{Database, Durability, ReadableTable, StorageBackend, TableDefinition, WriteTransaction};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::sync::Notify;

use super::Types;
use super::decide::identity::{Fingerprint, Found, Identity, Marks, judge};
use super::decide::members::Place;
use super::decide::pieces::digest;
use super::map::Contents;
use super::witness::Witness;
use crate::durable::database::{self, Backend, OpenError};
use crate::durable::{create_directory, sync_directory};

const LOG: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("log");
const META: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("meta");
/// The file in the operator's directory.
const FILE: &str = "store.redb";
/// Bytes of a row's digest.
const CHECK: usize = 8;
/// Directories set aside that are kept; with more, the operator has to look first.
const MOST_ASIDE: usize = 8;

const IDENTITY: &str = "identity";
const MARKS: &str = "marks";
const SNAPSHOT: &str = "snapshot";
const VOTE: &str = "vote";
const COMMITTED: &str = "committed";
const PURGED: &str = "purged";
const COUNT: &str = "count";

/// Why something cannot be kept or read.
#[derive(Debug, Error)]
pub enum DiskError {
    /// The directory or its file cannot be used.
    #[error("{path}: {cause}")]
    Unusable {
        /// Which.
        path: PathBuf,
        /// What the system says.
        cause: io::Error,
    },
    /// The file is not what was written.
    #[error("{path} is damaged, and nothing of it is used: {what}")]
    Damaged {
        /// Which.
        path: PathBuf,
        /// What was found.
        what: String,
    },
    /// The file has the form of an earlier version.
    #[error("{0} was written by an earlier version, which alone can read it")]
    Earlier(PathBuf),
    /// Too many directories were set aside.
    #[error("{path}: {MOST_ASIDE} files named {FILE}.aside-* are there; look at them and move them away")]
    Aside {
        /// The directory.
        path: PathBuf,
    },
    /// The database says no.
    #[error("{0}")]
    Database(Box<redb::Error>),
    /// A row is not what was written.
    #[error("row {row}: {what}")]
    Row {
        /// Which.
        row: String,
        /// What was found.
        what: String,
    },
    /// Something has no form as JSON.
    #[error("{0}")]
    Form(#[from] serde_json::Error),
}

impl DiskError {
    /// Whether the directory may work again without anyone looking at it.
    pub fn is_transient(&self) -> bool {
        matches!(self, Self::Unusable { cause, .. } if crate::durable::is_transient(cause))
    }
}

impl From<OpenError> for DiskError {
    fn from(problem: OpenError) -> Self {
        match problem {
            OpenError::Unusable { path, cause } => Self::Unusable { path, cause },
            OpenError::Damaged { path, what } => Self::Damaged { path, what },
        }
    }
}

/// Turns the database's many errors into one.
fn db<T, E: Into<redb::Error>>(result: Result<T, E>) -> Result<T, DiskError> {
    result.map_err(|e| DiskError::Database(Box::new(e.into())))
}

fn unusable(path: &Path) -> impl FnOnce(io::Error) -> DiskError + '_ {
    |cause| DiskError::Unusable { path: path.to_owned(), cause }
}

fn row<T: Serialize>(value: &T) -> Result<Vec<u8>, DiskError> {
    let mut row = vec![0; CHECK];
    serde_json::to_writer(&mut row, value)?;
    let check = digest(&row[CHECK..]);
    row[..CHECK].copy_from_slice(&check[..CHECK]);
    Ok(row)
}

fn unrow<T: DeserializeOwned>(name: &str, row: &[u8]) -> Result<T, DiskError> {
    let bad = |what: &str| DiskError::Row { row: name.to_owned(), what: what.to_owned() };
    let (check, value) = row.split_at_checked(CHECK).ok_or_else(|| bad("it is too short"))?;
    if digest(value)[..CHECK] != *check {
        return Err(bad("its digest is another"));
    }
    serde_json::from_slice(value).map_err(|e| bad(&e.to_string()))
}

/// What a member keeps beside its map.
#[derive(Clone, Debug)]
pub struct Disk {
    database: Arc<Database>,
    directory: Option<PathBuf>,
    /// How many commits there were, and who says so beside the directory.
    count: Arc<AtomicU64>,
    witness: Option<Arc<(Witness, u64)>>,
    /// Notified when something could not be written: the database does no more work until it is opened again.
    failed: Arc<Notify>,
}

/// A directory as it was found, and what there is now.
pub struct Opened {
    /// The member's disk.
    pub disk: Disk,
    /// Whose it is.
    pub identity: Identity,
    /// The member whose copy was set aside, if one was.
    pub copied: Option<u64>,
}

/// What is in a directory.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Whose it is.
    pub identity: Identity,
    /// Entries of the log, and the first and the last index of them.
    pub entries: u64,
    /// The first index of the log.
    pub first: Option<u64>,
    /// The last one.
    pub last: Option<u64>,
    /// The last index that the snapshot has.
    pub snapshot: Option<u64>,
    /// Keys in the snapshot.
    pub keys: usize,
}

impl Disk {
    /// Opens the directory, which is made where it is missing; without one all is kept in memory. A copy is set aside
    /// and a blank directory put in its place.
    ///
    /// # Errors
    /// The directory cannot be used, or is damaged.
    pub fn open(directory: Option<&Path>, new_member: u64) -> Result<Opened, DiskError> {
        let Some(directory) = directory else {
            return Self::open_backend(InMemoryBackend::new(), new_member);
        };
        create_directory(directory).map_err(unusable(directory))?;
        let path = directory.join(FILE);
        if path.try_exists().map_err(unusable(&path))? {
            let mut disk = Self::load(directory)?;
            let witness = Witness::open(directory);
            let said = disk.said()?;
            let member = said.as_ref().map_or(0, |identity| identity.member);
            let count = disk.count.load(Relaxed);
            let ahead =
                witness.as_ref().and_then(|witness| witness.count(member)).filter(|seen| *seen > count);
            match judge(said, Some(fingerprint(&path)?), ahead.is_some()) {
                Found::Own(identity) => {
                    disk.witness = witness.map(|witness| Arc::new((witness, identity.member)));
                    return Ok(Opened { disk, identity, copied: None });
                }
                Found::Empty => return Err(DiskError::Earlier(path)),
                Found::Copied(identity) => {
                    disk.set_aside(&identity)?;
                    let fresh = Self::make(directory, new_member, Self::begin)?;
                    return Ok(Opened { copied: Some(identity.member), ..fresh });
                }
            }
        }
        Self::make(directory, new_member, Self::begin)
    }

    /// Keeps all in a backend of the database's.
    ///
    /// # Errors
    /// The backend is damaged.
    pub(super) fn open_backend(backend: impl StorageBackend, new_member: u64) -> Result<Opened, DiskError> {
        let database =
            db(Database::builder().create_with_backend(Backend::new(backend, Path::new("memory"))))?;
        let mut disk = Self::over(database, None);
        disk.check()?;
        disk.count.store(disk.meta(COUNT)?.unwrap_or(0), Relaxed);
        let said = disk.said()?;
        let identity = match said {
            Some(identity) => identity,
            None => disk.begin(Identity { member: new_member, cluster: None, mark: 0, file: None })?,
        };
        Ok(Opened { disk, identity, copied: None })
    }

    /// A blank file is made whole under another name first, so that a start that is broken off leaves no half of one.
    fn make(
        directory: &Path,
        member: u64,
        begin: impl FnOnce(&Self, Identity) -> Result<Identity, DiskError>,
    ) -> Result<Opened, DiskError> {
        database::create(&directory.join(FILE), |database, early| {
            let mut disk = Self::over(database, Some(directory));
            let file = Some(fingerprint(early)?);
            let witness = Witness::open(directory);
            disk.witness = witness.map(|witness| Arc::new((witness, member)));
            let identity = begin(&disk, Identity { member, cluster: None, mark: 0, file })?;
            Ok(Opened { disk, identity, copied: None })
        })
    }

    /// Opens the file of a directory and reads all of it once.
    ///
    /// # Errors
    /// It is in use, damaged, or cannot be read.
    pub fn load(directory: &Path) -> Result<Self, DiskError> {
        let path = directory.join(FILE);
        let mut disk = Self::over(database::open(&path)?, Some(directory));
        disk.check().map_err(|problem| match problem {
            // The device fails: that says nothing of the file.
            DiskError::Database(problem) => OpenError::of(&path, *problem).into(),
            problem => DiskError::Damaged { path: path.clone(), what: problem.to_string() },
        })?;
        disk.count.store(disk.meta(COUNT)?.unwrap_or(0), Relaxed);
        Ok(disk)
    }

    fn over(database: Database, directory: Option<&Path>) -> Self {
        let directory = directory.map(Path::to_owned);
        Self {
            database: Arc::new(database),
            directory,
            count: Arc::default(),
            witness: None,
            failed: Arc::default(),
        }
    }

    /// Writes what a blank directory has.
    fn begin(&self, identity: Identity) -> Result<Identity, DiskError> {
        self.write(|write| {
            db(write.open_table(LOG))?;
            put(write, IDENTITY, &identity)
        })?;
        Ok(identity)
    }

    /// Reads every page and every row once, against their digests.
    fn check(&mut self) -> Result<(), DiskError> {
        if let Some(database) = Arc::get_mut(&mut self.database) {
            let walked =
                std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| database.check_integrity()));
            let bad = |what: String| DiskError::Row { row: "pages".to_owned(), what };
            db(walked.map_err(|_| bad("the database cannot make sense of them".to_owned()))?)?;
        }
        if self.said()?.is_some() {
            self.report()?;
        }
        Ok(())
    }

    /// What is there, each row checked.
    ///
    /// # Errors
    /// A row is damaged or missing.
    pub fn report(&self) -> Result<Report, DiskError> {
        let bad = |row: &str, what: String| DiskError::Row { row: row.to_owned(), what };
        let identity = self.said()?.ok_or_else(|| bad(IDENTITY, "it is missing".to_owned()))?;
        let purged: Option<LogId<u64>> = self.meta::<Option<LogId<u64>>>(PURGED)?.flatten();
        let entries = self.entries(..)?;
        let mut pairs = entries.windows(2).map(|pair| (pair[0].log_id.index + 1, pair[1].log_id.index));
        if let Some((missing, _)) = pairs.find(|(next, found)| next != found) {
            return Err(bad("log", format!("entry {missing} is missing")));
        }
        let first = entries.first().map(|entry| entry.log_id.index);
        let next = purged.map_or(0, |purged| purged.index + 1);
        if let Some(first) = first.filter(|first| *first > next) {
            return Err(bad("log", format!("it begins at {first}, and all from {next} on was kept")));
        }
        let _: Option<Vote<u64>> = self.meta(VOTE)?;
        self.marks()?;
        let snapshot = self.snapshot()?;
        let covered = snapshot.as_ref().and_then(Contents::applied).map(|log| log.index);
        if purged.is_some_and(|purged| covered.is_none_or(|covered| covered < purged.index)) {
            return Err(bad(SNAPSHOT, "it lacks entries that the log has no more".to_owned()));
        }
        Ok(Report {
            identity,
            entries: entries.len() as u64,
            first,
            last: entries.last().map(|entry| entry.log_id.index),
            snapshot: covered,
            keys: snapshot.map_or(0, |contents| contents.len()),
        })
    }

    /// Takes the file out of the way, under the name of the member that it was.
    ///
    /// # Errors
    /// It cannot be renamed, or too many are there.
    pub fn set_aside(&self, identity: &Identity) -> Result<(), DiskError> {
        let Some(directory) = &self.directory else { return Ok(()) };
        let aside = format!("{FILE}.aside-");
        let listed = fs::read_dir(directory).map_err(unusable(directory))?;
        let is_aside = |entry: &fs::DirEntry| entry.file_name().to_string_lossy().starts_with(&aside);
        if listed.flatten().filter(is_aside).count() >= MOST_ASIDE {
            return Err(DiskError::Aside { path: directory.clone() });
        }
        let to = directory.join(format!("{aside}{:016x}-{}", identity.member, identity.mark));
        fs::rename(directory.join(FILE), &to).map_err(unusable(&to))?;
        sync_directory(directory).map_err(unusable(directory))
    }

    /// The members by the last change of them that is kept, agreed on or not: those that this member's voice may count
    /// with.
    ///
    /// # Errors
    /// They cannot be read.
    pub fn members(&self) -> Result<Option<StoredMembership<u64, Place>>, DiskError> {
        let logged = self.entries(..)?.into_iter().rev().find_map(|entry| match entry.payload {
            EntryPayload::Membership(members) => Some(StoredMembership::new(Some(entry.log_id), members)),
            _ => None,
        });
        let kept = self.snapshot()?.map(|contents| contents.members().clone());
        Ok(logged.or(kept).filter(|members| members.nodes().next().is_some()))
    }

    fn said(&self) -> Result<Option<Identity>, DiskError> {
        self.meta(IDENTITY)
    }

    /// Keeps an identity.
    ///
    /// # Errors
    /// It cannot be written.
    pub fn save_identity(&self, identity: &Identity) -> Result<(), DiskError> {
        self.set_meta(IDENTITY, identity)
    }

    /// The members that the cluster was formed of.
    ///
    /// # Errors
    /// They cannot be read.
    pub fn founders<T: DeserializeOwned>(&self) -> Result<Option<T>, DiskError> {
        self.meta("founders")
    }

    /// Keeps the identity, and the members that the cluster was formed of, at once.
    ///
    /// # Errors
    /// They cannot be written.
    pub fn save_founders<T: Serialize>(&self, identity: &Identity, founders: &T) -> Result<(), DiskError> {
        self.write(|write| {
            put(write, "founders", founders)?;
            put(write, IDENTITY, identity)
        })
    }

    /// The marks of other members.
    ///
    /// # Errors
    /// They cannot be read.
    pub fn marks(&self) -> Result<Marks, DiskError> {
        Ok(self.meta(MARKS)?.unwrap_or_default())
    }

    /// Keeps the marks of other members.
    ///
    /// # Errors
    /// They cannot be written.
    pub fn save_marks(&self, marks: &Marks) -> Result<(), DiskError> {
        self.set_meta(MARKS, marks)
    }

    /// Makes the file of a new cluster's first member, which holds a whole state from its beginning: what a backup is
    /// restored to. A kill on the way leaves no file that could begin empty.
    ///
    /// # Errors
    /// It cannot be written.
    pub fn restore(
        directory: &Path,
        member: u64,
        contents: &Contents,
        vote: Vote<u64>,
    ) -> Result<(), DiskError> {
        create_directory(directory).map_err(unusable(directory))?;
        let made = Self::make(directory, member, |disk, identity| {
            let identity = Identity { cluster: Some(rand::random()), ..identity };
            disk.write(|write| {
                db(write.open_table(LOG))?;
                put(write, VOTE, &vote)?;
                put(write, PURGED, &contents.applied())?;
                put(write, SNAPSHOT, contents)?;
                put(write, IDENTITY, &identity)
            })?;
            Ok(identity)
        });
        made.map(drop)
    }

    pub(super) fn snapshot(&self) -> Result<Option<Contents>, DiskError> {
        self.meta(SNAPSHOT)
    }

    pub(super) fn save_snapshot(&self, contents: &Contents) -> Result<(), DiskError> {
        self.set_meta(SNAPSHOT, contents)
    }

    fn meta<T: DeserializeOwned>(&self, name: &str) -> Result<Option<T>, DiskError> {
        let read = db(self.database.begin_read())?;
        let table = match read.open_table(META) {
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
            table => db(table)?,
        };
        let found = db(table.get(name))?;
        found.map(|bytes| unrow(name, bytes.value())).transpose()
    }

    fn set_meta<T: Serialize>(&self, name: &str, value: &T) -> Result<(), DiskError> {
        self.write(|write| put(write, name, value))
    }

    /// Resolves when something could not be written since the file was opened.
    pub(super) async fn failed(&self) {
        self.failed.notified().await;
    }

    /// All of it is there once this returns, or nothing counts as kept.
    fn write(&self, work: impl FnOnce(&WriteTransaction) -> Result<(), DiskError>) -> Result<(), DiskError> {
        let written = self.commit(work);
        if written.is_err() {
            self.failed.notify_one();
        }
        written
    }

    fn commit(&self, work: impl FnOnce(&WriteTransaction) -> Result<(), DiskError>) -> Result<(), DiskError> {
        let mut write = db(self.database.begin_write())?;
        write.set_two_phase_commit(true);
        work(&write)?;
        let Some(directory) = &self.directory else { return db(write.commit()) };
        // One writer at a time: the database sees to that.
        let count = self.count.load(Relaxed) + 1;
        put(&write, COUNT, &count)?;
        db(write.commit())?;
        self.count.store(count, Relaxed);
        match self.witness.as_deref() {
            Some((witness, member)) => witness.write(*member, count).map_err(unusable(directory)),
            None => Ok(()),
        }
    }

    fn entries(&self, range: impl RangeBounds<u64>) -> Result<Vec<Entry<Types>>, DiskError> {
        let read = db(self.database.begin_read())?;
        let table = db(read.open_table(LOG))?;
        let found = db(table.range(range))?;
        found
            .map(|found| {
                let (index, value) = db(found)?;
                let name = format!("log entry {}", index.value());
                let entry: Entry<Types> = unrow(&name, value.value())?;
                if entry.log_id.index == index.value() {
                    Ok(entry)
                } else {
                    Err(DiskError::Row { row: name, what: format!("it is entry {}", entry.log_id.index) })
                }
            })
            .collect()
    }

    fn last_log_id(&self) -> Result<Option<LogId<u64>>, DiskError> {
        let read = db(self.database.begin_read())?;
        let table = db(read.open_table(LOG))?;
        let Some((index, bytes)) = db(table.last())? else { return Ok(None) };
        let name = format!("log entry {}", index.value());
        Ok(Some(unrow::<Entry<Types>>(&name, bytes.value())?.log_id))
    }

    pub(super) fn add(&self, entries: impl IntoIterator<Item = Entry<Types>>) -> Result<(), DiskError> {
        self.write(|write| {
            let mut table = db(write.open_table(LOG))?;
            for entry in entries {
                db(table.insert(entry.log_id.index, row(&entry)?.as_slice()))?;
            }
            Ok(())
        })
    }

    /// The whole log.
    #[cfg(test)]
    pub(super) fn log(&self) -> Result<Vec<Entry<Types>>, DiskError> {
        self.entries(..)
    }

    pub(super) fn cut(&self, from: u64) -> Result<(), DiskError> {
        self.write(|write| db(db(write.open_table(LOG))?.retain_in(from.., |_, _| false)))
    }

    pub(super) fn drop_until(&self, log_id: LogId<u64>) -> Result<(), DiskError> {
        self.write(|write| {
            put(write, PURGED, &Some(log_id))?;
            db(db(write.open_table(LOG))?.retain_in(..=log_id.index, |_, _| false))
        })
    }
}

fn put<T: Serialize>(write: &WriteTransaction, name: &str, value: &T) -> Result<(), DiskError> {
    db(db(write.open_table(META))?.insert(name, row(value)?.as_slice()))?;
    Ok(())
}

fn fingerprint(path: &Path) -> Result<Fingerprint, DiskError> {
    let found = fs::metadata(path).map_err(unusable(path))?;
    let born = found.created().ok().and_then(|born| born.duration_since(UNIX_EPOCH).ok());
    Ok(Fingerprint { device: found.dev(), inode: found.ino(), born: born.map(|born| born.as_nanos() as u64) })
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
        let purged: Option<LogId<u64>> =
            self.meta::<Option<LogId<u64>>>(PURGED).map_err(|e| StorageIOError::read_logs(&e))?.flatten();
        let last = self.last_log_id().map_err(|e| StorageIOError::read_logs(&e))?;
        Ok(LogState { last_purged_log_id: purged, last_log_id: last.or(purged) })
    }

    async fn get_log_reader(&mut self) -> Self {
        self.clone()
    }

    async fn save_vote(&mut self, vote: &Vote<u64>) -> Result<(), StorageError<u64>> {
        Ok(self.set_meta(VOTE, vote).map_err(|e| StorageIOError::write_vote(&e))?)
    }

    async fn read_vote(&mut self) -> Result<Option<Vote<u64>>, StorageError<u64>> {
        Ok(self.meta(VOTE).map_err(|e| StorageIOError::read_vote(&e))?)
    }

    /// How far the log is committed is a help at the next start and no promise: it waits for the next sync.
    async fn save_committed(&mut self, committed: Option<LogId<u64>>) -> Result<(), StorageError<u64>> {
        let kept = db(self.database.begin_write()).and_then(|mut write| {
            write.set_durability(Durability::None);
            put(&write, COMMITTED, &committed)?;
            db(write.commit())
        });
        Ok(kept.map_err(|e| StorageIOError::write_logs(&e))?)
    }

    async fn read_committed(&mut self) -> Result<Option<LogId<u64>>, StorageError<u64>> {
        let committed: Option<Option<LogId<u64>>> =
            self.meta(COMMITTED).map_err(|e| StorageIOError::read_logs(&e))?;
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
        Ok(self.cut(log_id.index).map_err(|e| StorageIOError::write_logs(&e))?)
    }

    async fn purge(&mut self, log_id: LogId<u64>) -> Result<(), StorageError<u64>> {
        Ok(self.drop_until(log_id).map_err(|e| StorageIOError::write_logs(&e))?)
    }
}
