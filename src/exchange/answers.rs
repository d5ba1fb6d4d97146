//! The one final answer of each request, and what is dropped with it.

use log::debug;

use super::core::Exchange;
use super::entry::{Entry, Phase};
use super::idempotency::{Key, KeyState};
use super::types::{Anomaly, Answer, TryId};
use crate::interface::{Event, Outcome, RequestId};
use crate::replication::Errand;

impl Exchange {
    pub(super) fn abandon(&mut self, id: RequestId) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.reply = None;
            self.close_request(id);
        }
    }

    /// Nobody waits for a request any more, and the decision module has not said so.
    pub(super) fn close_request(&mut self, id: RequestId) {
        if !self.entries.get(&id).is_some_and(|entry| matches!(entry.phase, Phase::VerifyingRefusal { .. })) {
            self.events.push(Event::Gone(id));
        }
        self.clean_up(id);
    }

    /// Drops what is left of a request that is owed no answer any more. A run goes on to its end.
    pub(super) fn clean_up(&mut self, id: RequestId) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if let Some(failsafe) = entry.failsafe_timer.take() {
            self.timers.try_remove(&failsafe);
        }
        if let Phase::AwaitingCall(pending) = &mut entry.phase {
            pending.placed = None;
        }
        if matches!(entry.phase, Phase::Sharing) {
            // The decision module may take it for a run of its own, whose place would stay taken for good.
            self.events.push(Event::Done { id, outcome: Outcome::Moot, took_ms: 0.0 });
        }
        if matches!(entry.phase, Phase::Claiming { .. }) {
            self.cancel_claim(id);
        } else if entry.is_running() {
            self.schedule_inquiry(id);
        } else if matches!(entry.phase, Phase::Replicating(_)) {
            // Its run is over; only its copies are awaited, by a wait of their own.
            self.await_replication(id);
        } else {
            if matches!(entry.phase, Phase::VerifyingRefusal { .. }) {
                self.send_replication_request(Errand::GiveUp { request: id.0 });
            }
            self.drop_unrun(id);
        }
    }

    pub(super) fn drop_unrun(&mut self, id: RequestId) {
        let Some(entry) = self.entries.remove(&id) else { return };
        self.forget_try(entry.try_id, id);
        match (entry.key, entry.phase) {
            (Some(key), Phase::Held) => self.release_key(&key, id),
            (Some(key), Phase::Sharing) => self.idempotency.unshare(&key, id),
            _ => {}
        }
    }

    /// Leaves a key that never ran to others.
    pub(super) fn release_key(&mut self, key: &Key, id: RequestId) {
        let waiting = self.idempotency.release(key, id);
        self.hand_over_key(key);
        self.share_with_waiting(waiting, &KeyState::Failed);
    }

    pub(super) fn forget_try(&mut self, try_id: TryId, id: RequestId) {
        if self.by_try.get(&try_id) == Some(&id) {
            self.by_try.remove(&try_id);
        }
    }

    /// Sends the one answer. False where none is owed.
    pub(super) fn send_answer(&mut self, id: RequestId, answer: Answer) -> bool {
        let Some(entry) = self.entries.get_mut(&id) else { return false };
        let Some(reply) = entry.reply.take() else { return false };
        debug!("{} {} {:.0} ms after it came", entry.try_id, answer.kind(), self.clock.now() - entry.arrived);
        reply.send(answer, self.node_status.level);
        if let Some(failsafe) = entry.failsafe_timer.take() {
            self.timers.try_remove(&failsafe);
        }
        true
    }

    /// Answers those that waited for the end of another try, and tells the decision module.
    pub(super) fn share_with_waiting(&mut self, waiting: Vec<RequestId>, state: &KeyState) {
        for id in waiting {
            if self.entries.get(&id).is_some_and(|entry| matches!(entry.phase, Phase::Sharing)) {
                self.finish_sharing(id, state.clone());
            }
        }
    }

    pub(super) fn finish_sharing(&mut self, id: RequestId, state: KeyState) {
        let (answer, outcome) = match state {
            KeyState::Served(result) => (Answer::Served(result), Outcome::Ok),
            _ => (Answer::Failed, Outcome::Error),
        };
        self.send_answer(id, answer);
        self.events.push(Event::Done { id, outcome, took_ms: 0.0 });
        self.drop_unrun(id);
    }

    pub(super) fn share_if_finished(&mut self, id: RequestId, state: KeyState) {
        if !matches!(state, KeyState::Held | KeyState::Running) {
            self.finish_sharing(id, state);
        }
    }

    /// Guards against a decision module or a processor that says nothing: no request stays without answer.
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

    pub(super) fn refuse(&mut self, id: RequestId, stay_away_ms: f64, last: bool) {
        let Some(entry) = self.entries.get(&id) else { return };
        // Nothing that ran, or shares a run, is ever refused: that would be a promise that it never ran.
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

    /// Whether another try of a held request's key has begun within its window: a refusal would deny that.
    pub(super) fn key_has_run(&self, id: RequestId) -> bool {
        let Some(Entry { key: Some(key), arrived, .. }) = self.entries.get(&id) else { return false };
        key.is_operation() && self.idempotency.earlier(key, *arrived, true).is_some_and(|holder| holder != id)
    }
}
