//! Plays the histories of seeds, several side by side, and tells what came of each in a line.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Mutex;
use std::thread::scope;

use super::check::Broken;
use super::plan::{Plan, Times};
use super::verdict::RECOVERED;
use super::world::{Day, World};

/// What came of one seed.
pub struct Played {
    pub seed: u64,
    pub kept: bool,
    pub line: String,
}

/// Plays the history of a seed, on a node with an error planted where one is named.
pub fn play(seed: u64, times: Times, planted: Option<&str>) -> Played {
    let plan = Plan::drawn(seed, times);
    let told = plan.told();
    // A stand-in that dies is no verdict on the node, and is no reason to lose those of other seeds.
    let day = catch_unwind(AssertUnwindSafe(|| {
        let day = World::soak(plan, planted).live();
        if matches!(day.verdict, Err((Broken::NotRecovered, _))) {
            return beside_no_faults(day, seed, times);
        }
        day
    }));
    let (kept, came) = match day {
        Ok(Day { served, refused, failed, stood_ms, verdict, .. }) => {
            let said = match &verdict {
                Ok(()) => "kept".to_owned(),
                Err((rule, by)) => format!("BROKEN {rule:?} by {by}"),
            };
            let counts =
                format!("served {served} shed {refused} failed {failed} stood still {stood_ms:.0} ms");
            (verdict.is_ok(), format!("{counts}: {said}"))
        }
        Err(_) => (false, "NOT PLAYED: a stand-in has died, see above".to_owned()),
    };
    Played { seed, kept, line: format!("seed {seed}: {came}; {told}") }
}

/// The history behind whose faults too little is served, beside the same site and load without any: where those serve as
/// little for as long now and then, the little that was served says nothing of the faults.
fn beside_no_faults(mut day: Day, seed: u64, times: Times) -> Day {
    let quiet = Times { quiet_ms: times.quiet_ms + times.faulty_ms, faulty_ms: 0.0 };
    let control = World::soak(Plan::drawn(seed, quiet), None).live();
    if day.after >= RECOVERED * control.least {
        day.verdict = control.verdict;
    }
    day
}

/// Plays seeds, so many at a time, and hands each over as it is done.
pub fn play_all(
    seeds: Vec<u64>,
    at_a_time: usize,
    play: impl Fn(u64) -> Played + Sync,
    done: impl Fn(&Played) + Sync,
) -> Vec<Played> {
    let left = Mutex::new(seeds.into_iter());
    let played = Mutex::new(Vec::new());
    scope(|threads| {
        for _ in 0..at_a_time {
            threads.spawn(|| {
                loop {
                    let Some(seed) = left.lock().expect("a lock").next() else { return };
                    let of_seed = play(seed);
                    done(&of_seed);
                    played.lock().expect("a lock").push(of_seed);
                }
            });
        }
    });
    let mut played = played.into_inner().expect("a lock");
    played.sort_by_key(|played| played.seed);
    played
}
