//! The digest that a node sends to another: the statistics of the servers that it has measured itself.

use std::collections::HashSet;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Upper bound of the number of servers in a digest.
pub const MAX_SERVERS: usize = 16_384;
/// Upper bound of the length of a reporter's name.
const MAX_NAME_BYTES: usize = 128;
/// Bound of the absolute natural logarithm of a relative time: a factor of about 22,000 either way.
pub const MAX_LOG_TIME: f64 = 10.0;
/// Upper bound of the samples that an entry may claim.
const MAX_SAMPLES: f64 = 1e9;
/// Upper bound of ages and uptimes, in ms: a year.
pub const MAX_AGE_MS: f64 = 365.0 * 86_400_000.0;

/// The start of a server's process, as reported by the server itself.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StartReport {
    /// A number that changes with each start; `None` if the server does not report one.
    pub incarnation: Option<u64>,
    /// Time since the start, in ms; `None` if unknown.
    pub up_ms: Option<f64>,
}

/// What the reporter has measured of one server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerStats {
    /// The server.
    pub address: SocketAddr,
    /// Natural logarithm of its time for a unit of work relative to the reporter's pool as a whole.
    pub log_time: f64,
    /// Variance of single samples of `log_time`.
    pub variance: f64,
    /// Effective number of samples of `log_time`, with older ones counting for less, as of the newest one.
    pub samples: f64,
    /// Calls that ended in success or failure, by decayed weight.
    pub calls: f64,
    /// Those of `calls` that failed.
    pub failed: f64,
    /// Time from the newest sample to the sending of the digest, in ms of the reporter's clock.
    pub age_ms: f64,
    /// Whether the reporter has ejected the server as an outlier.
    #[serde(rename = "out")]
    pub ejected: bool,
    /// The start of the server's process that was measured.
    pub run: StartReport,
}

/// All that a reporter has measured itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Digest {
    /// The reporter's name.
    #[serde(rename = "teller")]
    pub reporter: String,
    /// Natural logarithm of the pool's time for a unit of work, in ms; `None` before the first sample.
    pub level: Option<f64>,
    /// Statistics of each server.
    pub items: Vec<ServerStats>,
}

/// Why a digest is rejected as a whole.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum DigestError {
    /// It has too many servers.
    #[error("{0} servers are over the limit of {MAX_SERVERS}")]
    TooManyServers(usize),
    /// The reporter's name is empty or too long.
    #[error("the reporter's name has {0} bytes, not 1 to {MAX_NAME_BYTES}")]
    ReporterName(usize),
    /// A server has two entries.
    #[error("server {0} is listed twice")]
    DuplicateServer(SocketAddr),
    /// A value is out of the range of measurements.
    #[error("{field} of {address} is out of range: {value}")]
    OutOfRange {
        /// Which server.
        address: SocketAddr,
        /// Which field.
        field: &'static str,
        /// Its value.
        value: f64,
    },
    /// The level is out of the range of log times.
    #[error("level is out of range: {0}")]
    LevelOutOfRange(f64),
}

impl Digest {
    /// Checks that every value is one that a measurement can have. A single bad value rejects the whole digest: if a
    /// reporter is wrong there, its other values cannot be relied on.
    ///
    /// # Errors
    /// The first invalid value.
    pub fn check(&self) -> Result<(), DigestError> {
        if self.items.len() > MAX_SERVERS {
            return Err(DigestError::TooManyServers(self.items.len()));
        }
        if self.reporter.is_empty() || self.reporter.len() > MAX_NAME_BYTES {
            return Err(DigestError::ReporterName(self.reporter.len()));
        }
        if let Some(level) = self.level.filter(|level| !(-20.0..=20.0).contains(level)) {
            return Err(DigestError::LevelOutOfRange(level));
        }
        let mut seen = HashSet::with_capacity(self.items.len());
        for item in &self.items {
            item.check()?;
            if !seen.insert(item.address) {
                return Err(DigestError::DuplicateServer(item.address));
            }
        }
        Ok(())
    }
}

impl ServerStats {
    fn check(&self) -> Result<(), DigestError> {
        let values = [
            ("log_time", self.log_time, -MAX_LOG_TIME, MAX_LOG_TIME),
            ("variance", self.variance, 0.0, MAX_LOG_TIME * MAX_LOG_TIME),
            ("samples", self.samples, 0.0, MAX_SAMPLES),
            ("calls", self.calls, 0.0, MAX_SAMPLES),
            ("failed", self.failed, 0.0, self.calls),
            ("age_ms", self.age_ms, 0.0, MAX_AGE_MS),
            ("up_ms", self.run.up_ms.unwrap_or(0.0), 0.0, MAX_AGE_MS),
        ];
        // NaN is in no range.
        match values.into_iter().find(|(_, value, min, max)| !(*min <= *value && *value <= *max)) {
            Some((field, value, ..)) => Err(DigestError::OutOfRange { address: self.address, field, value }),
            None => Ok(()),
        }
    }
}
