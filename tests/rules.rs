//! The four rules of the service, each checked on a single controller.

mod common;

use common::*;
use sillflow::interface::Below;
use sillflow::{Action, Event, Outcome, RequestId, Settings};

#[test]
fn held_requests_are_refused_and_running_ones_fail_before_their_due_time() {
    let mut script = Script::new(settings());
    script.idle(400.0, 1.7);
    for id in 1..=3 {
        script.submit(id, PLAIN);
    }
    let out = script.idle(3100.0, 1.7);
    assert!(failed(&out, 1) && failed(&out, 2), "the two that run are answered with an error");
    assert!(refused(&out, 3) && !failed(&out, 3), "the held one is refused");
}

#[test]
fn failed_request_keeps_its_core_until_its_run_ends() {
    let mut script = Script::new(settings());
    script.submit(1, PLAIN);
    script.submit(2, PLAIN);
    script.idle(3100.0, 1.7);
    let out = script.submit(3, PLAIN);
    assert!(!ran(&out, 3));
    script.done(1.0, 1);
    assert!(ran(&script.submit(4, PLAIN), 4));
}

#[test]
fn request_read_after_its_due_time_is_refused_at_once() {
    let mut script = Script::new(settings());
    let mut late = request(1, PLAIN);
    late.waited_ms = 4000.0;
    assert!(refused(&script.after(1.0, &[Event::Request(late)]), 1));
}

#[test]
fn key_is_retained_for_the_whole_window_from_arrival() {
    let mut script = Script::new(settings());
    let mut keyed = request(1, KEYED);
    keyed.waited_ms = 100.0;
    let out = script.after(1.0, &[Event::Request(keyed)]);
    let retained_ms = out.iter().find_map(|action| match action {
        Action::Keep { id, for_ms } if id.0 == 1 => Some(*for_ms),
        _ => None,
    });
    assert!(retained_ms.is_some_and(|ms| ms >= 4900.0), "{retained_ms:?}");
}

#[test]
fn repeat_of_a_keyed_run_reuses_it_and_is_never_run_or_refused() {
    let mut script = Script::new(settings());
    assert!(ran(&script.submit(1, KEYED), 1));
    let mut repeat = request(2, KEYED);
    repeat.earlier = Some(RequestId(1));
    let out = script.after(50.0, &[Event::Request(repeat.clone())]);
    assert!(out.contains(&Action::Reuse(RequestId(2))));
    let out = script.idle(3100.0, 0.5);
    assert!(failed(&out, 2) && !refused(&out, 2) && !ran(&out, 2));
    script.after(1.0, &[Event::Done { id: RequestId(1), outcome: Outcome::Error, took_ms: 1.0 }]);
    repeat.id = RequestId(3);
    assert!(failed(&script.after(1.0, &[Event::Request(repeat)]), 3), "its run has failed");
}

#[test]
fn of_two_keyed_tries_in_one_batch_only_one_runs() {
    let mut script = Script::new(settings());
    let (mut a, mut b) = (request(1, KEYED), request(2, KEYED));
    (a.earlier, b.earlier) = (Some(RequestId(2)), Some(RequestId(1)));
    let out = script.after(1.0, &[Event::Request(a), Event::Request(b)]);
    assert_eq!(out.iter().filter(|action| matches!(action, Action::Run(_))).count(), 1);
    assert!(refused(&out, 1) && ran(&out, 2));
}

#[test]
fn call_is_retried_only_if_it_never_ran_or_is_safe() {
    for (class, outcome, retried) in [
        (KEYED, Outcome::Full, true),
        (KEYED, Outcome::Timeout, false),
        (KEYED, Outcome::Reset, false),
        (PLAIN, Outcome::Reset, true),
    ] {
        let mut script = Script::new(settings());
        script.submit(1, class);
        let calls = |out: &[Action]| out.iter().any(|action| matches!(action, Action::Call { .. }));
        assert!(calls(&script.after(10.0, &[Event::Needs(RequestId(1))])));
        let out = script.after(10.0, &[Event::Called { id: RequestId(1), outcome, took_ms: 10.0 }]);
        assert_eq!((calls(&out), failed(&out, 1)), (retried, !retried), "{class} {outcome:?}");
    }
}

#[test]
fn keyed_run_that_never_started_is_forgotten() {
    let mut script = Script::new(settings());
    script.submit(1, KEYED);
    let out = script.after(1.0, &[Event::Done { id: RequestId(1), outcome: Outcome::Moot, took_ms: 0.0 }]);
    assert!(out.contains(&Action::Forget(RequestId(1))));
}

#[test]
fn drain_runs_nothing_that_arrives_after_the_grace_period_and_answers_everything() {
    let mut script = Script::new(settings());
    script.submit(1, PLAIN);
    let stop_at = script.now + 2500.0;
    let out = script.after(0.0, &[Event::Drain { stop_at }]);
    assert!(out.contains(&Action::Health { good: false }));
    assert!(ran(&script.submit(2, PLAIN), 2), "within the grace period");
    script.done(1.0, 2);
    script.idle(900.0, 0.5);
    assert!(ran(&script.submit(4, PLAIN), 4), "due after the stop, read before it");
    script.idle(200.0, 0.5);
    assert!(refused(&script.submit(3, PLAIN), 3), "after the grace period");
    let mut out = Vec::new();
    while script.now < stop_at - 20.0 {
        out.extend(script.idle(20.0, 0.5));
    }
    assert!(failed(&out, 1) && failed(&out, 4));
}

#[test]
fn memory_limit_refuses_requests() {
    let mut script = Script::new(Settings { memory_kb: 100.0, ..settings() });
    let first = script.submit(1, PLAIN);
    let second = script.submit(2, PLAIN);
    let third = script.submit(3, PLAIN);
    assert!(ran(&first, 1) && ran(&second, 2));
    assert!(refused(&third, 3), "two runs fill 80 of 100 kB");
}

#[test]
fn calls_in_flight_stay_within_the_share_and_lingering_ones_count() {
    let below = Below::Shared { share: 1.9, span_ms: 5000.0, linger_ms: 200.0 };
    let mut script = Script::new(Settings { below, ..settings() });
    let calls = |out: &[Action]| out.iter().filter(|action| matches!(action, Action::Call { .. })).count();
    script.submit(1, KEYED);
    assert_eq!(calls(&script.after(1.0, &[Event::Needs(RequestId(1))])), 1);
    script.submit(2, SAFE);
    let timeout = Event::Called { id: RequestId(1), outcome: Outcome::Timeout, took_ms: 1.0 };
    assert_eq!(calls(&script.after(1.0, &[Event::Needs(RequestId(2)), timeout])), 0, "it may linger");
    assert_eq!(calls(&script.after(210.0, &[])), 1);
}

#[test]
fn call_with_a_broken_connection_counts_until_its_linger_time_ends() {
    // A broken connection proves nothing: the dependency may still work on the call.
    let below = Below::Shared { share: 1.9, span_ms: 5000.0, linger_ms: 200.0 };
    let mut script = Script::new(Settings { below, ..settings() });
    let calls = |out: &[Action]| out.iter().filter(|action| matches!(action, Action::Call { .. })).count();
    script.submit(1, KEYED);
    assert_eq!(calls(&script.after(1.0, &[Event::Needs(RequestId(1))])), 1);
    script.submit(2, SAFE);
    let reset = Event::Called { id: RequestId(1), outcome: Outcome::Reset, took_ms: 1.0 };
    assert_eq!(calls(&script.after(1.0, &[Event::Needs(RequestId(2)), reset])), 0, "it may linger");
    assert_eq!(calls(&script.after(210.0, &[])), 1);
}

#[test]
fn call_may_be_repeated_only_if_the_share_allows_two() {
    for (share, allowed) in [(0.8, false), (1.9, false), (2.9, true)] {
        let below = Below::Shared { share, span_ms: 5000.0, linger_ms: 200.0 };
        let mut script = Script::new(Settings { below, ..settings() });
        script.submit(1, SAFE);
        script.after(1.0, &[Event::Needs(RequestId(1))]);
        assert_eq!(script.controller.can_repeat_call(), allowed, "a share of {share}");
    }
}

#[test]
fn repeated_call_counts_twice_until_the_linger_time_of_the_first_ends() {
    let below = Below::Shared { share: 2.9, span_ms: 5000.0, linger_ms: 200.0 };
    let mut script = Script::new(Settings { below, ..settings() });
    let calls = |out: &[Action]| out.iter().filter(|action| matches!(action, Action::Call { .. })).count();
    script.submit(1, KEYED);
    assert_eq!(calls(&script.after(1.0, &[Event::Needs(RequestId(1))])), 1);
    script.submit(2, SAFE);
    let repeated = Event::CallRepeated(RequestId(1));
    assert_eq!(calls(&script.after(1.0, &[repeated, Event::Needs(RequestId(2))])), 0);
    assert_eq!(calls(&script.after(210.0, &[])), 1);
}

#[test]
fn run_frees_the_memory_that_it_booked_after_a_settings_change() {
    let mut script = Script::new(settings());
    assert!(ran(&script.submit(1, PLAIN), 1) && ran(&script.submit(2, PLAIN), 2));
    let booked = script.controller.booked_kb();
    script
        .controller
        .update_settings(Settings { run_factor: 8.0, ..settings() })
        .expect("the settings are valid");
    script.done(1.0, 1);
    assert!(script.controller.booked_kb() >= booked / 2.0, "{} kB", script.controller.booked_kb());
    script
        .controller
        .update_settings(Settings { run_factor: 2.0, ..settings() })
        .expect("the settings are valid");
    assert!(script.controller.booked_kb() >= booked / 2.0, "it keeps what it has booked");
    script.submit(3, PLAIN);
    script.done(1.0, 2);
    assert!(script.controller.booked_kb() <= booked / 2.0, "{} kB", script.controller.booked_kb());
}

#[test]
fn cold_server_runs_fewer_requests_at_once() {
    let started_runs = |cold| {
        let mut script = Script::new(Settings { cold, memory_kb: 0.0, fall_multiple: 8.0, ..settings() });
        let mut running = 0;
        for id in 0..40 {
            running += usize::from(ran(&script.submit(id, PLAIN), id));
            let out = script.idle(20.0, 0.5);
            running += (0..40).filter(|id| ran(&out, *id)).count();
        }
        running
    };
    assert!(started_runs(true) < started_runs(false));
    assert!(started_runs(true) as f64 <= 2.0 * (1.0 + 7.0 * 0.3));
}
