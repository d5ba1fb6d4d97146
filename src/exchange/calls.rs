//! Calls of runs to the tier below.

use bytes::Bytes;
use log::debug;
use tokio::sync::oneshot;

use super::core::Exchange;
use super::entry::{Pending, Phase};
use super::types::{Call, Command, TryId};
use crate::interface::{Effect, Event, Outcome, RequestId};

impl Exchange {
    pub(super) fn run_waits(&mut self, of: TryId, notice: u64, body: Bytes) {
        let Some(&id) = self.by_try.get(&of) else { return };
        let Some(entry) = self.entries.get_mut(&id).filter(|entry| entry.began()) else { return };
        debug!("{of} waits for a call");
        entry.phase = Phase::Waiting(Pending { notice, body, placed: None });
        self.events.push(Event::Needs(id));
    }

    pub(super) fn call(&mut self, id: RequestId, give_up_at: f64) {
        self.serials += 1;
        let now = self.clock.now();
        let Some(entry) = self.entries.get_mut(&id) else { return };
        let Phase::Waiting(pending) = &mut entry.phase else { return };
        let (placed, given_up) = oneshot::channel();
        pending.placed = Some((self.serials, placed));
        let (of, origin, body, work) = (entry.of, entry.origin, pending.body.clone(), entry.hint_ms);
        let safe = self.site.settings.classes[entry.class].effect == Effect::Safe;
        let wait_ms = (give_up_at.min(entry.due) - now).max(1.0);
        let repeatable = safe && self.controller.can_repeat_call();
        let call =
            Call { id, serial: self.serials, of, origin, wait_ms, work, body, safe, repeatable, given_up };
        let _ = self.out.to_below.send(call);
    }

    pub(super) fn call_ended(
        &mut self,
        id: RequestId,
        serial: u64,
        outcome: Outcome,
        took_ms: f64,
        reply: Bytes,
    ) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        let Phase::Waiting(pending) = &mut entry.phase else { return };
        if pending.placed.take_if(|(placed, _)| *placed == serial).is_none() {
            return;
        }
        if outcome == Outcome::Ok {
            entry.phase = Phase::Running;
            let _ = self.out.to_processor.send(Command::Answer { of: entry.of, body: reply });
        }
        self.events.push(Event::Called { id, outcome, took_ms });
    }

    pub(super) fn skip(&mut self, id: RequestId) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if let Phase::Waiting(Pending { notice, .. }) = entry.phase {
            entry.phase = Phase::Running;
            let _ = self.out.to_processor.send(Command::Without { of: entry.of, notice });
        }
    }
}
