//! Counts abnormal conditions by kind, so that the log gets a few summary lines when many requests are affected, and no
//! occurrence is lost.

use std::collections::BTreeMap;
use std::time::Duration;

use log::{info, warn};

use super::types::Anomaly;

/// Time over which anomalies of one kind are summed up in one log line.
const REPORT_PERIOD: Duration = Duration::from_secs(5);
/// The same while the process is draining: it may be stopped at any time.
const DRAINING_REPORT_PERIOD: Duration = Duration::from_millis(250);

/// An episode of anomalies of one kind: from the first one to the first period without any.
#[derive(Default)]
struct Episode {
    /// Anomalies since the last report.
    new: u32,
    /// Anomalies in total.
    total: u32,
}

/// The current episodes.
#[derive(Default)]
pub(super) struct Anomalies {
    episodes: BTreeMap<Anomaly, Episode>,
    draining: bool,
}

impl Anomalies {
    /// The time between two reports.
    pub fn period(&self) -> Duration {
        if self.draining { DRAINING_REPORT_PERIOD } else { REPORT_PERIOD }
    }

    /// Shortens the time between reports from now on.
    pub fn hurry(&mut self) {
        self.draining = true;
    }

    /// Counts an anomaly; the first of an episode is logged at once. Returns true if the caller has to schedule a
    /// report, because none was pending.
    pub fn count(&mut self, anomaly: Anomaly) -> bool {
        let was_quiet = self.episodes.is_empty();
        let episode = self.episodes.entry(anomaly).or_default();
        if episode.total == 0 {
            warn!("an episode begins: {anomaly}");
        }
        episode.new += 1;
        episode.total += 1;
        was_quiet
    }

    /// Logs the counts since the last report, and the end of each episode without a new anomaly. Returns false if no
    /// episode is left.
    pub fn report(&mut self) -> bool {
        let period = self.period();
        self.episodes.retain(|anomaly, episode| match std::mem::take(&mut episode.new) {
            0 => {
                info!("an episode ends after {} in all: {anomaly}", episode.total);
                false
            }
            new => {
                warn!("{new} {anomaly} in the last {} s", period.as_secs_f64());
                true
            }
        });
        !self.episodes.is_empty()
    }
}
