//! What a member of the store decides, without I/O: whose directory it has, how it comes in, and which step the
//! members take next. Time and what others say are arguments.

pub mod entry;
pub mod identity;
pub mod members;
pub mod pieces;
