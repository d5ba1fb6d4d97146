//! The thin front: the platform's protocol, RESP arrays of bulk strings.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use log::{debug, warn};
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, watch};
use tokio::time::Instant;
use winnow::ascii::{crlf, dec_uint};
use winnow::combinator::{delimited, repeat, terminated};
use winnow::error::{ContextError, ErrMode};
use winnow::token::take;
use winnow::{ModalResult, Parser, Partial};

use super::{Shared, waited_ms};
use crate::exchange::{Answer, Ask, Input, Oddity, Posture, Reply, ReplyTo, TryId};
use crate::interface::RequestId;

/// Words of one array, bytes of one word, and bytes of one whole message that are read at the most.
const WORDS: usize = 8;
const WORD_BYTES: usize = 4096;
const MESSAGE_BYTES: usize = 16 * 1024;
/// Requests open or answers unwritten on one connection before it is read no further: twice what the
/// protocol allows, so that a caller that keeps to it never waits.
const OPEN: usize = 64;
/// Answers that are encoded into one write.
const WRITE_BATCH: usize = 64;
/// How long a caller has to close a connection that was given back to it.
const GIVE_BACK: Duration = Duration::from_secs(2);

/// Why a connection is closed.
#[derive(Debug, Error, PartialEq)]
enum Bad {
    #[error("not an array of bulk strings")]
    Frame,
    #[error("a message of over {MESSAGE_BYTES} bytes")]
    Long,
    #[error("unknown message")]
    Verb,
    #[error("the tag is not a number")]
    Tag,
}

/// One message of a front end.
#[derive(Debug)]
enum Message {
    Ask(u64, Ask),
    /// A request that cannot be served, with what is wrong with it.
    Unfit(u64, &'static str),
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
        .verify(|n| (1..=WORDS).contains(n))
        .parse_next(input)?;
    repeat(words, bulk).parse_next(input)
}

/// The words of one message, and how many bytes they stood in.
type Frame<'a> = (Vec<&'a [u8]>, usize);

/// The next whole array at the front of `bytes`.
fn frame(bytes: &[u8]) -> Result<Option<Frame<'_>>, Bad> {
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

fn decode(words: &[&[u8]], shared: &Shared) -> Result<Message, Bad> {
    let tag = words.get(1).copied().and_then(text).and_then(|tag| tag.parse().ok()).ok_or(Bad::Tag)?;
    match (words[0], words) {
        (b"ASK", [_, _, class, fields, rest @ ..]) => {
            let body = rest.first().copied().unwrap_or_default();
            Ok(ask(class, fields, body, shared)
                .map_or_else(|why| Message::Unfit(tag, why), |a| Message::Ask(tag, a)))
        }
        (b"NEVERMIND", _) => Ok(Message::Nevermind(tag)),
        (b"STATUS", _) => Ok(Message::Status(tag)),
        _ => Err(Bad::Verb),
    }
}

fn ask(class: &[u8], fields: &[u8], body: &[u8], shared: &Shared) -> Result<Ask, &'static str> {
    let class = text(class).and_then(|name| shared.classes.get(name)).ok_or("unknown class")?;
    let fields = text(fields).ok_or("fields are not text")?;
    let fields: HashMap<&str, &str> = fields.split(',').filter_map(|field| field.split_once('=')).collect();
    let number = |name: &str| -> Result<Option<f64>, &'static str> {
        let Some(value) = fields.get(name) else { return Ok(None) };
        let value: f64 = value.parse().map_err(|_| "a field is not a number")?;
        if value.is_finite() { Ok(Some(value)) } else { Err("a field is not finite") }
    };
    let subject =
        fields.get("subject").map(|hex| u64::from_str_radix(hex, 16).map_err(|_| "subject is not hex"));
    let op_key = fields.get("opkey").map(|key| Arc::from(*key));
    if shared.keyed[*class] && op_key.is_none() {
        return Err("no opkey in a keyed class");
    }
    Ok(Ask {
        of: fields.get("req").and_then(|req| TryId::parse(req.as_bytes())).ok_or("req is not 16 digits")?,
        class: *class,
        tenant: fields.get("owner").and_then(|name| shared.tenants.get(*name)).copied().unwrap_or(0),
        op_key,
        subject: subject.transpose()?,
        further: fields.get("resent") == Some(&"1"),
        hint_ms: number("ms")?,
        held_kb: number("need")?.unwrap_or(0.0).max(0.0),
        waited_ms: number("ts")?.map_or(0.0, waited_ms),
        body: Bytes::copy_from_slice(body),
    })
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

fn encode(out: &mut Vec<u8>, reply: &Reply) {
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

/// What the reading part of a connection hands to its writing part.
enum Outgoing {
    Reply(Reply),
    Status(u64, OwnedSemaphorePermit),
    Closing,
}

/// Serves one connection to its end.
pub async fn connection(stream: TcpStream, shared: Rc<Shared>) {
    let (from, to) = stream.into_split();
    let (answers, answered) = mpsc::unbounded_channel();
    let (others, other) = mpsc::unbounded_channel();
    let writer = tokio::task::spawn_local(write(to, answered, other, shared.exchange.posture()));
    let mut reader = Reader {
        from,
        shared,
        answers,
        others,
        slots: Arc::new(Semaphore::new(OPEN)),
        open: HashMap::new(),
        buffer: BytesMut::new(),
    };
    let broken = match reader.read().await {
        Ok(()) => false,
        Err(problem) => {
            debug!("a front end's connection broke: {problem}");
            true
        }
    };
    reader.finish(writer, broken).await;
}

struct Reader {
    from: OwnedReadHalf,
    shared: Rc<Shared>,
    answers: mpsc::UnboundedSender<Reply>,
    others: mpsc::UnboundedSender<Outgoing>,
    slots: Arc<Semaphore>,
    /// Requests by tag; those long answered are swept out when their number passes a bound.
    open: HashMap<u64, RequestId>,
    buffer: BytesMut,
}

impl Reader {
    async fn read(&mut self) -> std::io::Result<()> {
        let mut posture = self.shared.exchange.posture();
        let closing = self.shared.closing.clone();
        let mut given_back = false;
        let mut last = Instant::now();
        loop {
            let idle_ms = posture.borrow_and_update().idle_ms;
            let idle = idle_ms.map(|ms| last + Duration::from_secs_f64(ms / 1000.0));
            let read = tokio::select! {
                read = self.from.read_buf(&mut self.buffer) => read?,
                () = closing.cancelled(), if !given_back => {
                    given_back = self.give_back();
                    continue;
                }
                () = tokio::time::sleep_until(idle.unwrap_or(last)), if idle.is_some() && !given_back => {
                    last = Instant::now();
                    given_back = self.slots.available_permits() == OPEN && self.give_back();
                    continue;
                }
                Ok(()) = posture.changed(), if !given_back => continue,
                () = tokio::time::sleep(GIVE_BACK), if given_back && self.slots.available_permits() == OPEN => {
                    return Ok(());
                }
            };
            if read == 0 {
                return Ok(());
            }
            last = Instant::now();
            if let Err(bad) = self.take_messages().await {
                warn!("a front end's connection is closed: {bad}");
                return Ok(());
            }
        }
    }

    /// Asks the front end to send nothing new and to close the connection.
    fn give_back(&self) -> bool {
        let _ = self.others.send(Outgoing::Closing);
        true
    }

    async fn take_messages(&mut self) -> Result<(), Bad> {
        while let Some((words, length)) = frame(&self.buffer)? {
            let message = decode(&words, &self.shared)?;
            self.buffer.advance(length);
            self.take(message).await;
        }
        Ok(())
    }

    async fn take(&mut self, message: Message) {
        if let Message::Nevermind(tag) = message {
            if let Some(id) = self.open.remove(&tag) {
                self.shared.exchange.tell(Input::Abandon(id)).await;
            }
            return;
        }
        // Guards the memory against a caller that asks and never reads: it is read no further itself.
        let Ok(slot) = self.slots.clone().acquire_owned().await else { return };
        match message {
            Message::Ask(token, ask) => {
                let reply = ReplyTo { queue: self.answers.clone(), token, slot: Some(slot) };
                let id = self.shared.exchange.submit(ask, reply).await;
                self.remember(token, id);
            }
            Message::Unfit(token, why) => {
                debug!("a request is failed unread: {why}");
                self.shared.exchange.tell(Input::Odd(Oddity::Unfit)).await;
                let reply = Reply { token, answer: Answer::Failed, level: None, slot: Some(slot) };
                let _ = self.others.send(Outgoing::Reply(reply));
            }
            Message::Status(token) => {
                let _ = self.others.send(Outgoing::Status(token, slot));
            }
            Message::Nevermind(_) => {}
        }
    }

    /// Notes a tag for a later NEVERMIND. Tags rise, so the oldest go first when there are too many.
    fn remember(&mut self, tag: u64, id: RequestId) {
        self.open.insert(tag, id);
        if self.open.len() > 4 * OPEN {
            let mut tags: Vec<u64> = self.open.keys().copied().collect();
            tags.sort_unstable();
            for old in &tags[..2 * OPEN] {
                self.open.remove(old);
            }
        }
    }

    /// Lets open requests be answered, or tells that nobody waits for them any more.
    async fn finish(self, writer: tokio::task::JoinHandle<()>, broken: bool) {
        let Self { shared, open, answers, others, .. } = self;
        drop((answers, others));
        if broken {
            writer.abort();
        } else {
            let _ = writer.await;
        }
        for id in open.into_values() {
            shared.exchange.tell(Input::Abandon(id)).await;
        }
    }
}

/// Writes answers, as many in one go as there are. Ends once no request can be answered any more.
async fn write(
    mut to: OwnedWriteHalf,
    mut answered: mpsc::UnboundedReceiver<Reply>,
    mut other: mpsc::UnboundedReceiver<Outgoing>,
    posture: watch::Receiver<Posture>,
) {
    let (mut replies, mut out) = (Vec::new(), Vec::new());
    let mut reading = true;
    loop {
        let mut slots = Vec::new();
        tokio::select! {
            biased;
            more = other.recv(), if reading => match more {
                Some(Outgoing::Reply(reply)) => replies.push(reply),
                Some(Outgoing::Status(token, slot)) => {
                    let now = posture.borrow().clone();
                    let word = if now.healthy { "healthy" } else { "sick" };
                    put_answer(&mut out, token, word, &signal(now.level), b"");
                    slots.push(slot);
                }
                Some(Outgoing::Closing) => {
                    out.extend_from_slice(b"*2\r\n");
                    put_bulk(&mut out, b"0");
                    put_bulk(&mut out, b"closing");
                }
                None => reading = false,
            },
            more = answered.recv_many(&mut replies, WRITE_BATCH) => if more == 0 { return },
        }
        replies.iter().for_each(|reply| encode(&mut out, reply));
        if let Err(problem) = to.write_all(&out).await {
            debug!("answers cannot be written: {problem}");
            return;
        }
        out.clear();
        replies.clear();
    }
}
