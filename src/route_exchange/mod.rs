//! Routes of partner sites, merged with the fleet's own, and told on to those that may have them. What is promised, and why
//! it holds, is in `docs/design-partners.md`.
//!
//! What is decided does no I/O. Time is an argument there, in ms: of the process's own clock, or, for the end of a route,
//! which sites have to agree on, since 1970 (UTC). The tasks between sites are in `live`, `follow`, `publish`, `fetch` and `keep`.

pub mod admit;
pub mod asking;
pub mod board;
pub mod capacity;
pub mod course;
mod crowd;
pub mod export;
pub mod fetch;
mod flat;
pub mod follow;
pub mod keep;
pub mod lead;
pub mod live;
pub mod lookup;
pub mod merge;
mod pending;
#[doc(hidden)]
pub mod publish;
mod ranges;
pub mod rest;
pub mod restrict;
pub mod route;
pub mod site;
pub mod table;
mod turns;
