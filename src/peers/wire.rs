//! What nodes say to each other of servers: one question and one answer on a connection, each a frame of JSON.

use serde::{Deserialize, Serialize};

use crate::route::ServerEstimate;
use crate::server_stats::Digest;

/// The version of what is said here. Another one is turned down with this number.
pub const VERSION: u32 = 1;
/// The longest question, in bytes.
pub const QUESTION_BYTES: usize = 1024;

/// What is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Subject {
    /// What the node has measured itself, for another node.
    Digest,
    /// What it believes and from whom, for an operator.
    Beliefs,
}

/// A question.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// The version that the asker speaks.
    pub version: u32,
    /// What it asks.
    pub ask: Subject,
}

/// What a node believes of the servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Beliefs {
    /// Its name.
    pub node: String,
    /// Server by server.
    pub servers: Vec<ServerEstimate>,
    /// How far it believes each node that told it something, from 0 to 1.
    pub tellers: Vec<(String, f64)>,
}

/// An answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Told {
    /// To a node.
    Digest(Digest),
    /// To an operator.
    Beliefs(Beliefs),
    /// The question is of a version that is not spoken here; this one is.
    Version(u32),
}

/// The longest answer about so many servers, in bytes: an asker reads no more than it can have use for.
pub fn answer_bytes(servers: usize) -> usize {
    64 * 1024 + servers.saturating_mul(1024)
}
