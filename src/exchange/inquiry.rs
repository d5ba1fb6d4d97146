//! Queries to the processor about runs whose callers were answered or have left, and whose end it has not reported.
//!
//! Such a run is assumed to be running: it keeps its permit and its memory until its end is confirmed. Silence does
//! not confirm it. The query is a repeated command to begin the run: the processor ignores it while the run goes on,
//! and replies `void` or a rejection if the run has ended or if it no longer knows the run.

use bytes::Bytes;
use tokio_util::time::delay_queue;

use super::core::Exchange;
use super::entry::{Entry, Phase, Timer};
use super::time::span;
use super::types::Anomaly;
use crate::fault_injection::{self, InjectedFault};
use crate::interface::{Outcome, RequestId};

/// The first query is sent this many deadlines of the class after the caller has certainly given up: an earlier one
/// might begin a finished run a second time.
const FIRST_DELAY_DEADLINES: f64 = 1.0;
/// Bounds of the delay before the first query and of the interval between queries, in ms. The interval doubles with
/// each query.
const MIN_INTERVAL_MS: f64 = 500.0;
const MAX_INTERVAL_MS: f64 = 4_000.0;

/// State of the queries about one run.
pub(super) struct Inquiry {
    /// Timer of the next query.
    timer: delay_queue::Key,
    /// Earliest time of the first query, by the exchange's clock, and the interval to the next one, in ms.
    earliest_at: f64,
    interval_ms: f64,
    /// Whether a query was sent: from then on a message of the processor about the run may be the reply to it.
    query_sent: bool,
}

impl Exchange {
    /// Schedules the first query about a run that no caller waits for any more.
    pub(super) fn schedule_inquiry(&mut self, id: RequestId) {
        let now = self.clock.now();
        let Some(entry) = self.entries.get(&id).filter(|entry| entry.inquiry.is_none()) else { return };
        let deadline_ms = self.site.settings.classes[entry.class].deadline_ms;
        let interval_ms = (FIRST_DELAY_DEADLINES * deadline_ms).clamp(MIN_INTERVAL_MS, MAX_INTERVAL_MS);
        let earliest_at = entry.given_up_by.max(now) + interval_ms;
        let timer = self.timers.insert(Timer::RunInquiry(id), span(earliest_at - now));
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.inquiry = Some(Inquiry { timer, earliest_at, interval_ms, query_sent: false });
        }
    }

    /// Schedules the end of the wait for the replication of a result that no caller waits for any more.
    pub(super) fn await_replication(&mut self, id: RequestId) {
        let Some(entry) = self.entries.get(&id) else { return };
        let deadline_ms = self.site.settings.classes[entry.class].deadline_ms;
        self.timers.insert(Timer::RunInquiry(id), span(deadline_ms.max(MIN_INTERVAL_MS)));
    }

    /// Queries the processor about a run, unless the processor is not answering at all: queries would only pile up. A
    /// run that only waits for replication is finished instead.
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
        let sends_now = !is_silent && now >= inquiry.earliest_at;
        let wait_ms = (inquiry.earliest_at - now).max(inquiry.interval_ms);
        inquiry.timer = self.timers.insert(Timer::RunInquiry(id), span(wait_ms));
        if !sends_now {
            return;
        }
        inquiry.interval_ms = (2.0 * inquiry.interval_ms).min(MAX_INTERVAL_MS);
        if !std::mem::replace(&mut inquiry.query_sent, true) {
            self.record_anomaly(Anomaly::RunOutlastsCaller, try_id);
        }
        self.send_begin(id);
    }

    /// Moves all queries up to their earliest time, as the processor has reconnected or restarted and may no longer
    /// know the runs.
    pub(super) fn query_all_runs(&mut self) {
        for inquiry in self.entries.values().filter_map(|entry| entry.inquiry.as_ref()) {
            self.timers.reset(&inquiry.timer, span(inquiry.earliest_at - self.clock.now()));
        }
    }

    /// Returns the outcome that a reported end stands for. After a query, a report that nothing was begun only means
    /// that the run is over: it may have had its effect, so it counts as an error.
    pub(super) fn resolve_outcome(&mut self, id: RequestId, reported: Outcome) -> Outcome {
        let Some(Entry { try_id, inquiry, .. }) = self.entries.get_mut(&id) else { return reported };
        let try_id = *try_id;
        let Some(inquiry) = inquiry.take() else { return reported };
        self.timers.try_remove(&inquiry.timer);
        if reported != Outcome::Moot || !inquiry.query_sent {
            return reported;
        }
        self.record_anomaly(Anomaly::RunUnknownToProcessor, try_id);
        Outcome::Error
    }
}
