//! Tests that all processes together stay within the bound on calls to a server in slow start, without communicating
//! with each other. The clock is simulated.

use std::collections::VecDeque;
use std::net::SocketAddr;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use sillflow::route::{
    ASSUMED_PROCESSES, CallEnd, CallEndKind, Choice, NoFreeServer, Options, Pool, Spec, slow_start_bound,
};
use sillflow::server_stats::StartReport;

/// Warm-up time of a server, in ms.
const WARM_MS: f64 = 4_000.0;
/// Time between two steps of the simulation, in ms.
const STEP_MS: f64 = 10.0;
/// When the cold server stops and when it is up again, in ms.
const DOWN_MS: f64 = 1_000.0;
const UP_MS: f64 = 3_000.0;
/// Calls of all processes together in each step.
const CALLS_PER_STEP: f64 = 6.0;
const SERVERS: u16 = 4;
/// The server that starts during the simulation.
const COLD_SERVER: u16 = 0;

/// How processes learn of the start.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Start {
    /// The server refuses connections for a while.
    AfterRefusals,
    /// It is added to the list.
    Listed,
    /// Like `AfterRefusals`, and half of the processes are replaced while the server warms up.
    WithNewProcesses,
}

fn at(server: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9000 + server))
}

fn specs(servers: std::ops::Range<u16>) -> Vec<Spec> {
    servers.map(|n| Spec { address: at(n), zone: String::new(), weight: 1.0 }).collect()
}

struct Process {
    pool: Pool,
    calls: VecDeque<(f64, Choice, CallEnd)>,
    /// Whether it knows that the server has started, or may have started.
    knows_of_start: bool,
}

impl Process {
    fn new(now: f64, options: &Options, servers: std::ops::Range<u16>) -> Self {
        let pool = Pool::new(now, options.clone(), &specs(servers));
        Self { pool, calls: VecDeque::new(), knows_of_start: false }
    }

    /// Finishes the calls that are due by `now`.
    fn finish_due_calls(&mut self, now: f64) {
        while self.calls.front().is_some_and(|(until, ..)| *until <= now) {
            let Some((_, choice, ended)) = self.calls.pop_front() else { return };
            self.knows_of_start |= choice.address == at(COLD_SERVER)
                && (ended.kind == CallEndKind::ConnectionRefused || now > UP_MS);
            self.pool.finish_call(now, &choice, &ended);
        }
    }

    /// Makes a call; returns whether it reached the cold server after its start.
    fn make_call(&mut self, now: f64, rng: &mut SmallRng) -> Result<bool, NoFreeServer> {
        let choice = self.pool.choose(now, 1.0, true, &[], rng)?;
        let cold = choice.address == at(COLD_SERVER);
        let refused = cold && (DOWN_MS..UP_MS).contains(&now);
        let up_ms = if cold && now >= UP_MS { now - UP_MS } else { 1e6 + now };
        let incarnation = Some(if cold && now >= UP_MS { 2 } else { 1 });
        let run = Some(StartReport { incarnation, up_ms: Some(up_ms) });
        let (kind, took_ms) =
            if refused { (CallEndKind::ConnectionRefused, 1.0) } else { (CallEndKind::Served, 50.0) };
        let ended = CallEnd { kind, took_ms, run: run.filter(|_| !refused) };
        self.calls.push_back((now + 50.0, choice, ended));
        Ok(cold && now >= UP_MS)
    }
}

/// Number of calls that the cold server received while it warmed up, from processes that knew of its start or that it
/// was down.
fn calls_while_warming(start: Start, options: &Options, processes: usize, seed: u64) -> usize {
    let mut rng = SmallRng::seed_from_u64(seed);
    let initial_servers =
        if start == Start::Listed { COLD_SERVER + 1..SERVERS } else { COLD_SERVER..SERVERS };
    let mut fleet: Vec<Process> =
        (0..processes).map(|_| Process::new(0.0, options, initial_servers.clone())).collect();
    let mut received = 0;
    let steps = ((UP_MS + WARM_MS) / STEP_MS) as usize;
    for step in 0..steps {
        let now = step as f64 * STEP_MS;
        if now == UP_MS && start == Start::Listed {
            for process in &mut fleet {
                process.pool.replace_servers(now, &specs(COLD_SERVER..SERVERS));
                process.knows_of_start = true;
            }
        }
        if now == UP_MS + WARM_MS / 2.0 && start == Start::WithNewProcesses {
            fleet
                .iter_mut()
                .step_by(2)
                .for_each(|old| *old = Process::new(now, options, COLD_SERVER..SERVERS));
        }
        fleet.iter_mut().for_each(|process| process.finish_due_calls(now));
        for _ in 0..(CALLS_PER_STEP as usize) {
            let process = &mut fleet[rng.random_range(0..processes)];
            let knows_of_start = process.knows_of_start;
            received += usize::from(process.make_call(now, &mut rng) == Ok(true) && knows_of_start);
        }
    }
    received
}

fn options(calls: f64, processes: usize) -> Options {
    Options {
        warm_ms: WARM_MS,
        slow_start_calls: Some(calls),
        processes: Some(processes as u32),
        ..Options::default()
    }
}

#[rstest]
fn all_processes_together_stay_within_the_bound(
    #[values(Start::AfterRefusals, Start::Listed, Start::WithNewProcesses)] start: Start,
    #[values(1, 2, 30, 300)] processes: usize,
    #[values(1.0, 4.0, 10.0, 29.0, 30.0, 100.0, 400.0)] calls: f64,
) {
    let received: Vec<usize> =
        (0..10).map(|seed| calls_while_warming(start, &options(calls, processes), processes, seed)).collect();
    let max_calls = slow_start_bound(calls);
    assert!(
        received.iter().all(|received| *received as f64 <= max_calls),
        "{received:?} of at most {max_calls}"
    );
    assert!(calls < 4.0 || received.iter().sum::<usize>() > 0, "the cold server is tried");
}

#[rstest]
fn an_unknown_number_of_processes_stays_within_the_bound(#[values(1, 30, 300)] processes: usize) {
    let options = options(30.0, ASSUMED_PROCESSES as usize);
    let received: Vec<usize> =
        (0..10).map(|seed| calls_while_warming(Start::AfterRefusals, &options, processes, seed)).collect();
    assert!(received.iter().all(|received| *received as f64 <= slow_start_bound(30.0)), "{received:?}");
}

#[rstest]
#[case::one_call(1.0, 4.0 + 3.0)]
#[case::from_thirty_on(30.0, 42.95)]
#[case::under_thirty(29.0, 48.15)]
fn the_bound_matches_the_operators_formula(#[case] calls: f64, #[case] expected: f64) {
    assert!((slow_start_bound(calls) - expected).abs() < 0.01, "{}", slow_start_bound(calls));
}

#[rstest]
fn if_every_server_is_cold_only_a_configured_bound_stops_calls() {
    let chosen_and_in_flight = |configured: Option<f64>| {
        let options = Options { slow_start_calls: configured, max_in_flight: 4.0, ..options(4.0, 300) };
        let mut rng = SmallRng::seed_from_u64(1);
        let mut pool = Pool::new(0.0, options, &specs(0..1));
        pool.replace_servers(10.0, &specs(1..3));
        let chosen = (0..20).filter(|_| pool.choose(20.0, 1.0, true, &[], &mut rng).is_ok()).count();
        (chosen, pool.in_flight())
    };
    assert_eq!(chosen_and_in_flight(Some(4.0)), (0, 0), "the shares are fractions of a call");
    assert_eq!(chosen_and_in_flight(None), (8, 8), "as many as max_in_flight allows");
}

#[rstest]
fn a_pool_follows_the_number_of_processes_and_the_end_of_warm_up() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut pool = Pool::new(0.0, options(40.0, 300), &specs(0..1));
    pool.replace_servers(10.0, &specs(1..2));
    let mut chosen = |pool: &mut Pool, now: f64| pool.choose(now, 1.0, true, &[], &mut rng).is_ok();
    assert!(!chosen(&mut pool, 300.0));
    pool.set_process_count(1);
    assert!(chosen(&mut pool, 300.0), "this process has the whole share");
    assert!((0..20).all(|_| chosen(&mut pool, 10.0 + WARM_MS)), "the server is warm");
}
