//! Ends of requests: refusals, failures, callers that disconnect, and finished runs.

use super::*;

/// Averaging of the ratio of actual to expected run time over all classes: a dozen runs, or five seconds.
pub(super) const RUN_TIME_RATIO_SPAN: Span = Span { samples: 12.0, ms: 5000.0 };
/// Factors of the retry-after advice: on the time that requests wait unread, on the share of requests
/// refused, and the part of the result that is drawn at random.
pub(super) const RETRY_AFTER_UNREAD_FACTOR: f64 = 4.0;
pub(super) const RETRY_AFTER_REFUSAL_FACTOR: f64 = 2.0;
pub(super) const RETRY_AFTER_JITTER: f64 = 0.5;
/// From this refusal rate on, refused callers are asked not to try other servers, if retries are not marked
/// and may go unnoticed.
pub(super) const STOP_RETRIES_REFUSAL_RATE: f64 = 0.5;

impl Controller {
    /// Removes a request's key, if it has one, here and at the embedding server.
    pub(super) fn forget(&mut self, id: u32, out: &mut Vec<Action>) {
        if self.memory.forget_key(id) {
            out.push(Action::Forget(RequestId(id)));
        }
    }

    /// Refuses a request that never ran. The retry-after advice follows the queueing time and the refusal
    /// rate, with a random part so that callers do not return together. While retries abound callers are
    /// asked not to try elsewhere, as reading each try costs work.
    pub(super) fn refuse(&mut self, id: u32, out: &mut Vec<Action>) {
        let wait_ms = (self.queue_wait_ms(i64::MAX, 0.0) + RETRY_AFTER_UNREAD_FACTOR * self.unread_wait_ms())
            .min(self.settings.max_retry_after_ms);
        let refusal_rate = self.refusal_rate.decayed(self.now, &ARRIVALS_SPAN);
        let stay_away_ms = wait_ms
            * (RETRY_AFTER_REFUSAL_FACTOR * refusal_rate).min(1.0)
            * (1.0 - RETRY_AFTER_JITTER * self.rng.f64());
        let mostly_refused = refusal_rate > STOP_RETRIES_REFUSAL_RATE && !self.settings.marks_further;
        let last = (mostly_refused || self.further_rate.value > STOP_RETRIES_FURTHER_RATE) && !self.draining;
        out.push(Action::Refuse { id: RequestId(id), stay_away_ms, last });
        self.forget(id, out);
        self.remove_entry(id);
    }

    /// Answers with an error. A request that runs keeps its core and memory until its run is reported done.
    pub(super) fn fail(&mut self, id: u32, out: &mut Vec<Action>) {
        let Some(entry) = self.requests.get_mut(&id) else { return };
        out.push(Action::Fail(RequestId(id)));
        entry.mark_answered(self.now);
        if fault_injection::is_active(InjectedFault::MemoryOfCallers) && entry.has_started() {
            self.memory.requests_kb -= std::mem::take(&mut entry.booked_kb);
        }
        self.due_order.remove(&(micros(entry.due), id));
        let ratio = (self.now - entry.arrival) / self.settings.classes[entry.class].aim_ms;
        if !entry.has_started() {
            self.remove_entry(id);
        } else {
            self.waiting_calls.remove(&entry.call_order(id));
            self.dimmer.window.push_back((self.now, ratio));
            self.abandon_call(id);
        }
    }

    /// Answers every request that is about to become due.
    pub(super) fn answer_due(&mut self, out: &mut Vec<Action>) {
        let soon = micros(self.now + DUE_MARGIN_MS);
        while let Some((_, id)) = self.due_order.first().copied().filter(|(due, _)| *due <= soon) {
            match self.requests.get(&id).map(|entry| entry.phase) {
                Some(Phase::Held) => self.refuse(id, out),
                _ => self.fail(id, out),
            }
        }
    }

    /// Handles a caller that has disconnected: nothing is answered, and a run goes on to its end.
    pub(super) fn caller_left(&mut self, id: u32, out: &mut Vec<Action>) {
        let Some(entry) = self.requests.get_mut(&id) else { return };
        entry.mark_answered(self.now);
        self.due_order.remove(&(micros(entry.due), id));
        if entry.has_started() {
            self.waiting_calls.remove(&entry.call_order(id));
            self.abandon_call(id);
        } else {
            self.forget(id, out);
            self.remove_entry(id);
        }
    }

    /// Handles the end of a run or a reuse, and learns the run time of its class.
    pub(super) fn run_ended(&mut self, id: u32, outcome: Outcome, out: &mut Vec<Action>) {
        let Some(entry) = self.requests.get(&id).filter(|entry| entry.phase != Phase::Held) else { return };
        if entry.phase == Phase::Calling {
            self.call_budget.call_ended(self.now, true);
        }
        let class = &self.settings.classes[entry.class];
        if entry.phase != Phase::Reusing {
            if let Some(key) = self.memory.keys.get_mut(&id) {
                key.1 = outcome != Outcome::Ok;
            }
            if outcome == Outcome::Ok {
                let slot_ms = (self.now - entry.started_at - entry.parked_ms).max(1.0);
                let run_times = &mut self.run_times[entry.class];
                self.run_time_ratio.add(
                    self.now,
                    slot_ms / run_times.expected_ms(entry.hint_ms).max(1.0),
                    &RUN_TIME_RATIO_SPAN,
                );
                run_times.slot_ms.add(self.now, slot_ms, &TIMES_SPAN);
                run_times.parked_ms.add(self.now, entry.parked_ms, &TIMES_SPAN);
                if let Some(hint_ms) = entry.hint_ms {
                    run_times.hint_ms.add(self.now, hint_ms, &TIMES_SPAN);
                }
            }
        }
        if outcome == Outcome::Moot && entry.has_started() {
            self.forget(id, out);
        } else if outcome == Outcome::Ok && !entry.answered {
            self.dimmer.window.push_back((self.now, (self.now - entry.arrival) / class.aim_ms));
        }
        self.remove_entry(id);
    }
}
