//! Checks the four rules of the service on random event sequences with fixed seeds.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use sillflow::interface::{Below, Effect, SayKind, Tenant};
use sillflow::{Action, Event, Gauges, Outcome, RequestId, Settings};

#[derive(Clone, Copy, PartialEq, Debug)]
enum State {
    Held,
    Running,
    AwaitingCall,
    Calling,
}

struct World {
    rng: fastrand::Rng,
    script: Script,
    settings: Settings,
    live: BTreeMap<u32, (State, usize, f64, f64)>,
    unanswered: BTreeSet<u32>,
    keyed_request: Option<u32>,
    ran_keyed: bool,
    drain: Option<(f64, f64)>,
    last_id: u32,
    /// Share of the steps in which requests arrive: from under 1 to over 100 per second.
    arrival_share: f64,
    /// Share of the runs that end in an error.
    error_share: f64,
}

impl World {
    fn keyed(&self) -> bool {
        self.settings.classes[KEYED].effect == Effect::Keyed
    }

    fn events(&mut self) -> Vec<Event> {
        let mut events =
            vec![Event::Timer(Gauges { on_cores: Some(self.rng.f64() * 6.0), ..Gauges::default() })];
        // For a while no run makes progress, as on a server that hangs.
        let hangs = (200..280).contains(&(self.script.now as u32 / 20 % 300));
        let known: Vec<(u32, State)> = self.live.iter().map(|(id, entry)| (*id, entry.0)).collect();
        for (number, state) in known {
            let (id, draw) = (RequestId(number), self.rng.f64());
            match state {
                State::Running if hangs => {}
                State::Running if draw < 0.05 => {
                    self.live.get_mut(&number).expect("live").0 = State::AwaitingCall;
                    events.push(Event::Needs(id));
                }
                State::Running if draw < 0.15 => {
                    self.live.remove(&number);
                    self.unanswered.remove(&number);
                    let failed = self.rng.f64() < self.error_share;
                    let outcome = if failed { Outcome::Error } else { Outcome::Ok };
                    events.push(Event::Done { id, outcome, took_ms: 1.0 });
                }
                State::Calling if draw < 0.2 => {
                    let all = [Outcome::Ok, Outcome::Error, Outcome::Full, Outcome::Timeout];
                    let outcome = all[self.rng.usize(0..4)];
                    let next = if outcome == Outcome::Ok { State::Running } else { State::AwaitingCall };
                    self.live.get_mut(&number).expect("live").0 = next;
                    events.push(Event::Called { id, outcome, took_ms: 50.0 });
                }
                State::Held if draw < 0.01 => {
                    self.live.remove(&number);
                    self.unanswered.remove(&number);
                    self.keyed_request = self.keyed_request.filter(|entry| *entry != number);
                    events.push(Event::Gone(id));
                }
                _ => {}
            }
        }
        let arrivals = if self.rng.f64() < self.arrival_share { self.rng.usize(0..4) } else { 0 };
        for _ in 0..arrivals {
            self.last_id += 1;
            let mut new_request = request(self.last_id, self.rng.usize(0..3));
            new_request.waited_ms = self.rng.f64() * 300.0;
            new_request.further = self.rng.bool();
            new_request.tenant = self.rng.usize(0..3);
            new_request.hint_ms =
                [None, Some(f64::NAN), Some(-1.0), Some(1e12), Some(300.0)][self.rng.usize(0..5)];
            // All keyed requests carry the same key.
            if new_request.class == KEYED && self.keyed() {
                new_request.earlier = self.keyed_request.filter(|_| self.drain.is_none()).map(RequestId);
                if self.keyed_request.is_some() && new_request.earlier.is_none() {
                    continue;
                }
                if events.iter().any(|event| matches!(event, Event::Request(r) if r.class == KEYED)) {
                    continue;
                }
            }
            let arrival = self.script.now + 20.0 - new_request.waited_ms;
            self.live.insert(self.last_id, (State::Held, new_request.class, arrival, arrival + 3000.0));
            self.unanswered.insert(self.last_id);
            events.push(Event::Request(new_request));
        }
        // Events for unknown requests, with invalid times, must be ignored.
        events.push(Event::Done { id: RequestId(u32::MAX), outcome: Outcome::Ok, took_ms: f64::NAN });
        events.push(Event::Called { id: RequestId(u32::MAX), outcome: Outcome::Ok, took_ms: -1.0 });
        events
    }

    fn apply(&mut self, out: &[Action]) {
        let now = self.script.now;
        for action in out {
            match action {
                Action::Run(id) => {
                    let entry = self.live.get_mut(&id.0).expect("only held requests run");
                    assert_eq!(entry.0, State::Held);
                    if let Some((last, _)) = self.drain {
                        assert!(entry.2 <= last, "ran a request that arrived after the grace period");
                    }
                    if entry.1 == KEYED && self.settings.classes[KEYED].effect == Effect::Keyed {
                        assert!(!std::mem::replace(&mut self.ran_keyed, true), "a key ran twice");
                    }
                    entry.0 = State::Running;
                }
                Action::Refuse { id, .. } => {
                    assert!(self.unanswered.remove(&id.0), "a request was answered twice");
                    let entry = self.live.remove(&id.0).expect("known");
                    assert_eq!(entry.0, State::Held, "a request that ran must not be refused");
                    if entry.1 == KEYED && self.keyed_request == Some(id.0) {
                        self.keyed_request = None;
                    }
                }
                Action::Fail(id) => {
                    assert!(self.unanswered.remove(&id.0), "a request was answered twice");
                    if self.live.get(&id.0).is_some_and(|entry| entry.0 != State::Running) {
                        self.live.remove(&id.0);
                        let done = Event::Done { id: *id, outcome: Outcome::Cancelled, took_ms: 1.0 };
                        let out = self.script.after(0.0, &[done]);
                        self.apply(&out);
                    }
                }
                Action::Call { id, .. } => {
                    let entry = self.live.get_mut(&id.0).expect("known");
                    assert_eq!(std::mem::replace(&mut entry.0, State::Calling), State::AwaitingCall);
                }
                Action::Skip(id) => {
                    let entry = self.live.get_mut(&id.0).expect("known");
                    assert!(self.settings.classes[entry.1].skip_worth > 0.0);
                    assert_eq!(std::mem::replace(&mut entry.0, State::Running), State::AwaitingCall);
                }
                Action::Keep { id, .. } if self.live.get(&id.0).is_some_and(|entry| entry.1 == KEYED) => {
                    self.keyed_request = Some(id.0);
                }
                Action::Forget(id) => self.keyed_request = self.keyed_request.filter(|entry| *entry != id.0),
                _ => {}
            }
        }
        let late =
            self.unanswered.iter().find(|id| self.live.get(id).is_some_and(|entry| entry.3 + 60.0 < now));
        assert_eq!(late, None, "an answer is overdue");
        let held = |state: State| {
            self.live.values().filter(move |entry| (entry.0 == State::Held) == (state == State::Held))
        };
        let kb = held(State::Held).count() as f64 * 10.0 + held(State::Running).count() as f64 * 40.0;
        assert!(kb <= self.settings.memory_kb, "{kb} kB");
        let calling = self.live.values().filter(|entry| entry.0 == State::Calling).count();
        let Below::Shared { share, .. } = self.settings.below else { return };
        assert!(calling as f64 <= share.floor().max(1.0), "{calling} calls in flight, share {share}");
    }
}

#[test]
fn rules_hold_for_random_event_sequences() {
    for seed in 0..80 {
        let mut draw = fastrand::Rng::with_seed(seed);
        let share = [0.05, 0.38, 1.0, 2.0, 7.5][draw.usize(0..5)];
        let signals = [SayKind::Off, SayKind::Level, SayKind::Credit, SayKind::Weight];
        let effect = [Effect::Keyed, Effect::Unsafe][draw.usize(0..2)];
        let mut classes = settings().classes;
        classes[KEYED].effect = effect;
        let settings = Settings {
            classes,
            say: signals[draw.usize(0..4)],
            tenants: vec![Tenant { quota_per_s: 3.0 }; draw.usize(0..3)],
            over_share_worth: 0.05,
            marks_further: draw.bool(),
            memory_kb: 400.0,
            cores: draw.u32(1..7),
            callers: [1, 1000][draw.usize(0..2)],
            servers: [1, 300][draw.usize(0..2)],
            below: Below::Shared { share, span_ms: 5000.0, linger_ms: 200.0 },
            idle_ms: 30_000.0,
            ..settings()
        };
        let mut world = World {
            rng: fastrand::Rng::with_seed(seed),
            script: Script::new(settings.clone()),
            settings,
            live: BTreeMap::new(),
            unanswered: BTreeSet::new(),
            keyed_request: None,
            ran_keyed: false,
            drain: None,
            last_id: 0,
            arrival_share: [0.01, 0.06, 1.0][draw.usize(0..3)],
            error_share: [0.0, 0.1, 0.9][draw.usize(0..3)],
        };
        for step in 0..600 {
            let mut events = world.events();
            if step == 450 {
                let now = world.script.now + 20.0;
                world.drain = Some((now + world.settings.drain_grace_ms, now + 2400.0));
                events.push(Event::Drain { stop_at: now + 2400.0 });
            }
            // Occasionally the whole process pauses.
            let pause = if draw.f64() < 0.02 { 80.0 } else { 20.0 };
            let out = world.script.after(pause, &events);
            for action in &out {
                let Action::Say(value) = action else { continue };
                assert!(value.is_finite() && *value >= 0.0 && world.settings.say != SayKind::Off);
            }
            world.apply(&out);
            if world.drain.is_some_and(|(_, stop)| world.script.now >= stop) {
                assert!(world.unanswered.is_empty(), "unanswered at the stop: {:?}", world.unanswered);
                break;
            }
        }
    }
}
