//! Real processes whose folders fail writes (ENOSPC) or syncs (EIO) for a while: nothing is acknowledged that is lost, the
//! part says so and refuses, and goes on by itself when the folder works.

mod rig;
mod support;

use rig::copied::judge;
use rig::copies::{End, patiently};
use rig::{PATIENCE, Rig, until};
use rstest::rstest;
use sillflow::store::Status;
use support::operate;

fn trouble(rig: &Rig, n: usize) -> String {
    rig.status(n).and_then(|status: Status| status.trouble).unwrap_or_default()
}

fn count(rig: &Rig, n: usize, part: &str) -> usize {
    rig.log(n).lines().filter(|line| line.contains(part)).count()
}

const REFUSES: &str = "takes nothing on until its directory works";

/// Three members agree without the one whose disk fails, which may have led.
#[rstest]
#[case::write("write")]
#[case::sync("sync")]
fn a_member_whose_disk_fails_promises_nothing_and_comes_back_by_itself(#[case] operation: &str) {
    let mut rig = Rig::new(3);
    rig.form(3);
    rig.writes(1, "before", "one");
    let bad = rig.led(&[1, 2, 3]);
    let rest: Vec<usize> = (1..=3).filter(|n| *n != bad).collect();
    let pid = rig.pid(bad);
    rig.folders_fail(bad, operation);
    rig.writes(rest[0], "meanwhile", "two");
    // Whatever it is asked to write, by itself or by the one that leads, it cannot.
    rig.logged(bad, REFUSES);
    until("its status says so", PATIENCE, || trouble(&rig, bad).contains("takes nothing on"));
    let refused = rig.set(bad, "refused", "x").expect_err("it takes nothing on");
    assert!(refused.contains("NotDone") && refused.contains("directory"), "{refused}");
    let (well, _, said) = operate(&["store", "status", "--at", &rig.address(bad)]);
    assert!(!well && said.contains("store.redb"), "{said}");
    rig.writes(rest[1], "meanwhile", "three");
    rig.folders_work(bad);
    rig.logged(bad, "the store's directory works again");
    until("it serves again", PATIENCE, || trouble(&rig, bad).is_empty());
    assert_eq!(rig.pid(bad), pid, "no process was started");
    assert_eq!(count(&rig, bad, REFUSES), 1, "one line a spell:\n{}", rig.log(bad));
    assert_eq!(rig.reads(bad, "meanwhile"), Some("three".to_owned()));
    // Its voice is needed now, and what it takes on lasts.
    rig.kill(rest[0]);
    rig.writes(bad, "after", "four");
    [bad, rest[1]].iter().for_each(|n| rig.kill(*n));
    (1..=3).for_each(|n| rig.up(n));
    for (key, value) in [("before", "one"), ("meanwhile", "three"), ("after", "four")] {
        assert_eq!(rig.reads(bad, key), Some(value.to_owned()), "{key}");
    }
    assert_eq!(rig.reads(bad, "refused"), None);
}

/// No majority is left: writes end without being acknowledged, and what was acknowledged is there.
#[rstest]
#[case::write("write")]
#[case::sync("sync")]
fn while_every_disk_fails_no_write_is_acknowledged(#[case] operation: &str) {
    let mut rig = Rig::new(3);
    rig.form(3);
    rig.writes(1, "a", "kept");
    (1..=3).for_each(|n| rig.folders_fail(n, operation));
    for n in 1..=3 {
        assert!(rig.set(n, "a", &format!("not kept {n}")).is_err(), "{}", rig.log(n));
    }
    (1..=3).for_each(|n| rig.logged(n, REFUSES));
    (1..=3).for_each(|n| rig.folders_work(n));
    rig.led(&[1, 2, 3]);
    let now = rig.reads(1, "a").expect("it is there");
    rig.writes(2, "b", "later");
    (1..=3).for_each(|n| rig.kill(n));
    (1..=3).for_each(|n| rig.up(n));
    // One that was not confirmed may have been done; once it was read it stays.
    assert_eq!(rig.reads(3, "a"), Some(now));
    assert_eq!(rig.reads(3, "b"), Some("later".to_owned()));
}

/// The folder fails from before the start on: the process runs, says so, and takes part once it works.
#[rstest]
#[case::write("write")]
#[case::sync("sync")]
fn a_member_that_starts_with_a_failing_folder_waits_for_it(#[case] operation: &str) {
    let mut rig = Rig::new(3);
    rig.form(3);
    rig.writes(1, "a", "one");
    rig.kill(3);
    rig.folders_fail(3, operation);
    rig.again(3);
    rig.logged(3, REFUSES);
    until("its status says so", PATIENCE, || trouble(&rig, 3).contains("takes nothing on"));
    rig.folders_work(3);
    until("it serves", PATIENCE, || rig.status(3).is_some() && trouble(&rig, 3).is_empty());
    rig.kill(1);
    assert_eq!(rig.reads(3, "a"), Some("one".to_owned()));
    rig.writes(3, "b", "two");
}

/// A holder of copies whose folder fails gives no claims, and gives them again by itself. What was shared before is shared
/// after all have been started again.
#[rstest]
#[case::write("write")]
#[case::sync("sync")]
fn a_holder_whose_folder_fails_gives_no_claims_and_gives_them_again(#[case] operation: &str) {
    let (mut rig, work) = patiently(5, "directory = \"DIR\"");
    (0..5).for_each(|key| assert!(matches!(rig.requests(1, key, &work.seen), End::Done(_))));
    // One of those that have no member of the store.
    rig.folders_fail(5, operation);
    (10..25).for_each(|key| assert!(matches!(rig.requests(1, key, &work.seen), End::Done(_))));
    rig.logged(5, "claims cannot be kept, and are not given until they can");
    let shown = rig.held(5).and_then(|report| report.trouble);
    assert!(shown.is_some_and(|trouble| !trouble.is_empty()), "its command says so");
    rig.folders_work(5);
    rig.logged(5, "claims are kept and given again");
    until("its command says so", PATIENCE, || rig.held(5).is_some_and(|report| report.trouble.is_none()));
    (30..40).for_each(|key| assert!(matches!(rig.requests(5, key, &work.seen), End::Done(_))));
    (1..=5).for_each(|n| rig.kill(n));
    (1..=5).for_each(|n| rig.again(n));
    until("all belong", PATIENCE, || rig.all_see(&[1, 2, 3, 4, 5], 5));
    for key in (0..5).chain(10..25).chain(30..40) {
        assert!(matches!(rig.requests(2, key, &work.seen), End::Done(_)), "{key}");
        assert_eq!(work.runs(key).len(), 1, "{key} runs once");
    }
    assert_eq!(judge(&work.seen.lock().expect("a lock").clone()), []);
}

/// A node whose folder fails at its start tells why it does not belong, and belongs as the life that it was once it works.
#[rstest]
#[case::write("write")]
#[case::sync("sync")]
fn a_node_that_starts_with_a_failing_folder_belongs_again_by_itself(#[case] operation: &str) {
    let (mut rig, work) = patiently(5, "directory = \"DIR\"");
    (0..5).for_each(|key| assert!(matches!(rig.requests(5, key, &work.seen), End::Done(_))));
    let life = rig.seen(5).and_then(|report| report.incarnation).expect("it belongs");
    rig.kill(5);
    rig.folders_fail(5, operation);
    rig.again(5);
    rig.logged(5, "does not belong to the fleet until its folder works");
    until("its command says so", PATIENCE, || {
        rig.seen(5).and_then(|report| report.trouble).is_some_and(|trouble| trouble.contains("copies.redb"))
    });
    rig.folders_work(5);
    until("it belongs", PATIENCE, || rig.seen(5).and_then(|report| report.incarnation) == Some(life));
    (0..5).for_each(|key| assert!(matches!(rig.requests(5, key, &work.seen), End::Done(_))));
    assert_eq!(judge(&work.seen.lock().expect("a lock").clone()), []);
}

/// A file that is gone while the folder fails is not begun empty: others count on what was in it.
#[rstest]
fn a_file_of_copies_that_is_gone_is_not_begun_empty() {
    let (rig, work) = patiently(5, "directory = \"DIR\"");
    (0..5).for_each(|key| assert!(matches!(rig.requests(1, key, &work.seen), End::Done(_))));
    rig.folders_fail(5, "sync");
    (10..25).for_each(|key| assert!(matches!(rig.requests(1, key, &work.seen), End::Done(_))));
    rig.logged(5, "claims cannot be kept, and are not given until they can");
    let path = std::path::Path::new(&rig.copies_dir(5)).join("copies.redb");
    std::fs::rename(&path, path.with_extension("away")).expect("a file");
    rig.folders_work(5);
    let trouble = || rig.held(5).and_then(|report| report.trouble).unwrap_or_default();
    until("it misses its file", PATIENCE, || trouble().contains("copies.redb: No such file"));
    (30..40).for_each(|key| assert!(matches!(rig.requests(1, key, &work.seen), End::Done(_))));
    assert!(!path.exists(), "no empty one is put in its place");
    std::fs::rename(path.with_extension("away"), &path).expect("a file");
    until("it has its file again", PATIENCE, || trouble().is_empty());
    assert_eq!(judge(&work.seen.lock().expect("a lock").clone()), []);
}
