//! The bound on what a server gets in slow start, in sum over all processes that call it.
//!
//! An operator allows N calls to a server of weight 1 in the time in which it warms ([`Options::slow_start_calls`]), in sum
//! over all processes. The sum may come to N + 2·√N + 2, for N under 30 to N + 3·√N + 3. Processes do not talk about it:
//! each derives its share from N and from how many processes there are ([`Options::processes`]), both of which it reads
//! from its settings and from the operator's file.
//!
//! The share of a process is a rate, the same for all, and not a number of calls: a process that begins or ends while a
//! server warms takes the part of its time. The rate gives tokens, one for each call. As one process may get a fraction
//! of a token in all, it counts from a phase that it draws at random: the count is then the fraction rounded up or down
//! by chance, its mean is exact, and its variance at most 1/4. Over P processes the variance of the sum is at most P/4,
//! and no more than its mean. The mean is put so far below the bound that the sum stays under it by
//! [`DEVIATIONS`] standard deviations. A token that is not used lapses, so that none are saved up for one moment.
//!
//! A server is in slow start for the time that it warms from its start, as it tells of it itself, or another process does
//! where the site lets them talk; from its entry in the list, where that came later than this process; and for as long as
//! nothing is heard of it after a refused connection: it may start at any time, and whoever tries it then must do so
//! within its share. That makes a server that was down known again more slowly the more processes there are.
//!
//! Where nobody says how many processes there are, [`ASSUMED_PROCESSES`] are assumed. A node whose next process has taken over
//! counts as one: the one before makes only the calls of requests that it has read.
//!
//! What is not in the bound: calls of a process to a server that has restarted unseen, until the first reply or refused
//! connection tells of it. Nobody can know of that start without talk.
//!
//! [`Options::slow_start_calls`]: super::Options::slow_start_calls
//! [`Options::processes`]: super::Options::processes

/// Processes that are assumed where nobody says how many there are: more than a fleet is expected to have. A smaller one
/// uses a cold server less than it might, and never more.
pub const ASSUMED_PROCESSES: u32 = 1_000;
/// Standard deviations between the mean of the sum and its bound: one start in about a million goes over.
const DEVIATIONS: f64 = 5.0;
/// The part of the time to warm after which a token that was not used lapses.
const KEEPS: f64 = 0.1;

/// The most calls that all processes together may make to a server in slow start that is allowed `calls`.
pub fn bound(calls: f64) -> f64 {
    if calls < 30.0 { calls + 3.0 * calls.sqrt() + 3.0 } else { calls + 2.0 * calls.sqrt() + 2.0 }
}

/// The calls that all processes together aim at: `calls`, or fewer where the rounding of many small shares could go over
/// the bound.
fn aimed_at(calls: f64, processes: f64) -> f64 {
    let variance = calls.min(processes / 4.0);
    (bound(calls) - DEVIATIONS * variance.sqrt()).clamp(0.0, calls)
}

/// The share of one process in what a server gets in slow start.
#[derive(Clone, Copy, Debug)]
pub(super) struct Share {
    /// Since when the server is in slow start, or may be.
    since: f64,
    /// Whether nothing was heard of it since a refused connection: its slow start has no end then.
    down: bool,
    /// Since when tokens are counted.
    from: f64,
    /// What part of the first token there is from the start; absent until it is drawn.
    phase: Option<f64>,
    /// Tokens that were used, or that lapsed before others were used.
    used: f64,
}

/// What the share goes by.
#[derive(Clone, Copy, Debug)]
pub(super) struct Terms {
    /// Tokens for each ms.
    rate: f64,
    warm_ms: f64,
}

impl Terms {
    /// For `calls` to a server while it warms for `warm_ms`, in sum over so many processes.
    pub(super) fn new(calls: f64, processes: u32, warm_ms: f64) -> Self {
        let processes = f64::from(processes.max(1));
        // Tokens of the time before the start may be used in it, as long as they keep.
        let rate = aimed_at(calls, processes) / processes / (warm_ms * (1.0 + KEEPS));
        Self { rate, warm_ms }
    }
}

impl Share {
    pub(super) fn new(now: f64, since: f64, down: bool) -> Self {
        Self { since, down, from: now, phase: None, used: 0.0 }
    }

    /// The server is in slow start since then, by what is known now. Tokens are counted on: a word on a start that was
    /// tried already gives no further ones.
    pub(super) fn turn_to(&mut self, since: f64, down: bool) {
        (self.since, self.down) = (since, down);
    }

    /// Whether the phase is still to be drawn.
    pub(super) fn is_new(&self) -> bool {
        self.phase.is_none()
    }

    /// Takes a number from 0 to 1 that was drawn for it.
    pub(super) fn draw(&mut self, phase: f64) {
        self.phase = Some(phase);
    }

    /// Whether the server is warm.
    pub(super) fn is_over(&self, now: f64, terms: &Terms) -> bool {
        !self.down && now - self.since >= terms.warm_ms
    }

    fn tokens(&self, now: f64, terms: &Terms) -> f64 {
        (self.phase.unwrap_or(0.0) + terms.rate * (now - self.from).max(0.0)).floor()
    }

    /// Tokens that are gone: used or lapsed.
    fn gone(&self, now: f64, terms: &Terms) -> f64 {
        self.used.max(self.tokens(now - KEEPS * terms.warm_ms, terms))
    }

    /// Whether a call may go to the server.
    pub(super) fn is_open(&self, now: f64, terms: &Terms) -> bool {
        self.tokens(now, terms) - self.gone(now, terms) >= 1.0
    }

    /// A call goes there.
    pub(super) fn take(&mut self, now: f64, terms: &Terms) {
        self.used = self.gone(now, terms) + 1.0;
    }
}
