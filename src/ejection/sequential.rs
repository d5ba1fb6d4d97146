//! A sequential test of "no worse than the pool" that may be evaluated after every call without its error growing.
//!
//! The null hypothesis: each call to the server is bad with a chance of at most `p0`, given all earlier calls. A bet
//! against it that wins `1 + g (1 - p0) / p0` times its stake on a bad call and keeps `1 - g` on a good one is fair at
//! worst, so the wealth from a start of 1 is a supermartingale (a test martingale by betting: Waudby-Smith and Ramdas, 2024;
//! the same as the likelihood ratio of `p0 + g (1 - p0)` in Wald's test). By Ville's inequality (1939) it ever reaches
//! `1 / a` with a probability of at most `a`, whenever and however often it is evaluated. A mixture of several stakes
//! keeps that property.

/// Stakes: the fraction of the way from `p0` to certain failure that the alternative assumes.
pub const STAKES: [f64; 5] = [0.05, 0.12, 0.3, 0.6, 0.9];
/// The part of its wealth that each voter does not bet. It bounds how far one voter can lower the pooled evidence, and
/// the bet stays fair.
pub const RESERVE: f64 = 0.1;
/// Probability that a test which begins in a given slot ever removes a server that is no worse than the pool.
pub const FALSE_REMOVAL_PROBABILITY: f64 = 1e-10;
/// Probability that one tester finds a server recovered that is as bad as when it was ejected.
pub const FALSE_RECOVERY_PROBABILITY: f64 = 1e-3;
/// Probability at each evaluation that a server that is no worse than the pool is probed.
const FALSE_PROBE_PROBABILITY: f64 = 0.01;
/// Lower and upper bound of `p0`.
const NULL_RATE_BOUNDS: (f64, f64) = (1e-4, 0.95);

/// Natural logarithm of the wealth at each stake, from a start of 1.
pub type Wealth = [f64; STAKES.len()];

/// The log wealth at each stake after `calls` calls, of which `bad` were bad.
pub fn bet(calls: u32, bad: u32, p0: f64) -> Wealth {
    let p0 = p0.clamp(NULL_RATE_BOUNDS.0, NULL_RATE_BOUNDS.1);
    let bad = bad.min(calls);
    let won = f64::from(bad);
    let lost = f64::from(calls - bad);
    STAKES.map(|stake| {
        let win = if bad == 0 { 0.0 } else { won * (stake * (1.0 - p0) / p0).ln_1p() };
        win + lost * (-stake).ln_1p()
    })
}

/// The evidence of one voter: its bet plus the reserve, up to `most`. Evidence below and above the start (log wealth 0)
/// is bounded either way.
pub fn contribution(bet: &Wealth, most: f64) -> Wealth {
    bet.map(|log| {
        let made = if log > 500.0 { log } else { (RESERVE + (1.0 - RESERVE) * log.exp()).ln() };
        made.min(most)
    })
}

/// The pooled log wealth of all voters, without the `dropped` highest above the start at each stake.
///
/// With at most `dropped` liars this never exceeds the wealth of a fixed set of honest voters: dropping the highest leaves
/// no more than dropping the liars and enough honest voters to make up the number. So the bound of the test holds
/// whatever liars report, and as a liar cannot go below [`RESERVE`], liars cannot suppress the evidence for ever either.
pub fn pooled(voters: impl Iterator<Item = Wealth> + Clone, dropped: usize) -> f64 {
    let mut column: Vec<f64> = Vec::new();
    let logs = std::array::from_fn(|at| {
        column.clear();
        column.extend(voters.clone().map(|wealth| wealth[at]));
        let high = column.len().saturating_sub(dropped);
        if high > 0 && high < column.len() {
            column.select_nth_unstable_by(high, f64::total_cmp);
        }
        // Voters without evidence are at the start, so those below it are not dropped.
        let left_out = column[high..].iter().map(|log| log.min(0.0));
        column[..high].iter().copied().chain(left_out).sum()
    });
    log_mean_exp(&logs)
}

fn log_mean_exp(logs: &Wealth) -> f64 {
    let most = logs.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    most + (logs.iter().map(|log| (log - most).exp()).sum::<f64>() / logs.len() as f64).ln()
}

/// Log evidence at which a server is found worse than the pool.
pub fn removal_threshold() -> f64 {
    -FALSE_REMOVAL_PROBABILITY.ln()
}

/// Log evidence at which a server is probed for more evidence.
pub fn probe_threshold() -> f64 {
    -FALSE_PROBE_PROBABILITY.ln()
}

/// The maximum contribution of one voter: enough for `least` voters to reach the removal threshold despite `liars` that
/// lower the evidence as far as they can, but never enough for fewer than `least` voters to reach it.
pub fn max_contribution(least: usize, liars: usize) -> f64 {
    let taken = -RESERVE.ln() * liars as f64;
    let enough = (removal_threshold() + (STAKES.len() as f64).ln() + taken) / least.max(1) as f64;
    enough.min(0.999 * removal_threshold() / least.saturating_sub(1).max(1) as f64)
}

/// The reverse test: log evidence of trial calls that a server is no longer as bad as `bad_rate` but as good as
/// `good_rate`. The null hypothesis is that each call is bad with a probability of at least `bad_rate`.
pub fn recovered(calls: u32, bad: u32, good_rate: f64, bad_rate: f64) -> f64 {
    let good = good_rate.clamp(NULL_RATE_BOUNDS.0, 0.9);
    let worse = bad_rate.clamp(good + 0.02, 0.99);
    let bad = bad.min(calls);
    f64::from(bad) * (good / worse).ln() + f64::from(calls - bad) * ((1.0 - good) / (1.0 - worse)).ln()
}

/// Whether the evidence of one node's trial calls shows that a server has recovered.
pub fn is_recovered(evidence: f64) -> bool {
    evidence >= -FALSE_RECOVERY_PROBABILITY.ln()
}
