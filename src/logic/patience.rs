//! Recognizes retries that are not marked, by the time that their callers have left.

/// Histogram of the time left at arrival: the number of its buckets over a class's deadline, the samples
/// over which its counts decay, the share of samples that makes a bucket a common timeout (retries spread
/// over many buckets), and the samples needed before that.
pub(super) const TIMEOUT_BUCKETS: usize = 256;
pub(super) const TIMEOUT_SPAN: f64 = 256.0;
pub(super) const MIN_BUCKET_SHARE: f64 = 0.05;
pub(super) const MIN_TIMEOUT_SAMPLES: f64 = 32.0;

/// Recognizes retries that are not marked: first tries arrive with the whole timeout of their callers,
/// which takes few distinct values, and retries with what is left of it. The age found is a lower bound.
/// Covers retries, tries at other servers and second copies; wrong for callers whose timeout is used by
/// less than 1 in 20 requests.
pub(super) struct CallerTimeouts(pub(super) [f64; TIMEOUT_BUCKETS]);

impl CallerTimeouts {
    /// Age of the first try of a request, given the share of its deadline that is left; both as parts of
    /// the deadline.
    pub(super) fn age(&mut self, remaining: f64) -> f64 {
        let bucket = ((remaining * TIMEOUT_BUCKETS as f64) as usize).min(TIMEOUT_BUCKETS - 1);
        self.0.iter_mut().for_each(|count| *count *= 1.0 - 1.0 / TIMEOUT_SPAN);
        self.0[bucket] += 1.0;
        let total: f64 = self.0.iter().sum();
        let first = self.0[bucket..].iter().position(|count| *count > MIN_BUCKET_SHARE * total);
        first.filter(|_| total > MIN_TIMEOUT_SAMPLES).unwrap_or(0) as f64 / TIMEOUT_BUCKETS as f64
    }
}
