//! What votes on servers gain and risk, on an emulated fleet: one line a figure, with the bar that it is held to. Seeded;
//! ends with a failure where a figure falls short. PART=speed, calm, liars, worth or bytes measures one part; SEEDS and
//! HOURS set how much.

#[path = "../shared/report.rs"]
mod report;
mod world;

use std::process::ExitCode;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use report::Report;
use sillflow::ejection::cap::Limits;
use sillflow::ejection::detection::Rules;
use sillflow::ejection::evidence::{MAX_BYTES, send_every_ms};
use world::{Plan, Restart, Seen, Trouble, ZONES, full_message, play};

const NODES: usize = 300;
const MACHINES: usize = 100;
const SERVERS: usize = 100;
/// Calls a second of each node.
const RATE: f64 = 2.0;
/// When a server falls ill, and how long it is waited for, in ms.
const ILL_AT: f64 = 60_000.0;
const WAIT_MS: f64 = 300_000.0;
/// The same for one that fails one call in ten.
const LONG_MS: f64 = 900_000.0;
const ILL: usize = 37;

fn setting(name: &str, usual: u64) -> u64 {
    std::env::var(name).ok().and_then(|value| value.parse().ok()).unwrap_or(usual)
}

fn plan() -> Plan {
    Plan {
        nodes: NODES,
        machines: MACHINES,
        servers: SERVERS,
        rate: RATE,
        until: ILL_AT + WAIT_MS,
        troubles: Vec::new(),
        restarts: Vec::new(),
        liars: 0,
        pools: true,
        lists: false,
        limits: Limits::default(),
        count_ms: 1_000.0,
        watched: None,
    }
}

fn trouble(servers: Vec<usize>, time: (f64, f64), failing: f64, slow: f64) -> Trouble {
    Trouble { time, servers, zone: None, failing, slow, removes: true }
}

/// The same for each seed, side by side.
fn each(plans: impl Fn(u64) -> Plan + Sync) -> Vec<Seen> {
    let seeds = setting("SEEDS", 10);
    std::thread::scope(|scope| {
        let runs: Vec<_> = (0..seeds).map(|seed| (seed, &plans)).collect();
        let runs: Vec<_> =
            runs.into_iter().map(|(seed, plans)| scope.spawn(move || play(&plans(seed), seed))).collect();
        runs.into_iter().map(|run| run.join().expect("a play")).collect()
    })
}

fn middle(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[(values.len() - 1) / 2]
}

fn worst(values: &[f64]) -> f64 {
    values.iter().copied().fold(f64::MIN, f64::max)
}

fn wrong(all: &[Seen]) -> f64 {
    let wrong = all.iter().flat_map(|seen| &seen.wrong);
    wrong.inspect(|(now, outlier)| println!("wrong: at {now} ms: {outlier:?}")).count() as f64
}

/// A removal is in force at a node when it has next sent its evidence.
fn in_force_ms(seen: &Seen, wait_ms: f64) -> f64 {
    let removed = seen.removed.iter().find(|(now, _)| *now >= ILL_AT);
    removed.map_or(wait_ms, |(now, _)| now - ILL_AT + send_every_ms(NODES))
}

fn speed(report: &mut Report) {
    let cases = [
        ("dead", 1.0, 1.0, WAIT_MS),
        ("three times slower", 0.0, 3.0, WAIT_MS),
        ("10% failing", 0.1, 1.0, LONG_MS),
    ];
    for (name, failing, slow, wait_ms) in cases {
        let all = each(|_| Plan {
            troubles: vec![trouble(vec![ILL], (ILL_AT, f64::MAX), failing, slow)],
            watched: Some(ILL),
            until: ILL_AT + wait_ms,
            // Each sees each server every 25 s.
            rate: 2.0 * RATE,
            ..plan()
        });
        let voted: Vec<f64> = all.iter().map(|seen| in_force_ms(seen, wait_ms)).collect();
        // Nodes that had put it out before it was ill have done so at once.
        let alone = |seen: &Seen| {
            middle(seen.alone.iter().map(|at| at.map_or(wait_ms, |at| (at - ILL_AT).max(0.0))).collect())
        };
        let shuns = |seen: &Seen| {
            middle(seen.shuns.iter().map(|at| at.map_or(wait_ms, |at| (at - ILL_AT).max(0.0))).collect())
        };
        // A node that does not put it out still calls it less once it is found dear: told beside, without a bar.
        report.plain(
            &format!(
                "{name}: s until the median node has found it twice as slow or 30% failing, median seed"
            ),
            middle(all.iter().map(shuns).collect()) / 1e3,
        );
        let alone: Vec<f64> = all.iter().map(alone).collect();
        let beside: Vec<f64> =
            voted.iter().zip(&alone).map(|(voted, alone)| voted / alone.max(1.0)).collect();
        report.plain(
            &format!("{name}: s until it is out at every node, by vote, median seed"),
            middle(voted.clone()) / 1e3,
        );
        report.plain(&format!("{name}: the same, worst seed"), worst(&voted) / 1e3);
        report.plain(
            &format!(
                "{name}: s until the median node has put it out alone ({:.0}: it has not)",
                wait_ms / 1e3
            ),
            middle(alone) / 1e3,
        );
        report.most(&format!("{name}: by vote beside alone, worst seed"), worst(&beside), 1.0 / 3.0);
        report.most(&format!("{name}: removals of others"), wrong(&all), 0.0);
    }
}

/// An hour in which no server is ill for long: bursts, releases, cold starts, cut zones.
fn calm_hour(seed: u64, hours: f64) -> Plan {
    const PERIOD_MS: f64 = 300_000.0;
    let mut rng = SmallRng::seed_from_u64(seed ^ 0xca1);
    let all = || (0..SERVERS).collect::<Vec<_>>();
    let mut plan = Plan { until: hours * 3_600_000.0, pools: false, count_ms: 2_000.0, ..plan() };
    let mut at = PERIOD_MS;
    for turn in 0.. {
        if at + PERIOD_MS > plan.until {
            return plan;
        }
        let from = at + rng.random::<f64>() * 60_000.0;
        let zone = Some(rng.random_range(..ZONES));
        let shared = |failing, slow, long: f64| Trouble {
            removes: false,
            ..trouble(all(), (from, from + long), failing, slow)
        };
        match turn % 8 {
            0 => plan.troubles.push(shared(0.0, 2.0, 30_000.0)),
            1 => plan.troubles.push(shared(0.0, 3.0, 120_000.0)),
            2 => plan.troubles.push(shared(0.3, 1.0, 60_000.0)),
            3 => plan.troubles.push(Trouble { zone, ..shared(1.0, 1.0, 60_000.0) }),
            4 => plan.troubles.push(Trouble { zone, ..shared(0.2, 2.0, 120_000.0) }),
            5 => plan.restarts.extend((0..SERVERS).map(|server| Restart {
                server,
                at: from + 2_000.0 * server as f64,
                down_ms: 5_000.0,
                told: true,
            })),
            6 => plan.restarts.extend((0..20).map(|n| Restart {
                server: (n * 7) % SERVERS,
                at: from + 5_000.0 * n as f64,
                down_ms: 1_500.0,
                told: false,
            })),
            _ => {
                let cut = (0..SERVERS).filter(|server| server % 3 == 0).collect();
                let time = (from, from + 60_000.0);
                plan.troubles.push(Trouble { zone, ..trouble(cut, time, 1.0, 1.0) });
                let pauses = (0..20).map(|n| {
                    let from = from + 90_000.0 + 3_000.0 * f64::from(n);
                    let server = vec![(n as usize * 3 + 1) % SERVERS];
                    Trouble { removes: false, ..trouble(server, (from, from + 1_500.0), 0.5, 5.0) }
                });
                plan.troubles.extend(pauses);
            }
        }
        at += PERIOD_MS;
    }
    plan
}

fn calm(report: &mut Report) {
    let hours = setting("HOURS", 10) as f64 / setting("SEEDS", 10) as f64;
    let all = each(|seed| calm_hour(seed, hours));
    let removed: usize = all.iter().map(|seen| seen.removed.len()).sum();
    report.plain("hours of bursts, releases, cold starts and cut zones", hours * all.len() as f64);
    report.plain("removals in them, for the zone that was cut off", removed as f64);
    let crowded: usize = all.iter().map(|seen| seen.crowded).sum();
    report.plain(
        "removals of servers that had too much in hand, and were over half slower for it",
        crowded as f64,
    );
    report.most("false removals in them", wrong(&all), 0.0);
}

fn liars(report: &mut Report) {
    let liars = Rules::default().max_liars(MACHINES);
    let lying = each(|_| Plan {
        troubles: vec![trouble(vec![ILL], (ILL_AT, f64::MAX), 1.0, 1.0)],
        until: ILL_AT + 120_000.0,
        liars,
        ..plan()
    });
    let voted: Vec<f64> = lying.iter().map(|seen| in_force_ms(seen, WAIT_MS)).collect();
    report.plain("machines that lie, of a hundred", liars as f64);
    report.most("wrong removals with them", wrong(&lying), 0.0);
    report.most("s until a dead server is out in spite of them, worst seed", worst(&voted) / 1e3, 60.0);
}

/// A third of the servers fails three calls in ten, or takes three times as long.
fn worth(report: &mut Report) {
    for (name, failing, slow) in [("failing 30%", 0.3, 1.0), ("three times slower", 0.0, 3.0)] {
        let third: Vec<usize> = (0..SERVERS).filter(|server| server % 3 == 0).collect();
        let run = |lists: bool, limits: Limits| {
            let all = each(|_| Plan {
                troubles: vec![trouble(third.clone(), (ILL_AT, f64::MAX), failing, slow)],
                until: ILL_AT + 120_000.0,
                lists,
                limits,
                ..plan()
            });
            let good: u64 = all.iter().map(|seen| seen.good).sum();
            (good as f64 / all.iter().map(|seen| seen.calls).sum::<u64>() as f64, wrong(&all))
        };
        let (alone, _) = run(false, Limits::default());
        let (voted, false_ones) = run(true, Limits::default());
        let (uncapped, _) = run(true, Limits { most_out: 1.0, many: 1.0 });
        report.plain(&format!("a third {name}: worth, each for itself"), alone);
        report.plain(&format!("a third {name}: worth with votes"), voted);
        report.plain(&format!("a third {name}: worth with votes and no cap"), uncapped);
        report.least(&format!("a third {name}: worth with votes beside each for itself"), voted / alone, 1.0);
        report.most(&format!("a third {name}: removals of others"), false_ones, 0.0);
    }
}

fn bytes(report: &mut Report) {
    let mut first = None;
    for nodes in [10, 100, 300, 1_000] {
        let until = 60_000.0;
        let plan = Plan { nodes, machines: nodes.div_ceil(3), until, pools: false, count_ms: 1e9, ..plan() };
        let seen = play(&plan, 1);
        let a_node = |count: u64| count as f64 / nodes as f64 / (until / 1e3);
        let (bytes, messages) = (a_node(seen.bytes), a_node(seen.messages));
        report.plain(&format!("bytes of evidence a node and second, {nodes} nodes"), bytes);
        report.plain(&format!("messages a node and second, {nodes} nodes"), messages);
        report.most(
            &format!("messages at the counting node a second, {nodes} nodes"),
            messages * nodes as f64,
            205.0,
        );
        let (first_bytes, first_messages) = *first.get_or_insert((bytes, messages));
        report.most(&format!("bytes a node, {nodes} nodes beside 10"), bytes / first_bytes, 1.1);
        report.most(&format!("messages a node, {nodes} nodes beside 10"), messages / first_messages, 1.1);
    }
    let full = postcard::to_stdvec(&full_message()).map_or(f64::INFINITY, |bytes| bytes.len() as f64);
    report.most("bytes of the longest message", full, MAX_BYTES as f64);
}

type Part = fn(&mut Report);

fn main() -> ExitCode {
    let mut report = Report::default();
    let part = std::env::var("PART").ok();
    let parts: [(&str, Part); 5] =
        [("speed", speed), ("liars", liars), ("worth", worth), ("bytes", bytes), ("calm", calm)];
    for (name, measure) in parts {
        if part.as_ref().is_none_or(|part| part == name) {
            measure(&mut report);
        }
    }
    report.end()
}
