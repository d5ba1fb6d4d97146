//! How many calls may be in the hands of what lies below.

use std::collections::VecDeque;

use super::average::{Average, Span};
use super::call_time::CallTime;
use crate::fault_injection::{self, InjectedFault};
use crate::interface::Below;

/// A mean call time above this multiple of its learned floor means that what is below is crowded.
pub(super) const CALL_CROWDED: f64 = 1.6;
/// The call limit falls to this part at a crowded call, else it rises to this multiple.
pub(super) const CALL_LIMIT_STEPS: (f64, f64) = (0.97, 1.03);
/// Least and most of the told share that the call limit takes.
pub(super) const CALL_SHARE: (f64, f64) = (0.3, 0.4);
/// Part of a span at the share that may be saved up for calls that come together.
pub(super) const CALL_BURST: f64 = 0.2;
/// The limit, what is saved up, and one long call stay under this part of the share in any span.
pub(super) const CALL_TOTAL: f64 = 0.9;
/// A call under a share below one begins where it may take this many mean call times, and so many ms.
pub(super) const CALL_LEAST: (f64, f64) = (3.0, 50.0);
/// The mean call time holds over 8 calls, and ten seconds; the least mean seen is its floor.
pub(super) const CALL_SPAN: Span = Span { samples: 8.0, ms: 10_000.0 };
/// Upward drift of that floor at a call, as a part of the mean: it forgets a better past within minutes.
pub(super) const CALL_FLOOR_DRIFT: f64 = 0.005;

/// Calls in the hands of what lies below, and how many may be, in the mean: a leaky bucket of call time.
#[derive(Default)]
pub(super) struct CallBudget {
    pub(super) below: Below,
    pub(super) in_hand: f64,
    pub(super) lingering: VecDeque<f64>,
    /// Calls of another process, which count like those in hand.
    pub(super) reserved: f64,
    pub(super) credit: f64,
    pub(super) updated: f64,
    pub(super) limit: f64,
    pub(super) floor_ms: f64,
    pub(super) recent: Average,
    pub(super) time: CallTime,
    /// How long a call that begins now may be in hand, lingering included, under a share below one, in ms.
    pub(super) room_ms: f64,
}

impl CallBudget {
    pub(super) fn share(&self) -> f64 {
        match self.below {
            Below::Shared { share, .. } => share,
            _ => f64::INFINITY,
        }
    }

    /// The highest limit: a share of one or more is kept by counting calls, one below only in the mean.
    pub(super) fn most(&self) -> f64 {
        self.share().floor().max(CALL_SHARE.1 * self.share())
    }

    /// Call time over the mark of a crowded dependency: above 1, optional calls are in the way of others.
    pub(super) fn crowding(&self) -> f64 {
        self.recent.value / (CALL_CROWDED * self.floor_ms).max(1.0)
    }

    /// Books the call time that has gone by against the limit. Guards a share under one, which no count of
    /// calls can keep: a long call is paid back by a long wait. Harms calls that come in bursts.
    pub(super) fn advance(&mut self, now: f64) {
        while let Some(until) = self.lingering.front().copied().filter(|until| *until <= now) {
            self.book(until);
            self.lingering.pop_front();
        }
        self.book(now);
        if let Below::Shared { share, span_ms, .. } = self.below
            && share < 1.0
        {
            self.room_ms = self.time.room_ms(now, CALL_TOTAL * share * span_ms, span_ms);
        }
    }

    /// Books what is in hand up to then.
    fn book(&mut self, now: f64) {
        let from = self.updated;
        self.updated = now.max(from);
        if let Below::Shared { share, span_ms, .. } = self.below {
            let load = self.load();
            self.credit += (self.limit - load) * (self.updated - from);
            self.credit = self.credit.min(CALL_BURST * share * span_ms);
            self.time.book(from, self.updated, load, span_ms);
        }
    }

    /// Calls that are, or may be, in the hands of what lies below.
    pub(super) fn load(&self) -> f64 {
        self.in_hand + self.lingering.len() as f64 + self.reserved
    }

    /// Whether a further call could begin beside those in hand, with no more than is saved up.
    pub(super) fn can_repeat_call(&self) -> bool {
        self.credit >= 0.0 && self.load() + 1.0 <= self.limit.floor()
    }

    pub(super) fn open(&self) -> bool {
        self.credit >= 0.0 && self.load() + 1.0 <= self.limit.floor().max(1.0) && self.has_time()
    }

    /// Whether a call would have time enough in this span. With nothing spent in it there is no more to wait
    /// for, even where a call that is given up takes more than the share.
    fn has_time(&self) -> bool {
        let Below::Shared { share, span_ms, linger_ms } = self.below else { return true };
        let whole_ms = CALL_TOTAL * share * span_ms;
        let half_ms = (whole_ms - linger_ms) / 2.0;
        let least_ms = (CALL_LEAST.0 * self.recent.value).min(half_ms).max(CALL_LEAST.1);
        share >= 1.0 || self.room_ms >= whole_ms || self.room_ms - linger_ms >= least_ms
    }

    /// The longest that one call may take. Guards a share under one against calls that outlast its span, as
    /// when every server has one out and what is below stalls; harms the request, which fails then.
    pub(super) fn longest_ms(&self) -> f64 {
        let Below::Shared { share, span_ms, linger_ms } = self.below else { return f64::INFINITY };
        if share >= 1.0 {
            return f64::INFINITY;
        }
        let spare = (CALL_TOTAL - CALL_BURST) * share - self.limit;
        let in_span = (spare * span_ms - linger_ms).max(linger_ms);
        in_span.min((self.room_ms - linger_ms).max(CALL_LEAST.1))
    }

    /// How long a further call waits behind `pending` ones at the learned limit.
    pub(super) fn wait_ms(&self, pending: f64) -> f64 {
        let free = if self.limit < 1.0 { self.credit } else { self.limit * self.recent.value };
        ((pending * self.recent.value - free) / self.limit.max(f64::MIN_POSITIVE)).max(0.0)
    }

    pub(super) fn ended(&mut self, now: f64, abandoned: bool) {
        self.in_hand = (self.in_hand - 1.0).max(0.0);
        if abandoned {
            self.lingers(now);
        }
    }

    /// A call was given up: it may stay in the dependency's hands for a while.
    pub(super) fn lingers(&mut self, now: f64) {
        if fault_injection::is_active(InjectedFault::CallOverAtClose) {
            return;
        }
        if let Below::Shared { linger_ms, .. } = self.below {
            self.lingering.push_back(now + linger_ms);
        }
    }

    /// Guards against crowding what is below long before it falls: the limit falls while calls take a
    /// multiple of the least time seen and rises while they do not. Harms where call times differ by nature.
    pub(super) fn learn(&mut self, now: f64, took: f64) {
        if self.share().is_infinite() {
            return;
        }
        self.recent.add(now, took, &CALL_SPAN);
        let recent = self.recent.value.max(1.0);
        let before = if self.floor_ms == 0.0 { recent } else { self.floor_ms };
        self.floor_ms = before.min(recent) + CALL_FLOOR_DRIFT * recent;
        let step = if self.crowding() > 1.0 { CALL_LIMIT_STEPS.0 } else { CALL_LIMIT_STEPS.1 };
        self.limit = (self.limit * step).clamp(CALL_SHARE.0 * self.share(), self.most());
    }
}
