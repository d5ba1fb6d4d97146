//! Which nodes belong to the installation, and which of them are alive. The two are kept apart by type: a
//! [`view::View`] is numbered and agreed on by the store's majority, and what is counted is counted in it; an
//! [`liveness::Opinion`] is what one node thinks now, with its age, and moves nothing for good.
//!
//! `copying` has the sockets of the copies (`crate::replication`) beside those of the fleet.
//!
//! `view`, `liveness`, `health`, `gossip` and `trust` do no I/O and take time and randomness as arguments; `daemon` has
//! the socket, on a thread of its own, and `follow` asks the store.

pub mod copying;
pub mod daemon;
mod follow;
pub mod gossip;
pub mod health;
pub mod liveness;
pub mod trust;
pub mod view;
pub mod wire;
