//! Intake of requests: determines a request's key, whether it is admitted, and when its answer is due.

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

/// A request that is due within this time when it is read, in ms, is refused at once: no run would end in time.
const MIN_REMAINING_MS: f64 = 2.0 * FAILSAFE_MARGIN_MS;

/// The arrival of a request, by the exchange's clock, in ms.
struct Arrival {
    /// When it was read, and how long it has waited by now, including its way from the caller's machine.
    received: f64,
    waited_ms: f64,
    /// When it reached its caller's machine as far as the clocks show, and the same time as compared with windows of
    /// keys.
    arrived: f64,
    window_arrived: f64,
}

/// What the idempotency table has on a request.
struct TableLookup<'a> {
    key: Option<&'a Key>,
    digest: u64,
    /// The earlier try that it repeats.
    earlier: Option<RequestId>,
    /// Whether it is due too soon to be run.
    due_too_soon: bool,
}

impl Exchange {
    /// Admits a request, unless it is answered at once.
    pub(super) fn submit(&mut self, id: RequestId, request: IncomingRequest, reply: ReplyTo) {
        let arrival = self.arrival(&request);
        // Tries of one operation carry the same body; reads of one subject may differ.
        let digest = if request.op_key.is_some() { self.idempotency.digest(&request.body) } else { 0 };
        let key = self.key_of(&request, arrival.window_arrived, digest);
        let caller_due = request.caller_timeout.map(|timeout| arrival.arrived + millis(timeout));
        let given_up_by =
            caller_due.unwrap_or(arrival.arrived + self.site.settings.classes[request.class].deadline_ms);
        let due = given_up_by.min(self.stop_at);
        let due_too_soon = due <= self.clock.now() + MIN_REMAINING_MS;
        // One that can only be refused does not take over its key: another try that is held under the key proceeds.
        let earlier =
            key.as_ref().and_then(|key| self.idempotency.earlier(key, arrival.window_arrived, due_too_soon));
        let lookup = TableLookup { key: key.as_ref(), digest, earlier, due_too_soon };
        if let Some((answer, anomaly)) = self.immediate_answer(&request, &arrival, &lookup) {
            reply.send(answer, self.node_status.level);
            return anomaly.into_iter().for_each(|anomaly| self.record_anomaly(anomaly, request.try_id));
        }
        let keyed = self.site.settings.classes[request.class].effect == Effect::Keyed;
        if let Some(key) = key.as_ref().filter(|_| !due_too_soon)
            && (earlier.is_none() || keyed)
        {
            // The newest try of an operation holds its key, so a third try in one batch repeats the second.
            self.idempotency.hold(key, id, arrival.window_arrived, digest);
        }
        if let Some(key) = key.as_ref().filter(|key| key.is_operation()) {
            self.idempotency.extend_lookup(key, due);
        }
        let failsafe = self.timers.insert(Timer::Failsafe(id), self.failsafe_delay(due));
        self.events.push(Event::Request(Request {
            id,
            class: request.class,
            tenant: request.tenant,
            key: request.subject,
            due: caller_due,
            hint_ms: request.hint_ms,
            held_kb: request.held_kb,
            waited_ms: self.reported_wait_ms(&arrival),
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
            received: self.window_time(arrival.received),
            arrived: arrival.window_arrived,
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
        // Includes the time that it spent in the input queue.
        let waited_ms = now - received + millis(request.age);
        let arrived = now - waited_ms;
        Arrival { received, waited_ms, arrived, window_arrived: self.window_time(arrived) }
    }

    /// The waiting time that is reported to the decision module. A request that was read after the end of the grace
    /// period of a drain must not pass for an older one, so only its wait since it was read counts, whatever its
    /// caller says.
    fn reported_wait_ms(&self, arrival: &Arrival) -> f64 {
        let read_late = arrival.received > self.grace_ends;
        if read_late { self.clock.now() - arrival.received } else { arrival.waited_ms }
    }

    /// The answer to a request that is not admitted, with the anomaly to count, if any.
    fn immediate_answer(
        &self,
        request: &IncomingRequest,
        arrival: &Arrival,
        lookup: &TableLookup,
    ) -> Option<(Answer, Option<Anomaly>)> {
        let TableLookup { key, digest, earlier, due_too_soon } = *lookup;
        let is_operation = key.is_some_and(Key::is_operation);
        if !self.processor_is_up {
            return Some((self.rejection(request), None));
        }
        // Protects the open request with the same try identifier: its run and its answer must stay its own.
        let is_open = self.by_try.contains_key(&request.try_id);
        if is_open
            || key.is_some_and(|key| self.idempotency.has_other_body(key, arrival.window_arrived, digest))
        {
            return Some((Answer::Failed, Some(Anomaly::IdentifierConflict)));
        }
        let read_too_late = arrival.waited_ms >= self.site.settings.classes[request.class].deadline_ms;
        if read_too_late && !due_too_soon && earlier.is_none() && is_operation {
            // Prevents a second run: the record of a run in whose window it arrived may have expired.
            return Some((Answer::Failed, Some(Anomaly::ReceivedTooLate)));
        }
        // A key that is in the table needs no further memory, and repeats of its run must still get the result.
        if key.is_some() && earlier.is_none() && self.idempotency.is_full() {
            return Some((self.rejection(request), Some(Anomaly::IdempotencyTableFull)));
        }
        if self.successor.is_some() && earlier.is_none() && is_operation {
            // Prevents a second run: the next process may have begun one, so a refusal would be a false promise.
            return Some((Answer::Failed, Some(Anomaly::KeysHandedOver)));
        }
        None
    }

    /// The key that a request shares with other tries or reads, if any.
    fn key_of(&self, request: &IncomingRequest, arrived: f64, digest: u64) -> Option<Key> {
        let settings = &self.site.settings;
        let effect = settings.classes[request.class].effect;
        let operation = request.op_key.as_ref();
        let operation =
            operation.map(|operation| self.operation_key(request.class, operation, arrived, digest));
        // New settings may have made a class unkeyed: keys that are held or ran before still have their windows.
        let still_applies =
            |key: &Key| effect == Effect::Keyed || self.idempotency.earlier(key, arrived, false).is_some();
        let subject = request.subject.filter(|_| effect == Effect::Safe && settings.fresh_ms > 0.0);
        operation
            .filter(still_applies)
            .or_else(|| subject.map(|subject| Key::Subject(request.class, subject)))
    }

    /// Whether the key of a request may have run at another node.
    fn may_have_run_elsewhere(&self, request: &IncomingRequest) -> bool {
        request.op_key.is_some() && self.may_follow_remote_run(request.class, request.is_retry)
    }

    /// The key of an operation. Callers learn a class's new name at different times: a try under one name repeats a
    /// recorded one under another name if both have the same body.
    fn operation_key(&self, class: usize, operation: &Arc<str>, arrived: f64, digest: u64) -> Key {
        let under = |class| Key::Operation(class, operation.clone());
        let own = under(class);
        if self.idempotency.record(&own).is_some_and(|record| arrived <= record.until) {
            return own;
        }
        let others = (0..self.site.classes.len()).filter(|other| *other != class);
        others.map(under).find(|key| self.idempotency.matches(key, arrived, digest)).unwrap_or(own)
    }

    /// Converts a time for comparison with windows of keys: unchanged, unless a fault is injected.
    fn window_time(&self, at: f64) -> f64 {
        let offset_ms =
            fault_injection::is_active(InjectedFault::WindowOnWallTime).then(|| wall_ms() - self.clock.now());
        at + offset_ms.unwrap_or(0.0)
    }

    /// The answer to a request that is not admitted. One that may have run at another node is failed, since a refusal
    /// would promise that it has not run, and the holders were not queried.
    fn rejection(&self, request: &IncomingRequest) -> Answer {
        match self.may_have_run_elsewhere(request) {
            true => Answer::Failed,
            false => Answer::Refused { stay_away_ms: self.site.settings.max_retry_after_ms, last: false },
        }
    }
}
