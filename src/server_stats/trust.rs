//! Trust in a reporter: a sequential probability ratio test (Wald, 1945) of "its reports are true" against "its reports
//! say nothing about this server", updated by each own sample.

/// Log odds below which a claim counts as contradicted: 1 in 99, the decision threshold of the test.
pub const CONTRADICTED: f64 = -4.595_119_850_134_59;
/// Initial log odds of a reporter: a probability of 0.88.
const INITIAL_LOG_ODDS: f64 = 2.0;
/// Upper bound of the log odds that one sample adds.
const MAX_GAIN: f64 = 1.0;
/// Lower bound of the log odds that one sample adds: a single extreme sample decides nothing.
const MAX_LOSS: f64 = -3.0;
/// Upper bound of the log odds: a long record of true reports does not make up for later false ones.
const MAX_LOG_ODDS: f64 = 4.0;
/// Factor on trust for each server on which the reporter is contradicted.
const CONTRADICTION_FACTOR: f64 = 0.5;
/// Bounds of failure rates in the test: a claim of no failures at all would be refuted by a single one.
const FAILURE_RATES: (f64, f64) = (0.02, 0.9);

/// Trust in one reporter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Trust {
    log_odds: f64,
    contradictions: u32,
}

impl Default for Trust {
    fn default() -> Self {
        Self { log_odds: INITIAL_LOG_ODDS, contradictions: 0 }
    }
}

impl Trust {
    /// Adds the evidence of a sample, as log odds.
    pub fn add_evidence(&mut self, evidence: f64) {
        self.log_odds = (self.log_odds + evidence).min(MAX_LOG_ODDS);
    }

    /// Counts a server on which the reporter is contradicted.
    pub fn count_contradiction(&mut self) {
        self.contradictions += 1;
    }

    /// Whether all its reports are ignored, on every server.
    pub fn is_lost(&self) -> bool {
        self.log_odds < CONTRADICTED
    }

    /// Factor from 0 to 1 on the weight of its claims.
    pub fn share(&self) -> f64 {
        if self.is_lost() {
            return 0.0;
        }
        CONTRADICTION_FACTOR.powf(f64::from(self.contradictions)) / (1.0 + (-self.log_odds).exp())
    }
}

/// Log likelihood of `x` under a normal distribution, without the constant term.
fn normal_log_likelihood(x: f64, mean: f64, variance: f64) -> f64 {
    -0.5 * ((x - mean).powi(2) / variance + variance.ln())
}

/// Log likelihood ratio of a measured log time: the claim on this server against the reporter's claims on all servers,
/// each given as mean and variance.
pub(super) fn time_evidence(x: f64, claim: (f64, f64), all: (f64, f64)) -> f64 {
    (normal_log_likelihood(x, claim.0, claim.1) - normal_log_likelihood(x, all.0, all.1))
        .clamp(MAX_LOSS, MAX_GAIN)
}

/// Log likelihood ratio of a call that failed or succeeded: the claimed failure rate against the measured rate of all
/// servers.
pub(super) fn failure_evidence(failed: bool, claim: f64, all: f64) -> f64 {
    let (claim, all) =
        (claim.clamp(FAILURE_RATES.0, FAILURE_RATES.1), all.clamp(FAILURE_RATES.0, FAILURE_RATES.1));
    let ratio = if failed { claim / all } else { (1.0 - claim) / (1.0 - all) };
    ratio.ln().clamp(MAX_LOSS, MAX_GAIN)
}
