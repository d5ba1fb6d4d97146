//! The four rules, each kept by one controller on its own.

mod common;

use common::*;
use sillflow::interface::Below;
use sillflow::{Action, Event, Outcome, RequestId, Settings};

#[test]
fn what_never_ran_is_refused_and_what_runs_is_failed_before_it_is_due() {
    let mut script = Script::new(settings());
    script.idle(400.0, 1.7);
    for id in 1..=3 {
        script.submit(id, PLAIN);
    }
    let out = script.idle(3100.0, 1.7);
    assert!(failed(&out, 1) && failed(&out, 2), "the two that run are answered with an error");
    assert!(refused(&out, 3) && !failed(&out, 3), "the held one is turned away");
}

#[test]
fn a_failed_run_keeps_its_core_until_it_is_done() {
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
fn one_past_its_due_time_when_read_is_answered_at_once() {
    let mut script = Script::new(settings());
    let mut late = request(1, PLAIN);
    late.waited_ms = 4000.0;
    assert!(refused(&script.after(1.0, &[Event::Request(late)]), 1));
}

#[test]
fn a_keyed_request_is_kept_for_its_whole_window_from_its_arrival() {
    let mut script = Script::new(settings());
    let mut keyed = request(1, KEYED);
    keyed.waited_ms = 100.0;
    let out = script.after(1.0, &[Event::Request(keyed)]);
    let kept = out.iter().find_map(|action| match action {
        Action::Keep { id, for_ms } if id.0 == 1 => Some(*for_ms),
        _ => None,
    });
    assert!(kept.is_some_and(|ms| ms >= 4900.0), "{kept:?}");
}

#[test]
fn a_repeat_of_a_keyed_run_is_reused_and_never_run_or_refused() {
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
    assert!(failed(&script.after(1.0, &[Event::Request(repeat)]), 3), "its run is known to have failed");
}

#[test]
fn of_two_keyed_twins_in_one_batch_one_runs() {
    let mut script = Script::new(settings());
    let (mut a, mut b) = (request(1, KEYED), request(2, KEYED));
    (a.earlier, b.earlier) = (Some(RequestId(2)), Some(RequestId(1)));
    let out = script.after(1.0, &[Event::Request(a), Event::Request(b)]);
    assert_eq!(out.iter().filter(|action| matches!(action, Action::Run(_))).count(), 1);
    assert!(refused(&out, 1) && ran(&out, 2));
}

#[test]
fn a_call_is_repeated_only_after_proof_that_it_never_ran_or_where_that_is_safe() {
    for (class, outcome, again) in [
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
        assert_eq!((calls(&out), failed(&out, 1)), (again, !again), "{class} {outcome:?}");
    }
}

#[test]
fn a_keyed_run_that_never_began_leaves_the_table() {
    let mut script = Script::new(settings());
    script.submit(1, KEYED);
    let out = script.after(1.0, &[Event::Done { id: RequestId(1), outcome: Outcome::Moot, took_ms: 0.0 }]);
    assert!(out.contains(&Action::Forget(RequestId(1))));
}

#[test]
fn a_drain_runs_nothing_that_arrives_after_the_grace_and_answers_all() {
    let mut script = Script::new(settings());
    script.submit(1, PLAIN);
    let stop_at = script.now + 2500.0;
    let out = script.after(0.0, &[Event::Drain { stop_at }]);
    assert!(out.contains(&Action::Health { good: false }));
    assert!(ran(&script.submit(2, PLAIN), 2), "within the grace");
    script.done(1.0, 2);
    script.idle(900.0, 0.5);
    assert!(ran(&script.submit(4, PLAIN), 4), "due after the stop, read before it");
    script.idle(200.0, 0.5);
    assert!(refused(&script.submit(3, PLAIN), 3), "after the grace");
    let mut out = Vec::new();
    while script.now < stop_at - 20.0 {
        out.extend(script.idle(20.0, 0.5));
    }
    assert!(failed(&out, 1) && failed(&out, 4));
}

#[test]
fn memory_holds_runs_back_and_turns_requests_away() {
    let mut script = Script::new(Settings { memory_kb: 100.0, ..settings() });
    let first = script.submit(1, PLAIN);
    let second = script.submit(2, PLAIN);
    let third = script.submit(3, PLAIN);
    assert!(ran(&first, 1) && ran(&second, 2));
    assert!(refused(&third, 3), "two runs fill 80 of 100 kB");
}

#[test]
fn calls_in_hand_stay_within_the_told_share_and_lingering_ones_count() {
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
fn a_call_that_broke_off_counts_until_it_cannot_linger_any_more() {
    // A connection that breaks proves nothing: the call may be in the dependency's hands still.
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
fn a_call_is_made_again_only_where_the_share_has_room_for_two() {
    for (share, room) in [(0.8, false), (1.9, false), (2.9, true)] {
        let below = Below::Shared { share, span_ms: 5000.0, linger_ms: 200.0 };
        let mut script = Script::new(Settings { below, ..settings() });
        script.submit(1, SAFE);
        script.after(1.0, &[Event::Needs(RequestId(1))]);
        assert_eq!(script.controller.can_repeat_call(), room, "a share of {share}");
    }
}

#[test]
fn a_call_that_was_made_again_counts_twice_until_the_first_cannot_linger_any_more() {
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
fn a_run_gives_back_the_memory_that_it_booked_whatever_new_settings_say() {
    let mut script = Script::new(settings());
    assert!(ran(&script.submit(1, PLAIN), 1) && ran(&script.submit(2, PLAIN), 2));
    let booked = script.controller.booked_kb();
    script
        .controller
        .update_settings(Settings { run_factor: 8.0, ..settings() })
        .expect("settings make sense");
    script.done(1.0, 1);
    assert!(script.controller.booked_kb() >= booked / 2.0, "{} kB", script.controller.booked_kb());
    script
        .controller
        .update_settings(Settings { run_factor: 2.0, ..settings() })
        .expect("settings make sense");
    assert!(script.controller.booked_kb() >= booked / 2.0, "it runs on with what it has taken");
    script.submit(3, PLAIN);
    script.done(1.0, 2);
    assert!(script.controller.booked_kb() <= booked / 2.0, "{} kB", script.controller.booked_kb());
}

#[test]
fn a_cold_server_runs_fewer_at_once() {
    let crowd = |cold| {
        let mut script = Script::new(Settings { cold, memory_kb: 0.0, fall_multiple: 8.0, ..settings() });
        let mut running = 0;
        for id in 0..40 {
            running += usize::from(ran(&script.submit(id, PLAIN), id));
            let out = script.idle(20.0, 0.5);
            running += (0..40).filter(|id| ran(&out, *id)).count();
        }
        running
    };
    assert!(crowd(true) < crowd(false));
    assert!(crowd(true) as f64 <= 2.0 * (1.0 + 7.0 * 0.3));
}
