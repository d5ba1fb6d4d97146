//! Replies of HTTP/1.1, read as they come and believed no further than their bounds.

use std::io;

use bytes::{Bytes, BytesMut};
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use winnow::ascii::{crlf, dec_uint, space0};
use winnow::combinator::{alt, eof, preceded, repeat, separated_pair, terminated};
use winnow::error::{ContextError, ErrMode};
use winnow::token::{take, take_till, take_while};
use winnow::{ModalResult, Parser, Partial};

use crate::net::connect::Stream;
use crate::server_stats::StartReport;

/// Bytes of all heads of a reply, and of its body, that are read at the most.
const HEAD_BYTES: usize = 16 * 1024;
const BODY_BYTES: usize = 256 * 1024;
/// Bytes that are read in one go.
const READ_BYTES: usize = 4096;

/// Why a reply cannot be read.
#[derive(Debug, Error)]
pub(super) enum Bad {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("the connection ended")]
    Closed,
    #[error("not an HTTP reply")]
    Head,
    #[error("a reply that is too long")]
    Long,
}

/// How the end of a body is told.
#[derive(Debug, Default, PartialEq)]
enum Length {
    Known(usize),
    Chunked,
    /// By the end of the connection.
    #[default]
    ToEnd,
}

/// The head of a reply.
#[derive(Debug, Default, PartialEq)]
struct Head {
    status: u16,
    length: Length,
    not_begun: bool,
    close: bool,
    incarnation: Option<u64>,
    up_ms: Option<u32>,
}

/// A whole reply.
pub(super) struct Reply {
    pub status: u16,
    /// Whether it says that the call never ran.
    pub not_begun: bool,
    /// Whether the connection may carry a further call.
    pub reusable: bool,
    pub body: Bytes,
    /// What the server says of its start, where it does.
    pub run: Option<StartReport>,
}

fn header<'a>(input: &mut Partial<&'a [u8]>) -> ModalResult<(&'a [u8], &'a [u8])> {
    let name = take_while(1.., |c: u8| c.is_ascii_graphic() && c != b':');
    let value = take_till(0.., |c| c == b'\r' || c == b'\n');
    terminated(separated_pair(name, (b':', space0), value), crlf).parse_next(input)
}

fn head(input: &mut Partial<&[u8]>) -> ModalResult<Head> {
    let status = preceded((b"HTTP/1.", take_while(1, b'0'..=b'9'), b' '), take(3usize))
        .and_then(terminated(dec_uint::<_, u16, _>, eof))
        .verify(|status| (100..600).contains(status));
    let status = terminated(status, alt((crlf.void(), (b' ', take_till(0.., b"\r\n"), crlf).void())))
        .parse_next(input)?;
    let headers: Vec<(&[u8], &[u8])> = repeat(0.., header).parse_next(input)?;
    crlf.parse_next(input)?;
    let mut head = Head { status, ..Head::default() };
    for (name, value) in headers {
        let value = value.trim_ascii();
        if name.eq_ignore_ascii_case(b"content-length") {
            let length = Length::Known(number(value).ok_or_else(cut)?);
            // Two lengths, or a length beside chunks, are no reply that can be told from its neighbours.
            if head.length != Length::ToEnd && head.length != length {
                return Err(cut());
            }
            head.length = length;
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            if head.length != Length::ToEnd || !value.eq_ignore_ascii_case(b"chunked") {
                return Err(cut());
            }
            head.length = Length::Chunked;
        } else if name.eq_ignore_ascii_case(b"op-not-begun") {
            head.not_begun = value == b"1";
        } else if name.eq_ignore_ascii_case(b"op-incarnation") {
            head.incarnation = word(value);
        } else if name.eq_ignore_ascii_case(b"op-up-ms") {
            head.up_ms = number(value).and_then(|up| u32::try_from(up).ok());
        } else if name.eq_ignore_ascii_case(b"connection") {
            head.close |= value.eq_ignore_ascii_case(b"close");
        }
    }
    if status < 200 || matches!(status, 204 | 304) {
        head.length = Length::Known(0);
    }
    Ok(head)
}

fn cut() -> ErrMode<ContextError> {
    ErrMode::Cut(ContextError::new())
}

fn number(digits: &[u8]) -> Option<usize> {
    let digits = std::str::from_utf8(digits).ok().filter(|text| text.bytes().all(|c| c.is_ascii_digit()));
    digits.and_then(|digits| digits.parse().ok())
}

/// The word that a server changes with each start: up to 16 hexadecimal digits.
fn word(digits: &[u8]) -> Option<u64> {
    std::str::from_utf8(digits).ok().and_then(|digits| u64::from_str_radix(digits, 16).ok())
}

/// One chunk of a body, the last one empty and with its trailers.
fn chunk<'a>(input: &mut Partial<&'a [u8]>) -> ModalResult<&'a [u8]> {
    let digits = take_while(1..=6, |c: u8| c.is_ascii_hexdigit());
    let extension = take_till(0.., |c| c == b'\r' || c == b'\n');
    let digits = terminated(digits, (extension, crlf)).parse_next(input)?;
    let size = std::str::from_utf8(digits).ok().and_then(|digits| usize::from_str_radix(digits, 16).ok());
    match size {
        Some(0) => {
            let _trailers: Vec<(&[u8], &[u8])> = repeat(0.., header).parse_next(input)?;
            crlf.value(&[][..]).parse_next(input)
        }
        Some(size) if size <= BODY_BYTES => terminated(take(size), crlf).parse_next(input),
        _ => Err(cut()),
    }
}

/// Sends a request and reads the one reply to it. Replies of status 1xx ahead of it are skipped.
pub(super) async fn exchange(stream: &mut Stream, request: &[u8]) -> Result<Reply, Bad> {
    stream.write_all(request).await?;
    let mut buffer = BytesMut::new();
    let mut heads = 0;
    let head = loop {
        let mut input = Partial::new(&buffer[..]);
        match head(&mut input) {
            Ok(head) => {
                let length = buffer.len() - input.len();
                drop(buffer.split_to(length));
                heads += length;
                match head.status {
                    // No call asks for another protocol.
                    101 => return Err(Bad::Head),
                    100..200 => {}
                    _ => break head,
                }
            }
            Err(ErrMode::Incomplete(_)) if heads + buffer.len() <= HEAD_BYTES => {
                more(stream, &mut buffer).await?;
            }
            Err(_) => return Err(Bad::Head),
        }
    };
    let body = read_body(stream, &mut buffer, &head.length).await?;
    // What lies behind the reply belongs to no call: the connection is of no further use.
    let reusable = !head.close && head.length != Length::ToEnd && buffer.is_empty();
    let run = (head.incarnation.is_some() || head.up_ms.is_some())
        .then(|| StartReport { incarnation: head.incarnation, up_ms: head.up_ms.map(f64::from) });
    Ok(Reply { status: head.status, not_begun: head.not_begun, reusable, body, run })
}

async fn read_body(stream: &mut Stream, buffer: &mut BytesMut, length: &Length) -> Result<Bytes, Bad> {
    let mut body = BytesMut::new();
    loop {
        match length {
            Length::Known(length) if *length > BODY_BYTES => return Err(Bad::Long),
            Length::Known(length) if buffer.len() >= *length => return Ok(buffer.split_to(*length).freeze()),
            Length::Chunked if chunks(buffer, &mut body)? => return Ok(body.freeze()),
            _ => {}
        }
        if buffer.len() + body.len() > BODY_BYTES + HEAD_BYTES {
            return Err(Bad::Long);
        }
        match more(stream, buffer).await {
            Err(Bad::Closed) if *length == Length::ToEnd => return Ok(buffer.split().freeze()),
            read => read?,
        }
    }
}

/// Takes whole chunks off the buffer; true behind the last one and its trailers.
fn chunks(buffer: &mut BytesMut, body: &mut BytesMut) -> Result<bool, Bad> {
    loop {
        let mut input = Partial::new(&buffer[..]);
        let (last, length) = match chunk(&mut input) {
            Ok(data) => {
                body.extend_from_slice(data);
                (data.is_empty(), buffer.len() - input.len())
            }
            Err(ErrMode::Incomplete(_)) => return Ok(false),
            Err(_) => return Err(Bad::Head),
        };
        drop(buffer.split_to(length));
        if last {
            return Ok(true);
        }
    }
}

async fn more(stream: &mut Stream, buffer: &mut BytesMut) -> Result<(), Bad> {
    buffer.reserve(READ_BYTES);
    if stream.read_buf(buffer).await? == 0 { Err(Bad::Closed) } else { Ok(()) }
}
