//! Which servers the fleet as a whole takes out. Each node goes on removing for itself what its own calls prove
//! ([`crate::route`]); here the evidence of many is counted, so that what none of them can prove alone is known soon,
//! and one ill path removes nothing for the others.
//!
//! Nodes note what their calls tell ([`evidence::Recorder`]) and send it to the one that counts, which keeps it
//! ([`evidence::EvidenceStore`]) and asks [`detection::evaluate`] what it comes to: a test that may be looked at at any time
//! ([`sequential`]), under a bound on liars. [`cap::decide`] holds that to what may be removed at all, and
//! [`list_manager::ListManager`] makes numbered lists of it, which every node applies through a [`list::Guard`].
//!
//! These decide without I/O and clock: times are ms of a clock that never runs backwards, and what crosses the wire is
//! ages. That one node counts at a time is a duty's business: its number is an argument. [`participant`] has the tasks: on a
//! thread of its own each node sends its evidence, hears who counts and applies lists, and counts while it has the duty.

pub mod cap;
pub mod claims;
pub mod coordinator;
mod coordinator_task;
pub mod detection;
pub mod evidence;
pub mod latest_list;
pub mod list;
pub mod list_manager;
mod listener;
pub mod participant;
pub mod persistent_guard;
pub mod probing;
pub mod routes;
pub mod sequential;
mod voter;
pub mod wire;
