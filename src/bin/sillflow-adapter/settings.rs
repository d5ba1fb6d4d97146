//! Reads the settings that an instance is given at its start.

use std::collections::BTreeMap;
use std::str::FromStr;

use sillflow::interface::{Below, Class, Effect, SayKind, Settings, Tenant};

/// The pairs of one `env` text.
struct Pairs<'a>(BTreeMap<&'a str, &'a str>);

impl Pairs<'_> {
    fn value<T: FromStr>(&self, key: &str, absent: T) -> Result<T, String> {
        match self.0.get(key) {
            None => Ok(absent),
            Some(text) => text.parse().map_err(|_| format!("setting {key}: '{text}' cannot be read")),
        }
    }
    fn number(&self, key: &str) -> Result<f64, String> {
        let number: f64 = self.value(key, 0.0)?;
        if number.is_finite() { Ok(number) } else { Err(format!("setting {key}: not a finite number")) }
    }
    fn list<T: FromStr>(&self, key: &str) -> Result<Vec<T>, String> {
        let text = self.0.get(key).copied().unwrap_or("");
        let items = text.split(',').filter(|item| !item.is_empty());
        items
            .map(|item| item.parse().map_err(|_| format!("setting {key}: '{item}' cannot be read")))
            .collect()
    }
    fn word<T: Copy>(&self, key: &str, absent: T, words: &[(&str, T)]) -> Result<T, String> {
        match self.0.get(key) {
            None => Ok(absent),
            Some(text) => words
                .iter()
                .find(|(word, _)| word == text)
                .map(|(_, meaning)| *meaning)
                .ok_or_else(|| format!("setting {key}: '{text}' is not known")),
        }
    }
}

/// The most classes or tenants that requests can name.
const LIST_LIMIT: usize = 65_536;

/// Settings and the names of the gauges, from the text of `env`.
pub fn parse(text: &str) -> Result<(Settings, Vec<String>), String> {
    let mut map = BTreeMap::new();
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        let (key, value) = line.split_once('=').ok_or_else(|| format!("settings: no '=' in '{line}'"))?;
        map.insert(key.trim(), value.trim());
    }
    let pairs = Pairs(map);
    let info = |name: &str| pairs.number(&format!("family-info.{name}"));
    let count = |key: &str| -> Result<usize, String> {
        let n = pairs.value(key, 0usize)?;
        if n > LIST_LIMIT { Err(format!("setting {key}: {n} is too many")) } else { Ok(n) }
    };
    let calls: Vec<bool> = pairs.list("family-info.calls-by-class")?;
    let skips: Vec<f64> = pairs.list("family-info.degraded-worth")?;
    let effects = [("retryable", Effect::Safe), ("dedup", Effect::Keyed), ("fragile", Effect::Unsafe)];
    let mut classes = Vec::new();
    for i in 0..count("classes.count")? {
        let field = |name: &str| format!("classes.{i}.{name}");
        classes.push(Class {
            aim_ms: pairs.number(&field("aim"))?,
            deadline_ms: pairs.number(&field("hard-limit"))?,
            worth: pairs.number(&field("worth"))?,
            late_worth: pairs.number(&field("late-worth"))?,
            effect: pairs.word(&field("effect"), Effect::Safe, &effects)?,
            window_ms: pairs.number(&field("repeat-window"))?,
            calls: calls.get(i).copied().unwrap_or(false),
            skip_worth: skips.get(i).copied().unwrap_or(0.0),
        });
    }
    let mut tenants = Vec::new();
    for i in 0..count("tenants.count")? {
        tenants.push(Tenant { quota_per_s: pairs.number(&format!("tenants.{i}.quota-rps"))? });
    }
    let shared =
        Below::Shared { share: info("calls-out")?, span_ms: info("share-span")?, linger_ms: info("linger")? };
    let belows = [("off", Below::Nothing), ("shared", shared), ("tier", Below::Tier)];
    let says = [
        ("off", SayKind::Off),
        ("level", SayKind::Level),
        ("credit", SayKind::Credit),
        ("weight", SayKind::Weight),
    ];
    let advice = pairs.value("limits.retry-after", false)?;
    let settings = Settings {
        cores: pairs.value("family-info.cpus", 0)?,
        memory_kb: info("memory-kb")?,
        run_factor: info("blowup")?,
        key_kb: info("key-kb")?,
        classes,
        tenants,
        over_share_worth: pairs.number("over-share-worth")?,
        worth_by_work: pairs.word("counted-by", false, &[("work", true), ("request", false)])?,
        servers: pairs.value("servers", 0)?,
        callers: pairs.value("family-info.senders", 0)?,
        marks_further: pairs.value("clients.marks-retry", false)?,
        below: pairs.word("family-info.below", Below::Nothing, &belows)?,
        fresh_ms: info("fresh")?,
        say: pairs.word("family-info.say", SayKind::Off, &says)?,
        cold: pairs.value("family-info.just-started", false)?,
        cold_ms: pairs.number("rules.cold")?,
        cold_from: pairs.number("rules.cold-from")?,
        fall_multiple: pairs.number("rules.fall-multiple")?,
        drain_grace_ms: pairs.number("rules.drain-grace")?,
        answer_slack_ms: pairs.number("rules.answer-slack")?,
        idle_ms: info("idle")?,
        max_retry_after_ms: if advice { pairs.number("limits.max-retry-after")? } else { 0.0 },
    };
    Ok((settings, pairs.list("family-info.gauges")?))
}
