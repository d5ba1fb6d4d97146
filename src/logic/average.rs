//! Exponentially weighted averages that decay by sample count and by elapsed time.

/// Converts milliseconds to whole microseconds, which can be ordered and used in keys.
pub(super) fn micros(ms: f64) -> i64 {
    (ms * 1000.0) as i64
}

/// Maps a value that is negative or not finite to 0.
pub(super) fn finite_or_zero(value: f64) -> f64 {
    if value.is_finite() { value.max(0.0) } else { 0.0 }
}

/// Number of samples and time over which an average decays, whichever is reached first.
pub(super) struct Span {
    pub(super) samples: f64,
    pub(super) ms: f64,
}

/// The only smoothing used in this module: an average that decays by samples and by time, so that it means
/// the same at three requests a second as at a hundred. The first samples weigh more if it starts from an
/// estimate.
#[derive(Clone, Copy, Default)]
pub(super) struct Average {
    pub(super) value: f64,
    pub(super) samples: f64,
    pub(super) updated_at: f64,
}

impl Average {
    /// An average that starts from an estimate, which counts as one sample.
    pub(super) fn initial(value: f64) -> Self {
        Self { value, samples: 1.0, updated_at: f64::INFINITY }
    }

    /// Adds a sample at time `now`.
    pub(super) fn add(&mut self, now: f64, sample: f64, span: &Span) {
        self.samples += 1.0;
        let aged = 1.0 - (-(now - self.updated_at) / span.ms).exp();
        self.value += aged.max(1.0 / span.samples.min(self.samples)) * (sample - self.value);
        self.updated_at = now;
    }

    /// The value at time `now`, decayed towards zero since the last sample.
    pub(super) fn decayed(&self, now: f64, span: &Span) -> f64 {
        self.value * (-(now - self.updated_at) / span.ms).exp()
    }

    /// Adds one event to an average that holds the decayed number of events within the span.
    pub(super) fn count_event(&mut self, now: f64, span: &Span) {
        self.value = self.decayed(now, span) + 1.0;
        self.updated_at = now;
    }
}
