//! Server side: the processor, the tier below and the control plane.

pub mod control;
pub mod processor;
pub mod records;

use std::time::Duration;

/// Waits between attempts to connect grow from the first to the second of these.
const RETRY: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(250));

/// An attempt to connect that takes longer has failed.
const CONNECT: Duration = Duration::from_secs(1);

/// The wait before the attempt after one that waited for `last`.
fn next_retry(last: Duration) -> Duration {
    (last * 2).clamp(RETRY.0, RETRY.1)
}
