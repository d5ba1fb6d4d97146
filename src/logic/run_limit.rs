//! Limits how many requests run at once, and learns how long those of a class take.

use super::average::{Average, Span, finite_or_zero};
use crate::interface::{Class, Gauges};

/// Core demand per core: below the first value, a waiting request raises the run limit; above the second,
/// the limit falls.
pub(super) const DEMAND_BAND: (f64, f64) = (1.1, 1.6);
/// Averaging of the core demand: three wake-ups, less than a run lasts.
pub(super) const DEMAND_SPAN: Span = Span { samples: 3.3, ms: 200.0 };
/// Step of the run limit at each wake-up, in requests.
pub(super) const LIMIT_STEP: f64 = 0.5;
/// Share of the concurrency that the server survives which runs alone, without those at calls, may use.
pub(super) const RUN_SHARE: f64 = 0.4;
/// A hint shifts the expected time by this part of its ratio to the mean hint, and the ratio is capped at
/// this.
pub(super) const HINT_WEIGHT: f64 = 0.5;
pub(super) const MAX_HINT_RATIO: f64 = 6.0;
/// Expected run time of a class as a part of its aim, until a run has ended.
pub(super) const INITIAL_AIM_SHARE: f64 = 0.15;

/// Limit on concurrent runs: at least the number of cores, at most a share of what the server survives.
#[derive(Default)]
pub(super) struct RunLimit {
    pub(super) cores: f64,
    pub(super) limit: f64,
    /// Mean demand for cores.
    pub(super) demand: Average,
    /// Share of the cores that was busy at the last wake-up.
    pub(super) core_use: f64,
}

impl RunLimit {
    /// Adapts the limit to the core demand; `survivable` is the concurrency that the server survives.
    pub(super) fn update(&mut self, now: f64, gauges: &Gauges, running: f64, waiting: bool, survivable: f64) {
        let demand = finite_or_zero(gauges.on_cores.unwrap_or(running));
        self.core_use = finite_or_zero(gauges.core_use.unwrap_or(demand / self.cores));
        self.demand.add(now, demand, &DEMAND_SPAN);
        let demand_per_core = self.demand.value / self.cores;
        if waiting && demand_per_core < DEMAND_BAND.0 {
            self.limit += LIMIT_STEP;
        } else if demand_per_core > DEMAND_BAND.1 {
            self.limit -= LIMIT_STEP;
        }
        self.limit = self.limit.min(survivable * RUN_SHARE).max(self.cores);
    }
}

/// Learned times of one class, in ms: in a run slot, at calls, and as hinted.
#[derive(Clone)]
pub(super) struct RunTimes {
    pub(super) slot_ms: Average,
    pub(super) parked_ms: Average,
    pub(super) hint_ms: Average,
}

impl RunTimes {
    /// Initial estimate for a class of which no run has ended.
    pub(super) fn initial(class: &Class) -> Self {
        let slot_ms = INITIAL_AIM_SHARE * class.aim_ms;
        let parked_ms = Average::initial(if class.calls { slot_ms } else { 0.0 });
        Self { slot_ms: Average::initial(slot_ms), parked_ms, hint_ms: Average::default() }
    }

    /// Expected time in a run slot; a hint counts by half, as it is only approximate.
    pub(super) fn expected_ms(&self, hint_ms: Option<f64>) -> f64 {
        let hint_ratio =
            hint_ms.filter(|_| self.hint_ms.value > 0.0).map_or(1.0, |hint_ms| hint_ms / self.hint_ms.value);
        self.slot_ms.value * (1.0 + HINT_WEIGHT * (hint_ratio.min(MAX_HINT_RATIO) - 1.0))
    }
}
