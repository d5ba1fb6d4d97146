//! Requests as they come: what their key is, whether they are taken in, and until when they are answered.

use std::sync::Arc;

use super::core::Exchange;
use super::entry::{Entry, Phase, Timer};
use super::idempotency::Key;
use super::lifecycle::FAILSAFE_MARGIN_MS;
use super::time::millis;
use super::types::{Anomaly, Answer, IncomingRequest, Origin, ReplyTo};
use crate::clock::wall_ms;
use crate::fault_injection::{self, InjectedFault};
use crate::interface::{Effect, Event, Request, RequestId};

/// A request that is due sooner than this when it is read is refused at once, in ms: no run would end in time.
const HOPELESS_MS: f64 = 2.0 * FAILSAFE_MARGIN_MS;

/// When a request came, by the exchange's clock, in ms.
struct Arrival {
    /// When it was read, and how long it had waited by now, its way included.
    received: f64,
    waited_ms: f64,
    /// When it came to the machine, as far as clocks tell, and the same as windows of keys go by it.
    arrived: f64,
    by_keys: f64,
}

/// What the table of keys says about a request.
struct LookedUp<'a> {
    key: Option<&'a Key>,
    digest: u64,
    /// The try that it repeats.
    earlier: Option<RequestId>,
    /// Whether it is due too soon to be run.
    hopeless: bool,
}

impl Exchange {
    /// Takes a request in, unless it is answered at once.
    pub(super) fn submit(&mut self, id: RequestId, request: IncomingRequest, reply: ReplyTo) {
        let arrival = self.arrival(&request);
        // Tries of one operation carry the same body; reads about one subject need not.
        let digest = if request.op_key.is_some() { self.idempotency.digest(&request.body) } else { 0 };
        let key = self.key_of(&request, arrival.by_keys, digest);
        let told = request.caller_timeout.map(|timeout| arrival.arrived + millis(timeout));
        let given_up_by =
            told.unwrap_or(arrival.arrived + self.site.settings.classes[request.class].deadline_ms);
        let due = given_up_by.min(self.stop_at);
        let hopeless = due <= self.clock.now() + HOPELESS_MS;
        // One that can only be refused carries no key: another try that is held under it goes on.
        let earlier = key.as_ref().and_then(|key| self.idempotency.earlier(key, arrival.by_keys, hopeless));
        let looked_up = LookedUp { key: key.as_ref(), digest, earlier, hopeless };
        if let Some((answer, anomaly)) = self.answer_at_once(&request, &arrival, &looked_up) {
            reply.send(answer, self.node_status.level);
            return anomaly.into_iter().for_each(|anomaly| self.record_anomaly(anomaly, request.try_id));
        }
        let keyed = self.site.settings.classes[request.class].effect == Effect::Keyed;
        if let Some(key) = key.as_ref().filter(|_| !hopeless)
            && (earlier.is_none() || keyed)
        {
            // The newest try of an operation carries it, so a third try in one batch repeats the second.
            self.idempotency.hold(key, id, arrival.by_keys, digest);
        }
        if let Some(key) = key.as_ref().filter(|key| key.is_operation()) {
            self.idempotency.look_up_until(key, due);
        }
        let failsafe = self.timers.insert(Timer::Failsafe(id), self.failsafe_delay(due));
        self.events.push(Event::Request(Request {
            id,
            class: request.class,
            tenant: request.tenant,
            key: request.subject,
            due: told,
            hint_ms: request.hint_ms,
            held_kb: request.held_kb,
            waited_ms: self.counted_wait_ms(&arrival),
            further: request.is_retry,
            earlier,
        }));
        self.by_try.insert(request.try_id, id);
        let may_have_run_elsewhere = self.may_have_run_elsewhere(&request);
        let IncomingRequest { try_id, class, body, hint_ms, subject, address, .. } = request;
        let origin =
            Origin { class, tenant: request.names_tenant.then_some(request.tenant), subject, address };
        let entry = Entry {
            try_id,
            class,
            origin,
            key,
            digest,
            received: self.key_time(arrival.received),
            arrived: arrival.by_keys,
            body,
            claimed: false,
            claim_ms: 0.0,
            may_have_run_elsewhere,
            hint_ms,
            reply: Some(reply),
            due,
            began_at: f64::INFINITY,
            given_up_by,
            inquiry: None,
            failsafe_timer: Some(failsafe),
            phase: Phase::Held,
        };
        self.entries.insert(id, entry);
    }

    fn arrival(&self, request: &IncomingRequest) -> Arrival {
        let now = self.clock.now();
        let received = self.clock.at(request.received);
        // What it waited here behind other inputs counts as well.
        let waited_ms = now - received + millis(request.age);
        let arrived = now - waited_ms;
        Arrival { received, waited_ms, arrived, by_keys: self.key_time(arrived) }
    }

    /// The wait that the decision module counts. One that is read after the grace does not count as of before it, whatever
    /// its caller says.
    fn counted_wait_ms(&self, arrival: &Arrival) -> f64 {
        let read_late = arrival.received > self.grace_ends;
        if read_late { self.clock.now() - arrival.received } else { arrival.waited_ms }
    }

    /// The answer of a request that is not taken in, and what is odd about it.
    fn answer_at_once(
        &self,
        request: &IncomingRequest,
        arrival: &Arrival,
        looked_up: &LookedUp,
    ) -> Option<(Answer, Option<Anomaly>)> {
        let LookedUp { key, digest, earlier, hopeless } = *looked_up;
        let is_operation = key.is_some_and(Key::is_operation);
        if !self.processor_is_up {
            return Some((self.rejection(request), None));
        }
        // Guards the open request of that name: its run and its answer stay its own.
        let is_open = self.by_try.contains_key(&request.try_id);
        if is_open || key.is_some_and(|key| self.idempotency.is_of_another(key, arrival.by_keys, digest)) {
            return Some((Answer::Failed, Some(Anomaly::IdentifierConflict)));
        }
        let outlived = arrival.waited_ms >= self.site.settings.classes[request.class].deadline_ms;
        if outlived && !hopeless && earlier.is_none() && is_operation {
            // Guards against a second run: a run whose window it came in may be forgotten already.
            return Some((Answer::Failed, Some(Anomaly::ReceivedTooLate)));
        }
        // A key that is there takes no further room, and its run may be over: its repeats get the result.
        if key.is_some() && earlier.is_none() && self.idempotency.is_full() {
            return Some((self.rejection(request), Some(Anomaly::IdempotencyTableFull)));
        }
        if self.successor.is_some() && earlier.is_none() && is_operation {
            // Guards against a second run: the next process may have begun one. A refusal would deny that.
            return Some((Answer::Failed, Some(Anomaly::KeysHandedOver)));
        }
        None
    }

    /// What a request is the same by as others, if anything.
    fn key_of(&self, request: &IncomingRequest, arrived: f64, digest: u64) -> Option<Key> {
        let settings = &self.site.settings;
        let effect = settings.classes[request.class].effect;
        let operation = request.op_key.as_ref();
        let operation =
            operation.map(|operation| self.operation_key(request.class, operation, arrived, digest));
        // A class may have lost its keys by new settings: what is held or ran under one has its window still.
        let counts =
            |key: &Key| effect == Effect::Keyed || self.idempotency.earlier(key, arrived, false).is_some();
        let subject = request.subject.filter(|_| effect == Effect::Safe && settings.fresh_ms > 0.0);
        operation.filter(counts).or_else(|| subject.map(|subject| Key::Subject(request.class, subject)))
    }

    /// Whether its key may have run at another node.
    fn may_have_run_elsewhere(&self, request: &IncomingRequest) -> bool {
        request.op_key.is_some() && self.may_follow_remote_run(request.class, request.is_retry)
    }

    /// The key of an operation. Callers hear of a class's new name one after the other: a try under one name is a repeat of
    /// one that is kept under another, if both have the same body.
    fn operation_key(&self, class: usize, operation: &Arc<str>, arrived: f64, digest: u64) -> Key {
        let under = |class| Key::Operation(class, operation.clone());
        let own = under(class);
        if self.idempotency.record(&own).is_some_and(|row| arrived <= row.until) {
            return own;
        }
        let others = (0..self.site.classes.len()).filter(|other| *other != class);
        others.map(under).find(|key| self.idempotency.is_of_the_same(key, arrived, digest)).unwrap_or(own)
    }

    /// A time as windows of keys go by it: on the clock, but for a planted error.
    fn key_time(&self, at: f64) -> f64 {
        let off_ms =
            fault_injection::is_active(InjectedFault::WindowOnWallTime).then(|| wall_ms() - self.clock.now());
        at + off_ms.unwrap_or(0.0)
    }

    /// The answer to one that is not taken in. One that may have run at another node is not refused unasked.
    fn rejection(&self, request: &IncomingRequest) -> Answer {
        match self.may_have_run_elsewhere(request) {
            true => Answer::Failed,
            false => Answer::Refused { stay_away_ms: self.site.settings.max_retry_after_ms, last: false },
        }
    }
}
