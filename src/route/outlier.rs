//! Which servers stand out from the pool for the worse. Each is held to all others as they are just now, so that a
//! slowdown or failure that all share makes none of them stand out.

use statrs::distribution::{Binomial, DiscreteCDF};

/// Own samples below which a server's times prove nothing.
const LEAST_SAMPLES: f64 = 6.0;
/// Calls below which its failures prove nothing: three that were not long ago.
const LEAST_CALLS: f64 = 2.5;
/// Servers measured below which there is no middle to stand out from.
const LEAST_SERVERS: usize = 4;
/// Robust standard deviations from the middle that make an outlier, the factor that makes a median absolute
/// deviation one, and the least such deviation, as log time.
const DEVIATIONS: f64 = 3.0;
const MAD_TO_SIGMA: f64 = 1.4826;
const LEAST_SIGMA: f64 = 0.15;
/// An outlier is this much slower as well, whatever the deviation: ln 3.
const LEAST_FACTOR: f64 = 1.1;
/// Standard errors by which its mean must lie past the bound.
const ERRORS: f64 = 2.33;
/// A failure rate that anyone may have, and the chance below which a server's failures are not chance.
const USUAL_FAILING: f64 = 0.02;
const CHANCE: f64 = 0.001;

/// What is measured of one server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Measured<K> {
    pub(super) id: K,
    pub(super) mean: f64,
    pub(super) variance: f64,
    pub(super) samples: f64,
    pub(super) failed: f64,
    pub(super) calls: f64,
}

/// The middle of the values and the spread around it, robust against up to half of them.
pub(super) fn middle_and_spread(values: &mut [f64]) -> Option<(f64, f64)> {
    let middle = median(values)?;
    values.iter_mut().for_each(|value| *value = (*value - middle).abs());
    let spread = median(values)? * MAD_TO_SIGMA;
    Some((middle, spread))
}

pub(super) fn median(values: &mut [f64]) -> Option<f64> {
    let at = values.len().checked_sub(1)? / 2;
    Some(*values.select_nth_unstable_by(at, f64::total_cmp).1)
}

/// Those that stand out, the worst first.
pub(super) fn outliers<K: Copy>(measured: &[Measured<K>]) -> Vec<K> {
    let mut means: Vec<f64> =
        measured.iter().filter(|one| one.samples >= LEAST_SAMPLES).map(|one| one.mean).collect();
    let usual = if means.len() >= LEAST_SERVERS { middle_and_spread(&mut means) } else { None };
    let (failed, calls) =
        measured.iter().fold((0.0, 0.0), |(failed, calls), one| (failed + one.failed, calls + one.calls));
    let badness = |one: &Measured<K>| {
        let slow = usual.map_or(0.0, |usual| slowness(one, usual));
        slow.max(failing(one, failed - one.failed, calls - one.calls))
    };
    let mut out: Vec<(f64, K)> = measured.iter().map(|one| (badness(one), one.id)).collect();
    out.retain(|(badness, _)| *badness > 0.0);
    out.sort_by(|a, b| b.0.total_cmp(&a.0));
    out.into_iter().map(|(_, id)| id).collect()
}

/// How far past the bound its times are; 0 for those that are not.
fn slowness<K>(one: &Measured<K>, (middle, spread): (f64, f64)) -> f64 {
    if one.samples < LEAST_SAMPLES {
        return 0.0;
    }
    let bound = middle + (DEVIATIONS * spread.max(LEAST_SIGMA)).max(LEAST_FACTOR);
    let error = (one.variance / one.samples).sqrt();
    (one.mean - ERRORS * error - bound).max(0.0)
}

/// How far beyond chance its failures are, beside those of all others; 0 for those that are not.
fn failing<K>(one: &Measured<K>, failed: f64, calls: f64) -> f64 {
    if one.calls < LEAST_CALLS || one.failed <= 0.0 {
        return 0.0;
    }
    let usual = ((failed + USUAL_FAILING) / (calls + 1.0)).clamp(USUAL_FAILING, 0.99);
    let (Ok(binomial), hits) = (Binomial::new(usual, one.calls.round() as u64), one.failed.round() as u64)
    else {
        return 0.0;
    };
    // The chance of as many failures or more.
    let chance = if hits == 0 { 1.0 } else { binomial.sf(hits - 1) };
    if chance < CHANCE { 1.0 + one.failed / one.calls } else { 0.0 }
}
