//! Admission control: ranks each new request, queues it and refuses on arrival what would be answered too
//! late.

use super::*;

/// A class is planned up to its due time rather than its aim if a late answer keeps more than this share of
/// its worth.
pub(super) const MIN_LATE_WORTH: f64 = 0.5;
/// Multiple of the difference between a class's refusal rate and the mean rate that is added to the class's
/// worth.
pub(super) const REFUSAL_FAIRNESS: f64 = 2.0;
/// Exponent applied to the share of a tenant's traffic that is within its quota. All requests of a tenant
/// rank alike: a tenant that sends three times its quota must rank near the worth of a request beyond the
/// quota, while one that exceeds it by chance for a few seconds must not.
pub(super) const SHARE_EXPONENT: i32 = 3;

impl Controller {
    /// Registers a request that was read; returns false if it was already answered or is answered by a
    /// reuse.
    pub(super) fn register(&mut self, request: &Request, batch: &[Event], out: &mut Vec<Action>) -> bool {
        let id = request.id.0;
        if self.requests.contains_key(&id) {
            return false;
        }
        let Some(class) = self.settings.classes.get(request.class) else {
            out.push(Action::Refuse { id: request.id, stay_away_ms: 0.0, last: false });
            return false;
        };
        let waited_ms = finite_or_zero(request.waited_ms);
        let arrival = self.now - waited_ms;
        self.unread_wait.add(self.now, waited_ms, &UNREAD_SPAN);
        self.arrival_count.count_event(self.now, &TRAFFIC_SPAN);
        let nominal_due = request.due.filter(|due| due.is_finite()).unwrap_or(arrival + class.deadline_ms);
        let share_left =
            if request.due.is_some() { (nominal_due - arrival) / class.deadline_ms } else { 1.0 };
        let age_ms = self.caller_timeouts.age(share_left) * class.deadline_ms;
        let further = request.further || age_ms > 0.0;
        self.further_rate.add(self.now, f64::from(u8::from(further)), &ARRIVALS_SPAN);
        let due = nominal_due.max(self.now).min(self.planned_stop.map_or(f64::INFINITY, |stop| stop.stop_at));
        let (aim_at, effect) = (arrival + class.aim_ms - age_ms, class.effect);
        let optional_call = class.skip_worth > 0.0;
        let window_end = arrival + class.window_ms + DUE_MARGIN_MS + self.settings.answer_slack_ms;
        let retain_until = match effect {
            Effect::Keyed => Some(window_end),
            Effect::Safe if self.settings.fresh_ms > 0.0 => {
                request.key.map(|_| aim_at + self.settings.fresh_ms)
            }
            _ => None,
        };
        let hint_ms = request.hint_ms.filter(|hint_ms| hint_ms.is_finite() && *hint_ms > 0.0);
        let (class, held_kb, must_call) =
            (request.class, finite_or_zero(request.held_kb), class.calls && !optional_call);
        let best = (0..self.run_times.len()).filter(|class| !self.settings.classes[*class].retired);
        let best = best.map(|class| self.worth_density(class)).fold(0.0, f64::max);
        // Raises the class that is refused most, because service is judged by the worst-served class, at
        // the expense of classes of more worth. Does not apply while refused requests are retried
        // elsewhere.
        let fairness_weight = 1.0 - (self.further_rate.value / STOP_RETRIES_FURTHER_RATE).min(1.0);
        let excess_refusals = self.class_refusal_rates[class].decayed(self.now, &ARRIVALS_SPAN)
            - self.refusal_rate.decayed(self.now, &ARRIVALS_SPAN);
        let worth = ((self.worth_density(class) / best.max(1e-9)).sqrt()
            + REFUSAL_FAIRNESS * fairness_weight * excess_refusals.max(0.0))
        .min(1.0);
        let priority = worth * self.tenant_share_factor(request.tenant, further);
        let order = micros(aim_at + (1.0 - priority) * self.settings.classes[class].aim_ms);
        let base = Entry {
            class,
            arrival,
            due,
            aim_at,
            held_kb,
            booked_kb: held_kb,
            hint_ms,
            retain_until,
            ..Entry::default()
        };
        self.requests.insert(id, Entry { priority, order, must_call, optional_call, ..base });
        self.due_order.insert((micros(due), id));
        self.memory.requests_kb += held_kb;
        let Some(RequestId(earlier)) = request.earlier else { return true };
        let phase = self.requests.get(&earlier).map(|entry| entry.phase);
        let run_failed = self.memory.keys.get(&earlier).is_some_and(|(_, failed)| *failed);
        let comes_later = || batch.iter().any(|e| matches!(e, Event::Request(r) if r.id.0 == earlier));
        match (effect, phase) {
            // Two tries in one batch can each name the other as the earlier one: the first is taken as new,
            // and the second finds the first.
            (_, None) if comes_later() && !self.memory.keys.contains_key(&earlier) => true,
            // The newest try takes over a keyed request: the caller of an older one has usually given up.
            (Effect::Keyed, Some(Phase::Held)) => {
                self.refuse(earlier, out);
                true
            }
            (Effect::Unsafe, _) => true,
            // Repeats that wait for a result cannot be shed. Refusing to reuse bounds their memory at the
            // cost of errors.
            (Effect::Safe, _) if !self.memory.fits(0.0, MEMORY_THRESHOLDS.1) => true,
            _ if run_failed || !self.memory.fits(0.0, MEMORY_THRESHOLDS.1) => {
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

    /// Factor on the worth of a tenant's requests: traffic beyond the quota is worth little, and which
    /// requests are beyond it is not marked. Only first tries are counted, because retries would make a
    /// refused tenant look busy. Protects other tenants from one that sends too much; a tenant suffers if
    /// callers spread its requests unevenly over the servers.
    pub(super) fn tenant_share_factor(&mut self, tenant: usize, further: bool) -> f64 {
        let Some(count) = self.tenant_arrivals.get_mut(tenant) else { return 1.0 };
        let quota = self.settings.tenants[tenant].quota_per_s * TRAFFIC_SPAN.ms / 1000.0;
        let quota = quota / f64::from(self.settings.servers.max(1));
        let recent = count.decayed(self.now, &TRAFFIC_SPAN);
        let within_quota = if quota > 0.0 && recent > quota { quota / recent } else { 1.0 };
        if !further {
            count.count_event(self.now, &TRAFFIC_SPAN);
        }
        (within_quota + (1.0 - within_quota) * self.settings.over_share_worth).powi(SHARE_EXPONENT)
    }

    /// Worth of a class per millisecond of run time, or its plain worth if worth already counts per unit of
    /// work.
    pub(super) fn worth_density(&self, class: usize) -> f64 {
        let worth = self.settings.classes[class].worth;
        if self.settings.worth_by_work { worth } else { worth / self.run_times[class].slot_ms.value.max(1.0) }
    }

    /// Early admission: while work is held, a request that is predicted to be late is refused on arrival.
    /// The limit is the time left to its due time, or to its aim if a later answer keeps little worth. The
    /// less a unit of its work is worth, the earlier it is refused.
    pub(super) fn admit(&mut self, id: u32, out: &mut Vec<Action>) {
        let Some(entry) = self.requests.get(&id) else { return };
        let class = &self.settings.classes[entry.class];
        let too_late = !fault_injection::is_active(InjectedFault::RunsAfterGrace)
            && self.planned_stop.is_some_and(|stop| entry.arrival > stop.last_arrival);
        let key_kb = entry.retain_until.map_or(0.0, |_| self.settings.key_kb);
        let call_wait_ms =
            if entry.must_call && !self.waiting_calls.is_empty() { self.call_wait_ms() } else { 0.0 };
        let mut refused = too_late || self.exhausted || !self.memory.fits(key_kb, MEMORY_THRESHOLDS.0);
        if !self.held.is_empty() || self.reading_lags(MAX_UNREAD_SHARE) || call_wait_ms > 0.0 {
            let limit_at =
                if class.late_worth > MIN_LATE_WORTH { entry.due } else { entry.aim_at.min(entry.due) };
            let spare_ms = limit_at - self.now - self.expected_finish_ms(entry);
            refused |= self.queue_wait_ms(entry.order, entry.priority).max(call_wait_ms)
                + self.unread_wait_ms()
                > spare_ms * entry.priority;
        }
        let sample = f64::from(u8::from(refused));
        self.refusal_rate.add(self.now, sample, &ARRIVALS_SPAN);
        self.class_refusal_rates[entry.class].add(self.now, sample, &ARRIVALS_SPAN);
        if refused {
            return self.refuse(id, out);
        }
        if let Some(until) = entry.retain_until {
            self.memory.retain_key(id, until);
            out.push(Action::Keep { id: RequestId(id), for_ms: (until - self.now).max(1.0) });
        }
        self.held.insert((entry.order, id));
    }

    /// Whether requests wait too long before they are read; such requests count as held work. Protects
    /// against reading a flood after its callers have left (retry storms, surges, slow or cold cores);
    /// refuses too much if only a pause made requests wait.
    pub(super) fn reading_lags(&self, max_share: f64) -> bool {
        let classes = self.settings.classes.iter().filter(|class| !class.retired);
        let min_aim_ms = classes.map(|class| class.aim_ms).fold(f64::INFINITY, f64::min);
        self.unread_wait_ms() > max_share * min_aim_ms
    }

    /// Expected wait for a call of a request that cannot do without it, behind all other such requests.
    pub(super) fn call_wait_ms(&self) -> f64 {
        let must = |entry: &&Entry| entry.must_call && entry.phase != Phase::Reusing && !entry.answered;
        self.call_budget.expected_wait_ms(self.requests.values().filter(must).count() as f64)
    }

    /// Recent mean time between a request's arrival at the machine and its being read.
    pub(super) fn unread_wait_ms(&self) -> f64 {
        self.unread_wait.decayed(self.now, &UNREAD_SPAN)
    }

    /// Time until the held work has started that is ahead in the order, or that has a higher priority and
    /// would be pushed back.
    pub(super) fn queue_wait_ms(&self, order: i64, priority: f64) -> f64 {
        let held = self.held.iter().filter_map(|(_, id)| self.requests.get(id));
        let ahead = held.filter(|entry| entry.order < order || entry.priority > priority);
        let work_ms: f64 = ahead.map(|entry| self.run_times[entry.class].expected_ms(entry.hint_ms)).sum();
        work_ms * self.slowdown / self.run_limit.limit.floor()
    }

    /// Expected time from the start of a request's run to its answer, including the time at calls.
    pub(super) fn expected_finish_ms(&self, entry: &Entry) -> f64 {
        let run_times = &self.run_times[entry.class];
        run_times.expected_ms(entry.hint_ms) * self.slowdown + run_times.parked_ms.value
    }
}
