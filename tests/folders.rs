//! Real processes whose folders fail writes (ENOSPC) or syncs (EIO) for a while: nothing is acknowledged that is lost, the
//! part says so and refuses, and goes on by itself when the folder works.

mod rig;
mod support;

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
