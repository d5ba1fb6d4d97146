//! Routes of partner sites, merged with the fleet's own, and told on to those that may have them. What is promised, and why
//! it holds, is in `docs/design-partners.md`.
//!
//! Nothing here does I/O. Time is an argument, in ms: of the process's own clock, or, for the end of a route, which sites
//! have to agree on, since 1970 (UTC).

pub mod admit;
mod crowd;
pub mod export;
pub mod lookup;
pub mod merge;
mod pending;
#[doc(hidden)]
pub mod planted;
mod ranges;
pub mod restrict;
pub mod route;
pub mod table;
