//! Runs on the processor: how they begin and end, and the idempotency keys that they hold.

use bytes::Bytes;
use log::debug;

use super::core::Exchange;
use super::entry::{Entry, Phase, Timer};
use super::idempotency::{Key, KeyState};
use super::time::span;
use super::types::{Anomaly, Answer, Command, TryId};
use crate::interface::{Event, Outcome, RequestId, Settings};

/// Added to repeat windows, in ms: on sockets each time limit is extended by 50 ms.
const WIRE_SLACK_MS: f64 = 50.0;

impl Exchange {
    /// Starts a held request, or has it share the run of another try if the key has already run. A request whose key
    /// has to be claimed at other nodes first begins later.
    pub(super) fn start_run(&mut self, id: RequestId) {
        let settings = &self.site.settings;
        let Some(entry) = self.entries.get_mut(&id).filter(|entry| matches!(entry.phase, Phase::Held)) else {
            let moot = Event::Done { id, outcome: Outcome::Moot, took_ms: 0.0 };
            return self.events.push(moot);
        };
        if let Some(key) = entry.key.clone() {
            let class = &settings.classes[entry.class];
            // Decided by the key, as new settings may have changed the effect of its class since it was read.
            let keyed = key.is_operation();
            let until =
                if keyed { entry.received + repeat_window_ms(settings, entry.class) } else { f64::INFINITY };
            if !self.idempotency.begin(&key, id, entry.arrived, until, entry.digest) {
                entry.phase = Phase::Sharing;
                let try_id = entry.try_id;
                self.record_anomaly(Anomaly::DuplicateRunPrevented, try_id);
                let state = self.idempotency.share(&key, id);
                return self.share_if_finished(id, state);
            }
            if keyed {
                // Held repeats that arrived within the window may look up the result until they are due.
                let keep_ms = (until - self.clock.now()).max(0.0) + class.deadline_ms;
                self.timers.insert(Timer::KeyExpiry(key.clone(), id), span(keep_ms));
                if let (Some(_), Key::Operation(_, operation)) = (&self.replication, &key) {
                    return self.claim_key(id, operation);
                }
            }
        }
        self.begin_run(id);
    }

    /// Begins the run of a request that holds its key or has none.
    pub(super) fn begin_run(&mut self, id: RequestId) {
        let now = self.clock.now();
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.phase = Phase::Running;
        entry.began_at = now;
        debug!("{} begins, of class {}, under {:?}", entry.try_id, self.site.classes[entry.class], entry.key);
        self.send_begin(id);
    }

    /// Commands the processor to begin a run. It ignores the command for a run that is already running.
    pub(super) fn send_begin(&mut self, id: RequestId) {
        let Some(Entry { try_id, class, body, .. }) = self.entries.get(&id) else { return };
        let command = Command::Run { try_id: *try_id, class: *class, body: body.clone() };
        let _ = self.outputs.to_processor.send(command);
    }

    /// End of the repeat window of a request that was received at `received`, by the exchange's clock, in ms.
    pub(super) fn repeat_window_end(&self, class: usize, received: f64) -> f64 {
        received + repeat_window_ms(&self.site.settings, class)
    }

    /// Handles the end of a run as the processor reports it. The end of an unknown run, or of one that has not begun,
    /// is ignored.
    pub(super) fn run_ended(&mut self, try_id: TryId, outcome: Outcome, took_ms: f64, result: Bytes) {
        let Some(&id) = self.by_try.get(&try_id) else { return };
        if !self.entries.get(&id).is_some_and(Entry::is_running) {
            return;
        }
        let outcome = self.resolve_outcome(id, outcome);
        if self.replicate_end(id, outcome, took_ms, &result) {
            return;
        }
        self.finish_run(try_id, id, outcome, took_ms, result);
    }

    /// Answers the request that ran and those that share its run, and removes it.
    pub(super) fn finish_run(
        &mut self,
        try_id: TryId,
        id: RequestId,
        outcome: Outcome,
        took_ms: f64,
        result: Bytes,
    ) {
        let answer = if outcome == Outcome::Ok { Answer::Served(result.clone()) } else { Answer::Failed };
        self.send_answer(id, answer);
        self.events.push(Event::Done { id, outcome, took_ms });
        self.forget_try(try_id, id);
        let Some(entry) = self.entries.remove(&id) else { return };
        if let Some(key) = entry.key {
            // The report may arrive long after the end of the run.
            let ended_at = (entry.began_at + took_ms.max(0.0)).min(self.clock.now());
            self.key_ended(key, id, outcome, result, ended_at);
        }
    }

    /// Stores the outcome of a key's run and answers the requests that share it.
    pub(super) fn key_ended(
        &mut self,
        key: Key,
        id: RequestId,
        outcome: Outcome,
        result: Bytes,
        ended_at: f64,
    ) {
        let state = if outcome == Outcome::Ok { KeyState::Served(result) } else { KeyState::Failed };
        let fresh = matches!(key, Key::Subject(..)).then(|| {
            let fresh_ms = if outcome == Outcome::Ok { self.site.settings.fresh_ms } else { 0.0 };
            let fresh_until = ended_at + fresh_ms;
            self.timers.insert(Timer::KeyExpiry(key.clone(), id), span(fresh_until - self.clock.now()));
            fresh_until
        });
        let waiting = self.idempotency.end(&key, id, state.clone(), fresh);
        if outcome == Outcome::Moot {
            // The processor has confirmed that this try never ran: a later one may run.
            self.idempotency.expire(&key, id);
        }
        self.hand_over_key(&key);
        let (served, stale) = waiting.into_iter().partition(|waiting| {
            let arrived = self.entries.get(waiting).map_or(f64::INFINITY, |entry| entry.arrived);
            fresh.is_none_or(|fresh_until| arrived <= fresh_until)
        });
        self.share_with_waiting(served, &state);
        // They arrived when the result was no longer fresh, and shared the run only because its end was reported
        // late.
        self.share_with_waiting(stale, &KeyState::Failed);
    }

    /// Removes a key once no request can look up its result any more, and waits again until then otherwise: some
    /// callers wait longer than the limit of the class, and new settings may have made the window longer.
    pub(super) fn key_expired(&mut self, key: Key, id: RequestId) {
        let deadline_ms = match &key {
            Key::Operation(class, _) => self.site.settings.classes[*class].deadline_ms,
            Key::Subject(..) => 0.0,
        };
        match self.idempotency.needed_until(&key, id, deadline_ms).map(|until| until - self.clock.now()) {
            Some(ms) if ms > 0.0 => drop(self.timers.insert(Timer::KeyExpiry(key, id), span(ms))),
            _ => self.idempotency.expire(&key, id),
        }
    }

    /// Has a held request share the run of the try that holds its key.
    pub(super) fn reuse_result(&mut self, id: RequestId) {
        let Some(entry) = self.entries.get_mut(&id).filter(|entry| matches!(entry.phase, Phase::Held)) else {
            return;
        };
        entry.phase = Phase::Sharing;
        let state = match entry.key.as_ref() {
            Some(key) => self.idempotency.share(key, id),
            None => KeyState::Failed,
        };
        self.share_if_finished(id, state);
    }

    /// Enters the key of a held request in the idempotency table.
    pub(super) fn retain_key(&mut self, id: RequestId) {
        let Some(entry) = self.entries.get(&id) else { return };
        if let Some(key) = &entry.key {
            self.idempotency.hold(key, id, entry.arrived, entry.digest);
        }
    }
}

/// Repeat window of a class, from the receipt of the request that ran, in ms, with grace for late messages.
pub(super) fn repeat_window_ms(settings: &Settings, class: usize) -> f64 {
    settings.classes[class].window_ms + settings.answer_slack_ms + 2.0 * WIRE_SLACK_MS
}
