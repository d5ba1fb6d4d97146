//! Which requests are taken in: their order in the hold, and what is turned away on arrival.

use super::*;

/// An answer past the aim is worth planning for where it keeps more than this part of its worth.
pub(super) const LATE_KEEPS: f64 = 0.5;
/// A class that is refused more than the mean counts as worthier by this multiple of the difference.
pub(super) const FAIR_SHARE: f64 = 2.0;
/// Power to which the part of a tenant's requests within its share counts: all of them rank alike, so one
/// that sends three times its share must rank near what its next request is worth, beyond the share, while
/// one that is over it by the chance of a few seconds must not.
pub(super) const SHARE_POWER: i32 = 3;

impl Controller {
    /// Enters a request that was read; false where it is settled already.
    pub(super) fn read(&mut self, request: &Request, batch: &[Event], out: &mut Vec<Action>) -> bool {
        let id = request.id.0;
        if self.table.contains_key(&id) {
            return false;
        }
        let Some(class) = self.set.classes.get(request.class) else {
            out.push(Action::Refuse { id: request.id, stay_away_ms: 0.0, last: false });
            return false;
        };
        let waited = sane(request.waited_ms);
        let arrival = self.now - waited;
        self.unread.add(self.now, waited, &UNREAD_SPAN);
        self.arrivals.count(self.now, &TRAFFIC_SPAN);
        let told = request.due.filter(|due| due.is_finite()).unwrap_or(arrival + class.deadline_ms);
        let left = if request.due.is_some() { (told - arrival) / class.deadline_ms } else { 1.0 };
        let age = self.patience.age(left) * class.deadline_ms;
        let further = request.further || age > 0.0;
        self.further.add(self.now, f64::from(u8::from(further)), &ARRIVALS_SPAN);
        let due = told.max(self.now).min(self.leaving.map_or(f64::INFINITY, |leaving| leaving.stop_at));
        let (aim_at, effect) = (arrival + class.aim_ms - age, class.effect);
        let optional = class.skip_worth > 0.0;
        let whole = arrival + class.window_ms + DUE_MARGIN_MS + self.set.answer_slack_ms;
        let keep_until = match effect {
            Effect::Keyed => Some(whole),
            Effect::Safe if self.set.fresh_ms > 0.0 => request.key.map(|_| aim_at + self.set.fresh_ms),
            _ => None,
        };
        let hint = request.hint_ms.filter(|hint| hint.is_finite() && *hint > 0.0);
        let (class, kb, must_call) = (request.class, sane(request.held_kb), class.calls && !optional);
        let best = (0..self.times.len()).filter(|class| !self.set.classes[*class].retired);
        let best = best.map(|class| self.density(class)).fold(0.0, f64::max);
        // Guards the class that bears most of the refusals, as the worst served counts, unless they are tried
        // again; harms the worthier ones.
        let lost = 1.0 - (self.further.value / WALK_FURTHER).min(1.0);
        let bears = self.refused_of[class].faded(self.now, &ARRIVALS_SPAN)
            - self.refused.faded(self.now, &ARRIVALS_SPAN);
        let worth =
            ((self.density(class) / best.max(1e-9)).sqrt() + FAIR_SHARE * lost * bears.max(0.0)).min(1.0);
        let grade = worth * self.within_share(request.tenant, further);
        let order = micros(aim_at + (1.0 - grade) * self.set.classes[class].aim_ms);
        let fresh =
            Entry { class, arrival, due, aim_at, kb, booked_kb: kb, hint, keep_until, ..Entry::default() };
        self.table.insert(id, Entry { grade, order, must_call, optional, ..fresh });
        self.dues.insert((micros(due), id));
        self.ledger.requests_kb += kb;
        let Some(RequestId(earlier)) = request.earlier else { return true };
        let phase = self.table.get(&earlier).map(|entry| entry.phase);
        let run_failed = self.ledger.keys.get(&earlier).is_some_and(|(_, failed)| *failed);
        let comes_later = || batch.iter().any(|e| matches!(e, Event::Request(r) if r.id.0 == earlier));
        match (effect, phase) {
            // Two tries in one batch name each other: the first is taken as new, the second sees the first.
            (_, None) if comes_later() && !self.ledger.keys.contains_key(&earlier) => true,
            // The newest try carries a keyed request: the caller of an older one has mostly given up.
            (Effect::Keyed, Some(Phase::Held)) => {
                self.refuse(earlier, out);
                true
            }
            (Effect::Unsafe, _) => true,
            // Waiting repeats cannot be shed; guards the memory against a pile of them at the cost of errors.
            (Effect::Safe, _) if !self.ledger.fits(0.0, MEMORY_MARKS.1) => true,
            _ if run_failed || !self.ledger.fits(0.0, MEMORY_MARKS.1) => {
                self.fail(id, out);
                false
            }
            _ => {
                self.set_phase(id, Phase::Reusing);
                out.push(Action::Reuse(request.id));
                false
            }
        }
    }

    /// The part of its worth to expect: what a tenant sends beyond its share is worth little, and unmarked.
    /// Only first tries count, or a refused tenant would look like a busy one. Guards against one customer
    /// that crowds out the others; harms where callers spread a tenant unevenly.
    pub(super) fn within_share(&mut self, tenant: usize, further: bool) -> f64 {
        let Some(count) = self.tenant_counts.get_mut(tenant) else { return 1.0 };
        let even = self.set.tenants[tenant].quota_per_s * TRAFFIC_SPAN.ms / 1000.0;
        let even = even / f64::from(self.set.servers.max(1));
        let others = count.faded(self.now, &TRAFFIC_SPAN);
        let within = if even > 0.0 && others > even { even / others } else { 1.0 };
        if !further {
            count.count(self.now, &TRAFFIC_SPAN);
        }
        (within + (1.0 - within) * self.set.over_share_worth).powi(SHARE_POWER)
    }

    pub(super) fn density(&self, class: usize) -> f64 {
        let worth = self.set.classes[class].worth;
        if self.set.worth_by_work { worth } else { worth / self.times[class].slot.value.max(1.0) }
    }

    /// The companion's gate: while work is held, a request that would be late by its prediction is refused on
    /// arrival. The bound is the time left, and the aim where a later answer keeps little of its worth; the
    /// less a unit of its work is worth, the earlier it is turned away.
    pub(super) fn admit(&mut self, id: u32, out: &mut Vec<Action>) {
        let Some(entry) = self.table.get(&id) else { return };
        let class = &self.set.classes[entry.class];
        let too_late = !fault_injection::is_active(InjectedFault::RunsAfterGrace)
            && self.leaving.is_some_and(|leaving| entry.arrival > leaving.last_arrival);
        let key_kb = entry.keep_until.map_or(0.0, |_| self.set.key_kb);
        let call_wait = if entry.must_call && !self.calls.is_empty() { self.call_wait_ms() } else { 0.0 };
        let mut refused = too_late || self.exhausted || !self.ledger.fits(key_kb, MEMORY_MARKS.0);
        if !self.hold.is_empty() || self.reading_lags(UNREAD_PART) || call_wait > 0.0 {
            let bound = if class.late_worth > LATE_KEEPS { entry.due } else { entry.aim_at.min(entry.due) };
            let spare = bound - self.now - self.finish_ms(entry);
            refused |= self.wait_ms(entry.order, entry.grade).max(call_wait) + self.unread_ms()
                > spare * entry.grade;
        }
        let share = f64::from(u8::from(refused));
        self.refused.add(self.now, share, &ARRIVALS_SPAN);
        self.refused_of[entry.class].add(self.now, share, &ARRIVALS_SPAN);
        if refused {
            return self.refuse(id, out);
        }
        if let Some(until) = entry.keep_until {
            self.ledger.keep(id, until);
            out.push(Action::Keep { id: RequestId(id), for_ms: (until - self.now).max(1.0) });
        }
        self.hold.insert((entry.order, id));
    }

    /// Work held unread is work held. Guards against a flood read after its callers have left: retry storms,
    /// surges, slow or cold cores. Harms where a pause alone made requests wait.
    pub(super) fn reading_lags(&self, part: f64) -> bool {
        let classes = self.set.classes.iter().filter(|class| !class.retired);
        let aim = classes.map(|class| class.aim_ms).fold(f64::INFINITY, f64::min);
        self.unread_ms() > part * aim
    }

    /// How long a request that must call waits for its call, behind all others that must.
    pub(super) fn call_wait_ms(&self) -> f64 {
        let must = |entry: &&Entry| entry.must_call && entry.phase != Phase::Reusing && !entry.answered;
        self.budget.wait_ms(self.table.values().filter(must).count() as f64)
    }

    pub(super) fn unread_ms(&self) -> f64 {
        self.unread.faded(self.now, &UNREAD_SPAN)
    }

    /// Time until the work held has begun that is ahead in the order, or worthier and would be pushed back.
    pub(super) fn wait_ms(&self, order: i64, grade: f64) -> f64 {
        let held = self.hold.iter().filter_map(|(_, id)| self.table.get(id));
        let before = held.filter(|entry| entry.order < order || entry.grade > grade);
        let work_ms: f64 = before.map(|entry| self.times[entry.class].expect(entry.hint)).sum();
        work_ms * self.pace / self.limit.limit.floor()
    }

    pub(super) fn finish_ms(&self, entry: &Entry) -> f64 {
        let times = &self.times[entry.class];
        times.expect(entry.hint) * self.pace + times.parked.value
    }
}
