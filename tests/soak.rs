//! The soak in short: a few seeds under faults keep every rule, and errors that are planted in the node are found by the
//! same judge. `make soak` plays as many seeds as wanted.

mod installed;
mod support;

use installed::plan::Times;
use installed::soak::{play, play_all};
use rstest::rstest;

/// Time in which faults begin and end, in ms.
const FAULTY_MS: f64 = 5_000.0;
/// The same for histories in which a planted error is to be found.
const PLANTED_MS: f64 = 12_000.0;
/// Histories at a time.
const SIDE: usize = 4;

#[rstest]
fn a_seed_without_faults_is_served_and_keeps_every_rule() {
    let played = play(1, Times::faulty(0.0), None);
    assert!(played.kept, "{}", played.line);
}

#[rstest]
fn a_few_seeds_under_faults_keep_every_rule() {
    let broken: Vec<String> =
        play_all((1..=8).collect(), SIDE, |seed| play(seed, Times::faulty(FAULTY_MS), None), |_| {})
            .into_iter()
            .filter(|played| !played.kept)
            .map(|played| played.line)
            .collect();
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Each error, and seeds that find it. One of them is enough: what happens between a seed's faults is real time.
#[rstest]
#[case::permit_by_timer("PermitByTimer", &[4, 11, 15])]
#[case::call_over_at_close("CallOverAtClose", &[3, 10, 23])]
#[case::memory_of_callers("MemoryOfCallers", &[4, 15])]
#[case::reload_frees_permits("ReloadFreesPermits", &[16, 17])]
#[case::runs_after_grace("RunsAfterGrace", &[7, 16, 17])]
#[case::repeat_runs("RepeatRuns", &[11, 18])]
fn a_planted_error_is_found(#[case] planted: &str, #[case] seeds: &[u64]) {
    let play_one = |seed| play(seed, Times::faulty(PLANTED_MS), Some(planted));
    let played = play_all(seeds.to_vec(), SIDE, play_one, |_| {});
    let lines: Vec<&String> = played.iter().map(|played| &played.line).collect();
    assert!(played.iter().any(|played| !played.kept), "{lines:#?}");
    assert!(!lines.iter().any(|line| line.contains("NOT PLAYED")), "{lines:#?}");
}
