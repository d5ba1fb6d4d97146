//! The store's members under faults: real processes, links that are cut, disks that are lost, and what callers saw.

mod rig;
mod support;

use std::net::TcpStream;
use std::time::{Duration, Instant};

use rig::schedule::{Play, play};
use rig::{PATIENCE, Rig, until};
use rstest::rstest;
use sillflow::store::{Answer, Query, Role, Truth, Wish};
use support::operate;

/// The run of the operators' letter: one disk lost and one machine away, and a write that both others had agreed on.
#[rstest]
fn a_lost_disk_and_a_machine_that_is_away_take_no_acknowledged_write() {
    let mut rig = Rig::new(3);
    rig.form(3);
    rig.kill(3);
    rig.led(&[1, 2]);
    rig.writes(1, "a", "one");
    rig.kill(1);
    rig.kill(2);
    rig.wipe(2);
    rig.up(2);
    rig.up(3);
    // Neither the blank member nor the one that was away can make up for the one that knows.
    let refused = rig.set(3, "b", "later").expect_err("there is no majority");
    assert!(refused.contains("NotDone"), "{refused}");
    assert!(rig.get(2, "a").is_err(), "a blank member answers for nobody");
    rig.up(1);
    rig.led(&[1, 3]);
    assert_eq!(rig.reads(3, "a"), Some("one".to_owned()));
    rig.writes(3, "b", "later");
    until("the blank member votes again", PATIENCE, || rig.voters(1) == [1, 2, 3]);
    assert_eq!(rig.reads(2, "a"), Some("one".to_owned()));
    assert_eq!(rig.reads(1, "b"), Some("later".to_owned()));
}

/// The one that led is told at its start that it does, by its own file; what it had acknowledged last may not be applied.
#[rstest]
fn a_read_after_all_were_killed_misses_nothing_that_was_acknowledged() {
    let mut rig = Rig::new(3);
    rig.form(3);
    for round in 0..4 {
        let leader = rig.led(&[1, 2, 3]);
        let rest = others(leader, &[1, 2, 3]);
        rig.kill(rest[0]);
        rig.writes(rest[1], "a", &round.to_string());
        [rest[1], leader].iter().for_each(|n| rig.kill(*n));
        [rest[0], rest[1], leader].iter().for_each(|n| rig.up(*n));
        assert_eq!(rig.reads(rest[1], "a"), Some(round.to_string()));
    }
}

/// Plays of faults and callers; each prints what it does, and the same seed does it again.
#[rstest]
#[case(1, 3)]
#[case(2, 3)]
#[case(3, 5)]
#[case(4, 5)]
fn callers_see_one_register_for_each_key_whatever_fails(#[case] seed: u64, #[case] members: usize) {
    let drawn = Play::draw(seed, members);
    println!("{drawn:?}");
    let (outcome, _rig) = play(&drawn);
    assert!(outcome.acknowledged > 0);
    assert_eq!((outcome.violations, outcome.lost), (vec![], 0));
    println!("writes again after {:?}", outcome.serves_after);
}

/// What a member is known by.
fn word(rig: &Rig, n: usize) -> String {
    rig.status(n).expect("it answers").member
}

fn others(of: usize, among: &[usize]) -> Vec<usize> {
    among.iter().copied().filter(|n| *n != of).collect()
}

#[rstest]
fn a_split_during_a_write_ends_it_in_time_and_loses_nothing() {
    let mut rig = Rig::new(3);
    rig.form(3);
    let leader = rig.led(&[1, 2, 3]);
    let rest = others(leader, &[1, 2, 3]);
    rig.writes(leader, "a", "before");
    rig.relay.split(&[leader], &rest);
    let began = Instant::now();
    let said = rig.set(leader, "a", "cut off").expect_err("no majority is heard");
    assert!(began.elapsed() < Duration::from_secs(7), "{:?}", began.elapsed());
    assert!(said.contains("Unsure"), "what was begun may be done later: {said}");
    rig.led(&rest);
    rig.writes(rest[0], "a", "after");
    let stale = rig.get(leader, "a");
    assert!(stale.is_err(), "who is cut off answers nothing as of now: {stale:?}");
    // What it has is to be had for the asking, with its age.
    let local = rig.ask(leader, Query::Read { prefix: "a".to_owned(), local: true });
    let Ok(Answer::Contents { entries, truth: Truth::Local { .. } }) = local else { panic!("{local:?}") };
    assert_eq!(entries["a"].value, "before");
    let trouble = rig.status(leader).and_then(|status| status.trouble).expect("it is in trouble");
    assert!(trouble.contains("quorum lost"), "{trouble}");
    rig.relay.heal();
    until("all agree", PATIENCE, || rig.get(leader, "a") == Ok(Some("after".to_owned())));
}

/// The one that leads is heard by all and hears nobody: another one has to lead.
#[rstest]
fn a_leader_that_hears_nobody_gives_way() {
    let mut rig = Rig::new(3);
    rig.form(3);
    let leader = rig.led(&[1, 2, 3]);
    let rest = others(leader, &[1, 2, 3]);
    rest.iter().for_each(|n| rig.relay.link(*n, leader, |link| link.cut = true));
    until("another one leads", PATIENCE, || rig.leader(&rest).is_some());
    until("writes are acknowledged", PATIENCE, || rig.set(rest[0], "a", "one").is_ok());
    rig.relay.heal();
    until("all agree", PATIENCE, || rig.get(leader, "a") == Ok(Some("one".to_owned())));
}

/// One that does not hear the leader stands for election again and again, and takes nothing from the others.
#[rstest]
fn a_follower_that_does_not_hear_the_leader_disturbs_nobody() {
    let mut rig = Rig::new(3);
    rig.form(3);
    let leader = rig.led(&[1, 2, 3]);
    let rest = others(leader, &[1, 2, 3]);
    rig.relay.link(leader, rest[0], |link| link.cut = true);
    let until = Instant::now() + Duration::from_secs(4);
    while Instant::now() < until {
        rig.writes(rest[1], "a", "one");
    }
    assert_ne!(rig.leader(&[leader, rest[1]]), None, "one that is heard leads still");
}

#[rstest]
fn a_leader_that_was_stopped_answers_nothing_old_when_it_goes_on() {
    let mut rig = Rig::new(3);
    rig.form(3);
    let leader = rig.led(&[1, 2, 3]);
    let rest = others(leader, &[1, 2, 3]);
    rig.writes(leader, "a", "before");
    rig.signal(leader, "-STOP");
    rig.led(&rest);
    rig.writes(rest[0], "a", "after");
    rig.signal(leader, "-CONT");
    until("it answers", PATIENCE, || match rig.get(leader, "a") {
        Ok(now) => {
            assert_eq!(now.as_deref(), Some("after"));
            true
        }
        Err(_) => false,
    });
}

#[rstest]
fn two_of_three_machines_lost_one_with_its_disk() {
    let mut rig = Rig::new(3);
    rig.form(3);
    rig.writes(2, "a", "one");
    rig.kill(2);
    rig.kill(3);
    rig.wipe(3);
    let began = Instant::now();
    let said = rig.set(1, "b", "two").expect_err("one of three is no majority");
    assert!(began.elapsed() < Duration::from_secs(7));
    assert!(said.contains("quorum lost") && said.contains("1, 2, 3"), "{said}");
    rig.up(3);
    assert!(rig.set(1, "b", "three").is_err(), "a blank disk makes no majority");
    rig.up(2);
    until("writes are acknowledged", PATIENCE, || rig.set(1, "b", "four").is_ok());
    assert_eq!(rig.reads(2, "a"), Some("one".to_owned()));
    until("all three vote", PATIENCE, || rig.voters(1) == [1, 2, 3]);
    assert_eq!(rig.reads(3, "a"), Some("one".to_owned()));
}

#[rstest]
fn a_wiped_member_that_starts_before_anyone_has_noticed_is_another_one() {
    let mut rig = Rig::new(3);
    rig.form(3);
    let before = word(&rig, 3);
    rig.writes(1, "a", "one");
    rig.kill(3);
    rig.wipe(3);
    rig.up(3);
    until("all three vote", PATIENCE, || rig.voters(1) == [1, 2, 3]);
    assert_ne!(word(&rig, 3), before);
    assert_eq!(rig.reads(3, "a"), Some("one".to_owned()));
}

#[rstest]
#[case::into_the_same_file(true, true, "is a copy of member")]
#[case::with_the_whole_machine(true, false, "older than what the others have seen")]
#[case::as_another_file(false, true, "is a copy of member")]
fn a_directory_from_yesterday_is_set_aside(
    #[case] in_place: bool,
    #[case] witnessed: bool,
    #[case] said: &str,
) {
    let mut rig = Rig::new(3);
    rig.form(3);
    rig.kill(3);
    rig.copy(3, "yesterday");
    rig.up(3);
    until("it is level again", PATIENCE, || rig.set(3, "a", "one").is_ok());
    let before = word(&rig, 3);
    rig.kill(3);
    rig.put_back(3, "yesterday", in_place);
    if !witnessed {
        rig.forget_witness(3);
    }
    rig.up(3);
    rig.logged(3, said);
    until("all three vote", PATIENCE, || rig.voters(1) == [1, 2, 3] && word(&rig, 3) != before);
    assert_eq!(rig.reads(3, "a"), Some("one".to_owned()));
    let aside = std::fs::read_dir(rig.directory(3)).expect("a folder").flatten();
    let aside = aside.filter(|entry| entry.file_name().to_string_lossy().contains("aside")).count();
    assert_eq!(aside, 1, "what was there is kept");
}

/// Old copies of two of three would agree on the past; the one that has seen them says so.
#[rstest]
fn two_old_copies_are_no_majority_while_one_remembers() {
    let mut rig = Rig::new(3);
    rig.form(3);
    for n in [2, 3] {
        rig.kill(n);
        rig.copy(n, &format!("yesterday-{n}"));
        rig.up(n);
        until("it is level again", PATIENCE, || rig.set(n, "a", "one").is_ok());
    }
    for n in [2, 3] {
        rig.kill(n);
        rig.put_back(n, &format!("yesterday-{n}"), true);
        rig.forget_witness(n);
    }
    rig.up(2);
    rig.up(3);
    rig.logged(2, "older than what the others have seen");
    rig.logged(3, "older than what the others have seen");
    assert!(rig.set(1, "b", "two").is_err());
    assert!(rig.get(1, "a").is_err(), "it cannot be known to be the last");
    let local = rig.ask(1, Query::Read { prefix: "a".to_owned(), local: true });
    assert!(matches!(local, Ok(Answer::Contents { entries, .. }) if entries["a"].value == "one"));
}

#[rstest]
fn a_member_joins_is_promoted_and_leaves_while_the_rest_serves() {
    let mut rig = Rig::new(5);
    rig.form(3);
    // One that knows the others asks by itself; it only follows until an operator says so.
    rig.start(4, &[1, 2, 3]);
    until("it is a learner", PATIENCE, || rig.status(4).is_some_and(|status| status.role == Role::Learner));
    rig.writes(1, "a", "one");
    until("it follows", PATIENCE, || {
        let local = rig.ask(4, Query::Read { prefix: "a".to_owned(), local: true });
        matches!(local, Ok(Answer::Contents { entries, .. }) if entries.contains_key("a"))
    });
    assert_eq!(rig.voters(1), [1, 2, 3]);
    let refused = rig.wish(1, Wish::Promote(9)).expect_err("there is none");
    assert!(refused.contains("there is no member 9"), "{refused}");
    rig.wish(1, Wish::Promote(4)).expect("it has caught up");
    assert_eq!(rig.voters(1), [1, 2, 3, 4]);
    // The one that leads does not take itself out; another one is.
    let leader = rig.led(&[1, 2, 3, 4]);
    let refused = rig.wish(1, Wish::Leave(leader as u64)).expect_err("it leads");
    assert!(refused.contains("leads"), "{refused}");
    let gone = others(leader, &[1, 2, 3])[0];
    rig.wish(leader, Wish::Leave(gone as u64)).expect("a majority is left");
    let left: Vec<u64> = [1, 2, 3, 4].into_iter().filter(|n| *n != gone as u64).collect();
    assert_eq!(rig.voters(leader), left);
    rig.logged(gone, "it was taken out of the members");
    // It does not come back by itself, and does when it is told to.
    rig.logged(gone, "has left; it comes back by `store join`");
    let address = rig.relayed(gone);
    rig.wish(leader, Wish::Join(address)).expect("it is blank");
    until("it follows again", PATIENCE, || {
        rig.status(gone).is_some_and(|status| status.role == Role::Learner)
    });
    until("it is promoted", PATIENCE, || rig.wish(leader, Wish::Promote(gone as u64)).is_ok());
    assert_eq!(rig.voters(leader), [1, 2, 3, 4]);
    assert_eq!(rig.reads(gone, "a"), Some("one".to_owned()));
}

#[rstest]
fn a_spare_takes_the_place_of_a_member_that_is_lost_and_that_one_is_a_spare_then() {
    let mut rig = Rig::new(4);
    rig.more = "replace_after_ms = 3000\n".to_owned();
    rig.form(3);
    rig.more += "spare = true\njoins = true\n";
    rig.start(4, &[1, 2, 3]);
    until("the spare follows", PATIENCE, || rig.status(4).is_some_and(|status| status.role == Role::Learner));
    let leader = rig.led(&[1, 2, 3]);
    let rest = others(leader, &[1, 2, 3]);
    rig.writes(1, "a", "one");
    rig.kill(rest[0]);
    let three = |out: usize| (1..=4).filter(|n| *n != out as u64).collect::<Vec<u64>>();
    until("the spare votes", PATIENCE, || rig.voters(leader) == three(rest[0]));
    rig.up(rest[0]);
    rig.logged(rest[0], "it was taken out of the members");
    until("it is back", PATIENCE, || rig.status(rest[0]).is_some_and(|status| status.role == Role::Learner));
    // It stands in for the next one.
    until("it has caught up", PATIENCE, || {
        let members = rig.members(leader).unwrap_or_default();
        members
            .iter()
            .any(|view| view.place.number == rest[0] as u64 && view.place.spare && view.behind == Some(0))
    });
    rig.kill(rest[1]);
    until("it votes again", PATIENCE, || rig.voters(leader) == three(rest[1]));
    assert_eq!(rig.reads(rest[0], "a"), Some("one".to_owned()));
}

/// The newcomer is killed, or loses its disk, while it is made a voter.
#[rstest]
#[case::killed(false)]
#[case::wiped(true)]
fn a_member_that_is_lost_in_the_middle_of_a_change_of_members(#[case] wiped: bool) {
    let mut rig = Rig::new(4);
    rig.form(3);
    rig.start(4, &[1, 2, 3]);
    until("it has caught up", PATIENCE, || {
        let members = rig.members(1).unwrap_or_default();
        members.iter().any(|view| view.place.number == 4 && view.behind == Some(0))
    });
    let address = rig.address(1);
    let asked =
        std::thread::spawn(move || rig::wait(sillflow::store::ask(&address, Query::Wish(Wish::Promote(4)))));
    rig.kill(4);
    let said = asked.join().expect("a caller");
    if wiped {
        rig.wipe(4);
    }
    rig.writes(1, "a", "one");
    rig.up(4);
    // Whether the change had begun or not, it can be made and the members agree.
    until("four vote", PATIENCE, || {
        let _ = rig.wish(1, Wish::Promote(4));
        rig.voters(1) == [1, 2, 3, 4]
    });
    assert_eq!(rig.reads(4, "a"), Some("one".to_owned()), "{said:?}");
}

#[rstest]
fn a_stranger_and_a_number_that_is_taken_are_refused() {
    let mut rig = Rig::new(5);
    rig.form(3);
    // Alone, with a store of its own.
    rig.start(4, &[]);
    until("it leads its own", PATIENCE, || rig.set(4, "mine", "yes").is_ok());
    let refused = rig.wish(1, Wish::Join(rig.relayed(4))).expect_err("it is a stranger");
    assert!(refused.contains("another cluster"), "{refused}");
    // A second process under the number of a living one.
    let table = rig.table(5, &[1, 3]).replace("id = 5", "id = 2");
    rig.start_with(5, &table, "");
    rig.logged(5, "member 2 is alive at");
    assert_eq!(rig.voters(1), [1, 2, 3]);
    assert!(rig.get(5, "formed").is_err());
}

#[rstest]
fn a_snapshot_that_is_broken_off_goes_on_where_it_was() {
    let mut rig = Rig::new(4);
    rig.form(3);
    let value = "v".repeat(60_000);
    (0..50).for_each(|n| rig.writes(1, &format!("big/{n}"), &value));
    (0..800).for_each(|n| rig.writes(1, "small", &n.to_string()));
    let leader = rig.led(&[1, 2, 3]);
    rig.relay.link(leader, 4, |link| link.rate = Some(2_000_000));
    rig.start(4, &[1, 2, 3]);
    for part in 1..=3 {
        until("a part has come", PATIENCE, || rig.relay.bytes(leader, 4) > part * 700_000);
        rig.relay.both(leader, 4, |link| link.broken += 1);
    }
    until("it has all", PATIENCE, || {
        let local = rig.ask(4, Query::Read { prefix: "big/".to_owned(), local: true });
        matches!(local, Ok(Answer::Contents { entries, .. }) if entries.len() == 50)
    });
    let whole = 50 * 60_000 * 4 / 3;
    let came = rig.relay.bytes(leader, 4);
    assert!(came < whole + whole / 2, "{came} bytes for a snapshot of {whole}");
}

/// Guards against members that begin a new term before the answers to the last one are in: with slow syncs each of them was
/// granted its votes too late, and none ever led.
#[rstest]
fn members_whose_syncs_are_slow_elect_one_of_them() {
    // A vote takes two syncs.
    let slower_ms = 300;
    let mut rig = Rig::new(3);
    rig.form(3);
    let leader = rig.led(&[1, 2, 3]);
    rig.writes(leader, "a", "before");
    let rest = others(leader, &[1, 2, 3]);
    rest.iter().for_each(|n| rig.syncs_take(*n, slower_ms));
    rig.kill(leader);
    rig.led(&rest);
    rig.writes(rest[0], "a", "after");
    rest.iter().for_each(|n| rig.folders_work(*n));
    assert_eq!(rig.reads(rest[1], "a"), Some("after".to_owned()));
}

#[rstest]
fn a_disk_that_is_full_in_the_middle_of_an_append_costs_nothing_that_was_acknowledged() {
    let mut rig = Rig::new(3);
    let all = [1, 2, 3];
    rig.start(1, &all);
    rig.start(2, &all);
    let table = rig.table(3, &all);
    // Files of 3 MiB at the most; what is over is refused as a full disk refuses it.
    rig.start_with(3, &table, "trap '' XFSZ; ulimit -S -f 6144;");
    rig.led(&all);
    let value = "v".repeat(60_000);
    for n in 0..60 {
        until("two of three go on", PATIENCE, || rig.set(1, &format!("big/{n}"), &value).is_ok());
    }
    rig.logged(3, "the store's member stops, and is opened again");
    until("it serves", PATIENCE, || rig.voters(1) == [1, 2, 3]);
    // Somebody makes room.
    let limit = ["--pid", &rig.pid(3).to_string(), "--fsize=unlimited:"].map(str::to_owned);
    assert!(std::process::Command::new("prlimit").args(limit).status().expect("prlimit runs").success());
    let last = format!("big/{}", 59);
    until("it has caught up", PATIENCE, || {
        let local = rig.ask(3, Query::Read { prefix: last.clone(), local: true });
        matches!(local, Ok(Answer::Contents { entries, .. }) if entries.len() == 1)
    });
}

/// Guards against connections that say nothing keeping programs and members from being heard until they are closed.
#[rstest]
fn connections_that_say_nothing_keep_nobody_from_a_member() {
    let mut rig = Rig::new(3);
    rig.form(3);
    let leader = rig.led(&[1, 2, 3]);
    let rest = others(leader, &[1, 2, 3]);
    let silent: Vec<TcpStream> =
        (0..128).map(|_| TcpStream::connect(rig.address(rest[0])).expect("a connection")).collect();
    let began = Instant::now();
    assert!(rig.set(rest[0], "a", "one").is_ok());
    assert!(began.elapsed() < Duration::from_millis(2_500), "written after {:?}", began.elapsed());
    // The next candidate has to reach it.
    rig.kill(leader);
    rig.led(&rest);
    drop(silent);
}

#[rstest]
fn a_flapping_link_stops_no_write_for_long() {
    let mut rig = Rig::new(3);
    rig.form(3);
    let leader = rig.led(&[1, 2, 3]);
    let rest = others(leader, &[1, 2, 3]);
    let until = Instant::now() + Duration::from_secs(3);
    while Instant::now() < until {
        rig.relay.both(leader, rest[0], |link| link.broken += 1);
        rig.writes(rest[0], "a", "one");
    }
    assert!(rig.relay.calls(leader, rest[0]) > 3, "the link was made again and again");
}

#[rstest]
#[case::flipped(|file: &mut Vec<u8>| { let middle = file.len() / 2; (middle..middle + 4096).for_each(|at| file[at] ^= 1) }, "")]
#[case::torn(|file: &mut Vec<u8>| file.truncate(9000), "damaged")]
#[case::empty(|file: &mut Vec<u8>| file.clear(), "damaged")]
#[case::no_database(|file: &mut Vec<u8>| file.iter_mut().for_each(|byte| *byte = 7), "damaged")]
fn a_damaged_directory_is_named_and_refused(#[case] spoil: fn(&mut Vec<u8>), #[case] said: &str) {
    let mut rig = Rig::new(3);
    rig.form(3);
    let value = "v".repeat(60_000);
    (0..12).for_each(|n| rig.writes(1, &format!("big/{n}"), &value));
    rig.kill(3);
    let path = rig.directory(3).join("store.redb");
    let mut file = std::fs::read(&path).expect("a file");
    spoil(&mut file);
    std::fs::write(&path, &file).expect("a file");
    let (well, _, problem) = operate(&["store", "verify", &rig.directory(3).display().to_string()]);
    if said.is_empty() {
        // A byte that nothing uses any more may turn over; one that is in use is found.
        assert!(well || problem.contains("is damaged, and nothing of it is used"), "{problem}");
        return;
    }
    assert!(!well && problem.contains(said) && problem.contains("store.redb"), "{problem}");
    rig.again(3);
    rig.logged(3, "the store cannot run: the store's directory:");
    rig.logged(3, said);
    assert_eq!(std::fs::read(&path).expect("a file"), file, "it is left as it is");
    rig.writes(1, "a", "one");
}

#[rstest]
fn a_directory_that_cannot_be_written_is_named() {
    let mut rig = Rig::new(1);
    let table = rig.table(1, &[]).replace(&rig.directory(1).display().to_string(), "/proc/nowhere");
    rig.start_with(1, &table, "");
    rig.logged(1, "the store cannot run: the store's directory: /proc/nowhere:");
}

#[rstest]
fn a_backup_is_restored_to_a_cluster_of_its_own() {
    let mut rig = Rig::new(4);
    rig.form(3);
    (0..20).for_each(|n| rig.writes(1, &format!("k/{n}"), &n.to_string()));
    let file = rig.dir.join("backup.json").display().to_string();
    let (well, printed, problem) = operate(&["store", "backup", &file, "--at", &rig.address(2)]);
    assert!(well && printed.contains("keys as of entry"), "{problem}");
    assert!(operate(&["store", "verify", &file]).0);
    let directory = rig.directory(4).display().to_string();
    let restore =
        ["store", "restore", &file, "--directory", &directory, "--id", "4", "--address", &rig.relayed(4)];
    let (well, _, problem) = operate(&restore);
    assert!(well, "{problem}");
    assert!(!operate(&restore).0, "a directory that is not empty is left alone");
    // The copy of a whole file counts as a copy; a directory that was restored is a member's own.
    rig.start(4, &[]);
    until("it serves", PATIENCE, || rig.get(4, "k/7") == Ok(Some("7".to_owned())));
    rig.writes(4, "k/7", "changed");
    assert_eq!(rig.reads(1, "k/7"), Some("7".to_owned()));
    let refused = rig.wish(1, Wish::Join(rig.relayed(4))).expect_err("it is a stranger");
    assert!(refused.contains("another cluster"), "{refused}");
    // One that was changed by hand is no backup.
    let text = std::fs::read_to_string(&file).expect("a file").replace("\"7\"", "\"8\"");
    std::fs::write(&file, text).expect("a file");
    let (well, _, problem) = operate(&["store", "verify", &file]);
    assert!(!well && problem.contains("damaged"), "{problem}");
}

#[rstest]
fn operators_see_members_and_what_is_wrong() {
    let mut rig = Rig::new(3);
    rig.form(3);
    let (well, printed, _) = operate(&["store", "members", "--at", &rig.address(2)]);
    assert!(well && printed.contains("leader") && printed.matches("voter").count() == 2, "{printed}");
    let (well, printed, _) = operate(&["store", "status", "--json", "--at", &rig.address(1)]);
    let status: sillflow::store::Status = serde_json::from_str(&printed).expect("JSON");
    assert!(well && status.number == 1 && status.trouble.is_none());
    rig.kill(2);
    rig.kill(3);
    until("it says so", PATIENCE, || {
        let (well, _, problem) = operate(&["store", "status", "--at", &rig.address(1)]);
        !well && problem.contains("quorum lost: of the voters 1, 2, 3 this member hears only 1")
    });
    let (well, _, problem) = operate(&["get", "", "--local", "--at", &rig.address(1)]);
    assert!(well && problem.contains("local: as of"), "{problem}");
}
