//! What nodes tell each other: the pool of servers as a node's tasks share it, asking others, and answering them.

mod ask;
mod routes;
mod tell;
pub mod wire;

pub use ask::{AskError, ask, learn};
pub use routes::{Leg, Routes};
pub use tell::Teller;
