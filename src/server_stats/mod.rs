//! What a node is told of servers by other nodes, and how far it believes that. No I/O and no clock: times are given
//! in ms of a clock that never runs backwards, and what crosses the wire is ages.
//!
//! Only first-hand knowledge travels: a [`Digest`] holds the teller's own measurements and nothing that it was told.
//! The receiver takes it as prior evidence ([`Inherited`]): its weight falls with age, is capped, and fades as own
//! samples come; trust in each teller is a likelihood ratio that own samples move.

mod digest;
mod inherited;
mod trust;

pub use digest::{Digest, DigestError, MOST_AGE_MS, MOST_ITEMS, MOST_LOG, ServerStats, StartReport};
pub use inherited::{Claim, Inherited, MergeResult, Prior, ReportedEstimate, Sample};
pub use trust::{CONTRADICTED, Trust};
