//! Drives one controller with events at explicit times; does not model a server.
#![allow(dead_code)]

use sillflow::interface::{Below, Class, Effect, Request};
use sillflow::{Action, Controller, Event, Gauges, Outcome, RequestId, Settings};

pub const SAFE: usize = 0;
pub const PLAIN: usize = 1;
pub const KEYED: usize = 2;

/// Two cores, memory for 100 held requests of 10 kB, three classes, and a share of 2 of a shared dependency.
pub fn settings() -> Settings {
    let class = Class { aim_ms: 1000.0, deadline_ms: 3000.0, worth: 1.0, ..Class::default() };
    Settings {
        cores: 2,
        memory_kb: 1000.0,
        run_factor: 4.0,
        key_kb: 1.0,
        classes: vec![
            Class { calls: true, skip_worth: 0.5, ..class.clone() },
            class.clone(),
            Class { effect: Effect::Keyed, window_ms: 5000.0, calls: true, worth: 3.0, ..class },
        ],
        servers: 4,
        callers: 2,
        marks_further: true,
        below: Below::Shared { share: 2.0, span_ms: 5000.0, linger_ms: 200.0 },
        cold_ms: 10_000.0,
        cold_from: 0.2,
        fall_multiple: 5.0,
        drain_grace_ms: 1000.0,
        answer_slack_ms: 60.0,
        max_retry_after_ms: 1000.0,
        worth_by_work: true,
        ..Settings::default()
    }
}

pub fn request(id: u32, class: usize) -> Request {
    Request {
        id: RequestId(id),
        class,
        tenant: 0,
        key: None,
        due: None,
        hint_ms: None,
        held_kb: 10.0,
        waited_ms: 0.0,
        further: false,
        earlier: None,
    }
}

pub struct Script {
    pub controller: Controller,
    pub now: f64,
}

impl Script {
    pub fn new(settings: Settings) -> Self {
        let controller = Controller::new(1, settings).expect("the settings are valid");
        Self { controller, now: 10_000.0 }
    }

    /// Delivers a batch of events after `wait_ms`.
    pub fn after(&mut self, wait_ms: f64, events: &[Event]) -> Vec<Action> {
        self.now += wait_ms;
        let mut out = Vec::new();
        self.controller.handle(self.now, events, &mut out);
        out
    }

    pub fn submit(&mut self, id: u32, class: usize) -> Vec<Action> {
        self.after(1.0, &[Event::Request(request(id, class))])
    }

    pub fn done(&mut self, wait_ms: f64, id: u32) -> Vec<Action> {
        self.after(wait_ms, &[Event::Done { id: RequestId(id), outcome: Outcome::Ok, took_ms: wait_ms }])
    }

    /// Sends a timer event every 20 ms for `duration_ms`, with this demand per core on two cores.
    pub fn idle(&mut self, duration_ms: f64, demand_per_core: f64) -> Vec<Action> {
        let gauges =
            Gauges { core_use: Some(demand_per_core.min(1.0)), on_cores: Some(2.0 * demand_per_core) };
        let mut out = Vec::new();
        for _ in 0..(duration_ms / 20.0) as usize {
            out.extend(self.after(20.0, &[Event::Timer(gauges)]));
        }
        out
    }
}

pub fn ran(out: &[Action], id: u32) -> bool {
    out.contains(&Action::Run(RequestId(id)))
}

pub fn refused(out: &[Action], id: u32) -> bool {
    out.iter().any(|action| matches!(action, Action::Refuse { id: other, .. } if other.0 == id))
}

pub fn failed(out: &[Action], id: u32) -> bool {
    out.contains(&Action::Fail(RequestId(id)))
}
