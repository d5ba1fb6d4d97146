//! Server statistics received from other nodes, and how far they are trusted. No I/O and no clock: times are ms of a
//! monotonic clock, and only ages are sent over the network.
//!
//! Only first-hand statistics are sent: a [`Digest`] holds the reporter's own measurements and nothing that it received
//! from others. The receiver uses it as prior evidence ([`PeerReports`]), whose weight falls with age, is capped, and fades
//! as own samples arrive. Trust in each reporter is a likelihood ratio that is updated by own samples.

mod digest;
mod peer_reports;
mod trust;

pub use digest::{Digest, DigestError, MAX_AGE_MS, MAX_LOG_TIME, MAX_SERVERS, ServerStats, StartReport};
pub use peer_reports::{Claim, MergeResult, PeerReports, Prior, ReportedEstimate, Sample};
pub use trust::{CONTRADICTED, Trust};
