//! Calls of running requests to the dependency.

use super::*;

/// Retries of a call that provably never ran, or of a safe call whose connection broke.
pub(super) const MAX_CALL_RETRIES: u32 = 2;
/// An optional call that could not start is skipped after this part of the aim.
pub(super) const OPTIONAL_CALL_WAIT: f64 = 0.4;

impl Controller {
    /// Queues the call that a running request needs, or skips it if the request does without.
    pub(super) fn request_call(&mut self, id: u32, out: &mut Vec<Action>) {
        let Some(entry) = self.requests.get(&id).filter(|entry| entry.phase == Phase::Running) else {
            return;
        };
        if !entry.answered && !entry.wants_calls {
            return out.push(Action::Skip(RequestId(id)));
        }
        if !entry.answered {
            self.waiting_calls.insert(entry.call_order(id));
        }
        self.set_phase(id, Phase::Waiting);
    }

    /// Handles the end of a call: the run goes on, the call is retried or skipped, or the request fails.
    pub(super) fn finish_call(&mut self, id: u32, outcome: Outcome, took_ms: f64, out: &mut Vec<Action>) {
        let Some(entry) = self.requests.get_mut(&id).filter(|e| e.phase == Phase::Calling) else { return };
        entry.call_tries += 1;
        let (tries, answered) = (entry.call_tries, entry.answered);
        let (order, optional) = (entry.call_order(id), entry.optional_call);
        let safe = self.settings.classes[entry.class].effect == Effect::Safe;
        // A broken connection proves nothing: the dependency may still work on the call.
        self.call_budget.call_ended(self.now, matches!(outcome, Outcome::Timeout | Outcome::Reset));
        if matches!(outcome, Outcome::Ok | Outcome::Timeout) {
            self.call_budget.record_call_time(self.now, took_ms);
        }
        if outcome == Outcome::Ok {
            return self.set_phase(id, Phase::Running);
        }
        self.set_phase(id, Phase::Waiting);
        match outcome {
            _ if answered => {}
            Outcome::Full | Outcome::ConnectFailed | Outcome::Moot if tries <= MAX_CALL_RETRIES => {
                self.waiting_calls.insert(order);
            }
            // The call may have run, so it is retried only if that is safe.
            Outcome::Reset if safe && tries <= MAX_CALL_RETRIES => {
                self.waiting_calls.insert(order);
            }
            _ if optional => {
                out.push(Action::Skip(RequestId(id)));
                self.set_phase(id, Phase::Running);
            }
            _ => self.fail(id, out),
        }
    }

    /// Starts waiting calls while the budget allows, mandatory ones first. An optional call that cannot
    /// start in time is skipped: this keeps optional calls from filling the dependency and costs only the
    /// quality of that answer.
    pub(super) fn start_calls(&mut self, out: &mut Vec<Action>) {
        for order in self.waiting_calls.iter().copied().collect::<Vec<_>>() {
            let Some(entry) = self.requests.get(&order.2) else { continue };
            let (id, optional) = (RequestId(order.2), order.0);
            let needed_by = if optional { entry.aim_at.min(entry.due) } else { entry.due };
            let give_up_at = (needed_by - 2.0 * DUE_MARGIN_MS).min(self.now + self.call_budget.max_call_ms());
            let skip_after = entry.arrival + OPTIONAL_CALL_WAIT * self.settings.classes[entry.class].aim_ms;
            if optional
                && (self.now >= give_up_at || (self.now > skip_after && !self.call_budget.allows_call()))
            {
                out.push(Action::Skip(id));
                self.waiting_calls.remove(&order);
                self.set_phase(order.2, Phase::Running);
            } else if !optional && self.now + self.call_budget.mean_call_ms.value > entry.due {
                self.fail(order.2, out);
            } else if self.call_budget.allows_call() {
                self.call_budget.in_flight += 1.0;
                out.push(Action::Call { id, give_up_at: give_up_at.max(self.now + 1.0) });
                self.waiting_calls.remove(&order);
                self.set_phase(order.2, Phase::Calling);
            }
        }
    }

    /// Gives up the call of a request that nobody waits for: the connection is closed, and the dependency
    /// may still work on the call for its linger time. The run itself goes on to its end.
    pub(super) fn abandon_call(&mut self, id: u32) {
        if self.requests.get(&id).is_some_and(|entry| entry.phase == Phase::Calling) {
            self.call_budget.call_ended(self.now, true);
            self.set_phase(id, Phase::Waiting);
        }
    }
}
