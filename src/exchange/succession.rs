//! One process of a node after the other: the old one hands its keys over and finishes what it has open, the new
//! one runs nothing that the old one may have run.

use log::{info, warn};
use tokio::sync::mpsc;

use super::core::Exchange;
use super::entry::Timer;
use super::handed::{HandedOverKey, HandedOverState, HandoverMessage, PredecessorResources, StartServing};
use super::idempotency::{Key, KeyState};
use super::next_request_id;
use super::runs::whole_ms;
use super::time::span;
use crate::interface::RequestId;
use crate::logic::ReservedCapacity;

/// No window that is handed over lasts longer than this, in ms: 30 days.
const MOST_LEFT_MS: f64 = 30.0 * 86_400_000.0;

/// Time over which the most that wanted a core bounds the runs that are left, in ms: longer than a run waits for a disk.
const REMAINS_WINDOW_MS: f64 = 1_000.0;

/// What the gauges have shown since the process before ended.
pub(super) struct OrphanedRunEstimate {
    since: f64,
    most: f64,
}

impl OrphanedRunEstimate {
    fn watched_from(now: f64) -> Self {
        Self { since: now, most: 0.0 }
    }

    /// Takes a reading; at the end of each window, how many runs may be left.
    fn look(&mut self, now: f64, on_cores: f64) -> Option<u32> {
        self.most = self.most.max(on_cores);
        if now - self.since < REMAINS_WINDOW_MS {
            return None;
        }
        let most = std::mem::replace(self, Self::watched_from(now)).most;
        Some(most.floor() as u32)
    }
}

impl Exchange {
    /// Tells the next process all keys, and that it is to serve from here on.
    pub(super) fn hand_over(&mut self, successor: mpsc::UnboundedSender<HandoverMessage>) {
        info!("handing over with {} requests open", self.entries.len());
        self.successor = Some(successor);
        let keys: Vec<Key> = self.idempotency.operations().cloned().collect();
        keys.iter().for_each(|key| self.hand_over_key(key));
        self.tell_successor(HandoverMessage::StartServing(StartServing {
            seed: self.idempotency.seed(),
            resources: self.room(),
            standby: self.node_status.standby,
            maintenance: self.maintenance,
        }));
        self.update_status();
    }

    /// What the requests of this process take.
    fn room(&self) -> PredecessorResources {
        let controller = &self.controller;
        PredecessorResources {
            booked_kb: controller.booked_kb(),
            runs: controller.runs(),
            calls: controller.calls(),
        }
    }

    /// Tells the next process, where there is one, what is still taken here.
    pub(super) fn report_resources(&mut self) {
        let room = self.room();
        if self.successor.is_some() && std::mem::replace(&mut self.reported_resources, room) != room {
            self.tell_successor(HandoverMessage::Resources(room));
        }
    }

    fn tell_successor(&self, handed: HandoverMessage) {
        if let Some(successor) = &self.successor {
            // Where it has ended, nobody is left to be told.
            let _ = successor.send(handed);
        }
    }

    /// Tells the next process, where there is one, how a key stands.
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
        // One that is held still may begin over here: its window is that of a run.
        let until = match row.map(|row| row.until) {
            Some(until) if until.is_finite() => until,
            Some(_) => self.repeat_window_end(*class, received),
            None => 0.0,
        };
        self.tell_successor(HandoverMessage::Key(HandedOverKey {
            class: self.site.classes[*class].clone(),
            operation: operation.to_string(),
            digest: row.map_or(0, |row| row.digest),
            until,
            left_ms: Some((until - now).max(0.0)),
            state,
        }));
    }

    /// Takes what the process before hands over.
    pub(super) fn receive_handover(&mut self, handed: HandoverMessage) {
        match handed {
            HandoverMessage::Key(key) => self.take_key(key),
            HandoverMessage::StartServing(turn) => {
                info!("taking over with {} keys", self.idempotency.operations().count());
                self.idempotency.set_seed(turn.seed);
                self.predecessor_resources = turn.resources;
                self.reserve_predecessor_resources();
                self.node_status.standby = turn.standby;
                self.maintenance = turn.maintenance;
                self.update_status();
            }
            HandoverMessage::Resources(room) => {
                self.predecessor_resources = room;
                self.reserve_predecessor_resources();
            }
        }
    }

    fn take_key(&mut self, handed: HandedOverKey) {
        let HandedOverKey { class, operation, digest, left_ms, state, .. } = handed;
        // Where the class is gone nobody can ask for it.
        let Some(class) = self.site.classes.iter().position(|name| *name == class) else { return };
        let key = Key::Operation(class, operation.into());
        let holder = self.predecessor_keys.get(&key).copied();
        if state == HandedOverState::Free {
            if let Some(holder) = holder {
                self.end_foreign(&key, holder, KeyState::Failed);
                self.idempotency.expire(&key, holder);
            }
            return;
        }
        let holder = holder.unwrap_or_else(|| {
            let holder = next_request_id(&self.next_id);
            let left_ms = self.left_of_window(class, left_ms);
            self.idempotency.adopt(key.clone(), holder, self.clock.now() + left_ms, digest);
            self.predecessor_keys.insert(key.clone(), holder);
            let lasts_ms = left_ms + self.site.settings.classes[class].deadline_ms;
            self.timers.insert(Timer::KeyExpiry(key.clone(), holder), span(lasts_ms));
            holder
        });
        match state {
            HandedOverState::Served(result) => self.end_foreign(&key, holder, KeyState::Served(result)),
            HandedOverState::Failed => self.end_foreign(&key, holder, KeyState::Failed),
            HandedOverState::Open | HandedOverState::Free => {}
        }
    }

    /// How long the window of a key lasts from its hand-over on, in ms: as long as the process before says, and at least
    /// the whole window where that is of a version that names a time of its own clock alone.
    fn left_of_window(&self, class: usize, left_ms: Option<f64>) -> f64 {
        let told = left_ms.filter(|ms| ms.is_finite()).map(|ms| ms.clamp(0.0, MOST_LEFT_MS));
        told.unwrap_or_else(|| whole_ms(&self.site.settings, class))
    }

    /// What another process had in hand is over: those that wait for it here are answered.
    fn end_foreign(&mut self, key: &Key, holder: RequestId, state: KeyState) {
        self.predecessor_keys.remove(key);
        let waiting = self.idempotency.end(key, holder, state.clone(), None);
        self.share_with_waiting(waiting, &state);
    }

    /// The process before has ended. What it has not told the end of may have run, and has no result. Runs that it had on the
    /// processor go on there: the room that they take is given back as the gauges show that they have ended. Its calls are
    /// given up, as its connections are closed, and linger.
    pub(super) fn predecessor_ended(&mut self) {
        let PredecessorResources { booked_kb, runs, calls } = std::mem::take(&mut self.predecessor_resources);
        self.controller.add_lingering_calls(self.clock.now(), calls);
        if runs > 0 {
            warn!("the process before has left {runs} runs with {booked_kb:.0} kB behind");
            self.predecessor_resources = PredecessorResources { booked_kb, runs, calls: 0 };
            self.orphaned_runs = Some(OrphanedRunEstimate::watched_from(self.clock.now()));
        }
        self.reserve_predecessor_resources();
        for (key, holder) in std::mem::take(&mut self.predecessor_keys) {
            self.end_foreign(&key, holder, KeyState::Failed);
        }
    }

    /// Reckons what is left of the runs of a process that has ended: no more than wanted a core at any time of late. None of
    /// them is at a call, as nobody is there to answer it.
    pub(super) fn update_orphaned_runs(&mut self, on_cores: Option<f64>) {
        let now = self.clock.now();
        let (Some(remains), Some(on_cores)) = (&mut self.orphaned_runs, on_cores) else { return };
        let Some(left) = remains.look(now, on_cores).filter(|left| *left < self.predecessor_resources.runs)
        else {
            return;
        };
        if left == 0 {
            info!("nothing of the process before is left on the cores");
            self.orphaned_runs = None;
            self.predecessor_resources = PredecessorResources::default();
        } else {
            self.predecessor_resources.runs = left;
        }
        self.reserve_predecessor_resources();
    }

    /// Leaves the decision module the memory, the crowd on the cores and the calls that the process before does not take.
    pub(super) fn reserve_predecessor_resources(&mut self) {
        let PredecessorResources { booked_kb, runs, calls } = self.predecessor_resources;
        self.controller.set_reserved(ReservedCapacity { booked_kb, runs, calls });
    }
}
