//! What inherited knowledge and the choice among servers gain, on emulated servers: one line a figure, with the bar
//! that it is held to. Seeded but for the times of the last part; ends with a failure where a figure falls short.

mod clients;
#[path = "../shared/report.rs"]
mod report;
mod world;

use std::process::ExitCode;
use std::time::Instant;

use clients::{Plain, Routed, Way, address, specs};
use hdrhistogram::Histogram;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use report::Report;
use sillflow::route::{CallEnd, CallEndKind, Options, Pool};
use sillflow::server_stats::{Digest, ServerStats, StartReport};
use world::{Client, Outcome, Server, play};

const SEEDS: u64 = 40;
/// More of them where a mean over single calls is wanted.
const NEWCOMERS: u64 = 200;
const SERVERS: usize = 12;
/// Calls a second, and the time that the long-running instance has served before the newcomer comes, in ms.
const RATE: f64 = 40.0;
const BEFORE_MS: f64 = 60_000.0;
const AFTER_MS: f64 = 40_000.0;
/// Calls over which a mean cost is taken, and how long it must stay near.
const WINDOW: usize = 20;
const STAYS: usize = 40;

/// Servers in all pools together whose memory is measured.
const SIZED: usize = 100_000;

/// Twelve servers: a third slow, two warming from 22%, one failing 30%.
fn servers(seed: u64) -> Vec<Server> {
    let mut servers: Vec<Server> =
        (0..SERVERS).map(|at| Server::new(if at < SERVERS / 3 { 3.0 } else { 1.0 })).collect();
    for server in &mut servers[4..6] {
        server.started = -1_000.0;
    }
    servers[6].failing = 0.3;
    servers.shuffle(&mut SmallRng::seed_from_u64(seed));
    servers
}

/// A long-running instance as it stands when the newcomer comes.
fn veteran(seed: u64) -> Routed {
    let mut veteran = Routed::new(-BEFORE_MS, SERVERS, seed);
    play(&mut servers(seed), &mut veteran, seed ^ 0xbef0, (-BEFORE_MS, 0.0), RATE);
    veteran
}

fn after(seed: u64, client: &mut impl Client) -> Outcome {
    play(&mut servers(seed), client, seed ^ 0xaf7e, (0.0, AFTER_MS), RATE)
}

fn alone(seed: u64) -> Outcome {
    after(seed, &mut Routed::new(0.0, SERVERS, seed ^ 1))
}

fn told(seed: u64, digests: &[Digest]) -> Outcome {
    after(seed, &mut Routed::new(0.0, SERVERS, seed ^ 1).told(0.0, digests))
}

/// Mean cost of the nth call over all seeds, each over a window.
fn curve(outcomes: &[Outcome]) -> Vec<f64> {
    let calls = outcomes.iter().map(|outcome| outcome.calls.len()).min().expect("outcomes");
    let mean =
        |n: usize| outcomes.iter().map(|outcome| outcome.calls[n].1).sum::<f64>() / outcomes.len() as f64;
    let means: Vec<f64> = (0..calls).map(mean).collect();
    means.windows(WINDOW).map(|window| window.iter().sum::<f64>() / WINDOW as f64).collect()
}

/// Calls until the mean cost is within 5% of the other's, and stays there.
fn calls_until_near(curve: &[f64], long: &[f64]) -> usize {
    let near: Vec<bool> = curve.iter().zip(long).map(|(own, long)| *own <= 1.05 * long).collect();
    near.windows(STAYS)
        .position(|stays| stays.iter().filter(|near| **near).count() * 20 >= STAYS * 19)
        .unwrap_or(near.len())
}

fn newcomer(report: &mut Report) {
    let (mut long, mut by_itself, mut with_digest) = (Vec::new(), Vec::new(), Vec::new());
    for seed in 0..NEWCOMERS {
        let mut veteran = veteran(seed);
        let digest = veteran.pool.digest(0.0, "veteran");
        long.push(after(seed, &mut veteran));
        by_itself.push(alone(seed));
        with_digest.push(told(seed, &[digest]));
    }
    let long = curve(&long);
    let alone = calls_until_near(&curve(&by_itself), &long);
    let told = calls_until_near(&curve(&with_digest), &long);
    report.plain("calls until within 5% of a long-running instance, alone", alone as f64);
    report.plain("calls until within 5% of a long-running instance, told", told as f64);
    report.least("calls that a newcomer needs alone", alone as f64, 1.0);
    report.most(
        "calls that one needs who was told, beside alone",
        told as f64 / alone.max(1) as f64,
        1.0 / 3.0,
    );
}

type Plant = fn(u64, Digest) -> Vec<Digest>;

fn each(mut digest: Digest, change: impl Fn(&mut ServerStats)) -> Vec<Digest> {
    digest.items.iter_mut().for_each(change);
    vec![digest]
}

/// Donors that are wrong, each in its own way.
const PLANTS: [(&str, Plant); 9] = [
    ("speeds inverted", |_, honest| each(honest, |item| item.log_time = -item.log_time)),
    ("all failures nil", |_, honest| each(honest, |item| (item.failed, item.ejected) = (0.0, false))),
    ("the worst server praised", |_, mut honest| {
        let worst = |a: &&mut ServerStats, b: &&mut ServerStats| a.log_time.total_cmp(&b.log_time);
        if let Some(item) = honest.items.iter_mut().max_by(worst) {
            (item.log_time, item.failed, item.samples) = (-3.0, 0.0, 1e6);
        }
        vec![honest]
    }),
    ("its links broken", |_, honest| each(honest, |item| (item.failed, item.ejected) = (item.calls, true))),
    ("inverted and failures turned round", |_, honest| {
        each(honest, |item| {
            (item.log_time, item.failed, item.samples) =
                (-3.0 * item.log_time, item.calls - item.failed, 1e6);
        })
    }),
    ("cold itself", |seed, _| {
        let mut cold = Routed::new(-300.0, SERVERS, seed ^ 2);
        play(&mut servers(seed), &mut cold, seed ^ 0xc01d, (-300.0, 0.0), RATE);
        vec![cold.pool.digest(0.0, "cold")]
    }),
    ("from before all servers changed places", |seed, mut honest| {
        let mut order: Vec<usize> = (0..honest.items.len()).collect();
        order.shuffle(&mut SmallRng::seed_from_u64(seed ^ 3));
        let old = honest.items.clone();
        for (item, from) in honest.items.iter_mut().zip(order) {
            (item.log_time, item.failed, item.calls) =
                (old[from].log_time, old[from].failed, old[from].calls);
            (item.age_ms, item.run) = (30_000.0, StartReport { incarnation: None, up_ms: None });
        }
        vec![honest]
    }),
    ("one of two, the other inverted", |_, honest| {
        let mut liar = honest.clone();
        liar.reporter = "liar".to_owned();
        liar.items.iter_mut().for_each(|item| item.log_time = -item.log_time);
        vec![honest, liar]
    }),
    ("one of three, one inverted, one broken", |_, honest| {
        let (mut liar, mut broken) = (honest.clone(), honest.clone());
        (liar.reporter, broken.reporter) = ("liar".to_owned(), "broken".to_owned());
        liar.items.iter_mut().for_each(|item| item.log_time = -item.log_time);
        broken.items.iter_mut().for_each(|item| item.failed = item.calls);
        vec![honest, liar, broken]
    }),
];

fn planted(report: &mut Report) {
    let honest: Vec<Digest> = (0..SEEDS).map(|seed| veteran(seed).pool.digest(0.0, "donor")).collect();
    let by_itself: Vec<Outcome> = (0..SEEDS).map(alone).collect();
    for (name, plant) in PLANTS {
        let (mut first, mut then, mut worst) = (0.0, 0.0, f64::MAX);
        for seed in 0..SEEDS {
            let told = told(seed, &plant(seed, honest[seed as usize].clone()));
            let beside = |from, to| told.worth(from, to) / by_itself[seed as usize].worth(from, to);
            first += beside(0.0, 10_000.0) / SEEDS as f64;
            then += beside(10_000.0, AFTER_MS) / SEEDS as f64;
            worst = beside(0.0, 10_000.0).min(worst);
        }
        report.least(&format!("donor {name}: worth in the first 10 s beside alone, worst seed"), worst, 0.95);
        report.least(&format!("donor {name}: worth in the first 10 s beside alone"), first, 0.95);
        report.least(&format!("donor {name}: worth after 10 s beside alone"), then, 0.98);
    }
}

fn p99(outcomes: &[Outcome]) -> f64 {
    let mut times = Histogram::<u64>::new_with_bounds(1, 600_000_000, 3).expect("a histogram");
    let all = outcomes.iter().flat_map(|outcome| &outcome.took_ms);
    all.for_each(|took| times.saturating_record((took * 1000.0) as u64));
    times.value_at_quantile(0.99) as f64 / 1000.0
}

/// The choice against plain ones, on the same draws.
fn choices(report: &mut Report) {
    let alike = |_: u64| (0..SERVERS).map(|_| Server::new(1.0)).collect::<Vec<_>>();
    let turning = |seed: u64| {
        let mut servers = servers(seed);
        for (at, server) in servers.iter_mut().enumerate() {
            let other = if at % 2 == 0 { 3.0 } else { 1.0 };
            server.slow.push((20_000.0, other));
        }
        servers
    };
    type Case<'a> = (&'a str, &'a dyn Fn(u64) -> Vec<Server>, f64, bool);
    let cases: [Case; 4] = [
        ("mixed servers", &servers, RATE, true),
        ("mixed servers, busy", &servers, 3.0 * RATE, true),
        ("servers that trade places", &turning, RATE, true),
        // The known loss: where there is nothing to learn, a full view of what is in hand beats three candidates.
        ("servers all alike, busy", &alike, 8.0 * RATE, false),
    ];
    for (name, make, rate, held) in cases {
        let run = |client: &mut dyn FnMut(u64) -> Outcome| (0..SEEDS).map(client).collect::<Vec<_>>();
        let time = (0.0, AFTER_MS);
        let worth = |all: &[Outcome]| {
            all.iter().map(|outcome| outcome.worth(0.0, AFTER_MS)).sum::<f64>() / all.len() as f64
        };
        let pool =
            run(&mut |seed| play(&mut make(seed), &mut Routed::new(0.0, SERVERS, seed), seed, time, rate));
        println!("{name}: pool: worth {:.3}, 99th percentile {:.0} ms", worth(&pool), p99(&pool));
        for way in [Way::RoundRobin, Way::LeastInHand, Way::PowerOfTwo] {
            let plain =
                run(&mut |seed| play(&mut make(seed), &mut Plain::new(way, SERVERS, seed), seed, time, rate));
            println!("{name}: {way:?}: worth {:.3}, 99th percentile {:.0} ms", worth(&plain), p99(&plain));
            let (more, tail) = (worth(&pool) / worth(&plain), p99(&pool) / p99(&plain));
            if held {
                report.least(&format!("{name}: worth beside {way:?}"), more, 1.0);
                report.most(&format!("{name}: 99th percentile beside {way:?}"), tail, 1.0);
            } else {
                println!(
                    "{name}: worth beside {way:?}: {more:.3}, 99th percentile {tail:.3} (a loss that is known)"
                );
            }
        }
    }
}

fn resident_bytes() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = statm.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0.0);
    pages * 4096.0
}

/// A digest of so many servers, as a long-running instance would tell it.
fn large(count: usize) -> Digest {
    let item = |at: usize| ServerStats {
        address: address(at),
        log_time: (at % 7) as f64 / 10.0,
        variance: 0.1,
        samples: 20.0,
        calls: 20.0,
        failed: 0.0,
        age_ms: 100.0,
        ejected: false,
        run: StartReport { incarnation: Some(at as u64), up_ms: Some(1e6) },
    };
    Digest { reporter: "large".to_owned(), level: Some(0.0), items: (0..count).map(item).collect() }
}

/// A pool that was told of all its servers, and how long that took, in us.
fn told_pool(count: usize, digest: &Digest) -> (Pool, f64) {
    let mut pool = Pool::new(0.0, Options::default(), &specs(count));
    let start = Instant::now();
    digest.check().expect("a digest in form");
    pool.merge_digest(0.0, digest);
    (pool, start.elapsed().as_secs_f64() * 1e6)
}

/// Time for a choice and its end, in us, a thousand of them a second: the look at the whole pool is part of it.
fn choice_us(pool: &mut Pool) -> f64 {
    let mut rng = SmallRng::seed_from_u64(1);
    let calls = 50_000_u32;
    let start = Instant::now();
    for n in 0..calls {
        let now = f64::from(n);
        let choice = pool.choose(now, 100.0, true, &[], &mut rng).expect("room");
        pool.finish_call(
            now,
            &choice,
            &CallEnd { kind: CallEndKind::Served, took_ms: 80.0 + f64::from(n % 50), run: None },
        );
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(calls)
}

/// Times are the best of a few, as the machine may have other work.
fn sizes(report: &mut Report) {
    let (mut choices, mut merges, mut bytes) = (Vec::new(), Vec::new(), Vec::new());
    // All stay, so that no pool lies in what another gave back.
    let mut held = Vec::new();
    for count in [10, 100, 1_000, 10_000] {
        let digest = large(count);
        let before = resident_bytes();
        let mut pools: Vec<(Pool, f64)> = (0..SIZED / count).map(|_| told_pool(count, &digest)).collect();
        bytes.push((resident_bytes() - before) / SIZED as f64);
        merges.push(pools.iter().map(|(_, us)| *us).fold(f64::MAX, f64::min));
        let timed = pools.iter_mut().take(3).map(|(pool, _)| choice_us(pool));
        choices.push(timed.fold(f64::MAX, f64::min));
        println!(
            "{count} servers: choice and end {:.2} us, merge {:.3} ms, {:.0} bytes each",
            choices.last().unwrap_or(&0.0),
            merges.last().unwrap_or(&0.0) / 1000.0,
            bytes.last().unwrap_or(&0.0)
        );
        held.push(pools);
    }
    report.most("1,000 servers: choice and end in us", choices[2], 20.0);
    report.most("1,000 servers: merge in ms", merges[2] / 1000.0, 20.0);
    report.most("1,000 servers: bytes for each, one teller's word included", bytes[2], 2048.0);
    report.most("choice at 10,000 servers beside 10", choices[3] / choices[0], 20.0);
    report.most("merge for each server at 10,000 beside 100", merges[3] / merges[1] / 100.0, 8.0);
}

fn main() -> ExitCode {
    let mut report = Report::default();
    newcomer(&mut report);
    planted(&mut report);
    choices(&mut report);
    sizes(&mut report);
    report.end()
}
