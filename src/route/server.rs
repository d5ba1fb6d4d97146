//! One server of a pool: its settings, measurements and ejection state.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::estimate::{Mean, Rate};
use super::slow_start;
use crate::ejection::list::Share;

slotmap::new_key_type! {
    /// Identifies a server for as long as it is in the pool. A server that is removed and added later gets a new id.
    pub struct ServerId;
}

/// A server as configured by the operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// Address to connect to.
    #[schemars(with = "String")]
    pub address: SocketAddr,
    /// Its zone; empty if there are no zones.
    #[serde(default)]
    pub zone: String,
    /// Its capacity relative to other servers, above 0.
    #[serde(default = "default_weight")]
    pub weight: f64,
}

fn default_weight() -> f64 {
    1.0
}

/// Whether a server receives calls, as this node decides from its own calls.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerState {
    /// It receives calls like any other.
    #[serde(rename = "in")]
    Active,
    /// It receives no calls until a set time.
    #[serde(rename = "out")]
    Ejected {
        /// When its trial begins, in ms.
        until: f64,
        /// Ejections in a row.
        times: u32,
    },
    /// It receives one call at a time, until enough of them have succeeded.
    Trial {
        /// Calls that still have to succeed.
        left: u32,
        /// Ejections in a row.
        times: u32,
        /// When the trial began or its last call ended, in ms.
        since: f64,
    },
}

/// Successful trial calls in a row that make a server active again.
pub(super) const TRIAL_CALLS: u32 = 3;
/// Duration of the first ejection, and the upper bound up to which it doubles, in ms.
const EJECTION_MS: (f64, f64) = (2_000.0, 20_000.0);
/// A reported start time that is later than the known one by more than this is another start, in ms. Covers the tick of
/// the server's clock and the transit time of the report.
const START_TOLERANCE_MS: f64 = 2_000.0;

/// The start of a server's process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Start {
    pub(super) incarnation: Option<u64>,
    /// When it started, by the pool's clock.
    pub(super) at: Option<f64>,
}

/// Measurements of a server.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Measurements {
    /// Log time for a unit of work relative to the pool's level, as if the server were warm and idle.
    pub(super) times: Mean,
    pub(super) failures: Rate,
}

pub(super) struct Server {
    pub(super) spec: Spec,
    /// Measurements since its current start.
    pub(super) measurements: Measurements,
    /// The part of them since its last ejection: it is not ejected twice for the same samples.
    pub(super) since_ejection: Measurements,
    pub(super) in_flight: u32,
    pub(super) start: Start,
    /// When a connection was last refused, if nothing has been received from it since.
    pub(super) refused_at: Option<f64>,
    /// When it was added to the list, if that was after the start of this process: its process may have started then.
    pub(super) listed_at: Option<f64>,
    /// This process's share of its calls in slow start, while it is or may be in slow start.
    pub(super) slow_start: Option<slow_start::Share>,
    /// Failures since the last successful call.
    pub(super) consecutive_failures: u32,
    pub(super) state: ServerState,
    /// The part of its normal traffic that the fleet allows.
    pub(super) share: Share,
}

impl Server {
    pub(super) fn new(spec: Spec, listed_at: Option<f64>) -> Self {
        Self {
            spec,
            measurements: Measurements::default(),
            since_ejection: Measurements::default(),
            in_flight: 0,
            start: Start::default(),
            refused_at: None,
            listed_at,
            slow_start: None,
            consecutive_failures: 0,
            state: ServerState::Active,
            share: Share::Part(1.0),
        }
    }

    /// Whether the fleet has ejected it, or allows only trial calls.
    pub(super) fn is_removed(&self) -> bool {
        matches!(self.share, Share::Trial | Share::Part(0.0))
    }

    /// Whether it may receive normal calls. `drawn` is a random number from 0 to 1 drawn for the call: a server that the
    /// fleet readmits step by step takes only that part of the calls.
    pub(super) fn accepts_calls(&self, drawn: f64) -> bool {
        let admitted = match self.share {
            Share::Part(part) => drawn < part,
            Share::Probed => true,
            Share::Trial => false,
        };
        self.state == ServerState::Active && admitted
    }

    /// Whether a start that the server reports is another one than the known one.
    pub(super) fn is_new_start(&self, reported: Start) -> bool {
        match (self.start, reported) {
            (Start { incarnation: Some(known), .. }, Start { incarnation: Some(reported), .. }) => {
                known != reported
            }
            (Start { at: Some(known), .. }, Start { at: Some(reported), .. }) => {
                reported > known + START_TOLERANCE_MS
            }
            _ => self.refused_at.is_some(),
        }
    }

    /// Discards the measurements of its previous start.
    pub(super) fn reset_for_start(&mut self, start: Start) {
        (self.measurements, self.since_ejection) = (Measurements::default(), Measurements::default());
        self.consecutive_failures = 0;
        self.start = start;
    }

    /// When the newest measurement was taken; `None` before the first.
    pub(super) fn measured_at(&self) -> Option<f64> {
        let newest = [self.measurements.times.newest(), self.measurements.failures.newest()];
        newest.into_iter().flatten().max_by(f64::total_cmp)
    }

    /// Adds `offset` to its log times, for when the pool's level moves.
    pub(super) fn shift(&mut self, offset: f64) {
        self.measurements.times.shift(offset);
        self.since_ejection.times.shift(offset);
    }

    pub(super) fn record_time(&mut self, now: f64, log_time: f64) {
        self.measurements.times.add(now, log_time);
        self.since_ejection.times.add(now, log_time);
    }

    pub(super) fn record_end(&mut self, now: f64, failed: bool) {
        self.measurements.failures.add(now, failed);
        self.since_ejection.failures.add(now, failed);
        self.consecutive_failures = if failed { self.consecutive_failures + 1 } else { 0 };
    }

    /// Ejects it, for longer each time in a row.
    pub(super) fn eject(&mut self, now: f64) {
        let times = match self.state {
            ServerState::Active => 0,
            ServerState::Ejected { times, .. } | ServerState::Trial { times, .. } => times,
        };
        let ejection_ms = (EJECTION_MS.0 * f64::from(times.min(16)).exp2()).min(EJECTION_MS.1);
        self.state = ServerState::Ejected { until: now + ejection_ms, times: times + 1 };
        self.since_ejection = Measurements::default();
    }

    /// Records the end of a trial call; does nothing outside a trial.
    pub(super) fn record_trial(&mut self, now: f64, succeeded: bool) {
        let ServerState::Trial { left, times, .. } = self.state else { return };
        if !succeeded {
            return self.eject(now);
        }
        self.state = if left > 1 {
            ServerState::Trial { left: left - 1, times, since: now }
        } else {
            ServerState::Active
        };
    }

    /// Calls in flight relative to its weight.
    pub(super) fn load(&self) -> f64 {
        f64::from(self.in_flight) / self.spec.weight
    }
}
