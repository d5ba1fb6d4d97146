//! State of one request.

use super::average::micros;

/// How far a request has come.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Phase {
    /// Read, and waits to run.
    #[default]
    Held,
    /// Waits for the result of the request that it repeats.
    Reusing,
    /// Runs, and is not at a call.
    Running,
    /// Its run waits for a call to start, or for its end after an abandoned call.
    Waiting,
    /// Its run waits for the result of a call.
    Calling,
}

/// State of one request. Times are clock times in ms.
#[derive(Default)]
pub(super) struct Entry {
    pub(super) class: usize,
    pub(super) arrival: f64,
    /// When the answer is due.
    pub(super) due: f64,
    /// Until when the answer earns full worth.
    pub(super) aim_at: f64,
    /// Memory while held, and the memory booked now: that of a run once it has started.
    pub(super) held_kb: f64,
    pub(super) booked_kb: f64,
    pub(super) hint_ms: Option<f64>,
    /// When its key expires, if its result is retained.
    pub(super) retain_until: Option<f64>,
    /// Worth relative to the best class and the tenant's quota, 0 to 1.
    pub(super) priority: f64,
    /// Position among the held requests: the aim in microseconds, later for a lower priority.
    pub(super) order: i64,
    pub(super) phase: Phase,
    /// Whether its caller was answered or disconnected.
    pub(super) answered: bool,
    pub(super) answered_at: f64,
    /// Whether its run goes on long after its caller was answered or disconnected.
    pub(super) orphaned: bool,
    /// Whether its run cannot end without a call.
    pub(super) must_call: bool,
    /// Whether its call may be skipped.
    pub(super) optional_call: bool,
    /// Whether it makes its calls: mandatory ones always, optional ones as the dimmer decides.
    pub(super) wants_calls: bool,
    pub(super) started_at: f64,
    /// When it was last parked at a call.
    pub(super) parked_since: f64,
    /// Total time at calls.
    pub(super) parked_ms: f64,
    pub(super) call_tries: u32,
}

impl Entry {
    /// Order of waiting calls: mandatory before optional, then the nearest aim.
    pub(super) fn call_order(&self, id: u32) -> (bool, i64, u32) {
        (self.optional_call, micros(self.aim_at), id)
    }

    /// Whether its run has started; it may wait for a call.
    pub(super) fn has_started(&self) -> bool {
        !matches!(self.phase, Phase::Held | Phase::Reusing)
    }

    /// Marks its caller as answered or disconnected.
    pub(super) fn mark_answered(&mut self, now: f64) {
        if !self.answered {
            (self.answered, self.answered_at) = (true, now);
        }
    }
}

/// A stop ahead: nothing that arrives after `last_arrival` runs, and all is answered by `stop_at`.
#[derive(Clone, Copy)]
pub(super) struct PlannedStop {
    pub(super) last_arrival: f64,
    pub(super) stop_at: f64,
}
