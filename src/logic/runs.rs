//! Which held requests run, and what those take that run on without their callers.

use super::*;

/// Part of the crowd survived that runs and calls stay under together: calls come back to the cores.
pub(super) const CROWD_SHARE: f64 = 0.8;
/// Part of a run's expected time, times the grade, that a held request may lack: the run may be a short one.
pub(super) const HOPE: f64 = 0.3;
/// A run outlasts its caller once it goes on for this many deadlines of its class after the answer.
pub(super) const OUTLASTS_DEADLINES: f64 = 3.0;

impl Controller {
    pub(super) fn set_phase(&mut self, id: u32, phase: Phase) {
        let Some(entry) = self.table.get_mut(&id) else { return };
        let on = |p: Phase| u32::from(p == Phase::Running);
        let at = |p: Phase| u32::from(matches!(p, Phase::Waiting | Phase::Calling));
        let old = std::mem::replace(&mut entry.phase, phase);
        self.running = self.running + on(phase) - on(old);
        self.parked = self.parked + at(phase) - at(old);
        if at(phase) > at(old) {
            entry.parked_since = self.now;
        } else if at(phase) < at(old) {
            entry.parked_ms += self.now - entry.parked_since;
        }
    }

    /// Ends a request for good and gives its memory back.
    pub(super) fn drop_entry(&mut self, id: u32) {
        let Some(entry) = self.table.get(&id) else { return };
        self.hold.remove(&(entry.order, id));
        self.ledger.requests_kb -= entry.booked_kb;
        self.calls.remove(&entry.call_order(id));
        self.dues.remove(&(micros(entry.due), id));
        self.set_phase(id, Phase::Held);
        self.table.remove(&id);
        if self.table.is_empty() {
            self.ledger.requests_kb = 0.0;
        }
    }

    /// Running requests on the cores that the server survives just now.
    pub(super) fn ceiling(&self) -> f64 {
        let told = if self.set.fall_multiple > 0.0 { self.set.fall_multiple } else { f64::INFINITY };
        (1.0 + (told - 1.0).max(0.0) * self.warmth()) * self.limit.cores
    }

    /// Requests on the cores, and at calls from which they come back there, of all processes.
    pub(super) fn occupied(&self) -> u32 {
        self.running + self.parked + self.reserved.runs
    }

    /// The part of the crowd survived that all of them stay under.
    pub(super) fn crowd(&self) -> f64 {
        (self.ceiling() * CROWD_SHARE).max(1.0)
    }

    /// Requests on the cores and at calls, without those that outlast their callers: these count against the
    /// crowd that the server survives, while the run limit, which is for good answers, passes them by.
    pub(super) fn awaited(&self) -> (u32, u32) {
        let outlasting = |at_calls: bool| {
            let of_kind = |entry: &&Entry| entry.outlasting && (entry.phase != Phase::Running) == at_calls;
            self.table.values().filter(of_kind).count() as u32
        };
        if self.outlasting.runs == 0 {
            return (self.running, self.parked);
        }
        (self.running - outlasting(false), self.parked - outlasting(true))
    }

    /// Finds the runs that outlast their callers. Where they leave no room for a further one, requests are
    /// turned away as they come and health checks fail, until there is proof that some have ended: silence is
    /// none.
    pub(super) fn look_for_outlasting(&mut self, out: &mut Vec<Action>) {
        let mut found = OrphanedRuns::default();
        for entry in self.table.values_mut().filter(|entry| entry.answered && entry.ran()) {
            let since_ms = self.now - entry.answered_at;
            entry.outlasting = since_ms > OUTLASTS_DEADLINES * self.set.classes[entry.class].deadline_ms;
            if entry.outlasting {
                found.runs += 1;
                found.booked_kb += entry.booked_kb;
                found.longest_ms = found.longest_ms.max(since_ms);
            }
        }
        let no_permit = found.runs > 0 && f64::from(found.runs + self.reserved.runs) + 1.0 > self.crowd();
        let memory_kb = found.booked_kb + self.ledger.reserved_kb;
        let no_memory =
            found.runs > 0 && self.ledger.limit_kb > 0.0 && memory_kb > MEMORY_MARKS.0 * self.ledger.limit_kb;
        self.outlasting = found;
        let exhausted = no_permit || no_memory;
        if std::mem::replace(&mut self.exhausted, exhausted) != exhausted && self.leaving.is_none() {
            out.push(Action::Health { good: !exhausted });
        }
    }

    /// Starts held requests in order while run limit and memory allow; what would be late is refused at once.
    /// Requests parked at calls stand outside the limit with a bound of their own: all may come back at once.
    pub(super) fn start_runs(&mut self, out: &mut Vec<Action>) {
        let crowd = self.crowd();
        let limit = self.limit.limit.floor().min(crowd);
        let (running, parked) = self.awaited();
        let (mut running, parked) = (f64::from(running), f64::from(parked));
        for key in self.hold.iter().copied().collect::<Vec<_>>() {
            let id = key.1;
            let Some(entry) = self.table.get(&id) else { continue };
            let full = running >= limit || f64::from(self.occupied()) + 1.0 > crowd;
            let hope = 1.0 - HOPE * entry.grade;
            let late = self.now + hope * self.finish_ms(entry) > entry.aim_at.min(entry.due);
            if late && (full || self.hold.len() > 1) {
                self.refuse(id, out);
                continue;
            }
            let more_kb = entry.kb * (self.set.run_factor - 1.0).max(0.0);
            let bound = self.budget.share().max(self.limit.cores).min(limit);
            let wants_calls = !entry.optional || self.rng.f64() < self.dimmer.q;
            if full
                || !self.ledger.fits(more_kb, MEMORY_MARKS.1)
                || (self.set.classes[entry.class].calls && wants_calls && parked >= bound)
            {
                continue;
            }
            self.hold.remove(&key);
            self.ledger.requests_kb += more_kb;
            self.set_phase(id, Phase::Running);
            running += 1.0;
            if let Some(entry) = self.table.get_mut(&id) {
                entry.booked_kb += more_kb;
                entry.started = self.now;
                entry.wants_calls = wants_calls;
            }
            out.push(Action::Run(RequestId(id)));
        }
    }
}
