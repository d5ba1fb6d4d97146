//! Changes of the node's state: the processor connects, settings change, the node drains or hands over.

use std::rc::Rc;
use std::time::Duration;

use log::{info, warn};

use super::catalog::Catalog;
use super::core::Exchange;
use super::entry::Timer;
use super::operator_state::Role;
use super::time::span;
use crate::config::Site;
use crate::interface::Event;
use crate::logic::Controller;

/// A request is answered this long before it is due even if the decision module has not decided, in ms.
pub(super) const FAILSAFE_MARGIN_MS: f64 = 20.0;
/// All requests are answered this long before the process is stopped, in ms.
const STOP_MARGIN_MS: f64 = 250.0;
/// In an upgrade SIGKILL follows SIGTERM after the longest deadline, taken as the first of these where it is longer, and
/// the second, in ms.
const MAX_DEADLINE_IN_STOP_MS: f64 = 3_000.0;
const STOP_AFTER_DEADLINE_MS: f64 = 700.0;
/// A removed class is still served for this long, as front ends learn of the removal a second or two late.
const RETIRED_CLASS_GRACE: Duration = Duration::from_secs(3);
/// Start times reported by the processor that differ by more than this, in ms, are different starts. Smaller
/// differences come from the delay of the messages.
const MIN_RESTART_GAP_MS: f64 = 500.0;

impl Exchange {
    /// Starts to drain: all open requests are answered before the process is stopped.
    pub(super) fn drain(&mut self, stop_in_ms: f64) {
        info!("draining: {} requests open, the process is stopped in {stop_in_ms} ms", self.entries.len());
        self.draining = true;
        self.update_status();
        if let Some(stop_at) = self.answer_all_before_stop(stop_in_ms) {
            self.events.push(Event::Drain { stop_at });
        }
    }

    /// Prepares the hand-over to the next process of this node, before which the requests open here are answered as in
    /// a drain. Health and load signal are the node's, which goes on to serve.
    pub(super) fn prepare_hand_over(&mut self, stop_in_ms: f64) {
        let stop_in_ms = stop_in_ms.min(self.earliest_kill_ms());
        info!("{} requests open, answered before this process is stopped", self.entries.len());
        if let Some(stop_at) = self.answer_all_before_stop(stop_in_ms) {
            self.events.push(Event::HandOver { stop_at });
        }
    }

    /// The earliest time after SIGTERM at which the platform kills the old process of an upgrade, in ms.
    fn earliest_kill_ms(&self) -> f64 {
        let deadlines = self.site.settings.classes.iter().map(|class| class.deadline_ms);
        deadlines.fold(0.0, f64::max).min(MAX_DEADLINE_IN_STOP_MS) + STOP_AFTER_DEADLINE_MS
    }

    /// Has all open requests answered in good time before a stop, and nothing run that is read after the grace. Returns
    /// the time of the stop for the decision module, which is not running before the processor is up.
    fn answer_all_before_stop(&mut self, stop_in_ms: f64) -> Option<f64> {
        // The process may be stopped before the next regular report.
        self.anomalies.hurry();
        self.report_anomalies();
        let now = self.clock.now();
        self.grace_ends = self.grace_ends.min(now + self.site.settings.drain_grace_ms);
        self.processor_is_up.then(|| self.answer_all_by(now + (stop_in_ms - STOP_MARGIN_MS).max(0.0)))
    }

    /// Has all open requests answered by `stop_at`, even if their callers would wait longer. Returns the time that is
    /// in force.
    fn answer_all_by(&mut self, stop_at: f64) -> f64 {
        // A repeated notice does not postpone the stop.
        let stop_at = self.stop_at.min(stop_at);
        self.stop_at = stop_at;
        let delay = self.failsafe_delay(stop_at);
        for entry in self.entries.values_mut().filter(|entry| entry.due > stop_at) {
            entry.due = stop_at;
            if let Some(failsafe) = &entry.failsafe_timer {
                self.timers.reset(failsafe, delay);
            }
        }
        stop_at
    }

    /// Time until the failsafe of a request that is due at `due`.
    pub(super) fn failsafe_delay(&self, due: f64) -> Duration {
        span(due - FAILSAFE_MARGIN_MS - self.clock.now())
    }

    /// Applies new settings. Callers learn of them later than the node, so a removed class is served for a while next
    /// to the added ones.
    pub(super) fn apply_settings(&mut self, new: Site) {
        let mut site = self.site.retuned(new);
        // A processor that reported a cold start stays cold, whatever the new file says.
        site.settings.cold |= self.site.settings.cold;
        if let Err(problem) = self.controller.update_settings(site.settings.clone()) {
            return warn!("new settings rejected, the previous ones stay in force: {problem}");
        }
        for (class, (old, new)) in self.site.settings.classes.iter().zip(&site.settings.classes).enumerate() {
            self.idempotency.extend_windows(class, new.window_ms - old.window_ms);
        }
        if site.settings.say != self.site.settings.say {
            // Callers would misread a value of the old kind. The decision module sends a new one within a period.
            self.node_status.level = None;
        }
        self.site = site;
        self.settings_revision += 1;
        self.publish_catalog(true);
        self.timers.insert(Timer::RetiredClasses(self.settings_revision), RETIRED_CLASS_GRACE);
    }

    /// Publishes the catalog of classes that requests may name, with or without removed ones that are still served.
    pub(super) fn publish_catalog(&self, with_retired: bool) {
        self.outputs.catalog_sender.send_replace(Rc::new(Catalog::of(&self.site, with_retired)));
    }

    /// Updates whether the node reports itself healthy and ready.
    pub(super) fn update_status(&mut self) {
        let away_requested = self.node_status.operator.is_away();
        self.node_status.healthy = self.wants_traffic && !away_requested;
        let may_serve = match self.node_status.role {
            Role::Waiting => true,
            Role::Serving => !away_requested,
            Role::HandedOver => false,
        };
        self.node_status.ready = self.processor_is_up && !self.draining && may_serve;
    }

    /// Handles a processor that has connected, `age_ms` after its start, which tells how far it has warmed up. On the
    /// first connection the decision module is started; after a cold restart it is told that the cores are cold, and
    /// keeps what it has learned.
    pub(super) fn processor_up(&mut self, cold: bool, age_ms: f64) {
        self.query_all_runs();
        let started = self.clock.now() - age_ms.max(0.0);
        let previous_start = std::mem::replace(&mut self.processor_started_at, started);
        if self.processor_is_up && cold && started - previous_start > MIN_RESTART_GAP_MS {
            info!("the processor has restarted cold {age_ms} ms ago");
            self.site.settings.cold = true;
            let _ = self.controller.update_settings(self.site.settings.clone());
            self.controller.set_cold_start(started);
        }
        let is_leaving = self.grace_ends.is_finite();
        if is_leaving || std::mem::replace(&mut self.processor_is_up, true) {
            return;
        }
        info!("the processor is up, {} since {age_ms} ms", if cold { "cold" } else { "warm" });
        self.site.settings.cold |= cold;
        if let Ok(controller) = Controller::new(self.seed, self.site.settings.clone()) {
            self.controller = controller;
        }
        self.reserve_predecessor_resources();
        self.run_controller(started, &[]);
    }
}
