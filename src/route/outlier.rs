//! Outlier detection: which servers are much slower or fail much more than the pool. Each server is compared with the
//! current values of all others, so that a slowdown or failure of all servers makes none of them an outlier.

use statrs::distribution::{Binomial, DiscreteCDF};

/// Own samples below which a server's times are not judged.
const MIN_SAMPLES: f64 = 6.0;
/// Calls, by decayed weight, below which its failures are not judged: three recent ones.
const MIN_CALLS: f64 = 2.5;
/// Servers with enough samples below which their median means nothing.
const MIN_SERVERS: usize = 4;
/// Robust standard deviations above the median that make an outlier.
const DEVIATIONS: f64 = 3.0;
/// Factor from a median absolute deviation (MAD) to a standard deviation.
const MAD_TO_SIGMA: f64 = 1.4826;
/// Lower bound of the standard deviation, as log time.
const MIN_SIGMA: f64 = 0.15;
/// An outlier is at least three times (ln 3) as slow as the median, whatever the deviation.
const MIN_LOG_FACTOR: f64 = 1.1;
/// Standard errors by which its mean must exceed the threshold.
const STANDARD_ERRORS: f64 = 2.33;
/// Failure rate that any server may have.
const TOLERATED_FAILURE_RATE: f64 = 0.02;
/// Probability below which a server's failures are not explained by chance.
const SIGNIFICANCE: f64 = 0.001;

/// Measurements of one server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Measured<K> {
    pub(super) id: K,
    pub(super) mean: f64,
    pub(super) variance: f64,
    pub(super) samples: f64,
    pub(super) failed: f64,
    pub(super) calls: f64,
}

/// Median of the values and their spread around it (scaled MAD); robust against up to half of them being wrong.
pub(super) fn median_and_spread(values: &mut [f64]) -> Option<(f64, f64)> {
    let center = median(values)?;
    values.iter_mut().for_each(|value| *value = (*value - center).abs());
    let spread = median(values)? * MAD_TO_SIGMA;
    Some((center, spread))
}

pub(super) fn median(values: &mut [f64]) -> Option<f64> {
    let at = values.len().checked_sub(1)? / 2;
    Some(*values.select_nth_unstable_by(at, f64::total_cmp).1)
}

/// Returns the outliers, the most severe first.
pub(super) fn outliers<K: Copy>(measured: &[Measured<K>]) -> Vec<K> {
    let mut means: Vec<f64> =
        measured.iter().filter(|server| server.samples >= MIN_SAMPLES).map(|server| server.mean).collect();
    let typical = if means.len() >= MIN_SERVERS { median_and_spread(&mut means) } else { None };
    let (failed, calls) = measured
        .iter()
        .fold((0.0, 0.0), |(failed, calls), server| (failed + server.failed, calls + server.calls));
    let severity = |server: &Measured<K>| {
        let slow = typical.map_or(0.0, |typical| slowness(server, typical));
        slow.max(failure_severity(server, failed - server.failed, calls - server.calls))
    };
    let mut out: Vec<(f64, K)> = measured.iter().map(|server| (severity(server), server.id)).collect();
    out.retain(|(severity, _)| *severity > 0.0);
    out.sort_by(|a, b| b.0.total_cmp(&a.0));
    out.into_iter().map(|(_, id)| id).collect()
}

/// By how much log time its mean exceeds the threshold; 0 if it does not.
fn slowness<K>(server: &Measured<K>, (center, spread): (f64, f64)) -> f64 {
    if server.samples < MIN_SAMPLES {
        return 0.0;
    }
    let threshold = center + (DEVIATIONS * spread.max(MIN_SIGMA)).max(MIN_LOG_FACTOR);
    let standard_error = (server.variance / server.samples).sqrt();
    (server.mean - STANDARD_ERRORS * standard_error - threshold).max(0.0)
}

/// Severity of its failures if chance does not explain them, given `failed` and `calls` of all other servers; else 0.
fn failure_severity<K>(server: &Measured<K>, failed: f64, calls: f64) -> f64 {
    if server.calls < MIN_CALLS || server.failed <= 0.0 {
        return 0.0;
    }
    let expected_rate =
        ((failed + TOLERATED_FAILURE_RATE) / (calls + 1.0)).clamp(TOLERATED_FAILURE_RATE, 0.99);
    let (Ok(binomial), failures) =
        (Binomial::new(expected_rate, server.calls.round() as u64), server.failed.round() as u64)
    else {
        return 0.0;
    };
    // The probability of at least as many failures.
    let probability = if failures == 0 { 1.0 } else { binomial.sf(failures - 1) };
    if probability < SIGNIFICANCE { 1.0 + server.failed / server.calls } else { 0.0 }
}
