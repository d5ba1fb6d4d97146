//! What a server in slow start gets in sum over all processes that call it, which do not talk with each other. Plain
//! functions: the time is an argument.

use std::collections::VecDeque;
use std::net::SocketAddr;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use sillflow::route::{
    ASSUMED_PROCESSES, CallEnd, CallEndKind, Choice, NoFreeServer, Options, Pool, Spec, slow_start_bound,
};
use sillflow::server_stats::StartReport;

/// Time in which a server warms, in ms, and that between two steps of the simulation.
const WARM_MS: f64 = 4_000.0;
const STEP_MS: f64 = 10.0;
/// When the server goes, and when it is up again.
const DOWN_MS: f64 = 1_000.0;
const UP_MS: f64 = 3_000.0;
/// Calls of all processes together in a step, on the mean.
const CALLS: f64 = 6.0;
const SERVERS: u16 = 4;
/// The one that starts in view of the processes.
const COLD: u16 = 0;

/// How processes come to know of the start.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Start {
    /// The server refuses connections for a while.
    AfterRefusals,
    /// It is new in the list.
    Listed,
    /// As the first, and half of the processes are replaced while it warms.
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
    /// Whether it knows that the server has started, or may have.
    told: bool,
}

impl Process {
    fn new(now: f64, options: &Options, servers: std::ops::Range<u16>) -> Self {
        let pool = Pool::new(now, options.clone(), &specs(servers));
        Self { pool, calls: VecDeque::new(), told: false }
    }

    /// Ends the calls that are over.
    fn end(&mut self, now: f64) {
        while self.calls.front().is_some_and(|(until, ..)| *until <= now) {
            let Some((_, choice, ended)) = self.calls.pop_front() else { return };
            self.told |=
                choice.address == at(COLD) && (ended.kind == CallEndKind::ConnectionRefused || now > UP_MS);
            self.pool.finish_call(now, &choice, &ended);
        }
    }

    /// Makes a call; whether it came to the cold server.
    fn call(&mut self, now: f64, rng: &mut SmallRng) -> Result<bool, NoFreeServer> {
        let choice = self.pool.choose(now, 1.0, true, &[], rng)?;
        let cold = choice.address == at(COLD);
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

/// Calls that came to the server while it warmed, from processes that knew of its start or that it was down.
fn gets(start: Start, options: &Options, processes: usize, seed: u64) -> usize {
    let mut rng = SmallRng::seed_from_u64(seed);
    let first = if start == Start::Listed { COLD + 1..SERVERS } else { COLD..SERVERS };
    let mut fleet: Vec<Process> = (0..processes).map(|_| Process::new(0.0, options, first.clone())).collect();
    let mut got = 0;
    let steps = ((UP_MS + WARM_MS) / STEP_MS) as usize;
    for step in 0..steps {
        let now = step as f64 * STEP_MS;
        if now == UP_MS && start == Start::Listed {
            for process in &mut fleet {
                process.pool.replace_servers(now, &specs(COLD..SERVERS));
                process.told = true;
            }
        }
        if now == UP_MS + WARM_MS / 2.0 && start == Start::WithNewProcesses {
            fleet.iter_mut().step_by(2).for_each(|old| *old = Process::new(now, options, COLD..SERVERS));
        }
        fleet.iter_mut().for_each(|process| process.end(now));
        for _ in 0..(CALLS as usize) {
            let process = &mut fleet[rng.random_range(0..processes)];
            let told = process.told;
            got += usize::from(process.call(now, &mut rng) == Ok(true) && told);
        }
    }
    got
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
fn all_processes_together_keep_to_what_a_cold_server_may_get(
    #[values(Start::AfterRefusals, Start::Listed, Start::WithNewProcesses)] start: Start,
    #[values(1, 2, 30, 300)] processes: usize,
    #[values(1.0, 4.0, 10.0, 29.0, 30.0, 100.0, 400.0)] calls: f64,
) {
    let got: Vec<usize> =
        (0..10).map(|seed| gets(start, &options(calls, processes), processes, seed)).collect();
    let most = slow_start_bound(calls);
    assert!(got.iter().all(|got| *got as f64 <= most), "{got:?} of at most {most}");
    assert!(calls < 4.0 || got.iter().sum::<usize>() > 0, "it is tried");
}

#[rstest]
fn a_process_that_does_not_know_how_many_there_are_takes_as_little_as_one_of_very_many(
    #[values(1, 30, 300)] processes: usize,
) {
    let options = options(30.0, ASSUMED_PROCESSES as usize);
    let got: Vec<usize> = (0..10).map(|seed| gets(Start::AfterRefusals, &options, processes, seed)).collect();
    assert!(got.iter().all(|got| *got as f64 <= slow_start_bound(30.0)), "{got:?}");
}

#[rstest]
#[case::told_so(1.0, 4.0 + 3.0)]
#[case::from_thirty_on(30.0, 42.95)]
#[case::under_thirty(29.0, 48.15)]
fn the_bound_is_that_of_the_operators(#[case] calls: f64, #[case] most: f64) {
    assert!((slow_start_bound(calls) - most).abs() < 0.01, "{}", slow_start_bound(calls));
}

#[rstest]
fn where_every_server_is_cold_only_a_bound_that_is_named_stops_calls() {
    let place = |named: Option<f64>| {
        let options = Options { slow_start_calls: named, max_in_flight: 4.0, ..options(4.0, 300) };
        let mut rng = SmallRng::seed_from_u64(1);
        let mut pool = Pool::new(0.0, options, &specs(0..1));
        pool.replace_servers(10.0, &specs(1..3));
        let chosen = (0..20).filter(|_| pool.choose(20.0, 1.0, true, &[], &mut rng).is_ok()).count();
        (chosen, pool.in_flight())
    };
    assert_eq!(place(Some(4.0)), (0, 0), "their shares are fractions of a call");
    assert_eq!(place(None), (8, 8), "as many as have a place");
}

#[rstest]
fn a_pool_turns_to_another_number_of_processes_and_to_warm_servers() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut pool = Pool::new(0.0, options(40.0, 300), &specs(0..1));
    pool.replace_servers(10.0, &specs(1..2));
    let mut chosen = |pool: &mut Pool, now: f64| pool.choose(now, 1.0, true, &[], &mut rng).is_ok();
    assert!(!chosen(&mut pool, 300.0));
    pool.set_process_count(1);
    assert!(chosen(&mut pool, 300.0), "the whole share is this process's");
    assert!((0..20).all(|_| chosen(&mut pool, 10.0 + WARM_MS)), "it is warm");
}
