//! The same script over both fronts: answers, refusals and runs must come out alike.

mod support;

use rstest::rstest;
use serde_json::{Value, json};
use support::ajp::WebServer;
use support::resp::FrontEnd;
use support::{Node, settings, try_id, unix_ms};

#[derive(Clone, Copy, Debug)]
enum Front {
    Resp,
    Ajp,
}

/// A caller on either front.
enum Caller {
    Resp(FrontEnd),
    Ajp(WebServer),
}

#[derive(Debug, Default, PartialEq)]
struct Counts {
    served: u32,
    refused: u32,
    failed: u32,
    runs: u32,
}

struct Play {
    node: Node,
    front: Front,
    counts: Counts,
    tries: u64,
    /// What the requests say of how long they wait.
    timeout: Option<&'static str>,
}

impl Play {
    fn over(front: Front, settings: Value) -> Self {
        Self::with(front, Node::start_with(settings))
    }

    fn with(front: Front, node: Node) -> Self {
        Self { node, front, counts: Counts::default(), tries: 0, timeout: None }
    }

    fn caller(&self) -> Caller {
        match self.front {
            Front::Resp => Caller::Resp(FrontEnd::connect(&self.node.resp)),
            Front::Ajp => Caller::Ajp(WebServer::connect(&self.node.ajp)),
        }
    }

    /// Asks, as if the request had come to the machine so long ago; returns the name of the try.
    fn ask(
        &mut self,
        caller: &mut Caller,
        class: &str,
        key: Option<&str>,
        ago_ms: u64,
        body: &[u8],
    ) -> String {
        self.tries += 1;
        let (req, ts) = (try_id(self.tries), unix_ms() - ago_ms);
        match caller {
            Caller::Resp(front) => {
                let mut more = key.map_or_else(String::new, |key| format!(",opkey={key}"));
                more.extend(self.timeout.map(|timeout| format!(",timeout={timeout}")));
                front.ask_at(ts, self.tries, class, &req, &more, body);
            }
            Caller::Ajp(web) => {
                let ts = ts.to_string();
                let mut headers = vec![("Op-Req", req.as_str()), ("Op-Ts", &ts), ("Op-Owner", "almaty")];
                headers.extend(key.map(|key| ("Op-Key", key)));
                headers.extend(self.timeout.map(|timeout| ("Op-Timeout-Ms", timeout)));
                web.ask(class, &headers, body);
            }
        }
        req
    }

    /// Reads an answer and counts it; returns what it served.
    fn answer(&mut self, caller: &mut Caller) -> Option<Vec<u8>> {
        let (word, body) = match caller {
            Caller::Resp(front) => {
                let answer = front.answer();
                (answer.word, answer.body)
            }
            Caller::Ajp(web) => {
                let response = web.response();
                let word = match response.status {
                    200 => "done",
                    503 => "later",
                    _ => "error",
                };
                (word.to_owned(), response.body)
            }
        };
        match word.as_str() {
            "done" => self.counts.served += 1,
            "later" => self.counts.refused += 1,
            _ => self.counts.failed += 1,
        }
        (word == "done").then_some(body)
    }

    fn begun(&mut self) -> String {
        self.counts.runs += 1;
        self.node.processor.begun()
    }
}

/// Two bodies: one with every byte, and none.
fn every_byte() -> Vec<u8> {
    (0..=255).collect()
}

fn play(front: Front) -> Counts {
    let mut play = Play::over(front, settings());
    let (mut one, mut two) = (play.caller(), play.caller());
    let body = every_byte();

    // A read is run and its result comes back to the byte.
    let req = play.ask(&mut one, "plate-check", None, 0, &body);
    assert_eq!(play.begun(), req);
    play.node.processor.complete(&req, &body);
    assert_eq!(play.answer(&mut one), Some(body.clone()));

    // A failed run.
    let req = play.ask(&mut one, "plate-check", None, 0, b"");
    play.begun();
    play.node.processor.end(&req, "failed");
    assert_eq!(play.answer(&mut one), None);

    // A call below: its body and its reply pass unchanged.
    let req = play.ask(&mut one, "history", None, 0, b"h");
    play.begun();
    play.node.processor.ask(&req, &body);
    let called = play.node.records.call();
    assert!(called.head.contains(&format!("Op-Of: {req}\r\n")));
    assert_eq!(called.body, body);
    called.reply("200 OK", "", &body);
    use base64::Engine;
    let reply = base64::engine::general_purpose::STANDARD.encode(&body);
    assert_eq!(play.node.processor.command("answer"), json!({"op": "answer", "id": req, "body": reply}));
    play.node.processor.complete(&req, b"with call");
    assert_eq!(play.answer(&mut one).as_deref(), Some(&b"with call"[..]));

    // Repeats of an operation share its one run: while it runs, and when it is done.
    let req = play.ask(&mut one, "pay-session", Some("k1"), 0, b"pay");
    play.begun();
    play.ask(&mut two, "pay-session", Some("k1"), 0, b"pay");
    play.node.processor.complete(&req, b"paid");
    assert_eq!(play.answer(&mut one).as_deref(), Some(&b"paid"[..]));
    assert_eq!(play.answer(&mut two).as_deref(), Some(&b"paid"[..]));
    play.ask(&mut two, "pay-session", Some("k1"), 0, b"pay");
    assert_eq!(play.answer(&mut two).as_deref(), Some(&b"paid"[..]));

    // The name of an open request, or a known key with another body, fails and leaves the first run alone.
    let req = play.ask(&mut one, "pay-session", Some("k3"), 0, b"pay");
    play.begun();
    play.tries -= 1;
    play.ask(&mut two, "plate-check", None, 0, b"pay");
    assert_eq!(play.answer(&mut two), None, "the name of an open request");
    play.ask(&mut two, "pay-session", Some("k3"), 0, b"another");
    assert_eq!(play.answer(&mut two), None, "a known key with another body");
    play.node.processor.complete(&req, b"paid");
    assert_eq!(play.answer(&mut one).as_deref(), Some(&b"paid"[..]));
    play.ask(&mut two, "pay-session", Some("k3"), 0, b"another");
    assert_eq!(play.answer(&mut two), None, "nor does it get the result");

    // A paused run is failed when it is due; its connection carries the next request while it is paused, and
    // a repeat gets the result once there is one.
    let paused = play.ask(&mut one, "pay-session", Some("k2"), 0, b"pay");
    play.begun();
    play.node.processor.ask(&paused, b"call");
    let call = play.node.records.call();
    assert_eq!(play.answer(&mut one), None, "due before its call is answered");
    let req = play.ask(&mut one, "plate-check", None, 0, b"next");
    assert_eq!(play.begun(), req);
    play.node.processor.complete(&req, b"next");
    assert_eq!(play.answer(&mut one).as_deref(), Some(&b"next"[..]));
    play.ask(&mut two, "pay-session", Some("k2"), 0, b"pay");
    play.node.processor.complete(&paused, b"paid after all");
    assert_eq!(play.answer(&mut two).as_deref(), Some(&b"paid after all"[..]));
    drop(call);

    // One that came too late to be run. It is the last: the module takes it for a sign of unread floods.
    play.ask(&mut one, "plate-check", None, 60_000, b"late");
    assert_eq!(play.answer(&mut one), None);

    assert_eq!(play.node.processor.count("begin"), 0, "nothing was run that was not looked for");
    play.counts
}

#[rstest]
fn both_fronts_answer_refuse_and_run_alike() {
    let (resp, ajp) = (play(Front::Resp), play(Front::Ajp));
    assert_eq!(resp, ajp);
    assert_eq!(resp, Counts { served: 8, refused: 1, failed: 5, runs: 7 });
}

/// How long after the notice to leave the node is stopped, and the longest that a request waits, in ms. Connections are given
/// back 900 ms ahead of it: a caller that stands still for seconds behind the grace still sees a refusal.
const STOP_MS: u32 = 6000;

#[rstest]
#[case(Front::Resp)]
#[case(Front::Ajp)]
fn a_drain_answers_all_and_runs_nothing_that_came_after_the_grace(
    #[case] front: Front,
    #[values(None, Some("60000"))] timeout: Option<&'static str>,
) {
    let mut config = support::config(with_limits(f64::from(STOP_MS) / 2.0, f64::from(STOP_MS)));
    config["stop_ms"] = json!(STOP_MS);
    let mut node = Node::launch_as(config, "");
    node.processor.greet("warm");
    node.reported("Ready");
    let mut play = Play::with(front, node);
    let (mut one, mut two) = (play.caller(), play.caller());
    play.timeout = timeout;
    play.ask(&mut one, "pay-session", Some("k"), 0, b"never ends");
    play.begun();
    play.timeout = None;
    play.node.processor.automatic();
    play.node.terminate();
    play.node.reported("NotReady");
    // Until the grace is over requests are served; after it each is refused without a run.
    while play.counts.refused == 0 {
        play.ask(&mut two, "plate-check", None, 0, b"");
        play.answer(&mut two);
    }
    let begun = play.node.processor.count("begin");
    play.ask(&mut two, "plate-check", None, 0, b"");
    assert_eq!(play.answer(&mut two), None);
    assert_eq!(play.node.processor.count("begin"), begun, "nothing is run after the grace");
    assert_eq!(play.answer(&mut one), None, "what still runs is answered before the stop");
    assert_eq!((play.counts.refused, play.counts.failed), (2, 1));
    if let Caller::Resp(front) = &one {
        assert!(front.closing, "the connection is given back");
    }
    drop((one, two));
    assert!(play.node.ended().success());
}

/// How much later than its due time an answer may be seen on a busy machine, in ms: far less than lies between that and
/// the moment by any other count.
const SEEN_MS: u64 = 3000;
/// How much sooner than its due time a request that runs is failed at the most, in ms.
const AHEAD_MS: u64 = 50;

/// The usual settings with aims and limits of all classes as given.
fn with_limits(aim: f64, limit: f64) -> Value {
    let mut settings = settings();
    for class in settings["classes"].as_array_mut().expect("a list") {
        class["aim"] = json!(aim);
        class["hard-limit"] = json!(limit);
    }
    settings
}

/// Fills the node with runs that do not end; returns their callers and names.
fn fill(play: &mut Play) -> Vec<(Caller, String)> {
    let mut asked: Vec<_> = (0..4)
        .map(|_| {
            let mut caller = play.caller();
            let req = play.ask(&mut caller, "plate-check", None, 0, b"fills");
            (caller, req)
        })
        .collect();
    asked.iter().for_each(|_| drop(play.begun()));
    asked.sort_by(|(_, one), (_, two)| one.cmp(two));
    asked
}

#[rstest]
fn a_run_is_failed_when_its_caller_gives_up(
    #[values(Front::Resp, Front::Ajp)] front: Front,
    #[values(
        (2000.0, None, 0, 2000),
        (20_000.0, Some("2000"), 0, 2000),
        (2000.0, Some("4000"), 0, 4000),
        (60_000.0, Some("7000.5"), 5000, 7000)
    )]
    case: (f64, Option<&'static str>, u64, u64),
) {
    let (limit, timeout, ago_ms, due_ms) = case;
    let mut play = Play::over(front, with_limits(limit / 1.5, limit));
    let mut one = play.caller();
    play.timeout = timeout;
    let ts = unix_ms() - ago_ms;
    let req = play.ask(&mut one, "plate-check", None, ago_ms, b"long");
    assert_eq!(play.begun(), req);
    assert_eq!(play.answer(&mut one), None);
    let took_ms = unix_ms() - ts;
    assert!((due_ms - AHEAD_MS..due_ms + SEEN_MS).contains(&took_ms), "{took_ms} ms");
    assert_eq!(play.counts, Counts { failed: 1, runs: 1, ..Counts::default() });
    // Its one answer has gone: the next is that of the next request.
    play.node.processor.complete(&req, b"too late");
    play.timeout = None;
    let req = play.ask(&mut one, "plate-check", None, 0, b"next");
    play.begun();
    play.node.processor.complete(&req, b"next");
    assert_eq!(play.answer(&mut one).as_deref(), Some(&b"next"[..]));
}

#[rstest]
fn a_held_request_is_refused_before_its_caller_gives_up(#[values(Front::Resp, Front::Ajp)] front: Front) {
    let mut play = Play::over(front, with_limits(13_000.0, 20_000.0));
    let _filling = fill(&mut play);
    let mut one = play.caller();
    play.timeout = Some("3000");
    let ts = unix_ms();
    play.ask(&mut one, "plate-check", None, 0, b"held");
    assert_eq!(play.answer(&mut one), None);
    assert!(unix_ms() < ts + 3000 + SEEN_MS);
    assert_eq!((play.counts.refused, play.node.processor.count("begin")), (1, 0));
}

#[rstest]
#[case::zero("0", 0)]
#[case::negative("-480", 0)]
#[case::words("soon", 0)]
#[case::empty("", 0)]
#[case::endless("inf", 0)]
#[case::no_number("NaN", 0)]
#[case::too_long("600000.1", 0)]
#[case::hardly_any("0.001", 0)]
#[case::within_the_failsafe("15", 0)]
#[case::within_the_margin("30", 0)]
#[case::over("100", 300)]
#[case::just_over("300", 300)]
fn a_time_that_makes_no_sense_or_is_over_ends_its_request_unrun(
    #[values(Front::Resp, Front::Ajp)] front: Front,
    #[case] timeout: &'static str,
    #[case] ago_ms: u64,
) {
    let mut play = Play::over(front, with_limits(13_000.0, 20_000.0));
    let mut one = play.caller();
    play.timeout = Some(timeout);
    let asked = unix_ms();
    play.ask(&mut one, "plate-check", None, ago_ms, b"x");
    assert_eq!(play.answer(&mut one), None);
    assert!(unix_ms() < asked + SEEN_MS, "at once, not when it is due");
    let fits = timeout.parse().is_ok_and(|ms: f64| ms > 0.0 && ms <= 600_000.0);
    let refused = u32::from(fits);
    assert_eq!(play.counts, Counts { refused, failed: 1 - refused, ..Counts::default() });
    play.timeout = Some("600000");
    let req = play.ask(&mut one, "plate-check", None, 0, b"next");
    assert_eq!(play.begun(), req);
    play.node.processor.complete(&req, b"next");
    assert_eq!(play.answer(&mut one).as_deref(), Some(&b"next"[..]));
}

#[rstest]
fn a_repeat_keeps_to_its_own_time_and_leaves_the_first_its_own(
    #[values(Front::Resp, Front::Ajp)] front: Front,
) {
    let mut play = Play::over(front, with_limits(13_000.0, 20_000.0));
    let (mut one, mut two) = (play.caller(), play.caller());
    let first = play.ask(&mut one, "pay-session", Some("k"), 0, b"pay");
    play.begun();
    // One that waits no longer when it is read, and one that waits less than the run takes: neither is refused.
    for (timeout, ago_ms) in [("20", 40), ("1000", 0)] {
        play.timeout = Some(timeout);
        let ts = unix_ms() - ago_ms;
        play.ask(&mut two, "pay-session", Some("k"), ago_ms, b"pay");
        assert_eq!(play.answer(&mut two), None);
        assert!(unix_ms() < ts + 1000 + SEEN_MS);
    }
    assert_eq!(play.counts, Counts { failed: 2, runs: 1, ..Counts::default() });
    play.node.processor.complete(&first, b"paid");
    assert_eq!(play.answer(&mut one).as_deref(), Some(&b"paid"[..]));
    play.timeout = Some("20");
    play.ask(&mut two, "pay-session", Some("k"), 40, b"pay");
    play.answer(&mut two);
    assert_eq!((play.counts.refused, play.node.processor.count("begin")), (0, 0), "no refusal after a run");
}

#[rstest]
fn a_repeat_whose_time_is_over_takes_the_place_of_none(#[values(Front::Resp, Front::Ajp)] front: Front) {
    let mut play = Play::over(front, with_limits(13_000.0, 20_000.0));
    let mut filling = fill(&mut play);
    let (mut one, mut two) = (play.caller(), play.caller());
    let held = play.ask(&mut one, "pay-session", Some("k"), 0, b"pay");
    play.timeout = Some("20");
    play.ask(&mut two, "pay-session", Some("k"), 40, b"pay");
    assert_eq!(play.answer(&mut two), None);
    assert_eq!(play.counts.refused, 1);
    let (mut caller, req) = filling.remove(0);
    play.node.processor.complete(&req, b"");
    play.answer(&mut caller);
    assert_eq!(play.begun(), held);
    play.node.processor.complete(&held, b"paid");
    assert_eq!(play.answer(&mut one).as_deref(), Some(&b"paid"[..]));
}

#[rstest]
fn a_repeat_that_waits_longer_than_the_key_has_repeats_gets_the_result(
    #[values(Front::Resp, Front::Ajp)] front: Front,
) {
    let mut settings = with_limits(1500.0, 1500.0);
    settings["classes"][2]["repeat-window"] = json!(1000.0);
    let mut play = Play::over(front, settings);
    let (mut one, mut two, mut three) = (play.caller(), play.caller(), play.caller());
    play.timeout = Some("15000");
    let first = play.ask(&mut one, "pay-session", Some("k"), 0, b"pay");
    play.begun();
    play.ask(&mut two, "pay-session", Some("k"), 0, b"pay");
    // Longer than the window with its grace, and the class's limit on top.
    play.timeout = Some("4000");
    play.ask(&mut three, "plate-check", None, 0, b"long");
    play.begun();
    assert_eq!(play.answer(&mut three), None);
    play.node.processor.complete(&first, b"paid");
    for caller in [&mut one, &mut two] {
        assert_eq!(play.answer(caller).as_deref(), Some(&b"paid"[..]));
    }
}

#[rstest]
fn a_call_is_told_no_more_time_than_the_caller_has(#[values(Front::Resp, Front::Ajp)] front: Front) {
    let mut play = Play::over(front, with_limits(13_000.0, 20_000.0));
    let mut one = play.caller();
    play.timeout = Some("2000");
    let ts = unix_ms();
    let req = play.ask(&mut one, "pay-session", Some("k"), 0, b"pay");
    play.begun();
    play.node.processor.ask(&req, b"call");
    let call = play.node.records.call();
    let told = call.head.lines().find_map(|line| line.strip_prefix("Op-Wait-Ms: ")).expect("a time");
    let told: u64 = told.parse().expect("whole milliseconds");
    assert!((1..2000).contains(&told), "{told} ms");
    assert_eq!(play.answer(&mut one), None);
    assert!(unix_ms() < ts + 2000 + SEEN_MS);
}
