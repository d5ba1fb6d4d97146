//! How well this node itself does. One that is late, or finds everyone else silent, is probably the one that is ill: it
//! probes more slowly and believes its own findings less (local health multiplier of Lifeguard, Dadgar et al. 2018).

/// The worst score.
pub const WORST: u64 = 8;

/// The score: 0 is well.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health(u64);

impl Health {
    /// Something went wrong that may be this node's own doing.
    pub fn worse(&mut self, by: u64) {
        self.0 = (self.0 + by).min(WORST);
    }

    /// A probe was answered.
    pub fn better(&mut self) {
        self.0 = self.0.saturating_sub(1);
    }

    /// The score.
    pub fn score(self) -> u64 {
        self.0
    }

    /// A time, stretched by how ill the node is.
    pub fn stretch(self, ms: u64) -> u64 {
        ms * (1 + self.0)
    }
}
