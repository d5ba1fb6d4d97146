//! Tests of the server pool: the choice of servers, their estimates, ejection, and reports from other nodes.

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

/// A pool with a simulated clock. Tests give the behavior of each server: how a call ends, and after how long.
struct Simulation {
    pool: Pool,
    rng: SmallRng,
    now: f64,
    run: Option<StartReport>,
}

impl Simulation {
    fn new(count: u16) -> Self {
        Self::with_options(Options::default(), &specs(count))
    }

    fn with_options(options: Options, specs: &[Spec]) -> Self {
        Self { pool: Pool::new(0.0, options, specs), rng: SmallRng::seed_from_u64(7), now: 0.0, run: None }
    }

    fn choose(&mut self) -> Choice {
        self.pool.choose(self.now, 1.0, true, &[], &mut self.rng).expect("free capacity")
    }

    /// Starts a call to this server, whatever its estimate: the others are passed as already tried.
    fn choose_server(&mut self, server: u16) -> Choice {
        let mut tried = Vec::new();
        for _ in 0..self.pool.len() {
            let choice = self.pool.choose(self.now, 1.0, true, &tried, &mut self.rng).expect("free capacity");
            if choice.address == at(server) {
                return choice;
            }
            tried.push(choice.id);
            self.finish(&choice, CallEndKind::Abandoned, 0.0);
        }
        panic!("a server is chosen once the others were tried");
    }

    fn finish(&mut self, choice: &Choice, kind: CallEndKind, took_ms: f64) {
        self.pool.finish_call(self.now, choice, &CallEnd { kind, took_ms, run: self.run });
    }

    /// Makes `count` calls, one after the other, 20 ms apart; returns the number of calls to each server.
    fn make_calls(&mut self, count: usize, behavior: impl Fn(u16) -> (CallEndKind, f64)) -> Vec<usize> {
        let mut counts = vec![0; self.pool.len()];
        for _ in 0..count {
            let choice = self.choose();
            let server = choice.address.port() - 9000;
            let (kind, took_ms) = behavior(server);
            self.now += 20.0;
            self.finish(&choice, kind, took_ms);
            counts[usize::from(server)] += 1;
        }
        counts
    }

    /// Makes `count` calls to each server.
    fn measure(&mut self, count: usize, behavior: impl Fn(u16) -> (CallEndKind, f64)) {
        let servers = self.pool.len() as u16;
        for server in (0..count).flat_map(|_| 0..servers) {
            let choice = self.choose_server(server);
            let (kind, took_ms) = behavior(server);
            self.now += 20.0;
            self.finish(&choice, kind, took_ms);
        }
    }

    fn ejected(&self) -> Vec<SocketAddr> {
        let estimates = self.pool.estimates(self.now).into_iter();
        estimates
            .filter(|estimate| estimate.state != ServerState::Active)
            .map(|estimate| estimate.spec.address)
            .collect()
    }

    /// The estimated time of a server relative to the pool.
    fn relative_time(&self, server: u16) -> f64 {
        let estimates = self.pool.estimates(self.now);
        estimates
            .iter()
            .find(|estimate| estimate.spec.address == at(server))
            .expect("the server is in the pool")
            .relative_time
    }
}

fn served(_: u16) -> (CallEndKind, f64) {
    (CallEndKind::Served, 100.0)
}

#[rstest]
fn faster_servers_get_the_calls_and_recovered_ones_are_rediscovered() {
    let mut sim = Simulation::new(6);
    let slow = |server| if server < 2 { (CallEndKind::Served, 300.0) } else { served(server) };
    sim.make_calls(100, slow);
    let counts = sim.make_calls(200, slow);
    assert!(counts[0] + counts[1] <= 12, "{counts:?}");
    sim.make_calls(8000, served);
    assert!(
        sim.relative_time(0) < 1.3 && sim.relative_time(1) < 1.3,
        "{} and {}",
        sim.relative_time(0),
        sim.relative_time(1)
    );
}

#[rstest]
fn a_server_that_fails_fast_is_not_preferred() {
    let mut sim = Simulation::new(3);
    let failing = |server| if server == 0 { (CallEndKind::Failed, 1.0) } else { served(server) };
    sim.make_calls(60, failing);
    let counts = sim.make_calls(200, failing);
    assert!(counts[0] <= 10, "{counts:?}");
}

#[rstest]
#[case::slow(|server| if server == 0 { (CallEndKind::Served, 900.0) } else { served(server) })]
#[case::failing(|server| if server == 0 { (CallEndKind::Failed, 100.0) } else { served(server) })]
#[case::turning_away(|server| if server == 0 { (CallEndKind::Rejected, 1.0) } else { served(server) })]
fn an_outlier_is_ejected_and_readmitted_after_trial_calls(#[case] bad: fn(u16) -> (CallEndKind, f64)) {
    let mut sim = Simulation::new(4);
    sim.measure(8, bad);
    sim.make_calls(60, bad);
    assert_eq!(sim.ejected(), [at(0)]);
    assert_eq!(sim.make_calls(5, bad)[0], 0, "it gets no calls at first");
    sim.now += 25_000.0;
    sim.make_calls(300, served);
    assert!(sim.ejected().is_empty(), "it is readmitted after successful trial calls");
}

#[rstest]
fn a_failed_trial_ejects_a_server_for_longer() {
    let mut sim = Simulation::new(4);
    let bad = |server| if server == 0 { (CallEndKind::Failed, 100.0) } else { served(server) };
    let outs = |sim: &Simulation| match sim.pool.estimates(sim.now)[0].state {
        ServerState::Ejected { times, until } => (times, until - sim.now),
        _ => (0, 0.0),
    };
    sim.measure(4, bad);
    let mut seen = Vec::new();
    for _ in 0..3000 {
        sim.make_calls(1, bad);
        if seen.last().is_none_or(|(times, _)| *times < outs(&sim).0) && outs(&sim).0 > 0 {
            seen.push(outs(&sim));
        }
    }
    assert!(seen.len() >= 3, "{seen:?}");
    assert!(seen.windows(2).all(|pair| pair[1].1 > pair[0].1 || pair[1].1 > 19_000.0), "{seen:?}");
}

#[rstest]
#[case::slowdown(|_| (CallEndKind::Served, 2000.0))]
#[case::failure(|_| (CallEndKind::Failed, 50.0))]
#[case::refusal(|_| (CallEndKind::ConnectionRefused, 1.0))]
fn trouble_of_all_servers_ejects_none_and_the_pool_stays_in_use(#[case] all: fn(u16) -> (CallEndKind, f64)) {
    let mut sim = Simulation::new(10);
    sim.make_calls(300, served);
    let counts = sim.make_calls(600, all);
    let out = sim.ejected().len();
    assert!(out <= 1, "{out} servers are ejected");
    assert!(counts.iter().filter(|calls| **calls > 5).count() >= 8, "{counts:?}");
}

#[rstest]
fn ejections_are_bounded_however_many_servers_are_bad() {
    let mut sim = Simulation::new(10);
    let bad = |server| if server < 4 { (CallEndKind::Failed, 100.0) } else { served(server) };
    sim.measure(10, bad);
    sim.make_calls(60, bad);
    let out = sim.ejected().len();
    assert_eq!(out, 3, "three of ten");
}

#[rstest]
fn a_single_server_is_always_used() {
    let mut sim = Simulation::new(1);
    assert_eq!(sim.make_calls(50, |_| (CallEndKind::ConnectionRefused, 1.0)), [50]);
}

#[rstest]
fn calls_in_flight_are_bounded_and_a_finished_call_frees_its_place() {
    let options = Options { max_in_flight: 2.0, ..Options::default() };
    let mut sim = Simulation::with_options(options, &specs(3));
    let choices: Vec<Choice> = (0..6).map(|_| sim.choose()).collect();
    assert!(sim.pool.choose(sim.now, 1.0, true, &[], &mut sim.rng).is_err());
    sim.finish(&choices[0], CallEndKind::Abandoned, 5.0);
    assert_eq!(sim.choose().address, choices[0].address);
}

#[rstest]
fn retries_are_a_share_of_calls_and_go_to_other_servers() {
    let mut sim = Simulation::new(3);
    let mut further = 0;
    for _ in 0..1000 {
        let first = sim.choose();
        sim.finish(&first, CallEndKind::ConnectionRefused, 1.0);
        if sim.pool.try_take_retry() {
            further += 1;
            let next = sim.pool.choose(sim.now, 1.0, true, &[first.id], &mut sim.rng).expect("free capacity");
            assert_ne!(next.id, first.id);
            sim.finish(&next, CallEndKind::Served, 100.0);
        }
        sim.now += 10.0;
    }
    assert!((95..=103).contains(&further), "{further} of 1000");
}

#[rstest]
fn the_own_zone_is_preferred_while_it_has_free_capacity() {
    let zoned = |n: u16| Spec { zone: if n < 3 { "a" } else { "b" }.to_owned(), ..spec(n) };
    let specs: Vec<Spec> = (0..6).map(zoned).collect();
    let options = Options { zone: "a".to_owned(), ..Options::default() };
    let mut sim = Simulation::with_options(options.clone(), &specs);
    let near = |counts: Vec<usize>| counts[..3].iter().sum::<usize>();
    assert!(near(sim.make_calls(300, served)) >= 290);
    let mut sim = Simulation::with_options(options, &specs);
    let choices: Vec<Choice> = (0..60).map(|_| sim.choose()).collect();
    let far = choices.iter().filter(|choice| choice.address.port() >= 9003).count();
    assert!((10..=30).contains(&far), "{far} of 60 go to the other zone");
}

#[rstest]
fn a_restarted_server_gets_few_calls_until_it_is_warm() {
    let mut sim = Simulation::new(4);
    sim.make_calls(200, served);
    let choice = sim.choose();
    let restarted = choice.address.port() - 9000;
    sim.run = Some(StartReport { incarnation: Some(2), up_ms: Some(100.0) });
    sim.finish(&choice, CallEndKind::Served, 400.0);
    sim.run = None;
    let counts =
        sim.make_calls(
            100,
            |server| if server == restarted { (CallEndKind::Served, 400.0) } else { served(server) },
        );
    assert!(counts[usize::from(restarted)] <= 8, "{counts:?} with {restarted} cold");
    sim.now += 15_000.0;
    let together: Vec<Choice> = (0..8).map(|_| sim.choose()).collect();
    assert!(together.iter().any(|choice| choice.address == at(restarted)), "it gets its share once warm");
}

#[rstest]
fn a_call_that_was_not_sent_changes_no_estimate() {
    let mut sim = Simulation::new(4);
    sim.make_calls(50, served);
    let known = sim.pool.digest(sim.now, "me");
    let choice = sim.choose();
    sim.finish(&choice, CallEndKind::NotSent, 60_000.0);
    assert_eq!(sim.pool.digest(sim.now, "me"), known);
    assert_eq!(sim.pool.in_flight(), 0, "its place is freed");
}

#[rstest]
fn a_server_is_readmitted_without_safe_calls() {
    let mut sim = Simulation::new(4);
    let bad = |server| if server == 0 { (CallEndKind::Failed, 100.0) } else { served(server) };
    sim.measure(4, bad);
    sim.make_calls(5, bad);
    assert_eq!(sim.ejected(), [at(0)]);
    let trials = |sim: &mut Simulation, calls: usize| {
        let counts = (0..calls).filter(|_| {
            let choice = sim.pool.choose(sim.now, 1.0, false, &[], &mut sim.rng).expect("free capacity");
            sim.now += 20.0;
            sim.finish(&choice, CallEndKind::Served, 100.0);
            choice.address == at(0)
        });
        counts.count()
    };
    assert_eq!(trials(&mut sim, 500), 0, "trials wait for safe calls first");
    assert!(trials(&mut sim, 5000) >= 3);
    assert!(sim.ejected().is_empty());
}

#[rstest]
fn servers_are_added_and_removed_with_calls_in_flight() {
    let mut sim = Simulation::new(3);
    let choices: Vec<Choice> = (0..9).map(|_| sim.choose()).collect();
    sim.pool.replace_servers(sim.now, &[spec(2), spec(5)]);
    assert_eq!(sim.pool.len(), 2);
    choices.iter().for_each(|choice| sim.finish(choice, CallEndKind::Served, 50.0));
    assert_eq!(sim.pool.in_flight(), 0, "calls to removed servers are not counted");
    let counts: Vec<u16> = (0..40).map(|_| sim.choose().address.port()).collect();
    assert!(counts.contains(&9005) && counts.iter().all(|port| [9002, 9005].contains(port)));
}

proptest! {
    /// Random sequences of steps: calls in flight are counted exactly, the bounds hold, and a server is chosen as long as
    /// any has free capacity.
    #[test]
    fn places_are_never_lost_nor_given_twice(
        steps in prop::collection::vec((0_u8..8, any::<prop::sample::Index>(), 0.0..500.0_f64), 1..300),
    ) {
        let options = Options { max_in_flight: 3.0, ..Options::default() };
        let mut sim = Simulation::with_options(options, &specs(5));
        let mut open: Vec<Choice> = Vec::new();
        for (step, which, ms) in steps {
            sim.now += ms;
            if step < 4 {
                match sim.pool.choose(sim.now, 1.0 + ms, step == 0, &[], &mut sim.rng) {
                    Ok(choice) => open.push(choice),
                    Err(_) => prop_assert_eq!(open.len(), 15),
                }
            } else if !open.is_empty() {
                let choice = open.swap_remove(which.index(open.len()));
                let kinds = [CallEndKind::Served, CallEndKind::Failed, CallEndKind::ConnectionRefused, CallEndKind::Abandoned];
                sim.finish(&choice, kinds[usize::from(step) - 4], ms);
            }
            prop_assert!(sim.pool.digest(sim.now, "me").check().is_ok(), "its digest is valid");
            prop_assert_eq!(sim.pool.in_flight(), open.len() as u64);
            let estimates = sim.pool.estimates(sim.now);
            for estimate in &estimates {
                let held = open.iter().filter(|choice| choice.address == estimate.spec.address).count();
                prop_assert_eq!(estimate.in_flight as usize, held);
                prop_assert!(held <= 3 && estimate.relative_time.is_finite() && (0.0..=1.0).contains(&estimate.failure_rate));
            }
            let out = estimates.iter().filter(|estimate| estimate.state != ServerState::Active).count();
            prop_assert!(out <= 1, "{} of 5 servers are ejected", out);
        }
    }
}

// Reports from other nodes.

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

/// A digest of five servers of which the first two are slow.
fn digest(reporter: &str) -> Digest {
    let items = (0..5).map(|n| item(n, if n < 2 { 3.0 } else { 1.0 })).collect();
    Digest { reporter: reporter.to_owned(), level: Some(100_f64.ln()), items }
}

fn sim_with_report(change: impl Fn(&mut ServerStats)) -> Simulation {
    let mut digest = digest("donor");
    digest.items.iter_mut().for_each(change);
    let mut sim = Simulation::new(5);
    sim.pool.merge_digest(sim.now, &digest);
    sim
}

#[rstest]
fn a_new_pool_uses_reported_statistics() {
    let mut sim = sim_with_report(|_| ());
    assert!(sim.relative_time(0) > 2.0 && sim.relative_time(4) < 1.1);
    let counts =
        sim.make_calls(60, |server| if server < 2 { (CallEndKind::Served, 300.0) } else { served(server) });
    assert!(counts[0] + counts[1] <= 4, "{counts:?}");
}

#[rstest]
#[case::another_start(Some(StartReport { incarnation: Some(9), up_ms: None }))]
#[case::a_later_start(Some(StartReport { incarnation: None, up_ms: Some(10.0) }))]
fn reports_on_another_start_of_a_server_are_discarded(#[case] run: Option<StartReport>) {
    // In both orders: the report arrives before or after the call that shows the start.
    let mut sim = sim_with_report(|_| ());
    for _ in 0..2 {
        let choice = sim.choose_server(4);
        sim.run = run;
        sim.finish(&choice, CallEndKind::Served, 100.0);
        let estimate = &sim.pool.estimates(sim.now)[4];
        assert!(estimate.reports.is_empty(), "{estimate:?}");
        sim = Simulation { run: None, ..sim };
        assert_eq!(sim.pool.merge_digest(sim.now, &digest("again")).stale, 1);
        assert!(sim.pool.estimates(sim.now)[4].reports.is_empty());
    }
}

#[rstest]
fn reports_from_before_an_outage_are_discarded() {
    let mut sim = sim_with_report(|item| item.run = StartReport { incarnation: None, up_ms: None });
    let choice = sim.choose_server(3);
    sim.now += 1_000.0;
    sim.finish(&choice, CallEndKind::ConnectionRefused, 1.0);
    assert_eq!(
        sim.pool.estimates(sim.now)[3].reports.len(),
        1,
        "a refused connection alone proves no new start"
    );
    let back = sim.choose_server(3);
    sim.now += 1_000.0;
    sim.finish(&back, CallEndKind::Served, 100.0);
    assert!(sim.pool.estimates(sim.now)[3].reports.is_empty());
}

#[rstest]
fn the_weight_of_a_report_falls_with_its_age_to_zero() {
    let weight = |age_ms: f64| {
        let sim = sim_with_report(|item| item.age_ms = age_ms);
        sim.pool.estimates(sim.now)[2].reports.first().map_or(0.0, |report| report.weight)
    };
    assert!(weight(0.0) > weight(30_000.0) && weight(30_000.0) > weight(120_000.0));
    assert!(weight(0.0) <= 12.0, "the weight is capped");
    assert!(weight(400_000.0) == 0.0);
}

#[rstest]
#[case::speeds_inverted(|item: &mut ServerStats| item.log_time = -item.log_time)]
#[case::one_too_fast(|item: &mut ServerStats| if item.address == at(0) { item.log_time = -3.0 })]
fn contradicting_own_samples_lower_the_trust_in_a_reporter(#[case] falsify: fn(&mut ServerStats)) {
    let mut sim = sim_with_report(falsify);
    let initial_trust = sim.pool.reporters().next().expect("a reporter").1;
    sim.make_calls(100, |server| if server < 2 { (CallEndKind::Served, 300.0) } else { served(server) });
    let trust = sim.pool.reporters().next().expect("a reporter").1;
    assert!(trust < 0.6 * initial_trust, "{trust} of {initial_trust}");
    let counts =
        sim.make_calls(100, |server| if server < 2 { (CallEndKind::Served, 300.0) } else { served(server) });
    assert!(counts[0] + counts[1] <= 10, "{counts:?}");
}

#[rstest]
fn a_reporter_that_claims_all_servers_fail_is_ignored() {
    let mut sim = sim_with_report(|item| (item.failed, item.ejected) = (item.calls, true));
    assert!(sim.ejected().len() <= 1, "a report starts no more trials than ejections are allowed");
    sim.make_calls(100, served);
    assert_eq!(sim.pool.reporters().next().expect("a reporter").1, 0.0);
    assert!(sim.pool.estimates(sim.now).iter().all(|estimate| estimate.failure_rate < 0.05));
}

#[rstest]
fn a_report_with_few_samples_has_little_weight() {
    let sim = sim_with_report(|item| (item.samples, item.calls, item.log_time) = (0.2, 0.2, -item.log_time));
    assert!((0.7..1.4).contains(&sim.relative_time(0)), "{}", sim.relative_time(0));
}

#[rstest]
fn two_disagreeing_reporters_count_little_and_two_of_three_outvote_one() {
    let mut inverted = digest("liar");
    inverted.items.iter_mut().for_each(|item| item.log_time = -item.log_time);
    let mut sim = Simulation::new(5);
    sim.pool.merge_digest(0.0, &digest("one"));
    let alone = sim.relative_time(0);
    sim.pool.merge_digest(0.0, &inverted);
    assert!(sim.relative_time(0) < 0.6 * alone, "{} of {alone}", sim.relative_time(0));
    sim.pool.merge_digest(0.0, &digest("two"));
    assert!(sim.relative_time(0) > 1.5, "{}", sim.relative_time(0));
}

#[rstest]
fn clocks_an_hour_apart_do_not_matter() {
    let mut reporter = Simulation::new(5);
    reporter.now = 3_600_000.0;
    reporter.measure(5, |server| if server < 2 { (CallEndKind::Served, 300.0) } else { served(server) });
    let mut sim = Simulation::new(5);
    sim.pool.merge_digest(sim.now, &reporter.pool.digest(reporter.now, "reporter"));
    assert!(sim.relative_time(0) > 1.8, "{}", sim.relative_time(0));
    let ages = sim.pool.estimates(sim.now).into_iter().flat_map(|estimate| estimate.reports);
    assert!(ages.map(|report| report.age_ms).all(|age| (0.0..1_000.0).contains(&age)));
}

#[rstest]
fn extreme_uptimes_and_times_do_not_invalidate_a_digest() {
    let mut sim = Simulation::new(1);
    sim.run = Some(StartReport { incarnation: None, up_ms: Some(4e9) });
    sim.make_calls(1, served);
    sim.now += 40.0 * 365.0 * 86_400_000.0;
    sim.run = None;
    sim.make_calls(2, |_| (CallEndKind::Served, 1e300));
    assert_eq!(sim.pool.digest(sim.now, "me").check(), Ok(()));
}

#[rstest]
fn a_digest_holds_own_measurements_only() {
    let mut sim = sim_with_report(|_| ());
    assert!(sim.pool.digest(sim.now, "newcomer").items.is_empty(), "reports are not passed on");
    let choice = sim.choose();
    sim.now += 100.0;
    sim.finish(&choice, CallEndKind::Served, 100.0);
    let digest = sim.pool.digest(sim.now, "newcomer");
    assert_eq!(digest.items.iter().map(|item| item.address).collect::<Vec<_>>(), [choice.address]);
    assert!(digest.check().is_ok() && digest.items[0].samples <= 1.0);
}

#[rstest]
fn reports_on_unknown_servers_are_counted_and_dropped() {
    let mut sim = Simulation::new(3);
    sim.pool.replace_servers(0.0, &[spec(0), spec(1), spec(8)]);
    let merged = sim.pool.merge_digest(0.0, &digest("donor"));
    assert_eq!((merged.accepted, merged.unknown), (2, 3));
    sim.pool.replace_servers(0.0, &specs(5));
    assert!(sim.pool.estimates(0.0)[4].reports.is_empty(), "claims about unknown servers are not stored");
    sim.make_calls(50, served);
}

#[rstest]
#[case::nan(|digest: &mut Digest| digest.items[1].log_time = f64::NAN, "log_time")]
#[case::huge(|digest: &mut Digest| digest.items[1].log_time = 1e300, "log_time")]
#[case::negative(|digest: &mut Digest| digest.items[1].samples = -1.0, "samples")]
#[case::infinite(|digest: &mut Digest| digest.items[1].variance = f64::INFINITY, "variance")]
#[case::more_failed_than_called(|digest: &mut Digest| digest.items[1].failed = 21.0, "failed")]
#[case::negative_age(|digest: &mut Digest| digest.items[1].age_ms = -5.0, "age_ms")]
#[case::nan_uptime(|digest: &mut Digest| digest.items[1].run.up_ms = Some(f64::NAN), "up_ms")]
#[case::twice(|digest: &mut Digest| digest.items[1].address = at(0), "twice")]
#[case::no_name(|digest: &mut Digest| digest.reporter = String::new(), "name")]
#[case::nan_level(|digest: &mut Digest| digest.level = Some(f64::NAN), "level")]
#[case::too_long(|digest: &mut Digest| digest.items = vec![item(0, 1.0); 20_000], "over")]
fn an_invalid_value_rejects_the_digest(#[case] corrupt: fn(&mut Digest), #[case] message_part: &str) {
    let mut digest = digest("donor");
    assert_eq!(digest.check(), Ok(()));
    corrupt(&mut digest);
    let problem: DigestError = digest.check().expect_err("the digest is invalid");
    assert!(problem.to_string().contains(message_part), "{problem}");
}
