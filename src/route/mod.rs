//! Load balancing: the servers of a dependency and the choice among them. No I/O and no clock: times are ms of a
//! monotonic clock, and the caller passes the random number generator.
//!
//! A [`Pool`] tracks for each server its response times relative to the pool, its failure rate, when its process started
//! and its calls in flight. It picks the server with the lowest expected completion time among a few random candidates.
//! Statistics from other nodes ([`crate::server_stats`]) serve as prior evidence.

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
