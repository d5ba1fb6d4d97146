//! Statistics that forget: each sample's weight falls by half in a set time, and all together have a bounded weight,
//! so that new ones always count.

/// The weight of a sample falls by half in this time, in ms.
const HALF_LIFE_MS: f64 = 60_000.0;
/// The most weight that all samples have together.
const MOST_WEIGHT: f64 = 32.0;

fn kept(since: f64, now: f64) -> f64 {
    (-(now - since).max(0.0) / HALF_LIFE_MS).exp2()
}

/// Mean and variance of a figure (West's incremental form, 1979, with forgetting).
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Mean {
    weight: f64,
    mean: f64,
    squares: f64,
    at: f64,
}

impl Mean {
    pub(super) fn add(&mut self, now: f64, value: f64) {
        let kept = kept(self.at, now) * (1.0 - 1.0 / MOST_WEIGHT);
        let weight = self.weight * kept + 1.0;
        let off = value - self.mean;
        self.mean += off / weight;
        self.squares = self.squares * kept + off * (value - self.mean);
        (self.weight, self.at) = (weight, now);
    }

    /// Puts all samples elsewhere, as when what they are measured against moves.
    pub(super) fn shift(&mut self, by: f64) {
        self.mean += by;
    }

    /// How many samples it rests on now.
    pub(super) fn weight(&self, now: f64) -> f64 {
        self.weight * kept(self.at, now)
    }

    pub(super) fn mean(&self) -> f64 {
        self.mean
    }

    /// Of single samples; absent below two.
    pub(super) fn variance(&self) -> Option<f64> {
        (self.weight >= 2.0).then(|| (self.squares / (self.weight - 1.0)).max(0.0))
    }

    /// When the newest sample came; absent before the first.
    pub(super) fn newest(&self) -> Option<f64> {
        (self.weight > 0.0).then_some(self.at)
    }
}

/// How often something is so.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Rate {
    hits: f64,
    total: f64,
    at: f64,
}

impl Rate {
    pub(super) fn add(&mut self, now: f64, hit: bool) {
        let kept = kept(self.at, now) * (1.0 - 1.0 / MOST_WEIGHT);
        self.hits = self.hits * kept + f64::from(u8::from(hit));
        self.total = self.total * kept + 1.0;
        self.at = now;
    }

    /// When the newest came; absent before the first.
    pub(super) fn newest(&self) -> Option<f64> {
        (self.total > 0.0).then_some(self.at)
    }

    /// Those that were so, and all, by their weight now.
    pub(super) fn counts(&self, now: f64) -> (f64, f64) {
        let kept = kept(self.at, now);
        (self.hits * kept, self.total * kept)
    }
}
