//! Replication of idempotency keys. The key of a request is claimed at its holders, which are other nodes, before the
//! request runs, and its result is replicated to them before the request is answered.

use bytes::Bytes;
use tokio::sync::mpsc;

use super::core::Exchange;
use super::entry::{Entry, Phase, Timer};
use super::idempotency::{Key, KeyState};
use super::lifecycle::FAILSAFE_MARGIN_MS;
use super::time::span;
use super::types::{Anomaly, Answer, TryId};
use crate::config::Late;
use crate::interface::{Effect, Event, Outcome, RequestId};
use crate::replication::key::{Body, KeyId};
use crate::replication::register::Fate;
use crate::replication::{Claim, Errand, News};

/// A claim or the replication of a result times out this long before the failsafe answers the request, in ms.
const REPLICATION_MARGIN_MS: f64 = 10.0;

/// The channel to the replication task, with the settings that the exchange needs for it.
pub struct ReplicationChannel {
    /// Queue of requests to the replication task.
    pub requests: mpsc::UnboundedSender<Errand>,
    /// Timeout for claiming a key at its holders, in ms.
    pub claim_timeout_ms: u64,
    /// Classes whose requests run under this node's own idempotency table when the holders cannot be reached.
    pub local_only_classes: Vec<String>,
    /// What happens to a result that is not replicated in time.
    pub late_policy: Late,
}

/// The result of a finished run while it is being replicated.
pub(super) struct UnreplicatedResult {
    pub result: Bytes,
    /// How long the run took, in ms, and when its end was received, by the exchange's clock, in ms.
    pub took_ms: f64,
    pub since: f64,
}

/// Converts milliseconds to a `u32`, saturating at its bounds.
fn saturating_ms(ms: f64) -> u32 {
    ms.clamp(0.0, f64::from(u32::MAX)) as u32
}

impl Exchange {
    /// Turns on the replication of operation keys.
    pub fn with_replication(mut self, channel: ReplicationChannel) -> Self {
        self.replication = Some(channel);
        self
    }

    /// Sends a request to the replication task. Returns false if replication is off or the task has ended.
    pub(super) fn send_replication_request(&self, request: Errand) -> bool {
        self.replication.as_ref().is_some_and(|channel| channel.requests.send(request).is_ok())
    }

    /// Time until replication for this request times out, `REPLICATION_MARGIN_MS` before its failsafe, in ms.
    /// Negative once that has passed.
    fn remaining_ms(&self, entry: &Entry) -> f64 {
        entry.due - FAILSAFE_MARGIN_MS - REPLICATION_MARGIN_MS - self.clock.now()
    }

    /// Builds the claim, or the lookup, of a request's key.
    fn build_claim(&self, id: RequestId, operation: &str) -> Option<Claim> {
        let (entry, channel) = (self.entries.get(&id)?, self.replication.as_ref()?);
        let share_ms = saturating_ms(self.remaining_ms(entry));
        Some(Claim {
            request: id.0,
            key: KeyId::of(&self.site.classes[entry.class], operation),
            body: Body::of(&entry.body),
            left_ms: saturating_ms(self.repeat_window_end(entry.class, entry.received) - self.clock.now()),
            wait_ms: share_ms.min(channel.claim_timeout_ms as u32),
            share_ms,
        })
    }

    /// Claims the key of a request that is about to run.
    pub(super) fn claim_key(&mut self, id: RequestId, operation: &str) {
        let now = self.clock.now();
        let Some(claim) = self.build_claim(id, operation) else { return };
        let sent = self.send_replication_request(Errand::Claim(claim));
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.phase = Phase::Claiming { since: now, held_elsewhere: false };
        }
        if !sent {
            self.replication_update(id, News::Unreached);
        }
    }

    /// Whether an earlier try of a keyed request may have run at another node: this one is marked as a further try,
    /// or this deployment does not mark further tries.
    pub(super) fn may_follow_remote_run(&self, class: usize, further: bool) -> bool {
        let settings = &self.site.settings;
        let is_local_only =
            |channel: &ReplicationChannel| channel.local_only_classes.contains(&self.site.classes[class]);
        settings.classes[class].effect == Effect::Keyed
            && self.replication.as_ref().is_some_and(|channel| !is_local_only(channel))
            && (further || !settings.marks_further)
    }

    /// Asks the holders whether any node has run the key of a request that is to be refused: a refusal promises that
    /// it never ran. Until they answer, other tries on this node must not share this one, so its key is released.
    pub(super) fn verify_before_refusal(&mut self, id: RequestId, stay_away_ms: f64, last: bool) {
        let key = self.entries.get_mut(&id).and_then(|entry| entry.key.take());
        let Some(Key::Operation(_, operation)) = &key else { return };
        let lookup = self.build_claim(id, operation);
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.phase = Phase::VerifyingRefusal { stay_away_ms, last };
            entry.body = Bytes::new();
        }
        if let Some(key) = &key {
            self.release_key(key, id);
        }
        if !lookup.is_some_and(|lookup| self.send_replication_request(Errand::Look(lookup))) {
            self.replication_update(id, News::Unreached);
        }
    }

    /// Answers a request that was to be refused, by the holders' reply to the lookup of its key.
    fn lookup_answered(&mut self, id: RequestId, update: News) {
        let Some(Entry { try_id, phase: Phase::VerifyingRefusal { stay_away_ms, last }, .. }) =
            self.entries.get(&id)
        else {
            return;
        };
        let (try_id, refused) = (*try_id, Answer::Refused { stay_away_ms: *stay_away_ms, last: *last });
        let answer = match update {
            News::Nobodys => refused,
            News::Done(result) => Answer::Served(result),
            News::Taken => {
                self.record_anomaly(Anomaly::IdentifierConflict, try_id);
                Answer::Failed
            }
            News::Failed => Answer::Failed,
            _ => {
                self.record_anomaly(Anomaly::MayHaveRunElsewhere, try_id);
                Answer::Failed
            }
        };
        self.send_answer(id, answer);
        self.drop_unrun(id);
    }

    /// Handles a reply of the replication task about a request.
    pub(super) fn replication_update(&mut self, id: RequestId, update: News) {
        let now = self.clock.now();
        let Some(entry) = self.entries.get_mut(&id) else { return };
        match (&mut entry.phase, update) {
            (Phase::VerifyingRefusal { .. }, update) => self.lookup_answered(id, update),
            (Phase::Claiming { since, .. }, News::Mine) => {
                (entry.claimed, entry.claim_ms) = (true, now - *since);
                self.begin_run(id);
            }
            (Phase::Claiming { held_elsewhere, .. }, News::Theirs) => *held_elsewhere = true,
            (Phase::Claiming { .. }, News::Done(result)) => self.finish_claim(id, KeyState::Served(result)),
            (Phase::Claiming { .. }, News::Taken) => {
                let try_id = entry.try_id;
                self.record_anomaly(Anomaly::IdentifierConflict, try_id);
                self.finish_claim(id, KeyState::Failed);
            }
            (Phase::Claiming { .. }, News::Failed) => self.finish_claim(id, KeyState::Failed),
            (Phase::Claiming { .. }, News::Doubt)
            | (Phase::Claiming { held_elsewhere: true, .. }, News::Unreached | News::Full) => {
                self.fail_unknown(id)
            }
            (Phase::Claiming { .. }, News::Unreached) if entry.may_have_run_elsewhere => {
                self.fail_unknown(id)
            }
            (Phase::Claiming { .. }, News::Unreached) => self.holders_unreachable(id),
            (Phase::Claiming { .. }, News::Full) => self.refuse_unclaimed(id, Anomaly::HoldersFull),
            (Phase::Replicating(_), News::Copied) => self.result_replicated(id),
            (Phase::Replicating(_), News::TooLarge) => self.replication_late(id),
            _ => {}
        }
    }

    /// Handles unreachable holders: the request runs under this node's own table alone if the operator allows that
    /// for its class, and is refused otherwise.
    fn holders_unreachable(&mut self, id: RequestId) {
        let Some(entry) = self.entries.get(&id) else { return };
        let (try_id, class) = (entry.try_id, &self.site.classes[entry.class]);
        if self.replication.as_ref().is_some_and(|channel| channel.local_only_classes.contains(class)) {
            self.record_anomaly(Anomaly::RunWithoutClaim, try_id);
            self.begin_run(id);
        } else {
            self.refuse_unclaimed(id, Anomaly::HoldersUnreachable);
        }
    }

    /// Refuses a request whose key could not be claimed. It has not run.
    fn refuse_unclaimed(&mut self, id: RequestId, why: Anomaly) {
        let Some(try_id) = self.entries.get(&id).map(|entry| entry.try_id) else { return };
        let stay_away_ms = self.site.settings.max_retry_after_ms;
        self.send_answer(id, Answer::Refused { stay_away_ms, last: false });
        self.record_anomaly(why, try_id);
        self.events.push(Event::Done { id, outcome: Outcome::Moot, took_ms: 0.0 });
        self.remove_claiming(id, &KeyState::Failed, false);
    }

    /// Fails a request whose key another node may have run. No outcome is stored for the key, so the next try queries
    /// the holders again.
    fn fail_unknown(&mut self, id: RequestId) {
        let Some(try_id) = self.entries.get(&id).map(|entry| entry.try_id) else { return };
        self.record_anomaly(Anomaly::MayHaveRunElsewhere, try_id);
        self.send_answer(id, Answer::Failed);
        self.events.push(Event::Done { id, outcome: Outcome::Moot, took_ms: 0.0 });
        self.remove_claiming(id, &KeyState::Failed, false);
    }

    /// Answers a request with the outcome of another node's run of its key.
    fn finish_claim(&mut self, id: RequestId, state: KeyState) {
        let answer = match &state {
            KeyState::Served(result) => Answer::Served(result.clone()),
            _ => Answer::Failed,
        };
        self.send_answer(id, answer);
        self.events.push(Event::Done { id, outcome: Outcome::Moot, took_ms: 0.0 });
        self.remove_claiming(id, &state, true);
    }

    /// Cancels the claim of a request that no caller waits for any more.
    pub(super) fn cancel_claim(&mut self, id: RequestId) {
        self.send_replication_request(Errand::GiveUp { request: id.0 });
        self.remove_claiming(id, &KeyState::Failed, false);
    }

    /// Removes a request that has not run, and ends its key with `state` for the tries that share it. The record of
    /// the key stays in the idempotency table only if the outcome is `known`.
    fn remove_claiming(&mut self, id: RequestId, state: &KeyState, known: bool) {
        let Some(entry) = self.entries.remove(&id) else { return };
        self.forget_try(entry.try_id, id);
        if let Some(failsafe) = entry.failsafe_timer {
            self.timers.try_remove(&failsafe);
        }
        let Some(key) = entry.key else { return };
        let waiting = self.idempotency.end(&key, id, state.clone(), None);
        if !known {
            self.idempotency.expire(&key, id);
        }
        self.hand_over_key(&key);
        self.share_with_waiting(waiting, state);
    }

    /// Replicates the end of a run whose key was claimed. Returns whether its answer waits for the replication.
    pub(super) fn replicate_end(
        &mut self,
        id: RequestId,
        outcome: Outcome,
        took_ms: f64,
        result: &Bytes,
    ) -> bool {
        let Some(entry) = self.entries.get(&id).filter(|entry| entry.claimed) else { return false };
        let request = id.0;
        match outcome {
            Outcome::Ok => {
                let left_ms = self.remaining_ms(entry).max(0.0);
                self.send_replication_request(Errand::End { request, fate: Fate::Done(result.clone()) });
                self.timers.insert(Timer::ReplicationTimeout(id), span(left_ms));
                let since = self.clock.now();
                if let Some(entry) = self.entries.get_mut(&id) {
                    entry.phase =
                        Phase::Replicating(UnreplicatedResult { result: result.clone(), took_ms, since });
                }
                return true;
            }
            // The processor has confirmed that it never ran.
            Outcome::Moot => self.send_replication_request(Errand::GiveUp { request }),
            _ => self.send_replication_request(Errand::End { request, fate: Fate::Failed }),
        };
        false
    }

    /// Whether a request has run and waits only for the replication of its result.
    pub(super) fn is_replicating(&self, id: RequestId) -> bool {
        self.entries.get(&id).is_some_and(|entry| matches!(entry.phase, Phase::Replicating(_)))
    }

    /// Finishes a run whose result is replicated: the caller gets the result.
    pub(super) fn result_replicated(&mut self, id: RequestId) {
        let now = self.clock.now();
        let Some(Entry { try_id, phase: Phase::Replicating(finished), claim_ms, .. }) = self.entries.get(&id)
        else {
            return;
        };
        let (try_id, result): (TryId, Bytes) = (*try_id, finished.result.clone());
        let took_ms = finished.took_ms + claim_ms + (now - finished.since);
        self.finish_run(try_id, id, Outcome::Ok, took_ms, result);
    }

    /// Handles a result that is not replicated by the time its caller must be answered: serves or fails it, as
    /// configured.
    pub(super) fn replication_late(&mut self, id: RequestId) {
        let Some(Entry { try_id, phase: Phase::Replicating(_), reply: Some(_), .. }) = self.entries.get(&id)
        else {
            return;
        };
        let try_id = *try_id;
        match self.replication.as_ref().map(|channel| channel.late_policy) {
            Some(Late::Serve) => {
                self.record_anomaly(Anomaly::ServedBeforeReplication, try_id);
                self.result_replicated(id);
            }
            _ => {
                self.record_anomaly(Anomaly::ResultNotReplicated, try_id);
                self.send_answer(id, Answer::Failed);
                self.clean_up(id);
            }
        }
    }
}
