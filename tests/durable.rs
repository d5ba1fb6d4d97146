//! Small files that last: each call to the system fails or is cut short, the power goes, and what was acknowledged is there.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering::SeqCst};

use rstest::rstest;
use sillflow::durable::{LoadError, Operations, SmallFile, is_transient};
use sillflow::ejection::list::{List, Number};
use sillflow::ejection::persistent_guard::PersistentGuard;
use sillflow::fault_injection::{InjectedFault, inject};
use sillflow::lease::{DutyName, Fence, Guard, Stale};
use sillflow::route_exchange::asking::Line;
use sillflow::route_exchange::board::Board;
use sillflow::route_exchange::keep::{self, Stamp};
use sillflow::route_exchange::route::Name;

/// One file's bytes as the process reads them, and as they are on the platter.
#[derive(Clone, Debug, Default)]
struct Inode {
    cached: Vec<u8>,
    synced: Vec<u8>,
    is_dirty: bool,
}

/// A directory with a page cache, whose calls fail as a test says.
#[derive(Clone, Debug, Default)]
struct Folder {
    inodes: Vec<Inode>,
    names: BTreeMap<PathBuf, usize>,
    synced_names: BTreeMap<PathBuf, usize>,
    is_dirty: bool,
    /// Calls that change something until one fails, and how many bytes of a write are done all the same.
    fails: Option<(u32, usize)>,
}

impl Folder {
    /// Whether this call fails, and with how many bytes done.
    fn fails(&mut self) -> Option<usize> {
        let (left, bytes) = self.fails?;
        self.fails = left.checked_sub(1).map(|left| (left, bytes));
        (left == 0).then_some(bytes)
    }

    fn after_the_loss(&self) -> Self {
        let synced = |inode: &Inode| Inode { cached: inode.synced.clone(), ..inode.clone() };
        Self {
            inodes: self.inodes.iter().map(synced).collect(),
            names: self.synced_names.clone(),
            synced_names: self.synced_names.clone(),
            ..Self::default()
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Simulated(Rc<RefCell<Folder>>);

fn failure(kind: ErrorKind) -> io::Result<()> {
    Err(kind.into())
}

impl Operations for Simulated {
    type File = usize;

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        let folder = self.0.borrow();
        let inode = folder.names.get(path).ok_or(ErrorKind::NotFound)?;
        Ok(folder.inodes[*inode].cached.clone())
    }

    fn create_directory(&self, _path: &Path) -> io::Result<()> {
        Ok(())
    }

    fn create(&self, path: &Path) -> io::Result<usize> {
        let mut folder = self.0.borrow_mut();
        assert!(!folder.names.contains_key(path), "it must not be there");
        if folder.fails().is_some() {
            return Err(ErrorKind::StorageFull.into());
        }
        folder.inodes.push(Inode::default());
        let inode = folder.inodes.len() - 1;
        folder.names.insert(path.to_owned(), inode);
        folder.is_dirty = true;
        Ok(inode)
    }

    fn write(&self, file: &mut usize, bytes: &[u8]) -> io::Result<()> {
        let mut folder = self.0.borrow_mut();
        let cut = folder.fails();
        let inode = &mut folder.inodes[*file];
        inode.cached.extend(&bytes[..cut.unwrap_or(bytes.len()).min(bytes.len())]);
        inode.is_dirty = true;
        cut.map_or(Ok(()), |_| failure(ErrorKind::StorageFull))
    }

    fn sync(&self, file: &usize) -> io::Result<()> {
        let mut folder = self.0.borrow_mut();
        let failed = folder.fails();
        let inode = &mut folder.inodes[*file];
        // The kernel says once that it could not write, and takes the pages for clean from then on.
        match (std::mem::take(&mut inode.is_dirty), failed) {
            (_, Some(bytes)) => {
                inode.synced = inode.cached[..bytes.min(inode.cached.len())].to_vec();
                return failure(ErrorKind::Other);
            }
            (true, None) => inode.synced = inode.cached.clone(),
            (false, None) => {}
        }
        Ok(())
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        let mut folder = self.0.borrow_mut();
        if folder.fails().is_some() {
            return failure(ErrorKind::StorageFull);
        }
        let inode = folder.names.remove(from).ok_or(ErrorKind::NotFound)?;
        folder.names.insert(to.to_owned(), inode);
        folder.is_dirty = true;
        Ok(())
    }

    fn sync_directory(&self, _path: &Path) -> io::Result<()> {
        let mut folder = self.0.borrow_mut();
        let (failed, was_dirty) = (folder.fails().is_some(), std::mem::take(&mut folder.is_dirty));
        if failed {
            return failure(ErrorKind::Other);
        }
        if was_dirty {
            folder.synced_names = folder.names.clone();
        }
        Ok(())
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        let mut folder = self.0.borrow_mut();
        folder.is_dirty = true;
        folder.names.remove(path).map(drop).ok_or_else(|| ErrorKind::NotFound.into())
    }
}

const PATH: &str = "kept.json";

fn file(folder: &Simulated) -> SmallFile<Simulated> {
    SmallFile::with(PATH.into(), folder.clone())
}

/// What a start finds after the power has gone.
fn found(folder: &Simulated) -> Result<Option<u64>, String> {
    let after = folder.0.borrow().after_the_loss();
    file(&Simulated(Rc::new(RefCell::new(after)))).load().map_err(|problem| problem.to_string())
}

/// Stores one value well, one with a call that fails, and one well; what is wrong with what is found after each.
fn violations(fails: u32, bytes: usize) -> Vec<String> {
    let folder = Simulated::default();
    let kept = file(&folder);
    kept.store(&111_111_u64).expect("all goes well");
    folder.0.borrow_mut().fails = Some((fails, bytes));
    let second = kept.store(&222_222_u64);
    folder.0.borrow_mut().fails = None;
    let mut wrong = Vec::new();
    let after = found(&folder);
    let allowed: &[u64] = if second.is_ok() { &[222_222] } else { &[111_111, 222_222] };
    if !matches!(&after, Ok(Some(value)) if allowed.contains(value)) {
        wrong.push(format!("call {fails}, {bytes} bytes: {after:?} is none of {allowed:?}"));
    }
    // The process goes on, or is killed and another one starts with what the first had written.
    let started = file(&folder);
    if let Err(problem) = started.load::<u64>() {
        wrong.push(format!("call {fails}, {bytes} bytes: {problem}"));
    }
    if folder.0.borrow().names.len() > 1 {
        wrong.push("a temporary is left".to_owned());
    }
    match started.store(&333_333_u64) {
        Ok(()) if found(&folder) == Ok(Some(333_333)) => {}
        stored => wrong.push(format!("call {fails}: then {stored:?} and {:?}", found(&folder))),
    }
    wrong
}

fn all_violations() -> Vec<String> {
    (0..6).flat_map(|fails| (0..=6).flat_map(move |bytes| violations(fails, bytes))).collect()
}

#[rstest]
fn whichever_call_fails_at_whichever_byte_a_file_is_whole_and_what_was_acknowledged_is_there() {
    assert_eq!(all_violations(), Vec::<String>::new());
}

#[rstest]
fn a_second_sync_that_is_believed_is_found() {
    inject(Some(InjectedFault::SecondSyncBelieved));
    let found = all_violations();
    inject(None);
    assert!(!found.is_empty(), "nothing is found");
}

/// A directory of the system's that is gone after the test.
struct Real(PathBuf);

impl Real {
    fn new() -> Self {
        static MADE: AtomicU32 = AtomicU32::new(0);
        let name = format!("sillflow-durable-{}-{}", std::process::id(), MADE.fetch_add(1, SeqCst));
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory).expect("a folder");
        Self(directory)
    }

    /// Lets each try to store a file fail: its temporary cannot be made.
    fn block(&self, name: &str) {
        std::fs::create_dir_all(self.0.join(format!("{name}.new")).join("in the way")).expect("a folder");
    }

    fn unblock(&self, name: &str) {
        std::fs::remove_dir_all(self.0.join(format!("{name}.new"))).expect("a folder");
    }
}

impl Drop for Real {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[rstest]
fn a_file_that_is_torn_at_any_byte_is_named_with_the_place_and_left_as_it_is() {
    let real = Real::new();
    let path = real.0.join("numbers.json");
    let kept = SmallFile::new(path.clone());
    let value = BTreeMap::from([("a".to_owned(), 12_u64), ("b".to_owned(), 345)]);
    kept.store(&value).expect("it is stored");
    let whole = std::fs::read(&path).expect("a file");
    for length in 0..whole.len() {
        std::fs::write(&path, &whole[..length]).expect("a file");
        let problem = kept.load::<BTreeMap<String, u64>>().expect_err("it is torn");
        assert!(matches!(&problem, LoadError::Damaged { offset, .. } if *offset == length), "{problem}");
        assert!(problem.to_string().contains(&path.display().to_string()), "{problem}");
        assert!(!problem.is_transient());
        assert_eq!(std::fs::read(&path).expect("a file"), whole[..length], "it is left as it is");
    }
}

#[rstest]
fn a_temporary_that_was_left_is_taken_away_and_never_read() {
    let real = Real::new();
    let kept = SmallFile::new(real.0.join("numbers.json"));
    let early = real.0.join("numbers.json.new");
    std::fs::write(&early, "7").expect("a file");
    assert_eq!(kept.load::<u64>().expect("nothing was stored"), None);
    assert!(!early.exists());
    kept.store(&1_u64).expect("it is stored");
    std::fs::write(&early, "7").expect("a file");
    assert_eq!(kept.load::<u64>().expect("it is there"), Some(1));
    assert!(!early.exists());
}

#[rstest]
fn a_duty_is_refused_under_a_number_that_cannot_be_kept_and_taken_once_it_can() {
    let real = Real::new();
    let path = real.0.join("numbers.json");
    let duty = DutyName::new("d".to_owned()).expect("a name");
    let fence = |number| Fence { duty: duty.clone(), number };
    let mut guard = Guard::open(&path).expect("a guard");
    guard.admit(&fence(3)).expect("it is kept");
    real.block("numbers.json");
    let refused = guard.admit(&fence(4));
    assert!(matches!(refused, Err(Stale::Unkept { number: 4, .. })), "{refused:?}");
    guard.admit(&fence(3)).expect("what was taken on goes on");
    real.unblock("numbers.json");
    guard.admit(&fence(4)).expect("it is kept again");
    let mut guard = Guard::open(&path).expect("a guard");
    assert!(matches!(guard.admit(&fence(3)), Err(Stale::Lower { seen: 4, .. })));
    std::fs::write(&path, "{\"d\":").expect("a file");
    assert!(Guard::open(&path).is_err_and(|problem| problem.to_string().contains("numbers.json is damaged")));
}

#[rstest]
fn a_list_is_not_applied_while_its_number_cannot_be_kept_and_is_once_it_can() {
    let real = Real::new();
    let path = real.0.join("verdicts.json");
    let list = |sequence| List { number: Number { fence: 1, sequence }, ..List::default() };
    let mut guard = PersistentGuard::open(Some(path.clone())).expect("a guard");
    guard.accept(0.0, &list(1)).expect("it is kept");
    real.block("verdicts.json");
    assert!(guard.accept(1.0, &list(2)).is_err());
    assert_eq!(guard.guard().seen(), list(1).number);
    real.unblock("verdicts.json");
    guard.accept(2.0, &list(2)).expect("it is kept again");
    let mut guard = PersistentGuard::open(Some(path.clone())).expect("a guard");
    assert!(guard.accept(3.0, &list(1)).is_err(), "it is older than the last one");
    std::fs::write(&path, "").expect("a file");
    assert!(
        PersistentGuard::open(Some(path)).is_err_and(|problem| problem.to_string().contains("at byte 0"))
    );
}

/// This many ms since 1970, on a system that tells nothing of its boots.
fn stamp(utc_ms: u64) -> Stamp {
    Stamp { utc_ms, ..Stamp::default() }
}

/// The same in the boot `boot`, which began so long ago.
fn booted(utc_ms: u64, boot: &str, boot_ms: u64) -> Stamp {
    Stamp { utc_ms, boot_ms, boot: Some(boot.to_owned()) }
}

/// Two seconds pass between the two, whatever the wall clock says.
#[rstest]
#[case::no_step(booted(10_000_000, "a", 5000), booted(10_002_000, "a", 7000), Some(2000))]
#[case::an_hour_back(booted(10_000_000, "a", 5000), booted(6_402_000, "a", 7000), Some(2000))]
#[case::a_second_back(booted(10_000_000, "a", 5000), booted(10_001_000, "a", 7000), Some(2000))]
#[case::an_hour_forward(booted(10_000_000, "a", 5000), booted(13_602_000, "a", 7000), Some(2000))]
#[case::another_boot(booted(10_000_000, "a", 5000), booted(10_002_000, "b", 900), Some(2000))]
#[case::another_boot_and_back(booted(10_000_000, "a", 5000), booted(6_402_000, "b", 900), None)]
#[case::an_earlier_version(stamp(10_000_000), booted(10_002_000, "a", 7000), Some(2000))]
#[case::no_word_of_boots(stamp(10_000_000), stamp(10_002_000), Some(2000))]
fn a_kept_table_is_as_stale_as_it_is(
    #[case] then: Stamp,
    #[case] now: Stamp,
    #[case] passed_ms: Option<u64>,
) {
    let real = Real::new();
    let mut feed = Board::default().tell(None, 0).feed();
    let name = Name::try_from("partner").expect("a name");
    feed.partners.insert(name.clone(), Line { seen: feed.version, stale_ms: 100 });
    keep::write(&real.0, &feed, then).expect("it is kept");
    let kept = keep::read(&real.0, &now).expect("it is whole").expect("it is there");
    assert_eq!(kept.partners[&name].stale_ms, passed_ms.map_or(u64::MAX, |passed_ms| 100 + passed_ms));
}

#[rstest]
fn a_table_of_partners_that_cannot_be_kept_leaves_the_one_before() {
    let real = Real::new();
    let feed = Board::default().tell(None, 0).feed();
    keep::write(&real.0, &feed, stamp(1000)).expect("it is kept");
    real.block("partners.json");
    keep::write(&real.0, &feed, stamp(2000)).expect_err("it is not kept");
    real.unblock("partners.json");
    assert!(keep::read(&real.0, &stamp(2000)).expect("it is whole").is_some());
    keep::write(&real.0, &feed, stamp(3000)).expect("it is kept again");
    let path = real.0.join("partners.json");
    let whole = std::fs::read(&path).expect("a file");
    for length in 0..whole.len() {
        std::fs::write(&path, &whole[..length]).expect("a file");
        let problem = keep::read(&real.0, &stamp(3000)).expect_err("it is torn").to_string();
        assert!(problem.contains(&format!("partners.json is damaged at byte {length}")), "{problem}");
    }
}

#[rstest]
#[case(libc_error(5), true)]
#[case(libc_error(28), true)]
#[case(libc_error(24), true)]
#[case(libc_error(2), false)]
#[case(libc_error(13), false)]
fn a_failing_device_is_told_from_a_path_that_is_wrong(#[case] problem: io::Error, #[case] passes: bool) {
    assert_eq!(is_transient(&problem), passes, "{problem}");
}

fn libc_error(number: i32) -> io::Error {
    io::Error::from_raw_os_error(number)
}
