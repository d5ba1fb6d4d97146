//! The platform's protocol as bytes: RESP arrays of bulk strings, read once into typed messages and written once.

use std::io;

use bytes::Bytes;
use thiserror::Error;
use winnow::ascii::{crlf, dec_uint};
use winnow::combinator::{delimited, repeat, terminated};
use winnow::error::{ContextError, ErrMode};
use winnow::token::take;
use winnow::{ModalResult, Parser, Partial};

use crate::exchange::{Anomaly, Answer, IncomingRequest, Reply};
use crate::front::Shared;
use crate::front::fields::{Fields, Unfit};

/// Words of one array, bytes of one word, and bytes of one whole message that are read at the most.
const WORDS: usize = 5;
const WORD_BYTES: usize = 4096;
const MESSAGE_BYTES: usize = 8 * 1024;
/// The longest body of a request.
const BODY_BYTES: usize = 2048;

/// Why a connection is closed.
#[derive(Debug, Error)]
pub(super) enum Bad {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("not an array of bulk strings")]
    Frame,
    #[error("a message of over {MESSAGE_BYTES} bytes")]
    Long,
    #[error("unknown message")]
    Verb,
    #[error("the tag is not a number from 1 up")]
    Tag,
    #[error("a tag that is in use")]
    TagInUse,
    #[error("half a message, and no more of it")]
    Unfinished,
    #[error("silent from the start")]
    Silent,
    #[error("no answer could be written for too long")]
    Deaf,
}

impl Bad {
    /// Whether answers can still be written: only what was read is at fault.
    pub fn leaves_writing(&self) -> bool {
        !matches!(self, Self::Io(_) | Self::Deaf)
    }

    /// What it counts as in the log; a connection that just ended counts as nothing.
    pub fn anomaly(&self) -> Option<Anomaly> {
        match self {
            Self::Io(_) => None,
            Self::Silent | Self::Unfinished => Some(Anomaly::IncompleteInput),
            Self::Deaf => Some(Anomaly::AnswersNotRead),
            _ => Some(Anomaly::ProtocolError),
        }
    }
}

/// One message of a front end.
#[derive(Debug)]
pub(super) enum Message {
    Ask(u64, IncomingRequest),
    /// A request that cannot be served, with what is wrong with it.
    Unfit(u64, Unfit),
    Nevermind(u64),
    Status(u64),
}

fn bulk<'a>(input: &mut Partial<&'a [u8]>) -> ModalResult<&'a [u8]> {
    let length =
        delimited(b'$', dec_uint::<_, usize, _>, crlf).verify(|n| *n <= WORD_BYTES).parse_next(input)?;
    terminated(take(length), crlf).parse_next(input)
}

fn array<'a>(input: &mut Partial<&'a [u8]>) -> ModalResult<Vec<&'a [u8]>> {
    let words = delimited(b'*', dec_uint::<_, usize, _>, crlf)
        .verify(|n| (2..=WORDS).contains(n))
        .parse_next(input)?;
    repeat(words, bulk).parse_next(input)
}

/// The words of one message, and how many bytes they stood in.
type Frame<'a> = (Vec<&'a [u8]>, usize);

/// The next whole array at the front of `bytes`.
pub(super) fn frame(bytes: &[u8]) -> Result<Option<Frame<'_>>, Bad> {
    let mut input = Partial::new(bytes);
    match array(&mut input) {
        Ok(words) => Ok(Some((words, bytes.len() - input.len()))),
        Err(ErrMode::<ContextError>::Incomplete(_)) if bytes.len() > MESSAGE_BYTES => Err(Bad::Long),
        Err(ErrMode::Incomplete(_)) => Ok(None),
        Err(_) => Err(Bad::Frame),
    }
}

fn text(word: &[u8]) -> Option<&str> {
    std::str::from_utf8(word).ok()
}

/// A tag as a number; only such as the answer can repeat to the byte.
fn tag(word: &[u8]) -> Option<u64> {
    text(word).and_then(|tag| tag.parse().ok().filter(|n: &u64| *n > 0 && n.to_string() == tag))
}

/// What the words of an array mean.
pub(super) fn decode(words: &[&[u8]], shared: &Shared) -> Result<Message, Bad> {
    let tag = words.get(1).copied().and_then(tag).ok_or(Bad::Tag)?;
    match (words[0], words) {
        (b"ASK", [_, _, class, fields, rest @ ..]) => {
            let body = rest.first().copied().unwrap_or_default();
            Ok(match ask(class, fields, body, shared) {
                Ok(ask) => Message::Ask(tag, ask),
                Err(why) => Message::Unfit(tag, why),
            })
        }
        (b"NEVERMIND", _) => Ok(Message::Nevermind(tag)),
        (b"STATUS", _) => Ok(Message::Status(tag)),
        _ => Err(Bad::Verb),
    }
}

fn ask(class: &[u8], words: &[u8], body: &[u8], shared: &Shared) -> Result<IncomingRequest, Unfit> {
    let class = text(class).ok_or(Unfit::Class)?;
    let mut fields = Fields::default();
    for word in text(words).ok_or(Unfit::Text)?.split(',').filter(|word| !word.is_empty()) {
        let (name, value) = word.split_once('=').ok_or(Unfit::Text)?;
        let field = match name {
            "req" => &mut fields.req,
            "ts" => &mut fields.ts,
            "timeout" => &mut fields.timeout_ms,
            "via" => &mut fields.via,
            "owner" => &mut fields.owner,
            "resent" => &mut fields.resent,
            "ms" => &mut fields.work_ms,
            "need" => &mut fields.need_kb,
            "level" => &mut fields.level,
            "opkey" => &mut fields.op_key,
            "subject" => &mut fields.subject,
            _ => continue,
        };
        *field = Some(value);
    }
    fields.req.ok_or(Unfit::Try)?;
    if body.len() > BODY_BYTES {
        return Err(Unfit::Body);
    }
    fields.ask(class, shared, Bytes::copy_from_slice(body))
}

fn put_bulk(out: &mut Vec<u8>, word: &[u8]) {
    out.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
    out.extend_from_slice(word);
    out.extend_from_slice(b"\r\n");
}

fn put_answer(out: &mut Vec<u8>, token: u64, word: &str, fields: &str, body: &[u8]) {
    out.extend_from_slice(b"*4\r\n");
    put_bulk(out, token.to_string().as_bytes());
    put_bulk(out, word.as_bytes());
    put_bulk(out, fields.as_bytes());
    put_bulk(out, body);
}

fn signal(level: Option<f64>) -> String {
    level.map_or_else(String::new, |level| format!("signal={level:.4}"))
}

/// The answer to a request.
pub(super) fn put_reply(out: &mut Vec<u8>, reply: &Reply) {
    let mut fields = signal(reply.level);
    let (word, body): (&str, &[u8]) = match &reply.answer {
        Answer::Served(body) => ("done", body),
        Answer::Failed => ("error", b""),
        Answer::Refused { stay_away_ms, last } => {
            let mut add = |field: String| {
                fields.push_str(if fields.is_empty() { "" } else { "," });
                fields.push_str(&field);
            };
            add(format!("holdoff={stay_away_ms:.0}"));
            if *last {
                add("nomore=1".to_owned());
            }
            ("later", b"")
        }
    };
    put_answer(out, reply.token, word, &fields, body);
}

/// The answer to a health check.
pub(super) fn put_status(out: &mut Vec<u8>, token: u64, healthy: bool, level: Option<f64>) {
    put_answer(out, token, if healthy { "healthy" } else { "sick" }, &signal(level), b"");
}

/// The wish that the front end sends nothing new and closes the connection.
pub(super) fn put_closing(out: &mut Vec<u8>) {
    out.extend_from_slice(b"*2\r\n");
    put_bulk(out, b"0");
    put_bulk(out, b"closing");
}
