//! Which servers the fleet as a whole takes out. Each node goes on removing for itself what its own calls prove
//! ([`crate::route`]); here the evidence of many is counted, so that what none of them can prove alone is known soon,
//! and one ill path removes nothing for the others.
//!
//! Nodes note what their calls tell ([`evidence::Recorder`]) and send it to the one that counts, which keeps it
//! ([`evidence::Book`]) and asks [`count::judge`] what it comes to: a test that may be looked at at any time
//! ([`sequential`]), under a bound on liars. [`cap::decide`] holds that to what may be removed at all, and
//! [`keeper::Keeper`] makes numbered lists of it, which every node applies through a [`list::Guard`].
//!
//! These decide without I/O and clock: times are ms of a clock that never runs backwards, and what crosses the wire is
//! ages. That one node counts at a time is a duty's business: its number is an argument. [`part`] has the tasks: on a
//! thread of its own each node sends its evidence, hears who counts and applies lists, and counts while it has the duty.

pub mod asking;
pub mod cap;
pub mod claims;
pub mod count;
mod door;
pub mod evidence;
mod holder;
pub mod holding;
pub mod keeper;
pub mod kept;
pub mod latest;
pub mod list;
pub mod part;
pub mod routes;
pub mod sequential;
mod voter;
pub mod wire;
