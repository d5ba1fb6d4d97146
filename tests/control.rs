//! The controller without faults: dimmer, admission, run limit, call limit and their safeguards.

mod common;

use common::*;
use sillflow::interface::{Below, Class, Effect, SayKind, Tenant};
use sillflow::{Action, Controller, Event, Outcome, RequestId, Settings};

fn calls(out: &[Action]) -> usize {
    out.iter().filter(|action| matches!(action, Action::Call { .. })).count()
}

/// Submits request `id` and ends its run `took_ms` later.
fn run_to_end(script: &mut Script, id: u32, class: usize, took_ms: f64) {
    script.submit(id, class);
    script.idle(took_ms, 1.7);
    script.done(0.0, id);
}

#[test]
fn dimmer_steps_by_error_over_gain_and_falls_only_under_pressure() {
    let mut script = Script::new(Settings { below: Below::Tier, ..settings() });
    run_to_end(&mut script, 1, PLAIN, 1500.0);
    script.idle(500.0, 0.3);
    assert_eq!(
        script.controller.dimmer(),
        1.0,
        "late answers alone do not lower the dimmer: no core is busy, no work is held"
    );
    run_to_end(&mut script, 2, PLAIN, 1500.0);
    let before = script.controller.dimmer();
    script.idle(500.0, 1.7);
    let fall = before - script.controller.dimmer();
    assert!((0.005..0.15).contains(&fall), "one clamped step of 0.1 / gain * -0.5: {fall}");
}

#[test]
fn new_settings_apply_and_learned_values_stay() {
    let mut script = Script::new(settings());
    for id in 1..40 {
        run_to_end(&mut script, id, PLAIN, 900.0);
    }
    script.submit(50, PLAIN);
    let added = Class { aim_ms: 500.0, deadline_ms: 800.0, worth: 9.0, ..Class::default() };
    let mut other = settings();
    other.classes[SAFE].retired = true;
    other.classes.push(added);
    script.controller.update_settings(other.clone()).expect("the settings are valid");
    assert!(ran(&script.submit(51, 3), 51), "the added class runs");
    other.classes.truncate(2);
    assert!(script.controller.update_settings(other).is_err(), "open requests would lose their class");
    // Two run and one is held: by the learned run time, another request would wait too long.
    script.submit(52, PLAIN);
    assert!(refused(&script.submit(53, PLAIN), 53));
    script.done(100.0, 50);
    assert!(failed(&script.idle(800.0, 1.7), 51), "it has its own deadline");
}

#[test]
fn dimmer_is_clamped_and_recovers_after_a_stall() {
    let mut script = Script::new(Settings { below: Below::Tier, ..settings() });
    for id in 1..40 {
        run_to_end(&mut script, id, PLAIN, 2800.0);
    }
    let low = script.controller.dimmer();
    assert!((0.0..0.5).contains(&low), "{low}");
    for id in 100..125 {
        run_to_end(&mut script, id, PLAIN, 100.0);
        script.idle(200.0, 0.3);
    }
    assert!(script.controller.dimmer() > 0.9, "a large gain estimate must not slow down recovery");
}

#[test]
fn stall_does_not_raise_the_gain_above_its_bound() {
    let mut script = Script::new(Settings { below: Below::Tier, ..settings() });
    for id in 1..60 {
        run_to_end(&mut script, id, PLAIN, 2800.0);
    }
    let low = script.controller.dimmer();
    for id in 100..104 {
        run_to_end(&mut script, id, PLAIN, 100.0);
        script.idle(400.0, 1.7);
    }
    let risen = script.controller.dimmer() - low;
    assert!(risen > 0.015, "under pressure, two seconds after the stall: {risen}");
}

#[test]
fn empty_windows_do_not_change_the_dimmer() {
    let mut script = Script::new(settings());
    script.idle(5000.0, 1.7);
    assert_eq!(script.controller.dimmer(), 1.0);
}

#[test]
fn request_predicted_late_is_refused_on_arrival_while_work_is_held() {
    let mut script = Script::new(settings());
    for id in 1..6 {
        run_to_end(&mut script, id, PLAIN, 400.0);
    }
    let mut refusals = 0;
    for id in 10..30 {
        refusals += usize::from(refused(&script.submit(id, PLAIN), id));
    }
    assert!((8..18).contains(&refusals), "about five times 400 ms on two cores fit into the aim: {refusals}");
}

#[test]
fn requests_of_more_worth_may_wait_longer() {
    let admitted = |class| {
        let mut script = Script::new(settings());
        (10..40).filter(|id| !refused(&script.submit(*id, class), *id)).count()
    };
    assert!(admitted(KEYED) > admitted(PLAIN));
}

#[test]
fn unread_requests_count_as_held_work() {
    let mut script = Script::new(settings());
    let mut last = Vec::new();
    for id in 1..30 {
        let mut late = request(id, PLAIN);
        late.waited_ms = 1100.0;
        late.further = true;
        last = script.after(1.0, &[Event::Request(late)]);
        script.done(1.0, id);
    }
    let advice = last.iter().find_map(|action| match action {
        Action::Refuse { stay_away_ms, last, .. } => Some((*stay_away_ms, *last)),
        _ => None,
    });
    assert!(advice.is_some_and(|(ms, last)| ms > 300.0 && last), "{advice:?}");
}

#[test]
fn run_limit_rises_while_cores_idle_and_stays_under_the_survivable_concurrency() {
    let mut script = Script::new(Settings { memory_kb: 0.0, ..settings() });
    let mut running = 0;
    for id in 0..60 {
        running += usize::from(ran(&script.submit(id, KEYED), id));
        let out = script.idle(20.0, 0.5);
        running += (0..60).filter(|id| ran(&out, *id)).count();
    }
    assert!(
        (3..=8).contains(&running),
        "above the two cores, below 0.8 of the ten runs they survive: {running}"
    );
}

#[test]
fn requests_parked_at_calls_do_not_lower_the_run_limit() {
    // Two requests at calls reach the limit on parked ones; with idle cores and held work the run limit must still rise.
    let below = Below::Tier;
    let mut script = Script::new(Settings { below, ..settings() });
    for id in 1..=2 {
        script.submit(id, KEYED);
        script.after(1.0, &[Event::Needs(RequestId(id))]);
    }
    let out = script.submit(3, KEYED);
    assert!(!ran(&out, 3));
    assert!(ran(&script.idle(400.0, 0.2), 3));
}

#[test]
fn slow_calls_lower_the_call_limit_and_the_dimmer() {
    let below = Below::Shared { share: 8.0, span_ms: 5000.0, linger_ms: 200.0 };
    let mut script = Script::new(Settings { below, cores: 8, memory_kb: 0.0, ..settings() });
    let one_call = |script: &mut Script, id: u32, took_ms: f64| {
        script.submit(id, KEYED);
        script.after(1.0, &[Event::Needs(RequestId(id))]);
        script.after(1.0, &[Event::Called { id: RequestId(id), outcome: Outcome::Ok, took_ms }]);
        script.done(1.0, id);
    };
    (1..40).for_each(|id| one_call(&mut script, id, 50.0));
    (40..120).for_each(|id| one_call(&mut script, id, 300.0));
    let mut placed = 0;
    for id in 200..208 {
        script.submit(id, KEYED);
        placed += calls(&script.after(1.0, &[Event::Needs(RequestId(id))]));
    }
    assert!(placed < 4, "the share is 8, but the dependency is congested: {placed}");
    script.idle(600.0, 0.3);
    let before = script.controller.dimmer();
    one_call(&mut script, 300, 300.0);
    script.done(0.0, 200);
    script.idle(600.0, 0.3);
    assert!(script.controller.dimmer() < before, "calls wait for the call budget");
}

#[test]
fn optional_call_that_cannot_start_is_skipped_in_time() {
    let below = Below::Shared { share: 1.5, span_ms: 5000.0, linger_ms: 200.0 };
    let mut script = Script::new(Settings { below, ..settings() });
    script.submit(1, KEYED);
    script.after(1.0, &[Event::Needs(RequestId(1))]);
    script.submit(2, SAFE);
    script.after(1.0, &[Event::Needs(RequestId(2))]);
    let out = script.idle(600.0, 0.5);
    assert!(out.contains(&Action::Skip(RequestId(2))));
    assert!(!out.contains(&Action::Skip(RequestId(1))), "without its call it would have no worth");
}

#[test]
fn share_below_one_is_kept_as_a_mean() {
    let below = Below::Shared { share: 0.2, span_ms: 5000.0, linger_ms: 200.0 };
    let mut script = Script::new(Settings { below, ..settings() });
    let mut in_hand_ms = 0.0;
    for id in 0..300 {
        script.submit(id, KEYED);
        let out = script.after(1.0, &[Event::Needs(RequestId(id))]);
        if calls(&out) == 1 {
            script.idle(100.0, 0.5);
            in_hand_ms += 100.0;
            script.after(1.0, &[Event::Called { id: RequestId(id), outcome: Outcome::Ok, took_ms: 100.0 }]);
        } else {
            script.after(50.0, &[]);
        }
        script.done(1.0, id);
    }
    let mean = in_hand_ms / (script.now - 10_000.0);
    assert!(in_hand_ms > 0.0 && mean <= 0.2, "{mean}");
}

#[test]
fn tenant_above_its_quota_is_refused_first() {
    let tenants = vec![Tenant { quota_per_s: 4.0 }, Tenant { quota_per_s: 4000.0 }];
    let mut script = Script::new(Settings { tenants, over_share_worth: 0.1, ..settings() });
    let mut refusals = [0, 0];
    for id in 0..400 {
        let tenant = (id % 2) as usize;
        let mut request = request(id, PLAIN);
        request.tenant = tenant;
        refusals[tenant] += usize::from(refused(&script.after(10.0, &[Event::Request(request)]), id));
        if id % 4 == 0 {
            script.done(1.0, id);
        }
    }
    assert!(refusals[0] > refusals[1], "{refusals:?}");
}

#[test]
fn fresh_reads_share_a_run() {
    let mut script = Script::new(Settings { fresh_ms: 200.0, ..settings() });
    let mut read = request(1, PLAIN);
    read.key = Some(9);
    let out = script.after(1.0, &[Event::Request(read)]);
    assert!(out.iter().any(|action| matches!(action, Action::Keep { id: RequestId(1), .. })));
    let mut same = request(2, PLAIN);
    same.earlier = Some(RequestId(1));
    assert!(script.after(5.0, &[Event::Request(same)]).contains(&Action::Reuse(RequestId(2))));
}

#[test]
fn class_that_is_refused_most_is_ranked_higher() {
    let mut script = Script::new(Settings { below: Below::Nothing, ..settings() });
    let (mut running, mut runs) = (Vec::new(), [0, 0, 0]);
    for round in 0..200 {
        // Load is twice the capacity of one run per 100 ms; the class of three times the worth could fill the server alone.
        let mut out = script.submit(2 * round + 1, SAFE);
        out.extend(script.submit(2 * round + 2, KEYED));
        if !running.is_empty() {
            out.extend(script.done(98.0, running.remove(0)));
        }
        out.extend(script.idle(20.0, 1.0));
        for action in out {
            if let Action::Run(RequestId(id)) = action {
                running.push(id);
                runs[if id % 2 == 1 { SAFE } else { KEYED }] += 1;
            }
        }
    }
    assert!(runs[SAFE] >= 15 && runs[KEYED] > 2 * runs[SAFE], "{runs:?}");
}

#[test]
fn refused_callers_may_try_other_servers_while_retries_are_rare() {
    let last_refusals = |further| {
        let mut script = Script::new(settings());
        let mut out = Vec::new();
        for id in 0..40 {
            let request = sillflow::interface::Request { further, ..request(id, PLAIN) };
            out.extend(script.after(5.0, &[Event::Request(request)]));
        }
        out.iter().filter(|action| matches!(action, Action::Refuse { last: true, .. })).count()
    };
    assert_eq!(last_refusals(false), 0, "the rest of the fleet has capacity");
    assert!(last_refusals(true) > 5);
    let mut script = Script::new(Settings { marks_further: false, ..settings() });
    let mut lasts = Vec::new();
    for id in 0..60 {
        let out = script.submit(id, PLAIN);
        let is_last = |action: &Action| matches!(action, Action::Refuse { last: true, .. });
        lasts.extend(refused(&out, id).then(|| out.iter().any(is_last)));
    }
    assert!(
        !lasts[0] && lasts.last() == Some(&true),
        "retries are not marked and nearly all requests are refused: {lasts:?}"
    );
}

#[test]
fn idle_connections_are_closed_early_only_if_callers_outnumber_them() {
    let idle_time_after = |callers| {
        let mut script = Script::new(Settings { callers, idle_ms: 30_000.0, ..settings() });
        let mut longest = Vec::new();
        for id in 0..40 {
            script.submit(id, PLAIN);
            script.done(1.0, id);
            longest.extend(script.idle(100.0, 1.5).into_iter().filter_map(|action| match action {
                Action::CloseIdle { after_ms } => Some(after_ms),
                _ => None,
            }));
        }
        longest.last().copied()
    };
    assert_eq!(idle_time_after(4), None);
    assert_eq!(idle_time_after(30), Some(30_000.0), "each of thirty returns within three seconds");
    let after_ms = idle_time_after(1000).expect("a thousand callers exceed the connections");
    assert!((500.0..1500.0).contains(&after_ms), "6 connections at nearly 10 a second: {after_ms}");
}

/// Sends forty first tries with a caller timeout of `timeout_ms`, so that this timeout is known.
fn with_caller_timeout(settings: Settings, timeout_ms: f64) -> Script {
    let mut script = Script::new(settings);
    for id in 1000..1040 {
        let due = Some(script.now + 10.0 + timeout_ms);
        script.after(10.0, &[Event::Request(sillflow::interface::Request { due, ..request(id, PLAIN) })]);
        script.done(150.0, id);
    }
    script
}

#[test]
fn unmarked_retries_are_recognized_by_the_time_they_have_left() {
    let last_refusals = |left: f64, spread: f64| {
        let mut script = with_caller_timeout(settings(), 2000.0);
        let mut out = Vec::new();
        for id in 1..40 {
            let due = Some(script.now + 5.0 + left - spread * f64::from(id));
            let request = sillflow::interface::Request { due, ..request(id, PLAIN) };
            out.extend(script.after(5.0, &[Event::Request(request)]));
        }
        out.iter().filter(|action| matches!(action, Action::Refuse { last: true, .. })).count()
    };
    assert_eq!(last_refusals(2000.0, 0.0), 0, "first tries with the whole timeout of their callers");
    assert_eq!(last_refusals(2900.0, 20.0), 0, "more time left than any known timeout says nothing");
    let retries = last_refusals(1990.0, 40.0);
    assert!(retries >= 15, "tries at other servers arrive with the remaining time: {retries}");
}

#[test]
fn aim_counts_from_the_first_try() {
    let mut script = with_caller_timeout(settings(), 2000.0);
    script.submit(1, PLAIN);
    script.submit(2, PLAIN);
    script.submit(3, PLAIN);
    let try_with =
        |id, left, now| sillflow::interface::Request { due: Some(now + left), ..request(id, PLAIN) };
    let aged = try_with(4, 900.0, script.now);
    assert!(refused(&script.after(0.0, &[Event::Request(aged)]), 4), "1.1 s of an aim of 1 s have passed");
    let first = try_with(5, 2000.0, script.now);
    assert!(!refused(&script.after(0.0, &[Event::Request(first)]), 5));
}

#[test]
fn retries_do_not_count_towards_a_tenant_quota() {
    let tenants = vec![Tenant { quota_per_s: 4.0 }];
    let refusals = |further| {
        let set = Settings { tenants: tenants.clone(), over_share_worth: 0.05, ..settings() };
        let mut script = Script::new(set);
        for id in 1000..1200 {
            let due = Some(script.now);
            let past = sillflow::interface::Request { further, due, ..request(id, PLAIN) };
            assert!(refused(&script.after(10.0, &[Event::Request(past)]), id));
        }
        (1..7).filter(|id| refused(&script.submit(*id, PLAIN), *id)).count()
    };
    assert!(refusals(true) < refusals(false), "{} {}", refusals(true), refusals(false));
}

#[test]
fn predicted_wait_counts_only_work_ahead_or_of_higher_priority() {
    let mut classes = settings().classes;
    classes[SAFE] = Class { aim_ms: 6000.0, deadline_ms: 9000.0, worth: 1.0, ..Class::default() };
    let mut script = Script::new(Settings { classes, memory_kb: 0.0, ..settings() });
    (1..6).for_each(|id| assert!(!refused(&script.submit(id, SAFE), id)));
    assert!(!refused(&script.submit(20, PLAIN), 20), "it runs before three requests with later aims");
    assert!(!refused(&script.submit(21, KEYED), 21));
}

#[test]
fn held_request_that_would_be_late_is_refused_at_once() {
    let mut script = Script::new(settings());
    for id in 1..=3 {
        script.submit(id, KEYED);
    }
    let out = script.idle(1000.0, 1.7);
    assert!(refused(&out, 3) && !failed(&out, 1), "its aim is 1 s, its deadline 3 s");
}

#[test]
fn held_request_of_more_worth_may_start_later() {
    // Runs are expected to take 150 ms; 115 ms are left to the aim.
    let given_up = |class| {
        let mut set = settings();
        set.classes[KEYED].calls = false;
        let mut script = Script::new(set);
        script.submit(1, KEYED);
        script.submit(2, KEYED);
        script.submit(3, class);
        refused(&script.after(885.0, &[]), 3)
    };
    assert!(!given_up(KEYED), "three times the worth: it may lack 0.3 of its run time");
    assert!(given_up(PLAIN), "it may lack 0.17 of its run time");
}

#[test]
fn held_request_of_more_worth_runs_first() {
    let mut script = Script::new(settings());
    script.submit(1, KEYED);
    script.submit(2, KEYED);
    script.submit(3, PLAIN);
    script.submit(4, KEYED);
    let out = script.done(1.0, 1);
    assert!(ran(&out, 4) && !ran(&out, 3));
}

#[test]
fn unread_time_of_a_past_pause_is_soon_forgotten() {
    let mut script = Script::new(settings());
    for id in 1..20 {
        script.after(
            5.0,
            &[Event::Request(sillflow::interface::Request { waited_ms: 900.0, ..request(id, KEYED) })],
        );
        script.done(1.0, id);
    }
    for id in 20..26 {
        script.submit(id, PLAIN);
        script.done(1.0, id);
    }
    assert!(ran(&script.submit(30, PLAIN), 30), "six arrivals were read without a wait, and no work is held");
}

#[test]
fn request_whose_call_would_be_late_fails_at_once() {
    let below = Below::Shared { share: 1.0, span_ms: 5000.0, linger_ms: 200.0 };
    let mut script = Script::new(Settings { below, ..settings() });
    script.submit(1, KEYED);
    script.after(1.0, &[Event::Needs(RequestId(1))]);
    script.after(900.0, &[Event::Called { id: RequestId(1), outcome: Outcome::Ok, took_ms: 900.0 }]);
    script.done(1.0, 1);
    script.submit(2, KEYED);
    script.submit(3, KEYED);
    script.after(1.0, &[Event::Needs(RequestId(2)), Event::Needs(RequestId(3))]);
    assert!(failed(&script.idle(2300.0, 0.5), 3), "a call takes 0.9 s, 0.7 s are left");
}

#[test]
fn credit_is_at_least_one_with_any_number_of_callers() {
    let credit = |callers| {
        let mut script = Script::new(Settings { say: SayKind::Credit, callers, ..settings() });
        script.idle(600.0, 0.5).into_iter().find_map(|action| match action {
            Action::Say(value) => Some(value),
            _ => None,
        })
    };
    assert_eq!(credit(1000), Some(1.0));
    assert!(credit(2).is_some_and(|credit| credit >= 2.0));
}

/// The last load signal in these actions.
fn last_signal(out: &[Action]) -> f64 {
    let signal = |action: &Action| if let Action::Say(value) = action { Some(*value) } else { None };
    out.iter().filter_map(signal).next_back().expect("a load signal")
}

#[test]
fn credit_follows_what_can_run_in_time_and_refusals_do_not_lower_it() {
    let credit = || Settings { say: SayKind::Credit, callers: 2, ..settings() };
    let mut script = Script::new(credit());
    for id in 1..60 {
        run_to_end(&mut script, id, PLAIN, 100.0);
    }
    let quick = last_signal(&script.idle(600.0, 0.5));
    // Two cores and aims of 1,000 ms; classes that did not run count with their initial estimate of 150 ms.
    assert!(
        (10.0..=30.0).contains(&quick),
        "about 2 x (1 + 1000 / 133) requests for two uneven callers: {quick}"
    );
    let mut refusals = 0;
    for id in 100..160 {
        refusals += usize::from(refused(&script.submit(id, PLAIN), id));
    }
    let full = last_signal(&script.idle(600.0, 1.3));
    assert!(refusals > 20, "{refusals}");
    assert!(full >= 0.9 * quick, "refused requests use no capacity: {full} of {quick}");

    let mut slow = Script::new(credit());
    for id in 1..60 {
        run_to_end(&mut slow, id, PLAIN, 900.0);
    }
    let slow_credit = last_signal(&slow.idle(600.0, 0.5));
    assert!(slow_credit < 0.7 * quick, "with long runs fewer requests can wait: {slow_credit} of {quick}");

    let cold = last_signal(&Script::new(Settings { cold: true, ..credit() }).idle(600.0, 0.5));
    let warm = last_signal(&Script::new(credit()).idle(600.0, 0.5));
    assert!(cold < 0.4 * warm, "a cold server has less credit: {cold} of {warm}");
    let stop_at = script.now + 5000.0;
    assert_eq!(last_signal(&script.after(1.0, &[Event::Drain { stop_at }])), 0.0);
}

#[test]
fn work_within_quotas_is_served_first_despite_random_bursts() {
    // One tenant sends three times its quota, another exactly its quota, to cores that can run half of the total.
    let tenants = vec![Tenant { quota_per_s: 40.0 }, Tenant { quota_per_s: 40.0 }];
    let set = Settings { tenants, over_share_worth: 0.05, memory_kb: 0.0, ..settings() };
    let mut script = Script::new(set);
    let (mut refusals, mut sent, mut open) = ([0, 0], [0, 0], Vec::new());
    for id in 0..1600 {
        let tenant = usize::from(id % 4 == 3);
        let mut tenant_request = request(id, PLAIN);
        tenant_request.tenant = tenant;
        let mut out = script.after(25.0, &[Event::Request(tenant_request)]);
        if id % 4 == 0 {
            for done in std::mem::take(&mut open) {
                out.extend(script.done(0.0, done));
            }
        }
        open.extend(out.iter().filter_map(|a| if let Action::Run(id) = a { Some(id.0) } else { None }));
        sent[tenant] += 1;
        for action in &out {
            if let Action::Refuse { id, .. } = action {
                refusals[usize::from(id.0 % 4 == 3)] += 1;
            }
        }
        script.after(0.0, &[Event::Timer(sillflow::Gauges { core_use: Some(1.0), on_cores: Some(2.6) })]);
    }
    let part = |tenant: usize| f64::from(refusals[tenant]) / f64::from(sent[tenant]);
    assert!(part(0) > 0.3, "{refusals:?} of {sent:?}");
    assert!(part(1) < 0.06, "{refusals:?} of {sent:?}");
}

#[test]
fn idle_time_follows_core_use_and_a_flood_keeps_connections_open() {
    let idle_time_after = |demand: f64, waited_ms: f64| {
        let mut script = Script::new(Settings { callers: 1000, idle_ms: 30_000.0, ..settings() });
        let mut last = None;
        for id in 0..40 {
            let late = sillflow::interface::Request { waited_ms, ..request(id, PLAIN) };
            script.after(1.0, &[Event::Request(late)]);
            script.done(1.0, id);
            for action in script.idle(100.0, demand) {
                if let Action::CloseIdle { after_ms } = action {
                    last = Some(after_ms);
                }
            }
        }
        last.expect("a thousand callers exceed the connections")
    };
    assert!(idle_time_after(0.2, 0.0) > 2.0 * idle_time_after(1.5, 0.0), "idle cores can afford connections");
    assert_eq!(idle_time_after(1.5, 900.0), 30_000.0, "requests wait unread");
}

#[test]
fn call_under_a_share_below_one_is_abandoned_within_the_span() {
    let below = Below::Shared { share: 0.4, span_ms: 5000.0, linger_ms: 200.0 };
    let mut script = Script::new(Settings { below, ..settings() });
    script.submit(1, KEYED);
    let out = script.after(1.0, &[Event::Needs(RequestId(1))]);
    let last = out.iter().find_map(|action| match action {
        Action::Call { give_up_at, .. } => Some(give_up_at - script.now),
        _ => None,
    });
    assert!(last.is_some_and(|ms| ms + 200.0 <= 0.4 * 5000.0), "{last:?}");
}

/// Makes one call after another under a share below one; every fourth stalls until it is abandoned, and then lingers.
/// Returns when each call was in flight at the dependency, in ms.
fn sequential_calls(share: f64, span_ms: f64, linger_ms: f64) -> Vec<(f64, f64)> {
    let below = Below::Shared { share, span_ms, linger_ms };
    let mut script = Script::new(Settings { below, cores: 8, memory_kb: 0.0, ..settings() });
    let mut intervals = Vec::new();
    for id in 0..200 {
        script.submit(id, KEYED);
        let mut out = script.after(1.0, &[Event::Needs(RequestId(id))]);
        while calls(&out) == 0 && !failed(&out, id) {
            out = script.idle(20.0, 0.3);
        }
        let given_up = out.iter().find_map(|action| match action {
            Action::Call { give_up_at, .. } => Some(*give_up_at),
            _ => None,
        });
        if let Some(give_up_at) = given_up {
            let (from, stalls) = (script.now, id % 4 == 3);
            let took_ms = if stalls { give_up_at - from } else { 25.0 };
            let outcome = if stalls { Outcome::Timeout } else { Outcome::Ok };
            script.after(took_ms, &[Event::Called { id: RequestId(id), outcome, took_ms }]);
            intervals.push((from, script.now + if stalls { linger_ms } else { 0.0 }));
        }
        script.done(1.0, id);
    }
    intervals
}

#[test]
fn calls_stay_within_a_share_below_one_in_every_span() {
    const SPAN_MS: f64 = 5000.0;
    for (share, linger_ms) in [(0.8, 200.0), (0.8, 2000.0), (0.8, 800.0), (0.4, 800.0), (0.4, 200.0)] {
        let intervals = sequential_calls(share, SPAN_MS, linger_ms);
        let within = |end: f64| {
            let part = |(from, to): &(f64, f64)| (to.min(end) - from.max(end - SPAN_MS)).max(0.0);
            intervals.iter().map(part).sum::<f64>()
        };
        let most = intervals.iter().map(|(_, to)| within(*to)).fold(0.0, f64::max);
        assert!(most <= share * SPAN_MS, "share {share}, linger {linger_ms}: {most} ms in a span");
        let (first, last) = (intervals[0].0, intervals[intervals.len() - 1].1);
        let mean = intervals.iter().map(|(from, to)| to - from).sum::<f64>() / (last - first);
        assert!(mean > 0.25 * share, "share {share}, linger {linger_ms}: {mean} in the mean");
    }
}

#[test]
fn request_that_must_call_is_refused_on_arrival_if_its_call_would_be_late() {
    let below = Below::Shared { share: 0.1, span_ms: 5000.0, linger_ms: 200.0 };
    let mut script = Script::new(Settings { below, cores: 8, memory_kb: 0.0, ..settings() });
    for id in 1..4 {
        script.idle(4000.0, 0.3);
        script.submit(id, KEYED);
        script.after(0.0, &[Event::Needs(RequestId(id))]);
        let took_ms = 290.0;
        script.after(took_ms, &[Event::Called { id: RequestId(id), outcome: Outcome::Ok, took_ms }]);
        script.done(1.0, id);
    }
    script.submit(9, KEYED);
    script.after(1.0, &[Event::Needs(RequestId(9))]);
    assert!(refused(&script.submit(10, KEYED), 10), "its call would wait for seconds");
    assert!(ran(&script.submit(11, PLAIN), 11), "a class without calls is not affected");
}

#[test]
fn load_signal_is_sent_only_if_enabled() {
    let signals = |say| {
        let mut script = Script::new(Settings { say, ..settings() });
        let mut out = script.idle(1200.0, 0.5);
        out.extend(script.after(1.0, &[Event::Drain { stop_at: 20_000.0 }]));
        out.into_iter().filter(|action| matches!(action, Action::Say(_))).collect::<Vec<_>>()
    };
    assert!(signals(SayKind::Off).is_empty());
    let weights = signals(SayKind::Weight);
    assert_eq!((weights.first(), weights.last()), (Some(&Action::Say(1.0)), Some(&Action::Say(0.05))));
}

#[test]
fn identical_seeds_and_events_give_identical_actions() {
    let run_script = || {
        let mut script = Script::new(settings());
        let mut out = Vec::new();
        for id in 0..200 {
            out.extend(script.submit(id, (id % 3) as usize));
            out.extend(script.after(3.0, &[Event::Needs(RequestId(id))]));
            out.extend(script.idle(20.0, 1.0));
        }
        out
    };
    assert_eq!(run_script(), run_script());
}

#[test]
fn invalid_settings_name_their_field() {
    let class = Class { aim_ms: f64::NAN, deadline_ms: 1.0, effect: Effect::Safe, ..Class::default() };
    for (settings, field) in [
        (Settings { memory_kb: -1.0, ..settings() }, "memory_kb"),
        (Settings { classes: vec![class], ..settings() }, "classes"),
        (Settings { cold_ms: f64::INFINITY, ..settings() }, "cold_ms"),
    ] {
        assert_eq!(Controller::new(1, settings).err().map(|error| error.field), Some(field));
    }
}

#[test]
fn long_runs_raise_the_predictions_of_every_class() {
    let admitted = |took_ms| {
        let mut script = Script::new(settings());
        (1..4).for_each(|id| run_to_end(&mut script, id, SAFE, took_ms));
        (10..40).filter(|id| !refused(&script.submit(*id, PLAIN), *id)).count()
    };
    assert!(admitted(900.0) < admitted(140.0), "no run of the second class has ended yet");
}
