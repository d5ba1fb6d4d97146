//! The one final answer of each request, and what is dropped with it.

use log::debug;

use super::core::Exchange;
use super::entry::{Entry, Phase};
use super::kept::{Key, State};
use super::types::{Anomaly, Answer, TryId};
use crate::interface::{Event, Outcome, RequestId};
use crate::replication::Errand;

impl Exchange {
    pub(super) fn abandon(&mut self, id: RequestId) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.reply = None;
            self.gone(id);
        }
    }

    /// Nobody waits for a request any more, and the decision module has not said so.
    pub(super) fn gone(&mut self, id: RequestId) {
        if !self.entries.get(&id).is_some_and(|entry| matches!(entry.phase, Phase::Asking { .. })) {
            self.events.push(Event::Gone(id));
        }
        self.settled(id);
    }

    /// Drops what is left of a request that is owed no answer any more. A run goes on to its end.
    pub(super) fn settled(&mut self, id: RequestId) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if let Some(failsafe) = entry.failsafe.take() {
            self.waits.try_remove(&failsafe);
        }
        if let Phase::Waiting(pending) = &mut entry.phase {
            pending.placed = None;
        }
        if matches!(entry.phase, Phase::Sharing) {
            // The decision module may take it for a run of its own, whose place would stay taken for good.
            self.events.push(Event::Done { id, outcome: Outcome::Moot, took_ms: 0.0 });
        }
        if matches!(entry.phase, Phase::Claiming { .. }) {
            self.give_up_claim(id);
        } else if entry.began() {
            self.await_end(id);
        } else if matches!(entry.phase, Phase::Copying(_)) {
            // Its run is over; only its copies are awaited, by a wait of their own.
            self.await_copies(id);
        } else {
            if matches!(entry.phase, Phase::Asking { .. }) {
                self.send_errand(Errand::GiveUp { request: id.0 });
            }
            self.drop_unrun(id);
        }
    }

    pub(super) fn drop_unrun(&mut self, id: RequestId) {
        let Some(entry) = self.entries.remove(&id) else { return };
        self.forget_try(entry.of, id);
        match (entry.key, entry.phase) {
            (Some(key), Phase::Held) => self.release(&key, id),
            (Some(key), Phase::Sharing) => self.kept.unshare(&key, id),
            _ => {}
        }
    }

    /// Leaves a key that never ran to others.
    pub(super) fn release(&mut self, key: &Key, id: RequestId) {
        let waiting = self.kept.release(key, id);
        self.hand_on(key);
        self.pass_on(waiting, &State::Failed);
    }

    pub(super) fn forget_try(&mut self, of: TryId, id: RequestId) {
        if self.by_try.get(&of) == Some(&id) {
            self.by_try.remove(&of);
        }
    }

    /// Sends the one answer. False where none is owed.
    pub(super) fn answer(&mut self, id: RequestId, answer: Answer) -> bool {
        let Some(entry) = self.entries.get_mut(&id) else { return false };
        let Some(reply) = entry.reply.take() else { return false };
        debug!("{} {} {:.0} ms after it came", entry.of, answer.kind(), self.clock.now() - entry.arrived);
        reply.send(answer, self.posture.level);
        if let Some(failsafe) = entry.failsafe.take() {
            self.waits.try_remove(&failsafe);
        }
        true
    }

    /// Answers those that waited for the end of another try, and tells the decision module.
    pub(super) fn pass_on(&mut self, waiting: Vec<RequestId>, state: &State) {
        for id in waiting {
            if self.entries.get(&id).is_some_and(|entry| matches!(entry.phase, Phase::Sharing)) {
                self.share(id, state.clone());
            }
        }
    }

    pub(super) fn share(&mut self, id: RequestId, state: State) {
        let (answer, outcome) = match state {
            State::Served(result) => (Answer::Served(result), Outcome::Ok),
            _ => (Answer::Failed, Outcome::Error),
        };
        self.answer(id, answer);
        self.events.push(Event::Done { id, outcome, took_ms: 0.0 });
        self.drop_unrun(id);
    }

    pub(super) fn share_if_over(&mut self, id: RequestId, state: State) {
        if !matches!(state, State::Held | State::Running) {
            self.share(id, state);
        }
    }

    /// Guards against a decision module or a processor that says nothing: no request stays without answer.
    pub(super) fn overdue(&mut self, id: RequestId) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.failsafe = None;
        let Some(entry) = self.entries.get(&id) else { return };
        let of = entry.of;
        let answer = match entry.phase {
            Phase::Held if !entry.further && !self.key_has_run(id) => {
                Answer::Refused { stay_away_ms: 0.0, last: false }
            }
            _ => Answer::Failed,
        };
        self.note(Anomaly::Failsafe, of);
        self.answer(id, answer);
        self.gone(id);
    }

    pub(super) fn refuse(&mut self, id: RequestId, stay_away_ms: f64, last: bool) {
        let Some(entry) = self.entries.get(&id) else { return };
        // Nothing that ran, or shares a run, is ever refused: that would be a promise that it never ran.
        let answer = match entry.phase {
            Phase::Held if entry.further && entry.key.is_some() && entry.reply.is_some() => {
                return self.look_first(id, stay_away_ms, last);
            }
            Phase::Held if !self.key_has_run(id) => Answer::Refused { stay_away_ms, last },
            _ => Answer::Failed,
        };
        self.answer(id, answer);
        self.settled(id);
    }

    /// Whether another try of a held request's key has begun within its window: a refusal would deny that.
    pub(super) fn key_has_run(&self, id: RequestId) -> bool {
        let Some(Entry { key: Some(key), arrived, .. }) = self.entries.get(&id) else { return false };
        key.is_operation() && self.kept.earlier(key, *arrived, true).is_some_and(|holder| holder != id)
    }
}
