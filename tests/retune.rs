//! New settings on SIGHUP: classes that come and go, and files that are no configuration.

mod support;

use rstest::rstest;
use serde_json::{Value, json};
use support::resp::FrontEnd;
use support::{Node, settings, try_id};

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
