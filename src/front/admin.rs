//! The operators' door: HTTP/1.1 at an address of its own, one call on a connection. It tells whether the node
//! is ready, and sends clients away or calls them back.

use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use log::debug;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;
use winnow::combinator::{preceded, separated_pair, terminated};
use winnow::error::{ContextError, ErrMode};
use winnow::token::{take_till, take_while};
use winnow::{ModalResult, Parser, Partial};

use crate::exchange::OperatorChange;
use crate::handover::operator::OperatorCalls;
use crate::net::stream::Uninterrupted;
use crate::net::table::{Room, Seat};

/// Operators are few: when all places are taken, the one that has been silent for longest leaves.
pub fn room(most: usize) -> Room {
    Room { most, spares: Duration::ZERO }
}
/// Bytes of a call's head that are read at the most, and of a body, which nothing is made of.
const HEAD_BYTES: usize = 8 * 1024;
const BODY_BYTES: usize = 64 * 1024;
/// A caller that has not made its call by then is closed; so is one that does not close after its answer.
const SPEAKS_WITHIN: Duration = Duration::from_secs(2);
const CLOSES_WITHIN: Duration = Duration::from_millis(500);
/// How long a call may take to be in force before the caller is told that it is not.
const OBEYS_WITHIN: Duration = Duration::from_millis(800);

/// Why a connection ends without an answer.
#[derive(Debug, Error)]
enum Bad {
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("it ended before the call did")]
    Closed,
    #[error("nothing whole came in time")]
    Silent,
}

/// What an operator asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Call {
    Status,
    Standby(bool),
}

/// A call that is not carried out.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Refusal {
    Malformed,
    TooLong,
    Unknown,
    /// The path is known, but only with this method.
    Method(&'static str),
}

/// An answer: the status, a header where there is one, and the text.
type Answer = (&'static str, String, &'static str);

impl Refusal {
    fn answer(self) -> Answer {
        match self {
            Self::Malformed => ("400 Bad Request", String::new(), "not a call of HTTP/1.1"),
            Self::TooLong => ("431 Request Header Fields Too Large", String::new(), "too long"),
            Self::Unknown => ("404 Not Found", String::new(), "no such call"),
            Self::Method(method) => {
                ("405 Method Not Allowed", format!("Allow: {method}\r\n"), "another method is wanted")
            }
        }
    }
}

/// The method and path of a whole head.
fn head<'a>(input: &mut Partial<&'a [u8]>) -> ModalResult<(&'a [u8], &'a [u8])> {
    let word =
        |input: &mut Partial<&'a [u8]>| take_while(1.., |c: u8| c.is_ascii_graphic()).parse_next(input);
    let end = |input: &mut Partial<&'a [u8]>| preceded(take_till(0.., b'\n'), b'\n').parse_next(input);
    let called = separated_pair(word, b' ', word).parse_next(input)?;
    terminated((b" HTTP/1.", take_while(1, b'0'..=b'9')), end).parse_next(input)?;
    while !matches!(take_till(0.., b'\n').parse_next(input)?, b"" | b"\r") {
        b'\n'.parse_next(input)?;
    }
    b'\n'.parse_next(input)?;
    Ok(called)
}

fn call(method: &[u8], target: &[u8]) -> Result<Call, Refusal> {
    let path = target.split(|c| *c == b'?').next().unwrap_or_default();
    let (call, wanted) = match path {
        b"/status" => (Call::Status, "GET"),
        b"/standby" => (Call::Standby(true), "POST"),
        b"/active" => (Call::Standby(false), "POST"),
        _ => return Err(Refusal::Unknown),
    };
    if method == wanted.as_bytes() { Ok(call) } else { Err(Refusal::Method(wanted)) }
}

/// Serves one connection: one call, one answer.
pub async fn connection(stream: TcpStream, operators: Rc<OperatorCalls>, seat: Seat) {
    if let Err(bad) = serve(Uninterrupted::new(stream), &operators, seat).await {
        debug!("an operator's connection is closed: {bad}");
    }
}

async fn serve(
    mut stream: Uninterrupted<TcpStream>,
    operators: &OperatorCalls,
    seat: Seat,
) -> Result<(), Bad> {
    let called = tokio::select! {
        read = timeout(SPEAKS_WITHIN, read(&mut stream)) => read.map_err(|_| Bad::Silent)??,
        () = seat.lost() => return Err(Bad::Silent),
    };
    seat.work();
    let (status, header, text) = match called {
        Ok(call) => answer(call, operators).await,
        Err(refusal) => refusal.answer(),
    };
    let reply = format!(
        "HTTP/1.1 {status}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n{header}Connection: close\r\n\r\n{text}\n",
        text.len() + 1
    );
    stream.write_all(reply.as_bytes()).await?;
    stream.shutdown().await?;
    // What is left unread, as a body, would reset the connection and take the answer with it.
    let _ = timeout(CLOSES_WITHIN, discard(&mut stream)).await;
    Ok(())
}

async fn read(stream: &mut Uninterrupted<TcpStream>) -> Result<Result<Call, Refusal>, Bad> {
    let mut buffer = BytesMut::new();
    loop {
        match head(&mut Partial::new(&buffer[..])) {
            Ok((method, target)) => return Ok(call(method, target)),
            Err(ErrMode::<ContextError>::Incomplete(_)) if buffer.len() > HEAD_BYTES => {
                return Ok(Err(Refusal::TooLong));
            }
            Err(ErrMode::Incomplete(_)) => {}
            Err(_) => return Ok(Err(Refusal::Malformed)),
        }
        if stream.read_buf(&mut buffer).await? == 0 {
            return Err(Bad::Closed);
        }
    }
}

async fn discard(stream: &mut Uninterrupted<TcpStream>) -> std::io::Result<u64> {
    tokio::io::copy(&mut stream.take(BODY_BYTES as u64), &mut tokio::io::sink()).await
}

async fn answer(call: Call, operators: &OperatorCalls) -> Answer {
    let done = match call {
        Call::Status => operators.is_ready(),
        Call::Standby(requested) => operators.change(OperatorChange::Standby(requested), OBEYS_WITHIN).await,
    };
    match (call, done) {
        (Call::Status, true) => ("200 OK", String::new(), "ready"),
        (Call::Standby(true), true) => ("200 OK", String::new(), "standby"),
        (Call::Standby(false), true) => ("200 OK", String::new(), "active"),
        _ => ("503 Service Unavailable", String::new(), "not ready"),
    }
}
