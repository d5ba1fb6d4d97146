//! The Brownout controller as published: the dimmer Q, its gain estimate and the window of response times.

use std::collections::VecDeque;

/// Control period in ms: a few answers fall into each; the published second is long for an aim of 2 s.
pub(super) const PERIOD_MS: f64 = 500.0;
/// Window of response times in ms: published as 5 periods; 3 periods forget a burst sooner.
pub(super) const WINDOW_MS: f64 = 1500.0;
/// Closed-loop pole p1: the slower, safer one of the two published (stays stable with a gain estimate 20
/// times off).
pub(super) const POLE: f64 = 0.9;
/// Forgetting factor mu of the gain estimate: it follows a new gain within about five periods.
pub(super) const GAIN_FORGETTING: f64 = 0.2;
/// The gain is not learned while the dimmer in force is at or under this: t/Q carries no information there.
pub(super) const GAIN_MIN_Q: f64 = 0.05;
/// Bounds of the gain estimate: a stall must not raise it so far that recovery takes very long.
pub(super) const GAIN_BOUNDS: (f64, f64) = (0.5, 4.0);
/// Largest ratio t used: a larger one is caused by a stall, not by the optional part.
pub(super) const MAX_RATIO: f64 = 3.0;
/// Share of the largest ratios in a window that is ignored, so that one long request does not decide.
pub(super) const TRIMMED_SHARE: f64 = 0.05;
/// Minimum rise of the dimmer per period without load pressure: from 0 to 1 in five seconds.
pub(super) const MIN_RISE: f64 = 0.1;

/// The controller: Q, its gain estimate and the window of response times (time, ratio of response time to
/// aim).
#[derive(Default)]
pub(super) struct Dimmer {
    pub(super) q: f64,
    pub(super) gain: f64,
    pub(super) window: VecDeque<(f64, f64)>,
    pub(super) next_step_at: f64,
}

impl Dimmer {
    /// One control period. Q may fall only if `pressed`: the cores are busy, work is held or calls are
    /// congested. `call_congestion` counts as a response time ratio.
    pub(super) fn step(&mut self, now: f64, pressed: bool, call_congestion: f64) {
        self.next_step_at = now + PERIOD_MS;
        while self.window.front().is_some_and(|(at, _)| *at < now - WINDOW_MS) {
            self.window.pop_front();
        }
        if self.window.is_empty() {
            return;
        }
        let mut ratios: Vec<f64> = self.window.iter().map(|(_, ratio)| *ratio).collect();
        ratios.sort_by(f64::total_cmp);
        let trimmed = (ratios.len() as f64 * TRIMMED_SHARE) as usize;
        let ratio = ratios[ratios.len() - 1 - trimmed].max(call_congestion).min(MAX_RATIO);
        let in_force = self.q;
        let step = (1.0 - POLE) / self.gain * (1.0 - ratio);
        self.q = (in_force + if pressed { step } else { step.max(MIN_RISE) }).clamp(0.0, 1.0);
        if in_force > GAIN_MIN_Q {
            let learned = (1.0 - GAIN_FORGETTING) * self.gain + GAIN_FORGETTING * ratio / in_force;
            self.gain = learned.clamp(GAIN_BOUNDS.0, GAIN_BOUNDS.1);
        }
    }
}
