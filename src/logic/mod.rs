//! The decision module: Brownout with early admission, a run limit and the safeguards that the four rules
//! of the service need.
//!
//! Its interface (settings, events, actions and their units) is `src/interface.rs`. [`Controller::handle`]
//! processes a batch of events; each file has one job: `admission` registers and admits requests, `runs`
//! starts them, `calls` starts their calls, `answers` ends them and `periodic` adapts the limits at each
//! wake-up. The other files are the parts that they share.

mod admission;
mod answers;
mod average;
mod call_budget;
mod call_time;
mod calls;
mod dimmer;
mod limits;
mod memory;
mod patience;
mod periodic;
mod request;
mod run_limit;
mod runs;

use std::collections::{BTreeMap, BTreeSet};

use self::average::{Average, Span, finite_or_zero, micros};
use self::call_budget::CallBudget;
use self::dimmer::{Dimmer, PERIOD_MS};
use self::memory::MemoryBudget;
use self::patience::{CallerTimeouts, TIMEOUT_BUCKETS};
use self::request::{Entry, Phase, PlannedStop};
use self::run_limit::{RunLimit, RunTimes};
use crate::fault_injection::{self, InjectedFault};
use crate::interface::{
    Action, Below, Class, Effect, Event, Gauges, Outcome, Request, RequestId, SayKind, Settings,
    SettingsError,
};
use crate::validate::check_settings;

pub use self::limits::{Limits, OrphanedRuns, ReservedCapacity};

/// Interval between wake-ups in ms: a fraction of any answer slack, yet only 50 wake-ups a second.
const WAKE_MS: f64 = 20.0;
/// Answers are sent this long before they are due, in ms: they are still in time if one wake-up is late.
const DUE_MARGIN_MS: f64 = 2.0 * WAKE_MS;
/// Averaging of run times: a dozen runs, or a minute, as requests of a class may be rare.
const TIMES_SPAN: Span = Span { samples: 12.0, ms: 60_000.0 };
/// Shares of the memory: up to the first, new requests are admitted; up to the second, runs start; above
/// the third, held requests are refused.
const MEMORY_THRESHOLDS: (f64, f64, f64) = (0.8, 0.88, 0.92);
/// Averaging of the time that requests wait unread: three arrivals, or half a second, as the last one is
/// the most accurate.
const UNREAD_SPAN: Span = Span { samples: 3.0, ms: 500.0 };
/// Averaging of rates over arrivals (refused, retried): a dozen arrivals, or five seconds.
const ARRIVALS_SPAN: Span = Span { samples: 12.0, ms: 5000.0 };
/// While retries and second copies make up less than this share of the arrivals, refused callers may try
/// other servers, which probably have capacity.
const STOP_RETRIES_FURTHER_RATE: f64 = 0.13;
/// Time constant of the traffic counts; the number of samples does not matter there.
const TRAFFIC_SPAN: Span = Span { samples: f64::INFINITY, ms: 4000.0 };
/// Reading is late if requests wait unread for longer than this part of the shortest aim.
const MAX_UNREAD_SHARE: f64 = 0.15;

/// Overload controller of one server. See the crate documentation for how to drive it.
pub struct Controller {
    rng: fastrand::Rng,
    settings: Settings,
    now: f64,
    started_at: Option<f64>,
    /// Every request that is not over, by id.
    requests: BTreeMap<u32, Entry>,
    /// Unanswered requests by due time in microseconds.
    due_order: BTreeSet<(i64, u32)>,
    /// Held requests by the order in which they run.
    held: BTreeSet<(i64, u32)>,
    /// Calls that wait to start, by [`Entry::call_order`].
    waiting_calls: BTreeSet<(bool, i64, u32)>,
    /// Requests that run now, without those at calls.
    running: u32,
    /// Requests that wait for a call or its result.
    parked: u32,
    /// Factor on predicted times while runs take longer than expected.
    slowdown: f64,
    /// Ratio of actual to expected run time of finished runs.
    run_time_ratio: Average,
    dimmer: Dimmer,
    run_limit: RunLimit,
    call_budget: CallBudget,
    memory: MemoryBudget,
    run_times: Vec<RunTimes>,
    /// Recognizes unmarked retries by the time that their callers have left.
    caller_timeouts: CallerTimeouts,
    /// First tries of each tenant within [`TRAFFIC_SPAN`].
    tenant_arrivals: Vec<Average>,
    /// Share of recent requests that were refused.
    refusal_rate: Average,
    /// The same by class.
    class_refusal_rates: Vec<Average>,
    /// Share of recent requests that were retries or second copies.
    further_rate: Average,
    /// Arrivals within [`TRAFFIC_SPAN`].
    arrival_count: Average,
    /// Time that recent requests waited before they were read, in ms.
    unread_wait: Average,
    /// Factor on the time that idle connections stay open; raised in a flood.
    idle_time_factor: f64,
    /// The stop that a drain or a hand-over ends in, if one is under way.
    planned_stop: Option<PlannedStop>,
    /// Whether the node asks for no traffic because it drains.
    draining: bool,
    /// Capacity that requests of another process use.
    reserved: ReservedCapacity,
    orphaned: OrphanedRuns,
    /// Whether orphaned runs leave no capacity for others.
    exhausted: bool,
}

impl Controller {
    /// Creates a controller for one server. Equal seeds and events give equal actions.
    ///
    /// # Errors
    /// Names the first field that is negative or not a number, or a class without an aim or a deadline.
    pub fn new(seed: u64, settings: Settings) -> Result<Self, SettingsError> {
        check_settings(&settings)?;
        let cores = f64::from(settings.cores.max(1));
        let mut call_budget =
            CallBudget { dependency: settings.below, limit: f64::INFINITY, ..CallBudget::default() };
        if matches!(settings.below, Below::Shared { .. }) {
            call_budget.limit = call_budget.max_limit();
        }
        Ok(Self {
            rng: fastrand::Rng::with_seed(seed),
            now: 0.0,
            started_at: None,
            requests: BTreeMap::new(),
            due_order: BTreeSet::new(),
            held: BTreeSet::new(),
            waiting_calls: BTreeSet::new(),
            running: 0,
            parked: 0,
            slowdown: 1.0,
            run_time_ratio: Average::initial(1.0),
            dimmer: Dimmer { q: 1.0, gain: 1.0, ..Dimmer::default() },
            run_limit: RunLimit { cores, limit: cores, ..RunLimit::default() },
            call_budget,
            memory: MemoryBudget {
                limit_kb: settings.memory_kb,
                key_kb: settings.key_kb,
                ..MemoryBudget::default()
            },
            run_times: settings.classes.iter().map(RunTimes::initial).collect(),
            caller_timeouts: CallerTimeouts([0.0; TIMEOUT_BUCKETS]),
            tenant_arrivals: vec![Average::default(); settings.tenants.len()],
            refusal_rate: Average::default(),
            class_refusal_rates: vec![Average::default(); settings.classes.len()],
            further_rate: Average::default(),
            arrival_count: Average::default(),
            unread_wait: Average::default(),
            idle_time_factor: 1.0,
            planned_stop: None,
            draining: false,
            reserved: ReservedCapacity::default(),
            orphaned: OrphanedRuns::default(),
            exhausted: false,
            settings,
        })
    }

    /// Applies new settings and keeps everything that was learned. Classes and tenants keep their indices:
    /// some may be retired, and new ones are appended.
    ///
    /// # Errors
    /// Names the first field that is invalid, or the list that became shorter; the old settings
    /// stay in force.
    pub fn update_settings(&mut self, settings: Settings) -> Result<(), SettingsError> {
        check_settings(&settings)?;
        if settings.classes.len() < self.run_times.len() {
            return Err(SettingsError { field: "classes", problem: "entries must not be removed" });
        }
        let known = self.run_times.len();
        self.run_times.extend(settings.classes[known..].iter().map(RunTimes::initial));
        self.class_refusal_rates.resize(settings.classes.len(), Average::default());
        self.tenant_arrivals.resize(settings.tenants.len(), Average::default());
        self.run_limit.cores = f64::from(settings.cores.max(1));
        (self.memory.limit_kb, self.memory.key_kb) = (settings.memory_kb, settings.key_kb);
        // A run keeps what it has booked; it is unknown whether a larger factor applies to it, so the
        // larger one is booked.
        for entry in self.requests.values_mut().filter(|entry| entry.has_started()) {
            let more_kb = (entry.held_kb * settings.run_factor - entry.booked_kb).max(0.0);
            entry.booked_kb += more_kb;
            self.memory.requests_kb += more_kb;
        }
        if fault_injection::is_active(InjectedFault::ReloadFreesPermits) {
            let started = |(id, entry): (&u32, &Entry)| entry.has_started().then_some(*id);
            let started: Vec<u32> = self.requests.iter().filter_map(started).collect();
            started.into_iter().for_each(|id| self.remove_entry(id));
        }
        if self.call_budget.dependency != settings.below {
            self.call_budget.dependency = settings.below;
            self.call_budget.limit = self.call_budget.max_limit();
        }
        self.settings = settings;
        Ok(())
    }

    /// The dimmer Q: the chance that a request makes its optional calls.
    pub fn dimmer(&self) -> f64 {
        self.dimmer.q
    }

    /// Memory booked for requests, in kB.
    pub fn booked_kb(&self) -> f64 {
        self.memory.requests_kb
    }

    /// Requests that run or wait for a call.
    pub fn runs(&self) -> u32 {
        self.running + self.parked
    }

    /// Calls in flight at the dependency, and those that may linger there.
    pub fn calls(&self) -> u32 {
        self.call_budget.in_flight as u32
            + u32::try_from(self.call_budget.lingering.len()).unwrap_or(u32::MAX)
    }

    /// Whether a call that was just started may be made a second time within the limit on calls.
    pub fn can_repeat_call(&self) -> bool {
        self.call_budget.can_repeat_call()
    }

    /// Sets the capacity that requests of another process use.
    pub fn set_reserved(&mut self, reserved: ReservedCapacity) {
        self.reserved = reserved;
        self.memory.reserved_kb = reserved.booked_kb;
        self.call_budget.reserved = f64::from(reserved.calls);
    }

    /// Counts calls that a process has left behind: they may linger at the dependency.
    pub fn add_lingering_calls(&mut self, now: f64, calls: u32) {
        (0..calls).for_each(|_| self.call_budget.add_lingering(now));
    }

    /// The limits applied at present.
    pub fn limits(&self) -> Limits {
        let used_kb = self.memory.used_kb();
        Limits {
            runs: self.run_limit.limit.floor() as u32,
            survivable_runs: self.survivable_runs().floor() as u32,
            memory_used: if self.memory.limit_kb > 0.0 { used_kb / self.memory.limit_kb } else { 0.0 },
            memory_short: !self.memory.fits(0.0, MEMORY_THRESHOLDS.1),
            calls_blocked: !self.waiting_calls.is_empty() && !self.call_budget.allows_call(),
            exhausted: self.exhausted,
            orphaned: self.orphaned,
        }
    }

    /// Restarts the warm-up: the server started cold at this clock time.
    pub fn set_cold_start(&mut self, started_at: f64) {
        self.started_at = Some(started_at);
    }

    /// Processes all events up to `now` (ms) and appends the actions to take, in order.
    pub fn handle(&mut self, now: f64, events: &[Event], out: &mut Vec<Action>) {
        if now.is_finite() && (self.started_at.is_none() || now > self.now) {
            self.now = now;
        }
        if self.started_at.is_none() {
            self.started_at = Some(self.now);
            self.dimmer.next_step_at = self.now + PERIOD_MS;
            self.call_budget.updated_at = self.now;
            out.push(Action::Health { good: true });
            out.push(Action::Wake { after_ms: WAKE_MS });
        }
        self.call_budget.advance(self.now);
        self.memory.expire_keys(self.now);
        let mut arrivals = Vec::new();
        for event in events {
            match event {
                Event::Request(request) if self.register(request, events, out) => arrivals.push(request.id.0),
                Event::Request(_) => {}
                Event::Done { id, outcome, .. } => self.run_ended(id.0, *outcome, out),
                Event::Gone(id) => self.caller_left(id.0, out),
                Event::Needs(id) => self.request_call(id.0, out),
                Event::Called { id, outcome, took_ms } => {
                    self.finish_call(id.0, *outcome, finite_or_zero(*took_ms), out)
                }
                Event::CallRepeated(id) if self.requests.contains_key(&id.0) => {
                    self.call_budget.add_lingering(self.now)
                }
                Event::CallRepeated(_) => {}
                Event::Timer(gauges) => self.tick(gauges, out),
                Event::Drain { stop_at } => self.drain(*stop_at, out),
                Event::HandOver { stop_at } => self.plan_stop(*stop_at),
            }
        }
        self.answer_due(out);
        for id in arrivals {
            self.admit(id, out);
        }
        while !self.memory.fits(0.0, MEMORY_THRESHOLDS.2) {
            let Some((_, id)) = self.held.last().copied() else { break };
            self.refuse(id, out);
        }
        self.start_calls(out);
        self.start_runs(out);
    }

    /// Lower bound of this server's speed as a share of its full speed: it warms up at least linearly.
    fn warm_up_speed(&self) -> f64 {
        let age = self.now - self.started_at.unwrap_or(self.now);
        let warming = self.settings.cold && age < self.settings.cold_ms;
        let from = self.settings.cold_from.min(1.0);
        if warming { from + (1.0 - from) * age / self.settings.cold_ms } else { 1.0 }
    }
}
