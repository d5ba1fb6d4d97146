//! The platform's protocol and the links behind it: what breaks, comes late or is not well formed.

mod support;

use std::sync::atomic::Ordering::SeqCst;
use std::time::{Duration, Instant};

use rstest::rstest;
use serde_json::json;
use support::resp::{FrontEnd, array};
use support::{Node, next_call, settings, try_id, unix_ms};

fn started() -> (Node, FrontEnd) {
    let node = Node::start();
    let front = FrontEnd::connect(&node.resp);
    (node, front)
}

/// Asks for a run that is begun; returns its name.
fn run(node: &mut Node, front: &mut FrontEnd, tag: u64, class: &str, more: &str) -> String {
    let req = try_id(tag);
    front.ask(tag, class, &req, more, b"body");
    assert_eq!(node.processor.begun(), req);
    req
}

#[rstest]
fn a_health_check_is_answered_and_every_answer_carries_the_free_value() {
    let (mut node, mut front) = started();
    front.send(&[b"STATUS", b"1", b""]);
    assert_eq!(front.answer().word, "healthy");
    // The free value is told from the first period of the module on.
    while !front.answer_to_status().fields.contains("signal=") {}
    let req = run(&mut node, &mut front, 2, "plate-check", "");
    node.processor.complete(&req, b"result");
    let answer = front.answer();
    assert_eq!((answer.tag.as_str(), answer.word.as_str()), ("2", "done"));
    assert!(answer.fields.starts_with("signal="), "{}", answer.fields);
    assert_eq!(answer.body, b"result");
}

#[rstest]
fn nothing_is_reported_ready_before_a_late_processor_is_up() {
    let mut node = Node::launch(settings());
    let mut front = FrontEnd::connect(&node.resp);
    assert_eq!(front.answer_to_status().word, "sick");
    front.ask(1, "plate-check", &try_id(1), "", b"early");
    assert_eq!(front.answer().word, "later", "nobody can run it yet");
    node.processor.greet_after(Duration::from_millis(200), "cold");
    node.reported("Ready");
    assert_eq!(front.answer_to_status().word, "healthy");
    let req = run(&mut node, &mut front, 2, "plate-check", "");
    node.processor.complete(&req, b"well");
    assert_eq!(front.answer().body, b"well", "what was turned down before stands in the way of nothing");
}

#[rstest]
fn a_silent_processor_keeps_no_answer_from_its_due_time() {
    let (mut node, mut front) = started();
    run(&mut node, &mut front, 1, "plate-check", "");
    node.processor.break_link();
    let asked = unix_ms();
    front.ask(2, "pay-session", &try_id(2), ",opkey=k", b"");
    let words = [front.answer(), front.answer()].map(|answer| (answer.tag, answer.word));
    assert!(words.contains(&("1".into(), "error".into())), "{words:?}");
    assert!(words.iter().all(|(_, word)| word != "done") && unix_ms() < asked + 1500 + 80 + 50);
    // What was asked of it meanwhile does not pile up: a question for gauges comes every 20 ms or so.
    node.processor.questions.store(0, SeqCst);
    node.processor.greet("warm");
    for tag in 1..=2 {
        assert_eq!(node.processor.begun(), try_id(tag), "a command that may have been lost is given again");
        node.processor.end(&try_id(tag), "void");
    }
    run(&mut node, &mut front, 3, "plate-check", "");
    assert!(node.processor.questions.load(SeqCst) < 20);
}

#[rstest]
fn a_link_that_breaks_is_resumed_and_nothing_is_run_twice() {
    let (mut node, mut front) = started();
    let done = run(&mut node, &mut front, 1, "pay-session", ",opkey=a");
    let paused = run(&mut node, &mut front, 2, "pay-session", ",opkey=b");
    node.processor.complete(&done, b"one");
    assert_eq!(front.answer().body, b"one");
    node.processor.break_link();
    // Said and asked while there is no link: both follow on the next one.
    node.processor.ask(&paused, b"call");
    front.ask(4, "plate-check", &try_id(4), "", b"body");
    assert_eq!(node.processor.greet("warm"), 1, "the number of the last notice read");
    assert_eq!(node.processor.begun(), try_id(4));
    node.processor.complete(&try_id(4), b"four");
    assert_eq!(front.answer().body, b"four");
    node.records.call().reply("200 OK", "", b"reply");
    assert_eq!(node.processor.command("answer")["id"], json!(paused));
    node.processor.complete(&paused, b"two");
    assert_eq!(front.answer().body, b"two");
    node.processor.say(json!({"op": "complete", "seq": 1, "id": done, "end": "ok", "ms": 1.0, "body": ""}));
    front.ask(3, "pay-session", &try_id(3), ",opkey=a", b"body");
    assert_eq!(front.answer().body, b"one", "a notice that is said again changes nothing");
    assert_eq!(node.processor.count("begin"), 0);
}

#[rstest]
fn a_new_configuration_moves_every_link_and_keeps_runs_numbers_and_keys() {
    let mut node = Node::launch_with(settings(), "[store]\nlisten = \"127.0.0.1:0\"\n");
    node.processor.greet("warm");
    node.reported("Ready");
    let mut front = FrontEnd::connect(&node.resp);
    node.logged("the configuration is kept at version 1");
    let done = run(&mut node, &mut front, 1, "pay-session", ",opkey=a");
    node.processor.complete(&done, b"one");
    assert_eq!(front.answer().body, b"one");
    let calling = run(&mut node, &mut front, 2, "pay-session", ",opkey=b");
    node.processor.ask(&calling, b"call");
    let old_call = node.records.call();
    node.reconfigure("{\"name\": ");
    node.logged("the configuration stays as it was");
    for number in 2.. {
        node.processor.prove_nothing();
        let held = run(&mut node, &mut front, 1 + number, "plate-check", "");
        node.move_peers();
        assert_eq!(node.processor.greet("warm"), number, "the number of the last notice read");
        assert_eq!(node.processor.begun(), held, "what the old link may have swallowed is given again");
        node.processor.complete(&held, b"held");
        assert_eq!(front.answer().body, b"held");
        node.reported("Ready");
        if number == 3 {
            break;
        }
    }
    node.logged("the configuration is kept at version 2");
    // The call that was out ends at the old address, the next one goes to the new.
    old_call.reply("200 OK", "", b"reply");
    assert_eq!(node.processor.command("answer")["id"], json!(calling));
    node.processor.ask(&calling, b"again");
    node.records.call().reply("200 OK", "", b"reply");
    node.processor.command("answer");
    node.processor.complete(&calling, b"two");
    assert_eq!(front.answer().body, b"two");
    front.ask(9, "pay-session", &try_id(9), ",opkey=a", b"body");
    assert_eq!(front.answer().body, b"one", "the key is kept");
    assert_eq!(node.processor.count("begin"), 0);
}

#[rstest]
fn a_request_that_is_given_up_gets_its_answer_nowhere_and_its_call_is_closed() {
    let (mut node, mut front) = started();
    let req = run(&mut node, &mut front, 1, "history", "");
    node.processor.ask(&req, b"call");
    let mut call = node.records.call();
    front.send(&[b"NEVERMIND", b"1"]);
    assert!(call.given_up());
    node.processor.end(&req, "halted");
    let req = run(&mut node, &mut front, 2, "plate-check", "");
    node.processor.complete(&req, b"");
    assert_eq!(front.answer().tag, "2");
}

#[rstest]
#[case::turned_away("503 Service Unavailable", "Op-Not-Begun: 1\r\n", true)]
#[case::never_awaited("409 Conflict", "Op-Not-Begun: 1\r\n", true)]
#[case::failed("500 Internal Server Error", "", false)]
#[case::timed_out("504 Gateway Timeout", "", false)]
#[case::broken("", "", false)]
fn a_call_with_effects_is_made_again_only_if_it_never_began(
    #[case] status: &str,
    #[case] headers: &str,
    #[case] again: bool,
) {
    let (mut node, mut front) = started();
    let req = run(&mut node, &mut front, 1, "pay-session", ",opkey=k");
    node.processor.ask(&req, b"call");
    let call = node.records.call();
    assert!(call.head.contains("Op-Wait-Ms: "));
    let next = match status {
        "" => {
            call.cut();
            None
        }
        _ => Some(call.reply(status, headers, b"")),
    };
    if again {
        node.records.call_on(next.expect("a connection")).reply("200 OK", "", b"reply");
        node.processor.command("answer");
        node.processor.complete(&req, b"paid");
        assert_eq!(front.answer().word, "done");
    } else {
        assert_eq!(front.answer().word, "error");
        front.ask(2, "pay-session", &try_id(2), ",opkey=k", b"body");
        node.processor.end(&req, "halted");
        assert_eq!(front.answer().word, "error", "no refusal after a run");
        assert_eq!(node.processor.count("begin"), 0);
    }
}

#[rstest]
#[case::chunked(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nrep\r\n2\r\nly\r\n0\r\nT: 1\r\n\r\n"
)]
#[case::to_the_end("HTTP/1.1 200 OK\r\n\r\nreply")]
fn a_reply_is_read_whole_however_its_end_is_told(#[case] raw: &str) {
    let (mut node, mut front) = started();
    let req = run(&mut node, &mut front, 1, "pay-session", ",opkey=k");
    node.processor.ask(&req, b"call");
    drop(node.records.call().reply_raw(raw.as_bytes()));
    assert_eq!(node.processor.command("answer")["body"], "cmVwbHk=");
}

#[rstest]
#[case::interim("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nA: b\r\n\r\n", "", true)]
#[case::second_copy("", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother", false)]
#[case::noise("", "\0\x01noise", false)]
fn a_good_reply_counts_and_what_does_not_belong_to_it_ends_its_connection(
    #[case] ahead: &str,
    #[case] behind: &str,
    #[case] reused: bool,
) {
    let (mut node, mut front) = started();
    let req = run(&mut node, &mut front, 1, "history", "");
    node.processor.ask(&req, b"call");
    let raw = format!("{ahead}HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nreply{behind}");
    let first = node.records.call().reply_raw(raw.as_bytes());
    assert_eq!(node.processor.command("answer")["body"], "cmVwbHk=");
    // Time for the connection to settle, so that it could be used again.
    node.processor.complete(&req, b"paid");
    assert_eq!(front.answer().word, "done");
    std::thread::sleep(Duration::from_millis(20));
    let req = run(&mut node, &mut front, 2, "history", "");
    node.processor.ask(&req, b"call");
    let next = if reused { next_call(first) } else { node.records.call() };
    next.reply("200 OK", "", b"reply");
    assert_eq!(node.processor.command("answer")["body"], "cmVwbHk=");
}

#[rstest]
fn a_reply_that_cannot_be_read_repeats_only_a_call_that_is_safe(
    #[values("history", "pay-session")] class: &str,
    #[values(
        "\0\x01noise\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nreply",
        "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nreply",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nreply!",
        "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nreply",
        "HTTP/1.1 200 OK\r\nEndless: ",
        ""
    )]
    raw: &str,
) {
    let (mut node, mut front) = started();
    let req = run(&mut node, &mut front, 1, class, ",opkey=k");
    node.processor.ask(&req, b"call");
    let endless = if raw.ends_with("Endless: ") { "x".repeat(40_000) } else { String::new() };
    drop(node.records.call().reply_raw((raw.to_owned() + &endless).as_bytes()));
    if class == "history" {
        node.records.call().reply("200 OK", "", b"reply");
        assert_eq!(node.processor.command("answer")["body"], "cmVwbHk=");
    } else {
        assert_eq!(front.answer().word, "error");
        assert!(!node.records.is_connected(), "it may have run, so it is not made again");
    }
}

#[rstest]
fn a_call_whose_reply_never_comes_is_made_again_once_and_only_where_it_is_safe(
    #[values("history", "pay-session")] class: &str,
) {
    let mut settings = settings();
    settings["classes"][0]["aim"] = json!(4000.0);
    settings["classes"][0]["hard-limit"] = json!(8000.0);
    let mut node = Node::start_with(settings);
    let mut front = FrontEnd::connect(&node.resp);
    // Eight calls tell how long one takes.
    for tag in 1..=8 {
        let req = run(&mut node, &mut front, tag, "history", "");
        node.processor.ask(&req, b"call");
        drop(node.records.call().reply("200 OK", "Connection: close\r\n", b""));
        node.processor.command("answer");
        node.processor.complete(&req, b"listed");
        assert_eq!(front.answer().word, "done");
    }
    let req = run(&mut node, &mut front, 9, class, ",opkey=k");
    let asked = Instant::now();
    node.processor.ask(&req, b"call");
    let mut silent = node.records.call();
    if class == "history" {
        assert!(silent.given_up(), "one call of a request is out at a time");
        let second = node.records.call();
        assert!(second.head.contains(&format!("Op-Of: {req}")) && second.body == b"call");
        assert!(asked.elapsed() < Duration::from_millis(3500), "long before the request is late");
        // This one is silent as well: the request goes on without its call.
        node.processor.command("without");
        node.processor.complete(&req, b"without");
        assert_eq!(front.answer().body, b"without");
    } else {
        assert_eq!(front.answer().word, "error", "it may have run");
    }
    assert!(!node.records.is_connected(), "no further one");
}

#[rstest]
fn a_call_with_effects_never_meets_a_connection_that_was_idle() {
    let (mut node, mut front) = started();
    let req = run(&mut node, &mut front, 1, "pay-session", ",opkey=k");
    node.processor.ask(&req, b"call");
    let idle = node.records.call().reply("200 OK", "", b"");
    node.processor.command("answer");
    std::thread::sleep(Duration::from_millis(20));
    // On an idle connection a reset would leave open whether the call ran.
    node.processor.ask(&req, b"call");
    node.records.call().reply("200 OK", "", b"reply");
    assert_eq!(node.processor.command("answer")["body"], "cmVwbHk=");
    drop(idle);
}

#[rstest]
fn an_idle_connection_that_ended_is_not_used_again() {
    let (mut node, mut front) = started();
    for tag in 1..=2 {
        let req = run(&mut node, &mut front, tag, "pay-session", &format!(",opkey={tag}"));
        node.processor.ask(&req, b"call");
        // Each call comes on a connection of its own, as the one before has been closed behind its reply.
        drop(node.records.call().reply("200 OK", "", b""));
        node.processor.command("answer");
        node.processor.complete(&req, b"paid");
        assert_eq!(front.answer().word, "done");
    }
}

#[rstest]
fn a_run_that_was_void_leaves_its_key_free() {
    let (mut node, mut front) = started();
    let req = run(&mut node, &mut front, 1, "pay-session", ",opkey=k");
    front.send(&[b"NEVERMIND", b"1"]);
    node.processor.end(&req, "void");
    front.answer_to_status();
    let req = run(&mut node, &mut front, 2, "pay-session", ",opkey=k");
    node.processor.complete(&req, b"paid");
    assert_eq!(front.answer().body, b"paid");
}

#[rstest]
fn a_run_that_the_processor_does_not_know_leaves_its_key_free() {
    let (mut node, mut front) = started();
    let req = run(&mut node, &mut front, 1, "pay-session", ",opkey=k");
    node.processor.say(json!({"op": "reject", "end": "begin", "id": req}));
    assert_eq!(front.answer().word, "error");
    node.processor.prove_nothing();
    let req = run(&mut node, &mut front, 2, "pay-session", ",opkey=k");
    // Begun again after a break it proves nothing: an earlier life of the processor may have run it.
    node.processor.break_link();
    node.processor.greet("warm");
    assert_eq!(node.processor.begun(), req);
    node.processor.say(json!({"op": "reject", "end": "begin", "id": req}));
    assert_eq!(front.answer().word, "error");
    front.ask(3, "pay-session", &try_id(3), ",opkey=k", b"body");
    assert_eq!(front.answer().word, "error");
    assert_eq!(node.processor.count("begin"), 0);
}

#[rstest]
fn a_full_table_of_keys_turns_away_new_ones_and_never_the_repeat_of_a_run() {
    let mut settings = settings();
    settings["classes"][2]["repeat-window"] = json!(30_000.0);
    let mut config = support::config(settings);
    config["limits"]["memory_mb"] = json!(1);
    let mut node = Node::launch_as(config, "");
    node.processor.greet("warm");
    node.reported("Ready");
    let mut front = FrontEnd::connect(&node.resp);
    let result = [7; 4096];
    // A quarter of the memory, by the room of a key with its result.
    let room = 1024 * 1024 / 4 / (4096 + 512);
    for tag in 1..=room {
        let req = run(&mut node, &mut front, tag, "pay-session", &format!(",opkey={tag}"));
        node.processor.complete(&req, &result);
        assert_eq!(front.answer().word, "done");
    }
    front.ask(1000, "pay-session", &try_id(1000), ",opkey=new", b"body");
    assert_eq!(front.answer().word, "later");
    front.ask(1001, "pay-session", &try_id(1001), ",opkey=1", b"body");
    let repeat = front.answer();
    assert!(repeat.word == "done" && repeat.body == result, "{}", repeat.word);
}

#[rstest]
fn a_run_whose_end_is_never_told_keeps_its_name_until_the_processor_says_that_it_is_over() {
    let mut settings = settings();
    settings["classes"][1]["hard-limit"] = json!(300.0);
    let mut node = Node::start_with(settings);
    let mut front = FrontEnd::connect(&node.resp);
    let req = run(&mut node, &mut front, 1, "plate-check", "");
    assert_eq!(front.answer().word, "error");
    let mut tag = 1;
    // Asked about again and again, it runs for all that is known.
    for _ in 0..3 {
        assert_eq!(node.processor.begun(), req, "the processor is asked about it");
        tag += 1;
        front.ask(tag, "plate-check", &req, "", b"body");
        assert_eq!(front.answer().word, "error", "its name is in use while it may run");
    }
    node.logged("an episode begins: runs continue long after their callers were answered or gave up");
    node.logged("1 runs outlast their callers");
    node.processor.end(&req, "void");
    node.logged("no run outlasts its caller any more");
    let answer = loop {
        tag += 1;
        front.ask(tag, "plate-check", &req, "", b"body");
        if node.processor.begun() == req {
            node.processor.complete(&req, b"anew");
        }
        let answer = front.answer();
        if answer.word == "done" {
            break answer;
        }
    };
    assert_eq!(answer.body, b"anew");
}

#[rstest]
fn a_caller_that_never_reads_is_read_no_further_and_stalls_nobody() {
    use std::io::Write;
    let (_node, mut front) = started();
    assert_eq!(front.answer_to_status().word, "healthy", "it has spoken, so it may rest during the flood");
    let mut deaf = FrontEnd::connect(&front.stream.peer_addr().expect("an address").to_string());
    deaf.stream.set_write_timeout(Some(Duration::from_millis(300))).expect("a timeout");
    let flood = array(&[b"STATUS", b"1", b""]).repeat(1000);
    let unread = (0..10_000).find(|_| deaf.stream.write_all(&flood).is_err());
    assert!(unread.is_some(), "the node keeps on reading what it can never answer");
    assert_eq!(front.answer_to_status().word, "healthy");
}

#[rstest]
fn an_idle_connection_is_given_back_and_answered_until_it_is_closed() {
    let mut settings = settings();
    settings["family-info"]["idle"] = json!(50.0);
    settings["family-info"]["senders"] = json!(100);
    let mut node = Node::start_with(settings);
    let mut front = FrontEnd::connect(&node.resp);
    assert_eq!(front.answer_to_status().word, "healthy");
    assert_eq!(front.words(), [b"0".to_vec(), b"closing".to_vec()]);
    // A request may cross the notice.
    let req = run(&mut node, &mut front, 1, "plate-check", "");
    node.processor.complete(&req, b"crossed");
    assert_eq!(front.answer().body, b"crossed");
}

#[rstest]
#[case::not_resp(b"GET / HTTP/1.1\r\n\r\n".to_vec())]
#[case::too_many_words(b"*99\r\n".to_vec())]
#[case::too_long(b"*2\r\n$99999\r\n".to_vec())]
#[case::unknown_verb(array(&[b"FROB", b"1"]))]
#[case::no_tag(array(&[b"STATUS", b"x"]))]
fn bad_input_closes_its_connection_alone(#[case] bytes: Vec<u8>) {
    let (mut node, mut front) = started();
    assert_eq!(front.answer_to_status().word, "healthy");
    let mut bad = FrontEnd::connect(&node.resp);
    use std::io::Write;
    bad.stream.write_all(&bytes).expect("a write");
    node.logged("1 connections closed for protocol errors");
    assert!(bad.is_closed());
    assert_eq!(front.answer_to_status().word, "healthy");
}

#[rstest]
#[case::class("nothing", "req=00000000000000aa", b"")]
#[case::tenant("plate-check", "req=00000000000000aa,owner=nobody", b"")]
#[case::no_name("plate-check", "need=1.0", b"")]
#[case::short_name("plate-check", "req=aa", b"")]
#[case::no_key("pay-session", "req=00000000000000aa", b"")]
#[case::endless_work("plate-check", "req=00000000000000aa,ms=inf", b"")]
#[case::work_in_words("plate-check", "req=00000000000000aa,ms=much", b"")]
#[case::negative_memory("plate-check", "req=00000000000000aa,need=-1", b"")]
#[case::too_much_memory("plate-check", "req=00000000000000aa,need=2000", b"")]
#[case::rank("plate-check", "req=00000000000000aa,level=1.5", b"")]
#[case::long_past("plate-check", "req=00000000000000aa,ts=5", b"")]
#[case::far_future("plate-check", "req=00000000000000aa,ts=9e15", b"")]
#[case::mark("plate-check", "req=00000000000000aa,resent=yes", b"")]
#[case::body("plate-check", "req=00000000000000aa", &[0; 2049])]
fn a_field_that_makes_no_sense_fails_its_request_alone(
    #[case] class: &str,
    #[case] fields: &str,
    #[case] body: &[u8],
) {
    let (mut node, mut front) = started();
    front.send(&[b"ASK", b"1", class.as_bytes(), fields.as_bytes(), body]);
    assert_eq!(front.answer().word, "error");
    node.logged("1 requests failed on arrival: invalid, or too many open on one connection in the last 5 s");
    let req = run(&mut node, &mut front, 2, "plate-check", "");
    node.processor.complete(&req, b"well");
    assert_eq!(front.answer().body, b"well");
}

#[rstest]
fn a_tag_that_is_in_use_closes_the_connection_behind_the_answer_that_it_stands_for() {
    let (mut node, mut front) = started();
    run(&mut node, &mut front, 1, "plate-check", "");
    front.ask(1, "plate-check", &try_id(2), "", b"body");
    // Nobody ends the run, so the one answer comes when its request is due, and the other request is never run.
    let answer = front.answer();
    assert_eq!((answer.tag.as_str(), answer.word.as_str()), ("1", "error"));
    assert!(front.is_closed());
    assert_eq!(node.processor.count("begin"), 0);
}

#[rstest]
fn a_flood_on_one_connection_is_failed_past_its_bound_and_starves_nobody() {
    let (mut node, mut front) = started();
    let mut flood = FrontEnd::connect(&node.resp);
    (1..=200).for_each(|tag| flood.ask(tag, "history", &try_id(1000 + tag), "", b"body"));
    // All that do not wait for a run are answered at once: no run has ended yet.
    (0..136).for_each(|_| assert_ne!(flood.answer().word, "done"));
    (1..=200).for_each(|tag| flood.send(&[b"NEVERMIND", tag.to_string().as_bytes()]));
    front.ask(1, "plate-check", &try_id(1), "", b"body");
    let mut begun = node.processor.begun();
    while begun != try_id(1) {
        node.processor.end(&begun, "void");
        begun = node.processor.begun();
    }
    node.processor.complete(&begun, b"well");
    assert_eq!(front.answer().body, b"well");
}

#[rstest]
#[case::silent(b"")]
#[case::half_a_message(b"*5\r\n$3\r\nASK\r\n$1\r\n")]
fn a_client_that_ends_no_first_message_is_closed_and_one_that_asked_once_is_not(#[case] bytes: &[u8]) {
    use std::io::Write;
    let (node, mut front) = started();
    assert_eq!(front.answer_to_status().word, "healthy");
    let mut bad = FrontEnd::connect(&node.resp);
    let since = std::time::Instant::now();
    bad.stream.write_all(bytes).expect("a write");
    assert!(bad.is_closed() && since.elapsed() < Duration::from_secs(3));
    assert_eq!(front.answer_to_status().word, "healthy", "it has been quiet for as long");
}

#[rstest]
fn a_full_table_makes_room_for_newcomers_and_leaves_working_connections_alone() {
    let mut small = support::config(settings());
    small["limits"]["sockets"] = json!(96);
    let mut node = Node::launch_as(small, "");
    node.processor.greet("warm");
    node.reported("Ready");
    let mut working = FrontEnd::connect(&node.resp);
    let open = run(&mut node, &mut working, 1, "plate-check", "");
    // Three times as many as there is room for; each has its answer, whoever loses its place.
    let mut quiet: Vec<FrontEnd> = Vec::new();
    for _ in 0..90 {
        quiet.push(FrontEnd::connect(&node.resp));
        assert_eq!(quiet.last_mut().expect("the newest").answer_to_status().word, "healthy");
    }
    assert!(quiet[0].is_closed(), "the one that was quiet for longest has left");
    node.processor.complete(&open, b"well");
    assert_eq!(working.answer().body, b"well");
}

#[rstest]
fn a_request_written_in_two_seconds_is_served_though_newcomers_want_the_place() {
    use std::io::Write;
    let mut config = support::config(settings());
    // Room for twenty on this front.
    config["limits"]["sockets"] = json!(64);
    let mut node = Node::launch_as(config, "");
    node.processor.greet("warm");
    node.reported("Ready");
    let mut slow = FrontEnd::connect(&node.resp);
    // It counts as having come when it is whole.
    let fields = format!("req={},ts={},via=4,owner=almaty", try_id(1), unix_ms() + 2100);
    let whole = array(&[b"ASK", b"1", b"plate-check", fields.as_bytes(), b"body"]);
    let (first, rest) = whole.split_at(20);
    slow.stream.write_all(first).expect("a write");
    let begun = std::time::Instant::now();
    let asked_once = || {
        let mut front = FrontEnd::connect(&node.resp);
        front.answer_to_status();
        front
    };
    let mut callers: Vec<FrontEnd> = Vec::new();
    while begun.elapsed() < Duration::from_millis(2100) {
        callers.push(asked_once());
        std::thread::sleep(Duration::from_millis(50));
    }
    assert!(callers.len() > 20, "far more than there is room for");
    slow.stream.write_all(rest).expect("a write");
    assert_eq!(node.processor.begun(), try_id(1));
    node.processor.complete(&try_id(1), b"slowly");
    assert_eq!(slow.answer().body, b"slowly");
}

#[rstest]
fn a_node_without_a_store_of_its_own_has_one_thread() {
    let (mut node, mut front) = started();
    let req = run(&mut node, &mut front, 1, "plate-check", "");
    node.processor.complete(&req, b"result");
    assert_eq!(front.answer().body, b"result");
    assert_eq!(node.threads(), ["sillflow"]);
}
