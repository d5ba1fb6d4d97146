//! Installations of many kinds: their settings, a load on the real node under them, and a checker of what callers,
//! processor and records service saw.

pub mod check;
pub mod records;
pub mod site;
pub mod world;
