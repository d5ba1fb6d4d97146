//! The second front: AJP13, as a web server speaks it to the servers behind it. A connection carries one
//! request at a time and is used again as soon as that is answered, whatever has become of its run.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use log::debug;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, SemaphorePermit, mpsc};
use tokio::time::{sleep, timeout};
use winnow::binary::{be_u8, be_u16};
use winnow::combinator::{alt, preceded, terminated};
use winnow::error::{ContextError, ErrMode};
use winnow::token::take;
use winnow::{ModalResult, Parser, Partial};

use super::closing::{has_closed, has_unread, linger};
use super::fairness::account_for;
use super::fields::{Fields, Unfit};
use super::{SPEAKS_WITHIN, Shared, WRITES_WITHIN};
use crate::config::Ajp;
use crate::exchange::{Anomaly, Answer, IncomingRequest, Input, Reply, ReplyTo};
use crate::interface::RequestId;
use crate::net::stream::Uninterrupted;
use crate::net::table::Seat;

/// Bytes of one packet from the web server, without its head, and of one chunk of a body in it.
const PACKET_BYTES: usize = 8188;
const CHUNK_BYTES: usize = 8184;
/// Bytes that are read in one go.
const READ_BYTES: usize = 4096;
/// The longest body that is taken.
const BODY_BYTES: usize = 64 * 1024;

/// Part of the process's memory that the bodies of open requests may take: one in so many. It is given out in units.
const BODIES_MEMORY_SHARE: usize = 8;
const BODY_UNIT_BYTES: usize = 1024;
/// How long a web server is to stay away where there is no memory for a body.
const BODIES_FULL_STAY_AWAY_MS: f64 = 1_000.0;
/// Time between two looks for the end of a connection on which more has come early than is kept.
const END_LOOK: Duration = Duration::from_millis(50);

/// What every connection of this front shares.
pub struct Front {
    /// What it shares with other fronts.
    pub shared: Rc<Shared>,
    /// What the operator has set.
    pub options: Ajp,
    bodies: Semaphore,
}

impl Front {
    /// A front whose requests take a fixed part of the process's memory for their bodies at the most.
    pub fn new(shared: Rc<Shared>, options: Ajp, memory_bytes: usize) -> Self {
        let permits = memory_bytes / BODIES_MEMORY_SHARE / BODY_UNIT_BYTES;
        Self { shared, options, bodies: Semaphore::new(permits.min(Semaphore::MAX_PERMITS)) }
    }

    /// Whether a request comes from a web server that knows the operator's secret, where there is one. A health check
    /// without a body needs none.
    fn may_ask(&self, forward: &Forward<'_>, length: Option<usize>) -> bool {
        let secret = self.options.secret.as_deref().map(str::as_bytes);
        secret.is_none() || secret == forward.secret || self.is_health(forward) && length == Some(0)
    }

    fn is_health(&self, forward: &Forward<'_>) -> bool {
        !self.options.health.is_empty() && forward.path() == self.options.health
    }

    /// Reserves memory for a body of this length; one of unknown length may become as long as is taken. None where there is
    /// no more.
    fn reserve_body(&self, length: Option<usize>) -> Option<SemaphorePermit<'_>> {
        let units = length.unwrap_or(BODY_BYTES).div_ceil(BODY_UNIT_BYTES);
        self.bodies.try_acquire_many(u32::try_from(units).ok()?).ok()
    }
}

/// Why a connection is closed.
#[derive(Debug, Error)]
enum Bad {
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("the web server closed it")]
    Closed,
    #[error("not an AJP13 packet")]
    Packet,
    #[error("not a request of AJP13")]
    Request,
    #[error("unknown packet of type {0}")]
    Kind(u8),
    #[error("a packet or body that stands still")]
    Stalled,
    #[error("silent from the start")]
    Silent,
    #[error("no answer could be written for too long")]
    Deaf,
}

impl Bad {
    /// What it counts as in the log; a connection that just ended counts as nothing.
    fn anomaly(&self) -> Option<Anomaly> {
        match self {
            Self::Io(_) | Self::Closed => None,
            Self::Stalled | Self::Silent => Some(Anomaly::IncompleteInput),
            Self::Deaf => Some(Anomaly::AnswersNotRead),
            _ => Some(Anomaly::ProtocolError),
        }
    }
}

/// The name of a header: one of the protocol's numbers, or text.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Name<'a> {
    Coded(u8),
    Text(&'a [u8]),
}

impl Name<'_> {
    fn is(&self, code: u8, text: &str) -> bool {
        match self {
            Name::Coded(coded) => *coded == code,
            Name::Text(name) => name.eq_ignore_ascii_case(text.as_bytes()),
        }
    }
}

/// A forwarded request: what this front makes use of.
#[derive(Debug, Default)]
struct Forward<'a> {
    method: u8,
    uri: &'a [u8],
    /// Where it came to the web server from.
    address: &'a [u8],
    /// Of those in [`HEADERS`], the first of each.
    headers: [Option<&'a [u8]>; HEADERS.len()],
    secret: Option<&'a [u8]>,
}

const GET: u8 = 2;
const HEAD: u8 = 3;
const POST: u8 = 4;
/// No number of the protocol: matches by text alone.
const UNCODED: u8 = 0;
const CONTENT_LENGTH: u8 = 8;

/// The headers that this front makes use of.
const HEADERS: [(u8, &str); 11] = [
    (CONTENT_LENGTH, "content-length"),
    (UNCODED, "transfer-encoding"),
    (UNCODED, "op-req"),
    (UNCODED, "op-ts"),
    (UNCODED, "op-timeout-ms"),
    (UNCODED, "op-owner"),
    (UNCODED, "op-resent"),
    (UNCODED, "op-work-ms"),
    (UNCODED, "op-need-kb"),
    (UNCODED, "op-key"),
    (UNCODED, "op-subject"),
];

fn string<'a>(input: &mut &'a [u8]) -> ModalResult<&'a [u8]> {
    let absent = be_u16.verify(|n| *n == 0xffff).value(&[][..]);
    let present = be_u16.flat_map(|n| terminated(take(n), 0u8));
    alt((absent, present)).parse_next(input)
}

fn name<'a>(input: &mut &'a [u8]) -> ModalResult<Name<'a>> {
    alt((preceded(0xa0u8, be_u8).map(Name::Coded), string.map(Name::Text))).parse_next(input)
}

fn forward<'a>(input: &mut &'a [u8]) -> ModalResult<Forward<'a>> {
    let (method, _protocol, uri) = (be_u8, string, string).parse_next(input)?;
    let (address, _host, _server, _port, _tls) = (string, string, string, be_u16, be_u8).parse_next(input)?;
    let mut request = Forward { method, uri, address, ..Forward::default() };
    for _ in 0..be_u16.parse_next(input)? {
        let (name, value) = (name, string).parse_next(input)?;
        request.keep_header(name, value);
    }
    loop {
        match be_u8.parse_next(input)? {
            0xff => return Ok(request),
            0x0a => drop((string, string).parse_next(input)?),
            0x0b => drop(be_u16.parse_next(input)?),
            0x0c => request.secret = Some(string.parse_next(input)?),
            0x01..=0x09 | 0x0d => drop(string.parse_next(input)?),
            _ => return Err(ErrMode::Cut(ContextError::new())),
        }
    }
}

fn packet<'a>(input: &mut Partial<&'a [u8]>) -> ModalResult<&'a [u8]> {
    let length =
        preceded(b"\x12\x34", be_u16).verify(|n| usize::from(*n) <= PACKET_BYTES).parse_next(input)?;
    take(length).parse_next(input)
}

impl<'a> Forward<'a> {
    /// Keeps a header that this front makes use of. What it keeps does not grow with the number of headers.
    fn keep_header(&mut self, name: Name<'a>, value: &'a [u8]) {
        if let Some(known) = HEADERS.iter().position(|(code, text)| name.is(*code, text)) {
            self.headers[known].get_or_insert(value);
        }
    }

    /// A header that this front makes use of. Those of others may hold any bytes.
    fn header(&self, text: &str) -> Option<&'a str> {
        let known = HEADERS.iter().position(|(_, known)| *known == text)?;
        self.headers[known].and_then(|value| std::str::from_utf8(value).ok())
    }

    /// How much body follows; `None` where only its end will tell.
    fn length(&self) -> Result<Option<usize>, Bad> {
        match self.header("content-length") {
            Some(length) => length.trim().parse().map(Some).map_err(|_| Bad::Request),
            None if self.header("transfer-encoding").is_some() => Ok(None),
            None => Ok(Some(0)),
        }
    }

    fn path(&self) -> &'a str {
        std::str::from_utf8(self.uri).unwrap_or_default().split(['?', ';']).next().unwrap_or_default()
    }

    /// The request in the core's terms; else the status that answers it.
    fn ask(&self, front: &Front, body: Bytes) -> Result<IncomingRequest, u16> {
        if !matches!(self.method, GET | HEAD | POST) {
            return Err(405);
        }
        let fields = Fields {
            req: self.header("op-req"),
            ts: self.header("op-ts"),
            timeout_ms: self.header("op-timeout-ms"),
            owner: self.header("op-owner"),
            resent: self.header("op-resent"),
            work_ms: self.header("op-work-ms"),
            need_kb: self.header("op-need-kb"),
            op_key: self.header("op-key"),
            subject: self.header("op-subject"),
            address: std::str::from_utf8(self.address).ok().and_then(|address| address.parse().ok()),
            ..Fields::default()
        };
        let class = self.path().rsplit('/').next().unwrap_or_default();
        fields.ask(class, &front.shared, body).map_err(|why| match why {
            Unfit::Class => 404,
            _ => 400,
        })
    }
}

/// A response with its headers, under construction.
struct Response {
    status: u16,
    headers: Vec<(&'static str, String)>,
    body: Bytes,
}

impl Response {
    fn new(status: u16) -> Self {
        Self { status, headers: Vec::new(), body: Bytes::new() }
    }

    fn to(answer: Answer, level: Option<f64>) -> Self {
        let mut response = match answer {
            Answer::Served(body) => Self { status: 200, headers: Vec::new(), body },
            Answer::Failed => Self::new(500),
            Answer::Refused { stay_away_ms, last } => {
                let mut refusal = Self::new(503);
                refusal.headers.push(("Retry-After", format!("{:.0}", (stay_away_ms / 1000.0).ceil())));
                refusal.headers.push(("Op-Holdoff-Ms", format!("{stay_away_ms:.0}")));
                if last {
                    refusal.headers.push(("Op-No-More", "1".to_owned()));
                }
                refusal
            }
        };
        response.headers.extend(level.map(|level| ("Op-Signal", format!("{level:.4}"))));
        response
    }

    fn reason(&self) -> &'static str {
        match self.status {
            200 => "OK",
            400 => "Bad Request",
            403 => "Forbidden",
            404 => "Not Found",
            405 => "Method Not Allowed",
            413 => "Content Too Large",
            503 => "Service Unavailable",
            _ => "Internal Server Error",
        }
    }

    /// All packets of the response; `reuse` says whether the connection may carry a further request.
    fn encode(&self, method: u8, reuse: bool) -> Vec<u8> {
        let mut head = vec![4];
        head.extend_from_slice(&self.status.to_be_bytes());
        put_string(&mut head, self.reason());
        head.extend_from_slice(&(self.headers.len() as u16 + 1).to_be_bytes());
        put_string(&mut head, "Content-Length");
        put_string(&mut head, &self.body.len().to_string());
        for (name, value) in &self.headers {
            put_string(&mut head, name);
            put_string(&mut head, value);
        }
        let mut out = Vec::with_capacity(self.body.len() + head.len() + 32);
        put_packet(&mut out, &head);
        for chunk in self.body.chunks(CHUNK_BYTES).filter(|_| method != HEAD) {
            let length = (chunk.len() as u16).to_be_bytes();
            put_packet(&mut out, &[&[3], &length[..], chunk, &[0]].concat());
        }
        put_packet(&mut out, &[5, u8::from(reuse)]);
        out
    }
}

fn put_string(out: &mut Vec<u8>, text: &str) {
    out.extend_from_slice(&(text.len() as u16).to_be_bytes());
    out.extend_from_slice(text.as_bytes());
    out.push(0);
}

fn put_packet(out: &mut Vec<u8>, payload: &[u8]) {
    out.extend_from_slice(b"AB");
    out.extend_from_slice(&(payload.len() as u16).to_be_bytes());
    out.extend_from_slice(payload);
}

struct Link {
    stream: Uninterrupted<TcpStream>,
    seat: Seat,
    buffer: BytesMut,
}

impl Link {
    /// The packet that a new connection begins with.
    async fn first(&mut self) -> Result<Bytes, Bad> {
        let first = timeout(SPEAKS_WITHIN, self.next()).await;
        first.unwrap_or_else(|_| Err(if self.buffer.is_empty() { Bad::Silent } else { Bad::Stalled }))
    }

    /// The next packet between requests. The connection may rest until it begins, or lose its place.
    async fn next(&mut self) -> Result<Bytes, Bad> {
        if self.buffer.is_empty() {
            // A connection that rests costs no buffer.
            self.buffer = BytesMut::new();
            tokio::select! {
                biased;
                ready = self.stream.get_ref().readable() => ready?,
                () = self.seat.lost() => if !has_unread(self.stream.get_ref()) {
                    return Err(Bad::Closed);
                },
            }
        }
        timeout(SPEAKS_WITHIN, self.packet()).await.map_err(|_| Bad::Stalled)?
    }

    async fn packet(&mut self) -> Result<Bytes, Bad> {
        loop {
            let mut input = Partial::new(&self.buffer[..]);
            match packet(&mut input) {
                Ok(payload) => {
                    let length = payload.len();
                    account_for(length).await;
                    self.buffer.advance(4);
                    return Ok(self.buffer.split_to(length).freeze());
                }
                Err(ErrMode::Incomplete(_)) => {}
                Err(_) => return Err(Bad::Packet),
            }
            self.buffer.reserve(READ_BYTES);
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return Err(Bad::Closed);
            }
            self.seat.speak();
        }
    }

    async fn send(&mut self, payload: &[u8]) -> Result<(), Bad> {
        let mut out = Vec::new();
        put_packet(&mut out, payload);
        self.write(&out).await
    }

    async fn write(&mut self, bytes: &[u8]) -> Result<(), Bad> {
        Ok(timeout(WRITES_WITHIN, self.stream.write_all(bytes)).await.map_err(|_| Bad::Deaf)??)
    }

    /// Closes the connection behind a response that said so: what the web server still sends is the rest of a body.
    async fn close(mut self) -> Result<(), Bad> {
        self.stream.shutdown().await?;
        linger(&mut self.stream).await;
        Ok(())
    }

    /// Reads a body to its end, asking for each chunk but the first of a body whose length is known.
    async fn body(&mut self, length: Option<usize>) -> Result<Bytes, Bad> {
        let mut body = BytesMut::with_capacity(length.unwrap_or_default());
        let mut ask = length.is_none();
        while length.is_none_or(|length| body.len() < length) {
            if ask {
                let wanted = length.map_or(CHUNK_BYTES, |length| (length - body.len()).min(CHUNK_BYTES));
                self.send(&[&[6], &(wanted as u16).to_be_bytes()[..]].concat()).await?;
            }
            ask = true;
            let payload = self.packet().await?;
            // An empty packet, or one with an empty chunk, ends the body.
            let chunk = payload.get(2..).unwrap_or_default();
            let told = payload.get(..2).map_or(0, |size| usize::from(u16::from_be_bytes([size[0], size[1]])));
            if told == 0 {
                break;
            }
            body.extend_from_slice(chunk.get(..told).ok_or(Bad::Packet)?);
            if body.len() > length.unwrap_or(BODY_BYTES) {
                return Err(Bad::Packet);
            }
        }
        if length.is_some_and(|length| body.len() < length) { Err(Bad::Request) } else { Ok(body.freeze()) }
    }

    /// Resolves when the web server gives the connection up. Bytes that come early are kept for later, up to
    /// one packet; from then on it is looked for the end alone.
    async fn given_up(&mut self) {
        while self.buffer.len() < PACKET_BYTES {
            match self.stream.read_buf(&mut self.buffer).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        while !has_closed(self.stream.get_ref()) {
            sleep(END_LOOK).await;
        }
    }
}

/// Serves one connection to its end.
pub async fn connection(stream: TcpStream, front: Rc<Front>, seat: Seat) {
    let link = Link { stream: Uninterrupted::new(stream), seat, buffer: BytesMut::new() };
    if let Err(bad) = serve(link, &front).await {
        debug!("a web server's connection is closed: {bad}");
        if let Some(anomaly) = bad.anomaly() {
            front.shared.exchange.send(Input::Anomaly(anomaly)).await;
        }
    }
}

async fn serve(mut link: Link, front: &Front) -> Result<(), Bad> {
    let (queue, mut replies) = mpsc::unbounded_channel();
    let mut token = 0;
    let mut payload = link.first().await?;
    loop {
        link.seat.work();
        match payload.first() {
            Some(2) => {
                token += 1;
                let reply_to = ReplyTo { queue: queue.clone(), token, slot: None };
                if !request(&mut link, front, &payload[1..], reply_to, &mut replies).await? {
                    return link.close().await;
                }
            }
            Some(10) => link.send(&[9]).await?,
            // To stop a server over the wire is not offered; a plain ping wants nothing.
            Some(8) | None => {}
            Some(kind) => return Err(Bad::Kind(*kind)),
        }
        link.seat.rest();
        payload = link.next().await?;
    }
}

/// Serves one request. False where the connection is to be closed after it.
async fn request(
    link: &mut Link,
    front: &Front,
    payload: &[u8],
    reply_to: ReplyTo,
    replies: &mut mpsc::UnboundedReceiver<Reply>,
) -> Result<bool, Bad> {
    let forward = forward.parse(payload).map_err(|_| Bad::Request)?;
    let length = forward.length()?;
    let mut reuse = !front.shared.closing.is_cancelled();
    let response = if length.is_some_and(|length| length > BODY_BYTES) {
        reuse = false;
        Response::new(413)
    } else if !front.may_ask(&forward, length) {
        reuse &= length == Some(0);
        Response::new(403)
    } else {
        let Some(_reserved) = front.reserve_body(length) else {
            return turn_away(link, front, &forward).await;
        };
        let wait = front.options.body_wait_ms.map_or(SPEAKS_WITHIN, Duration::from_millis);
        let body = timeout(wait, link.body(length)).await.map_err(|_| Bad::Stalled)??;
        if front.is_health(&forward) {
            health(front)
        } else {
            match forward.ask(front, body) {
                Ok(ask) => answer(link, front, ask, reply_to, replies).await?,
                Err(status) => Response::new(status),
            }
        }
    };
    reuse &= !front.shared.closing.is_cancelled();
    link.write(&response.encode(forward.method, reuse)).await?;
    Ok(reuse)
}

/// Answers a request for whose body there is no memory, and whose body is not read. False, as the connection is to be closed.
/// One with a key is failed: another try of it may have run, and a refusal would promise that none has.
async fn turn_away(link: &mut Link, front: &Front, forward: &Forward<'_>) -> Result<bool, Bad> {
    front.shared.exchange.send(Input::Anomaly(Anomaly::BodiesFull)).await;
    let answer = match forward.header("op-key") {
        Some(_) => Answer::Failed,
        None => Answer::Refused { stay_away_ms: BODIES_FULL_STAY_AWAY_MS, last: false },
    };
    let level = front.shared.exchange.node_status().borrow().level;
    link.write(&Response::to(answer, level).encode(forward.method, false)).await?;
    Ok(false)
}

fn health(front: &Front) -> Response {
    let node_status = front.shared.exchange.node_status().borrow().clone();
    let mut response = Response::new(if node_status.healthy { 200 } else { 503 });
    response.headers.extend(node_status.level.map(|level| ("Op-Signal", format!("{level:.4}"))));
    response
}

/// Asks the exchange and waits for the answer, or for the web server to wait no longer.
async fn answer(
    link: &mut Link,
    front: &Front,
    ask: IncomingRequest,
    reply_to: ReplyTo,
    replies: &mut mpsc::UnboundedReceiver<Reply>,
) -> Result<Response, Bad> {
    if has_closed(link.stream.get_ref()) {
        return Err(Bad::Closed);
    }
    let token = reply_to.token;
    let id: RequestId = front.shared.exchange.new_id();
    front.shared.exchange.submit(id, ask, reply_to).await;
    loop {
        tokio::select! {
            biased;
            Some(reply) = replies.recv() => {
                if reply.token == token {
                    return Ok(Response::to(reply.answer, reply.level));
                }
            }
            () = link.given_up() => {
                front.shared.exchange.send(Input::Abandon(id)).await;
                return Err(Bad::Closed);
            }
        }
    }
}
