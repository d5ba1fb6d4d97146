//! The decision module: Brownout with early admission, a run limit and the guards that the four rules need.
//!
//! Its interface (settings, events, actions and their units) is `src/interface.rs`. [`Controller::handle`]
//! leads through a batch of events; each file has one job: `admission` takes requests in, `runs` begins them,
//! `calls` places their calls, `answers` ends them and `periodic` adapts limits at each wake-up. The other
//! files are the parts that they share.

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

use self::average::{Average, Span, micros, sane};
use self::call_budget::CallBudget;
use self::dimmer::{Dimmer, PERIOD_MS};
use self::memory::Ledger;
use self::patience::{PATIENCE_PARTS, Patience};
use self::request::{Entry, Leaving, Phase};
use self::run_limit::{RunLimit, RunTimes};
use crate::fault_injection::{self, InjectedFault};
use crate::interface::{
    Action, Below, Class, Effect, Event, Gauges, Outcome, Request, RequestId, SayKind, Settings,
    SettingsError,
};
use crate::validate::check_settings;

pub use self::limits::{Limits, OrphanedRuns, ReservedCapacity};

/// Gap between wake-ups, ms: a fraction of any answer slack, yet only 50 wake-ups a second.
const WAKE_MS: f64 = 20.0;
/// Answers go out this long before they are due, ms: one late wake-up still keeps the rule.
const DUE_MARGIN_MS: f64 = 2.0 * WAKE_MS;
/// Run times hold over a dozen runs, and a minute: one class may be rare.
const TIMES_SPAN: Span = Span { samples: 12.0, ms: 60_000.0 };
/// Parts of the memory: new requests are taken, runs begin, and the hold is shed above.
const MEMORY_MARKS: (f64, f64, f64) = (0.8, 0.88, 0.92);
/// The time that requests wait unread holds over three arrivals, or half a second: the last one knows best.
const UNREAD_SPAN: Span = Span { samples: 3.0, ms: 500.0 };
/// What arrivals tell (refused, further tries) holds over a dozen of them, and five seconds.
const ARRIVALS_SPAN: Span = Span { samples: 12.0, ms: 5000.0 };
/// Refused requests may walk on, as others have room, while further tries make up less than this part of the
/// arrivals.
const WALK_FURTHER: f64 = 0.13;
/// Span of the traffic counts; only time counts there.
const TRAFFIC_SPAN: Span = Span { samples: f64::INFINITY, ms: 4000.0 };
/// Reading lags when requests wait unread for longer than this part of the shortest aim.
const UNREAD_PART: f64 = 0.15;

/// The overload controller of one server. See the crate's page for how it is driven.
pub struct Controller {
    rng: fastrand::Rng,
    set: Settings,
    now: f64,
    started_at: Option<f64>,
    table: BTreeMap<u32, Entry>,
    dues: BTreeSet<(i64, u32)>,
    hold: BTreeSet<(i64, u32)>,
    calls: BTreeSet<(bool, i64, u32)>,
    running: u32,
    parked: u32,
    pace: f64,
    slow: Average,
    dimmer: Dimmer,
    limit: RunLimit,
    budget: CallBudget,
    ledger: Ledger,
    times: Vec<RunTimes>,
    patience: Patience,
    tenant_counts: Vec<Average>,
    refused: Average,
    refused_of: Vec<Average>,
    further: Average,
    arrivals: Average,
    unread: Average,
    patient_links: f64,
    leaving: Option<Leaving>,
    reserved: ReservedCapacity,
    outlasting: OrphanedRuns,
    exhausted: bool,
}

impl Controller {
    /// A controller for one server, with a seed of its own.
    ///
    /// # Errors
    /// Names the first field that is negative or not a number, or a class without an aim or a deadline.
    pub fn new(seed: u64, settings: Settings) -> Result<Self, SettingsError> {
        check_settings(&settings)?;
        let cores = f64::from(settings.cores.max(1));
        let mut budget = CallBudget { below: settings.below, limit: f64::INFINITY, ..CallBudget::default() };
        if matches!(settings.below, Below::Shared { .. }) {
            budget.limit = budget.most();
        }
        Ok(Self {
            rng: fastrand::Rng::with_seed(seed),
            now: 0.0,
            started_at: None,
            table: BTreeMap::new(),
            dues: BTreeSet::new(),
            hold: BTreeSet::new(),
            calls: BTreeSet::new(),
            running: 0,
            parked: 0,
            pace: 1.0,
            slow: Average::guess(1.0),
            dimmer: Dimmer { q: 1.0, gain: 1.0, ..Dimmer::default() },
            limit: RunLimit { cores, limit: cores, ..RunLimit::default() },
            budget,
            ledger: Ledger { limit_kb: settings.memory_kb, key_kb: settings.key_kb, ..Ledger::default() },
            times: settings.classes.iter().map(RunTimes::guess).collect(),
            patience: Patience([0.0; PATIENCE_PARTS]),
            tenant_counts: vec![Average::default(); settings.tenants.len()],
            refused: Average::default(),
            refused_of: vec![Average::default(); settings.classes.len()],
            further: Average::default(),
            arrivals: Average::default(),
            unread: Average::default(),
            patient_links: 1.0,
            leaving: None,
            reserved: ReservedCapacity::default(),
            outlasting: OrphanedRuns::default(),
            exhausted: false,
            set: settings,
        })
    }

    /// Works on under other settings, with all that was learned. Classes and tenants keep their places: some
    /// may be retired, and further ones stand behind them.
    ///
    /// # Errors
    /// Names the first field that makes no sense, or the list that lacks a place; the old ones stay in force.
    pub fn update_settings(&mut self, settings: Settings) -> Result<(), SettingsError> {
        check_settings(&settings)?;
        if settings.classes.len() < self.times.len() {
            return Err(SettingsError { field: "classes", problem: "a place is gone" });
        }
        let known = self.times.len();
        self.times.extend(settings.classes[known..].iter().map(RunTimes::guess));
        self.refused_of.resize(settings.classes.len(), Average::default());
        self.tenant_counts.resize(settings.tenants.len(), Average::default());
        self.limit.cores = f64::from(settings.cores.max(1));
        (self.ledger.limit_kb, self.ledger.key_kb) = (settings.memory_kb, settings.key_kb);
        // A run goes on with what it has taken; whether a larger factor counts for it as well is not told.
        for entry in self.table.values_mut().filter(|entry| entry.ran()) {
            let more_kb = (entry.kb * settings.run_factor - entry.booked_kb).max(0.0);
            entry.booked_kb += more_kb;
            self.ledger.requests_kb += more_kb;
        }
        if fault_injection::is_active(InjectedFault::ReloadFreesPermits) {
            let running = |(id, entry): (&u32, &Entry)| entry.ran().then_some(*id);
            let running: Vec<u32> = self.table.iter().filter_map(running).collect();
            running.into_iter().for_each(|id| self.drop_entry(id));
        }
        if self.budget.below != settings.below {
            self.budget.below = settings.below;
            self.budget.limit = self.budget.most();
        }
        self.set = settings;
        Ok(())
    }

    /// The dimmer Q: the chance that a request makes its optional calls.
    pub fn dimmer(&self) -> f64 {
        self.dimmer.q
    }

    /// Memory that is booked for requests, in kB.
    pub fn booked_kb(&self) -> f64 {
        self.ledger.requests_kb
    }

    /// Requests on the cores, and at calls from which they come back there.
    pub fn runs(&self) -> u32 {
        self.running + self.parked
    }

    /// Calls in the hands of what lies below, and those that may linger there.
    pub fn calls(&self) -> u32 {
        self.budget.in_hand as u32 + u32::try_from(self.budget.lingering.len()).unwrap_or(u32::MAX)
    }

    /// Whether a call that was just placed may be made a second time, without a further place for it.
    pub fn can_repeat_call(&self) -> bool {
        self.budget.can_repeat_call()
    }

    /// Leaves this much of the server to the requests of another process.
    pub fn set_reserved(&mut self, reserved: ReservedCapacity) {
        self.reserved = reserved;
        self.ledger.reserved_kb = reserved.booked_kb;
        self.budget.reserved = f64::from(reserved.calls);
    }

    /// Calls of a process that has ended may linger where they were made.
    pub fn add_lingering_calls(&mut self, now: f64, calls: u32) {
        (0..calls).for_each(|_| self.budget.lingers(now));
    }

    /// What is let through just now.
    pub fn limits(&self) -> Limits {
        let used_kb = self.ledger.used_kb();
        Limits {
            runs: self.limit.limit.floor() as u32,
            survivable_runs: self.ceiling().floor() as u32,
            memory_used: if self.ledger.limit_kb > 0.0 { used_kb / self.ledger.limit_kb } else { 0.0 },
            memory_short: !self.ledger.fits(0.0, MEMORY_MARKS.1),
            calls_blocked: !self.calls.is_empty() && !self.budget.open(),
            exhausted: self.exhausted,
            orphaned: self.outlasting,
        }
    }

    /// The cores have started anew, cold, at this clock time.
    pub fn set_cold_start(&mut self, started_at: f64) {
        self.started_at = Some(started_at);
    }

    /// Takes all that has happened up to `now` (ms) and appends what is to be done, in order.
    pub fn handle(&mut self, now: f64, events: &[Event], out: &mut Vec<Action>) {
        if now.is_finite() && (self.started_at.is_none() || now > self.now) {
            self.now = now;
        }
        if self.started_at.is_none() {
            self.started_at = Some(self.now);
            self.dimmer.next = self.now + PERIOD_MS;
            self.budget.updated = self.now;
            out.push(Action::Health { good: true });
            out.push(Action::Wake { after_ms: WAKE_MS });
        }
        self.budget.advance(self.now);
        self.ledger.advance(self.now);
        let mut arrivals = Vec::new();
        for event in events {
            match event {
                Event::Request(request) if self.read(request, events, out) => arrivals.push(request.id.0),
                Event::Request(_) => {}
                Event::Done { id, outcome, .. } => self.done(id.0, *outcome, out),
                Event::Gone(id) => self.gone(id.0, out),
                Event::Needs(id) => self.needs(id.0, out),
                Event::Called { id, outcome, took_ms } => self.called(id.0, *outcome, sane(*took_ms), out),
                Event::CallRepeated(id) if self.table.contains_key(&id.0) => self.budget.lingers(self.now),
                Event::CallRepeated(_) => {}
                Event::Timer(gauges) => self.tick(gauges, out),
                Event::Drain { stop_at } => self.drain(*stop_at, out),
            }
        }
        self.expire(out);
        for id in arrivals {
            self.admit(id, out);
        }
        while !self.ledger.fits(0.0, MEMORY_MARKS.2) {
            let Some((_, id)) = self.hold.last().copied() else { break };
            self.refuse(id, out);
        }
        self.place_calls(out);
        self.start_runs(out);
    }

    /// The share of full speed that this server has at least: it warms no slower than evenly.
    fn warmth(&self) -> f64 {
        let age = self.now - self.started_at.unwrap_or(self.now);
        let warming = self.set.cold && age < self.set.cold_ms;
        let from = self.set.cold_from.min(1.0);
        if warming { from + (1.0 - from) * age / self.set.cold_ms } else { 1.0 }
    }
}
