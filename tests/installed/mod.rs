//! Installations of many kinds: their settings, a load on the real node under them, and a checker of what callers,
//! processor and records service saw.
#![allow(dead_code)]

pub mod check;
mod draws;
pub mod engine;
mod faults;
pub mod plan;
pub mod records;
pub mod site;
pub mod soak;
mod verdict;
pub mod world;
