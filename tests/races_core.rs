//! Races in the core: repeats, settings that change between a run and its repeat, requests that are given up, and
//! handovers between processes of a node in every order. The tests stop client side and server
//! side at the point of the race.

mod support;

use std::net::TcpStream;
use std::time::Duration;

use rstest::rstest;
use serde_json::{Value, json};
use support::resp::FrontEnd;
use support::{Node, config, settings, try_id, unix_ms};

const KEYED_CLASS: usize = 2;

/// Settings under which no request becomes due during a test, and two requests run at once.
fn long_deadlines() -> Value {
    let mut settings = settings();
    settings["rules"]["fall-multiple"] = json!(2.0);
    for class in 0..3 {
        settings["classes"][class]["hard-limit"] = json!(30_000.0);
        settings["classes"][class]["aim"] = json!(20_000.0);
        settings["classes"][class]["repeat-window"] = json!(60_000.0);
    }
    settings
}

/// Adds a copy of the keyed class under a new name; the old name stays.
fn with_class_copied_to_new_name(mut settings: Value) -> Value {
    let mut class = settings["classes"][KEYED_CLASS].clone();
    class["name"] = "pay-session_new".into();
    settings["classes"].as_array_mut().expect("classes").push(class);
    settings["family-info"]["calls-by-class"] = json!([true, false, true, true]);
    settings["family-info"]["degraded-worth"] = json!([0.3, 0.0, 0.0, 0.0]);
    settings
}

fn with_effect(effect: &str) -> Value {
    let mut settings = long_deadlines();
    settings["classes"][KEYED_CLASS]["effect"] = json!(effect);
    settings
}

fn start(settings: Value) -> (Node, FrontEnd) {
    let node = Node::start_with(settings);
    let front = FrontEnd::connect(&node.resp);
    (node, front)
}

fn send_keyed(front: &mut FrontEnd, tag: u64, key: &str) {
    front.ask(tag, "pay-session", &try_id(tag), &format!(",opkey={key}"), b"body");
}

/// Applies new settings, with a class added whose name in the log shows that they are in force.
fn apply_settings(node: &mut Node, mut settings: Value, marker: &str) {
    let mut class = settings["classes"][0].clone();
    class["name"] = json!(marker);
    settings["classes"].as_array_mut().expect("a list").push(class);
    for list in ["calls-by-class", "degraded-worth"] {
        let items = settings["family-info"][list].as_array_mut().expect("a list");
        items.push(items[0].clone());
    }
    node.retune(settings);
    node.logged(&format!("pay-session, {marker}"));
}

/// Waits until everything sent before has been decided: status checks are answered after it, and the exchange has run
/// in between.
fn wait_until_decided(front: &mut FrontEnd) {
    (0..10).for_each(|_| drop(front.answer_to_status()));
}

#[rstest]
#[case::no_longer_keyed("retryable")]
#[case::not_to_be_repeated("fragile")]
fn repeat_gets_the_result_although_its_class_is_no_longer_keyed(#[case] effect: &str) {
    let (mut node, mut front) = start(long_deadlines());
    send_keyed(&mut front, 1, "over");
    assert_eq!(node.processor.begun(), try_id(1));
    node.processor.complete(&try_id(1), b"first");
    assert_eq!(front.answer().body, b"first");
    send_keyed(&mut front, 2, "running");
    assert_eq!(node.processor.begun(), try_id(2));
    apply_settings(&mut node, with_effect(effect), "marker");
    send_keyed(&mut front, 3, "over");
    assert_eq!(front.answer().body, b"first", "the stored result is returned");
    send_keyed(&mut front, 4, "running");
    wait_until_decided(&mut front);
    assert_eq!(node.processor.count("begin"), 0, "neither runs again");
    node.processor.complete(&try_id(2), b"second");
    let mut answers = [front.answer(), front.answer()].map(|answer| (answer.tag, answer.body));
    answers.sort();
    assert_eq!(answers, [("2".into(), b"second".to_vec()), ("4".into(), b"second".to_vec())]);
}

#[rstest]
fn cancelled_repeat_leaves_no_run_slot_taken() {
    let (mut node, mut front) = start(long_deadlines());
    send_keyed(&mut front, 1, "shared");
    assert_eq!(node.processor.begun(), try_id(1));
    // The decision module now takes repeats for runs of their own; the idempotency table stops them.
    apply_settings(&mut node, with_effect("fragile"), "marker");
    for tag in 2..20 {
        send_keyed(&mut front, tag, "shared");
        wait_until_decided(&mut front);
        front.send(&[b"NEVERMIND", tag.to_string().as_bytes()]);
        wait_until_decided(&mut front);
    }
    front.ask(20, "pay-session", &try_id(20), "", b"body");
    assert_eq!(node.processor.begun(), try_id(20), "there is capacity for another run");
    node.processor.complete(&try_id(20), b"other");
    assert_eq!(front.answer().body, b"other");
    node.processor.complete(&try_id(1), b"first");
    assert_eq!(front.answer().body, b"first");
}

/// Callers learn the new name of a class at different times, so the tries of one request may use both names.
#[rstest]
fn try_under_the_new_name_of_its_class_is_a_repeat() {
    let (mut node, mut front) = start(long_deadlines());
    send_keyed(&mut front, 1, "failed");
    assert_eq!(node.processor.begun(), try_id(1));
    node.processor.end(&try_id(1), "failed");
    assert_eq!(front.answer().word, "error");
    send_keyed(&mut front, 2, "done");
    assert_eq!(node.processor.begun(), try_id(2));
    node.processor.complete(&try_id(2), b"first");
    assert_eq!(front.answer().body, b"first");
    node.retune(with_class_copied_to_new_name(long_deadlines()));
    node.logged("the classes are history, plate-check, pay-session, pay-session_new");
    for (tag, key, word) in [(3, "failed", "error"), (4, "done", "done")] {
        front.ask(tag, "pay-session_new", &try_id(tag), &format!(",opkey={key}"), b"body");
        assert_eq!(front.answer().word, word, "key {key}");
    }
    assert_eq!(node.processor.count("begin"), 0, "both have run");
    front.ask(5, "pay-session_new", &try_id(5), ",opkey=other", b"body");
    assert_eq!(node.processor.begun(), try_id(5));
}

/// The window under the name that a try uses has ended, and that of the run under another name has not.
#[rstest]
fn run_under_another_class_name_counts_when_the_own_window_has_ended() {
    let mut settings = with_class_copied_to_new_name(long_deadlines());
    settings["classes"][KEYED_CLASS]["repeat-window"] = json!(1.0);
    let (mut node, mut front) = start(settings);
    let ts = unix_ms();
    send_keyed(&mut front, 1, "kept");
    assert_eq!(node.processor.begun(), try_id(1));
    node.processor.complete(&try_id(1), b"first");
    assert_eq!(front.answer().body, b"first");
    // Past the end of the window; the record is kept for as long as a repeat that arrived before its end may be open.
    while unix_ms() < ts + 1_000 {
        wait_until_decided(&mut front);
    }
    front.ask(2, "pay-session_new", &try_id(2), ",opkey=kept", b"body");
    assert_eq!(node.processor.begun(), try_id(2));
    node.processor.complete(&try_id(2), b"second");
    assert_eq!(front.answer().body, b"second");
    send_keyed(&mut front, 3, "kept");
    assert_eq!(front.answer().body, b"second");
    assert_eq!(node.processor.count("begin"), 0);
}

#[rstest]
fn class_that_is_removed_and_added_again_keeps_its_keys() {
    let (mut node, mut front) = start(long_deadlines());
    send_keyed(&mut front, 1, "kept");
    assert_eq!(node.processor.begun(), try_id(1));
    node.processor.complete(&try_id(1), b"first");
    assert_eq!(front.answer().body, b"first");
    let mut dropped = long_deadlines();
    dropped["classes"][KEYED_CLASS]["name"] = json!("annual-pass");
    node.retune(dropped);
    node.logged("the classes are history, plate-check, annual-pass");
    apply_settings(&mut node, long_deadlines(), "marker");
    send_keyed(&mut front, 2, "kept");
    assert_eq!(front.answer().body, b"first");
    assert_eq!(node.processor.count("begin"), 0);
}

#[rstest]
fn longer_window_of_new_settings_applies_to_finished_runs() {
    let mut short = long_deadlines();
    short["classes"][KEYED_CLASS]["repeat-window"] = json!(1.0);
    short["classes"][KEYED_CLASS]["hard-limit"] = json!(400.0);
    short["classes"][KEYED_CLASS]["aim"] = json!(300.0);
    let (mut node, mut front) = start(short.clone());
    let ts = unix_ms();
    let long_timeout = |key: &str| format!(",opkey={key},timeout=30000");
    front.ask_at(ts, 1, "pay-session", &try_id(1), &long_timeout("kept"), b"body");
    assert_eq!(node.processor.begun(), try_id(1));
    short["classes"][KEYED_CLASS]["repeat-window"] = json!(60_000.0);
    apply_settings(&mut node, short, "marker");
    node.processor.complete(&try_id(1), b"first");
    assert_eq!(front.answer().body, b"first");
    // Past the end of the old window, and of the time for which its record was kept.
    while unix_ms() < ts + 1_500 {
        wait_until_decided(&mut front);
    }
    front.ask(2, "pay-session", &try_id(2), &long_timeout("kept"), b"body");
    assert_eq!(front.answer().body, b"first");
    assert_eq!(node.processor.count("begin"), 0);
}

#[rstest]
fn repeat_that_is_read_after_its_key_was_removed_is_not_run() {
    let mut short = long_deadlines();
    short["classes"][KEYED_CLASS]["repeat-window"] = json!(1.0);
    short["classes"][KEYED_CLASS]["hard-limit"] = json!(3_000.0);
    short["classes"][KEYED_CLASS]["aim"] = json!(2_500.0);
    let (mut node, mut front) = start(short);
    let ts = unix_ms();
    let long_timeout = ",opkey=late,timeout=60000";
    front.ask_at(ts, 1, "pay-session", &try_id(1), ",opkey=late", b"body");
    assert_eq!(node.processor.begun(), try_id(1));
    node.processor.complete(&try_id(1), b"first");
    assert_eq!(front.answer().body, b"first");
    // The record is removed one deadline after the window; this try arrived within the window and is read only now.
    while unix_ms() < ts + 3_800 {
        wait_until_decided(&mut front);
    }
    front.ask_at(ts + 1, 2, "pay-session", &try_id(2), long_timeout, b"body");
    let answer = front.answer();
    assert!(answer.word != "later" && node.processor.count("begin") == 0, "{answer:?}");
    // A try that is read in time and arrives after the window is a new run.
    front.ask(3, "pay-session", &try_id(3), ",opkey=late,timeout=60000", b"body");
    assert_eq!(node.processor.begun(), try_id(3));
}

#[rstest]
#[case::held_when_its_class_loses_its_keys(1e4)]
#[case::the_longest_window_that_settings_may_have(1e9)]
fn keys_survive_unusual_settings_and_the_node_keeps_serving(#[case] window: f64) {
    let mut settings = long_deadlines();
    settings["classes"][KEYED_CLASS]["repeat-window"] = json!(window);
    let (mut node, mut front) = start(settings);
    // Both runs that are allowed at once are in use: the third request is held while its class loses its keys.
    for tag in 1..=2 {
        send_keyed(&mut front, tag, &format!("key-{tag}"));
        assert_eq!(node.processor.begun(), try_id(tag));
    }
    send_keyed(&mut front, 3, "key-3");
    wait_until_decided(&mut front);
    apply_settings(&mut node, with_effect("retryable"), "marker");
    for tag in 1..=3 {
        if tag == 3 {
            assert_eq!(node.processor.begun(), try_id(3));
        }
        node.processor.complete(&try_id(tag), b"well");
        assert_eq!(front.answer().body, b"well");
    }
    send_keyed(&mut front, 4, "key-3");
    assert_eq!(front.answer().body, b"well", "the class was keyed when the request was read");
    assert_eq!(front.answer_to_status().word, "healthy");
}

#[rstest]
#[case::ends_well("ok")]
#[case::never_began("void")]
#[case::fails("failed")]
fn repeat_in_the_same_batch_as_the_end_of_its_run_gets_one_answer(#[case] end: &str) {
    let (mut node, mut front) = start(long_deadlines());
    for round in 0..20 {
        let (first, repeat) = (2 * round + 1, 2 * round + 2);
        send_keyed(&mut front, first, &format!("key-{round}"));
        assert_eq!(node.processor.begun(), try_id(first));
        // Both are in flight at once: the node may read either first, and both orders are correct.
        node.processor.end(&try_id(first), end);
        send_keyed(&mut front, repeat, &format!("key-{round}"));
        // Only a run that never began may be begun again.
        let answer = front.answer();
        assert_eq!(answer.tag, first.to_string());
        expect_answer_or_rerun(&mut node, &mut front, repeat, end);
    }
}

fn expect_answer_or_rerun(node: &mut Node, front: &mut FrontEnd, repeat: u64, end: &str) {
    let answer = loop {
        if let Some(answer) = front.try_answer_within_ms(50) {
            break answer;
        }
        if node.processor.count("begin") > 0 {
            assert_eq!((end, node.processor.begun()), ("void", try_id(repeat)));
            node.processor.complete(&try_id(repeat), b"");
        }
    };
    assert_eq!(answer.tag, repeat.to_string());
    assert_ne!(answer.word, "later", "no refusal after a run");
    assert_eq!(node.processor.count("begin"), 0);
}

#[rstest]
fn rejected_run_fails_the_requests_that_share_it_and_frees_its_key() {
    let (mut node, mut front) = start(long_deadlines());
    for tag in 1..=3 {
        send_keyed(&mut front, tag, "moot");
        wait_until_decided(&mut front);
    }
    assert_eq!(node.processor.begun(), try_id(1));
    node.processor.say(json!({"op": "reject", "end": "begin", "id": try_id(1)}));
    let mut tags = [(); 3].map(|()| front.answer()).map(|answer| (answer.tag, answer.word));
    tags.sort();
    assert!(tags.iter().all(|(_, word)| word == "error"), "{tags:?}");
    send_keyed(&mut front, 4, "moot");
    assert_eq!(node.processor.begun(), try_id(4));
    node.processor.complete(&try_id(4), b"fourth");
    assert_eq!(front.answer().body, b"fourth");
}

#[rstest]
fn run_that_loses_its_caller_and_link_answers_the_requests_that_share_it() {
    let (mut node, mut front) = start(long_deadlines());
    send_keyed(&mut front, 1, "shared");
    assert_eq!(node.processor.begun(), try_id(1));
    let mut other = FrontEnd::connect(&node.resp);
    send_keyed(&mut other, 2, "shared");
    wait_until_decided(&mut other);
    front.send(&[b"NEVERMIND", b"1"]);
    wait_until_decided(&mut front);
    // A try with the id of the run that is still running is not run a second time.
    front.ask(3, "pay-session", &try_id(1), ",opkey=shared", b"body");
    assert_eq!(front.answer().word, "error");
    send_keyed(&mut front, 4, "shared");
    wait_until_decided(&mut front);
    node.processor.break_link();
    node.logged("the link to the processor broke");
    node.processor.greet("warm");
    node.processor.complete(&try_id(1), b"first");
    assert_eq!(other.answer().body, b"first");
    assert_eq!(front.answer().body, b"first");
}

#[rstest]
fn requests_that_share_a_run_are_answered_by_their_own_due_times() {
    let mut settings = long_deadlines();
    settings["classes"][KEYED_CLASS]["repeat-window"] = json!(1.0);
    settings["classes"][KEYED_CLASS]["hard-limit"] = json!(300.0);
    settings["classes"][KEYED_CLASS]["aim"] = json!(200.0);
    let (mut node, mut front) = start(settings);
    let ts = unix_ms();
    front.ask_at(ts, 1, "pay-session", &try_id(1), ",opkey=a,timeout=30000", b"body");
    assert_eq!(node.processor.begun(), try_id(1));
    // One is due long before the run ends, one long after the window of the record; a third replaces the record.
    front.ask_at(ts, 2, "pay-session", &try_id(2), ",opkey=a,timeout=200", b"body");
    front.ask_at(ts, 3, "pay-session", &try_id(3), ",opkey=a,timeout=30000", b"body");
    let early = front.answer();
    assert_eq!((early.tag.as_str(), early.word.as_str()), ("2", "error"));
    while unix_ms() < ts + 1_500 {
        expect_healthy(&mut front);
    }
    front.ask(4, "pay-session", &try_id(4), ",opkey=a,timeout=30000", b"body");
    assert_eq!(node.processor.begun(), try_id(4), "it arrived after the window");
    node.processor.complete(&try_id(1), b"first");
    node.processor.complete(&try_id(4), b"second");
    let mut answers = [(); 3].map(|()| front.answer()).map(|answer| (answer.tag, answer.word));
    answers.sort();
    let done = |tag: &str| (tag.to_owned(), "done".to_owned());
    assert_eq!(answers, [done("1"), done("3"), done("4")]);
}

fn expect_healthy(front: &mut FrontEnd) {
    assert_eq!(front.answer_to_status().word, "healthy");
}

#[rstest]
fn flood_does_not_delay_the_answers_of_due_requests() {
    let (mut node, mut flooding) = start(settings());
    // Held and running requests on many connections; the processor never ends any.
    let mut fronts: Vec<FrontEnd> = (0..8).map(|_| FrontEnd::connect(&node.resp)).collect();
    for (at, front) in fronts.iter_mut().enumerate() {
        for tag in 1..=32 {
            send_keyed(front, tag + 100 * at as u64, &format!("{at}-{tag}"));
        }
    }
    // More inputs than fit in the queue of the exchange.
    for tag in 1..=6_000_u64 {
        let class = if tag % 2 == 0 { "no-such-class" } else { "plate-check" };
        flooding.ask(10_000 + tag, class, &try_id(10_000 + tag), "", b"body");
        flooding.send(&[b"NEVERMIND", (10_000 + tag).to_string().as_bytes()]);
        while let Some(_answer) = flooding.poll().0 {}
    }
    for front in &mut fronts {
        let mut tags: Vec<String> = (0..32).map(|_| front.answer().tag).collect();
        tags.sort();
        tags.dedup();
        assert_eq!(tags.len(), 32, "each has one answer");
        assert_eq!(front.answer_to_status().word, "healthy");
    }
    assert!(!node.has_ended());
}

/// A node whose listening socket is held by the platform.
fn start_on_held_socket() -> (Node, FrontEnd) {
    let mut config = config(long_deadlines());
    config["stop_ms"] = json!(60_000);
    let mut node = Node::launch_held_as(config);
    node.processor.greet("warm");
    node.reported("Ready");
    let front = FrontEnd::connect(&node.resp);
    (node, front)
}

/// Starts a further process of the node, which is ready and waits to take over.
fn start_successor(old: &mut Node) -> Node {
    let mut new = old.successor();
    new.processor.greet("warm");
    new.logged("the processor is up");
    new
}

#[rstest]
fn process_that_starts_while_the_previous_one_drains_gets_its_keys() {
    let (mut old, mut front) = start_on_held_socket();
    send_keyed(&mut front, 1, "done");
    assert_eq!(old.processor.begun(), try_id(1));
    old.processor.complete(&try_id(1), b"first");
    assert_eq!(front.answer().body, b"first");
    send_keyed(&mut front, 2, "running");
    assert_eq!(old.processor.begun(), try_id(2));
    old.terminate();
    old.logged("draining");
    let mut new = start_successor(&mut old);
    old.logged("handing over");
    new.logged("taking over");
    new.reported("Ready");
    let mut next = FrontEnd::connect(&new.resp);
    send_keyed(&mut next, 11, "done");
    assert_eq!(next.answer().body, b"first");
    send_keyed(&mut next, 12, "running");
    wait_until_decided(&mut next);
    old.processor.complete(&try_id(2), b"second");
    assert_eq!(front.answer().body, b"second");
    assert_eq!(next.answer().body, b"second");
    assert_eq!(new.processor.count("begin"), 0);
}

#[rstest]
fn of_two_waiting_processes_one_serves_and_the_other_waits_behind_it() {
    let (mut old, mut front) = start_on_held_socket();
    send_keyed(&mut front, 1, "done");
    assert_eq!(old.processor.begun(), try_id(1));
    old.processor.complete(&try_id(1), b"first");
    assert_eq!(front.answer().body, b"first");
    let mut one = start_successor(&mut old);
    old.logged("the next process is there");
    let mut two = start_successor(&mut old);
    old.logged("; 2 processes wait");
    old.terminate();
    two.logged("taking over");
    two.reported("Ready");
    drop(front);
    assert!(old.ended().success());
    two.logged("the next process is there");
    let mut next = FrontEnd::connect(&two.resp);
    send_keyed(&mut next, 2, "done");
    assert_eq!(next.answer().body, b"first");
    send_keyed(&mut next, 3, "second");
    assert_eq!(two.processor.begun(), try_id(3));
    two.processor.complete(&try_id(3), b"second");
    assert_eq!(next.answer().body, b"second");
    // The other waiting process is the next one now.
    two.terminate();
    one.logged("taking over");
    let mut last = FrontEnd::connect(&one.resp);
    for (tag, key, result) in [(4, "done", b"first".to_vec()), (5, "second", b"second".to_vec())] {
        send_keyed(&mut last, tag, key);
        assert_eq!(last.answer().body, result);
    }
    assert_eq!(one.processor.count("begin") + two.processor.count("begin"), 0);
}

#[rstest]
fn only_one_of_two_waiting_processes_follows_one_that_is_killed() {
    let (mut old, _front) = start_on_held_socket();
    let mut one = start_successor(&mut old);
    let mut two = start_successor(&mut old);
    old.logged("; 2 processes wait");
    old.kill();
    // One of the two finds no other process and serves, the other finds that one and waits.
    let serves = |node: &mut Node| node.logged_within("reporting Ready", Duration::from_millis(50)).is_some();
    let (mut serving, mut behind) = loop {
        if serves(&mut one) {
            break (one, two);
        }
        if serves(&mut two) {
            break (two, one);
        }
    };
    serving.logged("the next process is there");
    assert!(!serves(&mut behind), "it waits");
    let mut front = FrontEnd::connect(&serving.resp);
    send_keyed(&mut front, 1, "key");
    assert_eq!(serving.processor.begun(), try_id(1));
    assert_eq!(behind.processor.count("begin"), 0);
}

#[rstest]
fn two_processes_terminated_together_leave_no_request_unanswered() {
    let (mut old, mut front) = start_on_held_socket();
    send_keyed(&mut front, 1, "running");
    assert_eq!(old.processor.begun(), try_id(1));
    let mut new = start_successor(&mut old);
    old.logged("the next process is there");
    new.terminate();
    assert!(new.ended().success(), "it has read nothing");
    old.terminate();
    old.logged("draining");
    old.processor.complete(&try_id(1), b"first");
    assert_eq!(front.answer().body, b"first");
}

#[rstest]
fn new_settings_between_the_two_processes_keep_the_keys() {
    let (mut old, mut front) = start_on_held_socket();
    send_keyed(&mut front, 1, "done");
    assert_eq!(old.processor.begun(), try_id(1));
    old.processor.complete(&try_id(1), b"first");
    assert_eq!(front.answer().body, b"first");
    let mut new = start_successor(&mut old);
    old.logged("the next process is there");
    // Each process reloads its own file; the new one applies another effect before it takes over.
    new.retune(with_effect("fragile"));
    new.logged("the configuration is read anew");
    old.terminate();
    new.logged("taking over");
    let mut next = FrontEnd::connect(&new.resp);
    send_keyed(&mut next, 2, "done");
    assert_eq!(next.answer().body, b"first");
    assert_eq!(new.processor.count("begin"), 0);
}

#[rstest]
fn caller_that_disconnects_while_held_frees_its_key() {
    let (mut node, mut front) = start(long_deadlines());
    for tag in 1..=2 {
        send_keyed(&mut front, tag, &format!("run-{tag}"));
        assert_eq!(node.processor.begun(), try_id(tag));
    }
    // Both cores are in use. One held try is cancelled, and another ends with its connection.
    send_keyed(&mut front, 3, "left");
    front.send(&[b"NEVERMIND", b"3"]);
    wait_until_decided(&mut front);
    let mut other = FrontEnd::over(TcpStream::connect(&node.resp).expect("a connection")).expect("one");
    send_keyed(&mut other, 4, "left");
    wait_until_decided(&mut other);
    send_keyed(&mut front, 5, "left");
    assert_eq!(other.answer().word, "later", "the newest try holds the key, the earlier one never ran");
    node.processor.complete(&try_id(1), b"one");
    assert_eq!(front.answer().body, b"one");
    assert_eq!(node.processor.begun(), try_id(5));
    node.processor.complete(&try_id(5), b"five");
    assert_eq!(front.answer().body, b"five");
    assert_eq!(node.processor.count("begin"), 0);
}

#[rstest]
fn restarted_processor_is_cold_again() {
    let mut settings = long_deadlines();
    // Warm cores take two runs at once, and cold ones only one until they are nearly warm.
    settings["rules"]["fall-multiple"] = json!(1.3);
    settings["rules"]["cold"] = json!(6_000.0);
    settings["rules"]["cold-from"] = json!(0.0);
    let (mut node, mut front) = start(settings);
    let since = unix_ms();
    for tag in 1..=2 {
        send_keyed(&mut front, tag, &format!("warm-{tag}"));
        assert_eq!(node.processor.begun(), try_id(tag), "both cores are used");
    }
    for tag in 1..=2 {
        node.processor.complete(&try_id(tag), b"well");
        assert_eq!(front.answer().body, b"well");
    }
    // Long enough after the first start for the cores to be warm.
    while unix_ms() < since + 6_500 {
        wait_until_decided(&mut front);
    }
    node.processor.break_link();
    node.processor.greet("cold");
    node.logged("the processor has restarted cold");
    send_keyed(&mut front, 3, "cold-1");
    send_keyed(&mut front, 4, "cold-2");
    let first = node.processor.begun();
    wait_until_decided(&mut front);
    assert_eq!(node.processor.count("begin"), 0, "a cold processor has one run at a time");
    node.processor.complete(&first, b"well");
    assert_eq!(front.answer().body, b"well");
    let second = node.processor.begun();
    assert!([&first, &second].contains(&&try_id(3)) && first != second);
}
