//! Fleet-wide outlier ejection by quorum voting. Each node still ejects on its own the servers that its own calls prove
//! bad ([`crate::route`]). Here the evidence of many nodes is combined, so that a fault that no node can prove alone is
//! found soon, and one faulty network path ejects nothing for the other nodes. Some machines may lie (Byzantine faults).
//!
//! Nodes record the results of their calls ([`evidence::Recorder`]) and send them to the coordinator, which stores them
//! ([`evidence::EvidenceStore`]) and evaluates them ([`detection::evaluate`]) with a sequential test that may be
//! evaluated at any time ([`sequential`]), under a bound on the number of lying machines. [`cap::decide`] limits the
//! outliers to what may be ejected at once, and [`list_manager::ListManager`] publishes numbered ejection lists, which
//! every node applies through a [`list::Guard`].
//!
//! These modules decide without I/O or a clock of their own: times are ms of a monotonic clock, and messages carry ages
//! instead of times. The lease ([`crate::lease`]) ensures that one node coordinates at a time; its fencing token is passed
//! in as an argument. [`participant`] has the tasks: on its own thread each node sends its evidence, learns who
//! coordinates and applies lists, and coordinates while it holds the lease.

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
