//! Statistics reported by several nodes, combined into prior evidence for this node's own estimates.

use serde::{Deserialize, Serialize};
use slotmap::{Key, SecondaryMap};

use super::digest::{Digest, ServerStats};
use super::trust::{CONTRADICTED, Trust, failure_evidence, time_evidence};

/// Upper bound of the reporters that are stored; a new one replaces the one that was added first.
const MAX_REPORTERS: usize = 8;
/// Time in which the weight of a claim halves, in ms.
const HALF_LIFE_MS: f64 = 60_000.0;
/// Age above which a claim is ignored, both on receipt and later, in ms.
const STALE_MS: f64 = 300_000.0;
/// Upper bound of the samples that all claims on a server together count for.
const MAX_WEIGHT: f64 = 12.0;
/// Number of own samples from which on claims no longer count.
const OWN_SAMPLES_TO_IGNORE: f64 = 24.0;
/// Bounds of the variance of a single sample.
const VARIANCE: (f64, f64) = (0.04, 2.0);
/// Variance added because servers change after they were measured.
const DRIFT_VARIANCE: f64 = 0.04;
/// Calls below which a claim does not count for the failure rate.
const MIN_CALLS: f64 = 0.5;
/// Variance within which reporters agree on a failure rate.
const FAILURE_RATE_VARIANCE: f64 = 0.05;
/// Lower bound of the variance of a reporter's claims over all servers, by which "the claim says nothing about this
/// server" is wider than the claim itself.
const MIN_SPREAD: f64 = 0.05;

/// A reporter's claim about one server.
#[derive(Clone, Debug)]
pub struct Claim {
    /// Log time relative to the median server of the same digest.
    mean: f64,
    variance: f64,
    samples: f64,
    failed: f64,
    calls: f64,
    ejected: bool,
    /// When its newest sample was taken, by the receiver's clock.
    measured_at: f64,
    incarnation: Option<u64>,
    /// When the server started, by the receiver's clock.
    started_at: Option<f64>,
    log_odds: f64,
}

struct Reporter<K: Key> {
    name: String,
    trust: Trust,
    claims: SecondaryMap<K, Claim>,
    /// Mean and variance of its claims over all servers.
    overall: (f64, f64),
}

/// Evidence from other nodes on one server, expressed in own samples.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prior {
    /// Relative log time.
    pub mean: f64,
    /// Number of own samples that `mean` counts for.
    pub weight: f64,
    /// Failures among `calls`.
    pub failed: f64,
    /// Number of own calls that the failure rate counts for.
    pub calls: f64,
}

/// An own sample, against which the reporters' claims are tested.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Relative log time; `None` if the call gave no time.
    pub log_time: Option<f64>,
    /// Whether the call failed; `None` if that is unknown.
    pub failed: Option<bool>,
    /// The failure rate measured over the whole pool.
    pub pool_failure_rate: f64,
}

/// Result of merging a digest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MergeResult {
    /// Servers whose claim was stored.
    pub accepted: usize,
    /// Servers that are not in the pool here.
    pub unknown: usize,
    /// Claims that were too old, or from before a start of the server that is known here.
    pub stale: usize,
}

/// A reporter's claim about a server, for display to an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportedEstimate {
    /// The reporter's name.
    #[serde(rename = "teller")]
    pub reporter: String,
    /// Trust in the reporter, from 0 to 1.
    pub trust: f64,
    /// Relative log time.
    pub log_time: f64,
    /// Current weight of the claim, in samples.
    pub weight: f64,
    /// Time since it was measured, in ms.
    pub age_ms: f64,
}

/// The claims of all reporters. `K` identifies servers.
pub struct PeerReports<K: Key> {
    reporters: Vec<Reporter<K>>,
}

impl<K: Key> Default for PeerReports<K> {
    fn default() -> Self {
        Self { reporters: Vec::new() }
    }
}

impl Claim {
    fn new(now: f64, item: &ServerStats, median: f64) -> Self {
        Self {
            mean: item.log_time - median,
            variance: item.variance.clamp(VARIANCE.0, VARIANCE.1) + DRIFT_VARIANCE,
            samples: item.samples,
            failed: item.failed,
            calls: item.calls,
            ejected: item.ejected,
            measured_at: now - item.age_ms,
            incarnation: item.run.incarnation,
            started_at: item.run.up_ms.map(|up| now - up),
            log_odds: 0.0,
        }
    }

    /// Factor from 0 to 1 on its weight, by its age.
    fn freshness(&self, now: f64) -> f64 {
        let age = (now - self.measured_at).max(0.0);
        if age > STALE_MS { 0.0 } else { (-age / HALF_LIFE_MS).exp2() }
    }

    /// Whether it was measured on this start of the server.
    fn is_of_start(&self, incarnation: Option<u64>, started_at: Option<f64>) -> bool {
        let same = match (self.incarnation, incarnation) {
            (Some(reported), Some(seen)) => reported == seen,
            _ => true,
        };
        same && started_at.is_none_or(|started| self.measured_at >= started)
    }

    fn failure_rate(&self) -> Option<f64> {
        (self.calls >= MIN_CALLS).then(|| (self.failed + 0.02) / (self.calls + 1.0))
    }

    fn is_contradicted(&self) -> bool {
        self.log_odds < CONTRADICTED
    }

    /// Weight of its time in samples, before trust.
    fn weight(&self, now: f64) -> f64 {
        if self.is_contradicted() { 0.0 } else { self.samples.min(MAX_WEIGHT) * self.freshness(now) }
    }

    /// Weight of its failure rate in calls, before trust.
    fn failure_weight(&self, now: f64) -> f64 {
        if self.is_contradicted() { 0.0 } else { self.calls.min(MAX_WEIGHT) * self.freshness(now) }
    }
}

impl<K: Key> Reporter<K> {
    fn new(name: String) -> Self {
        Self { name, trust: Trust::default(), claims: SecondaryMap::new(), overall: (0.0, MIN_SPREAD) }
    }

    /// Recomputes `overall` from the claims.
    fn update_overall(&mut self) {
        let count = self.claims.len().max(1) as f64;
        let mean = self.claims.values().map(|claim| claim.mean).sum::<f64>() / count;
        let spread = self.claims.values().map(|claim| (claim.mean - mean).powi(2)).sum::<f64>() / count;
        self.overall = (mean, spread.max(MIN_SPREAD));
    }

    /// Tests its claim about a server against an own sample, and updates the trust in it.
    fn add_sample(&mut self, server: K, sample: &Sample) {
        let Some(claim) = self.claims.get_mut(server).filter(|claim| !claim.is_contradicted()) else {
            return;
        };
        let mut evidence = 0.0;
        if let Some(x) = sample.log_time.filter(|_| claim.samples >= 1.0) {
            let variance = claim.variance * (1.0 + 1.0 / claim.samples);
            let all = (self.overall.0, self.overall.1 + variance);
            evidence += time_evidence(x, (claim.mean, variance), all);
        }
        if let (Some(failed), Some(rate)) = (sample.failed, claim.failure_rate()) {
            evidence += failure_evidence(failed, rate, sample.pool_failure_rate);
        }
        claim.log_odds = (claim.log_odds + evidence).min(1.0);
        self.trust.add_evidence(evidence);
        if claim.is_contradicted() {
            self.trust.count_contradiction();
        }
    }
}

/// Sorts the numbers and returns their median; 0 if there are none.
fn median(numbers: &mut [f64]) -> f64 {
    numbers.sort_by(f64::total_cmp);
    match numbers.len() {
        0 => 0.0,
        n if n % 2 == 1 => numbers[n / 2],
        n => (numbers[n / 2 - 1] + numbers[n / 2]) / 2.0,
    }
}

/// Sorts pairs of value and weight and returns the value at which half of the total weight is reached.
fn weighted_median(weighted: &mut [(f64, f64)]) -> f64 {
    weighted.sort_by(|a, b| a.0.total_cmp(&b.0));
    let half = weighted.iter().map(|(_, weight)| weight).sum::<f64>() / 2.0;
    let mut sum = 0.0;
    for (value, weight) in weighted.iter() {
        sum += weight;
        if sum >= half {
            return *value;
        }
    }
    0.0
}

impl<K: Key> PeerReports<K> {
    /// Stores the claims of a digest in place of the reporter's previous ones; trust in the reporter is retained. `find`
    /// returns the server at an address with its known incarnation and start time, by the receiver's clock.
    pub fn merge(
        &mut self,
        now: f64,
        digest: &Digest,
        find: impl Fn(&ServerStats) -> Option<(K, Option<u64>, Option<f64>)>,
    ) -> MergeResult {
        let mut times: Vec<f64> = digest.items.iter().map(|item| item.log_time).collect();
        let median = median(&mut times);
        let mut merged = MergeResult::default();
        let mut claims = SecondaryMap::new();
        for item in &digest.items {
            let claim = Claim::new(now, item, median);
            match find(item) {
                None => merged.unknown += 1,
                Some((_, incarnation, started_at))
                    if !claim.is_of_start(incarnation, started_at) || claim.freshness(now) <= 0.0 =>
                {
                    merged.stale += 1;
                }
                Some((server, ..)) => {
                    merged.accepted += 1;
                    claims.insert(server, claim);
                }
            }
        }
        let reporter = self.reporter(&digest.reporter);
        reporter.claims = claims;
        reporter.update_overall();
        merged
    }

    /// The reporter of this name, added if it is new.
    fn reporter(&mut self, name: &str) -> &mut Reporter<K> {
        let at = self.reporters.iter().position(|reporter| reporter.name == name).unwrap_or_else(|| {
            if self.reporters.len() == MAX_REPORTERS {
                self.reporters.remove(0);
            }
            self.reporters.push(Reporter::new(name.to_owned()));
            self.reporters.len() - 1
        });
        &mut self.reporters[at]
    }

    /// Adds `offset` to all claimed log times, for when the level of the receiver's pool moves.
    pub fn shift(&mut self, offset: f64) {
        for reporter in &mut self.reporters {
            reporter.overall.0 += offset;
            reporter.claims.values_mut().for_each(|claim| claim.mean += offset);
        }
    }

    /// Tests all claims about a server against an own sample.
    pub fn add_sample(&mut self, server: K, sample: &Sample) {
        self.reporters.iter_mut().for_each(|reporter| reporter.add_sample(server, sample));
    }

    /// Drops claims that were measured on another start of a server than this one.
    pub fn retain_start(&mut self, server: K, incarnation: Option<u64>, started_at: Option<f64>) {
        for reporter in &mut self.reporters {
            if reporter.claims.get(server).is_some_and(|claim| !claim.is_of_start(incarnation, started_at)) {
                reporter.claims.remove(server);
            }
        }
    }

    /// Drops claims about a server that was removed from the pool.
    pub fn remove_server(&mut self, server: K) {
        self.reporters.iter_mut().for_each(|reporter| {
            reporter.claims.remove(server);
        });
    }

    /// The latest start of a server that a trusted reporter has seen, by the receiver's clock.
    pub fn started_at(&self, server: K) -> Option<f64> {
        let trusted = self.reporters.iter().filter(|reporter| !reporter.trust.is_lost());
        let starts = trusted.filter_map(|reporter| {
            reporter.claims.get(server).filter(|claim| !claim.is_contradicted())?.started_at
        });
        starts.max_by(f64::total_cmp)
    }

    /// Combines all claims about a server into a prior, which fades with the number of own samples. Three or more
    /// reporters are combined by their weighted median, so that a single wrong one is outvoted. Disagreement lowers the
    /// weight, as in a random-effects model (DerSimonian and Laird, 1986).
    pub fn prior(&self, server: K, own_samples: f64, now: f64) -> Prior {
        let fading = (1.0 - own_samples / OWN_SAMPLES_TO_IGNORE).clamp(0.0, 1.0);
        if fading <= 0.0 || self.reporters.is_empty() {
            return Prior::default();
        }
        let claims = self
            .reporters
            .iter()
            .filter_map(|reporter| Some((reporter.claims.get(server)?, reporter.trust.share())));
        let (mut times, mut rates) = (Vec::new(), Vec::new());
        let mut variance = 0.0;
        for (claim, trust) in claims {
            times.push((claim.mean, claim.weight(now) * trust));
            variance += claim.variance * claim.weight(now) * trust;
            rates.push((claim.failure_rate().unwrap_or(0.0), claim.failure_weight(now) * trust));
        }
        let (mean, weight) = combine(&mut times, variance);
        let spread = FAILURE_RATE_VARIANCE * rates.iter().map(|(_, weight)| weight).sum::<f64>();
        let (failure_rate, calls) = combine(&mut rates, spread);
        Prior { mean, weight: weight * fading, failed: failure_rate * calls * fading, calls: calls * fading }
    }

    /// Whether the reporters that have ejected a server outweigh those that have not.
    pub fn is_ejected(&self, server: K, now: f64) -> bool {
        let claims = self
            .reporters
            .iter()
            .filter_map(|reporter| Some((reporter.claims.get(server)?, reporter.trust.share())));
        let (mut ejected, mut active) = (0.0, 0.0);
        for (claim, trust) in claims {
            let weight = claim.weight(now).max(claim.failure_weight(now)) * trust;
            *if claim.ejected { &mut ejected } else { &mut active } += weight;
        }
        ejected > active
    }

    /// Each reporter's claim about a server.
    pub fn reports(&self, server: K, now: f64) -> Vec<ReportedEstimate> {
        let claims =
            self.reporters.iter().filter_map(|reporter| Some((reporter, reporter.claims.get(server)?)));
        claims
            .map(|(reporter, claim)| ReportedEstimate {
                reporter: reporter.name.clone(),
                trust: reporter.trust.share(),
                log_time: claim.mean,
                weight: claim.weight(now) * reporter.trust.share(),
                age_ms: now - claim.measured_at,
            })
            .collect()
    }

    /// The trust in each reporter, from 0 to 1.
    pub fn reporters(&self) -> impl Iterator<Item = (&str, f64)> {
        self.reporters.iter().map(|reporter| (reporter.name.as_str(), reporter.trust.share()))
    }
}

/// Combines pairs of value and weight into one; `variance` is the sum of weight times the variance within each.
fn combine(weighted: &mut [(f64, f64)], variance: f64) -> (f64, f64) {
    let weight: f64 = weighted.iter().map(|(_, weight)| weight).sum();
    if weight <= 0.0 {
        return (0.0, 0.0);
    }
    let mean = weighted.iter().map(|(value, weight)| value * weight).sum::<f64>() / weight;
    let center = if weighted.iter().filter(|(_, weight)| *weight > 0.0).count() > 2 {
        weighted_median(weighted)
    } else {
        mean
    };
    let between =
        weighted.iter().map(|(value, weight)| weight * (value - mean).powi(2)).sum::<f64>() / weight;
    let within = (variance / weight).max(f64::EPSILON);
    (center, weight.min(MAX_WEIGHT) / (1.0 + between / within))
}
