//! The thin front: connections of front ends on the platform's protocol.

mod wire;

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use log::debug;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, watch};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use self::wire::{Bad, Message, decode, frame, put_closing, put_reply, put_status};
use super::closing::{has_closed, has_unread, is_reset, linger, reset};
use super::fairness::account_for;
use super::{SPEAKS_WITHIN, Shared, WRITES_WITHIN};
use crate::exchange::{Anomaly, Answer, IncomingRequest, Input, NodeStatus, Reply, ReplyTo};
use crate::interface::RequestId;
use crate::net::stream::{Uninterrupted, uninterrupted};
use crate::net::table::Seat;

/// Requests open on one connection; further ones are failed at once. Twice what the protocol allows, so that a
/// caller that keeps to it is never failed while an answer is on its way.
const OPEN: usize = 64;
/// Other answers unwritten on one connection before it is read no further.
const UNWRITTEN: usize = 64;
/// Bytes that are read in one go.
const READ_BYTES: usize = 4096;
/// Answers that are taken in one go.
const WRITE_BATCH: usize = 64;
/// Bytes of encoded answers behind which they are written before further ones are encoded.
const WRITE_BYTES: usize = 8 * 1024;
/// How long a caller has to close a connection that was given back to it.
const GIVE_BACK: Duration = Duration::from_secs(2);
/// How long the reset of a connection that is closed as a whole has to follow what is written on it.
const RESET_WITHIN: Duration = Duration::from_millis(10);

/// Requests by tag that are not answered.
type Open = Rc<RefCell<HashMap<u64, RequestId>>>;

/// What the reading part of a connection hands to its writing part.
enum Outgoing {
    Reply(Reply),
    /// A health check, with its place on the connection until it is answered.
    Status {
        tag: u64,
        _slot: OwnedSemaphorePermit,
    },
    Closing,
}

/// Serves one connection to its end.
pub async fn connection(stream: TcpStream, shared: Rc<Shared>, seat: Seat) {
    let address = stream.peer_addr().ok().as_ref().map(SocketAddr::ip);
    let (from, to) = stream.into_split();
    let (answers, answered) = mpsc::unbounded_channel();
    let (others, other) = mpsc::unbounded_channel();
    let (open, seat) = (Open::default(), Rc::new(seat));
    let node_status = shared.exchange.node_status();
    let to = Uninterrupted::new(to);
    let writer = Writer { to, answered, other, open: open.clone(), seat: seat.clone(), node_status };
    let mut reader = Reader {
        from,
        address,
        shared: shared.clone(),
        seat,
        answers,
        others,
        asks: Arc::new(Semaphore::new(OPEN)),
        unwritten: Arc::new(Semaphore::new(UNWRITTEN)),
        open: open.clone(),
        buffer: BytesMut::new(),
        unfinished: Some(Instant::now()),
        end_probed: false,
    };
    let mut writing = Box::pin(writer.write());
    let ended = tokio::select! {
        biased;
        // First, so that nothing more is read once nobody is left to answer.
        ended = &mut writing => ended,
        ended = reader.read() => ended,
    };
    if let Err(bad) = &ended {
        report(bad, &shared).await;
    }
    // Nothing more will be asked; what was asked is still answered, whatever came behind it.
    let mut from = Uninterrupted::new(reader.into_half());
    let written = match &ended {
        Err(bad) if !bad.leaves_writing() => Ok(()),
        _ => writing.await,
    };
    if let Err(bad) = &written {
        report(bad, &shared).await;
    } else if ended.is_err_and(|bad| bad.leaves_writing()) {
        // The writer has closed its half. What is left unread is no request, and would reset the connection.
        linger(&mut from).await;
    }
    for id in open.take().into_values() {
        shared.exchange.send(Input::Abandon(id)).await;
    }
}

/// Tells why a connection is closed.
async fn report(bad: &Bad, shared: &Shared) {
    debug!("a front end's connection is closed: {bad}");
    if let Some(anomaly) = bad.anomaly() {
        shared.exchange.send(Input::Anomaly(anomaly)).await;
    }
}

struct Reader {
    from: OwnedReadHalf,
    /// Of the front end: its callers' are not told.
    address: Option<IpAddr>,
    shared: Rc<Shared>,
    seat: Rc<Seat>,
    answers: mpsc::UnboundedSender<Reply>,
    others: mpsc::UnboundedSender<Outgoing>,
    asks: Arc<Semaphore>,
    unwritten: Arc<Semaphore>,
    open: Open,
    buffer: BytesMut,
    /// Since when a message is awaited: from the start the first one, later the rest of one.
    unfinished: Option<Instant>,
    /// Whether something was written behind the end of the front end's half.
    end_probed: bool,
}

impl Reader {
    /// Ends the reading: no further answer can be owed.
    fn into_half(self) -> OwnedReadHalf {
        self.from
    }

    async fn read(&mut self) -> Result<(), Bad> {
        let mut node_status = self.shared.exchange.node_status();
        let closing = self.shared.closing.clone();
        let mut given_back = false;
        let mut last = Instant::now();
        loop {
            let idle_ms = node_status.borrow_and_update().idle_ms;
            let idle = idle_ms.map(|ms| Duration::from_secs_f64(ms / 1000.0)).or_else(|| self.shared.idle());
            tokio::select! {
                biased;
                ready = self.from.readable() => {
                    ready?;
                    let more = self.fill()?;
                    if more || !self.at_rest() {
                        self.probe_end().await;
                    }
                    if is_reset(self.from.as_ref()) {
                        return Err(Bad::Io(io::ErrorKind::ConnectionReset.into()));
                    }
                    if !more {
                        return if self.buffer.is_empty() { Ok(()) } else { Err(Bad::Unfinished) };
                    }
                    last = Instant::now();
                    self.take_messages().await?;
                }
                () = closing.cancelled(), if !given_back => given_back = self.give_back(),
                () = self.seat.lost() => if self.may_close().await {
                    return Ok(());
                },
                () = sleep_until(self.unfinished.unwrap_or(last) + SPEAKS_WITHIN), if self.unfinished.is_some() => {
                    if !self.has_unread().await {
                        return Err(if self.buffer.is_empty() { Bad::Silent } else { Bad::Unfinished });
                    }
                }
                () = sleep_until(last + idle.unwrap_or_default()), if idle.is_some() && !given_back => {
                    last = Instant::now();
                    given_back = self.at_rest() && self.give_back();
                }
                Ok(()) = node_status.changed(), if !given_back => {}
                () = sleep(GIVE_BACK), if given_back => if self.may_close().await {
                    return Ok(());
                },
            }
        }
    }

    /// Whether the connection can be closed without the loss of a request.
    async fn may_close(&self) -> bool {
        self.at_rest() && !self.has_unread().await
    }

    /// Whether something has come that is not read yet. The runtime gets a turn then to learn of it.
    async fn has_unread(&self) -> bool {
        let unread = has_unread(self.from.as_ref());
        if unread {
            yield_now().await;
        }
        unread
    }

    /// Whether nothing is open and nothing waits to be written.
    fn at_rest(&self) -> bool {
        self.asks.available_permits() == OPEN && self.unwritten.available_permits() == UNWRITTEN
    }

    /// Tells a front end that has left from one that has closed its half alone and goes on reading: what is written to
    /// one that has left resets the connection. Writes the message that asks for nothing new, as nothing new can come.
    async fn probe_end(&mut self) {
        if self.end_probed || !has_closed(self.from.as_ref()) {
            return;
        }
        self.end_probed = true;
        self.give_back();
        let _ = timeout(RESET_WITHIN, reset(self.from.as_ref())).await;
    }

    /// Reads what is there. False at the end.
    fn fill(&mut self) -> io::Result<bool> {
        self.buffer.reserve(READ_BYTES);
        match uninterrupted(|| self.from.try_read_buf(&mut self.buffer)) {
            Ok(read) => Ok(read > 0),
            Err(problem) if problem.kind() == io::ErrorKind::WouldBlock => Ok(true),
            Err(problem) => Err(problem),
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
            self.unfinished = None;
            account_for(length).await;
            self.take(message).await?;
        }
        // A read that completes no message is work as well.
        account_for(0).await;
        if self.buffer.is_empty() {
            // A connection that rests costs no buffer.
            self.buffer = BytesMut::new();
        } else {
            self.unfinished.get_or_insert_with(Instant::now);
            self.seat.speak();
        }
        Ok(())
    }

    async fn take(&mut self, message: Message) -> Result<(), Bad> {
        match message {
            Message::Ask(tag, ask) => {
                return self.ask(tag, IncomingRequest { address: self.address, ..ask }).await;
            }
            Message::Unfit(tag, why) => {
                debug!("a request is failed unread: {why}");
                self.fail(tag).await;
            }
            Message::Nevermind(tag) => {
                let open = self.open.borrow_mut().remove(&tag);
                if let Some(id) = open {
                    self.shared.exchange.send(Input::Abandon(id)).await;
                }
                if self.open.borrow().is_empty() {
                    self.seat.rest();
                }
            }
            Message::Status(tag) => {
                let slot = self.unwritten().await;
                let _ = self.others.send(Outgoing::Status { tag, _slot: slot? });
            }
        }
        Ok(())
    }

    async fn ask(&mut self, tag: u64, ask: IncomingRequest) -> Result<(), Bad> {
        if self.open.borrow().contains_key(&tag) {
            return Err(Bad::TagInUse);
        }
        if self.open.borrow().len() >= OPEN {
            self.fail(tag).await;
            return Ok(());
        }
        // Guards the memory against a caller that asks and never reads: it is read no further itself.
        let slot = self.asks.clone().acquire_owned().await.map_err(|_| Bad::Deaf)?;
        self.seat.work();
        let reply = ReplyTo { queue: self.answers.clone(), token: tag, slot: Some(slot) };
        let id = self.shared.exchange.new_id();
        self.open.borrow_mut().insert(tag, id);
        self.shared.exchange.submit(id, ask, reply).await;
        Ok(())
    }

    /// Answers a request that cannot be served here.
    async fn fail(&self, token: u64) {
        self.shared.exchange.send(Input::Anomaly(Anomaly::InvalidRequest)).await;
        if let Ok(slot) = self.unwritten().await {
            let reply = Reply { token, answer: Answer::Failed, level: None, slot: Some(slot) };
            let _ = self.others.send(Outgoing::Reply(reply));
        }
    }

    async fn unwritten(&self) -> Result<OwnedSemaphorePermit, Bad> {
        self.unwritten.clone().acquire_owned().await.map_err(|_| Bad::Deaf)
    }
}

struct Writer {
    to: Uninterrupted<OwnedWriteHalf>,
    answered: mpsc::UnboundedReceiver<Reply>,
    other: mpsc::UnboundedReceiver<Outgoing>,
    open: Open,
    seat: Rc<Seat>,
    node_status: watch::Receiver<NodeStatus>,
}

impl Writer {
    /// Writes answers, as many in one go as there are. Ends once no request can be answered any more, or once the
    /// connection is reset.
    async fn write(mut self) -> Result<(), Bad> {
        let (mut replies, mut others) = (Vec::new(), Vec::new());
        let (mut out, mut slots) = (Vec::new(), Vec::new());
        let mut reading = true;
        loop {
            tokio::select! {
                biased;
                () = reset(self.to.get_ref().as_ref()) => return Err(Bad::Io(io::ErrorKind::ConnectionReset.into())),
                more = self.other.recv_many(&mut others, WRITE_BATCH), if reading => reading = more > 0,
                more = self.answered.recv_many(&mut replies, WRITE_BATCH) => if more == 0 {
                    return Ok(());
                },
            }
            for outgoing in others.drain(..) {
                self.put(&mut out, &outgoing);
                slots.push(outgoing);
                if out.len() >= WRITE_BYTES {
                    self.flush(&mut out, &mut slots).await?;
                }
            }
            for reply in replies.drain(..) {
                self.open.borrow_mut().remove(&reply.token);
                put_reply(&mut out, &reply);
                slots.push(Outgoing::Reply(reply));
                if out.len() >= WRITE_BYTES {
                    self.flush(&mut out, &mut slots).await?;
                }
            }
            self.flush(&mut out, &mut slots).await?;
            if self.open.borrow().is_empty() {
                self.seat.rest();
            }
        }
    }

    /// Writes what is encoded. The places of these answers on the connection are free behind it.
    async fn flush(&mut self, out: &mut Vec<u8>, written: &mut Vec<Outgoing>) -> Result<(), Bad> {
        timeout(WRITES_WITHIN, self.to.write_all(out)).await.map_err(|_| Bad::Deaf)??;
        written.clear();
        out.clear();
        Ok(())
    }

    fn put(&self, out: &mut Vec<u8>, outgoing: &Outgoing) {
        match outgoing {
            Outgoing::Reply(reply) => put_reply(out, reply),
            Outgoing::Status { tag, .. } => {
                let now = self.node_status.borrow();
                put_status(out, *tag, now.healthy, now.level);
            }
            Outgoing::Closing => put_closing(out),
        }
    }
}
