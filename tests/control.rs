//! The ordinary path: dimmer, admission, run limit, call limit, and the guards around them.

mod common;

use common::*;
use sillflow::interface::{Below, Class, Effect, SayKind, Tenant};
use sillflow::{Action, Controller, Event, Outcome, RequestId, Settings};

fn calls(out: &[Action]) -> usize {
    out.iter().filter(|action| matches!(action, Action::Call { .. })).count()
}

/// Runs `id` to its end `took` ms later, with one call of `call_ms` where it wants one.
fn run_through(script: &mut Script, id: u32, class: usize, took: f64) {
    script.submit(id, class);
    script.idle(took, 1.7);
    script.done(0.0, id);
}

#[test]
fn the_dimmer_steps_by_the_error_over_the_gain_and_only_under_pressure() {
    let mut script = Script::new(Settings { below: Below::Tier, ..settings() });
    run_through(&mut script, 1, PLAIN, 1500.0);
    script.idle(500.0, 0.3);
    assert_eq!(
        script.controller.dimmer(),
        1.0,
        "late answers alone do not dim: no core is busy, no work held"
    );
    run_through(&mut script, 2, PLAIN, 1500.0);
    let before = script.controller.dimmer();
    script.idle(500.0, 1.7);
    let fall = before - script.controller.dimmer();
    assert!((0.005..0.15).contains(&fall), "one clamped step of 0.1 / gain * -0.5: {fall}");
}

#[test]
fn other_settings_come_into_force_and_what_was_learned_stays() {
    let mut script = Script::new(settings());
    for id in 1..40 {
        run_through(&mut script, id, PLAIN, 900.0);
    }
    script.submit(50, PLAIN);
    let added = Class { aim_ms: 500.0, deadline_ms: 800.0, worth: 9.0, ..Class::default() };
    let mut other = settings();
    other.classes[SAFE].retired = true;
    other.classes.push(added);
    script.controller.update_settings(other.clone()).expect("settings make sense");
    assert!(ran(&script.submit(51, 3), 51), "the class that was added runs");
    other.classes.truncate(2);
    assert!(script.controller.update_settings(other).is_err(), "open requests would lose their class");
    // Two run and one is held: by what was learned, a run takes too long for another to wait for it.
    script.submit(52, PLAIN);
    assert!(refused(&script.submit(53, PLAIN), 53));
    script.done(100.0, 50);
    assert!(failed(&script.idle(800.0, 1.7), 51), "its own deadline holds for it");
}

#[test]
fn the_dimmer_is_clamped_and_recovers_after_a_stall() {
    let mut script = Script::new(Settings { below: Below::Tier, ..settings() });
    for id in 1..40 {
        run_through(&mut script, id, PLAIN, 2800.0);
    }
    let low = script.controller.dimmer();
    assert!((0.0..0.5).contains(&low), "{low}");
    for id in 100..125 {
        run_through(&mut script, id, PLAIN, 100.0);
        script.idle(200.0, 0.3);
    }
    assert!(script.controller.dimmer() > 0.9, "a swollen gain must not make recovery crawl");
}

#[test]
fn a_stall_does_not_swell_the_gain_beyond_its_bound() {
    let mut script = Script::new(Settings { below: Below::Tier, ..settings() });
    for id in 1..60 {
        run_through(&mut script, id, PLAIN, 2800.0);
    }
    let low = script.controller.dimmer();
    for id in 100..104 {
        run_through(&mut script, id, PLAIN, 100.0);
        script.idle(400.0, 1.7);
    }
    let risen = script.controller.dimmer() - low;
    assert!(risen > 0.015, "under pressure, two seconds after the stall: {risen}");
}

#[test]
fn empty_windows_leave_the_dimmer_alone() {
    let mut script = Script::new(settings());
    script.idle(5000.0, 1.7);
    assert_eq!(script.controller.dimmer(), 1.0);
}

#[test]
fn while_work_is_held_a_late_request_is_refused_on_arrival() {
    let mut script = Script::new(settings());
    for id in 1..6 {
        run_through(&mut script, id, PLAIN, 400.0);
    }
    let mut refusals = 0;
    for id in 10..30 {
        refusals += usize::from(refused(&script.submit(id, PLAIN), id));
    }
    assert!((8..18).contains(&refusals), "about five times 400 ms on two cores fit into the aim: {refusals}");
}

#[test]
fn the_more_worth_the_longer_it_may_wait() {
    let admitted = |class| {
        let mut script = Script::new(settings());
        (10..40).filter(|id| !refused(&script.submit(*id, class), *id)).count()
    };
    assert!(admitted(KEYED) > admitted(PLAIN));
}

#[test]
fn work_that_waits_unread_is_held_work() {
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
fn the_run_limit_rises_while_cores_idle_and_work_waits_and_stays_under_the_crowd() {
    let mut script = Script::new(Settings { memory_kb: 0.0, ..settings() });
    let mut running = 0;
    for id in 0..60 {
        running += usize::from(ran(&script.submit(id, KEYED), id));
        let out = script.idle(20.0, 0.5);
        running += (0..60).filter(|id| ran(&out, *id)).count();
    }
    assert!((3..=8).contains(&running), "over the two cores, under 0.8 of the ten they survive: {running}");
}

#[test]
fn requests_parked_at_calls_do_not_hold_the_limit_down() {
    // Two at calls fill the parked bound; with idle cores and held work the limit must rise all the same.
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
fn calls_that_slow_down_narrow_the_limit_and_dim_the_optional_ones() {
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
    assert!(placed < 4, "the share is 8, yet the dependency is crowded: {placed}");
    script.idle(600.0, 0.3);
    let before = script.controller.dimmer();
    one_call(&mut script, 300, 300.0);
    script.done(0.0, 200);
    script.idle(600.0, 0.3);
    assert!(script.controller.dimmer() < before, "calls wait for the budget");
}

#[test]
fn an_optional_call_without_a_place_is_left_out_in_time() {
    let below = Below::Shared { share: 1.5, span_ms: 5000.0, linger_ms: 200.0 };
    let mut script = Script::new(Settings { below, ..settings() });
    script.submit(1, KEYED);
    script.after(1.0, &[Event::Needs(RequestId(1))]);
    script.submit(2, SAFE);
    script.after(1.0, &[Event::Needs(RequestId(2))]);
    let out = script.idle(600.0, 0.5);
    assert!(out.contains(&Action::Skip(RequestId(2))));
    assert!(!out.contains(&Action::Skip(RequestId(1))), "no part of its worth would be left");
}

#[test]
fn a_share_below_one_is_kept_as_a_mean() {
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
fn a_tenant_beyond_its_share_is_turned_away_first() {
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
fn the_class_that_bears_the_refusals_counts_for_more() {
    let mut script = Script::new(Settings { below: Below::Nothing, ..settings() });
    let (mut running, mut runs) = (Vec::new(), [0, 0, 0]);
    for round in 0..200 {
        // Twice as much as one run in 100 ms; what is worth three times as much would fill the server alone.
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
fn a_refusal_may_walk_on_while_further_tries_are_rare() {
    let asks_to_stop = |further| {
        let mut script = Script::new(settings());
        let mut out = Vec::new();
        for id in 0..40 {
            let request = sillflow::interface::Request { further, ..request(id, PLAIN) };
            out.extend(script.after(5.0, &[Event::Request(request)]));
        }
        out.iter().filter(|action| matches!(action, Action::Refuse { last: true, .. })).count()
    };
    assert_eq!(asks_to_stop(false), 0, "the rest of the fleet has room");
    assert!(asks_to_stop(true) > 5);
    let mut script = Script::new(Settings { marks_further: false, ..settings() });
    let mut lasts = Vec::new();
    for id in 0..60 {
        let out = script.submit(id, PLAIN);
        let told = |action: &Action| matches!(action, Action::Refuse { last: true, .. });
        lasts.extend(refused(&out, id).then(|| out.iter().any(told)));
    }
    assert!(!lasts[0] && lasts.last() == Some(&true), "unmarked, and nearly all are refused: {lasts:?}");
}

#[test]
fn idle_connections_are_closed_only_where_callers_outnumber_them() {
    let closes = |callers| {
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
    assert_eq!(closes(4), None);
    assert_eq!(closes(30), Some(30_000.0), "each of thirty comes back within three seconds");
    let after_ms = closes(1000).expect("a thousand callers do not fit");
    assert!((500.0..1500.0).contains(&after_ms), "6 connections at nearly 10 a second: {after_ms}");
}

/// Forty first tries with `left` ms to wait, each ended at once, so that this patience is known.
fn with_patience(settings: Settings, left: f64) -> Script {
    let mut script = Script::new(settings);
    for id in 1000..1040 {
        let due = Some(script.now + 10.0 + left);
        script.after(10.0, &[Event::Request(sillflow::interface::Request { due, ..request(id, PLAIN) })]);
        script.done(150.0, id);
    }
    script
}

#[test]
fn unmarked_further_tries_are_told_by_the_time_they_have_left() {
    let asked_to_stop = |left: f64, spread: f64| {
        let mut script = with_patience(settings(), 2000.0);
        let mut out = Vec::new();
        for id in 1..40 {
            let due = Some(script.now + 5.0 + left - spread * f64::from(id));
            let request = sillflow::interface::Request { due, ..request(id, PLAIN) };
            out.extend(script.after(5.0, &[Event::Request(request)]));
        }
        out.iter().filter(|action| matches!(action, Action::Refuse { last: true, .. })).count()
    };
    assert_eq!(asked_to_stop(2000.0, 0.0), 0, "first tries with the whole patience of their callers");
    assert_eq!(asked_to_stop(2900.0, 20.0), 0, "more time left than any patience says nothing");
    let walks = asked_to_stop(1990.0, 40.0);
    assert!(walks >= 15, "walks come with what is left: {walks}");
}

#[test]
fn the_aim_counts_from_the_first_try() {
    let mut script = with_patience(settings(), 2000.0);
    script.submit(1, PLAIN);
    script.submit(2, PLAIN);
    script.submit(3, PLAIN);
    let try_with =
        |id, left, now| sillflow::interface::Request { due: Some(now + left), ..request(id, PLAIN) };
    let aged = try_with(4, 900.0, script.now);
    assert!(refused(&script.after(0.0, &[Event::Request(aged)]), 4), "1.1 s of an aim of 1 s are gone");
    let first = try_with(5, 2000.0, script.now);
    assert!(!refused(&script.after(0.0, &[Event::Request(first)]), 5));
}

#[test]
fn further_tries_do_not_make_a_tenant_look_busy() {
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
fn only_work_ahead_or_worthier_counts_in_the_foreseen_wait() {
    let mut classes = settings().classes;
    classes[SAFE] = Class { aim_ms: 6000.0, deadline_ms: 9000.0, worth: 1.0, ..Class::default() };
    let mut script = Script::new(Settings { classes, memory_kb: 0.0, ..settings() });
    (1..6).for_each(|id| assert!(!refused(&script.submit(id, SAFE), id)));
    assert!(!refused(&script.submit(20, PLAIN), 20), "it runs before three that have time");
    assert!(!refused(&script.submit(21, KEYED), 21));
}

#[test]
fn what_is_past_hope_is_answered_at_once_though_no_place_is_free() {
    let mut script = Script::new(settings());
    for id in 1..=3 {
        script.submit(id, KEYED);
    }
    let out = script.idle(1000.0, 1.7);
    assert!(refused(&out, 3) && !failed(&out, 1), "its aim is 1 s, its deadline 3 s");
}

#[test]
fn the_worthier_a_held_request_the_smaller_a_chance_is_worth_its_run() {
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
    assert!(!given_up(KEYED), "three times the worth: it may lack 0.3 of the run");
    assert!(given_up(PLAIN), "it may lack 0.17 of the run");
}

#[test]
fn the_worthier_of_two_held_requests_runs_first() {
    let mut script = Script::new(settings());
    script.submit(1, KEYED);
    script.submit(2, KEYED);
    script.submit(3, PLAIN);
    script.submit(4, KEYED);
    let out = script.done(1.0, 1);
    assert!(ran(&out, 4) && !ran(&out, 3));
}

#[test]
fn a_standstill_that_is_over_is_soon_forgotten() {
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
    assert!(ran(&script.submit(30, PLAIN), 30), "six arrivals have waited for nothing, and no work is held");
}

#[test]
fn a_call_past_hope_is_answered_at_once() {
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
fn credit_is_one_while_nothing_is_refused_however_many_callers_there_are() {
    let said = |callers| {
        let mut script = Script::new(Settings { say: SayKind::Credit, callers, ..settings() });
        script.idle(600.0, 0.5).into_iter().find_map(|action| match action {
            Action::Say(value) => Some(value),
            _ => None,
        })
    };
    assert_eq!(said(1000), Some(1.0));
    assert!(said(2).is_some_and(|credit| credit >= 2.0));
}

/// The last free value of these actions.
fn last_said(out: &[Action]) -> f64 {
    let said = |action: &Action| if let Action::Say(value) = action { Some(*value) } else { None };
    out.iter().filter_map(said).next_back().expect("a free value")
}

#[test]
fn credit_is_for_what_can_run_in_time_and_refusals_take_none_of_it() {
    let credit = || Settings { say: SayKind::Credit, callers: 2, ..settings() };
    let mut script = Script::new(credit());
    for id in 1..60 {
        run_through(&mut script, id, PLAIN, 100.0);
    }
    let quick = last_said(&script.idle(600.0, 0.5));
    // Two cores and aims of 1,000 ms; the classes that did not run count with their first guess of 150 ms.
    assert!(
        (10.0..=30.0).contains(&quick),
        "about 2 x (1 + 1000 / 133) places for two uneven callers: {quick}"
    );
    let mut refusals = 0;
    for id in 100..160 {
        refusals += usize::from(refused(&script.submit(id, PLAIN), id));
    }
    let full = last_said(&script.idle(600.0, 1.3));
    assert!(refusals > 20, "{refusals}");
    assert!(full >= 0.9 * quick, "what is turned away at once takes no place: {full} of {quick}");

    let mut slow = Script::new(credit());
    for id in 1..60 {
        run_through(&mut slow, id, PLAIN, 900.0);
    }
    let slow_credit = last_said(&slow.idle(600.0, 0.5));
    assert!(slow_credit < 0.7 * quick, "long runs let fewer wait for them: {slow_credit} of {quick}");

    let cold = last_said(&Script::new(Settings { cold: true, ..credit() }).idle(600.0, 0.5));
    let warm = last_said(&Script::new(credit()).idle(600.0, 0.5));
    assert!(cold < 0.4 * warm, "a cold server has fewer: {cold} of {warm}");
    let stop_at = script.now + 5000.0;
    assert_eq!(last_said(&script.after(1.0, &[Event::Drain { stop_at }])), 0.0);
}

#[test]
fn work_within_shares_is_served_first_and_chance_counts_for_little() {
    // At a second each: one tenant sends three times its share, one all of its own, on cores that can do half.
    let tenants = vec![Tenant { quota_per_s: 40.0 }, Tenant { quota_per_s: 40.0 }];
    let set = Settings { tenants, over_share_worth: 0.05, memory_kb: 0.0, ..settings() };
    let mut script = Script::new(set);
    let (mut refusals, mut sent, mut open) = ([0, 0], [0, 0], Vec::new());
    for id in 0..1600 {
        let tenant = usize::from(id % 4 == 3);
        let mut asked = request(id, PLAIN);
        asked.tenant = tenant;
        let mut out = script.after(25.0, &[Event::Request(asked)]);
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
fn idle_connections_follow_core_use_and_a_flood_keeps_the_table_full() {
    let closes = |demand: f64, waited_ms: f64| {
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
        last.expect("a thousand callers do not fit")
    };
    assert!(closes(0.2, 0.0) > 2.0 * closes(1.5, 0.0), "an idle core has room for connections");
    assert_eq!(closes(1.5, 900.0), 30_000.0, "reading lags");
}

#[test]
fn a_call_under_a_share_below_one_is_given_up_within_the_span() {
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

/// One call after the other under a share below one; each fourth stalls until it is given up, and lingers then.
/// When they were in the dependency's hands, in ms.
fn calls_in_a_row(share: f64, span_ms: f64, linger_ms: f64) -> Vec<(f64, f64)> {
    let below = Below::Shared { share, span_ms, linger_ms };
    let mut script = Script::new(Settings { below, cores: 8, memory_kb: 0.0, ..settings() });
    let mut spells = Vec::new();
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
            spells.push((from, script.now + if stalls { linger_ms } else { 0.0 }));
        }
        script.done(1.0, id);
    }
    spells
}

#[test]
fn calls_that_linger_long_stay_within_a_share_below_one_in_every_span() {
    const SPAN_MS: f64 = 5000.0;
    for (share, linger_ms) in [(0.8, 200.0), (0.8, 2000.0), (0.8, 800.0), (0.4, 800.0), (0.4, 200.0)] {
        let spells = calls_in_a_row(share, SPAN_MS, linger_ms);
        let within = |end: f64| {
            let part = |(from, to): &(f64, f64)| (to.min(end) - from.max(end - SPAN_MS)).max(0.0);
            spells.iter().map(part).sum::<f64>()
        };
        let most = spells.iter().map(|(_, to)| within(*to)).fold(0.0, f64::max);
        assert!(most <= share * SPAN_MS, "share {share}, linger {linger_ms}: {most} ms in a span");
        let (first, last) = (spells[0].0, spells[spells.len() - 1].1);
        let mean = spells.iter().map(|(from, to)| to - from).sum::<f64>() / (last - first);
        assert!(mean > 0.25 * share, "share {share}, linger {linger_ms}: {mean} in the mean");
    }
}

#[test]
fn what_must_call_is_refused_on_arrival_when_its_call_comes_too_late() {
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
    assert!(refused(&script.submit(10, KEYED), 10), "its call would have to wait for seconds");
    assert!(ran(&script.submit(11, PLAIN), 11), "what calls nothing is not touched");
}

#[test]
fn the_free_value_is_said_only_where_callers_know_it() {
    let said = |say| {
        let mut script = Script::new(Settings { say, ..settings() });
        let mut out = script.idle(1200.0, 0.5);
        out.extend(script.after(1.0, &[Event::Drain { stop_at: 20_000.0 }]));
        out.into_iter().filter(|action| matches!(action, Action::Say(_))).collect::<Vec<_>>()
    };
    assert!(said(SayKind::Off).is_empty());
    let weights = said(SayKind::Weight);
    assert_eq!((weights.first(), weights.last()), (Some(&Action::Say(1.0)), Some(&Action::Say(0.05))));
}

#[test]
fn identical_seeds_and_events_give_identical_actions() {
    let play = || {
        let mut script = Script::new(settings());
        let mut out = Vec::new();
        for id in 0..200 {
            out.extend(script.submit(id, (id % 3) as usize));
            out.extend(script.after(3.0, &[Event::Needs(RequestId(id))]));
            out.extend(script.idle(20.0, 1.0));
        }
        out
    };
    assert_eq!(play(), play());
}

#[test]
fn settings_that_make_no_sense_name_their_field() {
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
fn runs_that_take_longer_than_expected_slow_the_predictions_of_every_class() {
    let admitted = |took| {
        let mut script = Script::new(settings());
        (1..4).for_each(|id| run_through(&mut script, id, SAFE, took));
        (10..40).filter(|id| !refused(&script.submit(*id, PLAIN), *id)).count()
    };
    assert!(admitted(900.0) < admitted(140.0), "no run of the second class has ended yet");
}
