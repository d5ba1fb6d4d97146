//! What nodes tell each other of servers: one question and one answer on a connection, in postcard's form behind its
//! length, so that a message of evidence stays within [`super::evidence::MAX_BYTES`] and a few more.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::timeout;

use crate::net::connect::connect;

use super::evidence::{Evidence, MAX_BYTES};
use super::list::{List, MAX_ENTRIES, Number};
use super::list_manager::Trial;

/// Servers whose trial calls one message tells of at the most.
pub const MAX_TRIALS: usize = 64;
/// Bytes of a question at the most: a message of evidence, trials, and who says it.
pub const MAX_REQUEST_BYTES: usize = MAX_BYTES + MAX_TRIALS * 40 + 512;
/// Bytes of an answer at the most: a whole list, with three testers of long names in each line.
const MAX_ANSWER_BYTES: usize = MAX_ENTRIES * 1024;
/// How long a question and its answer may take.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// What a node says to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Its name. It is believed only from the address that the fleet's view has for the name.
    pub from: String,
    /// A word that changes with each start of its process.
    pub life: u64,
    /// What it says.
    pub what: RequestBody,
}

/// See [`Request`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RequestBody {
    /// To the one that counts: what its calls have shown.
    Evidence {
        /// All of its calls.
        evidence: Evidence,
        /// Those among them to servers that it was to try, since their trial began.
        trials: Vec<(SocketAddr, Trial)>,
        /// The number of the list that it has.
        have: Number,
    },
    /// From the one that counts: it does, under this number of the duty.
    Holds {
        /// The number.
        fence: u64,
        /// The highest list that it has.
        best: Number,
    },
}

/// Who counts, as a node was told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The number of the duty.
    pub fence: u64,
    /// Its name.
    pub name: String,
}

/// What is answered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// From the one that counts.
    Counted {
        /// The number of the latest list.
        number: Number,
        /// The list, where the asker has another one.
        list: Option<List>,
        /// Whether the asker's machine finds most servers bad, and counts for nothing.
        ill: bool,
        /// Servers that it is asked to call, since more is to be known of them; until its next message.
        asked: Vec<SocketAddr>,
    },
    /// It does not count; this is who does, as far as it knows.
    Elsewhere(Option<Holder>),
    /// To the one that counts: it is known, and this list is in force, where it is a higher one.
    Known(Option<List>),
    /// To one that says that it counts: a higher number was seen.
    Passed(u64),
    /// Nothing of it counts, and why.
    Refused(String),
}

/// Sends one message.
///
/// # Errors
/// The connection breaks.
pub async fn send<T: Serialize>(to: &mut (impl AsyncWrite + Unpin), message: &T) -> io::Result<()> {
    let body = postcard::to_stdvec(message).map_err(io::Error::other)?;
    let length = u32::try_from(body.len()).map_err(io::Error::other)?;
    to.write_all(&[&length.to_be_bytes()[..], &body].concat()).await
}

/// Reads one message of `most` bytes at the most: nothing is read of a longer one.
///
/// # Errors
/// The connection breaks, or what comes is no such message.
pub async fn receive<T: DeserializeOwned>(from: &mut (impl AsyncRead + Unpin), most: usize) -> io::Result<T> {
    let length = from.read_u32().await? as usize;
    if length > most {
        let why = format!("a message of {length} bytes, over {most}");
        return Err(io::Error::new(io::ErrorKind::InvalidData, why));
    }
    let mut body = vec![0; length];
    from.read_exact(&mut body).await?;
    match postcard::take_from_bytes(&body) {
        Ok((message, [])) => Ok(message),
        Ok(_) => Err(io::Error::new(io::ErrorKind::InvalidData, "more than one message")),
        Err(problem) => Err(io::Error::new(io::ErrorKind::InvalidData, problem)),
    }
}

/// Says something to the node at an address, from an address of this one.
///
/// # Errors
/// It cannot be reached, or does not answer within [`REQUEST_TIMEOUT`].
pub async fn send_request(at: SocketAddr, from: IpAddr, said: &Request) -> io::Result<Answer> {
    let asked = async {
        let mut stream = connect(at, Some(from)).await?;
        send(&mut stream, said).await?;
        receive(&mut stream, MAX_ANSWER_BYTES).await
    };
    timeout(REQUEST_TIMEOUT, asked).await?
}
