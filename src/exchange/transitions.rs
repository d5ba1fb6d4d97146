//! Rate-limited log lines for changes of what the decision module admits, each with its reason.

use log::{info, warn};

use crate::logic::{Limits, OrphanedRuns};

/// Minimum time between two log lines for the begin of the same condition, or for a change of the limits, in ms.
const MIN_LOG_INTERVAL_MS: f64 = 5_000.0;
/// The run limit and the survivable concurrency are logged when they have changed by more than this fraction.
const CHANGE_FRACTION: f64 = 0.5;

/// A condition that is on or off. Its begin is logged at once, unless one was logged less than `MIN_LOG_INTERVAL_MS`
/// before; its end is logged if its begin was.
#[derive(Default)]
struct Condition {
    on: bool,
    since: f64,
    logged: bool,
    last_logged: Option<f64>,
}

/// A change of a condition that is to be logged.
enum Edge {
    Begins,
    /// The condition has ended after this many ms.
    Ends(f64),
}

impl Condition {
    fn update(&mut self, now: f64, on: bool) -> Option<Edge> {
        if on == self.on {
            return None;
        }
        self.on = on;
        if !on {
            return std::mem::take(&mut self.logged).then_some(Edge::Ends(now - self.since));
        }
        self.since = now;
        self.logged = self.last_logged.is_none_or(|last| now - last >= MIN_LOG_INTERVAL_MS);
        self.logged.then(|| {
            self.last_logged = Some(now);
            Edge::Begins
        })
    }
}

/// State of the log lines: the conditions, and the limits that were logged last.
#[derive(Default)]
pub(super) struct StateChangeLog {
    orphaned: Condition,
    orphaned_peak: OrphanedRuns,
    exhausted: Condition,
    memory: Condition,
    calls: Condition,
    run_limit: u32,
    concurrency: u32,
    limits_logged_at: Option<f64>,
}

impl StateChangeLog {
    /// Logs what has changed since the last call.
    pub fn log_changes(&mut self, now: f64, limits: &Limits) {
        self.log_orphaned(now, limits);
        match self.exhausted.update(now, limits.exhausted) {
            Some(Edge::Begins) => warn!(
                "requests are refused: runs that outlast their callers leave no capacity (survivable concurrency {}, memory {:.0}%)",
                limits.survivable_runs,
                100.0 * limits.memory_used
            ),
            Some(Edge::Ends(ms)) => info!("requests are accepted again after {ms:.0} ms: runs have ended"),
            None => {}
        }
        match self.memory.update(now, limits.memory_short) {
            Some(Edge::Begins) => info!("no new runs: memory is at {:.0}%", 100.0 * limits.memory_used),
            Some(Edge::Ends(ms)) => info!("new runs again after {ms:.0} ms: memory is available"),
            None => {}
        }
        match self.calls.update(now, limits.calls_blocked) {
            Some(Edge::Begins) => info!("calls wait: this node's share of the dependency is in use"),
            Some(Edge::Ends(ms)) => info!("calls are sent again after {ms:.0} ms"),
            None => {}
        }
        self.log_limits(now, limits);
    }

    fn log_orphaned(&mut self, now: f64, limits: &Limits) {
        let OrphanedRuns { runs, booked_kb, longest_ms } = limits.orphaned;
        self.orphaned_peak.runs = self.orphaned_peak.runs.max(runs);
        self.orphaned_peak.longest_ms = self.orphaned_peak.longest_ms.max(longest_ms);
        match self.orphaned.update(now, runs > 0) {
            Some(Edge::Begins) => warn!(
                "{runs} runs outlast their callers, for {longest_ms:.0} ms so far: they keep their permits and {booked_kb:.0} kB"
            ),
            Some(Edge::Ends(ms)) => info!(
                "no run outlasts its caller any more: at most {} at once, for at most {:.0} ms, within {ms:.0} ms",
                self.orphaned_peak.runs, self.orphaned_peak.longest_ms
            ),
            None => {}
        }
        if runs == 0 {
            self.orphaned_peak = OrphanedRuns::default();
        }
    }

    fn log_limits(&mut self, now: f64, limits: &Limits) {
        let changed = |from: u32, to: u32| f64::from(to.abs_diff(from)) > CHANGE_FRACTION * f64::from(from);
        let has_changed =
            changed(self.run_limit, limits.runs) || changed(self.concurrency, limits.survivable_runs);
        if has_changed && self.limits_logged_at.is_none_or(|at| now - at >= MIN_LOG_INTERVAL_MS) {
            info!(
                "run limit is {}; survivable concurrency of the cores is {}",
                limits.runs, limits.survivable_runs
            );
            (self.run_limit, self.concurrency, self.limits_logged_at) =
                (limits.runs, limits.survivable_runs, Some(now));
        }
    }
}
