//! Sockets: listening, accepting, connecting and streams that go on after the failures that Linux documents as transient.
//!
//! Every listener, client and stream of the program uses these, so that a failed system call means the same everywhere:
//! [`bind`] has addresses, [`accept`] takes connections, [`connect`] makes them, [`errors`] says what a failure proves,
//! [`stream`] retries interrupted calls, [`datagram`] sends and receives, [`table`] decides
//! who leaves where there is no room, and [`episode`] logs a run of failures once.

pub mod accept;
pub mod bind;
pub mod connect;
pub mod datagram;
pub mod episode;
pub mod errors;
pub(crate) mod fault;
pub mod stream;
pub mod table;
