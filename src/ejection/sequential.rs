//! A test of "no worse than the pool" that may be looked at after every call without its error growing.
//!
//! The null hypothesis: each call to the server is bad with a chance of at most `p0`, given all that went before. A bet
//! against it that wins `1 + g (1 - p0) / p0` times its stake on a bad call and keeps `1 - g` on a good one is fair at
//! the worst, so what is made of 1 is a supermartingale (a test martingale by betting: Waudby-Smith and Ramdas, 2024;
//! the same as the likelihood ratio of `p0 + g (1 - p0)` in Wald's test). By Ville's inequality (1939) it ever reaches
//! `1 / a` with a chance of `a` at the most, whenever and however often it is looked at. Several stakes side by side
//! (a mixture) keep that.

/// The stakes: the server has so much of the way from `p0` to failing always.
pub const STAKES: [f64; 5] = [0.05, 0.12, 0.3, 0.6, 0.9];
/// What each voter keeps out of the bet: nobody's evidence takes away more than that, and it stays fair.
pub const CASH: f64 = 0.1;
/// The chance that a test which begins in a given slot ever removes a server that is no worse than the pool.
pub const FALSE_A_TEST: f64 = 1e-10;
/// The chance that a server which is as bad as it was when it went is found well by one node that tries it.
pub const FALSE_A_RETURN: f64 = 1e-3;
/// The chance that more is asked for of a server that is no worse than the pool, at each look.
const FALSE_DOUBT: f64 = 0.01;
/// The least and the most that `p0` may be.
const NULL: (f64, f64) = (1e-4, 0.95);

/// Natural logarithms of what became of 1 at each stake.
pub type Wealth = [f64; STAKES.len()];

/// What calls, of which some were bad, make of 1 at each stake.
pub fn bet(calls: u32, bad: u32, p0: f64) -> Wealth {
    let p0 = p0.clamp(NULL.0, NULL.1);
    let bad = bad.min(calls);
    let won = f64::from(bad);
    let lost = f64::from(calls - bad);
    STAKES.map(|stake| {
        let win = if bad == 0 { 0.0 } else { won * (stake * (1.0 - p0) / p0).ln_1p() };
        win + lost * (-stake).ln_1p()
    })
}

/// The evidence of one voter: its bet with the cash beside it, up to `most`. A voter below the start takes a bounded
/// part away, one above it adds a bounded one.
pub fn contribution(bet: &Wealth, most: f64) -> Wealth {
    bet.map(|log| {
        let made = if log > 500.0 { log } else { (CASH + (1.0 - CASH) * log.exp()).ln() };
        made.min(most)
    })
}

/// The logarithm of what all have made, the `dropped` highest above the start left out at each stake.
///
/// With at most so many liars this never lies above what a fixed set of honest voters has made: leaving the highest
/// out leaves no more than leaving out the liars, and honest ones to make up the number. So the bound of the test holds
/// whatever liars say, and as a liar cannot go below [`CASH`], they cannot hold it down for ever either.
pub fn pooled(voters: impl Iterator<Item = Wealth> + Clone, dropped: usize) -> f64 {
    let mut column: Vec<f64> = Vec::new();
    let logs = std::array::from_fn(|at| {
        column.clear();
        column.extend(voters.clone().map(|wealth| wealth[at]));
        let high = column.len().saturating_sub(dropped);
        if high > 0 && high < column.len() {
            column.select_nth_unstable_by(high, f64::total_cmp);
        }
        // Those who abstain stand at the start: below it there is nobody to leave out.
        let left_out = column[high..].iter().map(|log| log.min(0.0));
        column[..high].iter().copied().chain(left_out).sum()
    });
    log_mean_exp(&logs)
}

fn log_mean_exp(logs: &Wealth) -> f64 {
    let most = logs.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    most + (logs.iter().map(|log| (log - most).exp()).sum::<f64>() / logs.len() as f64).ln()
}

/// What the pooled evidence has to reach.
pub fn bar() -> f64 {
    -FALSE_A_TEST.ln()
}

/// What it has to reach for more of it to be asked for.
pub fn doubt() -> f64 {
    -FALSE_DOUBT.ln()
}

/// The most that one of `least` voters may add: so much that they reach the bar beside `liars` that take away what they
/// may, as far as fewer of them never do.
pub fn most_of(least: usize, liars: usize) -> f64 {
    let taken = -CASH.ln() * liars as f64;
    let enough = (bar() + (STAKES.len() as f64).ln() + taken) / least.max(1) as f64;
    enough.min(0.999 * bar() / least.saturating_sub(1).max(1) as f64)
}

/// The other way: the evidence of trial calls that a server is not as bad as `bad_rate` any more but as good as
/// `good_rate`, as a logarithm. The null hypothesis is that each is bad with a chance of at least `bad_rate`.
pub fn recovered(calls: u32, bad: u32, good_rate: f64, bad_rate: f64) -> f64 {
    let good = good_rate.clamp(NULL.0, 0.9);
    let worse = bad_rate.clamp(good + 0.02, 0.99);
    let bad = bad.min(calls);
    f64::from(bad) * (good / worse).ln() + f64::from(calls - bad) * ((1.0 - good) / (1.0 - worse)).ln()
}

/// Whether one node's trial calls find a server well.
pub fn is_recovered(evidence: f64) -> bool {
    evidence >= -FALSE_A_RETURN.ln()
}
