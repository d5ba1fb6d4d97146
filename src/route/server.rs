//! One server as its pool knows it.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::estimate::{Mean, Rate};
use super::slow_start;
use crate::ejection::list::Share;

slotmap::new_key_type! {
    /// Names a server for as long as it is in the pool; one that comes back later has a new name.
    pub struct ServerId;
}

/// A server as the operator names it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// Where it is reached.
    #[schemars(with = "String")]
    pub address: SocketAddr,
    /// Its zone; empty where there are none.
    #[serde(default)]
    pub zone: String,
    /// Its size beside others, above 0.
    #[serde(default = "usual_weight")]
    pub weight: f64,
}

fn usual_weight() -> f64 {
    1.0
}

/// Whether calls go to a server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerState {
    /// As to any other.
    #[serde(rename = "in")]
    Active,
    /// None do until this time, in ms; it has been put out so often in a row.
    #[serde(rename = "out")]
    Ejected {
        /// When it is tried again.
        until: f64,
        /// Times in a row.
        times: u32,
    },
    /// One at a time does, until so many have gone well.
    Trial {
        /// How many are left.
        left: u32,
        /// How often it was put out in a row.
        times: u32,
        /// When the trial began, or its last call ended.
        since: f64,
    },
}

/// Good calls in a row that bring a server back.
pub(super) const TRIALS: u32 = 3;
/// The first time out, in ms; it doubles up to the second.
const OUT_MS: (f64, f64) = (2_000.0, 20_000.0);
/// A start that is told this much off the one that is known is another, in ms: the tick of the server's clock and
/// the way of its word.
const START_SLACK_MS: f64 = 2_000.0;

/// The start of a server's process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Start {
    pub(super) incarnation: Option<u64>,
    /// By the pool's clock.
    pub(super) at: Option<f64>,
}

/// What was measured of a server.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Record {
    /// Log time for a unit of work relative to the pool's level, as if the server were warm and idle.
    pub(super) times: Mean,
    pub(super) failures: Rate,
}

pub(super) struct Server {
    pub(super) spec: Spec,
    /// Of this start of it.
    pub(super) known: Record,
    /// Of that, what came since it was last put out: it is not put out twice for the same.
    pub(super) judged: Record,
    pub(super) in_hand: u32,
    pub(super) start: Start,
    /// When a connection was refused last, if nothing has been heard of it since.
    pub(super) refused_at: Option<f64>,
    /// When it came into the list, where that was later than this process: it may have started then.
    pub(super) listed: Option<f64>,
    /// This process's share of what it gets in slow start, while it is, or may be.
    pub(super) slow_start: Option<slow_start::Share>,
    /// Failures since the last call that went well.
    pub(super) streak: u32,
    pub(super) standing: ServerState,
    /// What the fleet gives it of its usual share.
    pub(super) share: Share,
}

impl Server {
    pub(super) fn new(spec: Spec, listed: Option<f64>) -> Self {
        Self {
            spec,
            known: Record::default(),
            judged: Record::default(),
            in_hand: 0,
            start: Start::default(),
            refused_at: None,
            listed,
            slow_start: None,
            streak: 0,
            standing: ServerState::Active,
            share: Share::Part(1.0),
        }
    }

    /// Whether the fleet has taken it out, or lets only trial calls go there.
    pub(super) fn is_removed(&self) -> bool {
        matches!(self.share, Share::Trial | Share::Part(0.0))
    }

    /// Whether calls may go there as to any other, by what this node knows and by a number from 0 to 1 that is drawn
    /// for the call, of which a server on its way back takes a part.
    pub(super) fn is_open(&self, drawn: f64) -> bool {
        let open = match self.share {
            Share::Part(part) => drawn < part,
            Share::Probed => true,
            Share::Trial => false,
        };
        self.standing == ServerState::Active && open
    }

    /// Whether a word of the server on its start is of another one than is known.
    pub(super) fn is_another(&self, told: Start) -> bool {
        match (self.start, told) {
            (Start { incarnation: Some(known), .. }, Start { incarnation: Some(told), .. }) => known != told,
            (Start { at: Some(known), .. }, Start { at: Some(told), .. }) => told > known + START_SLACK_MS,
            _ => self.refused_at.is_some(),
        }
    }

    /// Forgets what was measured of another start.
    pub(super) fn restarted(&mut self, start: Start) {
        (self.known, self.judged) = (Record::default(), Record::default());
        self.streak = 0;
        self.start = start;
    }

    /// When the newest call that tells something of it ended; absent before the first.
    pub(super) fn measured(&self) -> Option<f64> {
        let newest = [self.known.times.newest(), self.known.failures.newest()];
        newest.into_iter().flatten().max_by(f64::total_cmp)
    }

    /// Puts its times beside another level.
    pub(super) fn shift(&mut self, by: f64) {
        self.known.times.shift(by);
        self.judged.times.shift(by);
    }

    pub(super) fn note_time(&mut self, now: f64, log_time: f64) {
        self.known.times.add(now, log_time);
        self.judged.times.add(now, log_time);
    }

    pub(super) fn note_end(&mut self, now: f64, failed: bool) {
        self.known.failures.add(now, failed);
        self.judged.failures.add(now, failed);
        self.streak = if failed { self.streak + 1 } else { 0 };
    }

    /// Puts it out, for longer each time in a row.
    pub(super) fn put_out(&mut self, now: f64) {
        let times = match self.standing {
            ServerState::Active => 0,
            ServerState::Ejected { times, .. } | ServerState::Trial { times, .. } => times,
        };
        let out_ms = (OUT_MS.0 * f64::from(times.min(16)).exp2()).min(OUT_MS.1);
        self.standing = ServerState::Ejected { until: now + out_ms, times: times + 1 };
        self.judged = Record::default();
    }

    /// Counts a call of a trial.
    pub(super) fn tried(&mut self, now: f64, good: bool) {
        let ServerState::Trial { left, times, .. } = self.standing else { return };
        if !good {
            return self.put_out(now);
        }
        self.standing = if left > 1 {
            ServerState::Trial { left: left - 1, times, since: now }
        } else {
            ServerState::Active
        };
    }

    /// Calls in hand beside its size.
    pub(super) fn load(&self) -> f64 {
        f64::from(self.in_hand) / self.spec.weight
    }
}
