//! Ends of requests: refusals, failures, callers that leave, and runs that are over.

use super::*;

/// How much longer than expected runs of all classes take holds over 6 runs, and five seconds.
pub(super) const SLOW_SPAN: Span = Span { samples: 12.0, ms: 5000.0 };
/// Callers are asked to stay away for this multiple of the time that requests wait unread, scaled by this
/// multiple of the share refused, and spread over this last part of it.
pub(super) const ADVICE_UNREAD: f64 = 4.0;
pub(super) const ADVICE_SHARE: f64 = 2.0;
pub(super) const ADVICE_SPREAD: f64 = 0.5;
/// The share of refusals from which refused requests may not walk on, where further tries are not marked and
/// may go unseen.
pub(super) const WALK_REFUSED: f64 = 0.5;

impl Controller {
    pub(super) fn forget(&mut self, id: u32, out: &mut Vec<Action>) {
        if self.ledger.forget(id) {
            out.push(Action::Forget(RequestId(id)));
        }
    }

    /// Turns away what never ran. The advice follows the lag and the share refused, spread so that callers do
    /// not return together. While further tries abound nobody is to walk on, as each reading costs work.
    pub(super) fn refuse(&mut self, id: u32, out: &mut Vec<Action>) {
        let lag =
            (self.wait_ms(i64::MAX, 0.0) + ADVICE_UNREAD * self.unread_ms()).min(self.set.max_retry_after_ms);
        let refused = self.refused.faded(self.now, &ARRIVALS_SPAN);
        let stay_away_ms = lag * (ADVICE_SHARE * refused).min(1.0) * (1.0 - ADVICE_SPREAD * self.rng.f64());
        let crowded = refused > WALK_REFUSED && !self.set.marks_further;
        let last = (crowded || self.further.value > WALK_FURTHER) && self.leaving.is_none();
        out.push(Action::Refuse { id: RequestId(id), stay_away_ms, last });
        self.forget(id, out);
        self.drop_entry(id);
    }

    /// Answers with an error. What runs keeps its core and memory until it is reported done.
    pub(super) fn fail(&mut self, id: u32, out: &mut Vec<Action>) {
        let Some(entry) = self.table.get_mut(&id) else { return };
        out.push(Action::Fail(RequestId(id)));
        entry.leave(self.now);
        if fault_injection::is_active(InjectedFault::MemoryOfCallers) && entry.ran() {
            self.ledger.requests_kb -= std::mem::take(&mut entry.booked_kb);
        }
        self.dues.remove(&(micros(entry.due), id));
        let ratio = (self.now - entry.arrival) / self.set.classes[entry.class].aim_ms;
        if !entry.ran() {
            self.drop_entry(id);
        } else {
            self.calls.remove(&entry.call_order(id));
            self.dimmer.window.push_back((self.now, ratio));
            self.give_up_call(id);
        }
    }

    pub(super) fn expire(&mut self, out: &mut Vec<Action>) {
        let edge = micros(self.now + DUE_MARGIN_MS);
        while let Some((_, id)) = self.dues.first().copied().filter(|(due, _)| *due <= edge) {
            match self.table.get(&id).map(|entry| entry.phase) {
                Some(Phase::Held) => self.refuse(id, out),
                _ => self.fail(id, out),
            }
        }
    }

    pub(super) fn gone(&mut self, id: u32, out: &mut Vec<Action>) {
        let Some(entry) = self.table.get_mut(&id) else { return };
        entry.leave(self.now);
        self.dues.remove(&(micros(entry.due), id));
        if entry.ran() {
            self.calls.remove(&entry.call_order(id));
            self.give_up_call(id);
        } else {
            self.forget(id, out);
            self.drop_entry(id);
        }
    }

    pub(super) fn done(&mut self, id: u32, outcome: Outcome, out: &mut Vec<Action>) {
        let Some(entry) = self.table.get(&id).filter(|entry| entry.phase != Phase::Held) else { return };
        if entry.phase == Phase::Calling {
            self.budget.ended(self.now, true);
        }
        let class = &self.set.classes[entry.class];
        if entry.phase != Phase::Reusing {
            if let Some(key) = self.ledger.keys.get_mut(&id) {
                key.1 = outcome != Outcome::Ok;
            }
            if outcome == Outcome::Ok {
                let slot = (self.now - entry.started - entry.parked_ms).max(1.0);
                let times = &mut self.times[entry.class];
                self.slow.add(self.now, slot / times.expect(entry.hint).max(1.0), &SLOW_SPAN);
                times.slot.add(self.now, slot, &TIMES_SPAN);
                times.parked.add(self.now, entry.parked_ms, &TIMES_SPAN);
                if let Some(hint) = entry.hint {
                    times.hint.add(self.now, hint, &TIMES_SPAN);
                }
            }
        }
        if outcome == Outcome::Moot && entry.ran() {
            self.forget(id, out);
        } else if outcome == Outcome::Ok && !entry.answered {
            self.dimmer.window.push_back((self.now, (self.now - entry.arrival) / class.aim_ms));
        }
        self.drop_entry(id);
    }
}
