//! The event loop of the exchange: takes inputs in batches, passes the resulting events to the decision module, and
//! carries out its actions.

use std::cell::Cell;
use std::collections::HashMap;
use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;

use log::debug;
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::time::{DelayQueue, delay_queue};

use super::anomalies::Anomalies;
use super::catalog::Catalog;
use super::claims::ReplicationChannel;
use super::entry::{Entry, Timer};
use super::handed::{HandoverMessage, PredecessorResources};
use super::idempotency::{IdempotencyTable, Key};
use super::receipts::Receipts;
use super::succession::PredecessorRunEstimate;
use super::time::span;
use super::transitions::StateChangeLog;
use super::types::{Anomaly, Answer, Call, Command, Input, NodeStatus, TryId};
use crate::clock::Anchored;
use crate::config::{Site, gauges};
use crate::interface::{Action, Event, Gauges, RequestId, SayKind, SettingsError};
use crate::logic::Controller;

/// Most inputs in one batch, so that timers are served even under a flood of inputs.
const MAX_BATCH_INPUTS: usize = 512;
/// When gauges take longer than this, in ms, the decision module continues without them.
const GAUGES_TIMEOUT_MS: u64 = 15;
/// Fraction of the node's own memory that the idempotency table may take, as a divisor.
const IDEMPOTENCY_MEMORY_SHARE: usize = 4;

/// Channels from the exchange to the other tasks.
pub(super) struct Outputs {
    pub to_processor: mpsc::UnboundedSender<Command>,
    pub to_dependency: mpsc::UnboundedSender<Call>,
    pub status_sender: watch::Sender<NodeStatus>,
    pub catalog_sender: watch::Sender<Rc<Catalog>>,
}

/// The state of a node's exchange: open requests, the idempotency table and the decision module.
pub struct Exchange {
    pub(super) controller: Controller,
    pub(super) seed: u64,
    pub(super) site: Site,
    pub(super) clock: Anchored,
    pub(super) receipts: Rc<Receipts>,
    /// When the decision module is to be woken next, by `clock`.
    pub(super) next_wake_at: f64,
    pub(super) next_id: Rc<Cell<u32>>,
    pub(super) inputs: mpsc::Receiver<Input>,
    pub(super) outputs: Outputs,
    pub(super) timers: DelayQueue<Timer>,
    pub(super) entries: HashMap<RequestId, Entry>,
    pub(super) by_try: HashMap<TryId, RequestId>,
    pub(super) idempotency: IdempotencyTable,
    pub(super) events: Vec<Event>,
    pub(super) actions: Vec<Action>,
    /// The channel for claims and replication of results; `None` while this node does neither.
    pub(super) replication: Option<ReplicationChannel>,
    pub(super) node_status: NodeStatus,
    /// How many times new settings were applied.
    pub(super) settings_revision: u64,
    /// The tag of the pending query for gauges, with its timer until that has expired.
    pub(super) gauge_query: Option<(u64, Option<delay_queue::Key>)>,
    pub(super) last_gauge_tag: u64,
    pub(super) last_call_serial: u64,
    pub(super) anomalies: Anomalies,
    pub(super) transitions: StateChangeLog,
    /// Whether the processor has come up. No request is admitted before.
    pub(super) processor_is_up: bool,
    /// When the processor started, as it reported last, by `clock`.
    pub(super) processor_started_at: f64,
    /// Whether the node is draining.
    pub(super) draining: bool,
    /// Requests that are read later than this are not run; infinite unless the process is to be stopped.
    pub(super) grace_ends: f64,
    /// When every open request must have been answered, because the process is stopped; infinite unless a stop is due.
    pub(super) stop_at: f64,
    /// Whether the decision module wants traffic.
    pub(super) wants_traffic: bool,
    /// The channel to the next process of this node, from the hand-over of the keys on.
    pub(super) successor: Option<mpsc::UnboundedSender<HandoverMessage>>,
    /// The resource use of this process that was last reported to the next one.
    pub(super) reported_resources: PredecessorResources,
    /// Resources that requests of the previous process still use.
    pub(super) predecessor_resources: PredecessorResources,
    /// The runs that the previous process left behind, once it has ended.
    pub(super) predecessor_runs: Option<PredecessorRunEstimate>,
    /// Keys whose tries are open at the previous process, with the identifiers that stand for those tries here.
    pub(super) predecessor_keys: HashMap<Key, RequestId>,
    /// Whether the previous process has handed over and not ended, so that it may still report to this one.
    pub(super) predecessor_is_open: bool,
    /// Notified once no request is open here, and the previous process has ended.
    pub(super) finished: Option<oneshot::Sender<()>>,
}

impl Exchange {
    pub(super) fn new(
        seed: u64,
        site: &Site,
        memory_bytes: usize,
        next_id: Rc<Cell<u32>>,
        inputs: mpsc::Receiver<Input>,
        outputs: Outputs,
        receipts: Rc<Receipts>,
    ) -> Result<Self, SettingsError> {
        Ok(Self {
            controller: Controller::new(seed, site.settings.clone())?,
            seed,
            site: site.clone(),
            clock: receipts.clock(),
            receipts,
            next_wake_at: f64::INFINITY,
            next_id,
            inputs,
            outputs,
            timers: DelayQueue::new(),
            entries: HashMap::new(),
            by_try: HashMap::new(),
            idempotency: IdempotencyTable::new(memory_bytes / IDEMPOTENCY_MEMORY_SHARE),
            events: Vec::new(),
            actions: Vec::new(),
            replication: None,
            node_status: NodeStatus::default(),
            settings_revision: 0,
            gauge_query: None,
            last_gauge_tag: 0,
            last_call_serial: 0,
            anomalies: Anomalies::default(),
            transitions: StateChangeLog::default(),
            processor_is_up: false,
            processor_started_at: f64::NEG_INFINITY,
            draining: false,
            grace_ends: f64::INFINITY,
            stop_at: f64::INFINITY,
            wants_traffic: false,
            successor: None,
            reported_resources: PredecessorResources::default(),
            predecessor_resources: PredecessorResources::default(),
            predecessor_runs: None,
            predecessor_keys: HashMap::new(),
            predecessor_is_open: false,
            finished: None,
        })
    }

    /// Runs the event loop until every [`Handle`](super::Handle) has been dropped.
    pub async fn run(mut self) {
        loop {
            tokio::select! {
                input = self.inputs.recv() => match input {
                    Some(input) => self.handle_input(input),
                    None => return,
                },
                Some(expired) = poll_fn(|cx| self.timers.poll_expired(cx)), if !self.timers.is_empty() => {
                    self.handle_timer(expired.into_inner());
                }
            }
            for _ in 1..MAX_BATCH_INPUTS {
                let Ok(input) = self.inputs.try_recv() else { break };
                self.handle_input(input);
            }
            self.process_events();
        }
    }

    /// Runs the decision module until its actions cause no further events, and publishes a changed node status.
    fn process_events(&mut self) {
        while !self.events.is_empty() {
            let events = std::mem::take(&mut self.events);
            self.run_controller(self.clock.now(), &events);
        }
        let is_done = self.entries.is_empty() && !self.predecessor_is_open;
        if let Some(finished) = self.finished.take_if(|_| is_done) {
            self.report_resources();
            self.successor = None;
            let _ = finished.send(());
        }
        if *self.outputs.status_sender.borrow() != self.node_status {
            self.outputs.status_sender.send_replace(self.node_status.clone());
        }
    }

    pub(super) fn run_controller(&mut self, now: f64, events: &[Event]) {
        let mut actions = std::mem::take(&mut self.actions);
        self.controller.handle(now, events, &mut actions);
        actions.drain(..).for_each(|action| self.apply_action(action));
        self.actions = actions;
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::ProcessorUp { cold, age_ms } => self.processor_up(cold, age_ms),
            Input::Submit(id, request, reply) => self.submit(id, request, reply),
            Input::Abandon(id) => self.abandon(id),
            Input::RunEnded { try_id, outcome, took_ms, result } => {
                self.run_ended(try_id, outcome, took_ms, result)
            }
            Input::RunAwaitsCall { try_id, notice, body } => self.run_awaits_call(try_id, notice, body),
            Input::CallEnded { id, serial, outcome, took_ms, reply } => {
                self.call_ended(id, serial, outcome, took_ms, reply);
            }
            Input::Gauges { tag, values } => self.gauges_received(tag, &values),
            Input::CallRepeated(id) => self.events.push(Event::CallRepeated(id)),
            Input::Anomaly(anomaly) => self.count_anomaly(anomaly),
            Input::Replication(id, update) => self.replication_update(id, update),
            Input::PrepareHandOver { stop_in_ms } => self.prepare_hand_over(stop_in_ms),
            Input::HandOver(successor) => self.hand_over(successor),
            Input::FromPredecessor(handed) => self.receive_handover(handed),
            Input::PredecessorEnded => self.predecessor_ended(),
            Input::Finish(finished) => self.finished = Some(finished),
            Input::ApplySettings(site) => self.apply_settings(*site),
            Input::AwaitTurn => self.await_turn(),
            Input::ChangeOperatorState { change, reply } => self.change_operator_state(change, reply),
            Input::FollowOperator(state) => self.follow_operator_state(state),
            Input::Drain { stop_in_ms } => self.drain(stop_in_ms),
        }
    }

    fn handle_timer(&mut self, timer: Timer) {
        match timer {
            Timer::Wake => {
                let now = self.clock.now();
                self.receipts.timer_was_late(now - self.next_wake_at);
                self.transitions.log_changes(now, &self.controller.limits());
                self.request_gauges();
                self.report_resources();
            }
            Timer::Gauges(tag) => {
                if let Some((_, timeout)) = self.gauge_query.as_mut().filter(|(pending, _)| *pending == tag) {
                    *timeout = None;
                    self.events.push(Event::Timer(Gauges::default()));
                }
            }
            Timer::Failsafe(id) => self.failsafe_expired(id),
            Timer::RunInquiry(id) => self.query_run(id),
            Timer::KeyExpiry(key, id) => self.key_expired(key, id),
            Timer::ReplicationTimeout(id) => self.replication_late(id),
            Timer::RetiredClasses(revision) if revision == self.settings_revision => {
                self.publish_catalog(false)
            }
            Timer::RetiredClasses(_) => {}
            Timer::AnomalyReport => self.report_anomalies(),
        }
    }

    /// Counts an anomaly of a try. Counting instead of logging keeps the log short when many requests are affected.
    pub(super) fn record_anomaly(&mut self, anomaly: Anomaly, try_id: TryId) {
        debug!("try {try_id} is counted: {anomaly}");
        self.count_anomaly(anomaly);
    }

    pub(super) fn count_anomaly(&mut self, anomaly: Anomaly) {
        if self.anomalies.count(anomaly) {
            self.timers.insert(Timer::AnomalyReport, self.anomalies.period());
        }
    }

    /// Logs the anomalies counted since the last report, and schedules the next report while an episode lasts.
    pub(super) fn report_anomalies(&mut self) {
        if self.anomalies.report() {
            self.timers.insert(Timer::AnomalyReport, self.anomalies.period());
        }
    }

    /// Handles received gauges; those of an outdated query are ignored.
    fn gauges_received(&mut self, tag: u64, values: &[f32]) {
        if let Some((_, timeout)) = self.gauge_query.take_if(|(pending, _)| *pending == tag) {
            let gauges = gauges(&self.site.gauges, values);
            self.update_predecessor_runs(gauges.on_cores);
            if let Some(timeout) = timeout {
                self.timers.try_remove(&timeout);
                self.events.push(Event::Timer(gauges));
            }
        }
    }

    /// Requests the gauges from the processor. Only one query is pending at a time, so that no queue of them grows
    /// while the processor does not respond; until then the decision module is woken without gauges.
    pub(super) fn request_gauges(&mut self) {
        if self.gauge_query.is_some() {
            return self.events.push(Event::Timer(Gauges::default()));
        }
        self.last_gauge_tag += 1;
        let timeout =
            self.timers.insert(Timer::Gauges(self.last_gauge_tag), Duration::from_millis(GAUGES_TIMEOUT_MS));
        self.gauge_query = Some((self.last_gauge_tag, Some(timeout)));
        let _ = self.outputs.to_processor.send(Command::ReadGauges { tag: self.last_gauge_tag });
    }

    fn apply_action(&mut self, action: Action) {
        match action {
            Action::Run(id) => self.start_run(id),
            Action::Refuse { id, stay_away_ms, last } => self.refuse(id, stay_away_ms, last),
            // Its run has succeeded; only the replication of the result is late.
            Action::Fail(id) if self.is_replicating(id) => self.replication_late(id),
            Action::Fail(id) => {
                self.send_answer(id, Answer::Failed);
                self.clean_up(id);
            }
            Action::Call { id, give_up_at } => self.place_call(id, give_up_at),
            Action::Skip(id) => self.skip_call(id),
            Action::Reuse(id) => self.reuse_result(id),
            Action::Keep { id, .. } => self.retain_key(id),
            // The record of a held try is removed with its entry; that of a try that ran must stay.
            Action::Forget(_) => {}
            Action::Health { good } => {
                self.wants_traffic = good;
                self.update_status();
            }
            Action::Say(value) if self.site.settings.say != SayKind::Off => {
                self.node_status.level = Some(value)
            }
            Action::Say(_) => {}
            Action::CloseIdle { after_ms } => self.node_status.idle_ms = Some(after_ms),
            Action::Wake { after_ms } => {
                self.next_wake_at = self.clock.now() + after_ms.max(0.0);
                self.timers.insert(Timer::Wake, span(after_ms));
            }
        }
    }
}
