//! Keys that are claimed at further nodes ahead of a run, and results that are copied there ahead of their answer.

use bytes::Bytes;
use tokio::sync::mpsc;

use super::core::Exchange;
use super::entry::{Entry, Phase, Wait};
use super::kept::{Key, State};
use super::lifecycle::FAILSAFE_MS;
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
pub struct Copying {
    /// Where errands go.
    pub errands: mpsc::UnboundedSender<Errand>,
    /// How long the holders may take to give a claim, in ms.
    pub claim_ms: u64,
    /// Classes whose requests run under the node's own table where the holders cannot be reached.
    pub alone: Vec<String>,
    /// What is done with a result that cannot be copied in time.
    pub late: Late,
}

/// A run's result on its way to further nodes.
pub(super) struct Result {
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
    pub fn copying(mut self, copies: Copying) -> Self {
        self.copies = Some(copies);
        self
    }

    pub(super) fn send_errand(&self, errand: Errand) -> bool {
        self.copies.as_ref().is_some_and(|copies| copies.errands.send(errand).is_ok())
    }

    /// Time that a request has left, in ms, ahead of the failsafe.
    fn left_ms(&self, entry: &Entry) -> f64 {
        entry.due - FAILSAFE_MS - AHEAD_MS - self.clock.now()
    }

    /// What the holders are asked for a request's key.
    fn claim_of(&self, id: RequestId, operation: &str) -> Option<Claim> {
        let (entry, copies) = (self.entries.get(&id)?, self.copies.as_ref()?);
        let share_ms = whole(self.left_ms(entry));
        Some(Claim {
            request: id.0,
            key: KeyId::of(&self.site.classes[entry.class], operation),
            body: Body::of(&entry.body),
            left_ms: whole(self.window_end(entry.class, entry.received) - self.clock.now()),
            wait_ms: share_ms.min(copies.claim_ms as u32),
            share_ms,
        })
    }

    /// Claims the key of a request that is to run.
    pub(super) fn claim(&mut self, id: RequestId, operation: &str) {
        let now = self.clock.now();
        let Some(claim) = self.claim_of(id, operation) else { return };
        let sent = self.send_errand(Errand::Claim(claim));
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.phase = Phase::Claiming { since: now, theirs: false };
        }
        if !sent {
            self.copies_say(id, News::Unreached);
        }
    }

    /// Whether a try of a keyed request may come after one that has run at another node: it is marked so, or nobody
    /// here marks any.
    pub(super) fn may_have_run(&self, class: usize, further: bool) -> bool {
        let settings = &self.site.settings;
        let alone = |copies: &Copying| copies.alone.contains(&self.site.classes[class]);
        settings.classes[class].effect == Effect::Keyed
            && self.copies.as_ref().is_some_and(|copies| !alone(copies))
            && (further || !settings.marks_further)
    }

    /// Has the holders say that nobody has run the key of a request, which is refused then. Until they do it is no try
    /// that others here could share.
    pub(super) fn look_first(&mut self, id: RequestId, stay_away_ms: f64, last: bool) {
        let key = self.entries.get_mut(&id).and_then(|entry| entry.key.take());
        let Some(Key::Operation(_, operation)) = &key else { return };
        let look = self.claim_of(id, operation);
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.phase = Phase::Asking { stay_away_ms, last };
            entry.body = Bytes::new();
        }
        if let Some(key) = &key {
            self.release(key, id);
        }
        if !look.is_some_and(|look| self.send_errand(Errand::Look(look))) {
            self.copies_say(id, News::Unreached);
        }
    }

    /// Answers a request that was to be refused, as far as the holders know of its key.
    fn looked(&mut self, id: RequestId, news: News) {
        let Some(Entry { of, phase: Phase::Asking { stay_away_ms, last }, .. }) = self.entries.get(&id)
        else {
            return;
        };
        let (of, refused) = (*of, Answer::Refused { stay_away_ms: *stay_away_ms, last: *last });
        let answer = match news {
            News::Nobodys => refused,
            News::Done(result) => Answer::Served(result),
            News::Taken => {
                self.note(Anomaly::Taken, of);
                Answer::Failed
            }
            News::Failed => Answer::Failed,
            _ => {
                self.note(Anomaly::Doubt, of);
                Answer::Failed
            }
        };
        self.answer(id, answer);
        self.drop_unrun(id);
    }

    /// Hears what came of an errand.
    pub(super) fn copies_say(&mut self, id: RequestId, news: News) {
        let now = self.clock.now();
        let Some(entry) = self.entries.get_mut(&id) else { return };
        match (&mut entry.phase, news) {
            (Phase::Asking { .. }, news) => self.looked(id, news),
            (Phase::Claiming { since, .. }, News::Mine) => {
                (entry.claimed, entry.claim_ms) = (true, now - *since);
                self.begin_run(id);
            }
            (Phase::Claiming { theirs, .. }, News::Theirs) => *theirs = true,
            (Phase::Claiming { .. }, News::Done(result)) => self.claim_over(id, State::Served(result)),
            (Phase::Claiming { .. }, News::Taken) => {
                let of = entry.of;
                self.note(Anomaly::Taken, of);
                self.claim_over(id, State::Failed);
            }
            (Phase::Claiming { .. }, News::Failed) => self.claim_over(id, State::Failed),
            (Phase::Claiming { .. }, News::Doubt)
            | (Phase::Claiming { theirs: true, .. }, News::Unreached | News::Full) => self.in_doubt(id),
            (Phase::Claiming { .. }, News::Unreached) if entry.further => self.in_doubt(id),
            (Phase::Claiming { .. }, News::Unreached) => self.unreached(id),
            (Phase::Claiming { .. }, News::Full) => self.unclaimed(id, Anomaly::HoldersFull),
            (Phase::Copying(_), News::Copied) => self.copied(id),
            (Phase::Copying(_), News::TooLarge) => self.copy_late(id),
            _ => {}
        }
    }

    /// The holders cannot be reached: by the operator's choice the request runs under this node's own table alone.
    fn unreached(&mut self, id: RequestId) {
        let Some(entry) = self.entries.get(&id) else { return };
        let (of, class) = (entry.of, &self.site.classes[entry.class]);
        if self.copies.as_ref().is_some_and(|copies| copies.alone.contains(class)) {
            self.note(Anomaly::Alone, of);
            self.begin_run(id);
        } else {
            self.unclaimed(id, Anomaly::Unreached);
        }
    }

    /// Refuses a request whose key cannot be claimed. It has not run.
    fn unclaimed(&mut self, id: RequestId, why: Anomaly) {
        let Some(of) = self.entries.get(&id).map(|entry| entry.of) else { return };
        let stay_away_ms = self.site.settings.max_retry_after_ms;
        self.answer(id, Answer::Refused { stay_away_ms, last: false });
        self.note(why, of);
        self.events.push(Event::Done { id, outcome: Outcome::Moot, took_ms: 0.0 });
        self.drop_claim(id, &State::Failed, false);
    }

    /// Fails a request whose key another node may have run. Nothing is known of the key: the next try asks again.
    fn in_doubt(&mut self, id: RequestId) {
        let Some(of) = self.entries.get(&id).map(|entry| entry.of) else { return };
        self.note(Anomaly::Doubt, of);
        self.answer(id, Answer::Failed);
        self.events.push(Event::Done { id, outcome: Outcome::Moot, took_ms: 0.0 });
        self.drop_claim(id, &State::Failed, false);
    }

    /// Answers a request with what came of another node's run of its key.
    fn claim_over(&mut self, id: RequestId, state: State) {
        let answer = match &state {
            State::Served(result) => Answer::Served(result.clone()),
            _ => Answer::Failed,
        };
        self.answer(id, answer);
        self.events.push(Event::Done { id, outcome: Outcome::Moot, took_ms: 0.0 });
        self.drop_claim(id, &state, true);
    }

    /// Nobody waits for a claim any more.
    pub(super) fn give_up_claim(&mut self, id: RequestId) {
        self.send_errand(Errand::GiveUp { request: id.0 });
        self.drop_claim(id, &State::Failed, false);
    }

    /// Takes a request out that has not run. What came of its key is kept here where it is known.
    fn drop_claim(&mut self, id: RequestId, state: &State, known: bool) {
        let Some(entry) = self.entries.remove(&id) else { return };
        self.forget_try(entry.of, id);
        if let Some(failsafe) = entry.failsafe {
            self.waits.try_remove(&failsafe);
        }
        let Some(key) = entry.key else { return };
        let waiting = self.kept.end(&key, id, state.clone(), None);
        if !known {
            self.kept.expire(&key, id);
        }
        self.hand_on(&key);
        self.pass_on(waiting, state);
    }

    /// A run whose key was claimed is over. Says whether its answer waits for the copies of its result.
    pub(super) fn copy_end(&mut self, id: RequestId, outcome: Outcome, took_ms: f64, result: &Bytes) -> bool {
        let Some(entry) = self.entries.get(&id).filter(|entry| entry.claimed) else { return false };
        let request = id.0;
        match outcome {
            Outcome::Ok => {
                let left_ms = self.left_ms(entry).max(0.0);
                self.send_errand(Errand::End { request, fate: Fate::Done(result.clone()) });
                self.waits.insert(Wait::Copy(id), span(left_ms));
                let since = self.clock.now();
                if let Some(entry) = self.entries.get_mut(&id) {
                    entry.phase = Phase::Copying(Result { result: result.clone(), took_ms, since });
                }
                return true;
            }
            // Proof that it never ran.
            Outcome::Moot => self.send_errand(Errand::GiveUp { request }),
            _ => self.send_errand(Errand::End { request, fate: Fate::Failed }),
        };
        false
    }

    /// Whether only the copies of a request's result are missing.
    pub(super) fn is_copying(&self, id: RequestId) -> bool {
        self.entries.get(&id).is_some_and(|entry| matches!(entry.phase, Phase::Copying(_)))
    }

    /// A result has its copies: its caller gets it.
    pub(super) fn copied(&mut self, id: RequestId) {
        let now = self.clock.now();
        let Some(Entry { of, phase: Phase::Copying(done), claim_ms, .. }) = self.entries.get(&id) else {
            return;
        };
        let (of, result): (TryId, Bytes) = (*of, done.result.clone());
        let took_ms = done.took_ms + claim_ms + (now - done.since);
        self.finish_run(of, id, Outcome::Ok, took_ms, result);
    }

    /// A result does not have its copies, and its caller can wait no longer.
    pub(super) fn copy_late(&mut self, id: RequestId) {
        let Some(Entry { of, phase: Phase::Copying(_), reply: Some(_), .. }) = self.entries.get(&id) else {
            return;
        };
        let of = *of;
        match self.copies.as_ref().map(|copies| copies.late) {
            Some(Late::Serve) => {
                self.note(Anomaly::Lowered, of);
                self.copied(id);
            }
            _ => {
                self.note(Anomaly::Uncopied, of);
                self.answer(id, Answer::Failed);
                self.settled(id);
            }
        }
    }
}
