//! Wall clocks that are stepped or off: due times and windows are spans of real time all the same.

mod support;

use std::time::{Duration, Instant};

use proptest::prelude::*;
use rstest::rstest;
use serde_json::{Value, json};
use sillflow::clock::receipt::{Offset, Readings, Receipt, Terms, is_plausible, receive};
use support::resp::FrontEnd;
use support::{Node, PATIENCE, config, settings, try_id, unix_ms};

/// Some time in 2025, in Unix ms.
const NOW_MS: f64 = 1_764_576_000_000.0;
const HOUR_MS: i64 = 3_600_000;
/// The limit of all classes, and the window of the keyed one, in ms.
const LIMIT_MS: u64 = 2000;
const WINDOW_MS: u64 = 1000;
/// How much sooner than its due time a request that runs is failed at the most, in ms.
const AHEAD_MS: u64 = 50;
/// How late an answer may be seen on a busy machine, in ms; far less than the smallest step.
const SEEN_MS: u64 = 1500;
/// No window or wait of these tests lasts this long.
const SOON: Duration = Duration::from_secs(15);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// What a request comes to that was sent `ago_ms` ago by its caller's clock, which is `caller_ms` ahead of the anchored
/// clock, with the wall clock `wall_ms` ahead of it.
fn received(ago_ms: f64, caller_ms: f64, wall_ms: f64, offset_ms: f64, patience: Option<u64>) -> Receipt {
    let readings = Readings { wall_ms: NOW_MS + wall_ms, anchored_ms: NOW_MS };
    let terms = Terms { patience: patience.map(ms), limit: ms(2000) };
    receive(NOW_MS + caller_ms - ago_ms, terms, readings, offset_ms)
}

const H: f64 = HOUR_MS as f64;

#[rstest]
#[case::no_step(700.0, 0.0, 0.0, 0.0, 700)]
#[case::long_pause(9000.0, 0.0, 0.0, 0.0, 9000)]
#[case::caller_slightly_ahead(0.0, 150.0, 0.0, 0.0, 0)]
#[case::caller_slightly_ahead_of_a_step(0.0, 150.0, 3000.0, 0.0, 0)]
#[case::wall_forward(700.0, 0.0, 3000.0, 0.0, 700)]
#[case::wall_back(700.0, 0.0, -3000.0, 0.0, 700)]
#[case::wall_forward_an_hour(700.0, 0.0, H, 0.0, 700)]
#[case::wall_back_an_hour(700.0, 0.0, -H, 0.0, 700)]
#[case::both_forward(700.0, 3000.0, 3000.0, 0.0, 700)]
#[case::both_back(700.0, -3000.0, -3000.0, 0.0, 700)]
#[case::both_forward_an_hour(700.0, H, H, 0.0, 700)]
#[case::both_back_an_hour(700.0, -H, -H, 0.0, 700)]
#[case::caller_ahead(700.0, 5000.0, 0.0, 0.0, 0)]
#[case::caller_behind_and_known(700.0, -5000.0, 0.0, 5000.0, 700)]
#[case::caller_ahead_and_known(700.0, 5000.0, 0.0, -5000.0, 700)]
#[case::caller_an_hour_behind_and_known(700.0, -H, 0.0, H, 700)]
fn an_age_is_told_whatever_clock_was_stepped(
    #[case] ago_ms: f64,
    #[case] caller_ms: f64,
    #[case] wall_ms: f64,
    #[case] offset_ms: f64,
    #[case] age_ms: u64,
) {
    for patience in [None, Some(480), Some(60_000)] {
        let receipt = received(ago_ms, caller_ms, wall_ms, offset_ms, patience);
        assert_eq!(receipt, Receipt { age: ms(age_ms), patience: patience.map(ms) });
    }
}

#[rstest]
#[case::behind(-H)]
#[case::ahead(H)]
#[case::minutes_ahead(300_000.0)]
#[case::minutes_behind(-300_000.0)]
fn clocks_that_disagree_make_a_request_one_of_now_with_the_smaller_time(#[case] caller_ms: f64) {
    for (patience, told) in [(None, None), (Some(480), Some(480)), (Some(60_000), Some(2000))] {
        let receipt = received(10.0, caller_ms, 0.0, 0.0, patience);
        assert_eq!(receipt, Receipt { age: Duration::ZERO, patience: told.map(ms) });
    }
}

#[rstest]
fn an_age_within_what_its_caller_waits_is_no_disagreement() {
    assert_eq!(received(300_000.0, 0.0, 0.0, 0.0, Some(600_000)).age, ms(300_000));
    assert_eq!(received(121_000.0, 0.0, 0.0, 0.0, None).age, ms(121_000));
    assert_eq!(received(123_000.0, 0.0, 0.0, 0.0, None).age, Duration::ZERO);
}

#[rstest]
#[case::first(946_684_800_000.0, true)]
#[case::too_early(946_684_799_999.0, false)]
#[case::last(7_258_118_399_999.0, true)]
#[case::too_late(7_258_118_400_000.0, false)]
#[case::negative(-1.0, false)]
#[case::no_number(f64::NAN, false)]
fn a_time_between_2000_and_2200_is_plausible(#[case] ts_ms: f64, #[case] plausible: bool) {
    assert_eq!(is_plausible(ts_ms), plausible);
}

/// Notes requests with these ages, `gap_ms` apart; the time at the end.
fn note(offset: &mut Offset, mut now_ms: f64, gap_ms: f64, ages_ms: impl IntoIterator<Item = f64>) -> f64 {
    for age_ms in ages_ms {
        offset.note(now_ms, age_ms);
        now_ms += gap_ms;
    }
    now_ms
}

#[rstest]
#[case::seconds(5000.0)]
#[case::an_hour(H)]
#[case::seconds_ahead(-5000.0)]
#[case::an_hour_ahead(-H)]
fn a_constant_offset_is_found_within_two_windows_and_let_go_at_once(#[case] off_ms: f64) {
    let mut offset = Offset::default();
    let ages = |range: std::ops::Range<u32>| range.map(move |n| off_ms + f64::from(n % 4) * 10.0);
    let now_ms = note(&mut offset, NOW_MS, 200.0, ages(0..11));
    assert_eq!(offset.ms(), 0.0, "one window is not enough");
    let now_ms = note(&mut offset, now_ms, 200.0, ages(11..13));
    assert!((offset.ms() - off_ms).abs() <= 30.0, "{}", offset.ms());
    if off_ms > 0.0 {
        note(&mut offset, now_ms, 200.0, [1.0]);
    } else {
        note(&mut offset, now_ms, 200.0, [1.0; 12]);
    }
    assert_eq!(offset.ms(), 0.0);
}

#[rstest]
fn requests_that_waited_do_not_shrink_an_offset_of_a_clock_that_is_behind() {
    let mut offset = Offset::default();
    let now_ms = note(&mut offset, NOW_MS, 200.0, [-5000.0; 13]);
    assert_eq!(offset.ms(), -5000.0);
    note(&mut offset, now_ms, 200.0, [-2500.0, -5000.0, -5000.0, -5000.0, -5000.0, -5000.0, -5000.0]);
    assert_eq!(offset.ms(), -5000.0);
}

#[rstest]
fn a_smaller_age_lowers_an_offset_to_itself() {
    let mut offset = Offset::default();
    let now_ms = note(&mut offset, NOW_MS, 200.0, [5000.0; 13]);
    note(&mut offset, now_ms, 200.0, [4200.0]);
    assert_eq!(offset.ms(), 4200.0);
}

#[rstest]
#[case::few(&[2000.0; 9])]
#[case::one_is_fresh(&[2000.0, 2000.0, 2000.0, 3.0, 2000.0, 2000.0, 2000.0, 2000.0, 2000.0, 2000.0, 2000.0, 2000.0, 2000.0])]
#[case::little(&[450.0; 40])]
#[case::growing(&[600.0, 700.0, 800.0, 900.0, 1000.0, 1100.0, 1200.0, 1300.0, 1400.0, 1500.0, 1600.0, 1700.0, 1800.0, 1900.0])]
#[case::one_caller_is_ahead(&[5.0, -3000.0, 5.0, -3000.0, 5.0, -3000.0, 5.0, -3000.0, 5.0, -3000.0, 5.0, -3000.0, 5.0])]
fn a_delay_is_not_taken_for_an_offset(#[case] ages_ms: &[f64]) {
    let mut offset = Offset::default();
    note(&mut offset, NOW_MS, 200.0, ages_ms.iter().copied());
    assert_eq!(offset.ms(), 0.0);
}

#[rstest]
fn a_process_that_lags_takes_no_delay_for_an_offset() {
    let mut offset = Offset::default();
    let mut now_ms = NOW_MS;
    for _ in 0..20 {
        now_ms = note(&mut offset, now_ms, 200.0, [2000.0; 8]);
        offset.lagged();
    }
    assert_eq!(offset.ms(), 0.0);
}

proptest! {
    /// Where no clock is off, whatever was read before, and one request of each window had no delay: no due time is late.
    #[test]
    fn no_due_time_is_late_where_no_clock_was_stepped(
        ages in prop::collection::vec(0.0..20_000.0_f64, 1..200),
        gap_ms in 1.0..500.0_f64,
        patience in prop::option::of(1..60_000_u64),
    ) {
        let mut offset = Offset::default();
        let mut now_ms = NOW_MS;
        for (n, age_ms) in ages.iter().enumerate() {
            let age_ms = if n % 5 == 0 { 0.0 } else { *age_ms };
            offset.note(now_ms, age_ms);
            let readings = Readings { wall_ms: now_ms, anchored_ms: now_ms };
            let receipt = receive(now_ms - age_ms, Terms { patience: patience.map(ms), limit: ms(2000) }, readings, offset.ms());
            prop_assert!((receipt.age.as_secs_f64() * 1e3 - age_ms).abs() < 0.01, "{receipt:?} of {age_ms}");
            prop_assert_eq!(receipt.patience, patience.map(ms));
            now_ms += gap_ms;
        }
    }

    /// Whatever the clocks show, nobody has more time than it says, and none of an hour.
    #[test]
    fn no_request_gets_more_time_than_it_says(
        ago_ms in 0.0..20_000.0_f64,
        caller_ms in -2.0 * H..2.0 * H,
        wall_ms in -2.0 * H..2.0 * H,
        offset_ms in -2.0 * H..2.0 * H,
        patience in prop::option::of(1..600_000_u64),
    ) {
        let receipt = received(ago_ms, caller_ms, wall_ms, offset_ms, patience);
        prop_assert!(receipt.patience <= patience.map(ms));
        prop_assert_eq!(receipt.patience.is_none(), patience.is_none());
    }
}

/// A node whose wall clock is off by this from the start on.
fn started_off(offset_ms: i64) -> (Node, FrontEnd) {
    start(offset_ms, |_| {})
}

fn configured(offset_ms: i64) -> Value {
    let mut settings = settings();
    for class in settings["classes"].as_array_mut().expect("a list") {
        class["aim"] = json!(LIMIT_MS as f64 / 2.0);
        class["hard-limit"] = json!(LIMIT_MS);
        class["repeat-window"] = json!(WINDOW_MS);
    }
    // An answer that is nearly due is worth as much here, so requests that have waited are admitted.
    let patient = &mut settings["classes"][1];
    patient["aim"] = json!(LIMIT_MS as f64 * 0.95);
    patient["late-worth"] = json!(1.0);
    let mut config = config(settings);
    config["wall_offset_ms"] = json!(offset_ms);
    config
}

fn start(offset_ms: i64, change: impl Fn(&mut Value)) -> (Node, FrontEnd) {
    let mut config = configured(offset_ms);
    change(&mut config);
    let mut node = Node::launch_as(config, "");
    node.processor.greet("warm");
    node.reported("Ready");
    let front = FrontEnd::connect(&node.resp);
    (node, front)
}

/// Asks as if the request had come to the machine so long ago, by the caller's clock.
fn ask(front: &mut FrontEnd, tag: u64, class: &str, ago_ms: i64, more: &str) -> String {
    let req = try_id(tag);
    front.ask_at(unix_ms().saturating_add_signed(-ago_ms), tag, class, &req, more, b"body");
    req
}

fn served(node: &mut Node, front: &mut FrontEnd, tag: u64, class: &str, more: &str) {
    let req = ask(front, tag, class, 0, more);
    assert_eq!(node.processor.begun(), req);
    node.processor.complete(&req, b"result");
    assert_eq!(front.answer().word, "done");
}

/// Asserts that a request that came so long ago, and runs without an end, is failed when it is due.
fn fails_when_due(node: &mut Node, front: &mut FrontEnd, tag: u64, ago_ms: u64, due_ms: u64) {
    let sent = Instant::now().checked_sub(ms(ago_ms)).expect("a time");
    let req = ask(front, tag, "plate-check", ago_ms as i64, "");
    assert_eq!(node.processor.begun(), req);
    assert_eq!(front.answer().word, "error");
    let took_ms = sent.elapsed().as_millis() as u64;
    assert!((due_ms - AHEAD_MS..due_ms + SEEN_MS).contains(&took_ms), "{took_ms} ms");
    node.processor.end(&req, "failed");
}

#[rstest]
fn due_times_are_kept_where_a_step_comes_before_the_request(
    #[values(3000, -3000, HOUR_MS, -HOUR_MS)] step_ms: i64,
) {
    let (mut node, mut front) = started_off(0);
    served(&mut node, &mut front, 1, "plate-check", "");
    node.step_wall(step_ms);
    served(&mut node, &mut front, 2, "plate-check", "");
    // One that waited comes first: a run that hangs makes the node turn away what has waited.
    fails_when_due(&mut node, &mut front, 3, 500, LIMIT_MS);
    fails_when_due(&mut node, &mut front, 4, 0, LIMIT_MS);
    node.step_wall(0);
    fails_when_due(&mut node, &mut front, 5, 0, LIMIT_MS);
}

#[rstest]
fn due_times_are_kept_where_a_step_comes_into_the_run(
    #[values(3000, -3000, HOUR_MS, -HOUR_MS)] step_ms: i64,
) {
    let (mut node, mut front) = started_off(0);
    let sent = Instant::now();
    let req = ask(&mut front, 1, "plate-check", 0, "");
    assert_eq!(node.processor.begun(), req);
    node.step_wall(step_ms);
    assert_eq!(front.answer().word, "error");
    let took_ms = sent.elapsed().as_millis() as u64;
    assert!((LIMIT_MS - AHEAD_MS..LIMIT_MS + SEEN_MS).contains(&took_ms), "{took_ms} ms");
}

#[rstest]
fn a_request_that_is_held_runs_after_a_step(#[values(3000, -3000, HOUR_MS, -HOUR_MS)] step_ms: i64) {
    let (mut node, mut front) = started_off(0);
    let filling: Vec<String> = (1..=4).map(|tag| ask(&mut front, tag, "history", 0, "")).collect();
    let mut begun = vec![node.processor.begun()];
    let held = ask(&mut front, 9, "pay-session", 0, ",opkey=k,timeout=60000");
    node.step_wall(step_ms);
    let mut ended = 0;
    while !begun.contains(&held) {
        node.processor.end(&begun[ended], "failed");
        ended += 1;
        while begun.len() <= ended {
            begun.push(node.processor.begun());
        }
    }
    node.processor.complete(&held, b"paid");
    let answer = std::iter::from_fn(|| Some(front.answer())).find(|answer| answer.tag == "9");
    assert_eq!(answer.map(|answer| (answer.word, answer.body)), Some(("done".to_owned(), b"paid".to_vec())));
    drop(filling);
}

/// How long after it was sent a keyed request ran again, with a step between its run and its repeats.
fn runs_again_after(step_ms: i64, planted: Option<&str>) -> Duration {
    let (mut node, mut front) = start(0, |config| {
        if let Some(planted) = planted {
            config["planted"] = json!(planted);
        }
    });
    let sent = Instant::now();
    served(&mut node, &mut front, 1, "pay-session", ",opkey=k");
    node.step_wall(step_ms);
    repeats_until_run(&mut node, &mut front, sent)
}

#[rstest]
fn a_keyed_request_runs_once_in_its_window_across_a_step(
    #[values(3000, -3000, HOUR_MS, -HOUR_MS)] step_ms: i64,
) {
    let ran = runs_again_after(step_ms, None);
    assert!(ran > ms(WINDOW_MS), "it ran twice within {ran:?}");
}

#[rstest]
fn a_window_on_wall_time_is_found() {
    for step_ms in [3000, HOUR_MS] {
        let ran = runs_again_after(step_ms, Some("WindowOnWallTime"));
        assert!(ran < ms(WINDOW_MS), "it ran again only after {ran:?}");
    }
}

#[rstest]
fn a_repeat_shares_a_run_that_a_step_came_into(#[values(3000, -3000, HOUR_MS, -HOUR_MS)] step_ms: i64) {
    let (mut node, mut front) = started_off(0);
    let req = ask(&mut front, 1, "pay-session", 0, ",opkey=k");
    assert_eq!(node.processor.begun(), req);
    node.step_wall(step_ms);
    ask(&mut front, 2, "pay-session", 0, ",opkey=k");
    assert_eq!(front.answer_to_status().word, "healthy", "it waits for the run");
    node.processor.complete(&req, b"paid");
    for _ in 0..2 {
        let answer = front.answer();
        assert_eq!((answer.word.as_str(), answer.body.as_slice()), ("done", &b"paid"[..]));
    }
    assert_eq!(node.processor.count("begin"), 0);
}

#[rstest]
fn a_node_that_starts_with_its_clock_off_serves_and_keeps_due_times(
    #[values(5000, -5000, HOUR_MS, -HOUR_MS)] offset_ms: i64,
) {
    let (mut node, mut front) = started_off(offset_ms);
    // Requests tell how far its clock is from theirs.
    let began = Instant::now();
    let (mut tag, mut done) = (10, false);
    // The node goes by what it has read last for a moment longer.
    while !done || !node.has_logged("this node's clock is estimated to be") {
        assert!(began.elapsed() < PATIENCE, "the offset is not found");
        tag += 1;
        let req = ask(&mut front, tag, "history", 0, "");
        // One that looks old may be refused until then.
        loop {
            if node.processor.count("begin") > 0 {
                assert_eq!(node.processor.begun(), req);
                node.processor.complete(&req, b"result");
            }
            if let Some(answer) = front.try_answer_within_ms(20) {
                done = answer.word == "done";
                break;
            }
        }
    }
    served(&mut node, &mut front, 1, "plate-check", "");
    fails_when_due(&mut node, &mut front, 2, 0, LIMIT_MS);
    // One that has waited longer than its caller does is not run.
    ask(&mut front, 3, "plate-check", 2500, ",timeout=500");
    assert_ne!(front.answer().word, "done");
    assert_eq!(node.processor.count("begin"), 0);
}

#[rstest]
fn a_first_request_from_an_hour_away_is_served(#[values(HOUR_MS, -HOUR_MS)] ago_ms: i64) {
    let (mut node, mut front) = started_off(0);
    let req = ask(&mut front, 1, "history", ago_ms, "");
    assert_eq!(node.processor.begun(), req);
    node.processor.complete(&req, b"result");
    assert_eq!(front.answer().word, "done");
    // It is due after the smaller of what it says and the limit.
    for (tag, timeout_ms, due_ms) in [(2, 1000, 1000), (3, 60_000, LIMIT_MS)] {
        let sent = Instant::now();
        let req = ask(&mut front, tag, "history", ago_ms, &format!(",timeout={timeout_ms}"));
        assert_eq!(node.processor.begun(), req);
        assert_eq!(front.answer().word, "error");
        let took_ms = sent.elapsed().as_millis() as u64;
        assert!((due_ms - AHEAD_MS..due_ms + SEEN_MS).contains(&took_ms), "{took_ms} ms");
        node.processor.end(&req, "failed");
    }
}

#[rstest]
fn a_time_that_is_none_fails_its_request_unread(
    #[values("-5", "soon", "NaN", "inf", "", "946684799999", "7258118400000")] ts: &str,
) {
    let (mut node, mut front) = started_off(0);
    let fields = format!("req={},ts={ts},owner=almaty", try_id(1));
    front.send(&[b"ASK", b"1", b"plate-check", fields.as_bytes(), b"body"]);
    assert_eq!(front.answer().word, "error");
    node.logged("1 requests failed on arrival: invalid, or too many open on one connection in the last 5 s");
    assert_eq!(node.processor.count("begin"), 0);
    served(&mut node, &mut front, 2, "plate-check", "");
}

/// A node whose listening socket the platform holds, and a further process of it whose wall clock is off by this.
fn two_processes(offset_ms: i64) -> (Node, Node, FrontEnd) {
    let mut config = configured(0);
    config["stop_ms"] = json!(60_000);
    // On a busy machine it takes seconds to start a process beside this one.
    config["settings"]["classes"][2]["repeat-window"] = json!(HANDED_WINDOW_MS);
    let mut old = Node::launch_held_as(config);
    old.processor.greet("warm");
    old.reported("Ready");
    let mut new = old.successor_at(offset_ms);
    new.processor.greet("warm");
    new.logged("the processor is up");
    old.logged("the next process is there");
    let front = FrontEnd::connect(&old.resp);
    (old, new, front)
}

/// The window of the keyed class where a process follows another, in ms.
const HANDED_WINDOW_MS: u64 = 4000;

#[rstest]
fn a_window_is_handed_to_a_process_with_another_wall_clock(
    #[values(3000, -3000, HOUR_MS, -HOUR_MS)] offset_ms: i64,
) {
    let (mut old, mut new, mut front) = two_processes(offset_ms);
    let sent = Instant::now();
    served(&mut old, &mut front, 1, "pay-session", ",opkey=k");
    old.terminate();
    new.reported("Ready");
    let mut next = FrontEnd::connect(&new.resp);
    // By its callers' clocks, whatever the new process shows.
    let ran = repeats_until_run(&mut new, &mut next, sent);
    assert!(ran > ms(HANDED_WINDOW_MS), "it ran twice within {ran:?}");
    drop((front, next));
}

/// How long after the first try was sent a repeat of it runs again.
fn repeats_until_run(node: &mut Node, front: &mut FrontEnd, sent: Instant) -> Duration {
    for tag in 100.. {
        let asked = Instant::now();
        ask(front, tag, "pay-session", 0, ",opkey=k");
        loop {
            if node.processor.count("begin") > 0 {
                return asked.duration_since(sent);
            }
            if let Some(answer) = front.try_answer_within_ms(10) {
                assert_ne!(answer.word, "later", "no refusal after a run");
                break;
            }
        }
        assert!(sent.elapsed() < SOON, "the window does not end");
    }
    unreachable!("there are tags enough")
}
