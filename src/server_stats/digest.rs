//! What one node tells another of the servers it has measured itself.

use std::collections::HashSet;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Servers that a digest holds at the most.
pub const MOST_ITEMS: usize = 16_384;
/// The longest name of a teller, in bytes.
const MOST_NAME: usize = 128;
/// Bounds of the natural logarithm of a relative time: a factor of about 22,000 either way.
pub const MOST_LOG: f64 = 10.0;
/// The most samples that an item may claim.
const MOST_SAMPLES: f64 = 1e9;
/// The longest age or uptime, in ms: a year.
pub const MOST_AGE_MS: f64 = 365.0 * 86_400_000.0;

/// One start of a server's process, as the server itself tells it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StartReport {
    /// A word that changes with each start; absent where the server tells none.
    pub incarnation: Option<u64>,
    /// How long ago it started, in ms; absent where nobody has seen that.
    pub up_ms: Option<f64>,
}

/// What the teller has measured of one server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerStats {
    /// The server.
    pub address: SocketAddr,
    /// Natural logarithm of its time for a unit of work over that of the teller's pool as a whole.
    pub log_time: f64,
    /// Variance of single samples of that.
    pub variance: f64,
    /// How many samples that rests on, as of the newest one, older ones counting for less.
    pub samples: f64,
    /// Calls that were counted for failures, and those among them that failed.
    pub calls: f64,
    /// See `calls`.
    pub failed: f64,
    /// Time since the newest sample when this was told, in ms of the teller's clock.
    pub age_ms: f64,
    /// Whether the teller has put it out, as it stands out for the worse.
    #[serde(rename = "out")]
    pub ejected: bool,
    /// The start of the server that was measured.
    pub run: StartReport,
}

/// All that a teller has measured itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Digest {
    /// The teller's name.
    #[serde(rename = "teller")]
    pub reporter: String,
    /// Natural logarithm of the pool's time for a unit of work, in ms; absent before the first sample.
    pub level: Option<f64>,
    /// Server by server.
    pub items: Vec<ServerStats>,
}

/// Why nothing of a digest is believed.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum DigestError {
    /// There is too much of it.
    #[error("{0} servers are over {MOST_ITEMS}")]
    Long(usize),
    /// The teller's name is empty or too long.
    #[error("a teller's name of {0} bytes")]
    Name(usize),
    /// A server is told of twice.
    #[error("{0} is told of twice")]
    Twice(SocketAddr),
    /// A figure that no measurement comes to.
    #[error("{field} of {address}: {value} cannot be")]
    Figure {
        /// Which server.
        address: SocketAddr,
        /// Which figure.
        field: &'static str,
        /// Its value.
        value: f64,
    },
    /// The level is no logarithm of a time.
    #[error("level: {0} cannot be")]
    Level(f64),
}

impl Digest {
    /// Holds every figure to what a measurement can come to. One that cannot be discredits the whole: a teller that
    /// is wrong there is not to be guessed about elsewhere.
    ///
    /// # Errors
    /// Names the first thing that cannot be.
    pub fn check(&self) -> Result<(), DigestError> {
        if self.items.len() > MOST_ITEMS {
            return Err(DigestError::Long(self.items.len()));
        }
        if self.reporter.is_empty() || self.reporter.len() > MOST_NAME {
            return Err(DigestError::Name(self.reporter.len()));
        }
        if let Some(level) = self.level.filter(|level| !(-20.0..=20.0).contains(level)) {
            return Err(DigestError::Level(level));
        }
        let mut seen = HashSet::with_capacity(self.items.len());
        for item in &self.items {
            item.check()?;
            if !seen.insert(item.address) {
                return Err(DigestError::Twice(item.address));
            }
        }
        Ok(())
    }
}

impl ServerStats {
    fn check(&self) -> Result<(), DigestError> {
        let figures = [
            ("log_time", self.log_time, -MOST_LOG, MOST_LOG),
            ("variance", self.variance, 0.0, MOST_LOG * MOST_LOG),
            ("samples", self.samples, 0.0, MOST_SAMPLES),
            ("calls", self.calls, 0.0, MOST_SAMPLES),
            ("failed", self.failed, 0.0, self.calls),
            ("age_ms", self.age_ms, 0.0, MOST_AGE_MS),
            ("up_ms", self.run.up_ms.unwrap_or(0.0), 0.0, MOST_AGE_MS),
        ];
        // A figure that is no number lies in no range.
        match figures.into_iter().find(|(_, value, least, most)| !(*least <= *value && *value <= *most)) {
            Some((field, value, ..)) => Err(DigestError::Figure { address: self.address, field, value }),
            None => Ok(()),
        }
    }
}
