//! What several tellers have said, as prior evidence beside own measurements.

use serde::{Deserialize, Serialize};
use slotmap::{Key, SecondaryMap};

use super::digest::{Digest, ServerStats};
use super::trust::{CONTRADICTED, Trust, of_failure, of_time};

/// Tellers that are remembered at the most; the one heard of first leaves for a newcomer.
const MOST_TELLERS: usize = 8;
/// The weight of what is said falls by half in this time.
const HALF_LIFE_MS: f64 = 60_000.0;
/// What is older than this when it is told or used is not used at all.
const STALE_MS: f64 = 300_000.0;
/// The most samples that all that is said of a server counts for.
const MOST_WEIGHT: f64 = 12.0;
/// Own samples behind which nothing that was said counts any more.
const OVERTAKEN: f64 = 24.0;
/// Bounds of the variance of a single sample, and the part of it by which servers drift after they were measured.
const VARIANCE: (f64, f64) = (0.04, 2.0);
const DRIFT: f64 = 0.04;
/// Calls below which a claim tells nothing of failures.
const LEAST_CALLS: f64 = 0.5;
/// The variance within which tellers agree on a failure rate.
const FAILING_VARIANCE: f64 = 0.05;
/// How far the variance of "it says nothing" lies above that of a claim at the least.
const SPREAD: f64 = 0.05;

/// One teller's word on one server.
#[derive(Clone, Debug)]
pub struct Claim {
    /// Log time relative to the middle server of the same digest.
    mean: f64,
    variance: f64,
    samples: f64,
    failed: f64,
    calls: f64,
    out: bool,
    /// When its newest sample was taken, by the receiver's clock.
    measured_at: f64,
    incarnation: Option<u64>,
    /// When the server started, by the receiver's clock.
    started: Option<f64>,
    log_odds: f64,
}

struct Teller<K: Key> {
    name: String,
    trust: Trust,
    claims: SecondaryMap<K, Claim>,
    /// Mean and variance of what it says of all servers.
    overall: (f64, f64),
}

/// Evidence from others on one server, in the terms of own samples.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prior {
    /// Relative log time.
    pub mean: f64,
    /// How many own samples it counts for.
    pub weight: f64,
    /// Failures among `calls` calls that it counts for.
    pub failed: f64,
    /// See `failed`.
    pub calls: f64,
}

/// An own sample, as the tellers are held to it.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Relative log time; absent for a call that tells none.
    pub log_time: Option<f64>,
    /// Whether the call failed; absent for one that tells neither.
    pub failed: Option<bool>,
    /// The failure rate measured over the whole pool.
    pub failing: f64,
}

/// What came of a digest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MergeResult {
    /// Servers on which something was taken in.
    pub accepted: usize,
    /// Servers that are in no pool here.
    pub unknown: usize,
    /// Claims that were too old, or from before a start of the server that is known here.
    pub stale: usize,
}

/// One teller's word on a server, for those who look.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportedEstimate {
    /// Who says it.
    #[serde(rename = "teller")]
    pub reporter: String,
    /// How far it is believed, from 0 to 1.
    pub trust: f64,
    /// Relative log time.
    pub log_time: f64,
    /// The weight that this has now, in samples.
    pub weight: f64,
    /// Time since it was measured, in ms.
    pub age_ms: f64,
}

/// All that was said and is remembered. `K` names servers.
pub struct Inherited<K: Key> {
    tellers: Vec<Teller<K>>,
}

impl<K: Key> Default for Inherited<K> {
    fn default() -> Self {
        Self { tellers: Vec::new() }
    }
}

impl Claim {
    fn new(now: f64, item: &ServerStats, middle: f64) -> Self {
        Self {
            mean: item.log_time - middle,
            variance: item.variance.clamp(VARIANCE.0, VARIANCE.1) + DRIFT,
            samples: item.samples,
            failed: item.failed,
            calls: item.calls,
            out: item.ejected,
            measured_at: now - item.age_ms,
            incarnation: item.run.incarnation,
            started: item.run.up_ms.map(|up| now - up),
            log_odds: 0.0,
        }
    }

    /// Its part of full weight, from 0 to 1, at this age.
    fn freshness(&self, now: f64) -> f64 {
        let age = (now - self.measured_at).max(0.0);
        if age > STALE_MS { 0.0 } else { (-age / HALF_LIFE_MS).exp2() }
    }

    /// Whether it is of this start of the server.
    fn is_of(&self, incarnation: Option<u64>, started: Option<f64>) -> bool {
        let same = match (self.incarnation, incarnation) {
            (Some(told), Some(seen)) => told == seen,
            _ => true,
        };
        same && started.is_none_or(|started| self.measured_at >= started)
    }

    fn failing(&self) -> Option<f64> {
        (self.calls >= LEAST_CALLS).then(|| (self.failed + 0.02) / (self.calls + 1.0))
    }

    fn is_contradicted(&self) -> bool {
        self.log_odds < CONTRADICTED
    }

    /// Weight in samples, before trust.
    fn weight(&self, now: f64) -> f64 {
        if self.is_contradicted() { 0.0 } else { self.samples.min(MOST_WEIGHT) * self.freshness(now) }
    }

    fn fail_weight(&self, now: f64) -> f64 {
        if self.is_contradicted() { 0.0 } else { self.calls.min(MOST_WEIGHT) * self.freshness(now) }
    }
}

impl<K: Key> Teller<K> {
    fn new(name: String) -> Self {
        Self { name, trust: Trust::default(), claims: SecondaryMap::new(), overall: (0.0, SPREAD) }
    }

    fn sum_up(&mut self) {
        let count = self.claims.len().max(1) as f64;
        let mean = self.claims.values().map(|claim| claim.mean).sum::<f64>() / count;
        let spread = self.claims.values().map(|claim| (claim.mean - mean).powi(2)).sum::<f64>() / count;
        self.overall = (mean, spread.max(SPREAD));
    }

    fn learn(&mut self, of: K, sample: &Sample) {
        let Some(claim) = self.claims.get_mut(of).filter(|claim| !claim.is_contradicted()) else { return };
        let mut evidence = 0.0;
        if let Some(x) = sample.log_time.filter(|_| claim.samples >= 1.0) {
            let variance = claim.variance * (1.0 + 1.0 / claim.samples);
            let all = (self.overall.0, self.overall.1 + variance);
            evidence += of_time(x, (claim.mean, variance), all);
        }
        if let (Some(failed), Some(rate)) = (sample.failed, claim.failing()) {
            evidence += of_failure(failed, rate, sample.failing);
        }
        claim.log_odds = (claim.log_odds + evidence).min(1.0);
        self.trust.learn(evidence);
        if claim.is_contradicted() {
            self.trust.caught();
        }
    }
}

/// The middle of a list of numbers, which it sorts; 0 for none.
fn middle(numbers: &mut [f64]) -> f64 {
    numbers.sort_by(f64::total_cmp);
    match numbers.len() {
        0 => 0.0,
        n if n % 2 == 1 => numbers[n / 2],
        n => (numbers[n / 2 - 1] + numbers[n / 2]) / 2.0,
    }
}

/// The value at which half of the weight is reached.
fn weighted_middle(said: &mut [(f64, f64)]) -> f64 {
    said.sort_by(|a, b| a.0.total_cmp(&b.0));
    let half = said.iter().map(|(_, weight)| weight).sum::<f64>() / 2.0;
    let mut sum = 0.0;
    for (value, weight) in said.iter() {
        sum += weight;
        if sum >= half {
            return *value;
        }
    }
    0.0
}

impl<K: Key> Inherited<K> {
    /// Takes a digest in, in the place of the one that this teller sent before; trust in it is kept. `find` names the
    /// server at an address, with the incarnation and the start, by the receiver's clock, that are known of it.
    pub fn merge(
        &mut self,
        now: f64,
        digest: &Digest,
        find: impl Fn(&ServerStats) -> Option<(K, Option<u64>, Option<f64>)>,
    ) -> MergeResult {
        let mut times: Vec<f64> = digest.items.iter().map(|item| item.log_time).collect();
        let middle = middle(&mut times);
        let mut merged = MergeResult::default();
        let mut claims = SecondaryMap::new();
        for item in &digest.items {
            let claim = Claim::new(now, item, middle);
            match find(item) {
                None => merged.unknown += 1,
                Some((_, incarnation, started))
                    if !claim.is_of(incarnation, started) || claim.freshness(now) <= 0.0 =>
                {
                    merged.stale += 1;
                }
                Some((of, ..)) => {
                    merged.accepted += 1;
                    claims.insert(of, claim);
                }
            }
        }
        let teller = self.teller(&digest.reporter);
        teller.claims = claims;
        teller.sum_up();
        merged
    }

    fn teller(&mut self, name: &str) -> &mut Teller<K> {
        let at = self.tellers.iter().position(|teller| teller.name == name).unwrap_or_else(|| {
            if self.tellers.len() == MOST_TELLERS {
                self.tellers.remove(0);
            }
            self.tellers.push(Teller::new(name.to_owned()));
            self.tellers.len() - 1
        });
        &mut self.tellers[at]
    }

    /// Puts all that was said beside another level, as the receiver's own samples are.
    pub fn shift(&mut self, by: f64) {
        for teller in &mut self.tellers {
            teller.overall.0 += by;
            teller.claims.values_mut().for_each(|claim| claim.mean += by);
        }
    }

    /// Holds what was said of a server to an own sample.
    pub fn learn(&mut self, of: K, sample: &Sample) {
        self.tellers.iter_mut().for_each(|teller| teller.learn(of, sample));
    }

    /// Drops what was said of another start of a server than this one.
    pub fn started(&mut self, of: K, incarnation: Option<u64>, started: Option<f64>) {
        for teller in &mut self.tellers {
            if teller.claims.get(of).is_some_and(|claim| !claim.is_of(incarnation, started)) {
                teller.claims.remove(of);
            }
        }
    }

    /// Drops what was said of a server that is in no pool any more.
    pub fn forget(&mut self, of: K) {
        self.tellers.iter_mut().for_each(|teller| {
            teller.claims.remove(of);
        });
    }

    /// The latest start of a server that a teller who is believed has seen, by the receiver's clock.
    pub fn start_of(&self, of: K) -> Option<f64> {
        let claims = self.tellers.iter().filter(|teller| !teller.trust.is_lost());
        let starts = claims
            .filter_map(|teller| teller.claims.get(of).filter(|claim| !claim.is_contradicted())?.started);
        starts.max_by(f64::total_cmp)
    }

    /// What all that was said of a server comes to, beside `own` samples of one's own. Three and more tellers are
    /// combined by their weighted median, so that one is outvoted; disagreement lowers the weight, as in a random
    /// effects model (DerSimonian and Laird, 1986).
    pub fn prior(&self, of: K, own: f64, now: f64) -> Prior {
        let fades = (1.0 - own / OVERTAKEN).clamp(0.0, 1.0);
        if fades <= 0.0 || self.tellers.is_empty() {
            return Prior::default();
        }
        let said =
            self.tellers.iter().filter_map(|teller| Some((teller.claims.get(of)?, teller.trust.share())));
        let (mut times, mut rates) = (Vec::new(), Vec::new());
        let mut variance = 0.0;
        for (claim, trust) in said {
            times.push((claim.mean, claim.weight(now) * trust));
            variance += claim.variance * claim.weight(now) * trust;
            rates.push((claim.failing().unwrap_or(0.0), claim.fail_weight(now) * trust));
        }
        let (mean, weight) = combine(&mut times, variance);
        let spread = FAILING_VARIANCE * rates.iter().map(|(_, weight)| weight).sum::<f64>();
        let (failing, calls) = combine(&mut rates, spread);
        Prior { mean, weight: weight * fades, failed: failing * calls * fades, calls: calls * fades }
    }

    /// Whether those who put a server out outweigh those who have not.
    pub fn is_out(&self, of: K, now: f64) -> bool {
        let said =
            self.tellers.iter().filter_map(|teller| Some((teller.claims.get(of)?, teller.trust.share())));
        let (mut out, mut within) = (0.0, 0.0);
        for (claim, trust) in said {
            let weight = claim.weight(now).max(claim.fail_weight(now)) * trust;
            *if claim.out { &mut out } else { &mut within } += weight;
        }
        out > within
    }

    /// Who has said what of a server.
    pub fn heard(&self, of: K, now: f64) -> Vec<ReportedEstimate> {
        let said = self.tellers.iter().filter_map(|teller| Some((teller, teller.claims.get(of)?)));
        said.map(|(teller, claim)| ReportedEstimate {
            reporter: teller.name.clone(),
            trust: teller.trust.share(),
            log_time: claim.mean,
            weight: claim.weight(now) * teller.trust.share(),
            age_ms: now - claim.measured_at,
        })
        .collect()
    }

    /// How far each teller is believed, from 0 to 1.
    pub fn reporters(&self) -> impl Iterator<Item = (&str, f64)> {
        self.tellers.iter().map(|teller| (teller.name.as_str(), teller.trust.share()))
    }
}

/// Values with weights as one; `variance` is the sum of weight times the variance within each.
fn combine(said: &mut [(f64, f64)], variance: f64) -> (f64, f64) {
    let weight: f64 = said.iter().map(|(_, weight)| weight).sum();
    if weight <= 0.0 {
        return (0.0, 0.0);
    }
    let mean = said.iter().map(|(value, weight)| value * weight).sum::<f64>() / weight;
    let centre = if said.iter().filter(|(_, weight)| *weight > 0.0).count() > 2 {
        weighted_middle(said)
    } else {
        mean
    };
    let between = said.iter().map(|(value, weight)| weight * (value - mean).powi(2)).sum::<f64>() / weight;
    let within = (variance / weight).max(f64::EPSILON);
    (centre, weight.min(MOST_WEIGHT) / (1.0 + between / within))
}
