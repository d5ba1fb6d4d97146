//! Keys that are claimed at further nodes ahead of a run, and results that are copied there ahead of their answer.

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

/// How long before the failsafe a claim's or a result's wait is over, in ms.
const AHEAD_MS: f64 = 10.0;

/// The way to the copies.
pub struct ReplicationChannel {
    /// Where errands go.
    pub requests: mpsc::UnboundedSender<Errand>,
    /// How long the holders may take to give a claim, in ms.
    pub claim_timeout_ms: u64,
    /// Classes whose requests run under the node's own table where the holders cannot be reached.
    pub local_only_classes: Vec<String>,
    /// What is done with a result that cannot be copied in time.
    pub late_policy: Late,
}

/// A run's result on its way to further nodes.
pub(super) struct UnreplicatedResult {
    pub result: Bytes,
    /// How long the run took, in ms, and when it was over.
    pub took_ms: f64,
    pub since: f64,
}

fn whole(ms: f64) -> u32 {
    ms.clamp(0.0, f64::from(u32::MAX)) as u32
}

impl Exchange {
    /// Keys of operations are claimed at further nodes from here on.
    pub fn with_replication(mut self, copies: ReplicationChannel) -> Self {
        self.replication = Some(copies);
        self
    }

    pub(super) fn send_replication_request(&self, errand: Errand) -> bool {
        self.replication.as_ref().is_some_and(|copies| copies.requests.send(errand).is_ok())
    }

    /// Time that a request has left, in ms, ahead of the failsafe.
    fn left_ms(&self, entry: &Entry) -> f64 {
        entry.due - FAILSAFE_MARGIN_MS - AHEAD_MS - self.clock.now()
    }

    /// What the holders are asked for a request's key.
    fn claim_of(&self, id: RequestId, operation: &str) -> Option<Claim> {
        let (entry, copies) = (self.entries.get(&id)?, self.replication.as_ref()?);
        let share_ms = whole(self.left_ms(entry));
        Some(Claim {
            request: id.0,
            key: KeyId::of(&self.site.classes[entry.class], operation),
            body: Body::of(&entry.body),
            left_ms: whole(self.repeat_window_end(entry.class, entry.received) - self.clock.now()),
            wait_ms: share_ms.min(copies.claim_timeout_ms as u32),
            share_ms,
        })
    }

    /// Claims the key of a request that is to run.
    pub(super) fn claim_key(&mut self, id: RequestId, operation: &str) {
        let now = self.clock.now();
        let Some(claim) = self.claim_of(id, operation) else { return };
        let sent = self.send_replication_request(Errand::Claim(claim));
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.phase = Phase::Claiming { since: now, held_elsewhere: false };
        }
        if !sent {
            self.replication_update(id, News::Unreached);
        }
    }

    /// Whether a try of a keyed request may come after one that has run at another node: it is marked so, or nobody
    /// here marks any.
    pub(super) fn may_follow_remote_run(&self, class: usize, further: bool) -> bool {
        let settings = &self.site.settings;
        let alone =
            |copies: &ReplicationChannel| copies.local_only_classes.contains(&self.site.classes[class]);
        settings.classes[class].effect == Effect::Keyed
            && self.replication.as_ref().is_some_and(|copies| !alone(copies))
            && (further || !settings.marks_further)
    }

    /// Has the holders say that nobody has run the key of a request, which is refused then. Until they do it is no try
    /// that others here could share.
    pub(super) fn verify_before_refusal(&mut self, id: RequestId, stay_away_ms: f64, last: bool) {
        let key = self.entries.get_mut(&id).and_then(|entry| entry.key.take());
        let Some(Key::Operation(_, operation)) = &key else { return };
        let look = self.claim_of(id, operation);
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.phase = Phase::VerifyingRefusal { stay_away_ms, last };
            entry.body = Bytes::new();
        }
        if let Some(key) = &key {
            self.release_key(key, id);
        }
        if !look.is_some_and(|look| self.send_replication_request(Errand::Look(look))) {
            self.replication_update(id, News::Unreached);
        }
    }

    /// Answers a request that was to be refused, as far as the holders know of its key.
    fn looked(&mut self, id: RequestId, news: News) {
        let Some(Entry { try_id, phase: Phase::VerifyingRefusal { stay_away_ms, last }, .. }) =
            self.entries.get(&id)
        else {
            return;
        };
        let (try_id, refused) = (*try_id, Answer::Refused { stay_away_ms: *stay_away_ms, last: *last });
        let answer = match news {
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

    /// Hears what came of an errand.
    pub(super) fn replication_update(&mut self, id: RequestId, news: News) {
        let now = self.clock.now();
        let Some(entry) = self.entries.get_mut(&id) else { return };
        match (&mut entry.phase, news) {
            (Phase::VerifyingRefusal { .. }, news) => self.looked(id, news),
            (Phase::Claiming { since, .. }, News::Mine) => {
                (entry.claimed, entry.claim_ms) = (true, now - *since);
                self.begin_run(id);
            }
            (Phase::Claiming { held_elsewhere, .. }, News::Theirs) => *held_elsewhere = true,
            (Phase::Claiming { .. }, News::Done(result)) => self.claim_over(id, KeyState::Served(result)),
            (Phase::Claiming { .. }, News::Taken) => {
                let try_id = entry.try_id;
                self.record_anomaly(Anomaly::IdentifierConflict, try_id);
                self.claim_over(id, KeyState::Failed);
            }
            (Phase::Claiming { .. }, News::Failed) => self.claim_over(id, KeyState::Failed),
            (Phase::Claiming { .. }, News::Doubt)
            | (Phase::Claiming { held_elsewhere: true, .. }, News::Unreached | News::Full) => {
                self.in_doubt(id)
            }
            (Phase::Claiming { .. }, News::Unreached) if entry.may_have_run_elsewhere => self.in_doubt(id),
            (Phase::Claiming { .. }, News::Unreached) => self.unreached(id),
            (Phase::Claiming { .. }, News::Full) => self.unclaimed(id, Anomaly::HoldersFull),
            (Phase::Replicating(_), News::Copied) => self.result_replicated(id),
            (Phase::Replicating(_), News::TooLarge) => self.replication_late(id),
            _ => {}
        }
    }

    /// The holders cannot be reached: by the operator's choice the request runs under this node's own table alone.
    fn unreached(&mut self, id: RequestId) {
        let Some(entry) = self.entries.get(&id) else { return };
        let (try_id, class) = (entry.try_id, &self.site.classes[entry.class]);
        if self.replication.as_ref().is_some_and(|copies| copies.local_only_classes.contains(class)) {
            self.record_anomaly(Anomaly::RunWithoutClaim, try_id);
            self.begin_run(id);
        } else {
            self.unclaimed(id, Anomaly::HoldersUnreachable);
        }
    }

    /// Refuses a request whose key cannot be claimed. It has not run.
    fn unclaimed(&mut self, id: RequestId, why: Anomaly) {
        let Some(try_id) = self.entries.get(&id).map(|entry| entry.try_id) else { return };
        let stay_away_ms = self.site.settings.max_retry_after_ms;
        self.send_answer(id, Answer::Refused { stay_away_ms, last: false });
        self.record_anomaly(why, try_id);
        self.events.push(Event::Done { id, outcome: Outcome::Moot, took_ms: 0.0 });
        self.drop_claim(id, &KeyState::Failed, false);
    }

    /// Fails a request whose key another node may have run. Nothing is known of the key: the next try asks again.
    fn in_doubt(&mut self, id: RequestId) {
        let Some(try_id) = self.entries.get(&id).map(|entry| entry.try_id) else { return };
        self.record_anomaly(Anomaly::MayHaveRunElsewhere, try_id);
        self.send_answer(id, Answer::Failed);
        self.events.push(Event::Done { id, outcome: Outcome::Moot, took_ms: 0.0 });
        self.drop_claim(id, &KeyState::Failed, false);
    }

    /// Answers a request with what came of another node's run of its key.
    fn claim_over(&mut self, id: RequestId, state: KeyState) {
        let answer = match &state {
            KeyState::Served(result) => Answer::Served(result.clone()),
            _ => Answer::Failed,
        };
        self.send_answer(id, answer);
        self.events.push(Event::Done { id, outcome: Outcome::Moot, took_ms: 0.0 });
        self.drop_claim(id, &state, true);
    }

    /// Nobody waits for a claim any more.
    pub(super) fn cancel_claim(&mut self, id: RequestId) {
        self.send_replication_request(Errand::GiveUp { request: id.0 });
        self.drop_claim(id, &KeyState::Failed, false);
    }

    /// Takes a request out that has not run. What came of its key is kept here where it is known.
    fn drop_claim(&mut self, id: RequestId, state: &KeyState, known: bool) {
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

    /// A run whose key was claimed is over. Says whether its answer waits for the copies of its result.
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
                let left_ms = self.left_ms(entry).max(0.0);
                self.send_replication_request(Errand::End { request, fate: Fate::Done(result.clone()) });
                self.timers.insert(Timer::ReplicationTimeout(id), span(left_ms));
                let since = self.clock.now();
                if let Some(entry) = self.entries.get_mut(&id) {
                    entry.phase =
                        Phase::Replicating(UnreplicatedResult { result: result.clone(), took_ms, since });
                }
                return true;
            }
            // Proof that it never ran.
            Outcome::Moot => self.send_replication_request(Errand::GiveUp { request }),
            _ => self.send_replication_request(Errand::End { request, fate: Fate::Failed }),
        };
        false
    }

    /// Whether only the copies of a request's result are missing.
    pub(super) fn is_replicating(&self, id: RequestId) -> bool {
        self.entries.get(&id).is_some_and(|entry| matches!(entry.phase, Phase::Replicating(_)))
    }

    /// A result has its copies: its caller gets it.
    pub(super) fn result_replicated(&mut self, id: RequestId) {
        let now = self.clock.now();
        let Some(Entry { try_id, phase: Phase::Replicating(done), claim_ms, .. }) = self.entries.get(&id)
        else {
            return;
        };
        let (try_id, result): (TryId, Bytes) = (*try_id, done.result.clone());
        let took_ms = done.took_ms + claim_ms + (now - done.since);
        self.finish_run(try_id, id, Outcome::Ok, took_ms, result);
    }

    /// A result does not have its copies, and its caller can wait no longer.
    pub(super) fn replication_late(&mut self, id: RequestId) {
        let Some(Entry { try_id, phase: Phase::Replicating(_), reply: Some(_), .. }) = self.entries.get(&id)
        else {
            return;
        };
        let try_id = *try_id;
        match self.replication.as_ref().map(|copies| copies.late_policy) {
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
