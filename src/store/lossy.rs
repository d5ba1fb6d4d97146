//! A disk that loses, or tears, what was not synced when the power goes; and what a member's log must hold behind it:
//! all that was acknowledged, or a plain word that it is damaged.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};

use openraft::{CommittedLeaderId, Entry, EntryPayload, LogId};
use proptest::prelude::*;
use redb::{Database, StorageBackend, TableDefinition};

use super::decide::identity::Identity;
use super::disk::Disk;
use super::map::{Batch, Deed, Logged};
use super::{Change, Types};
use crate::fault_injection::{self, InjectedFault};
use crate::replication::disk as copies;

/// A write, or a new length, that waits for a sync.
#[derive(Clone, Debug)]
enum Waiting {
    Write(u64, Vec<u8>),
    Length(u64),
}

#[derive(Debug, Default)]
struct Platter {
    synced: Vec<u8>,
    now: Vec<u8>,
    waiting: Vec<Waiting>,
    /// Syncs until the power goes; none while it lasts.
    left: Option<u32>,
    /// Syncs until one fails, once.
    fails: Option<u32>,
}

fn apply(bytes: &mut Vec<u8>, waiting: &Waiting) {
    match waiting {
        Waiting::Length(length) => bytes.resize(*length as usize, 0),
        Waiting::Write(at, data) => {
            let end = *at as usize + data.len();
            bytes.resize(bytes.len().max(end), 0);
            bytes[*at as usize..end].copy_from_slice(data);
        }
    }
}

/// The backend; clones share the platter.
#[derive(Clone, Debug, Default)]
struct Lossy(Arc<Mutex<Platter>>);

impl Lossy {
    /// What is on the platter when the power is back: of what waited, in any order, what `survives` says, the last one
    /// torn in its middle where it says so too.
    fn after_the_loss(&self, survives: u64) -> Self {
        let platter = self.0.lock().expect("a lock");
        let mut synced = platter.synced.clone();
        for (n, waiting) in platter.waiting.iter().enumerate().filter(|(n, _)| survives >> (n % 63) & 1 == 1)
        {
            match waiting {
                Waiting::Write(at, data) if n % 3 == 0 => {
                    apply(&mut synced, &Waiting::Write(*at, data[..data.len() / 2].to_vec()));
                }
                waiting => apply(&mut synced, waiting),
            }
        }
        let now = synced.clone();
        Self(Arc::new(Mutex::new(Platter { synced, now, ..Platter::default() })))
    }

    fn turn_over(&self, at: usize) {
        let mut platter = self.0.lock().expect("a lock");
        let at = at % platter.now.len();
        platter.now[at] ^= 0x40;
    }
}

impl StorageBackend for Lossy {
    fn len(&self) -> Result<u64, io::Error> {
        Ok(self.0.lock().expect("a lock").now.len() as u64)
    }

    fn read(&self, offset: u64, len: usize) -> Result<Vec<u8>, io::Error> {
        let platter = self.0.lock().expect("a lock");
        let found = platter.now.get(offset as usize..offset as usize + len);
        found.map(<[u8]>::to_vec).ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    fn set_len(&self, len: u64) -> Result<(), io::Error> {
        let mut platter = self.0.lock().expect("a lock");
        apply(&mut platter.now, &Waiting::Length(len));
        platter.waiting.push(Waiting::Length(len));
        Ok(())
    }

    fn sync_data(&self, _eventual: bool) -> Result<(), io::Error> {
        let mut platter = self.0.lock().expect("a lock");
        if platter.left == Some(0) {
            return Err(io::Error::other("the power is gone"));
        }
        platter.left = platter.left.map(|left| left - 1);
        let fails = platter.fails == Some(0);
        platter.fails = platter.fails.and_then(|left| left.checked_sub(1));
        if fails {
            // Reads find what was written still, and no later sync writes it. How long the file is stands in its inode,
            // which waits for the journal.
            platter.waiting.retain(|waiting| matches!(waiting, Waiting::Length(_)));
            return Err(io::Error::other("the device has failed a write"));
        }
        let waiting = std::mem::take(&mut platter.waiting);
        waiting.iter().for_each(|waiting| apply(&mut platter.synced, waiting));
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), io::Error> {
        let mut platter = self.0.lock().expect("a lock");
        let write = Waiting::Write(offset, data.to_vec());
        apply(&mut platter.now, &write);
        platter.waiting.push(write);
        Ok(())
    }
}

fn entry(index: u64, length: usize) -> Entry<Types> {
    let change = Change { key: format!("k{index}"), value: Some("x".repeat(length)), expect: None };
    let payload =
        EntryPayload::Normal(Batch(vec![Logged { tag: index, since: 0, deed: Deed::Change(change) }]));
    Entry { log_id: LogId::new(CommittedLeaderId::new(1, 1), index), payload }
}

#[derive(Clone, Debug)]
enum Step {
    Append(u64, usize),
    Cut(u64),
    Mark,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (1..4u64, 1..3000usize).prop_map(|(count, length)| Step::Append(count, length)),
        1 => (0..3u64).prop_map(Step::Cut),
        1 => Just(Step::Mark),
    ];
    proptest::collection::vec(step, 1..14)
}

/// What a member was told is kept.
#[derive(Clone, Debug, Default, PartialEq)]
struct Promised {
    entries: BTreeMap<u64, usize>,
    mark: u64,
}

/// Does the steps until one fails; what was promised, and what the step that failed would have added.
fn carry_out(disk: &Disk, mut identity: Identity, steps: &[Step]) -> (Promised, Promised) {
    let mut promised = Promised::default();
    for step in steps {
        let mut next = promised.clone();
        let end = promised.entries.last_key_value().map_or(0, |(index, _)| index + 1);
        let done = match step {
            Step::Append(count, length) => {
                next.entries.extend((end..end + count).map(|index| (index, *length)));
                disk.add((end..end + count).map(|index| entry(index, *length)))
            }
            Step::Cut(back) => {
                let from = end.saturating_sub(*back);
                next.entries.retain(|index, _| *index < from);
                disk.cut(from)
            }
            Step::Mark => {
                identity.mark += 1;
                next.mark = identity.mark;
                disk.save_identity(&identity)
            }
        };
        if done.is_err() {
            return (promised, next);
        }
        promised = next;
    }
    (promised.clone(), promised)
}

fn held(disk: &Disk, identity: &Identity) -> Promised {
    let entries = disk.log().expect("each row is whole");
    let value = |logged: &Logged| match &logged.deed {
        Deed::Change(change) => change.value.as_ref().map_or(0, String::len),
        _ => 0,
    };
    let length = |entry: &Entry<Types>| match &entry.payload {
        EntryPayload::Normal(Batch(batch)) => batch.iter().map(value).sum(),
        _ => 0,
    };
    Promised {
        entries: entries.iter().map(|entry| (entry.log_id.index, length(entry))).collect(),
        mark: identity.mark,
    }
}

/// One sync fails, the member opens its file again and goes on with the steps that are left, and then the power goes.
/// What it had read when it was open again counts as promised, as all that was acknowledged before and after.
fn one_sync_fails(steps: &[Step], syncs: u32, survives: u64) -> Result<(), String> {
    let lossy = Lossy::default();
    let opened = Disk::open_backend(lossy.clone(), 7).map_err(|e| e.to_string())?;
    lossy.0.lock().expect("a lock").fails = Some(syncs);
    let (promised, almost) = carry_out(&opened.disk, opened.identity, steps);
    drop(opened.disk);
    // It may be the opening that fails: then it is opened once more.
    let again = || Disk::open_backend(lossy.clone(), 8);
    let opened = again().or_else(|_| again()).map_err(|e| format!("not opened again: {e}"))?;
    lossy.0.lock().expect("a lock").fails = None;
    let again = held(&opened.disk, &opened.identity);
    if again != promised && again != almost {
        return Err(format!("open again: {again:?} is neither {promised:?} nor {almost:?}"));
    }
    let at_once = opened_after_the_loss(&lossy, survives)?;
    if at_once != again {
        return Err(format!("after the loss of power: {at_once:?} is not {again:?}"));
    }
    let end = again.entries.last_key_value().map_or(0, |(index, _)| index + 1);
    opened.disk.add((end..end + 3).map(|index| entry(index, 700))).map_err(|e| e.to_string())?;
    let mut more = again;
    more.entries.extend((end..end + 3).map(|index| (index, 700)));
    let later = opened_after_the_loss(&lossy, survives)?;
    if later == more { Ok(()) } else { Err(format!("later: {later:?} is not {more:?}")) }
}

fn opened_after_the_loss(lossy: &Lossy, survives: u64) -> Result<Promised, String> {
    let after = lossy.after_the_loss(survives);
    let opened = std::panic::catch_unwind(|| Disk::open_backend(after, 9).map_err(|e| e.to_string()));
    let opened = opened.unwrap_or_else(|_| Err("the database makes no sense of it".to_owned()))?;
    if opened.identity.member != 7 {
        return Err("it began empty".to_owned());
    }
    Ok(held(&opened.disk, &opened.identity))
}

#[test]
fn a_second_sync_that_is_believed_is_found() {
    let steps = [Step::Append(2, 2000), Step::Mark, Step::Append(3, 300), Step::Cut(1), Step::Append(1, 900)];
    let faults = || (0..12).filter_map(|syncs| one_sync_fails(&steps, syncs, 0).err()).collect::<Vec<_>>();
    assert_eq!(faults(), Vec::<String>::new());
    fault_injection::inject(Some(InjectedFault::SecondSyncBelieved));
    let found = faults();
    fault_injection::inject(None);
    assert!(!found.is_empty(), "nothing is found");
}

/// The life that a file of copies says, where it can be read.
fn life(lossy: &Lossy) -> Result<Option<u64>, String> {
    let opened = std::panic::catch_unwind(|| {
        let database = Database::builder().create_with_backend(lossy.clone()).map_err(|e| e.to_string())?;
        let read = database.begin_read().map_err(|e| e.to_string())?;
        let Ok(meta) = read.open_table(TableDefinition::<&str, u64>::new("meta")) else { return Ok(None) };
        Ok(meta.get("birth").map_err(|e| e.to_string())?.map(|birth| birth.value()))
    });
    opened.unwrap_or_else(|_| Err("the database makes no sense of it".to_owned()))
}

/// Copies begin a life as the store commits, so that what is read from the cache after a failed sync lasts.
#[test]
fn a_life_of_copies_that_is_read_after_a_sync_that_failed_lasts() {
    for syncs in 0..4 {
        let lossy = Lossy::default();
        let database = Database::builder().create_with_backend(lossy.clone()).expect("a database");
        lossy.0.lock().expect("a lock").fails = Some(syncs);
        let begun = copies::begin(&database, 11);
        drop(database);
        lossy.0.lock().expect("a lock").fails = None;
        let again = life(&lossy).expect("it is opened again");
        assert!(begun.is_err() || again == Some(11), "{again:?}");
        assert_eq!(life(&lossy.after_the_loss(0)), Ok(again), "sync {syncs}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, ..ProptestConfig::default() })]

    /// The power goes at any sync, and any part of what was not synced is lost or torn.
    #[test]
    fn what_was_acknowledged_is_there_after_a_loss_of_power(
        steps in steps(),
        syncs in 0..40u32,
        survives in any::<u64>(),
    ) {
        let lossy = Lossy::default();
        let opened = Disk::open_backend(lossy.clone(), 7).expect("a disk");
        lossy.0.lock().expect("a lock").left = Some(syncs);
        let (promised, almost) = carry_out(&opened.disk, opened.identity, &steps);
        // What the process would do at its end is not done.
        let after = lossy.after_the_loss(survives);
        let opened = Disk::open_backend(after, 8).expect("it opens");
        prop_assert_eq!(opened.identity.member, 7);
        let held = held(&opened.disk, &opened.identity);
        prop_assert!(held == promised || held == almost, "{:?} is neither {:?} nor {:?}", held, promised, almost);
    }

    /// One sync fails, whichever: the kernel says so once and never writes what waited for it.
    #[test]
    fn what_was_acknowledged_is_there_after_a_sync_that_failed(
        steps in steps(),
        syncs in 0..24u32,
        survives in any::<u64>(),
    ) {
        prop_assert_eq!(one_sync_fails(&steps, syncs, survives), Ok(()));
    }

    /// A byte turns over anywhere: the directory is refused, or all is there.
    #[test]
    fn a_byte_that_turns_over_is_found(steps in steps(), at in any::<usize>()) {
        let lossy = Lossy::default();
        let opened = Disk::open_backend(lossy.clone(), 7).expect("a disk");
        let (promised, _) = carry_out(&opened.disk, opened.identity, &steps);
        drop(opened.disk);
        let copy = lossy.after_the_loss(0);
        copy.turn_over(at);
        let refused = std::panic::catch_unwind(|| Disk::open_backend(copy, 8).ok());
        if let Ok(Some(opened)) = refused {
            prop_assert_eq!(opened.identity.member, 7);
            prop_assert_eq!(held(&opened.disk, &opened.identity), promised);
        }
    }
}
