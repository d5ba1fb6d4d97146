//! Copies of what a node holds for others: keyed runs and their results outlive the machine that made them. What is
//! promised, and why it holds, is in `docs/design-copies.md`.
//!
//! Nothing here does I/O but `disk`; time, in ms of the process's own clock, and chance are arguments. The fleet's
//! daemon has the sockets.

pub mod disk;
pub mod errand;
pub mod holder;
pub mod keeping;
pub mod key;
pub mod machine;
pub mod place;
pub mod proposal;
pub mod register;
pub mod repair;
pub mod report;
pub mod slots;
pub mod wire;

pub use errand::{Claim, Errand, News};
pub use machine::{Machine, Members, Out};
