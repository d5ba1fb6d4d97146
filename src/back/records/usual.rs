//! How long a call usually takes, and from when on one without a reply is taken for lost. No I/O and no clock.

use std::time::Duration;

/// Weights of a new sample in the mean, and in the mean deviation from it.
const MEAN_GAIN: f64 = 1.0 / 8.0;
const DEVIATION_GAIN: f64 = 1.0 / 4.0;
/// A call is lost after the mean and so many deviations. Four, as for packets, would give up one in fifty calls whose
/// times are spread exponentially; eight gives up one in a thousand.
const DEVIATIONS: f64 = 8.0;
/// Samples before anything is held to be usual.
const KNOWN: u32 = 8;
/// The least time to wait for a reply: below this a pause of either machine looks like a loss.
const LEAST: Duration = Duration::from_millis(50);
/// The wait doubles at most so many times.
const DOUBLINGS: u32 = 6;

/// The usual time of calls: mean and mean deviation with forgetting (Jacobson, Congestion Avoidance and Control, 1988).
#[derive(Debug, Default)]
pub(super) struct Usual {
    mean_ms: f64,
    deviation_ms: f64,
    samples: u32,
    doublings: u32,
}

impl Usual {
    /// A call was answered this long after it was sent. Whatever was lost before is no sign of slowness any more.
    pub fn answered(&mut self, took: Duration) {
        let took_ms = took.as_secs_f64() * 1000.0;
        if self.samples == 0 {
            (self.mean_ms, self.deviation_ms) = (took_ms, took_ms / 2.0);
        } else {
            let off_ms = took_ms - self.mean_ms;
            self.mean_ms += MEAN_GAIN * off_ms;
            self.deviation_ms += DEVIATION_GAIN * (off_ms.abs() - self.deviation_ms);
        }
        self.samples = self.samples.saturating_add(1);
        self.doublings = 0;
    }

    /// A call got no reply in its time. Guards what is slow, and has lost nothing, against ever more calls: the wait
    /// doubles until one is answered.
    pub fn lost(&mut self) {
        self.doublings = (self.doublings + 1).min(DOUBLINGS);
    }

    /// How long to wait for a reply; absent while too little is known.
    pub fn patience(&self) -> Option<Duration> {
        let wait_ms = (self.mean_ms + DEVIATIONS * self.deviation_ms) * f64::from(1 << self.doublings);
        (self.samples >= KNOWN).then(|| Duration::from_secs_f64(wait_ms / 1000.0).max(LEAST))
    }
}
