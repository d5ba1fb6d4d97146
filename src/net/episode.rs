//! One log line for an episode of failures, and one for its end.

use std::fmt;

use log::{debug, info, warn};
use tokio::time::{Duration, Instant};

/// An episode that begins sooner than this after the one before was logged is not logged again: failures that come and go
/// with every call are to fill no disk.
const LOG_AGAIN: Duration = Duration::from_secs(5);

/// Failures of one kind of operation since it last went well.
pub struct FailureEpisode {
    what: String,
    failures: u64,
    logged: bool,
    last_logged: Option<Instant>,
}

impl FailureEpisode {
    /// No failure yet. `what` fails, as in "connections for AJP cannot be accepted".
    pub fn new(what: impl Into<String>) -> Self {
        Self { what: what.into(), failures: 0, logged: false, last_logged: None }
    }

    /// The operation failed: the first failure of an episode is logged.
    pub fn failed(&mut self, problem: &dyn fmt::Display) {
        self.failed_quietly(problem);
        if !self.logged && self.last_logged.is_none_or(|last| last.elapsed() >= LOG_AGAIN) {
            self.logged = true;
            self.last_logged = Some(Instant::now());
            warn!("{}: {problem}; it is tried again", self.what);
        }
    }

    /// The operation failed in a way that is of no interest unless it goes on.
    pub fn failed_quietly(&mut self, problem: &dyn fmt::Display) {
        self.failures += 1;
        debug!("{}: {problem}", self.what);
    }

    /// The operation went well: the end of a logged episode is logged.
    pub fn succeeded(&mut self) {
        if self.failures == 0 {
            return;
        }
        if self.logged {
            info!("{}: over after {} failures", self.what, self.failures);
        }
        (self.failures, self.logged) = (0, false);
    }
}
