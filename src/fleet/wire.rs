//! Datagrams between nodes, and what an operator asks one: the former small enough for one packet, in postcard's form,
//! the latter JSON in frames.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::time::timeout;

use crate::frame::{receive_within, send};
use crate::net::connect::connect;

use crate::lease::table::Grants;
use crate::replication;

use super::liveness::{Counts, Datagram, Opinion};
use super::trust::Freshness;
use super::view::{Node, Step};

/// Bytes of a datagram at the most: what passes any link whole.
pub const DATAGRAM_BYTES: usize = 1200;
/// Steps of the view in one datagram at the most, where they fit.
pub const STEPS: usize = 8;
/// Bytes of an answer to an operator at the most.
const REPORT_BYTES: usize = 8 * 1024 * 1024;
/// Bytes of a question.
pub const QUESTION_BYTES: usize = 256 * 1024;
/// How long an operator waits.
const PATIENCE: Duration = Duration::from_secs(8);

/// What one process sends to another in a datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Packet {
    /// Who is alive.
    Gossip(Datagram),
    /// Is the node of this name there, in this life? Another one asks to go by the name, at this address.
    Inquiry {
        /// The name.
        name: String,
        /// The life.
        incarnation: u64,
        /// Where the other one is.
        rival: SocketAddr,
    },
    /// This is who is here.
    Here {
        /// Its name.
        name: String,
        /// Its life, where it belongs.
        incarnation: Option<u64>,
        /// Its word.
        birth: u64,
    },
    /// Which steps come behind the view of this number?
    Behind {
        /// Who asks.
        from: u64,
        /// The view that it has.
        number: u64,
    },
    /// These.
    Steps(Vec<Step>),
    /// The sender has the view of this number: where copies move, it is not left to the next probe to say so.
    Newer(u64),
    /// About copies.
    Copies(Box<replication::wire::Message>),
    /// The answer to a question about copies is too long for a datagram: it is told on a connection.
    Whole {
        /// The number of the question.
        number: u64,
        /// Who would answer.
        from: u64,
    },
    /// The duties of the node have changed.
    Duties,
    /// They have changed to these.
    Granted(Box<Grants>),
}

/// Why a datagram is passed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Bad {
    /// It is longer than any that is sent.
    #[error("over {DATAGRAM_BYTES} bytes")]
    TooLong,
    /// It is none.
    #[error("it makes no sense")]
    Garbage,
}

impl Packet {
    /// The bytes of a datagram; none where it would be too long for one.
    pub fn to_bytes(&self) -> Option<Vec<u8>> {
        postcard::to_stdvec(self).ok().filter(|bytes| bytes.len() <= DATAGRAM_BYTES)
    }

    /// Reads a datagram; all of its bytes count.
    ///
    /// # Errors
    /// It is too long, or none.
    pub fn read(bytes: &[u8]) -> Result<Self, Bad> {
        if bytes.len() > DATAGRAM_BYTES {
            return Err(Bad::TooLong);
        }
        match postcard::take_from_bytes(bytes) {
            Ok((packet, [])) => Ok(packet),
            _ => Err(Bad::Garbage),
        }
    }
}

/// As many of these steps as fit into one datagram.
pub fn fitting(mut steps: Vec<Step>) -> Option<Vec<u8>> {
    steps.truncate(STEPS);
    while !steps.is_empty() {
        let packet = Packet::Steps(steps.clone());
        if let Some(bytes) = packet.to_bytes() {
            return Some(bytes);
        }
        steps.pop();
    }
    None
}

/// What an operator asks a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Question {
    /// What it sees of the fleet.
    Report,
    /// The node of this name goes in order.
    Leave(String),
    /// The node of this name is lost.
    DeclareLost(String),
    /// How its copies stand.
    Copies,
    /// What another node asks about copies, in postcard's form.
    Peer(#[serde(with = "crate::base64")] Bytes),
}

/// What it answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Told {
    /// What it sees.
    Report(Box<Report>),
    /// It is done.
    Done(String),
    /// It is not, or it is not known, and why.
    Failed(String),
    /// How its copies stand.
    Copies(Box<replication::report::Report>),
    /// What it tells another node, in postcard's form.
    Peer(#[serde(with = "crate::base64")] Bytes),
}

/// What a node asks another one about copies on a connection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerQuestion {
    /// What would be too long as a datagram, there or back.
    Message(replication::wire::Message),
    /// Some of the keys that it holds.
    Fetch(replication::wire::Fetch),
}

/// What is answered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// To a message.
    Message(replication::wire::Message),
    /// The keys; none where they are not held under that epoch.
    Page(Option<replication::wire::Page>),
    /// It cannot say.
    Nothing,
}

/// One node, as another sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// As the view has it.
    #[serde(flatten)]
    pub node: Node,
    /// What the asked one thinks of it; none of itself.
    pub opinion: Option<Opinion>,
    /// The name of the node that found it so.
    pub says: Option<String>,
}

/// What a node sees of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Its name.
    pub name: String,
    /// Its life, where it belongs.
    pub incarnation: Option<u64>,
    /// Why it does not belong, or what else is wrong.
    pub trouble: Option<String>,
    /// The number of its view.
    pub view: u64,
    /// How long ago that was heard to be in force, in ms.
    pub view_age_ms: u64,
    /// What the view may be used for.
    pub freshness: Freshness,
    /// How ill it finds itself.
    pub illness: u64,
    /// What it has sent and found.
    pub counts: Counts,
    /// Datagrams that it passed over.
    pub passed_over: u64,
    /// Datagrams and bytes that it sent, of every kind.
    pub bytes_sent: u64,
    /// All who belong.
    pub nodes: Vec<Line>,
    /// Its part in the duties, where it has one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub duties: Option<crate::lease::hold::Report>,
    /// Its part in partners' routes, where it has one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub partners: Option<crate::route_exchange::live::Report>,
    /// Its part in the votes on servers, where it has one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub verdicts: Option<crate::ejection::participant::Report>,
}

/// Why a node cannot be asked.
#[derive(Debug, Error)]
pub enum AskError {
    /// It cannot be reached, or what it answers cannot be read.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// It ended the connection.
    #[error("it did not answer")]
    Silent,
}

/// Asks a node.
///
/// # Errors
/// It cannot be reached, or does not answer in time.
pub async fn ask(at: SocketAddr, question: &Question) -> Result<Told, AskError> {
    ask_from(at, None, question).await
}

/// The same from an address of this node.
///
/// # Errors
/// It cannot be reached, or does not answer in time.
pub async fn ask_from(at: SocketAddr, from: Option<IpAddr>, question: &Question) -> Result<Told, AskError> {
    let asked = async {
        let mut stream = connect(at, from).await.map_err(std::io::Error::from)?;
        send(&mut stream, question).await?;
        receive_within(&mut stream, REPORT_BYTES).await?.ok_or(AskError::Silent)
    };
    timeout(PATIENCE, asked).await.map_err(std::io::Error::from)?
}
