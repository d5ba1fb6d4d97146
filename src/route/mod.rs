//! The servers of a dependency and the choice among them. No I/O and no clock: times are ms of a clock that never
//! runs backwards, randomness is given by the caller.
//!
//! A [`Pool`] learns of each server how its times compare with the pool's, how often it fails, when it started and
//! what is in hand there, and chooses by expected finish among a few candidates drawn at random. What other nodes say
//! ([`crate::server_stats`]) is prior evidence beside it.

mod budget;
mod choice;
mod estimate;
mod outlier;
mod pool;
mod server;
mod slow_start;

pub use budget::RetryBudget;
pub use pool::{CallEnd, CallEndKind, Choice, NoFreeServer, Options, Pool, ServerEstimate};
pub use server::{ServerId, ServerState, Spec};
pub use slow_start::{ASSUMED_PROCESSES, bound as slow_start_bound};
