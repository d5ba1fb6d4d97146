//! Slow start: bounds the calls that a server receives while it warms up, in total over all processes that call it.
//!
//! An operator allows N calls to a server of weight 1 during its warm-up time ([`Options::slow_start_calls`]), in total
//! over all processes. The total may reach N + 2·√N + 2, or N + 3·√N + 3 for N under 30. Processes do not communicate
//! about it: each derives its share from N and the number of processes ([`Options::processes`]), both of which it reads
//! from its settings and from the operator's file.
//!
//! The share of a process is a rate, the same for all, rather than a number of calls: a process that begins or ends while
//! a server warms up uses the part for its own time. The rate produces tokens, one for each call. As a process may get
//! less than one token in all, its token count starts at a random phase: the count is then the fraction rounded up or
//! down at random, its mean is exact, and its variance at most 1/4. Over P processes the variance of the total is at most
//! P/4, and no more than its mean. The mean is set so far below the bound that the total stays under it by
//! [`DEVIATIONS`] standard deviations. An unused token expires, so that tokens don't accumulate into a burst.
//!
//! A server is in slow start:
//! - for the warm-up time from its start, as reported by the server itself or, where the site lets processes
//!   communicate, by another process;
//! - for the warm-up time from its entry in the list, if that came after the start of this process;
//! - for as long as nothing is received from it after a refused connection: it may start at any time, and calls that try
//!   it then must stay within the share. The more processes there are, the longer it takes to find out that a server is
//!   up again.
//!
//! If the number of processes is not configured, [`ASSUMED_PROCESSES`] are assumed. A node whose successor process has
//! taken over counts as one process: the predecessor makes only the calls of requests that it has already read.
//!
//! Not within the bound: calls to a server that has restarted unnoticed, until the first reply or refused connection
//! reveals it. Without communication no process can know of that start.
//!
//! [`Options::slow_start_calls`]: super::Options::slow_start_calls
//! [`Options::processes`]: super::Options::processes

/// Number of processes assumed if none is configured: more than any fleet is expected to have. A smaller fleet then uses
/// a cold server less than it could, and never more.
pub const ASSUMED_PROCESSES: u32 = 1_000;
/// Standard deviations between the mean of the total and its bound: one start in about a million exceeds it.
const DEVIATIONS: f64 = 5.0;
/// Part of the warm-up time after which an unused token expires.
const TOKEN_LIFETIME_SHARE: f64 = 0.1;

/// The most calls that all processes together may make to a server in slow start that is allowed `calls`.
pub fn bound(calls: f64) -> f64 {
    if calls < 30.0 { calls + 3.0 * calls.sqrt() + 3.0 } else { calls + 2.0 * calls.sqrt() + 2.0 }
}

/// Expected total over all processes: `calls`, or fewer if rounding many small shares could exceed the bound.
fn target_calls(calls: f64, processes: f64) -> f64 {
    let variance = calls.min(processes / 4.0);
    (bound(calls) - DEVIATIONS * variance.sqrt()).clamp(0.0, calls)
}

/// This process's share of the calls to one server in slow start.
#[derive(Clone, Copy, Debug)]
pub(super) struct Share {
    /// When the slow start of the server began or may have begun, in ms.
    since: f64,
    /// Whether nothing was received from it since a refused connection: its slow start has no end then.
    down: bool,
    /// Since when tokens are counted, in ms.
    counted_since: f64,
    /// Fraction of the first token that is available from the start; `None` until it is drawn.
    phase: Option<f64>,
    /// Tokens that were used, or expired before others were used.
    used: f64,
}

/// Rate and duration of a slow start.
#[derive(Clone, Copy, Debug)]
pub(super) struct Terms {
    tokens_per_ms: f64,
    warm_ms: f64,
}

impl Terms {
    /// Terms of one process out of `processes` that together make `calls` to a server that warms up for `warm_ms`.
    pub(super) fn new(calls: f64, processes: u32, warm_ms: f64) -> Self {
        let processes = f64::from(processes.max(1));
        // Tokens from before the server's start may be used after it until they expire, so they count too.
        let tokens_per_ms =
            target_calls(calls, processes) / processes / (warm_ms * (1.0 + TOKEN_LIFETIME_SHARE));
        Self { tokens_per_ms, warm_ms }
    }
}

impl Share {
    pub(super) fn new(now: f64, since: f64, down: bool) -> Self {
        Self { since, down, counted_since: now, phase: None, used: 0.0 }
    }

    /// Updates when the slow start began. The token count continues: a repeated report of the same start gives no
    /// further tokens.
    pub(super) fn update_start(&mut self, since: f64, down: bool) {
        (self.since, self.down) = (since, down);
    }

    /// Whether the phase is still to be drawn.
    pub(super) fn needs_phase(&self) -> bool {
        self.phase.is_none()
    }

    /// Sets the phase, a random number from 0 to 1.
    pub(super) fn set_phase(&mut self, phase: f64) {
        self.phase = Some(phase);
    }

    /// Whether the server is warm.
    pub(super) fn is_over(&self, now: f64, terms: &Terms) -> bool {
        !self.down && now - self.since >= terms.warm_ms
    }

    /// Tokens produced until `now`.
    fn tokens(&self, now: f64, terms: &Terms) -> f64 {
        (self.phase.unwrap_or(0.0) + terms.tokens_per_ms * (now - self.counted_since).max(0.0)).floor()
    }

    /// Tokens that were used or have expired.
    fn unavailable(&self, now: f64, terms: &Terms) -> f64 {
        self.used.max(self.tokens(now - TOKEN_LIFETIME_SHARE * terms.warm_ms, terms))
    }

    /// Whether there is a token for a call.
    pub(super) fn has_token(&self, now: f64, terms: &Terms) -> bool {
        self.tokens(now, terms) - self.unavailable(now, terms) >= 1.0
    }

    /// Uses a token for a call.
    pub(super) fn take(&mut self, now: f64, terms: &Terms) {
        self.used = self.unavailable(now, terms) + 1.0;
    }
}
