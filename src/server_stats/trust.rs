//! How far a teller is believed: a sequential probability ratio test (Wald, 1945) of "what it says holds" against
//! "it says nothing of this server", moved by each own sample.

/// Log odds below which what was said counts as contradicted: 1 in 99, the stated bound of the test.
pub const CONTRADICTED: f64 = -4.595_119_850_134_59;
/// Log odds at which a teller starts: nearly three in four.
const START: f64 = 2.0;
/// What one sample may add or take: a single wild one decides nothing.
const MOST_GAIN: f64 = 1.0;
const MOST_LOSS: f64 = -3.0;
/// What all samples together may add: long honesty does not buy a later lie.
const MOST_SUM: f64 = 4.0;
/// What is left of trust with each server on which the teller is contradicted.
const PER_LIE: f64 = 0.5;
/// Failure rates lie within these here: a claim of none at all would be refuted by one failure.
const RATES: (f64, f64) = (0.02, 0.9);

/// Trust in one teller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Trust {
    log_odds: f64,
    lies: u32,
}

impl Default for Trust {
    fn default() -> Self {
        Self { log_odds: START, lies: 0 }
    }
}

impl Trust {
    /// Takes the evidence of a sample in.
    pub fn learn(&mut self, evidence: f64) {
        self.log_odds = (self.log_odds + evidence).min(MOST_SUM);
    }

    /// Counts a server on which the teller is contradicted.
    pub fn caught(&mut self) {
        self.lies += 1;
    }

    /// Whether nothing it said is believed any more, on any server.
    pub fn is_lost(&self) -> bool {
        self.log_odds < CONTRADICTED
    }

    /// From 0 to 1: the share of a claim's weight that counts.
    pub fn share(&self) -> f64 {
        if self.is_lost() {
            return 0.0;
        }
        PER_LIE.powf(f64::from(self.lies)) / (1.0 + (-self.log_odds).exp())
    }
}

/// Log likelihood of `x` under a normal distribution, but for the constant.
fn normal(x: f64, mean: f64, variance: f64) -> f64 {
    -0.5 * ((x - mean).powi(2) / variance + variance.ln())
}

/// The log likelihood ratio of a measured log time: a claim with its variance against what is said of all servers
/// together.
pub(super) fn of_time(x: f64, claim: (f64, f64), all: (f64, f64)) -> f64 {
    (normal(x, claim.0, claim.1) - normal(x, all.0, all.1)).clamp(MOST_LOSS, MOST_GAIN)
}

/// The same of a call that failed or did not: a claimed rate against the measured rate of all servers.
pub(super) fn of_failure(failed: bool, claim: f64, all: f64) -> f64 {
    let (claim, all) = (claim.clamp(RATES.0, RATES.1), all.clamp(RATES.0, RATES.1));
    let ratio = if failed { claim / all } else { (1.0 - claim) / (1.0 - all) };
    ratio.ln().clamp(MOST_LOSS, MOST_GAIN)
}
