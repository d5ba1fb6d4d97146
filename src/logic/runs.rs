//! Starts held requests, and accounts for runs that go on without their callers.

use super::*;

/// Share of the concurrency that the server survives which runs and calls together may use: requests at
/// calls return to the cores.
pub(super) const CONCURRENCY_SHARE: f64 = 0.8;
/// Part of a run's expected time, times its priority, that a held request may lack and still start: the run
/// may be a short one.
pub(super) const SHORT_RUN_ALLOWANCE: f64 = 0.3;
/// A run counts as orphaned once it goes on for this many deadlines of its class after the answer.
pub(super) const ORPHANED_AFTER_DEADLINES: f64 = 3.0;

impl Controller {
    /// Changes the phase of a request and keeps the counts of running and parked ones.
    pub(super) fn set_phase(&mut self, id: u32, phase: Phase) {
        let Some(entry) = self.requests.get_mut(&id) else { return };
        let running = |p: Phase| u32::from(p == Phase::Running);
        let parked = |p: Phase| u32::from(matches!(p, Phase::Waiting | Phase::Calling));
        let old = std::mem::replace(&mut entry.phase, phase);
        self.running = self.running + running(phase) - running(old);
        self.parked = self.parked + parked(phase) - parked(old);
        if parked(phase) > parked(old) {
            entry.parked_since = self.now;
        } else if parked(phase) < parked(old) {
            entry.parked_ms += self.now - entry.parked_since;
        }
    }

    /// Removes a request and frees its memory.
    pub(super) fn remove_entry(&mut self, id: u32) {
        let Some(entry) = self.requests.get(&id) else { return };
        self.held.remove(&(entry.order, id));
        self.memory.requests_kb -= entry.booked_kb;
        self.waiting_calls.remove(&entry.call_order(id));
        self.due_order.remove(&(micros(entry.due), id));
        self.set_phase(id, Phase::Held);
        self.requests.remove(&id);
        if self.requests.is_empty() {
            self.memory.requests_kb = 0.0;
        }
    }

    /// Concurrent runs that the server survives at its present speed.
    pub(super) fn survivable_runs(&self) -> f64 {
        let multiple =
            if self.settings.fall_multiple > 0.0 { self.settings.fall_multiple } else { f64::INFINITY };
        (1.0 + (multiple - 1.0).max(0.0) * self.warm_up_speed()) * self.run_limit.cores
    }

    /// Requests of all processes that run, or wait at calls and will return to the cores.
    pub(super) fn occupied_runs(&self) -> u32 {
        self.running + self.parked + self.reserved.runs
    }

    /// Limit on runs and calls together, of all processes.
    pub(super) fn max_concurrency(&self) -> f64 {
        (self.survivable_runs() * CONCURRENCY_SHARE).max(1.0)
    }

    /// Requests that run and requests at calls, without orphaned ones. Orphaned runs count towards the
    /// concurrency that the server survives but not towards the run limit, which is for good answers.
    pub(super) fn awaited_runs(&self) -> (u32, u32) {
        let orphaned = |at_calls: bool| {
            let of_kind = |entry: &&Entry| entry.orphaned && (entry.phase != Phase::Running) == at_calls;
            self.requests.values().filter(of_kind).count() as u32
        };
        if self.orphaned.runs == 0 {
            return (self.running, self.parked);
        }
        (self.running - orphaned(false), self.parked - orphaned(true))
    }

    /// Finds orphaned runs. While they leave no capacity for a further run, new requests are refused on
    /// arrival and health checks fail, until some are reported as ended: that nothing is reported proves
    /// nothing.
    pub(super) fn update_orphaned(&mut self, out: &mut Vec<Action>) {
        let mut found = OrphanedRuns::default();
        for entry in self.requests.values_mut().filter(|entry| entry.answered && entry.has_started()) {
            let since_ms = self.now - entry.answered_at;
            entry.orphaned =
                since_ms > ORPHANED_AFTER_DEADLINES * self.settings.classes[entry.class].deadline_ms;
            if entry.orphaned {
                found.runs += 1;
                found.booked_kb += entry.booked_kb;
                found.longest_ms = found.longest_ms.max(since_ms);
            }
        }
        let no_permit =
            found.runs > 0 && f64::from(found.runs + self.reserved.runs) + 1.0 > self.max_concurrency();
        let memory_kb = found.booked_kb + self.memory.reserved_kb;
        let no_memory = found.runs > 0
            && self.memory.limit_kb > 0.0
            && memory_kb > MEMORY_THRESHOLDS.0 * self.memory.limit_kb;
        self.orphaned = found;
        let exhausted = no_permit || no_memory;
        if std::mem::replace(&mut self.exhausted, exhausted) != exhausted && !self.draining {
            out.push(Action::Health { good: !exhausted });
        }
    }

    /// Starts held requests in order while run limit and memory allow; what would be late is refused at
    /// once. Requests at calls do not count against the run limit but have a limit of their own, as all may
    /// return at once.
    pub(super) fn start_runs(&mut self, out: &mut Vec<Action>) {
        let max_concurrency = self.max_concurrency();
        let limit = self.run_limit.limit.floor().min(max_concurrency);
        let (running, parked) = self.awaited_runs();
        let (mut running, parked) = (f64::from(running), f64::from(parked));
        for key in self.held.iter().copied().collect::<Vec<_>>() {
            let id = key.1;
            let Some(entry) = self.requests.get(&id) else { continue };
            let cores_full = running >= limit || f64::from(self.occupied_runs()) + 1.0 > max_concurrency;
            let required_share = 1.0 - SHORT_RUN_ALLOWANCE * entry.priority;
            let would_be_late =
                self.now + required_share * self.expected_finish_ms(entry) > entry.aim_at.min(entry.due);
            if would_be_late && (cores_full || self.held.len() > 1) {
                self.refuse(id, out);
                continue;
            }
            let more_kb = entry.held_kb * (self.settings.run_factor - 1.0).max(0.0);
            let max_parked = self.call_budget.share().max(self.run_limit.cores).min(limit);
            let wants_calls = !entry.optional_call || self.rng.f64() < self.dimmer.q;
            if cores_full
                || !self.memory.fits(more_kb, MEMORY_THRESHOLDS.1)
                || (self.settings.classes[entry.class].calls && wants_calls && parked >= max_parked)
            {
                continue;
            }
            self.held.remove(&key);
            self.memory.requests_kb += more_kb;
            self.set_phase(id, Phase::Running);
            running += 1.0;
            if let Some(entry) = self.requests.get_mut(&id) {
                entry.booked_kb += more_kb;
                entry.started_at = self.now;
                entry.wants_calls = wants_calls;
            }
            out.push(Action::Run(RequestId(id)));
        }
    }
}
