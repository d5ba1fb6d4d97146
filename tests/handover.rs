//! One process of a node after the other, on a socket that the platform holds: both count as one node.

mod support;

use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use rstest::rstest;
use serde_json::{Value, json};
use support::resp::FrontEnd;
use support::{Node, config, operate, settings, try_id};

/// A node where nothing is due for long: on a busy machine it takes seconds to start a process beside it.
fn held() -> (Node, FrontEnd) {
    held_with(|_| {})
}

fn held_with(change: impl Fn(&mut Value)) -> (Node, FrontEnd) {
    let mut config = config(settings());
    config["stop_ms"] = json!(60_000);
    config["operator"] = json!("[store]\nlisten = \"127.0.0.1:0\"\n");
    for class in [1, 2] {
        config["settings"]["classes"][class]["hard-limit"] = json!(30_000.0);
        config["settings"]["classes"][class]["aim"] = json!(20_000.0);
    }
    change(&mut config);
    let mut node = Node::launch_held_as(config);
    node.processor.greet("warm");
    node.reported("Ready");
    let front = FrontEnd::connect(&node.resp);
    (node, front)
}

/// What the platform hears on a new connection that asks for health, within the time that it gives a drain.
fn becomes(address: &str, word: &str) -> bool {
    const DRAINS_WITHIN: Duration = Duration::from_secs(4);
    let until = Instant::now() + DRAINS_WITHIN;
    while Instant::now() < until {
        if FrontEnd::connect(address).answer_to_status().word == word {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}

/// A further process that is ready and waits for its turn.
fn waiting(old: &mut Node) -> Node {
    let mut new = old.successor();
    new.processor.greet("warm");
    new.logged("the processor is up");
    old.logged("the next process is there");
    assert_eq!(new.call("GET", "/status"), 200);
    new
}

fn pay(front: &mut FrontEnd, tag: u64, key: &str) {
    front.ask(tag, "pay-session", &try_id(tag), &format!(",opkey={key}"), b"body");
}

#[rstest]
fn the_next_process_takes_over_with_all_keys_and_nothing_runs_twice() {
    let (mut old, mut front) = held();
    pay(&mut front, 1, "done");
    assert_eq!(old.processor.begun(), try_id(1));
    old.processor.complete(&try_id(1), b"first");
    assert_eq!(front.answer().body, b"first");
    for (tag, key) in [(2, "running"), (3, "void")] {
        pay(&mut front, tag, key);
        assert_eq!(old.processor.begun(), try_id(tag));
    }
    // Two cores are taken: this one is held at first.
    pay(&mut front, 4, "failing");
    let mut new = waiting(&mut old);
    assert_eq!(front.answer_to_status().word, "healthy", "the old one serves until it is told to go");
    old.terminate();
    new.reported("Ready");
    let mut next = FrontEnd::connect(&new.resp);
    for (tag, key) in [(11, "done"), (12, "running"), (13, "void"), (14, "failing")] {
        pay(&mut next, tag, key);
    }
    assert_eq!(next.answer().body, b"first", "a result of the process before");
    assert_eq!(next.answer_to_status().word, "healthy", "all four are read before the first of them ends");
    old.processor.complete(&try_id(2), b"second");
    old.processor.end(&try_id(3), "void");
    assert_eq!(old.processor.begun(), try_id(4), "what the old one held it runs itself");
    old.processor.end(&try_id(4), "failed");
    let mut served = [front.answer(), front.answer(), front.answer()].map(|a| (a.tag, a.word, a.body));
    served.sort();
    assert_eq!(served[0], ("2".into(), "done".into(), b"second".to_vec()));
    assert!(front.closing, "connections are given back at once");
    let mut shared = [next.answer(), next.answer(), next.answer()].map(|a| (a.tag, a.word, a.body));
    shared.sort();
    assert_eq!(shared[0], ("12".into(), "done".into(), b"second".to_vec()));
    assert!(shared[1..].iter().all(|(_, word, _)| word == "error"), "{shared:?}");
    pay(&mut next, 15, "void");
    assert_eq!(new.processor.begun(), try_id(15), "a try that never ran leaves its key to others");
    new.processor.complete(&try_id(15), b"fifth");
    assert_eq!(next.answer().body, b"fifth");
    pay(&mut next, 16, "new");
    assert_eq!(new.processor.begun(), try_id(16));
    new.processor.complete(&try_id(16), b"sixth");
    assert_eq!(next.answer().body, b"sixth");
    drop(front);
    assert!(old.ended().success());
    new.logged("the process before has ended");
    new.logged("the configuration is kept");
    assert_eq!(new.processor.count("begin"), 0);
}

/// Guards against requests that end with the old process of an upgrade, because their callers would wait beyond its stop.
#[rstest]
#[case::stop_of_the_platform(2_000)]
#[case::stop_after_the_longest_deadline(60_000)]
fn an_upgrade_answers_all_that_was_read_before_the_old_process_is_stopped(#[case] stop_ms: u64) {
    /// SIGKILL comes no earlier after SIGTERM, with deadlines of 3 s or more.
    const EARLIEST_KILL_MS: u64 = 3_700;
    let (mut old, mut front) = held_with(|config| {
        config["stop_ms"] = json!(stop_ms);
        // A repeat behind the stop is still one.
        config["settings"]["classes"][2]["repeat-window"] = json!(30_000.0);
    });
    let mut check = FrontEnd::connect(&old.resp);
    assert_eq!(check.answer_to_status().word, "healthy");
    for tag in [1, 2] {
        pay(&mut front, tag, &format!("running-{tag}"));
        assert_eq!(old.processor.begun(), try_id(tag));
    }
    // Two cores are taken: these are held, the second of them until the stop.
    pay(&mut front, 3, "held");
    front.ask(4, "plate-check", &try_id(4), "", b"body");
    let mut new = waiting(&mut old);
    old.terminate();
    let told = Instant::now();
    new.reported("Ready");
    assert_eq!(check.answer_to_status().word, "healthy", "the node serves on in its next process");
    let answers: Vec<_> = (0..4).map(|_| front.answer()).collect();
    let took = told.elapsed();
    let stop = Duration::from_millis(stop_ms.min(EARLIEST_KILL_MS));
    assert!(took < stop, "the last answer came {took:?} after the notice, and the stop {stop:?} after it");
    let served: Vec<_> = answers.iter().filter(|answer| answer.word == "done").collect();
    assert!(served.is_empty(), "nothing has ended: {served:?}");
    // What ran may have had its effect, so that its key is not run again.
    let mut next = FrontEnd::connect(&new.resp);
    pay(&mut next, 11, "running-1");
    old.kill();
    assert_eq!(next.answer().word, "error");
    assert_eq!(new.processor.count("begin"), 0);
}

/// Guards against runs in the old process of an upgrade of what reaches it after the grace of its notice.
#[rstest]
fn the_old_process_of_an_upgrade_runs_nothing_that_comes_after_the_grace() {
    let (mut old, mut front) = held();
    pay(&mut front, 1, "running");
    assert_eq!(old.processor.begun(), try_id(1));
    let mut new = waiting(&mut old);
    old.terminate();
    new.reported("Ready");
    // The grace of the settings is 300 ms, and only time ends it.
    std::thread::sleep(Duration::from_millis(400));
    front.ask(2, "plate-check", &try_id(2), "", b"body");
    assert_eq!(front.answer().word, "later", "a caller that does not follow the notice");
    old.processor.complete(&try_id(1), b"result");
    assert_eq!(front.answer().body, b"result", "what came before is served");
    assert_eq!(old.processor.count("begin"), 0);
}

#[rstest]
fn a_key_that_the_old_process_never_told_the_end_of_is_failed_not_run() {
    let (mut old, mut front) = held();
    pay(&mut front, 1, "running");
    assert_eq!(old.processor.begun(), try_id(1));
    let mut new = waiting(&mut old);
    old.terminate();
    new.reported("Ready");
    let mut next = FrontEnd::connect(&new.resp);
    pay(&mut next, 2, "running");
    old.kill();
    assert_eq!(next.answer().word, "error");
    pay(&mut next, 3, "running");
    assert_eq!(next.answer().word, "error");
    assert_eq!(new.processor.count("begin"), 0);
}

#[rstest]
fn two_processes_together_keep_to_the_crowd_that_the_cores_survive() {
    // Of four runs, two on each of two cores, a part is kept free.
    let (mut old, mut front) = held_with(|config| config["settings"]["rules"]["fall-multiple"] = json!(2.0));
    for tag in [1, 2] {
        pay(&mut front, tag, &format!("old-{tag}"));
        assert_eq!(old.processor.begun(), try_id(tag));
    }
    let mut new = waiting(&mut old);
    old.terminate();
    new.reported("Ready");
    let mut next = FrontEnd::connect(&new.resp);
    for tag in [11, 12] {
        pay(&mut next, tag, &format!("new-{tag}"));
    }
    let first = new.processor.begun();
    // Answers to checks come behind whatever was decided of what came before.
    (0..10).for_each(|_| drop(next.answer_to_status()));
    assert_eq!(new.processor.count("begin"), 0, "three of them are enough");
    old.processor.complete(&try_id(1), b"first");
    assert_eq!(front.answer().body, b"first");
    let second = new.processor.begun();
    old.processor.complete(&try_id(2), b"second");
    assert_eq!(front.answer().body, b"second");
    for id in [first, second] {
        new.processor.complete(&id, b"next");
        assert_eq!(next.answer().body, b"next");
    }
}

#[rstest]
fn runs_that_a_killed_process_leaves_behind_keep_their_room_until_the_gauges_show_their_end() {
    // Of four runs, two on each of two cores, a part is kept free.
    let (mut old, mut front) = held_with(|config| config["settings"]["rules"]["fall-multiple"] = json!(2.0));
    for tag in [1, 2] {
        pay(&mut front, tag, &format!("old-{tag}"));
        assert_eq!(old.processor.begun(), try_id(tag));
    }
    let mut new = waiting(&mut old);
    old.terminate();
    new.reported("Ready");
    let mut next = FrontEnd::connect(&new.resp);
    old.kill();
    new.logged("the process before has ended");
    for tag in [11, 12] {
        pay(&mut next, tag, &format!("new-{tag}"));
    }
    new.processor.begun();
    (0..10).for_each(|_| drop(next.answer_to_status()));
    assert_eq!(
        new.processor.count("begin"),
        0,
        "two runs of the process before go on, for all that is known"
    );
    new.processor.show([0.0, 0.0, 0.1, 3.0]);
    new.processor.begun();
}

#[rstest]
fn a_process_that_ends_without_a_word_is_followed_at_once() {
    let (mut old, _) = held();
    let mut new = waiting(&mut old);
    old.kill();
    new.reported("Ready");
    assert_eq!(FrontEnd::connect(&new.resp).answer_to_status().word, "healthy");
}

#[rstest]
fn a_next_process_that_has_ended_is_no_reason_to_hand_over() {
    let (mut old, mut front) = held();
    waiting(&mut old).kill();
    old.terminate();
    old.logged("draining");
    old.reported("NotReady");
    assert_eq!(front.answer_to_status().word, "sick");
}

#[rstest]
fn connections_that_come_during_a_handover_are_all_served() {
    let (mut old, _) = held();
    old.processor.automatic();
    let new = waiting(&mut old);
    new.processor.automatic();
    let address = new.resp.clone();
    let (stop, stopped) = channel::<()>();
    let asking = std::thread::spawn(move || {
        let mut tag = 0;
        while tag < 2 || stopped.try_recv().is_err() {
            tag += 1;
            let mut front = FrontEnd::connect(&address);
            front.ask(tag, "plate-check", &try_id(tag), "", b"body");
            assert_eq!(front.answer().word, "done");
        }
    });
    old.terminate();
    assert!(old.ended().success());
    std::thread::sleep(Duration::from_millis(100));
    stop.send(()).expect("it asks still");
    asking.join().expect("every answer is whole");
}

#[rstest]
fn a_node_on_standby_stays_so_in_its_next_process() {
    let (mut old, _) = held();
    assert_eq!(old.call("POST", "/standby"), 200);
    let mut new = waiting(&mut old);
    old.terminate();
    new.logged("taking over");
    assert_eq!(FrontEnd::connect(&new.resp).answer_to_status().word, "sick");
    assert_eq!(new.call("POST", "/active"), 200);
    new.reported("Ready");
}

/// Guards against a hand-over that undoes what an operator has asked of the process that waits (`review/10`).
#[rstest]
#[case::standby("/active", "/standby", "sick")]
#[case::active("/standby", "/active", "healthy")]
fn what_the_next_process_is_called_to_holds_at_once_and_in_its_turn(
    #[case] before: &str,
    #[case] called: &str,
    #[case] word: &str,
) {
    let (mut old, _front) = held();
    let new = waiting(&mut old);
    assert_eq!(old.call("POST", before), 200);
    assert_eq!(new.call("POST", called), 200);
    assert!(becomes(&old.resp, word), "the process that serves is the one that is asked");
    assert_eq!(new.call("GET", "/status"), 200, "it can take over all the same");
    old.terminate();
    assert!(old.ended().success());
    assert!(becomes(&new.resp, word));
    let ready = if word == "healthy" { 200 } else { 503 };
    assert_eq!(new.call("GET", "/status"), ready);
}

/// Guards against a call that changes the old process of an upgrade alone, which nobody asks any more.
#[rstest]
fn a_call_at_the_old_process_reaches_the_one_that_has_taken_over() {
    let (mut old, mut front) = held();
    pay(&mut front, 1, "open");
    assert_eq!(old.processor.begun(), try_id(1));
    let mut new = waiting(&mut old);
    old.terminate();
    new.reported("Ready");
    assert_eq!(old.call("POST", "/standby"), 200);
    assert!(becomes(&new.resp, "sick"));
    let until = Instant::now() + support::PATIENCE;
    while front.answer_to_status().word != "sick" {
        assert!(Instant::now() < until, "a connection that is still there hears the same");
    }
    assert_eq!(old.call("POST", "/active"), 200);
    assert!(becomes(&new.resp, "healthy"));
    assert_eq!(old.call("GET", "/status"), 503);
}

/// Guards against a standby that ends with the process that serves, where that ends without a hand-over.
#[rstest]
fn a_node_on_standby_stays_so_where_its_process_is_killed_beside_one_that_waits() {
    let (mut old, _front) = held();
    assert_eq!(old.call("POST", "/standby"), 200);
    let mut new = waiting(&mut old);
    new.logged("the process that serves has standby on");
    old.kill();
    new.logged("the process before has ended");
    assert!(becomes(&new.resp, "sick"));
    assert_eq!(new.call("GET", "/status"), 503);
    assert_eq!(new.call("POST", "/active"), 200);
    assert!(becomes(&new.resp, "healthy"));
}

/// Guards against a yes to a call that the process that serves has not heard.
#[rstest]
fn a_call_at_the_next_process_is_refused_in_time_while_the_serving_one_stands_still() {
    const ANSWERS_WITHIN: Duration = Duration::from_secs(1);
    let (mut old, _front) = held();
    let new = waiting(&mut old);
    old.pause();
    let called = Instant::now();
    let answer = new.call("POST", "/standby");
    let took = called.elapsed();
    old.resume();
    assert_eq!(answer, 503);
    assert!(took < ANSWERS_WITHIN, "{took:?}");
}

/// Guards against a call at one of two processes that wait, of which the other comes first.
#[rstest]
fn a_call_at_one_of_three_processes_is_one_to_the_node() {
    let (mut old, _front) = held();
    let mut second = waiting(&mut old);
    let mut third = old.successor();
    third.processor.greet("warm");
    third.logged("the processor is up");
    old.logged("2 processes wait");
    assert_eq!(second.call("POST", "/standby"), 200);
    assert!(becomes(&old.resp, "sick"));
    old.terminate();
    // The newest of those that wait comes first.
    third.logged("taking over");
    assert!(becomes(&third.resp, "sick"));
    third.logged("the next process is there");
    assert_eq!(second.call("POST", "/active"), 200);
    third.reported("Ready");
    assert!(becomes(&third.resp, "healthy"));
    assert_eq!(second.call("POST", "/standby"), 200);
    third.terminate();
    second.logged("taking over");
    assert!(becomes(&second.resp, "sick"));
}

/// Takes the address of the store from the log of a process.
fn store_of(node: &mut Node) -> String {
    node.logged("the configuration is kept");
    node.logged("listens for the store on").rsplit(' ').next().unwrap_or_default().to_owned()
}

const MAINTENANCE: &str = "state/n1/maintenance";

/// Guards against a maintenance that is turned off during an upgrade and stays on in the next process.
#[rstest]
fn maintenance_that_ends_during_an_upgrade_ends_in_the_next_process() {
    let (mut old, mut front) = held();
    let at = store_of(&mut old);
    assert!(operate(&["set", MAINTENANCE, "on", "--at", &at]).0);
    old.reported("NotReady");
    pay(&mut front, 1, "open");
    assert_eq!(old.processor.begun(), try_id(1));
    let mut new = waiting(&mut old);
    old.terminate();
    new.logged("taking over");
    assert!(becomes(&new.resp, "sick"));
    assert!(operate(&["set", MAINTENANCE, "--at", &at]).0);
    assert!(becomes(&new.resp, "healthy"), "the old process has its store still");
    old.processor.complete(&try_id(1), b"first");
    assert!(old.ended().success());
    store_of(&mut new);
    assert_eq!(FrontEnd::connect(&new.resp).answer_to_status().word, "healthy");
}

/// Guards against a key that the store of the process before had in memory, and that nobody can take out any more.
#[rstest]
fn maintenance_of_a_store_in_memory_is_kept_and_can_be_ended_in_the_next_process() {
    let (mut old, _front) = held();
    let at = store_of(&mut old);
    assert!(operate(&["set", MAINTENANCE, "on", "--at", &at]).0);
    old.reported("NotReady");
    let mut new = waiting(&mut old);
    old.terminate();
    assert!(old.ended().success());
    let at = store_of(&mut new);
    assert!(becomes(&new.resp, "sick"));
    let until = Instant::now() + support::PATIENCE;
    while !operate(&["get", MAINTENANCE, "--at", &at]).1.contains("on") {
        assert!(Instant::now() < until, "the key is not in the next process's store");
    }
    assert!(operate(&["set", MAINTENANCE, "--at", &at]).0);
    assert!(becomes(&new.resp, "healthy"));
}

/// Guards against maintenance that is taken for ended by a store on disk before it has read what it holds, and against
/// one that stays though it was ended while no process followed the store.
#[rstest]
fn maintenance_of_a_store_on_disk_is_as_the_store_has_it() {
    let directory = std::env::temp_dir().join(format!("sillflow-maintenance-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a folder");
    let table = format!("[store]\nlisten = \"127.0.0.1:0\"\ndirectory = {:?}\n", directory.join("store"));
    let (mut old, mut front) = held_with(|config| config["operator"] = json!(table));
    let at = store_of(&mut old);
    assert!(operate(&["set", MAINTENANCE, "on", "--at", &at]).0);
    old.reported("NotReady");
    pay(&mut front, 1, "open");
    assert_eq!(old.processor.begun(), try_id(1));
    let mut new = waiting(&mut old);
    old.terminate();
    new.logged("taking over");
    // The old process is gone before it can forward what its store says.
    old.pause();
    old.kill();
    let at = store_of(&mut new);
    assert_eq!(FrontEnd::connect(&new.resp).answer_to_status().word, "sick");
    assert!(operate(&["set", MAINTENANCE, "--at", &at]).0);
    assert!(becomes(&new.resp, "healthy"));
    let _ = std::fs::remove_dir_all(&directory);
}

/// Guards against a process that waits behind an old one that has handed over, so that SIGTERM to the new one is a drain.
#[rstest]
fn a_process_that_was_not_taken_waits_behind_the_one_that_was_at_once() {
    let (mut first, mut front) = held();
    pay(&mut front, 1, "open");
    assert_eq!(first.processor.begun(), try_id(1));
    let mut third = waiting(&mut first);
    let mut second = first.successor();
    second.processor.greet("warm");
    second.logged("the processor is up");
    first.logged("2 processes wait");
    first.terminate();
    second.reported("Ready");
    second.logged("the next process is there");
    second.terminate();
    third.reported("Ready");
    assert_eq!(FrontEnd::connect(&third.resp).answer_to_status().word, "healthy");
    first.processor.complete(&try_id(1), b"result");
    assert_eq!(front.answer().body, b"result", "the first had not ended meanwhile");
}

/// Guards against a third process that is not told what the first has open, and runs it again or over the crowd.
#[rstest]
fn the_third_process_knows_what_the_first_has_open() {
    // Of four runs, two on each of two cores, a part is kept free.
    let (mut first, mut front) =
        held_with(|config| config["settings"]["rules"]["fall-multiple"] = json!(2.0));
    for tag in [1, 2] {
        pay(&mut front, tag, &format!("first-{tag}"));
        assert_eq!(first.processor.begun(), try_id(tag));
    }
    let mut third = waiting(&mut first);
    let mut second = first.successor();
    second.processor.greet("warm");
    second.logged("the processor is up");
    first.logged("2 processes wait");
    first.terminate();
    second.reported("Ready");
    second.logged("the next process is there");
    second.terminate();
    third.reported("Ready");
    let mut next = FrontEnd::connect(&third.resp);
    pay(&mut next, 11, "first-1");
    pay(&mut next, 12, "first-2");
    for tag in [21, 22] {
        pay(&mut next, tag, &format!("third-{tag}"));
    }
    let begun = third.processor.begun();
    assert!([try_id(21), try_id(22)].contains(&begun), "{begun} is a repeat of a run of the first process");
    // Answers to checks come behind whatever was decided of what came before.
    (0..10).for_each(|_| drop(next.answer_to_status()));
    assert_eq!(third.processor.count("begin"), 0, "with the two of the first process three are enough");
    first.processor.complete(&try_id(1), b"result");
    assert_eq!(front.answer().body, b"result");
    assert_eq!(next.answer().body, b"result", "the end of a run of the first process, through the second");
    let other = third.processor.begun();
    assert!([try_id(21), try_id(22)].contains(&other) && other != begun);
    // What the first process never told the end of may have run.
    first.kill();
    let failed = next.answer();
    assert_eq!((failed.tag.as_str(), failed.word.as_str()), ("12", "error"));
    assert!(second.ended().success(), "it ends behind the first");
    assert_eq!(third.processor.count("begin"), 0);
}

/// Guards against settings of a process that waits, which SIGHUP reaches before its turn.
#[rstest]
fn new_settings_of_a_process_that_waits_are_in_force_in_its_turn() {
    let (mut old, _front) = held();
    let mut new = waiting(&mut old);
    let mut settings = settings();
    let mut added = settings["classes"][1].clone();
    added["name"] = json!("plate-check-2");
    settings["classes"].as_array_mut().expect("classes").push(added);
    settings["family-info"]["calls-by-class"] = json!([true, false, true, false]);
    settings["family-info"]["degraded-worth"] = json!([0.3, 0.0, 0.0, 0.0]);
    new.retune(settings);
    new.logged("the configuration is read anew");
    let class_of = |front: &mut FrontEnd, tag: u64| {
        front.ask(tag, "plate-check-2", &try_id(tag), "", b"body");
        front.answer().word
    };
    assert_eq!(class_of(&mut FrontEnd::connect(&old.resp), 1), "error", "SIGHUP is to one process");
    new.processor.automatic();
    old.terminate();
    new.reported("Ready");
    assert_eq!(class_of(&mut FrontEnd::connect(&new.resp), 2), "done");
}

#[rstest]
fn two_processes_with_crowds_of_quiet_callers_stay_within_the_descriptors_of_one() {
    const LIMIT: usize = 96;
    let (mut old, _) = held_with(|config| config["limits"]["sockets"] = json!(LIMIT));
    let asked_once = |address: &str| {
        let mut front = FrontEnd::connect(address);
        assert_eq!(front.answer_to_status().word, "healthy");
        front
    };
    let quiet: Vec<FrontEnd> = (0..60).map(|_| asked_once(&old.resp)).collect();
    // One with an open request keeps its place.
    let mut open = FrontEnd::connect(&old.resp);
    pay(&mut open, 1, "open");
    assert_eq!(old.processor.begun(), try_id(1));
    let mut new = waiting(&mut old);
    old.terminate();
    new.reported("Ready");
    let more: Vec<FrontEnd> = (0..60).map(|_| asked_once(&new.resp)).collect();
    let held = (old.descriptors(), new.descriptors());
    assert!(held.0 > 0 && held.0 + held.1 <= LIMIT, "{held:?}");
    old.processor.complete(&try_id(1), b"kept");
    assert_eq!(open.answer().body, b"kept");
    drop((quiet, more, open));
    assert!(old.ended().success());
}
