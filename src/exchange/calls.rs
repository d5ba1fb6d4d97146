//! Calls that runs make to the dependency: placing them, giving their outcome back to the run, and skipping them.

use bytes::Bytes;
use log::debug;
use tokio::sync::oneshot;

use super::core::Exchange;
use super::entry::{PendingCall, Phase};
use super::types::{Call, Command, TryId};
use crate::interface::{Effect, Event, Outcome, RequestId};

impl Exchange {
    /// Marks a run as waiting for a call, and asks the decision module whether to make it.
    pub(super) fn run_awaits_call(&mut self, try_id: TryId, notice: u64, body: Bytes) {
        let Some(&id) = self.by_try.get(&try_id) else { return };
        let Some(entry) = self.entries.get_mut(&id).filter(|entry| entry.is_running()) else { return };
        debug!("{try_id} waits for a call");
        entry.phase = Phase::AwaitingCall(PendingCall { notice, body, placed: None });
        self.events.push(Event::Needs(id));
    }

    /// Sends the call that a run waits for. Its timeout is the earlier of `give_up_at` and the request's due time, at
    /// least 1 ms.
    pub(super) fn place_call(&mut self, id: RequestId, give_up_at: f64) {
        self.last_call_serial += 1;
        let now = self.clock.now();
        let Some(entry) = self.entries.get_mut(&id) else { return };
        let Phase::AwaitingCall(pending) = &mut entry.phase else { return };
        let (placed, given_up) = oneshot::channel();
        pending.placed = Some((self.last_call_serial, placed));
        let (try_id, origin, body, hint_ms) =
            (entry.try_id, entry.origin, pending.body.clone(), entry.hint_ms);
        let safe = self.site.settings.classes[entry.class].effect == Effect::Safe;
        let timeout_ms = (give_up_at.min(entry.due) - now).max(1.0);
        let repeatable = safe && self.controller.can_repeat_call();
        let call = Call {
            id,
            serial: self.last_call_serial,
            try_id,
            origin,
            timeout_ms,
            hint_ms,
            body,
            safe,
            repeatable,
            given_up,
        };
        let _ = self.outputs.to_dependency.send(call);
    }

    /// Handles the end of a call. An end whose serial is not that of the outstanding call is ignored. Only a
    /// successful reply goes to the run; after a failure the run keeps waiting until the decision module retries or
    /// skips the call.
    pub(super) fn call_ended(
        &mut self,
        id: RequestId,
        serial: u64,
        outcome: Outcome,
        took_ms: f64,
        reply: Bytes,
    ) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        let Phase::AwaitingCall(pending) = &mut entry.phase else { return };
        if pending.placed.take_if(|(placed, _)| *placed == serial).is_none() {
            return;
        }
        if outcome == Outcome::Ok {
            entry.phase = Phase::Running;
            let _ = self.outputs.to_processor.send(Command::CallReply { try_id: entry.try_id, body: reply });
        }
        self.events.push(Event::Called { id, outcome, took_ms });
    }

    /// Lets a run continue without the call that it waits for.
    pub(super) fn skip_call(&mut self, id: RequestId) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if let Phase::AwaitingCall(PendingCall { notice, .. }) = entry.phase {
            entry.phase = Phase::Running;
            let _ = self.outputs.to_processor.send(Command::SkipCall { try_id: entry.try_id, notice });
        }
    }
}
