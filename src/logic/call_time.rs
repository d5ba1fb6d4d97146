//! Call time spent at the dependency within the last span.

use std::collections::VecDeque;

/// Bounds the memory: beyond this many intervals, the two oldest are merged.
const MAX_INTERVALS: usize = 512;
/// Iterations of the estimate of the longest further call; each adds the call time that leaves the span
/// meanwhile.
const ESTIMATE_ROUNDS: usize = 4;

/// A constant number of calls in flight between two times, in ms.
#[derive(Clone, Copy)]
struct Interval {
    from: f64,
    to: f64,
    calls: f64,
}

impl Interval {
    fn call_ms(&self) -> f64 {
        self.calls * (self.to - self.from)
    }
}

/// The intervals of the last span, oldest first.
#[derive(Default)]
pub(super) struct CallTime(VecDeque<Interval>);

impl CallTime {
    /// Records `calls` calls in flight between `from` and `to`; `from` is not before the end of the last
    /// interval.
    pub(super) fn record(&mut self, from: f64, to: f64, calls: f64, span_ms: f64) {
        while self.0.front().is_some_and(|interval| interval.to <= to - span_ms) {
            self.0.pop_front();
        }
        if calls <= 0.0 || to <= from {
            return;
        }
        match self.0.back_mut().filter(|last| last.calls == calls && last.to == from) {
            Some(last) => last.to = to,
            None => self.0.push_back(Interval { from, to, calls }),
        }
        if self.0.len() > MAX_INTERVALS {
            self.merge_oldest();
        }
    }

    /// Merges the two oldest intervals into one with the call time of both.
    fn merge_oldest(&mut self) {
        let (Some(first), Some(second)) = (self.0.pop_front(), self.0.pop_front()) else { return };
        let call_ms = first.call_ms() + second.call_ms();
        let calls = call_ms / (second.to - first.from);
        self.0.push_front(Interval { from: first.from, to: second.to, calls });
    }

    /// Call time since `time`, in ms.
    fn call_ms_since(&self, time: f64) -> f64 {
        let part = |interval: &Interval| interval.calls * (interval.to - interval.from.max(time)).max(0.0);
        self.0.iter().map(part).sum()
    }

    /// How long a call that starts now may be in flight so that the call time stays under `budget_ms` in
    /// any span.
    pub(super) fn available_ms(&self, now: f64, budget_ms: f64, span_ms: f64) -> f64 {
        let mut available_ms: f64 = 0.0;
        for _ in 0..ESTIMATE_ROUNDS {
            // By the time the call ends, this much of the earlier call time has left the span.
            available_ms = (budget_ms - self.call_ms_since(now + available_ms - span_ms)).max(0.0);
        }
        available_ms
    }
}
