//! The life of a node: the processor comes up, settings change, the notice to leave comes.

use std::rc::Rc;
use std::time::Duration;

use log::{info, warn};

use super::catalog::Catalog;
use super::core::Exchange;
use super::entry::Timer;
use super::time::span;
use crate::config::Site;
use crate::interface::Event;
use crate::logic::Controller;

/// How long before a request is due it is answered whatever the decision module does, in ms.
pub(super) const FAILSAFE_MARGIN_MS: f64 = 20.0;
/// How much sooner than its process is stopped a node is done with all requests, in ms.
const STOP_MARGIN_MS: f64 = 250.0;
/// A class that was dropped is served for this long still: front ends hear of it a second or two late.
const RETIRES: Duration = Duration::from_secs(3);
/// A start of the processor that it tells this much later than the one before is another, in ms: the way of its word.
const RESTARTED_MS: f64 = 500.0;

impl Exchange {
    /// The notice to leave: what is open is answered before the process is stopped.
    pub(super) fn drain(&mut self, stop_in_ms: f64) {
        info!("draining: {} requests open, {stop_in_ms} ms to the stop", self.entries.len());
        self.draining = true;
        // The process may be stopped before the next report is due.
        self.anomalies.hurry();
        self.report_anomalies();
        self.grace_ends = self.grace_ends.min(self.clock.now() + self.site.settings.drain_grace_ms);
        self.update_status();
        if self.processor_is_up {
            self.answer_all_by(self.clock.now() + (stop_in_ms - STOP_MARGIN_MS).max(0.0));
        }
    }

    /// Has all that is open answered by then, however long its callers would wait.
    pub(super) fn answer_all_by(&mut self, stop_at: f64) {
        // A further notice does not put the stop off.
        let stop_at = self.stop_at.min(stop_at);
        self.stop_at = stop_at;
        let left = self.failsafe_delay(stop_at);
        for entry in self.entries.values_mut().filter(|entry| entry.due > stop_at) {
            entry.due = stop_at;
            if let Some(failsafe) = &entry.failsafe_timer {
                self.timers.reset(failsafe, left);
            }
        }
        self.events.push(Event::Drain { stop_at });
    }

    /// How long the failsafe of a request that is due then has to wait.
    pub(super) fn failsafe_delay(&self, due: f64) -> Duration {
        span(due - FAILSAFE_MARGIN_MS - self.clock.now())
    }

    /// Works on under new settings. Callers hear of them later than the node: for a while a class that was
    /// dropped is served beside those that were added.
    pub(super) fn apply_settings(&mut self, new: Site) {
        let mut site = self.site.retuned(new);
        // What the processor said of itself at its start holds whatever the new file says.
        site.settings.cold |= self.site.settings.cold;
        if let Err(problem) = self.controller.update_settings(site.settings.clone()) {
            return warn!("the settings stay as they were: {problem}");
        }
        for (class, (old, new)) in self.site.settings.classes.iter().zip(&site.settings.classes).enumerate() {
            self.idempotency.extend_windows(class, new.window_ms - old.window_ms);
        }
        if site.settings.say != self.site.settings.say {
            // Guards against a value that callers take for another one; the module tells the next in a period.
            self.node_status.level = None;
        }
        self.site = site;
        self.settings_revision += 1;
        self.publish_catalog(true);
        self.timers.insert(Timer::RetiredClasses(self.settings_revision), RETIRES);
    }

    pub(super) fn publish_catalog(&self, with_retired: bool) {
        self.outputs.catalog_sender.send_replace(Rc::new(Catalog::of(&self.site, with_retired)));
    }

    /// Shows how the node stands after a change of what it wants or is told.
    pub(super) fn update_status(&mut self) {
        let wished_away = self.maintenance || self.node_status.standby;
        self.node_status.healthy = self.wants_traffic && !wished_away;
        self.node_status.ready =
            self.processor_is_up && !self.draining && self.successor.is_none() && !wished_away;
    }

    /// Starts the decision module with the processor, whose age tells how far it has warmed. One that has started anew
    /// since is cold once more; what the module has learned stays.
    pub(super) fn processor_up(&mut self, cold: bool, age_ms: f64) {
        self.query_all_runs();
        let started = self.clock.now() - age_ms.max(0.0);
        let before = std::mem::replace(&mut self.processor_started_at, started);
        if self.processor_is_up && cold && started - before > RESTARTED_MS {
            info!("the processor has started anew, cold, since {age_ms} ms");
            self.site.settings.cold = true;
            let _ = self.controller.update_settings(self.site.settings.clone());
            self.controller.set_cold_start(started);
        }
        if self.draining || std::mem::replace(&mut self.processor_is_up, true) {
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
