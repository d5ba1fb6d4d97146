//! Validation of settings; errors name the field.

use crate::interface::{Below, Settings, SettingsError};

/// Longest time in settings, in ms (eleven days). Timers accept about two years, and some waits are several
/// times a setting; a longer one would end the node at the first request that uses it.
const MAX_TIME_MS: f64 = 1e9;

/// Checks that no time used for timers is longer than timers accept.
fn check_times(settings: &Settings) -> Result<(), SettingsError> {
    let general_times = [
        ("fresh_ms", settings.fresh_ms),
        ("idle_ms", settings.idle_ms),
        ("answer_slack_ms", settings.answer_slack_ms),
    ];
    let class_times = settings
        .classes
        .iter()
        .flat_map(|class| [class.aim_ms, class.deadline_ms, class.window_ms].map(|time| ("classes", time)));
    match general_times.into_iter().chain(class_times).find(|(_, time)| *time > MAX_TIME_MS) {
        Some((field, _)) => Err(SettingsError { field, problem: "must be at most 1000000000 ms" }),
        None => Ok(()),
    }
}

/// Checks that every number is finite and not negative, and that each class has an aim and a deadline.
pub(crate) fn check_settings(settings: &Settings) -> Result<(), SettingsError> {
    let numbers = [
        ("memory_kb", settings.memory_kb),
        ("run_factor", settings.run_factor),
        ("key_kb", settings.key_kb),
        ("over_share_worth", settings.over_share_worth),
        ("fresh_ms", settings.fresh_ms),
        ("cold_ms", settings.cold_ms),
        ("cold_from", settings.cold_from),
        ("fall_multiple", settings.fall_multiple),
        ("drain_grace_ms", settings.drain_grace_ms),
        ("answer_slack_ms", settings.answer_slack_ms),
        ("max_retry_after_ms", settings.max_retry_after_ms),
        ("idle_ms", settings.idle_ms),
    ];
    let classes = settings.classes.iter().flat_map(|class| {
        let values = [class.worth, class.late_worth, class.window_ms, class.skip_worth];
        values.map(|value| ("classes", value))
    });
    let tenants = settings.tenants.iter().map(|tenant| ("tenants", tenant.quota_per_s));
    let below = match settings.below {
        Below::Shared { share, span_ms, linger_ms } => {
            [share, span_ms, linger_ms].map(|value| ("below", value)).to_vec()
        }
        _ => Vec::new(),
    };
    for (field, value) in numbers.into_iter().chain(classes).chain(tenants).chain(below) {
        if !value.is_finite() || value < 0.0 {
            return Err(SettingsError { field, problem: "must be a number of 0 or more" });
        }
    }
    let positive = |value: f64| value.is_finite() && value > 0.0;
    if !settings.classes.iter().all(|class| positive(class.aim_ms) && positive(class.deadline_ms)) {
        return Err(SettingsError { field: "classes", problem: "aim and deadline must be above 0" });
    }
    check_times(settings)
}
