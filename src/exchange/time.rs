//! Conversions between time spans in ms, as the decision module uses them, and [`Duration`]s.

use std::time::Duration;

/// The longest time for which a timer is set: the timer wheel holds about two years, and settings may request more.
/// The handler of a longer wait checks again when the timer expires.
const MAX_TIMER_MS: f64 = 30.0 * 24.0 * 3_600_000.0;

/// The duration of a timer that expires in `ms`; zero if that time has passed already.
pub(super) fn span(ms: f64) -> Duration {
    // NaN counts as zero.
    let ms = if ms > 0.0 { ms.min(MAX_TIMER_MS) } else { 0.0 };
    Duration::from_secs_f64(ms / 1000.0)
}

/// A duration in ms.
pub(super) fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1000.0
}
