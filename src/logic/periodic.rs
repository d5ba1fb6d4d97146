//! Work of each wake-up (run limit, dimmer, load signal, idle connections), and the start of a drain.

use super::*;

/// Runs count as stalled beyond the first multiple of their expected age; the second bounds the resulting
/// factor on predictions.
pub(super) const SLOWDOWN_RANGE: (f64, f64) = (1.5, 10.0);
/// Core use above this counts as high.
pub(super) const HIGH_CORE_USE: f64 = 0.9;
/// Lowest weight announced, so that callers still try this server now and then; and the multiple of an
/// equal part of the capacity that each caller may use: callers are uneven, and capacity that one leaves
/// unused is of no use to the others.
pub(super) const MIN_WEIGHT: f64 = 0.05;
pub(super) const CREDIT_FACTOR: f64 = 2.0;
/// Idle connections per core that stay open: while the cores are busy, as each takes core time from runs,
/// and while the cores are idle, when a new connection costs more than an open one.
pub(super) const IDLE_CONNECTIONS_PER_CORE: (f64, f64) = (3.0, 24.0);
/// A caller that returns sooner than this, in ms, is worth its idle connection on busy cores too.
pub(super) const FREQUENT_CALLER_GAP_MS: f64 = 5000.0;
/// In a flood, idle connections stay open this many times longer with each period, and as many times
/// shorter after it.
pub(super) const IDLE_TIME_STEP: f64 = 2.0;
/// Unread time, as a part of the shortest aim, from which new connections count as a flood. It is
/// multiplied by the time a caller takes to return relative to `FREQUENT_CALLER_GAP_MS`: the longer that
/// is, the less an open connection saves.
pub(super) const FLOOD_UNREAD_SHARE: f64 = 0.01;

impl Controller {
    /// The periodic step: run limit, dimmer, load signal, idle connections.
    pub(super) fn tick(&mut self, gauges: &Gauges, out: &mut Vec<Action>) {
        out.push(Action::Wake { after_ms: WAKE_MS });
        self.update_orphaned(out);
        let waiting = !self.held.is_empty() && !self.reading_lags(MAX_UNREAD_SHARE);
        self.run_limit.update(self.now, gauges, f64::from(self.running), waiting, self.survivable_runs());
        // Detects a stall before any run has finished. After unusually long runs it could refuse too much.
        let (mut age_ms, mut expected_ms) = (0.0, 1.0);
        for entry in self.requests.values().filter(|entry| entry.phase == Phase::Running) {
            age_ms += self.now - entry.started_at - entry.parked_ms;
            expected_ms += self.run_times[entry.class].expected_ms(entry.hint_ms);
        }
        self.slowdown = (self.run_time_ratio.value.max(age_ms / expected_ms) / SLOWDOWN_RANGE.0)
            .clamp(1.0, SLOWDOWN_RANGE.1);
        if self.now >= self.dimmer.next_step_at {
            let call_congestion =
                if self.waiting_calls.is_empty() { 0.0 } else { self.call_budget.congestion() };
            let pressed =
                self.run_limit.core_use > HIGH_CORE_USE || !self.held.is_empty() || call_congestion > 1.0;
            self.dimmer.step(self.now, pressed, call_congestion);
            self.send_load_signal(out);
            self.close_idle_connections(out);
        }
    }

    /// Keeps the connection table from being filled by callers that will not return soon (Little's law),
    /// and from a flood of new connections by keeping more of the old ones open. Callers without a
    /// connection are turned away while those that hold one do not return.
    pub(super) fn close_idle_connections(&mut self, out: &mut Vec<Action>) {
        let callers = f64::from(self.settings.callers);
        let return_gap_ms = callers * TRAFFIC_SPAN.ms / self.arrival_count.value.max(1.0);
        let busy =
            if return_gap_ms < FREQUENT_CALLER_GAP_MS { 0.0 } else { self.run_limit.core_use.min(1.0) };
        let max_idle = (IDLE_CONNECTIONS_PER_CORE.0 * busy + IDLE_CONNECTIONS_PER_CORE.1 * (1.0 - busy))
            * self.run_limit.cores;
        if self.settings.idle_ms > 0.0 && callers > IDLE_CONNECTIONS_PER_CORE.0 * self.run_limit.cores {
            let turnover_ms =
                if callers > max_idle { return_gap_ms * max_idle / callers } else { self.settings.idle_ms };
            let unread_share = FLOOD_UNREAD_SHARE * return_gap_ms / FREQUENT_CALLER_GAP_MS;
            let flooded = self.run_limit.core_use > HIGH_CORE_USE && self.reading_lags(unread_share);
            self.idle_time_factor *= if flooded { IDLE_TIME_STEP } else { 1.0 / IDLE_TIME_STEP };
            self.idle_time_factor = self.idle_time_factor.min(self.settings.idle_ms / turnover_ms).max(1.0);
            let after_ms = (turnover_ms * self.idle_time_factor).min(self.settings.idle_ms);
            out.push(Action::CloseIdle { after_ms });
        }
    }

    /// Requests that are useful here at once: those that may run, and those that can wait for a run to end
    /// within their aims (Little's law). A slow server has fewer; refusals use none.
    pub(super) fn useful_requests(&self) -> f64 {
        let classes = self.settings.classes.iter().zip(&self.run_times).filter(|(class, _)| !class.retired);
        let sum = |(aim_ms, slot_ms), (class, times): (&Class, &RunTimes)| {
            (aim_ms + class.aim_ms, slot_ms + times.slot_ms.value)
        };
        let (aims_ms, slots_ms) = classes.fold((0.0, 0.0), sum);
        self.run_limit.limit * (1.0 + aims_ms / slots_ms.max(1.0))
    }

    /// Sends the load signal: the share of the normal traffic that is wanted, what is not refused at
    /// present, or how many requests each caller may have here. Refused requests use no capacity, so
    /// refusals do not lower the last one.
    pub(super) fn send_load_signal(&mut self, out: &mut Vec<Action>) {
        let admitted_share = 1.0 - self.refusal_rate.decayed(self.now, &ARRIVALS_SPAN);
        let speed = if self.draining { 0.0 } else { self.warm_up_speed() };
        let wanted_share = admitted_share.min(speed);
        let value = match self.settings.say {
            SayKind::Off => return,
            SayKind::Weight => wanted_share.max(MIN_WEIGHT),
            SayKind::Level => 1.0 - wanted_share,
            // Callers that outnumber the capacity may still send one each: most have no request here at any
            // time.
            SayKind::Credit => {
                speed
                    * (CREDIT_FACTOR * self.useful_requests() / f64::from(self.settings.callers.max(1)))
                        .max(1.0)
            }
        };
        out.push(Action::Say(value));
    }

    /// Starts a drain: requests become due at `stop_at` at the latest, and health checks fail from now on.
    pub(super) fn drain(&mut self, stop_at: f64, out: &mut Vec<Action>) {
        if std::mem::replace(&mut self.draining, true) {
            return;
        }
        self.plan_stop(stop_at);
        out.push(Action::Health { good: false });
        self.send_load_signal(out);
    }

    /// Has all requests due at `stop_at` at the latest, and refuses those that arrive after the grace. The
    /// first stop counts.
    pub(super) fn plan_stop(&mut self, stop_at: f64) {
        if self.planned_stop.is_some() {
            return;
        }
        let stop_at = if stop_at.is_finite() { stop_at } else { self.now };
        let last_arrival = self.now + self.settings.drain_grace_ms;
        self.planned_stop = Some(PlannedStop { last_arrival, stop_at });
        self.due_order.clear();
        for (id, entry) in self.requests.iter_mut().filter(|(_, entry)| !entry.answered) {
            entry.due = entry.due.min(stop_at);
            self.due_order.insert((micros(entry.due), *id));
        }
    }
}
