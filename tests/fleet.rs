//! The fleet's view and who is alive, with real processes on the fault rig.

mod rig;
mod support;

use std::net::UdpSocket;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use rig::fleet::line;
use rig::{PATIENCE, Rig, until};
use rstest::rstest;
use sillflow::fleet::gossip::State;
use sillflow::fleet::wire::Question;
use support::operate;

fn all(count: usize) -> Vec<usize> {
    (1..=count).collect()
}

/// Sees to it that nobody is taken for dead by any of these for so long.
fn nobody_dies(rig: &Rig, these: &[usize], time: Duration) {
    let end = Instant::now() + time;
    while Instant::now() < end {
        assert_eq!(rig.dead(these), Vec::<String>::new());
        std::thread::sleep(Duration::from_millis(300));
    }
}

#[rstest]
fn one_dead_of_sixty_is_known_to_all_and_declared_lost_by_an_operator() {
    let mut rig = Rig::new(60);
    rig.fleet(60);
    // Its file is written behind the view: what it has not kept it doesn't know at its next start.
    until("it has kept that it belongs", PATIENCE, || rig.has_kept(41));
    rig.kill(41);
    let left: Vec<usize> = all(60).into_iter().filter(|n| *n != 41).collect();
    until("all know", PATIENCE * 2, || rig.hold_dead(&left, 41) == 59);
    assert_eq!(rig.dead(&left), ["n41"]);
    // An opinion changes no view.
    assert!(rig.all_see(&left, 60));
    let refused = rig.tell(7, &Question::DeclareLost("n8".to_owned())).expect_err("it lives");
    assert!(refused.contains("n8 is alive"), "{refused}");
    let number = rig.seen(7).expect("it answers").view;
    rig.tell(7, &Question::DeclareLost("n41".to_owned())).expect("it is dead");
    until("the view is in force everywhere", PATIENCE, || rig.all_see(&left, 59));
    assert!(left.iter().all(|n| rig.seen(*n).is_some_and(|seen| seen.view == number + 1)));
    // It comes back with its disk, and finds that its life is over.
    let before = format!("{:?}", rig.dir.join("fleet-41"));
    rig.again(41);
    rig.logged(41, "was declared lost");
    until("it belongs again, in another life", PATIENCE, || rig.all_see(&all(60), 60));
    let life = line(&rig.seen(7).expect("it answers"), 41).expect("it belongs").node.incarnation;
    assert!(life > number, "{life} after {number}, {before}");
}

#[rstest]
fn a_zone_that_is_cut_off_and_comes_back() {
    let mut rig = Rig::new(18);
    rig.fleet(18);
    // The third zone has one member of the store; the others have two.
    let (these, those): (Vec<usize>, Vec<usize>) = all(18).into_iter().partition(|n| n % 3 == 0);
    rig.relay.split(&these, &those);
    until("those cut off are missed", PATIENCE, || rig.hold_dead(&those, 6) == those.len());
    // Who belongs is what it was, and the majority can change it.
    assert!(rig.all_see(&those, 18));
    rig.kill(17);
    until("one is missed", PATIENCE, || rig.thinks(1, 17) == Some(State::Dead));
    rig.tell(1, &Question::DeclareLost("n17".to_owned())).expect("two of three agree");
    until("the majority's side goes on", PATIENCE, || rig.seen(1).is_some_and(|seen| seen.nodes.len() == 17));
    assert!(rig.all_see(&these, 18), "a view is not guessed");
    let refused = rig.tell(6, &Question::DeclareLost("n1".to_owned()));
    assert!(refused.is_err(), "a minority declares nobody lost: {refused:?}");
    rig.relay.heal();
    let left: Vec<usize> = all(18).into_iter().filter(|n| *n != 17).collect();
    until("all agree", PATIENCE * 2, || rig.all_see(&left, 17) && rig.dead(&left).is_empty());
}

#[rstest]
fn links_that_work_one_way_take_nobody_out() {
    let mut rig = Rig::new(12);
    rig.fleet(12);
    rig.relay.link(4, 5, |link| link.cut = true);
    rig.relay.link(7, 8, |link| link.cut = true);
    nobody_dies(&rig, &all(12), Duration::from_secs(15));
}

#[rstest]
fn one_that_hears_all_and_is_heard_by_none() {
    let mut rig = Rig::new(10);
    rig.fleet(10);
    let others: Vec<usize> = all(10).into_iter().filter(|n| *n != 9).collect();
    others.iter().for_each(|other| rig.relay.link(9, *other, |link| link.cut = true));
    until("it is missed by all", PATIENCE, || rig.hold_dead(&others, 9) == 9);
    let seen = rig.seen(9).expect("it answers");
    let dead = seen.nodes.iter().filter(|line| line.opinion.is_some_and(|o| o.state == State::Dead)).count();
    assert_eq!(dead, 0, "it takes nobody for dead: {seen:?}");
    rig.relay.heal();
    until("it is back", PATIENCE, || rig.dead(&all(10)).is_empty());
}

#[rstest]
#[case::five_in_a_hundred(0.05)]
#[case::one_in_five(0.2)]
fn nobody_dies_while_datagrams_are_lost_doubled_and_put_off(#[case] lost: f64) {
    let mut rig = Rig::new(12);
    rig.fleet(12);
    for one in all(12) {
        for other in all(12) {
            rig.relay.link(one, other, |link| (link.lost, link.doubled, link.put_off) = (lost, 0.1, 0.2));
        }
    }
    nobody_dies(&rig, &all(12), Duration::from_secs(20));
}

#[rstest]
fn a_node_that_is_stopped_for_five_seconds_is_not_lost_and_takes_nobody_for_dead() {
    let mut rig = Rig::new(12);
    rig.fleet(12);
    rig.signal(9, "-STOP");
    let others: Vec<usize> = all(12).into_iter().filter(|n| *n != 9).collect();
    nobody_dies(&rig, &others, Duration::from_secs(5));
    rig.signal(9, "-CONT");
    nobody_dies(&rig, &all(12), Duration::from_secs(8));
    assert!(rig.seen(9).expect("it answers").counts.standstills > 0, "it has seen that it stood still");
}

#[rstest]
fn nobody_dies_while_all_are_at_their_cores_limit() {
    let mut rig = Rig::new(15);
    rig.fleet(15);
    let busy = || Command::new("sh").args(["-c", "while :; do :; done"]).stdin(Stdio::null()).spawn();
    let cores = std::thread::available_parallelism().map_or(4, usize::from);
    let mut load: Vec<_> = (0..4 * cores).map(|_| busy().expect("a shell")).collect();
    nobody_dies(&rig, &all(15), Duration::from_secs(10));
    for child in &mut load {
        child.kill().expect("a child");
        child.wait().expect("a child");
    }
}

#[rstest]
fn a_name_is_used_twice() {
    let mut rig = Rig::new(6);
    rig.fleet(5);
    // Another process at another address, with a disk of its own, under the name of a living node.
    let table = rig.fleet_table(6, 1);
    rig.start_named(6, "n5", &table);
    rig.logged(6, "does not belong to the fleet: n5 belongs already");
    rig.logged(5, "another process asks to go by the name of this node, n5");
    let refused = (1..=3).any(|member| rig.log(member).contains("is refused: a living node has that name"));
    assert!(refused, "the store says so");
    let life = line(&rig.seen(1).expect("it answers"), 5).expect("it belongs").node.incarnation;
    // The first one dies: it is not known to be gone until an operator says so.
    rig.kill(5);
    until("it is missed", PATIENCE, || rig.thinks(1, 5) == Some(State::Dead));
    assert!(rig.seen(6).is_some_and(|seen| seen.incarnation.is_none()));
    rig.tell(1, &Question::DeclareLost("n5".to_owned())).expect("it is dead");
    until("the other one belongs", PATIENCE, || rig.seen(6).is_some_and(|seen| seen.incarnation.is_some()));
    let now = line(&rig.seen(6).expect("it answers"), 5).expect("it belongs").node.incarnation;
    assert!(now > life);
}

#[rstest]
fn a_node_that_comes_back_without_its_disk_is_another_life_of_it() {
    let mut rig = Rig::new(6);
    rig.fleet(6);
    let life = |rig: &Rig| line(&rig.seen(1).expect("it answers"), 6).map(|line| line.node.incarnation);
    let before = life(&rig).expect("it belongs");
    rig.kill(6);
    rig.again(6);
    until("it belongs", PATIENCE, || rig.seen(6).is_some_and(|seen| seen.incarnation == Some(before)));
    rig.kill(6);
    std::fs::remove_dir_all(rig.dir.join("fleet-6")).expect("a folder");
    rig.again(6);
    until("it belongs in another life", PATIENCE, || life(&rig).is_some_and(|now| now > before));
    until("all know", PATIENCE, || rig.all_see(&all(6), 6));
    assert_eq!(rig.seen(6).and_then(|seen| seen.incarnation), life(&rig));
}

#[rstest]
fn a_node_that_leaves_stays_away_until_it_starts_anew() {
    let mut rig = Rig::new(6);
    rig.fleet(6);
    let (well, printed, problem) =
        operate(&["fleet", "leave", "n6", "--at", &rig.fleet_address(2).to_string()]);
    assert!(well && printed.contains("has left"), "{problem}");
    rig.logged(6, "has left the fleet");
    until("all know", PATIENCE, || rig.all_see(&all(5), 5));
    rig.kill(6);
    rig.again(6);
    until("it belongs again", PATIENCE, || rig.all_see(&all(6), 6));
    let (well, printed, _) = operate(&["fleet", "--at", &rig.fleet_address(2).to_string()]);
    assert!(well && printed.contains("n6") && printed.contains("alive"), "{printed}");
    let (well, printed, _) = operate(&["fleet", "--json", "--at", &rig.fleet_address(2).to_string()]);
    let report: sillflow::fleet::wire::Report = serde_json::from_str(&printed).expect("JSON");
    assert!(well && report.nodes.len() == 6);
}

/// As long as the process before has the node's place the next one hears of views in which the node belongs, and is not it.
#[rstest]
fn a_node_whose_next_process_takes_over_belongs_as_before() {
    let mut rig = Rig::new(4);
    rig.hold(4);
    rig.work = Some(rig::copies::Work::default());
    rig.fleet(4);
    let life = rig.seen(4).expect("it answers").incarnation;
    rig.follow(4);
    rig.upgrade(4);
    rig.upgraded(4);
    until("the next one belongs as before", PATIENCE, || {
        rig.seen(4).is_some_and(|seen| seen.incarnation == life && seen.trouble.is_none())
    });
}

/// The store has no quorum, and nodes die: who is alive is known, and who belongs stays.
#[rstest]
fn nodes_die_while_the_store_has_no_quorum() {
    let mut rig = Rig::new(12);
    rig.fleet(12);
    rig.kill(2);
    rig.kill(3);
    rig.kill(11);
    let left: Vec<usize> = all(12).into_iter().filter(|n| ![2, 3, 11].contains(n)).collect();
    until("all know", PATIENCE * 2, || [2, 3, 11].iter().all(|n| rig.hold_dead(&left, *n) == 9));
    assert!(rig.all_see(&left, 12));
    let refused = rig.tell(5, &Question::DeclareLost("n11".to_owned())).expect_err("nobody can agree");
    assert!(refused.contains("quorum lost") || refused.contains("no member leads"), "{refused}");
    rig.again(2);
    // What could not be known to be done may have been, once a majority is back.
    until("it is declared lost", PATIENCE, || {
        let _ = rig.tell(5, &Question::DeclareLost("n11".to_owned()));
        rig.seen(5).is_some_and(|seen| seen.nodes.len() == 11)
    });
    until("all know", PATIENCE, || rig.all_see(&left, 11));
}

/// Two changes in a row while a third of those that follow are cut off from the store and from all others.
#[rstest]
fn two_views_in_a_row_while_a_third_is_cut_off() {
    let mut rig = Rig::new(12);
    rig.fleet(10);
    let (these, those): (Vec<usize>, Vec<usize>) = all(10).into_iter().partition(|n| *n > 7);
    rig.relay.split(&these, &[&those[..], &[11, 12]].concat());
    rig.join(11, 1);
    rig.join(12, 2);
    let reached: Vec<usize> = those.iter().copied().chain([11, 12]).collect();
    until("the rest has both", PATIENCE, || rig.all_see(&reached, 12));
    assert!(these.iter().all(|n| rig.seen(*n).is_some_and(|seen| seen.nodes.len() == 10)));
    rig.relay.heal();
    until("all have both", PATIENCE, || rig.all_see(&all(12), 12));
}

#[rstest]
fn garbage_oversized_and_forged_datagrams_are_passed_over() {
    let mut rig = Rig::new(5);
    rig.fleet(5);
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let seen = rig.seen(5).expect("it answers");
    let life = |of: usize| line(&seen, of).expect("it belongs").node.incarnation;
    let forged = sillflow::fleet::wire::Packet::Gossip(sillflow::fleet::liveness::Datagram {
        from: life(4),
        to: life(5),
        view: seen.view + 100,
        view_age_ms: 0,
        word: sillflow::fleet::liveness::Word::Ping(1),
        gossip: vec![sillflow::fleet::gossip::Update {
            about: life(3),
            life: 99,
            state: State::Dead,
            by: life(4),
        }],
    });
    let forged = forged.to_bytes().expect("it fits");
    for bytes in [&b"garbage"[..], &[0; 1400], &[], &[255; 30], &forged] {
        for _ in 0..20 {
            socket.send_to(bytes, rig.fleet_address(5)).expect("it is sent");
        }
    }
    until("they are counted", PATIENCE, || rig.seen(5).is_some_and(|seen| seen.passed_over >= 80));
    assert_eq!(rig.thinks(5, 3), Some(State::Alive));
    nobody_dies(&rig, &all(5), Duration::from_secs(3));
}

#[rstest]
fn a_flapping_node_is_found_again_each_time() {
    let mut rig = Rig::new(10);
    rig.fleet(10);
    let others: Vec<usize> = all(10).into_iter().filter(|n| *n != 8).collect();
    for _ in 0..4 {
        others.iter().for_each(|other| rig.relay.both(8, *other, |link| link.cut = true));
        std::thread::sleep(Duration::from_secs(3));
        rig.relay.heal();
        std::thread::sleep(Duration::from_secs(1));
    }
    until("all agree that it lives", PATIENCE, || rig.dead(&all(10)).is_empty());
    assert!(rig.all_see(&all(10), 10));
}
