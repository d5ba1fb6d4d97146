//! The pool of servers: the choice, what it learns, who is put out, and what it is told.

use std::net::SocketAddr;

use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;
use sillflow::route::{CallEnd, CallEndKind, Choice, Options, Pool, ServerState, Spec};
use sillflow::server_stats::{Digest, DigestError, ServerStats, StartReport};

fn at(n: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9000 + n))
}

fn spec(n: u16) -> Spec {
    Spec { address: at(n), zone: String::new(), weight: 1.0 }
}

fn specs(count: u16) -> Vec<Spec> {
    (0..count).map(spec).collect()
}

/// A pool with a clock and a script for each server: how long a unit of work takes, and whether it fails.
struct Play {
    pool: Pool,
    rng: SmallRng,
    now: f64,
    run: Option<StartReport>,
}

impl Play {
    fn new(count: u16) -> Self {
        Self::of(Options::default(), &specs(count))
    }

    fn of(options: Options, specs: &[Spec]) -> Self {
        Self { pool: Pool::new(0.0, options, specs), rng: SmallRng::seed_from_u64(7), now: 0.0, run: None }
    }

    fn choose(&mut self) -> Choice {
        self.pool.choose(self.now, 1.0, true, &[], &mut self.rng).expect("room")
    }

    /// A call to this very server, whatever is thought of it.
    fn choose_at(&mut self, server: u16) -> Choice {
        let mut tried = Vec::new();
        for _ in 0..self.pool.len() {
            let choice = self.pool.choose(self.now, 1.0, true, &tried, &mut self.rng).expect("room");
            if choice.address == at(server) {
                return choice;
            }
            tried.push(choice.id);
            self.end(&choice, CallEndKind::Abandoned, 0.0);
        }
        panic!("every server is chosen once the others were tried");
    }

    fn end(&mut self, choice: &Choice, kind: CallEndKind, took_ms: f64) {
        self.pool.finish_call(self.now, choice, &CallEnd { kind, took_ms, run: self.run });
    }

    /// Makes so many calls, one after the other, 20 ms apart; how many went to each server.
    fn calls(&mut self, count: usize, script: impl Fn(u16) -> (CallEndKind, f64)) -> Vec<usize> {
        let mut went = vec![0; self.pool.len()];
        for _ in 0..count {
            let choice = self.choose();
            let server = choice.address.port() - 9000;
            let (kind, took_ms) = script(server);
            self.now += 20.0;
            self.end(&choice, kind, took_ms);
            went[usize::from(server)] += 1;
        }
        went
    }

    /// Makes so many calls to each server.
    fn measure(&mut self, count: usize, script: impl Fn(u16) -> (CallEndKind, f64)) {
        let servers = self.pool.len() as u16;
        for server in (0..count).flat_map(|_| 0..servers) {
            let choice = self.choose_at(server);
            let (kind, took_ms) = script(server);
            self.now += 20.0;
            self.end(&choice, kind, took_ms);
        }
    }

    fn out(&self) -> Vec<SocketAddr> {
        let beliefs = self.pool.estimates(self.now).into_iter();
        beliefs
            .filter(|belief| belief.state != ServerState::Active)
            .map(|belief| belief.spec.address)
            .collect()
    }

    /// What is believed of a server's time.
    fn times(&self, server: u16) -> f64 {
        let beliefs = self.pool.estimates(self.now);
        beliefs.iter().find(|belief| belief.spec.address == at(server)).expect("it is there").relative_time
    }
}

fn served(_: u16) -> (CallEndKind, f64) {
    (CallEndKind::Served, 100.0)
}

#[rstest]
fn the_quicker_server_gets_the_calls_and_one_that_mends_is_found_again() {
    let mut play = Play::new(6);
    let slow = |server| if server < 2 { (CallEndKind::Served, 300.0) } else { served(server) };
    play.calls(100, slow);
    let went = play.calls(200, slow);
    assert!(went[0] + went[1] <= 12, "{went:?}");
    play.calls(8000, served);
    assert!(play.times(0) < 1.3 && play.times(1) < 1.3, "{} and {}", play.times(0), play.times(1));
}

#[rstest]
fn failing_quickly_does_not_look_like_being_quick() {
    let mut play = Play::new(3);
    let failing = |server| if server == 0 { (CallEndKind::Failed, 1.0) } else { served(server) };
    play.calls(60, failing);
    let went = play.calls(200, failing);
    assert!(went[0] <= 10, "{went:?}");
}

#[rstest]
#[case::slow(|server| if server == 0 { (CallEndKind::Served, 900.0) } else { served(server) })]
#[case::failing(|server| if server == 0 { (CallEndKind::Failed, 100.0) } else { served(server) })]
#[case::turning_away(|server| if server == 0 { (CallEndKind::Rejected, 1.0) } else { served(server) })]
fn an_outlier_is_put_out_and_comes_back_by_trial(#[case] bad: fn(u16) -> (CallEndKind, f64)) {
    let mut play = Play::new(4);
    play.measure(8, bad);
    play.calls(60, bad);
    assert_eq!(play.out(), [at(0)]);
    assert_eq!(play.calls(5, bad)[0], 0, "nothing goes there at first");
    play.now += 25_000.0;
    play.calls(300, served);
    assert!(play.out().is_empty(), "it is back after good trials");
}

#[rstest]
fn a_trial_that_goes_badly_puts_it_out_for_longer() {
    let mut play = Play::new(4);
    let bad = |server| if server == 0 { (CallEndKind::Failed, 100.0) } else { served(server) };
    let outs = |play: &Play| match play.pool.estimates(play.now)[0].state {
        ServerState::Ejected { times, until } => (times, until - play.now),
        _ => (0, 0.0),
    };
    play.measure(4, bad);
    let mut seen = Vec::new();
    for _ in 0..3000 {
        play.calls(1, bad);
        if seen.last().is_none_or(|(times, _)| *times < outs(&play).0) && outs(&play).0 > 0 {
            seen.push(outs(&play));
        }
    }
    assert!(seen.len() >= 3, "{seen:?}");
    assert!(seen.windows(2).all(|pair| pair[1].1 > pair[0].1 || pair[1].1 > 19_000.0), "{seen:?}");
}

#[rstest]
#[case::slowdown(|_| (CallEndKind::Served, 2000.0))]
#[case::failure(|_| (CallEndKind::Failed, 50.0))]
#[case::refusal(|_| (CallEndKind::ConnectionRefused, 1.0))]
fn what_strikes_all_puts_none_out_and_the_pool_is_still_used(#[case] all: fn(u16) -> (CallEndKind, f64)) {
    let mut play = Play::new(10);
    play.calls(300, served);
    let went = play.calls(600, all);
    let out = play.out().len();
    assert!(out <= 1, "{out} are out");
    assert!(went.iter().filter(|calls| **calls > 5).count() >= 8, "{went:?}");
}

#[rstest]
fn no_more_than_the_set_part_is_out_however_many_are_bad() {
    let mut play = Play::new(10);
    let bad = |server| if server < 4 { (CallEndKind::Failed, 100.0) } else { served(server) };
    play.measure(10, bad);
    play.calls(60, bad);
    let out = play.out().len();
    assert_eq!(out, 3, "three of ten");
}

#[rstest]
fn one_server_alone_is_used_whatever_it_does() {
    let mut play = Play::new(1);
    assert_eq!(play.calls(50, |_| (CallEndKind::ConnectionRefused, 1.0)), [50]);
}

#[rstest]
fn the_bound_on_calls_in_hand_holds_and_a_place_that_is_given_back_is_free() {
    let options = Options { max_in_flight: 2.0, ..Options::default() };
    let mut play = Play::of(options, &specs(3));
    let choices: Vec<Choice> = (0..6).map(|_| play.choose()).collect();
    assert!(play.pool.choose(play.now, 1.0, true, &[], &mut play.rng).is_err());
    play.end(&choices[0], CallEndKind::Abandoned, 5.0);
    assert_eq!(play.choose().address, choices[0].address);
}

#[rstest]
fn further_attempts_are_a_share_of_calls_and_go_elsewhere() {
    let mut play = Play::new(3);
    let mut further = 0;
    for _ in 0..1000 {
        let first = play.choose();
        play.end(&first, CallEndKind::ConnectionRefused, 1.0);
        if play.pool.try_take_retry() {
            further += 1;
            let next = play.pool.choose(play.now, 1.0, true, &[first.id], &mut play.rng).expect("room");
            assert_ne!(next.id, first.id);
            play.end(&next, CallEndKind::Served, 100.0);
        }
        play.now += 10.0;
    }
    assert!((95..=103).contains(&further), "{further} of 1000");
}

#[rstest]
fn the_own_zone_is_preferred_while_it_has_room() {
    let zoned = |n: u16| Spec { zone: if n < 3 { "a" } else { "b" }.to_owned(), ..spec(n) };
    let specs: Vec<Spec> = (0..6).map(zoned).collect();
    let options = Options { zone: "a".to_owned(), ..Options::default() };
    let mut play = Play::of(options.clone(), &specs);
    let near = |went: Vec<usize>| went[..3].iter().sum::<usize>();
    assert!(near(play.calls(300, served)) >= 290);
    let mut play = Play::of(options, &specs);
    let choices: Vec<Choice> = (0..60).map(|_| play.choose()).collect();
    let far = choices.iter().filter(|choice| choice.address.port() >= 9003).count();
    assert!((10..=30).contains(&far), "{far} of 60 spill over");
}

#[rstest]
fn a_server_that_has_just_started_gets_little_until_it_is_warm() {
    let mut play = Play::new(4);
    play.calls(200, served);
    let choice = play.choose();
    let restarted = choice.address.port() - 9000;
    play.run = Some(StartReport { incarnation: Some(2), up_ms: Some(100.0) });
    play.end(&choice, CallEndKind::Served, 400.0);
    play.run = None;
    let went = play
        .calls(100, |server| if server == restarted { (CallEndKind::Served, 400.0) } else { served(server) });
    assert!(went[usize::from(restarted)] <= 8, "{went:?} with {restarted} cold");
    play.now += 15_000.0;
    let together: Vec<Choice> = (0..8).map(|_| play.choose()).collect();
    assert!(together.iter().any(|choice| choice.address == at(restarted)), "warm, it has its share");
}

#[rstest]
fn a_call_that_never_got_as_far_as_a_server_tells_nothing_of_it() {
    let mut play = Play::new(4);
    play.calls(50, served);
    let known = play.pool.digest(play.now, "me");
    let choice = play.choose();
    play.end(&choice, CallEndKind::NotSent, 60_000.0);
    assert_eq!(play.pool.digest(play.now, "me"), known);
    assert_eq!(play.pool.in_flight(), 0, "its place is free again");
}

#[rstest]
fn a_server_comes_back_though_no_call_is_safe() {
    let mut play = Play::new(4);
    let bad = |server| if server == 0 { (CallEndKind::Failed, 100.0) } else { served(server) };
    play.measure(4, bad);
    play.calls(5, bad);
    assert_eq!(play.out(), [at(0)]);
    let trials = |play: &mut Play, calls: usize| {
        let went = (0..calls).filter(|_| {
            let choice = play.pool.choose(play.now, 1.0, false, &[], &mut play.rng).expect("room");
            play.now += 20.0;
            play.end(&choice, CallEndKind::Served, 100.0);
            choice.address == at(0)
        });
        went.count()
    };
    assert_eq!(trials(&mut play, 500), 0, "safe calls have the first turn");
    assert!(trials(&mut play, 5000) >= 3);
    assert!(play.out().is_empty());
}

#[rstest]
fn servers_come_and_go_with_calls_in_hand() {
    let mut play = Play::new(3);
    let choices: Vec<Choice> = (0..9).map(|_| play.choose()).collect();
    play.pool.replace_servers(play.now, &[spec(2), spec(5)]);
    assert_eq!(play.pool.len(), 2);
    choices.iter().for_each(|choice| play.end(choice, CallEndKind::Served, 50.0));
    assert_eq!(play.pool.in_flight(), 0, "late ends of servers that are gone count nowhere");
    let went: Vec<u16> = (0..40).map(|_| play.choose().address.port()).collect();
    assert!(went.contains(&9005) && went.iter().all(|port| [9002, 9005].contains(port)));
}

proptest! {
    /// Whatever happens in whatever order: places are counted exactly, bounds hold, and there is always a choice
    /// while any server has room.
    #[test]
    fn places_are_never_lost_nor_given_twice(
        steps in prop::collection::vec((0_u8..8, any::<prop::sample::Index>(), 0.0..500.0_f64), 1..300),
    ) {
        let options = Options { max_in_flight: 3.0, ..Options::default() };
        let mut play = Play::of(options, &specs(5));
        let mut open: Vec<Choice> = Vec::new();
        for (step, which, ms) in steps {
            play.now += ms;
            if step < 4 {
                match play.pool.choose(play.now, 1.0 + ms, step == 0, &[], &mut play.rng) {
                    Ok(choice) => open.push(choice),
                    Err(_) => prop_assert_eq!(open.len(), 15),
                }
            } else if !open.is_empty() {
                let choice = open.swap_remove(which.index(open.len()));
                let kinds = [CallEndKind::Served, CallEndKind::Failed, CallEndKind::ConnectionRefused, CallEndKind::Abandoned];
                play.end(&choice, kinds[usize::from(step) - 4], ms);
            }
            prop_assert!(play.pool.digest(play.now, "me").check().is_ok(), "what it tells can be believed");
            prop_assert_eq!(play.pool.in_flight(), open.len() as u64);
            let beliefs = play.pool.estimates(play.now);
            for belief in &beliefs {
                let held = open.iter().filter(|choice| choice.address == belief.spec.address).count();
                prop_assert_eq!(belief.in_flight as usize, held);
                prop_assert!(held <= 3 && belief.relative_time.is_finite() && (0.0..=1.0).contains(&belief.failure_rate));
            }
            let out = beliefs.iter().filter(|belief| belief.state != ServerState::Active).count();
            prop_assert!(out <= 1, "{} of 5 are out", out);
        }
    }
}

// What is told.

fn item(server: u16, times: f64) -> ServerStats {
    ServerStats {
        address: at(server),
        log_time: times.ln(),
        variance: 0.05,
        samples: 20.0,
        calls: 20.0,
        failed: 0.0,
        age_ms: 100.0,
        ejected: false,
        run: StartReport { incarnation: Some(1), up_ms: Some(60_000.0) },
    }
}

/// A word on five servers of which the first two are slow.
fn digest(reporter: &str) -> Digest {
    let items = (0..5).map(|n| item(n, if n < 2 { 3.0 } else { 1.0 })).collect();
    Digest { reporter: reporter.to_owned(), level: Some(100_f64.ln()), items }
}

fn told(change: impl Fn(&mut ServerStats)) -> Play {
    let mut digest = digest("donor");
    digest.items.iter_mut().for_each(change);
    let mut play = Play::new(5);
    play.pool.merge_digest(play.now, &digest);
    play
}

#[rstest]
fn a_newcomer_goes_by_what_it_is_told_until_it_knows_better() {
    let mut play = told(|_| ());
    assert!(play.times(0) > 2.0 && play.times(4) < 1.1);
    let went =
        play.calls(60, |server| if server < 2 { (CallEndKind::Served, 300.0) } else { served(server) });
    assert!(went[0] + went[1] <= 4, "{went:?}");
}

#[rstest]
#[case::another_start(Some(StartReport { incarnation: Some(9), up_ms: None }))]
#[case::a_later_start(Some(StartReport { incarnation: None, up_ms: Some(10.0) }))]
fn what_is_of_another_start_of_a_server_is_not_believed(#[case] run: Option<StartReport>) {
    // Both ways: the word came first, or the server was seen first.
    let mut play = told(|_| ());
    for _ in 0..2 {
        let choice = play.choose_at(4);
        play.run = run;
        play.end(&choice, CallEndKind::Served, 100.0);
        let belief = &play.pool.estimates(play.now)[4];
        assert!(belief.reports.is_empty(), "{belief:?}");
        play = Play { run: None, ..play };
        assert_eq!(play.pool.merge_digest(play.now, &digest("again")).stale, 1);
        assert!(play.pool.estimates(play.now)[4].reports.is_empty());
    }
}

#[rstest]
fn what_is_from_before_an_outage_is_not_believed() {
    let mut play = told(|item| item.run = StartReport { incarnation: None, up_ms: None });
    let choice = play.choose_at(3);
    play.now += 1_000.0;
    play.end(&choice, CallEndKind::ConnectionRefused, 1.0);
    assert_eq!(play.pool.estimates(play.now)[3].reports.len(), 1, "it may yet be a moment's trouble");
    let back = play.choose_at(3);
    play.now += 1_000.0;
    play.end(&back, CallEndKind::Served, 100.0);
    assert!(play.pool.estimates(play.now)[3].reports.is_empty());
}

#[rstest]
fn the_weight_of_a_word_falls_with_its_age_and_ends() {
    let weight = |age_ms: f64| {
        let play = told(|item| item.age_ms = age_ms);
        play.pool.estimates(play.now)[2].reports.first().map_or(0.0, |heard| heard.weight)
    };
    assert!(weight(0.0) > weight(30_000.0) && weight(30_000.0) > weight(120_000.0));
    assert!(weight(0.0) <= 12.0, "and it is capped");
    assert!(weight(400_000.0) == 0.0);
}

#[rstest]
#[case::speeds_inverted(|item: &mut ServerStats| item.log_time = -item.log_time)]
#[case::praises_one(|item: &mut ServerStats| if item.address == at(0) { item.log_time = -3.0 })]
fn own_samples_that_contradict_a_teller_lower_the_weight_of_all_it_said(#[case] lie: fn(&mut ServerStats)) {
    let mut play = told(lie);
    let believed = play.pool.reporters().next().expect("a teller").1;
    play.calls(100, |server| if server < 2 { (CallEndKind::Served, 300.0) } else { served(server) });
    let trust = play.pool.reporters().next().expect("a teller").1;
    assert!(trust < 0.6 * believed, "{trust} of {believed}");
    let went =
        play.calls(100, |server| if server < 2 { (CallEndKind::Served, 300.0) } else { served(server) });
    assert!(went[0] + went[1] <= 10, "{went:?}");
}

#[rstest]
fn a_teller_that_sees_all_as_failing_makes_no_difference() {
    let mut play = told(|item| (item.failed, item.ejected) = (item.calls, true));
    assert!(play.out().len() <= 1, "a word puts no more on trial than may be out");
    play.calls(100, served);
    assert_eq!(play.pool.reporters().next().expect("a teller").1, 0.0);
    assert!(play.pool.estimates(play.now).iter().all(|belief| belief.failure_rate < 0.05));
}

#[rstest]
fn a_cold_teller_weighs_next_to_nothing() {
    let play = told(|item| (item.samples, item.calls, item.log_time) = (0.2, 0.2, -item.log_time));
    assert!((0.7..1.4).contains(&play.times(0)), "{}", play.times(0));
}

#[rstest]
fn of_two_that_disagree_neither_is_believed_far_and_of_three_one_is_outvoted() {
    let mut inverted = digest("liar");
    inverted.items.iter_mut().for_each(|item| item.log_time = -item.log_time);
    let mut play = Play::new(5);
    play.pool.merge_digest(0.0, &digest("one"));
    let alone = play.times(0);
    play.pool.merge_digest(0.0, &inverted);
    assert!(play.times(0) < 0.6 * alone, "{} of {alone}", play.times(0));
    play.pool.merge_digest(0.0, &digest("two"));
    assert!(play.times(0) > 1.5, "{}", play.times(0));
}

#[rstest]
fn clocks_an_hour_apart_change_nothing() {
    let mut teller = Play::new(5);
    teller.now = 3_600_000.0;
    teller.measure(5, |server| if server < 2 { (CallEndKind::Served, 300.0) } else { served(server) });
    let mut play = Play::new(5);
    play.pool.merge_digest(play.now, &teller.pool.digest(teller.now, "teller"));
    assert!(play.times(0) > 1.8, "{}", play.times(0));
    let ages = play.pool.estimates(play.now).into_iter().flat_map(|belief| belief.reports);
    assert!(ages.map(|heard| heard.age_ms).all(|age| (0.0..1_000.0).contains(&age)));
}

#[rstest]
fn a_server_that_is_up_for_years_or_of_no_measure_does_not_discredit_its_teller() {
    let mut play = Play::new(1);
    play.run = Some(StartReport { incarnation: None, up_ms: Some(4e9) });
    play.calls(1, served);
    play.now += 40.0 * 365.0 * 86_400_000.0;
    play.run = None;
    play.calls(2, |_| (CallEndKind::Served, 1e300));
    assert_eq!(play.pool.digest(play.now, "me").check(), Ok(()));
}

#[rstest]
fn only_what_was_measured_travels_on() {
    let mut play = told(|_| ());
    assert!(play.pool.digest(play.now, "newcomer").items.is_empty(), "gossip stay");
    let choice = play.choose();
    play.now += 100.0;
    play.end(&choice, CallEndKind::Served, 100.0);
    let digest = play.pool.digest(play.now, "newcomer");
    assert_eq!(digest.items.iter().map(|item| item.address).collect::<Vec<_>>(), [choice.address]);
    assert!(digest.check().is_ok() && digest.items[0].samples <= 1.0);
}

#[rstest]
fn servers_that_came_or_went_between_telling_and_use_do_no_harm() {
    let mut play = Play::new(3);
    play.pool.replace_servers(0.0, &[spec(0), spec(1), spec(8)]);
    let merged = play.pool.merge_digest(0.0, &digest("donor"));
    assert_eq!((merged.accepted, merged.unknown), (2, 3));
    play.pool.replace_servers(0.0, &specs(5));
    assert!(play.pool.estimates(0.0)[4].reports.is_empty(), "what was not known is not remembered");
    play.calls(50, served);
}

#[rstest]
#[case::nan(|digest: &mut Digest| digest.items[1].log_time = f64::NAN, "log_time")]
#[case::huge(|digest: &mut Digest| digest.items[1].log_time = 1e300, "log_time")]
#[case::negative(|digest: &mut Digest| digest.items[1].samples = -1.0, "samples")]
#[case::infinite(|digest: &mut Digest| digest.items[1].variance = f64::INFINITY, "variance")]
#[case::more_failed_than_called(|digest: &mut Digest| digest.items[1].failed = 21.0, "failed")]
#[case::from_the_future(|digest: &mut Digest| digest.items[1].age_ms = -5.0, "age_ms")]
#[case::never_started(|digest: &mut Digest| digest.items[1].run.up_ms = Some(f64::NAN), "up_ms")]
#[case::twice(|digest: &mut Digest| digest.items[1].address = at(0), "twice")]
#[case::no_name(|digest: &mut Digest| digest.reporter = String::new(), "name")]
#[case::no_level(|digest: &mut Digest| digest.level = Some(f64::NAN), "level")]
#[case::too_long(|digest: &mut Digest| digest.items = vec![item(0, 1.0); 20_000], "over")]
fn a_figure_that_cannot_be_discredits_the_digest(#[case] spoil: fn(&mut Digest), #[case] names: &str) {
    let mut digest = digest("donor");
    assert_eq!(digest.check(), Ok(()));
    spoil(&mut digest);
    let problem: DigestError = digest.check().expect_err("it cannot be");
    assert!(problem.to_string().contains(names), "{problem}");
}
