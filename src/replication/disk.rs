//! Claims and results on disk, synced before a holder says yes: many of them in one sync. Each row has its digest; a file
//! with a row that is not what was written is refused whole.

use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Mutex, PoisonError};

use rand::Rng;
use redb::{Database, Durability, ReadableTable, TableDefinition, WriteTransaction};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::holder::Held;
use super::key::KeyId;
use super::register::Row;
use crate::durable::database::{self, OpenError};
use crate::durable::{create_directory, is_transient};
use crate::store::witness::Witness;

const ROWS: TableDefinition<'_, u128, &[u8]> = TableDefinition::new("rows");
const META: TableDefinition<'_, &str, u64> = TableDefinition::new("meta");
const FILE: &str = "copies.redb";
const BIRTH: &str = "birth";
const COUNT: &str = "count";
/// Bytes of a row's digest.
const CHECK: usize = 8;

/// Why nothing can be kept or read.
#[derive(Debug, Error)]
pub enum DiskError {
    /// The directory cannot be used.
    #[error("{path}: {cause}")]
    Unusable {
        /// Which.
        path: PathBuf,
        /// What the system says.
        cause: io::Error,
    },
    /// A row is not what was written.
    #[error("{path} is damaged, and nothing of it is used: key {key:032x}: {what}")]
    Damaged {
        /// Which file.
        path: PathBuf,
        /// Which row.
        key: u128,
        /// What was found.
        what: String,
    },
    /// The file cannot be opened or made.
    #[error("{0}")]
    Open(#[from] OpenError),
    /// The file that is opened again is not the one that was kept in.
    #[error("{path}: {what}; nothing is kept until it is back")]
    Replaced {
        /// Which file.
        path: PathBuf,
        /// What was found.
        what: String,
    },
    /// The database says no.
    #[error("{0}")]
    Database(Box<redb::Error>),
    /// A row has no form.
    #[error("{0}")]
    Form(#[from] postcard::Error),
}

impl DiskError {
    /// Whether the directory may work again without anyone looking at it.
    pub fn is_transient(&self) -> bool {
        match self {
            Self::Unusable { cause, .. } => is_transient(cause),
            Self::Open(problem) => problem.is_transient(),
            Self::Database(problem) => match problem.as_ref() {
                redb::Error::Io(cause) => is_transient(cause),
                redb::Error::PreviousIo => true,
                _ => false,
            },
            Self::Damaged { .. } | Self::Replaced { .. } | Self::Form(_) => false,
        }
    }
}

fn db<T, E: Into<redb::Error>>(result: Result<T, E>) -> Result<T, DiskError> {
    result.map_err(|e| DiskError::Database(Box::new(e.into())))
}

/// What stands of a key: with the life of the node, the epoch of the slot and the window, so that after a loss of power
/// each can be judged.
#[derive(Debug, Serialize, Deserialize)]
struct Kept {
    incarnation: u64,
    epoch: u64,
    left_ms: u64,
    row: Row,
}

/// A register to be kept, or one to be dropped.
#[derive(Debug)]
pub struct Change {
    /// The key.
    pub key: KeyId,
    /// The epoch of its slot.
    pub epoch: u64,
    /// What is held; none where nothing is any more.
    pub held: Option<Held>,
}

/// What was held in one life of the node.
#[derive(Debug, Default)]
pub struct Restored {
    /// The registers. Windows begin anew as long as they lasted when they were written: nothing says for how long the power
    /// was off.
    pub rows: Vec<(KeyId, Held)>,
    /// The number of the latest view with which one of their slots had changed.
    pub level: u64,
}

/// What a directory held.
#[derive(Debug)]
pub struct Found {
    /// The word under which the node asks to belong: another directory has another one, and is another life of it.
    pub birth: u64,
    /// What was held, by life of the node.
    pub lives: BTreeMap<u64, Restored>,
    /// Whether more was kept here before than is there now: an older copy was put back.
    pub is_old: bool,
}

/// The file.
#[derive(Debug)]
pub struct Disk {
    /// None behind an error: the database is used no more after one until it is opened again.
    database: Mutex<Option<Database>>,
    path: PathBuf,
    /// The word of the directory, and how often something was kept there.
    birth: AtomicU64,
    count: AtomicU64,
    /// The word of a life that could not be begun on disk yet: nothing is kept before it is.
    renewing: Mutex<Option<u64>>,
    /// What stands beside the directory and tells an old one; none where nothing can be written there.
    witness: Option<Witness>,
}

fn digest(value: &[u8]) -> [u8; CHECK] {
    let mut first = [0; CHECK];
    blake3::Hasher::new().update(value).finalize_xof().fill(&mut first);
    first
}

/// Commits all of this, or nothing of it counts as kept.
fn write<T>(
    database: &Database,
    work: impl FnOnce(&WriteTransaction) -> Result<T, DiskError>,
) -> Result<T, DiskError> {
    let mut write = db(database.begin_write())?;
    write.set_durability(Durability::Immediate);
    write.set_two_phase_commit(true);
    let done = work(&write)?;
    db(write.commit())?;
    Ok(done)
}

/// Writes changes and how often something was kept.
fn commit(
    database: &Database,
    incarnation: u64,
    now: u64,
    changes: &[Change],
    count: u64,
) -> Result<(), DiskError> {
    write(database, |write| {
        db(db(write.open_table(META))?.insert(COUNT, count))?;
        let mut table = db(write.open_table(ROWS))?;
        for change in changes {
            let Some(held) = &change.held else {
                db(table.remove(change.key.0))?;
                continue;
            };
            let left_ms = held.until.saturating_sub(now);
            let kept = Kept { incarnation, epoch: change.epoch, left_ms, row: held.row.clone() };
            let body = postcard::to_stdvec(&kept)?;
            let row = [&digest(&body)[..], &body].concat();
            db(table.insert(change.key.0, row.as_slice()))?;
        }
        Ok(())
    })
}

/// Writes what a new life begins with: its word, and no rows.
pub(crate) fn begin(database: &Database, birth: u64) -> Result<(), DiskError> {
    write(database, |write| {
        db(db(write.open_table(META))?.insert(BIRTH, birth))?;
        db(write.delete_table(ROWS))?;
        db(write.open_table(ROWS))?;
        Ok(())
    })
}

impl Disk {
    /// Opens the file of a directory, or begins one.
    ///
    /// # Errors
    /// It cannot be used, or is damaged.
    pub fn open(directory: &Path, now: u64) -> Result<(Self, Found), DiskError> {
        let path = directory.join(FILE);
        let unusable = |cause| DiskError::Unusable { path: path.clone(), cause };
        create_directory(directory).map_err(unusable)?;
        let database = if path.try_exists().map_err(unusable)? {
            database::open(&path)?
        } else {
            database::create(&path, |database, _| {
                begin(&database, rand::rng().random())?;
                Ok::<_, DiskError>(database)
            })?
        };
        let witness = Witness::open(directory);
        let disk = Self {
            database: Mutex::new(Some(database)),
            path,
            birth: AtomicU64::new(0),
            count: AtomicU64::new(0),
            renewing: Mutex::new(None),
            witness,
        };
        // A failed read says what the database knows, not which file it was.
        let named = |problem| match problem {
            DiskError::Database(problem) => DiskError::Open(OpenError::of(&disk.path, *problem)),
            problem => problem,
        };
        let (birth, count) = disk.on(|database| disk.read_meta(database)).map_err(named)?;
        disk.birth.store(birth, Relaxed);
        disk.count.store(count, Relaxed);
        let seen = disk.witness.as_ref().and_then(|witness| witness.count(birth));
        let lives = disk.on(|database| disk.lives(database, now)).map_err(named)?;
        Ok((disk, Found { birth, lives, is_old: seen.is_some_and(|seen| seen > count) }))
    }

    /// Works on the database, which is opened again where the last work on it has failed.
    fn on<T>(&self, work: impl FnOnce(&Database) -> Result<T, DiskError>) -> Result<T, DiskError> {
        let mut open = self.database.lock().unwrap_or_else(PoisonError::into_inner);
        let database = match open.take() {
            Some(database) => database,
            None => self.reopen()?,
        };
        let done = work(&database)?;
        *open = Some(database);
        Ok(done)
    }

    /// Opens the file again behind an error: every page is read against its digest. It must be the one that was kept in,
    /// with all that was kept; of what failed last it may have everything or nothing.
    fn reopen(&self) -> Result<Database, DiskError> {
        let database = database::open(&self.path)?;
        let (birth, count) = self.read_meta(&database)?;
        let renewing = *self.renewing.lock().unwrap_or_else(PoisonError::into_inner);
        let (own, kept) = (self.birth.load(Relaxed), self.count.load(Relaxed));
        let replaced = |what| DiskError::Replaced { path: self.path.clone(), what };
        if birth != own && Some(birth) != renewing {
            return Err(replaced(format!("it is of life {birth:016x}, not of {own:016x}")));
        }
        if count < kept {
            return Err(replaced(format!("something was kept {count} times in it, not {kept} times")));
        }
        Ok(database)
    }

    /// The word of the directory, and how often something was kept.
    fn read_meta(&self, database: &Database) -> Result<(u64, u64), DiskError> {
        let read = db(database.begin_read())?;
        let meta = db(read.open_table(META))?;
        let birth = db(meta.get(BIRTH))?.map(|word| word.value());
        let birth = birth.ok_or_else(|| DiskError::Replaced {
            path: self.path.clone(),
            what: "it says of no life whose it is".to_owned(),
        })?;
        Ok((birth, db(meta.get(COUNT))?.map_or(0, |count| count.value())))
    }

    fn lives(&self, database: &Database, now: u64) -> Result<BTreeMap<u64, Restored>, DiskError> {
        let read = db(database.begin_read())?;
        let table = db(read.open_table(ROWS))?;
        let mut lives: BTreeMap<u64, Restored> = BTreeMap::new();
        for entry in db(table.iter())? {
            let (key, value) = db(entry)?;
            let bad = |what: &str| DiskError::Damaged {
                path: self.path.clone(),
                key: key.value(),
                what: what.to_owned(),
            };
            let (check, body) =
                value.value().split_at_checked(CHECK).ok_or_else(|| bad("it is too short"))?;
            if digest(body) != *check {
                return Err(bad("its digest is another"));
            }
            let kept: Kept = postcard::from_bytes(body).map_err(|e| bad(&e.to_string()))?;
            let held = Held { row: kept.row, until: now + kept.left_ms };
            let life = lives.entry(kept.incarnation).or_default();
            life.rows.push((KeyId(key.value()), held));
            life.level = life.level.max(kept.epoch);
        }
        Ok(lives)
    }

    /// Keeps these changes of a life of the node, all of them or none; they are synced when it returns.
    ///
    /// # Errors
    /// Nothing may be said to be kept.
    pub fn keep(&self, incarnation: u64, now: u64, changes: &[Change]) -> Result<(), DiskError> {
        self.begin_renewed()?;
        // One writer at a time.
        let count = self.count.load(Relaxed) + 1;
        self.on(|database| commit(database, incarnation, now, changes, count))?;
        self.count.store(count, Relaxed);
        let witnessed = self.witness.as_ref().map(|witness| witness.write(self.birth.load(Relaxed), count));
        witnessed.unwrap_or(Ok(())).map_err(|cause| DiskError::Unusable { path: self.path.clone(), cause })
    }

    /// Begins another life of the node: what was held in the one before is given up.
    ///
    /// # Errors
    /// It is not begun on disk. Nothing is kept until it is: [`Self::keep`] tries again.
    pub fn renew(&self, birth: u64) -> Result<(), DiskError> {
        *self.renewing.lock().unwrap_or_else(PoisonError::into_inner) = Some(birth);
        self.begin_renewed()
    }

    fn begin_renewed(&self) -> Result<(), DiskError> {
        let Some(birth) = *self.renewing.lock().unwrap_or_else(PoisonError::into_inner) else {
            return Ok(());
        };
        self.on(|database| begin(database, birth))?;
        self.birth.store(birth, Relaxed);
        let mut renewing = self.renewing.lock().unwrap_or_else(PoisonError::into_inner);
        if *renewing == Some(birth) {
            *renewing = None;
        }
        Ok(())
    }
}
