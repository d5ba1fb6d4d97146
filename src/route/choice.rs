//! Random selection of a few candidates, mostly from this node's own zone.

use rand::Rng;

use super::server::ServerId;

/// Candidates compared for each choice. More add little benefit and cost in proportion (Mitzenmacher, 2001).
pub(super) const CANDIDATES: usize = 3;
/// Attempts of rejection sampling for one candidate; after the last one, the server drawn last is taken.
const MAX_DRAWS: usize = 8;

/// Servers that may be chosen, as of the last review of the pool.
#[derive(Default)]
pub(super) struct Eligible {
    /// Servers of this node's zone.
    pub(super) same_zone: Vec<ServerId>,
    /// Servers of all other zones.
    pub(super) other_zones: Vec<ServerId>,
    /// Servers on trial.
    pub(super) on_trial: Vec<ServerId>,
    /// Servers for which the fleet requests evidence.
    pub(super) evidence_requested: Vec<ServerId>,
    /// The largest weight among them.
    pub(super) max_weight: f64,
}

impl Eligible {
    /// Draws distinct candidates. If both lists hold servers, one candidate comes from another zone. `preference` returns
    /// a server's sampling weight, at most `max_weight`, or `None` if the server must not be used.
    pub(super) fn draw(
        &self,
        rng: &mut impl Rng,
        preference: impl Fn(ServerId) -> Option<f64>,
    ) -> impl Iterator<Item = ServerId> {
        let remote_candidates =
            if self.same_zone.is_empty() { CANDIDATES } else { usize::from(!self.other_zones.is_empty()) };
        let mut drawn = [None; CANDIDATES];
        for at in 0..CANDIDATES {
            let from = if at < CANDIDATES - remote_candidates { &self.same_zone } else { &self.other_zones };
            drawn[at] =
                self.draw_one(from, rng, |id| preference(id).filter(|_| !drawn[..at].contains(&Some(id))));
        }
        drawn.into_iter().flatten()
    }

    /// Draws one server with a probability proportional to its preference: rejection sampling with a bounded number of
    /// attempts.
    fn draw_one(
        &self,
        from: &[ServerId],
        rng: &mut impl Rng,
        preference: impl Fn(ServerId) -> Option<f64>,
    ) -> Option<ServerId> {
        if from.is_empty() {
            return None;
        }
        let mut last = None;
        for _ in 0..MAX_DRAWS {
            let id = from[rng.random_range(..from.len())];
            let Some(weight) = preference(id) else { continue };
            if rng.random::<f64>() * self.max_weight < weight {
                return Some(id);
            }
            last = Some(id);
        }
        last
    }
}
