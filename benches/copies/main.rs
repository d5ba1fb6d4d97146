//! What copies keep under faults and what they cost, a line a figure with the bar that it is held to. Histories of real
//! processes and of simulated ones come from seeds; PART chooses one part, SMALL=1 less of each,
//! COUNT another number of histories of real processes and of machines lost.

#[path = "../shared/report.rs"]
mod report;
#[path = "../../tests/rig/mod.rs"]
mod rig;
#[path = "../../tests/support/mod.rs"]
mod support;

use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use report::Report;
use rig::copied::{Broken, Seen, World, judge};
use rig::copies::{End, History, Work, note, request, serving, so_far};
use rig::{PATIENCE, Rig, until};
use sillflow::fleet::wire::Question;

fn small() -> bool {
    std::env::var_os("SMALL").is_some()
}

/// How many, where it is not said otherwise.
fn count(usual: u64) -> u64 {
    std::env::var("COUNT").ok().and_then(|count| count.parse().ok()).unwrap_or(usual)
}

/// What a set of histories came to.
#[derive(Default)]
struct Sum {
    second: usize,
    other: usize,
    denied: usize,
    began: usize,
    done: usize,
    failed: usize,
    had_to: usize,
}

impl Sum {
    fn add(&mut self, seen: &[Seen], had_to: usize) {
        let broken = judge(seen);
        self.second += broken.iter().filter(|broken| matches!(broken, Broken::SecondRun(_))).count();
        self.other += broken.iter().filter(|broken| matches!(broken, Broken::OtherResult(_))).count();
        self.denied += broken.iter().filter(|broken| matches!(broken, Broken::Denied(_))).count();
        let count = |of: fn(&Seen) -> bool| seen.iter().filter(|event| of(event)).count();
        self.began += count(|event| matches!(event, Seen::Began { .. }));
        self.done += count(|event| matches!(event, Seen::Done { .. }));
        self.failed += count(|event| matches!(event, Seen::Failed { .. }));
        self.had_to += had_to;
    }

    fn say(&self, report: &mut Report, what: &str) {
        report.most(&format!("{what}: second runs"), self.second as f64, 0.0);
        report.most(&format!("{what}: results of another run or of none"), self.other as f64, 0.0);
        report.most(&format!("{what}: refused though a run had begun"), self.denied as f64, 0.0);
        report.plain(&format!("{what}: runs"), self.began as f64);
        report.plain(&format!("{what}: answered with a result"), self.done as f64);
        report.plain(&format!("{what}: failed"), self.failed as f64);
        report.plain(&format!("{what}: of keys whose run was lost with its node"), self.had_to as f64);
    }
}

/// Failed answers about keys whose run began at a node that was lost, and whose result nobody got.
fn had_to_fail(seen: &[Seen], lost: &[usize]) -> usize {
    let began_there = |k: u64| {
        seen.iter()
            .any(|event| matches!(event, Seen::Began { key, node, .. } if *key == k && lost.contains(node)))
    };
    let done = |k: u64| seen.iter().any(|event| matches!(event, Seen::Done { key, .. } if *key == k));
    let failed = seen.iter().filter_map(|event| match event {
        Seen::Failed { key } => Some(*key),
        _ => None,
    });
    failed.filter(|key| began_there(*key) && !done(*key)).count()
}

/// One drawn history of real processes: callers ask everywhere while links break, a node stops or is lost with its disk.
fn real_history(seed: u64) -> (Vec<Seen>, usize) {
    let rng = &mut SmallRng::seed_from_u64(seed);
    let count = rng.random_range(5..=9);
    let more = if seed % 2 == 0 { "" } else { "directory = \"DIR\"" };
    let (mut rig, work) = serving(count, more);
    work.takes_ms.store(rng.random_range(0..120), SeqCst);
    let at: Arc<Mutex<Vec<_>>> = Arc::new(Mutex::new((1..=count).map(|n| rig.serves(n)).collect()));
    let (over, seen) = (Arc::new(AtomicBool::new(false)), work.seen.clone());
    let callers: Vec<_> = (0..4)
        .map(|caller| {
            let (over, seen, at) = (over.clone(), seen.clone(), at.clone());
            let mut rng = SmallRng::seed_from_u64(seed ^ (caller + 1) << 32);
            std::thread::spawn(move || call(&over, &seen, &at, &mut rng))
        })
        .collect();
    let mut lost = Vec::new();
    for _ in 0..5 {
        std::thread::sleep(Duration::from_millis(rng.random_range(50..400)));
        let (one, other) = (rng.random_range(1..=count), rng.random_range(1..=count));
        match rng.random_range(0..7) {
            0 | 1 if lost.is_empty() && one > rig::fleet::STORE => {
                rig.kill(one);
                let _ = std::fs::remove_dir_all(rig.copies_dir(one));
                lost.push(one);
            }
            2 if one != other => rig.relay.both(one, other, |link| link.cut = true),
            3 if one != other => rig.relay.link(one, other, |link| link.cut = true),
            4 => (1..=count).for_each(|to| {
                rig.relay.link(one, to, |link| (link.lost, link.doubled, link.put_off) = (0.2, 0.2, 0.2));
            }),
            5 if rig.runs(one) => {
                rig.signal(one, "-STOP");
                std::thread::sleep(Duration::from_millis(rng.random_range(100..700)));
                rig.signal(one, "-CONT");
            }
            _ => rig.relay.heal(),
        }
    }
    rig.relay.heal();
    std::thread::sleep(Duration::from_millis(300));
    over.store(true, SeqCst);
    callers.into_iter().for_each(|caller| caller.join().expect("a caller"));
    let seen = work.seen.lock().expect("a lock").clone();
    let had_to = had_to_fail(&seen, &lost);
    (seen, had_to)
}

fn call(over: &AtomicBool, seen: &History, at: &Mutex<Vec<std::net::SocketAddr>>, rng: &mut SmallRng) {
    while !over.load(SeqCst) {
        let node = at.lock().expect("a lock").choose(rng).copied().expect("a node");
        let key = rng.random_range(0..40);
        let asked = so_far(seen);
        let end = request(node, key);
        note(seen, key, asked, &end);
        std::thread::sleep(Duration::from_millis(rng.random_range(0..20)));
    }
}

fn histories(report: &mut Report) {
    let (real, simulated) = if small() { (count(4), 100) } else { (count(300), 2000) };
    let mut sum = Sum::default();
    for seed in 0..real {
        let (seen, had_to) = real_history(seed);
        if !judge(&seen).is_empty() {
            println!("seed {seed} breaks a promise");
        }
        sum.add(&seen, had_to);
    }
    let name = format!("{real} histories of 5 to 9 processes");
    report.least(&format!("{name}: requests answered with a result"), sum.done as f64, (real * 100) as f64);
    sum.say(report, &name);
    let mut sum = Sum::default();
    for seed in 0..simulated {
        let mut world = World::new(seed, 5 + (seed % 5) as usize, 3);
        world.weather.lost = world.rng.random_range(0.0..0.2);
        world.weather.put_off = world.rng.random_range(0.0..0.05);
        let lost = (seed % 5) as usize;
        for turn in 0..60 {
            let (n, key) = (world.rng.random_range(0..5), world.rng.random_range(0..12));
            world.ask(n, key);
            if turn == 20 {
                world.lose(lost, 300);
            }
            let time = world.rng.random_range(0..80);
            world.run_for(time);
        }
        sum.add(&world.seen, had_to_fail(&world.seen, &[lost]));
    }
    sum.say(report, &format!("{simulated} histories of 5 to 9 machines in simulated time"));
}

/// Machines lost with their disks while callers ask: what was answered is asked for again at another node.
fn losses(report: &mut Report) {
    let rounds = count(if small() { 3 } else { 100 });
    let (mut gone, mut times) = (0, Vec::new());
    let rng = &mut SmallRng::seed_from_u64(11);
    for round in 0..rounds {
        let more = if round % 2 == 0 { "" } else { "directory = \"DIR\"" };
        let (mut rig, work) = serving(5, more);
        let at = Arc::new(Mutex::new((1..=5).map(|n| rig.serves(n)).collect::<Vec<_>>()));
        let over = Arc::new(AtomicBool::new(false));
        let caller = {
            let (over, seen, at) = (over.clone(), work.seen.clone(), at.clone());
            let mut rng = SmallRng::seed_from_u64(round);
            std::thread::spawn(move || call(&over, &seen, &at, &mut rng))
        };
        std::thread::sleep(Duration::from_millis(rng.random_range(100..600)));
        let lost = rng.random_range(4..=5);
        rig.kill(lost);
        let _ = std::fs::remove_dir_all(rig.copies_dir(lost));
        let began = Instant::now();
        let left: Vec<usize> = (1..=5).filter(|n| *n != lost).collect();
        let question = Question::DeclareLost(format!("n{lost}"));
        until("it is known to be dead", PATIENCE, || rig.tell(1, &question).is_ok());
        let known = began.elapsed();
        rig.settled(&left);
        until("every key has its copies", PATIENCE, || {
            left.iter().all(|n| rig.held(*n).is_some_and(|held| held.keys_short == 0))
        });
        times.push((began.elapsed() - known).as_secs_f64());
        over.store(true, SeqCst);
        caller.join().expect("a caller");
        let seen = work.seen.lock().expect("a lock").clone();
        gone += judge(&seen).len();
        let mut answered: Vec<(u64, u64)> = seen
            .iter()
            .filter_map(|event| match event {
                Seen::Done { key, run } => Some((*key, *run)),
                _ => None,
            })
            .collect();
        answered.sort_unstable();
        answered.dedup();
        // Windows of 3 s: what is over by now may run again.
        answered.retain(|(key, _)| work.runs(*key).len() == 1);
        for (key, run) in answered.iter().rev().take(10) {
            let end = rig.request(left[*key as usize % 4], *key);
            gone +=
                usize::from(matches!(end, End::Done(other) if other != *run) && work.runs(*key).len() == 1);
        }
    }
    times.sort_by(f64::total_cmp);
    report.most(&format!("{rounds} machines lost with their disks: promises broken"), gone as f64, 0.0);
    report.plain(
        "s until every key has its copies again, from the change of the view, median",
        times[times.len() / 2],
    );
    report.plain("the same, worst", times[times.len() - 1]);
}

/// Times of requests one after the other at one node, in ms.
fn times(rig: &Rig, from: u64, count: u64) -> Histogram<u64> {
    let mut times = Histogram::new(3).expect("a histogram");
    for key in from..from + count {
        let began = Instant::now();
        let end = rig.request(1 + key as usize % 3, key);
        assert!(matches!(end, End::Done(_)), "{end:?}");
        times.record(began.elapsed().as_micros() as u64).expect("a time");
    }
    times
}

fn cost(report: &mut Report) {
    let count = if small() { 200 } else { 1500 };
    let mut off = Rig::new(5);
    off.work = Some(Work::default());
    off.fleet(5);
    until("it serves", PATIENCE, || matches!(off.request(1, 9_000_000), End::Done(_)));
    let base = times(&off, 0, count);
    drop(off);
    for (name, more) in [("in memory", ""), ("synced", "directory = \"DIR\"")] {
        let (rig, _work) = serving(5, &format!("{more}\nmemory_kb = 65536"));
        let with = times(&rig, 0, count);
        for (what, share) in [("median", 0.5), ("99th percentile", 0.99)] {
            let added = with.value_at_quantile(share) as f64 - base.value_at_quantile(share) as f64;
            report.plain(&format!("ms added to a keyed request {name}, {what}"), added / 1000.0);
        }
    }
}

/// Messages a claim, and processor time of the machines a claim, as the fleet grows.
fn growth(report: &mut Report) {
    let mut all = Vec::new();
    for nodes in [3, 10, 30, 60] {
        let mut world = World::new(5, nodes, 3);
        // Each node asks once for the clock of each holder, with two messages; that is over before long.
        let first = world.messages;
        for key in 0..nodes as u64 * nodes as u64 * 2 {
            world.ask(key as usize % nodes, 1_000_000 + key);
            if key % 32 == 0 {
                world.run_for(5);
            }
        }
        let keys = (nodes * nodes * 2) as f64;
        report.plain(
            &format!("messages a key among {nodes} nodes that have just begun"),
            (world.messages - first) as f64 / keys,
        );
        world.run_for(3000);
        let idle = {
            let before = world.messages;
            world.run_for(4000);
            (world.messages - before) as f64 / 4000.0
        };
        let (before, began, keys) = (world.messages, world.now, 600);
        for key in 0..keys {
            world.ask(key as usize % nodes, key);
            world.run_for(5);
        }
        world.run_for(500);
        let passed = (world.now - began) as f64;
        let claim = ((world.messages - before) as f64 - idle * passed) / keys as f64;
        report.plain(&format!("messages a key among {nodes} nodes, without those in calm times"), claim);
        report.plain(
            &format!("messages a node and second in calm times among {nodes} nodes"),
            idle * 1000.0 / nodes as f64,
        );
        assert_eq!(judge(&world.seen), []);
        all.push(claim);
    }
    let worst = all.iter().copied().fold(0.0, f64::max);
    report.most("messages a key beside those among 3 nodes", worst / all[0], 1.2);
}

/// What repair adds to the time of requests at nodes that stay.
fn repair(report: &mut Report) {
    let count = if small() { 200 } else { 1000 };
    let (mut rig, work) = serving(6, "memory_kb = 65536");
    work.more_bytes.store(3000, SeqCst);
    times(&rig, 0, count);
    let calm = times(&rig, 10_000, count);
    rig.kill(6);
    until("it is known to be dead", PATIENCE, || rig.tell(1, &Question::DeclareLost("n6".into())).is_ok());
    let moving = times(&rig, 20_000, count);
    let p99 = |times: &Histogram<u64>| times.value_at_quantile(0.99) as f64 / 1000.0;
    report.plain("ms of a keyed request, 99th percentile, calm", p99(&calm));
    report.plain("the same from the loss of a node on", p99(&moving));
    report.most(
        "99th percentile while copies are made again beside that without",
        p99(&moving) / p99(&calm),
        1.1,
    );
}

type Part = fn(&mut Report);

fn main() -> ExitCode {
    let parts: [(&str, Part); 5] = [
        ("growth", growth),
        ("cost", cost),
        ("repair", repair),
        ("losses", losses),
        ("histories", histories),
    ];
    let wanted = std::env::var("PART").ok();
    let mut report = Report::default();
    for (name, part) in parts.iter().filter(|(name, _)| wanted.as_deref().is_none_or(|part| part == *name)) {
        println!("-- {name}");
        part(&mut report);
    }
    report.end()
}
