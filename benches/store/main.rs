//! What the store keeps and how fast, with real processes: one line a figure, with the bar that it is held to. Faults
//! come from seeds that are printed where something falls short; ends with a failure then.
//!
//! `SILLFLOW_BEFORE` names a build of an earlier version, beside which writes are measured.

#[path = "../shared/report.rs"]
mod report;
#[path = "../../tests/rig/mod.rs"]
mod rig;
#[path = "../../tests/support/mod.rs"]
mod support;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use report::Report;
use rig::schedule::{Outcome, Play, play};
use rig::{PATIENCE, Rig, until};
use sillflow::store::Role;

/// Histories over three members and over five, and how many are played at once.
const HISTORIES: u64 = 100;
const AT_ONCE: u64 = 5;
const REPLACEMENTS: u64 = 50;
const KILLS: u64 = 30;
/// How long writes are counted, and by how many callers.
const WRITING: Duration = Duration::from_secs(4);
const CALLERS: u64 = 8;
/// Times that a version's writes are counted, in turn with the other's.
const ROUNDS: usize = 3;

fn seconds(time: Duration) -> f64 {
    time.as_secs_f64()
}

fn median(times: &mut [f64]) -> f64 {
    times.sort_by(f64::total_cmp);
    times[times.len() / 2]
}

/// What came of each seed, several at a time.
fn at_once<T: Send + 'static>(
    seeds: std::ops::Range<u64>,
    run: impl Fn(u64) -> T + Send + Sync + 'static,
) -> Vec<T> {
    let (next, end) = (Arc::new(AtomicU64::new(seeds.start)), seeds.end);
    let (run, found) = (Arc::new(run), Arc::new(Mutex::new(Vec::new())));
    let workers: Vec<_> = (0..AT_ONCE)
        .map(|_| {
            let (next, run, found) = (next.clone(), run.clone(), found.clone());
            std::thread::spawn(move || {
                loop {
                    let seed = next.fetch_add(1, SeqCst);
                    if seed >= end {
                        return;
                    }
                    let outcome = run(seed);
                    found.lock().expect("a lock").push(outcome);
                }
            })
        })
        .collect();
    workers.into_iter().for_each(|worker| worker.join().expect("each run ends"));
    std::mem::take(&mut *found.lock().expect("a lock"))
}

fn histories(report: &mut Report, members: usize, count: u64) {
    let outcomes: Vec<(u64, Outcome)> = at_once(0..count, move |seed| {
        let drawn = Play::draw(seed, members);
        let (outcome, _rig) = play(&drawn);
        if !outcome.violations.is_empty() || outcome.lost > 0 || outcome.serves_after > Duration::from_secs(5)
        {
            println!(
                "{drawn:?}: violations {:?}, lost {}, serves after {:?}",
                outcome.violations, outcome.lost, outcome.serves_after
            );
        }
        (seed, outcome)
    });
    let of = |name: &str| format!("{name}, {members} members");
    let sum =
        |count: fn(&Outcome) -> usize| outcomes.iter().map(|(_, outcome)| count(outcome)).sum::<usize>();
    let mut times: Vec<f64> = outcomes.iter().map(|(_, outcome)| seconds(outcome.serves_after)).collect();
    report.least(&of("histories with faults"), outcomes.len() as f64, count as f64);
    report.plain(&of("acknowledged writes in them"), sum(|outcome| outcome.acknowledged) as f64);
    report.most(&of("violations"), sum(|outcome| outcome.violations.len()) as f64, 0.0);
    report.most(&of("acknowledged writes lost"), sum(|outcome| outcome.lost) as f64, 0.0);
    report.plain(&of("s until writes go on, median"), median(&mut times));
    report.most(&of("s until writes go on, worst"), times[times.len() - 1], 5.0);
}

/// A machine is lost with its disk while callers write, and another takes its place.
fn replacement(seed: u64) -> (f64, usize) {
    let mut rig = Rig::new(3);
    rig.form(3);
    let lost = (seed % 3) as usize + 1;
    let left = if lost == 1 { 2 } else { 1 };
    let mut acknowledged = 0;
    let mut write = |rig: &Rig, n: u64| {
        if rig.set(left, "count", &n.to_string()).is_ok() {
            acknowledged = n;
        }
    };
    (1..=20 + seed).for_each(|n| write(&rig, n));
    rig.kill(lost);
    rig.wipe(lost);
    rig.again(lost);
    let began = Instant::now();
    let mut n = 20 + seed;
    until("three vote again", PATIENCE, || {
        n += 1;
        write(&rig, n);
        rig.voters(left) == [1, 2, 3] && rig.status(lost).is_some_and(|status| status.role != Role::Blank)
    });
    let took = seconds(began.elapsed());
    let now = rig.get(lost, "count").ok().flatten().and_then(|now| now.parse().ok()).unwrap_or(0);
    (took, usize::from(now < acknowledged))
}

fn replacements(report: &mut Report, count: u64) {
    let outcomes = at_once(0..count, replacement);
    let mut times: Vec<f64> = outcomes.iter().map(|(took, _)| *took).collect();
    let lost: usize = outcomes.iter().map(|(_, lost)| lost).sum();
    report.most("acknowledged writes lost with a machine and its disk", lost as f64, 0.0);
    report.plain("s until there are as many members again, median", median(&mut times));
    report.plain("s until there are as many members again, worst", times[times.len() - 1]);
}

fn leaderless(report: &mut Report, kills: u64) {
    let mut rig = Rig::new(3);
    rig.form(3);
    let mut times = Vec::new();
    for _ in 0..kills {
        let leader = rig.led(&[1, 2, 3]);
        rig.kill(leader);
        let left: Vec<usize> = (1..=3).filter(|n| *n != leader).collect();
        times.push(seconds(until("another one leads", PATIENCE, || rig.leader(&left).is_some())));
        rig.up(leader);
        until("it serves", PATIENCE, || rig.set(leader, "a", "b").is_ok());
        rig.level(leader);
    }
    report.most("s without a leader after a kill, median", median(&mut times), 2.0);
    report.plain("s without a leader after a kill, worst", times[times.len() - 1]);
}

/// Writes a second and the 99th percentile of their times in ms, on so many members of a build.
fn writes(program: &Path, members: usize) -> (f64, f64) {
    let mut rig = Rig::of(members, program);
    let all: Vec<usize> = (1..=members).collect();
    for n in &all {
        // As an earlier version reads it, and with nothing between the members.
        let mut table = format!(
            "[store]\nid = {n}\nlisten = {:?}\ndirectory = {:?}\n",
            rig.address(*n),
            rig.directory(*n)
        );
        for peer in all.iter().filter(|peer| *peer != n) {
            table += &format!("[[store.peers]]\nid = {peer}\naddress = {:?}\n", rig.address(*peer));
        }
        rig.start_with(*n, &table, "");
    }
    until("it serves", PATIENCE, || rig.set(1, "a", "b").is_ok());
    std::thread::sleep(Duration::from_millis(500));
    let over = AtomicBool::new(false);
    let times = Mutex::new(Histogram::<u64>::new(3).expect("a histogram"));
    std::thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (rig, over, times) = (&rig, &over, &times);
            scope.spawn(move || {
                let mut n = 0;
                while !over.load(SeqCst) {
                    let began = Instant::now();
                    n += 1;
                    let at = (caller as usize + n) % members + 1;
                    if rig.set(at, &format!("k{caller}"), &"v".repeat(100)).is_ok() {
                        let took = began.elapsed().as_micros() as u64;
                        times.lock().expect("a lock").record(took).expect("in range");
                    }
                }
            });
        }
        std::thread::sleep(WRITING);
        over.store(true, SeqCst);
    });
    let times = times.into_inner().expect("a lock");
    (times.len() as f64 / seconds(WRITING), times.value_at_quantile(0.99) as f64 / 1000.0)
}

fn speed(report: &mut Report) {
    let own = PathBuf::from(env!("CARGO_BIN_EXE_sillflow"));
    let before = std::env::var_os("SILLFLOW_BEFORE").map(PathBuf::from);
    for members in [1, 3, 5] {
        let mut rounds: Vec<(f64, f64, f64, f64)> = Vec::new();
        for _ in 0..ROUNDS {
            let (now, late) = writes(&own, members);
            let (then, late_then) = before.as_ref().map_or((0.0, 0.0), |before| writes(before, members));
            rounds.push((now, late, then, late_then));
        }
        let of = |name: &str| format!("{name}, {members} members");
        let middle =
            |of: fn(&(f64, f64, f64, f64)) -> f64| median(&mut rounds.iter().map(of).collect::<Vec<_>>());
        report.plain(&of("writes a second"), middle(|round| round.0));
        report.plain(&of("ms of a write, 99th percentile"), middle(|round| round.1));
        if before.is_some() {
            report.plain(&of("writes a second before"), middle(|round| round.2));
            report.plain(&of("ms of a write before, 99th percentile"), middle(|round| round.3));
            report.least(&of("writes a second beside before"), middle(|round| round.0 / round.2), 0.9);
        }
    }
}

fn main() -> ExitCode {
    let mut report = Report::default();
    let part = std::env::var("PART").unwrap_or_default();
    let wanted = |name: &str| part.is_empty() || part == name;
    let share = if std::env::var_os("SMALL").is_some() { 10 } else { 1 };
    if wanted("speed") {
        speed(&mut report);
    }
    if wanted("leader") {
        leaderless(&mut report, KILLS / share);
    }
    if wanted("replaced") {
        replacements(&mut report, REPLACEMENTS / share);
    }
    if wanted("histories") {
        histories(&mut report, 3, HISTORIES / share);
        histories(&mut report, 5, HISTORIES / share);
    }
    report.end()
}
