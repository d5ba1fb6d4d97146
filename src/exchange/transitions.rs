//! Log lines for changes of what the decision module lets through, each with its reason and none more often than needed.

use log::{info, warn};

use crate::logic::{Limits, OrphanedRuns};

/// A state that comes and goes is logged again after this at the earliest, in ms.
const LOG_AGAIN_MS: f64 = 5_000.0;
/// The run limit and the crowd are logged when they have moved by this part.
const MOVED: f64 = 0.5;

/// One state that is on or off. Its beginning is logged at once, unless one was logged just before; its end is logged where
/// its beginning was.
#[derive(Default)]
struct Condition {
    on: bool,
    since: f64,
    logged: bool,
    last_logged: Option<f64>,
}

/// What is to be logged of a condition.
enum Edge {
    Begins,
    /// It is over after so many ms.
    Ends(f64),
}

impl Condition {
    fn turn(&mut self, now: f64, on: bool) -> Option<Edge> {
        if on == self.on {
            return None;
        }
        self.on = on;
        if !on {
            return std::mem::take(&mut self.logged).then_some(Edge::Ends(now - self.since));
        }
        self.since = now;
        self.logged = self.last_logged.is_none_or(|last| now - last >= LOG_AGAIN_MS);
        self.logged.then(|| {
            self.last_logged = Some(now);
            Edge::Begins
        })
    }
}

/// What was logged last.
#[derive(Default)]
pub(super) struct StateChangeLog {
    outlasting: Condition,
    most: OrphanedRuns,
    exhausted: Condition,
    memory: Condition,
    calls: Condition,
    runs: u32,
    crowd: u32,
    moved_at: Option<f64>,
}

impl StateChangeLog {
    /// Logs what has changed since the last look.
    pub fn log_changes(&mut self, now: f64, limits: &Limits) {
        self.look_at_outlasting(now, limits);
        match self.exhausted.turn(now, limits.exhausted) {
            Some(Edge::Begins) => warn!(
                "requests are turned away: runs that outlast their callers leave no room for others (crowd {}, memory {:.0}%)",
                limits.survivable_runs,
                100.0 * limits.memory_used
            ),
            Some(Edge::Ends(ms)) => info!("requests are taken again after {ms:.0} ms: runs have ended"),
            None => {}
        }
        match self.memory.turn(now, limits.memory_short) {
            Some(Edge::Begins) => info!("no run is begun: memory is at {:.0}%", 100.0 * limits.memory_used),
            Some(Edge::Ends(ms)) => info!("memory allows runs again after {ms:.0} ms"),
            None => {}
        }
        match self.calls.turn(now, limits.calls_blocked) {
            Some(Edge::Begins) => info!("calls wait: this node's share of what lies below is in use"),
            Some(Edge::Ends(ms)) => info!("calls go on after {ms:.0} ms"),
            None => {}
        }
        self.look_at_limits(now, limits);
    }

    fn look_at_outlasting(&mut self, now: f64, limits: &Limits) {
        let OrphanedRuns { runs, booked_kb, longest_ms } = limits.orphaned;
        self.most.runs = self.most.runs.max(runs);
        self.most.longest_ms = self.most.longest_ms.max(longest_ms);
        match self.outlasting.turn(now, runs > 0) {
            Some(Edge::Begins) => warn!(
                "{runs} runs go on though their callers are gone, for {longest_ms:.0} ms so far: they keep their permits and {booked_kb:.0} kB"
            ),
            Some(Edge::Ends(ms)) => info!(
                "no run outlasts its caller any more: up to {} did at once, for {:.0} ms at most, within {ms:.0} ms",
                self.most.runs, self.most.longest_ms
            ),
            None => {}
        }
        if runs == 0 {
            self.most = OrphanedRuns::default();
        }
    }

    fn look_at_limits(&mut self, now: f64, limits: &Limits) {
        let moved = |from: u32, to: u32| f64::from(to.abs_diff(from)) > MOVED * f64::from(from);
        let has_moved = moved(self.runs, limits.runs) || moved(self.crowd, limits.survivable_runs);
        if has_moved && self.moved_at.is_none_or(|at| now - at >= LOG_AGAIN_MS) {
            info!("{} requests may run at once; the cores survive {}", limits.runs, limits.survivable_runs);
            (self.runs, self.crowd, self.moved_at) = (limits.runs, limits.survivable_runs, Some(now));
        }
    }
}
