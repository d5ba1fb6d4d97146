//! Limits the calls that may be in flight to the dependency at once.

use std::collections::VecDeque;

use super::average::{Average, Span};
use super::call_time::CallTime;
use crate::fault_injection::{self, InjectedFault};
use crate::interface::Below;

/// A mean call time above this multiple of the lowest mean seen indicates a congested dependency.
pub(super) const CALL_CONGESTION_RATIO: f64 = 1.6;
/// Factors on the call limit after a call while the dependency is congested, and otherwise.
pub(super) const CALL_LIMIT_STEPS: (f64, f64) = (0.97, 1.03);
/// Lower and upper bound of the call limit, as shares of the configured share.
pub(super) const CALL_LIMIT_BOUNDS: (f64, f64) = (0.3, 0.4);
/// Unused call time that may be saved up for a burst of calls, as a part of the share over one span.
pub(super) const MAX_CALL_BURST: f64 = 0.2;
/// Limit, saved call time and one long call together stay under this part of the share in any span.
pub(super) const MAX_CALL_TIME_SHARE: f64 = 0.9;
/// With a share below one, a call starts only if it may take this many mean call times and this many ms.
pub(super) const MIN_CALL_TIME: (f64, f64) = (3.0, 50.0);
/// Averaging of the call time: 8 calls, or ten seconds. The lowest mean seen is its floor.
pub(super) const CALL_TIME_SPAN: Span = Span { samples: 8.0, ms: 10_000.0 };
/// Upward drift of that floor at each call, as a part of the mean: an earlier, faster period is forgotten
/// within minutes.
pub(super) const CALL_FLOOR_DRIFT: f64 = 0.005;

/// Counts the calls in flight to the dependency and limits their mean number: a leaky bucket of call time.
#[derive(Default)]
pub(super) struct CallBudget {
    pub(super) dependency: Below,
    pub(super) in_flight: f64,
    /// When each abandoned call is over at the dependency at the latest.
    pub(super) lingering: VecDeque<f64>,
    /// Calls of another process, which count like calls in flight.
    pub(super) reserved: f64,
    /// Unused call time under the limit, in call-milliseconds; negative after an overrun.
    pub(super) credit: f64,
    pub(super) updated_at: f64,
    /// Learned limit on the mean number of calls in flight.
    pub(super) limit: f64,
    /// Lowest mean call time seen, with an upward drift.
    pub(super) min_call_ms: f64,
    /// Mean call time, in ms.
    pub(super) mean_call_ms: Average,
    /// Call time of the last span.
    pub(super) call_history: CallTime,
    /// With a share below one: how long a call that starts now may be in flight, lingering included, in ms.
    pub(super) available_ms: f64,
}

impl CallBudget {
    /// This server's share of the calls that the dependency sustains; infinite if there is no shared
    /// dependency.
    pub(super) fn share(&self) -> f64 {
        match self.dependency {
            Below::Shared { share, .. } => share,
            _ => f64::INFINITY,
        }
    }

    /// The highest limit: a share of one or more is kept by counting calls, a share below one only in the
    /// mean.
    pub(super) fn max_limit(&self) -> f64 {
        self.share().floor().max(CALL_LIMIT_BOUNDS.1 * self.share())
    }

    /// Mean call time relative to the congestion threshold; above 1, optional calls delay others.
    pub(super) fn congestion(&self) -> f64 {
        self.mean_call_ms.value / (CALL_CONGESTION_RATIO * self.min_call_ms).max(1.0)
    }

    /// Charges the elapsed call time against the limit. This keeps a share below one, which no count of
    /// calls can keep: a long call is followed by a long wait. It delays calls that come in bursts.
    pub(super) fn advance(&mut self, now: f64) {
        while let Some(until) = self.lingering.front().copied().filter(|until| *until <= now) {
            self.charge(until);
            self.lingering.pop_front();
        }
        self.charge(now);
        if let Below::Shared { share, span_ms, .. } = self.dependency
            && share < 1.0
        {
            self.available_ms =
                self.call_history.available_ms(now, MAX_CALL_TIME_SHARE * share * span_ms, span_ms);
        }
    }

    /// Charges the calls in flight up to that time.
    fn charge(&mut self, now: f64) {
        let from = self.updated_at;
        self.updated_at = now.max(from);
        if let Below::Shared { share, span_ms, .. } = self.dependency {
            let load = self.load();
            self.credit += (self.limit - load) * (self.updated_at - from);
            self.credit = self.credit.min(MAX_CALL_BURST * share * span_ms);
            self.call_history.record(from, self.updated_at, load, span_ms);
        }
    }

    /// Calls that are, or may still be, in flight at the dependency.
    pub(super) fn load(&self) -> f64 {
        self.in_flight + self.lingering.len() as f64 + self.reserved
    }

    /// Whether one more call fits beside those in flight, within the saved call time.
    pub(super) fn can_repeat_call(&self) -> bool {
        self.credit >= 0.0 && self.load() + 1.0 <= self.limit.floor()
    }

    /// Whether a call may start now.
    pub(super) fn allows_call(&self) -> bool {
        self.credit >= 0.0 && self.load() + 1.0 <= self.limit.floor().max(1.0) && self.has_call_time()
    }

    /// Whether a call would have enough time in this span. If nothing was spent in the span, waiting gains
    /// nothing, even if an abandoned call takes more than the share.
    fn has_call_time(&self) -> bool {
        let Below::Shared { share, span_ms, linger_ms } = self.dependency else { return true };
        let budget_ms = MAX_CALL_TIME_SHARE * share * span_ms;
        let half_ms = (budget_ms - linger_ms) / 2.0;
        let needed_ms = (MIN_CALL_TIME.0 * self.mean_call_ms.value).min(half_ms).max(MIN_CALL_TIME.1);
        share >= 1.0 || self.available_ms >= budget_ms || self.available_ms - linger_ms >= needed_ms
    }

    /// The longest that one call may take. With a share below one, calls must not outlast their span, as
    /// they would if every server had a call in flight and the dependency stalled; the request fails
    /// instead.
    pub(super) fn max_call_ms(&self) -> f64 {
        let Below::Shared { share, span_ms, linger_ms } = self.dependency else { return f64::INFINITY };
        if share >= 1.0 {
            return f64::INFINITY;
        }
        let spare_share = (MAX_CALL_TIME_SHARE - MAX_CALL_BURST) * share - self.limit;
        let max_in_span_ms = (spare_share * span_ms - linger_ms).max(linger_ms);
        max_in_span_ms.min((self.available_ms - linger_ms).max(MIN_CALL_TIME.1))
    }

    /// Expected wait of a new call behind `pending` others at the learned limit.
    pub(super) fn expected_wait_ms(&self, pending: f64) -> f64 {
        let free_ms = if self.limit < 1.0 { self.credit } else { self.limit * self.mean_call_ms.value };
        ((pending * self.mean_call_ms.value - free_ms) / self.limit.max(f64::MIN_POSITIVE)).max(0.0)
    }

    /// Removes a call in flight; an abandoned one may linger at the dependency.
    pub(super) fn call_ended(&mut self, now: f64, abandoned: bool) {
        self.in_flight = (self.in_flight - 1.0).max(0.0);
        if abandoned {
            self.add_lingering(now);
        }
    }

    /// Counts an abandoned call for as long as the dependency may still work on it.
    pub(super) fn add_lingering(&mut self, now: f64) {
        if fault_injection::is_active(InjectedFault::CallOverAtClose) {
            return;
        }
        if let Below::Shared { linger_ms, .. } = self.dependency {
            self.lingering.push_back(now + linger_ms);
        }
    }

    /// Adapts the limit to the call time, so that the dependency is relieved long before it collapses: the
    /// limit falls while calls take a multiple of the lowest mean seen, and rises otherwise. It is too low
    /// if call times vary by nature.
    pub(super) fn record_call_time(&mut self, now: f64, took_ms: f64) {
        if self.share().is_infinite() {
            return;
        }
        self.mean_call_ms.add(now, took_ms, &CALL_TIME_SPAN);
        let mean_ms = self.mean_call_ms.value.max(1.0);
        let previous_min_ms = if self.min_call_ms == 0.0 { mean_ms } else { self.min_call_ms };
        self.min_call_ms = previous_min_ms.min(mean_ms) + CALL_FLOOR_DRIFT * mean_ms;
        let step = if self.congestion() > 1.0 { CALL_LIMIT_STEPS.0 } else { CALL_LIMIT_STEPS.1 };
        self.limit = (self.limit * step).clamp(CALL_LIMIT_BOUNDS.0 * self.share(), self.max_limit());
    }
}
