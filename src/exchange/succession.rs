//! Handover from one process of a node to the next. The old process sends its idempotency keys and finishes its open
//! requests; the new one runs nothing that the old one may have run. If a third process takes over before the first has
//! ended, the second passes on to it what the first reports, and ends after the first.

use log::{info, warn};
use tokio::sync::mpsc;

use super::core::Exchange;
use super::entry::Timer;
use super::handed::{HandedOverKey, HandedOverState, HandoverMessage, PredecessorResources, StartServing};
use super::idempotency::{Key, KeyState};
use super::next_request_id;
use super::operator_state::{OperatorState, Role};
use super::runs::repeat_window_ms;
use super::time::span;
use crate::interface::RequestId;
use crate::logic::ReservedCapacity;

/// Upper bound of a repeat window that is handed over, in ms: 30 days.
const MAX_WINDOW_LEFT_MS: f64 = 30.0 * 86_400_000.0;

/// Period over which the peak of `on_cores` bounds the number of runs that the previous process left, in ms. It is
/// longer than a run waits for a disk, so that such a run, which wants no core meanwhile, is not missed.
const PEAK_PERIOD_MS: f64 = 1_000.0;

/// Estimates from the gauges how many runs of a process that has ended are still on the processor.
pub(super) struct PredecessorRunEstimate {
    since: f64,
    peak: f64,
}

impl PredecessorRunEstimate {
    fn starting_at(now: f64) -> Self {
        Self { since: now, peak: 0.0 }
    }

    /// Takes a gauge reading. At the end of each period, returns how many runs may be left.
    fn sample(&mut self, now: f64, on_cores: f64) -> Option<u32> {
        self.peak = self.peak.max(on_cores);
        if now - self.since < PEAK_PERIOD_MS {
            return None;
        }
        let peak = std::mem::replace(self, Self::starting_at(now)).peak;
        Some(peak.floor() as u32)
    }
}

impl Exchange {
    /// Waits for the turn of this process.
    pub(super) fn await_turn(&mut self) {
        self.node_status.role = Role::Waiting;
        self.update_status();
    }

    /// Begins the turn of this process, where it has waited for it.
    fn start_serving(&mut self) {
        if self.node_status.role == Role::Waiting {
            self.node_status.role = Role::Serving;
        }
        self.update_status();
    }

    /// Sends all keys to the next process and tells it to serve from now on.
    pub(super) fn hand_over(&mut self, successor: mpsc::UnboundedSender<HandoverMessage>) {
        info!("handing over with {} requests open", self.entries.len());
        self.successor = Some(successor);
        self.node_status.role = Role::HandedOver;
        let keys: Vec<Key> = self.idempotency.operations().cloned().collect();
        keys.iter().for_each(|key| self.hand_over_key(key));
        self.send_to_successor(HandoverMessage::StartServing(StartServing {
            seed: self.idempotency.seed(),
            resources: self.resources(),
            standby: self.node_status.operator.standby,
            maintenance: self.node_status.operator.maintenance,
        }));
        self.update_status();
    }

    /// Resources that the requests of this process use, and those of the process before, which reports to this one.
    fn resources(&self) -> PredecessorResources {
        let controller = &self.controller;
        let before = &self.predecessor_resources;
        PredecessorResources {
            booked_kb: controller.booked_kb() + before.booked_kb,
            runs: controller.runs().saturating_add(before.runs),
            calls: controller.calls().saturating_add(before.calls),
        }
    }

    /// Sends the resources that are still used here to the next process, if there is one and they have changed.
    pub(super) fn report_resources(&mut self) {
        let resources = self.resources();
        if self.successor.is_some() && std::mem::replace(&mut self.reported_resources, resources) != resources
        {
            self.send_to_successor(HandoverMessage::Resources(resources));
        }
    }

    fn send_to_successor(&self, message: HandoverMessage) {
        if let Some(successor) = &self.successor {
            // Fails only if the next process has ended.
            let _ = successor.send(message);
        }
    }

    /// Sends the state of a key to the next process, if there is one.
    pub(super) fn hand_over_key(&self, key: &Key) {
        let (Some(_), Key::Operation(class, operation)) = (&self.successor, key) else { return };
        let row = self.idempotency.record(key);
        let state = match row.map(|row| &row.state) {
            None => HandedOverState::Free,
            Some(KeyState::Held | KeyState::Running) => HandedOverState::Open,
            Some(KeyState::Served(result)) => HandedOverState::Served(result.clone()),
            Some(KeyState::Failed) => HandedOverState::Failed,
        };
        let now = self.clock.now();
        let received = row.and_then(|row| self.entries.get(&row.holder)).map_or(now, |entry| entry.received);
        // A held request may still begin in this process, so its window is that of a run.
        let until = match row.map(|row| row.until) {
            Some(until) if until.is_finite() => until,
            Some(_) => self.repeat_window_end(*class, received),
            None => 0.0,
        };
        self.send_to_successor(HandoverMessage::Key(HandedOverKey {
            class: self.site.classes[*class].clone(),
            operation: operation.to_string(),
            digest: row.map_or(0, |row| row.digest),
            until,
            left_ms: Some((until - now).max(0.0)),
            state,
        }));
    }

    /// Handles a message of the previous process.
    pub(super) fn receive_handover(&mut self, message: HandoverMessage) {
        match message {
            HandoverMessage::Key(key) => self.adopt_key(key),
            HandoverMessage::StartServing(start) => {
                info!("taking over with {} keys", self.idempotency.operations().count());
                self.idempotency.set_seed(start.seed);
                self.predecessor_is_open = true;
                self.predecessor_resources = start.resources;
                self.reserve_predecessor_resources();
                let StartServing { standby, maintenance, .. } = start;
                self.node_status.operator = OperatorState { standby, maintenance };
                self.start_serving();
            }
            HandoverMessage::Resources(resources) => {
                self.predecessor_resources = resources;
                self.reserve_predecessor_resources();
                self.report_resources();
            }
        }
    }

    /// Enters a key of the previous process in the idempotency table, or updates its state.
    fn adopt_key(&mut self, handed: HandedOverKey) {
        let HandedOverKey { class, operation, digest, left_ms, state, .. } = handed;
        // No request can name a class that no longer exists.
        let Some(class) = self.site.classes.iter().position(|name| *name == class) else { return };
        let key = Key::Operation(class, operation.into());
        let holder = self.predecessor_keys.get(&key).copied();
        if state == HandedOverState::Free {
            if let Some(holder) = holder {
                self.release_predecessor_key(&key, holder);
            }
            return;
        }
        let holder = holder.unwrap_or_else(|| {
            let holder = next_request_id(&self.next_id);
            let left_ms = self.remaining_window_ms(class, left_ms);
            self.idempotency.adopt(key.clone(), holder, self.clock.now() + left_ms, digest);
            self.predecessor_keys.insert(key.clone(), holder);
            let keep_ms = left_ms + self.site.settings.classes[class].deadline_ms;
            self.timers.insert(Timer::KeyExpiry(key.clone(), holder), span(keep_ms));
            holder
        });
        match state {
            HandedOverState::Served(result) => {
                self.end_predecessor_key(&key, holder, KeyState::Served(result))
            }
            HandedOverState::Failed => self.end_predecessor_key(&key, holder, KeyState::Failed),
            HandedOverState::Open | HandedOverState::Free => {}
        }
    }

    /// Time left in the repeat window of a key that is handed over, in ms, as the previous process reports it. If
    /// that process is of a version that sends only a time of its own clock, the whole window, which is never too
    /// short.
    fn remaining_window_ms(&self, class: usize, left_ms: Option<f64>) -> f64 {
        let reported = left_ms.filter(|ms| ms.is_finite()).map(|ms| ms.clamp(0.0, MAX_WINDOW_LEFT_MS));
        reported.unwrap_or_else(|| repeat_window_ms(&self.site.settings, class))
    }

    /// Ends a key that the previous process had open, and answers the requests that wait for it here.
    fn end_predecessor_key(&mut self, key: &Key, holder: RequestId, state: KeyState) {
        self.predecessor_keys.remove(key);
        let waiting = self.idempotency.end(key, holder, state.clone(), None);
        self.hand_over_key(key);
        self.share_with_waiting(waiting, &state);
    }

    /// Frees a key whose try never ran in the previous process, and answers the requests that wait for it here.
    fn release_predecessor_key(&mut self, key: &Key, holder: RequestId) {
        self.predecessor_keys.remove(key);
        let waiting = self.idempotency.end(key, holder, KeyState::Failed, None);
        self.idempotency.expire(key, holder);
        self.hand_over_key(key);
        self.share_with_waiting(waiting, &KeyState::Failed);
    }

    /// Handles the end of the previous process. Keys whose end it did not report may have run, and fail. Runs that it
    /// left on the processor go on: their resources are released as the gauges show that they have ended. Its calls
    /// were given up with its connections, but may still be running at the dependency.
    pub(super) fn predecessor_ended(&mut self) {
        self.start_serving();
        self.predecessor_is_open = false;
        let PredecessorResources { booked_kb, runs, calls } = std::mem::take(&mut self.predecessor_resources);
        self.controller.add_lingering_calls(self.clock.now(), calls);
        if runs > 0 {
            warn!(
                "the previous process has left {runs} runs with {booked_kb:.0} kB: their capacity stays reserved"
            );
            self.predecessor_resources = PredecessorResources { booked_kb, runs, calls: 0 };
            self.predecessor_runs = Some(PredecessorRunEstimate::starting_at(self.clock.now()));
        }
        self.reserve_predecessor_resources();
        for (key, holder) in std::mem::take(&mut self.predecessor_keys) {
            self.end_predecessor_key(&key, holder, KeyState::Failed);
        }
    }

    /// Lowers the number of runs that the previous process left to the recent peak of runs that wanted a core. None
    /// of them waits for a call, as no process is there to answer it.
    pub(super) fn update_predecessor_runs(&mut self, on_cores: Option<f64>) {
        let now = self.clock.now();
        let (Some(estimate), Some(on_cores)) = (&mut self.predecessor_runs, on_cores) else { return };
        let Some(left) =
            estimate.sample(now, on_cores).filter(|left| *left < self.predecessor_resources.runs)
        else {
            return;
        };
        if left == 0 {
            info!("no run of the previous process is left on the cores: its reserved capacity is free");
            self.predecessor_runs = None;
            self.predecessor_resources = PredecessorResources::default();
        } else {
            self.predecessor_resources.runs = left;
        }
        self.reserve_predecessor_resources();
    }

    /// Reserves in the decision module the memory, the concurrency on the cores and the calls that the previous
    /// process still uses.
    pub(super) fn reserve_predecessor_resources(&mut self) {
        let PredecessorResources { booked_kb, runs, calls } = self.predecessor_resources;
        self.controller.set_reserved(ReservedCapacity { booked_kb, runs, calls });
    }
}
