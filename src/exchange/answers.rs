//! Sends the final answer of each request and cleans up its state.

use log::debug;

use super::core::Exchange;
use super::entry::{Entry, Phase};
use super::idempotency::{Key, KeyState};
use super::types::{Anomaly, Answer, TryId};
use crate::interface::{Event, Outcome, RequestId};
use crate::replication::Errand;

impl Exchange {
    /// The client no longer waits for its answer.
    pub(super) fn abandon(&mut self, id: RequestId) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.reply = None;
            self.close_request(id);
        }
    }

    /// Ends a request that no caller waits for, and notifies the decision module, which did not initiate this.
    pub(super) fn close_request(&mut self, id: RequestId) {
        if !self.entries.get(&id).is_some_and(|entry| matches!(entry.phase, Phase::VerifyingRefusal { .. })) {
            self.events.push(Event::Gone(id));
        }
        self.clean_up(id);
    }

    /// Removes the remaining state of a request that needs no answer any more. A run continues to its end.
    pub(super) fn clean_up(&mut self, id: RequestId) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if let Some(failsafe) = entry.failsafe_timer.take() {
            self.timers.try_remove(&failsafe);
        }
        if let Phase::AwaitingCall(pending) = &mut entry.phase {
            pending.placed = None;
        }
        if matches!(entry.phase, Phase::Sharing) {
            // The decision module may count it as a run, whose permit would otherwise never be released.
            self.events.push(Event::Done { id, outcome: Outcome::Moot, took_ms: 0.0 });
        }
        if matches!(entry.phase, Phase::Claiming { .. }) {
            self.cancel_claim(id);
        } else if entry.is_running() {
            self.schedule_inquiry(id);
        } else if matches!(entry.phase, Phase::Replicating(_)) {
            // Its run is over; only the replication of its result is pending, which has its own timer.
            self.await_replication(id);
        } else {
            if matches!(entry.phase, Phase::VerifyingRefusal { .. }) {
                self.send_replication_request(Errand::GiveUp { request: id.0 });
            }
            self.drop_unrun(id);
        }
    }

    /// Removes a request that did not run, and gives up its key.
    pub(super) fn drop_unrun(&mut self, id: RequestId) {
        let Some(entry) = self.entries.remove(&id) else { return };
        self.forget_try(entry.try_id, id);
        match (entry.key, entry.phase) {
            (Some(key), Phase::Held) => self.release_key(&key, id),
            (Some(key), Phase::Sharing) => self.idempotency.unshare(&key, id),
            _ => {}
        }
    }

    /// Releases a key that never ran, for other tries.
    pub(super) fn release_key(&mut self, key: &Key, id: RequestId) {
        let waiting = self.idempotency.release(key, id);
        self.hand_over_key(key);
        self.share_with_waiting(waiting, &KeyState::Failed);
    }

    /// Removes the mapping from a try to its request, unless a later request has taken it over.
    pub(super) fn forget_try(&mut self, try_id: TryId, id: RequestId) {
        if self.by_try.get(&try_id) == Some(&id) {
            self.by_try.remove(&try_id);
        }
    }

    /// Sends the answer to a request. False if it was already answered or its client has gone.
    pub(super) fn send_answer(&mut self, id: RequestId, answer: Answer) -> bool {
        let Some(entry) = self.entries.get_mut(&id) else { return false };
        let Some(reply) = entry.reply.take() else { return false };
        debug!(
            "try {}: {} {:.0} ms after its arrival",
            entry.try_id,
            answer.kind(),
            self.clock.now() - entry.arrived
        );
        reply.send(answer, self.node_status.level);
        if let Some(failsafe) = entry.failsafe_timer.take() {
            self.timers.try_remove(&failsafe);
        }
        true
    }

    /// Answers the requests that waited for the end of another try, and notifies the decision module.
    pub(super) fn share_with_waiting(&mut self, waiting: Vec<RequestId>, state: &KeyState) {
        for id in waiting {
            if self.entries.get(&id).is_some_and(|entry| matches!(entry.phase, Phase::Sharing)) {
                self.finish_sharing(id, state.clone());
            }
        }
    }

    /// Answers a request with the outcome of another try of its key.
    pub(super) fn finish_sharing(&mut self, id: RequestId, state: KeyState) {
        let (answer, outcome) = match state {
            KeyState::Served(result) => (Answer::Served(result), Outcome::Ok),
            _ => (Answer::Failed, Outcome::Error),
        };
        self.send_answer(id, answer);
        self.events.push(Event::Done { id, outcome, took_ms: 0.0 });
        self.drop_unrun(id);
    }

    /// Answers a request with the outcome of another try of its key, if that try is over.
    pub(super) fn share_if_finished(&mut self, id: RequestId, state: KeyState) {
        if !matches!(state, KeyState::Held | KeyState::Running) {
            self.finish_sharing(id, state);
        }
    }

    /// The failsafe: answers a request that is nearly due, in case the decision module or the processor does not respond.
    pub(super) fn failsafe_expired(&mut self, id: RequestId) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.failsafe_timer = None;
        let Some(entry) = self.entries.get(&id) else { return };
        let try_id = entry.try_id;
        let answer = match entry.phase {
            Phase::Held if !entry.may_have_run_elsewhere && !self.key_has_run(id) => {
                Answer::Refused { stay_away_ms: 0.0, last: false }
            }
            _ => Answer::Failed,
        };
        self.record_anomaly(Anomaly::Failsafe, try_id);
        self.send_answer(id, answer);
        self.close_request(id);
    }

    /// Refuses a request, or fails it if its key may have run.
    pub(super) fn refuse(&mut self, id: RequestId, stay_away_ms: f64, last: bool) {
        let Some(entry) = self.entries.get(&id) else { return };
        // A refusal promises that the request never ran, so one that ran or shares a run must not be refused.
        let answer = match entry.phase {
            Phase::Held if entry.may_have_run_elsewhere && entry.key.is_some() && entry.reply.is_some() => {
                return self.verify_before_refusal(id, stay_away_ms, last);
            }
            Phase::Held if !self.key_has_run(id) => Answer::Refused { stay_away_ms, last },
            _ => Answer::Failed,
        };
        self.send_answer(id, answer);
        self.clean_up(id);
    }

    /// Whether another try of the request's key has begun, in whose window it arrived: a refusal would then be a
    /// false promise.
    pub(super) fn key_has_run(&self, id: RequestId) -> bool {
        let Some(Entry { key: Some(key), arrived, .. }) = self.entries.get(&id) else { return false };
        key.is_operation() && self.idempotency.earlier(key, *arrived, true).is_some_and(|holder| holder != id)
    }
}
