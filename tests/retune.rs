//! New settings on SIGHUP: classes that come and go, and files that are no configuration.

mod support;

use std::sync::atomic::Ordering::SeqCst;
use std::time::Instant;

use rstest::rstest;
use serde_json::{Value, json};
use support::resp::FrontEnd;
use support::{Node, PATIENCE, settings, try_id};

/// Settings with another name for one class.
fn renamed(class: usize, name: &str) -> Value {
    let mut settings = settings();
    settings["classes"][class]["name"] = name.into();
    settings
}

fn serve(node: &mut Node, front: &mut FrontEnd, tag: u64, class: &str) {
    front.ask(tag, class, &try_id(tag), &format!(",opkey={tag}"), b"body");
    let begun = node.processor.command("begin");
    assert_eq!((begun["id"].as_str(), begun["class"].as_str()), (Some(try_id(tag).as_str()), Some(class)));
    node.processor.complete(&try_id(tag), b"well");
    assert_eq!(front.answer().body, b"well");
}

#[rstest]
fn classes_come_and_go_while_open_requests_keep_theirs() {
    let mut node = Node::start();
    let mut front = FrontEnd::connect(&node.resp);
    front.ask(1, "pay-session", &try_id(1), ",opkey=a", b"body");
    assert_eq!(node.processor.begun(), try_id(1));
    front.ask(2, "annual-pass", &try_id(2), "", b"body");
    assert_eq!(front.answer().word, "error", "a class that is not there yet");
    node.retune(renamed(2, "annual-pass"));
    node.logged("the classes are history, plate-check, annual-pass");
    node.processor.complete(&try_id(1), b"kept");
    assert_eq!(front.answer().body, b"kept");
    serve(&mut node, &mut front, 3, "annual-pass");
    // Front ends hear late of a class that was dropped; then it is gone.
    serve(&mut node, &mut front, 4, "pay-session");
    let gone = (5..900).find(|tag| {
        front.ask(*tag, "pay-session", &try_id(*tag), &format!(",opkey={tag}"), b"body");
        match front.try_answer_within_ms(100) {
            Some(answer) => answer.word == "error",
            None => {
                let begun = node.processor.begun();
                node.processor.complete(&begun, b"well");
                front.answer().word != "done"
            }
        }
    });
    assert!(gone.is_some(), "it is served for good");
    node.retune(settings());
    node.logged("the classes are history, plate-check, pay-session");
    serve(&mut node, &mut front, 900, "pay-session");
}

#[rstest]
#[case::a_deadline_of_nought("hard-limit", json!(0))]
#[case::a_deadline_below("hard-limit", json!(-5.0))]
#[case::no_deadline("hard-limit", json!(null))]
#[case::a_word("hard-limit", json!("soon"))]
#[case::what_reads_like_a_number("hard-limit", json!("9400"))]
#[case::no_name("name", json!(null))]
fn a_file_with_a_class_that_makes_no_sense_is_turned_down(#[case] key: &str, #[case] value: Value) {
    let mut bad = renamed(2, "annual-pass");
    bad["classes"][2][key] = value;
    turned_down(|node| node.retune(bad));
}

#[rstest]
#[case::empty(|_: &str| String::new())]
#[case::cut_short(|text: &str| text[..text.len() / 2].to_owned())]
#[case::without_settings(|text: &str| without(text, &["settings"]))]
#[case::without_an_address(|text: &str| without(text, &["records"]))]
#[case::without_the_door(|text: &str| without(text, &["admin_addr"]))]
#[case::without_a_rule(|text: &str| without(text, &["settings", "rules", "drain-grace"]))]
#[case::without_classes(|text: &str| without(text, &["settings", "classes"]))]
fn a_file_that_lacks_something_is_turned_down_whole(#[case] spoil: fn(&str) -> String) {
    turned_down(|node| {
        // All else in it is new, and must not come into force.
        let text = node.retuned(renamed(2, "annual-pass")).to_string();
        node.reconfigure(&spoil(&text));
    });
}

fn without(text: &str, path: &[&str]) -> String {
    let mut whole: Value = serde_json::from_str(text).expect("JSON");
    let (last, path) = path.split_last().expect("a path");
    let part = path.iter().fold(&mut whole, |part, name| &mut part[*name]);
    part.as_object_mut().expect("an object").remove(*last).expect("it was there");
    whole.to_string()
}

fn turned_down(spoil: impl FnOnce(&Node)) {
    let mut node = Node::start();
    let mut front = FrontEnd::connect(&node.resp);
    spoil(&node);
    node.logged("the configuration stays as it was");
    front.ask(1, "annual-pass", &try_id(1), ",opkey=1", b"body");
    assert_eq!(front.answer().word, "error");
    serve(&mut node, &mut front, 2, "pay-session");
    assert_eq!(node.call("GET", "/status"), 200);
}

/// Settings of a server that starts from nothing and takes a minute to warm: one run at a time until then.
fn slow_to_warm() -> Value {
    let mut settings = settings();
    settings["rules"]["cold"] = json!(60_000.0);
    settings["rules"]["cold-from"] = json!(0.0);
    settings["classes"][1]["hard-limit"] = json!(30_000.0);
    settings["classes"][1]["aim"] = json!(20_000.0);
    settings
}

/// How many of two requests run at once.
fn at_once(node: &mut Node, front: &mut FrontEnd, tag: u64) -> usize {
    front.ask(tag, "plate-check", &try_id(tag), "", b"body");
    front.ask(tag + 1, "plate-check", &try_id(tag + 1), "", b"body");
    front.answer_to_status();
    // The second question from here on was asked after both had been decided upon.
    let asked = node.processor.questions.load(SeqCst);
    let until = Instant::now() + PATIENCE;
    while node.processor.questions.load(SeqCst) < asked + 2 && Instant::now() < until {
        std::thread::yield_now();
    }
    let running = node.processor.count("begin");
    for _ in 0..2 {
        let begun = node.processor.begun();
        node.processor.complete(&begun, b"well");
        front.answer();
    }
    running
}

#[rstest]
#[case::cold("cold", 1)]
#[case::warm("warm", 2)]
fn a_processor_that_starts_cold_is_taken_for_cold_and_new_settings_do_not_warm_it(
    #[case] state: &str,
    #[case] at_a_time: usize,
) {
    let mut node = Node::launch(slow_to_warm());
    node.processor.greet(state);
    node.reported("Ready");
    let mut front = FrontEnd::connect(&node.resp);
    assert_eq!(at_once(&mut node, &mut front, 1), at_a_time);
    let mut new = slow_to_warm();
    new["classes"][0]["name"] = "ledger".into();
    node.retune(new);
    node.logged("the classes are ledger, plate-check, pay-session");
    // Open to new names once it is in force.
    front.ask(10, "ledger", &try_id(10), "", b"body");
    let begun = node.processor.begun();
    node.processor.complete(&begun, b"well");
    assert_eq!(front.answer().word, "done");
    assert_eq!(at_once(&mut node, &mut front, 20), at_a_time);
}

#[rstest]
fn the_free_value_ends_with_its_meaning() {
    let node = Node::start();
    let mut front = FrontEnd::connect(&node.resp);
    let told = |front: &mut FrontEnd| front.answer_to_status().fields.contains("signal=");
    let until = Instant::now() + PATIENCE;
    while !told(&mut front) {
        assert!(Instant::now() < until, "no value is told");
    }
    let mut silent = settings();
    silent["family-info"]["say"] = "off".into();
    node.retune(silent);
    while told(&mut front) {
        assert!(Instant::now() < until, "a value is told that means nothing");
    }
}
