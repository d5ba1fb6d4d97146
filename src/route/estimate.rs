//! Exponentially decaying statistics: a sample's weight halves in a set time, and the total weight is bounded, so that
//! new samples always count.

/// Time in which the weight of a sample halves, in ms.
const HALF_LIFE_MS: f64 = 60_000.0;
/// Upper bound of the total weight of all samples.
const MAX_WEIGHT: f64 = 32.0;

/// The part of a weight that remains after the time from `since` to `now`.
fn decay(since: f64, now: f64) -> f64 {
    (-(now - since).max(0.0) / HALF_LIFE_MS).exp2()
}

/// Decaying mean and variance of a value (West's incremental algorithm, 1979).
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Mean {
    weight: f64,
    mean: f64,
    /// Weighted sum of squared deviations from the mean.
    squared_deviations: f64,
    /// When the newest sample was added, in ms.
    updated_at: f64,
}

impl Mean {
    pub(super) fn add(&mut self, now: f64, value: f64) {
        let remaining = decay(self.updated_at, now) * (1.0 - 1.0 / MAX_WEIGHT);
        let weight = self.weight * remaining + 1.0;
        let deviation = value - self.mean;
        self.mean += deviation / weight;
        self.squared_deviations = self.squared_deviations * remaining + deviation * (value - self.mean);
        (self.weight, self.updated_at) = (weight, now);
    }

    /// Adds `offset` to all samples, for when the reference that they are relative to moves.
    pub(super) fn shift(&mut self, offset: f64) {
        self.mean += offset;
    }

    /// Effective number of samples at `now`.
    pub(super) fn weight(&self, now: f64) -> f64 {
        self.weight * decay(self.updated_at, now)
    }

    pub(super) fn mean(&self) -> f64 {
        self.mean
    }

    /// Variance of single samples; `None` below an effective weight of two samples.
    pub(super) fn variance(&self) -> Option<f64> {
        (self.weight >= 2.0).then(|| (self.squared_deviations / (self.weight - 1.0)).max(0.0))
    }

    /// When the newest sample was added; `None` before the first.
    pub(super) fn newest(&self) -> Option<f64> {
        (self.weight > 0.0).then_some(self.updated_at)
    }
}

/// Decaying rate of a yes/no event, such as the failure of a call.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Rate {
    hits: f64,
    total: f64,
    /// When the newest sample was added, in ms.
    updated_at: f64,
}

impl Rate {
    pub(super) fn add(&mut self, now: f64, hit: bool) {
        let remaining = decay(self.updated_at, now) * (1.0 - 1.0 / MAX_WEIGHT);
        self.hits = self.hits * remaining + f64::from(u8::from(hit));
        self.total = self.total * remaining + 1.0;
        self.updated_at = now;
    }

    /// When the newest sample was added; `None` before the first.
    pub(super) fn newest(&self) -> Option<f64> {
        (self.total > 0.0).then_some(self.updated_at)
    }

    /// Decayed counts at `now`: hits, and all samples.
    pub(super) fn counts(&self, now: f64) -> (f64, f64) {
        let remaining = decay(self.updated_at, now);
        (self.hits * remaining, self.total * remaining)
    }
}
