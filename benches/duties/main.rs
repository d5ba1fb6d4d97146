//! What duties keep under faults and what they cost: one line a figure, with the bar that it is held to. Histories and
//! hundreds of nodes run in simulated time on the decisions as they are; what holders that die or drain leave runs with
//! real processes. SMALL=1 does less, COUNT=N so many histories.

#[path = "../shared/report.rs"]
mod report;
#[path = "../../tests/rig/mod.rs"]
mod rig;
#[path = "../../tests/support/mod.rs"]
mod support;

use std::process::ExitCode;

use report::Report;
use rig::Rig;
use rig::duties::{Broken, Plant, World, history, judge};
use rig::target::{LEASE_MS, node_of};

const NODES: usize = 5;

fn count(name: &str, usual: u64, small: u64) -> u64 {
    let set = std::env::var(name).ok().and_then(|count| count.parse().ok());
    set.unwrap_or(if std::env::var("SMALL").is_ok() { small } else { usual })
}

fn histories(report: &mut Report) {
    let count = count("COUNT", 3000, 300);
    let broken: Vec<Broken> = (0..count).flat_map(|seed| history(seed, None)).collect();
    let of = |is: fn(&Broken) -> bool| broken.iter().filter(|broken| is(broken)).count() as f64;
    report.plain("simulated histories of 5 to 9 nodes", count as f64);
    report.most("overlaps", of(|broken| matches!(broken, Broken::Overlap { .. } | Broken::Back { .. })), 0.0);
    report.most("numbers used twice", of(|broken| matches!(broken, Broken::Twice { .. })), 0.0);
    report.most("duties that nobody took up", of(|broken| matches!(broken, Broken::Gap { .. })), 0.0);
    let plants = [
        Plant::FromAnswer,
        Plant::GuardForgets,
        Plant::TimerRenews,
        Plant::WallClock,
        Plant::NotAtEffect,
        Plant::NoMark,
        Plant::NumbersAgain,
    ];
    let found = plants.iter().filter(|plant| (0..600).any(|seed| !history(seed, Some(**plant)).is_empty()));
    report.least("planted errors that are found", found.count() as f64, plants.len() as f64);
}

/// Writes of the store in a minute of so many nodes and duties, once all is given.
fn writes(nodes: usize, duties: usize) -> (World, f64) {
    let mut world = World::new(7, nodes, duties, None);
    world.run_for(20_000);
    let before = world.writes;
    world.run_for(30_000);
    let writes = (world.writes - before) as f64;
    (world, writes)
}

fn cost(report: &mut Report) {
    let (nodes, few, many) = if std::env::var("SMALL").is_ok() { (60, 20, 200) } else { (300, 100, 1000) };
    let (_, small) = writes(nodes, few);
    let (mut world, large) = writes(nodes, many);
    report.plain("nodes, simulated", nodes as f64);
    report.plain(&format!("writes of the store a second, {few} duties"), small / 30.0);
    report.most(&format!("the same of {many} duties beside that"), large / small, 1.2);
    let loads = world.loads();
    let share = many as f64 / nodes as f64;
    report.most(
        "busiest node beside its share",
        loads.values().copied().max().unwrap_or(0) as f64 / share,
        1.25,
    );
    let before = world.holders();
    let (leaver, must) = (1, before.values().filter(|by| **by == Some(1)).count());
    world.kill(leaver);
    world.run_for(15_000);
    let after = world.holders();
    let moved = before.iter().filter(|(duty, by)| after[*duty] != **by).count();
    report.most(
        "duties moved beside those that must when one leaves",
        moved as f64 / must.max(1) as f64,
        1.1,
    );
    report.most("broken promises among them", judge(&world.seen).len() as f64, 0.0);
}

fn processes(report: &mut Report) {
    let rounds = count("ROUNDS", 10, 3);
    let (mut worst, mut gaps, mut lost) = (0u64, Vec::new(), 0u64);
    let (mut rig, target) = Rig::dutiful(NODES, &["announce", "count", "merge"]);
    for round in 0..rounds {
        let (_, beat) = target.last("announce").expect("it is acted under");
        let (n, number) = (node_of(&beat), beat.fence.number);
        let leads = n <= 3 && rig.leader(&[1, 2, 3]) == Some(n);
        let kills = round % 2 == 0 && !leads;
        if kills {
            rig.kill(n);
        } else {
            rig.signal(n, "-TERM");
        }
        let (at, next) = target.follows("announce", number);
        let beats = target.beats().into_iter().rev();
        let mut before = beats
            .filter(|(_, other, taken)| *taken && other.by == beat.by && other.fence.duty == beat.fence.duty);
        let (last, last_beat, _) = before.next().expect("it acted");
        if kills {
            worst = worst.max(at - last);
        } else {
            gaps.push(at - last);
            lost += u64::from(next.sequence != last_beat.sequence + 1);
        }
        std::thread::sleep(std::time::Duration::from_secs(7));
        rig.kill(n);
        rig.again(n);
        std::thread::sleep(std::time::Duration::from_secs(8));
    }
    gaps.sort_unstable();
    report.most(
        "s until a dead holder is followed, worst",
        worst as f64 / 1000.0,
        LEASE_MS as f64 / 1000.0 + 1.0,
    );
    report.most("ms of a gap where it is handed on in order, median", gaps[gaps.len() / 2] as f64, 100.0);
    report.most("effects lost or doubled where it is handed on in order", lost as f64, 0.0);
    report.most("broken promises of the processes", judge(&target.seen(true)).len() as f64, 0.0);
}

fn main() -> ExitCode {
    let mut report = Report::default();
    let part = std::env::var("PART").unwrap_or_default();
    let wanted = |name: &str| part.is_empty() || part == name;
    if wanted("histories") {
        histories(&mut report);
    }
    if wanted("cost") {
        cost(&mut report);
    }
    if wanted("processes") {
        processes(&mut report);
    }
    report.end()
}
