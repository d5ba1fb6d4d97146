//! Refuses settings that make no sense, by the name of the field. No decision of the controller lives here.

use crate::interface::{Below, Settings, SettingsError};

/// The longest time that settings may name, in ms: eleven days. Timers take about two years, and some waits are several times
/// a setting; a longer one would end the node at the first request that it counts for.
const LONGEST_MS: f64 = 1e9;

/// No time that a timer is made of may be longer than timers take.
fn check_times(set: &Settings) -> Result<(), SettingsError> {
    let of_all =
        [("fresh_ms", set.fresh_ms), ("idle_ms", set.idle_ms), ("answer_slack_ms", set.answer_slack_ms)];
    let of_classes = set
        .classes
        .iter()
        .flat_map(|class| [class.aim_ms, class.deadline_ms, class.window_ms].map(|time| ("classes", time)));
    match of_all.into_iter().chain(of_classes).find(|(_, time)| *time > LONGEST_MS) {
        Some((field, _)) => Err(SettingsError { field, problem: "must be at most 1000000000 ms" }),
        None => Ok(()),
    }
}

/// Every number must be finite and not negative, and each class needs an aim and a deadline.
pub(crate) fn check_settings(set: &Settings) -> Result<(), SettingsError> {
    let numbers = [
        ("memory_kb", set.memory_kb),
        ("run_factor", set.run_factor),
        ("key_kb", set.key_kb),
        ("over_share_worth", set.over_share_worth),
        ("fresh_ms", set.fresh_ms),
        ("cold_ms", set.cold_ms),
        ("cold_from", set.cold_from),
        ("fall_multiple", set.fall_multiple),
        ("drain_grace_ms", set.drain_grace_ms),
        ("answer_slack_ms", set.answer_slack_ms),
        ("max_retry_after_ms", set.max_retry_after_ms),
        ("idle_ms", set.idle_ms),
    ];
    let classes = set.classes.iter().flat_map(|class| {
        let named = [class.worth, class.late_worth, class.window_ms, class.skip_worth];
        named.map(|value| ("classes", value))
    });
    let tenants = set.tenants.iter().map(|tenant| ("tenants", tenant.quota_per_s));
    let below = match set.below {
        Below::Shared { share, span_ms, linger_ms } => {
            [share, span_ms, linger_ms].map(|v| ("below", v)).to_vec()
        }
        _ => Vec::new(),
    };
    for (field, value) in numbers.into_iter().chain(classes).chain(tenants).chain(below) {
        if !value.is_finite() || value < 0.0 {
            return Err(SettingsError { field, problem: "must be a number of 0 or more" });
        }
    }
    let positive = |value: f64| value.is_finite() && value > 0.0;
    if !set.classes.iter().all(|class| positive(class.aim_ms) && positive(class.deadline_ms)) {
        return Err(SettingsError { field: "classes", problem: "aim and deadline must be above 0" });
    }
    check_times(set)
}
