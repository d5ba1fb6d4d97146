//! A few candidates drawn at random, those of one's own zone first.

use rand::Rng;

use super::server::ServerId;

/// Candidates for a choice; more gain little and cost in proportion (Mitzenmacher, 2001).
pub(super) const CANDIDATES: usize = 3;
/// Draws that may be lost, to weight or speed, before one is taken as it comes.
const DRAWS: usize = 8;

/// Servers that may be chosen: own zone and all others.
#[derive(Default)]
pub(super) struct Eligible {
    pub(super) near: Vec<ServerId>,
    pub(super) far: Vec<ServerId>,
    /// Those that are on trial.
    pub(super) trial: Vec<ServerId>,
    /// Those of which the fleet asks for evidence.
    pub(super) asked: Vec<ServerId>,
    /// The largest weight among them.
    pub(super) most_weight: f64,
}

impl Eligible {
    /// Draws candidates, each once: one of them from elsewhere where there is a choice. `fit` tells how much one
    /// that may be taken is wanted, up to the largest weight, and none of one that may not.
    pub(super) fn draw(
        &self,
        rng: &mut impl Rng,
        fit: impl Fn(ServerId) -> Option<f64>,
    ) -> impl Iterator<Item = ServerId> {
        let far = if self.near.is_empty() { CANDIDATES } else { usize::from(!self.far.is_empty()) };
        let mut drawn = [None; CANDIDATES];
        for at in 0..CANDIDATES {
            let from = if at < CANDIDATES - far { &self.near } else { &self.far };
            drawn[at] = self.one(from, rng, |id| fit(id).filter(|_| !drawn[..at].contains(&Some(id))));
        }
        drawn.into_iter().flatten()
    }

    /// One, with a chance that goes by how much it is wanted: rejection sampling, bounded.
    fn one(
        &self,
        from: &[ServerId],
        rng: &mut impl Rng,
        fit: impl Fn(ServerId) -> Option<f64>,
    ) -> Option<ServerId> {
        if from.is_empty() {
            return None;
        }
        let mut last = None;
        for _ in 0..DRAWS {
            let id = from[rng.random_range(..from.len())];
            let Some(wanted) = fit(id) else { continue };
            if rng.random::<f64>() * self.most_weight < wanted {
                return Some(id);
            }
            last = Some(id);
        }
        last
    }
}
