//! Runs whose callers have been answered or have left, and whose end the processor has not told.
//!
//! Such a run goes on, for all that is known: it holds its permit and its memory until there is proof of its end. Silence is
//! none. The processor is asked by a further command to begin the run: one that runs ignores it, and one that is over, or
//! that the processor has forgotten, is answered with `void` or a rejection.

use bytes::Bytes;
use tokio_util::time::delay_queue;

use super::core::Exchange;
use super::entry::{Entry, Phase, Timer};
use super::time::span;
use super::types::Anomaly;
use crate::fault_injection::{self, InjectedFault};
use crate::interface::{Outcome, RequestId};

/// The first question comes this many deadlines of the class after the caller has surely given the request up: before, a run
/// that is over might be begun a second time.
const FIRST_DEADLINES: f64 = 1.0;
/// The least time before the first question and between two of them, in ms. The time between two doubles up to the most.
const LEAST_MS: f64 = 500.0;
const MOST_MS: f64 = 4_000.0;

/// The questions about one run.
pub(super) struct Inquiry {
    /// The wait for the next one.
    next: delay_queue::Key,
    /// The earliest time for it, by the exchange's clock, and the time to the one behind it, in ms.
    from: f64,
    gap_ms: f64,
    /// Whether one was put: what the processor says of the run from then on may be the answer.
    asked: bool,
}

impl Exchange {
    /// Nobody waits for the end of this run any more: it is asked about in time.
    pub(super) fn schedule_inquiry(&mut self, id: RequestId) {
        let now = self.clock.now();
        let Some(entry) = self.entries.get(&id).filter(|entry| entry.inquiry.is_none()) else { return };
        let deadline_ms = self.site.settings.classes[entry.class].deadline_ms;
        let gap_ms = (FIRST_DEADLINES * deadline_ms).clamp(LEAST_MS, MOST_MS);
        let from = entry.given_up_by.max(now) + gap_ms;
        let next = self.timers.insert(Timer::RunInquiry(id), span(from - now));
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.inquiry = Some(Inquiry { next, from, gap_ms, asked: false });
        }
    }

    /// Nobody waits for this result any more, and its copies are late.
    pub(super) fn await_replication(&mut self, id: RequestId) {
        let Some(entry) = self.entries.get(&id) else { return };
        let deadline_ms = self.site.settings.classes[entry.class].deadline_ms;
        self.timers.insert(Timer::RunInquiry(id), span(deadline_ms.max(LEAST_MS)));
    }

    /// Asks the processor about a run. While it answers nothing else either, no question is put: they would only pile up.
    pub(super) fn query_run(&mut self, id: RequestId) {
        let now = self.clock.now();
        let is_silent = matches!(self.gauge_query, Some((_, None)));
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if matches!(entry.phase, Phase::Replicating(_)) {
            return self.result_replicated(id);
        }
        let (try_id, Some(inquiry)) = (entry.try_id, &mut entry.inquiry) else { return };
        if fault_injection::is_active(InjectedFault::PermitByTimer) {
            return self.run_ended(try_id, Outcome::Error, 0.0, Bytes::new());
        }
        let asks = !is_silent && now >= inquiry.from;
        let wait_ms = (inquiry.from - now).max(inquiry.gap_ms);
        inquiry.next = self.timers.insert(Timer::RunInquiry(id), span(wait_ms));
        if !asks {
            return;
        }
        inquiry.gap_ms = (2.0 * inquiry.gap_ms).min(MOST_MS);
        if !std::mem::replace(&mut inquiry.asked, true) {
            self.record_anomaly(Anomaly::RunOutlastsCaller, try_id);
        }
        self.command_begin(id);
    }

    /// The processor has a new link, or has started anew: what it knows of runs that nobody waits for is asked at once.
    pub(super) fn query_all_runs(&mut self) {
        for inquiry in self.entries.values().filter_map(|entry| entry.inquiry.as_ref()) {
            self.timers.reset(&inquiry.next, span(inquiry.from - self.clock.now()));
        }
    }

    /// What an end that the processor tells means for a run. Behind a question, that nothing was begun says only that the
    /// run is over: it may have had its effect.
    pub(super) fn outcome_by(&mut self, id: RequestId, told: Outcome) -> Outcome {
        let Some(Entry { try_id, inquiry, .. }) = self.entries.get_mut(&id) else { return told };
        let try_id = *try_id;
        let Some(inquiry) = inquiry.take() else { return told };
        self.timers.try_remove(&inquiry.next);
        if told != Outcome::Moot || !inquiry.asked {
            return told;
        }
        self.record_anomaly(Anomaly::RunUnknownToProcessor, try_id);
        Outcome::Error
    }
}
