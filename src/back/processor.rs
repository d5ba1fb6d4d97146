//! The processor: JSON objects, one to a line, over one link that is taken up again when it breaks.

use std::collections::{HashSet, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use log::{Level, debug, info, log, warn};
use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize};
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, MissedTickBehavior, interval_at, timeout};
use winnow::combinator::terminated;
use winnow::error::{ContextError, ErrMode};
use winnow::token::take_till;
use winnow::{ModalResult, Parser, Partial};

use super::{CONNECT, RETRY, next_retry};
use crate::config::Peers;
use crate::exchange::{Anomaly, Command, Handle, Input, TryId};
use crate::interface::Outcome;
use crate::net::connect::{Stream, connect};
use crate::net::errors::Failure;
use crate::net::stream::Uninterrupted;

/// The longest line that is read.
const LINE_BYTES: usize = 64 * 1024;
/// Commands taken in one go, and bytes of them that wait to be written before further ones are left in the queue.
const WRITE_BATCH: usize = 64;
const OUT_BYTES: usize = 64 * 1024;

/// A link that lasted this long was of use though no notice came on it. After one that was of none the next attempt waits
/// longer: guards the log and the processor against links that break as soon as they are up.
const LASTING: Duration = Duration::from_secs(1);

/// A link on which something is asked is given up after two looks in a row, this far apart, without a byte: its other end may
/// be gone without a word. To take it up again costs a processor that only stands still nothing.
const SILENCE_LOOK: Duration = Duration::from_secs(3);
const SILENT_LOOKS: u32 = 2;

/// Why a link is given up.
#[derive(Debug, Error)]
enum Broken {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("the processor closed it")]
    Closed,
    #[error("the processor has a new address")]
    Moved,
    #[error("nothing came on it for {} s though something was asked", SILENCE_LOOK.as_secs() * u64::from(SILENT_LOOKS))]
    Silent,
    #[error("a line of over {LINE_BYTES} bytes")]
    Long,
    #[error("a line that is no notice: {0}")]
    Notice(#[from] serde_json::Error),
}

/// A command as it stands on its line.
#[derive(Serialize)]
#[serde(tag = "op", rename_all = "lowercase")]
enum Line<'a> {
    Hello {
        seq: u64,
    },
    Begin {
        id: &'a str,
        class: &'a str,
        #[serde(serialize_with = "crate::base64::serialize")]
        body: &'a Bytes,
    },
    Answer {
        id: &'a str,
        #[serde(serialize_with = "crate::base64::serialize")]
        body: &'a Bytes,
    },
    Without {
        id: &'a str,
        seq: u64,
    },
    Usage {
        tag: String,
    },
}

/// A notice as it stands on its line.
#[derive(Debug, Deserialize)]
#[serde(tag = "op", rename_all = "lowercase")]
enum Notice {
    Hi {
        end: String,
        ms: f64,
    },
    Complete {
        seq: u64,
        #[serde(deserialize_with = "try_id")]
        id: TryId,
        end: End,
        #[serde(default)]
        ms: f64,
        #[serde(default, deserialize_with = "crate::base64::deserialize")]
        body: Bytes,
    },
    Ask {
        seq: u64,
        #[serde(deserialize_with = "try_id")]
        id: TryId,
        #[serde(default, deserialize_with = "crate::base64::deserialize")]
        body: Bytes,
    },
    Used {
        tag: String,
        values: Vec<f32>,
    },
    Reject {
        end: String,
        #[serde(default)]
        id: String,
    },
    Remark {
        #[serde(default)]
        seq: u64,
    },
    #[serde(other)]
    Unknown,
}

/// What is needed of a notice that cannot be read as a whole.
#[derive(Deserialize)]
struct Numbered {
    op: String,
    seq: u64,
    #[serde(default)]
    id: String,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum End {
    Ok,
    Failed,
    Halted,
    Void,
}

fn try_id<'de, D: Deserializer<'de>>(from: D) -> Result<TryId, D::Error> {
    let text = String::deserialize(from)?;
    TryId::parse(text.as_bytes()).ok_or_else(|| D::Error::custom("an id that is not 16 digits"))
}

fn line<'a>(input: &mut Partial<&'a [u8]>) -> ModalResult<&'a [u8]> {
    terminated(take_till(0.., b'\n'), b'\n').parse_next(input)
}

/// The link to the processor and all that outlives a break of it.
pub struct Link {
    peers: watch::Receiver<Peers>,
    exchange: Handle,
    commands: mpsc::UnboundedReceiver<Command>,
    /// The number of the last notice that was read.
    seq: u64,
    /// Commands that no answer to a later question for gauges has proved read, oldest first.
    unproved: VecDeque<Command>,
    /// Runs that were begun again on this link: an earlier link may have begun them.
    doubtful: HashSet<TryId>,
    /// A question that is answered once all notices missed have been read, while that is awaited.
    barrier: Option<u64>,
    barriers: u64,
    /// Whether the processor has ever been up: before, it may be silent for as long as it takes.
    was_up: bool,
    out: BytesMut,
}

impl Link {
    /// A link that is not up yet.
    pub fn new(
        peers: watch::Receiver<Peers>,
        exchange: Handle,
        commands: mpsc::UnboundedReceiver<Command>,
    ) -> Self {
        let unproved = VecDeque::new();
        Self {
            peers,
            exchange,
            commands,
            seq: 0,
            unproved,
            doubtful: HashSet::new(),
            barrier: None,
            barriers: 0,
            was_up: false,
            out: BytesMut::new(),
        }
    }

    /// Keeps the link up for as long as the node lives.
    pub async fn keep(mut self) {
        let mut wait = Duration::ZERO;
        loop {
            let address = self.peers.borrow_and_update().processor;
            let connected = tokio::select! {
                biased;
                // An address that takes no connection is not waited for once it is not in force any more.
                () = moved(&mut self.peers, address) => continue,
                connected = timeout(CONNECT, connect(address, None)) => connected,
            };
            let late = |_| Err(Failure::Connect(io::ErrorKind::TimedOut.into()));
            match connected.unwrap_or_else(late) {
                Ok(stream) => {
                    let (since, seq) = (Instant::now(), self.seq);
                    let broken = self.use_link(stream).await;
                    self.log_end(&broken);
                    let was_of_use = self.seq > seq || since.elapsed() >= LASTING;
                    wait = if was_of_use { RETRY.0 } else { next_retry(wait) };
                }
                Err(problem) => {
                    warn!("the processor cannot be reached: {problem}");
                    wait = next_retry(wait);
                }
            }
            // A new address is tried at once.
            let _ = timeout(wait, moved(&mut self.peers, address)).await;
        }
    }

    fn log_end(&self, broken: &Broken) {
        let level = if matches!(broken, Broken::Moved) { Level::Info } else { Level::Warn };
        log!(level, "the link to the processor broke after notice {}: {broken}", self.seq);
    }

    async fn use_link(&mut self, stream: Stream) -> Broken {
        match self.work(stream).await {
            Ok(()) => Broken::Closed,
            Err(broken) => broken,
        }
    }

    /// Says hello. Nothing else is said until the processor is up: before, it turns commands down.
    fn greet(&mut self) {
        self.out.clear();
        self.barriers += 1;
        self.barrier = Some(self.barriers);
        let hello = Line::Hello { seq: self.seq };
        self.put(&hello);
    }

    /// The processor is up: asks a question whose answer comes after all that was missed.
    fn greeted(&mut self) {
        let tag = format!("sync-{}", self.barriers);
        self.put(&Line::Usage { tag });
    }

    /// Works until the link is of no further use. It is read while commands wait to be written: guards against
    /// both sides waiting for each other to read.
    async fn work(&mut self, stream: Stream) -> Result<(), Broken> {
        let address = stream.get_ref().peer_addr()?;
        let (from, to) = stream.into_inner().into_split();
        let (mut from, mut to) = (Uninterrupted::new(from), Uninterrupted::new(to));
        self.greet();
        let mut buffer = BytesMut::new();
        let mut batch = Vec::new();
        let mut looks = interval_at(Instant::now() + SILENCE_LOOK, SILENCE_LOOK);
        // A process that was stopped for long looks once when it goes on, and not for all the time that has passed.
        looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut silent_looks = 0;
        loop {
            let room = self.barrier.is_none() && self.out.len() < OUT_BYTES;
            tokio::select! {
                written = to.write_buf(&mut self.out), if !self.out.is_empty() => {
                    if written? == 0 {
                        return Ok(());
                    }
                }
                read = from.read_buf(&mut buffer) => {
                    if read? == 0 {
                        return Ok(());
                    }
                    silent_looks = 0;
                    self.read_notices(&mut buffer).await?;
                }
                _ = self.commands.recv_many(&mut batch, WRITE_BATCH), if room => {
                    for command in batch.drain(..) {
                        self.put_command(&command);
                        self.unproved.push_back(command);
                    }
                }
                () = moved(&mut self.peers, address) => return Err(Broken::Moved),
                _ = looks.tick() => {
                    silent_looks = if self.awaits_word() { silent_looks + 1 } else { 0 };
                    if silent_looks >= SILENT_LOOKS {
                        return Err(Broken::Silent);
                    }
                }
            }
        }
    }

    /// Whether the processor, which has been up, owes a word.
    fn awaits_word(&self) -> bool {
        let asked = || self.unproved.iter().any(|command| matches!(command, Command::ReadGauges { .. }));
        self.was_up && (self.barrier.is_some() || asked())
    }

    fn put(&mut self, line: &Line<'_>) {
        // A line holds numbers and text only: it can always be written.
        if serde_json::to_writer((&mut self.out).writer(), line).is_ok() {
            self.out.put_u8(b'\n');
        }
    }

    fn put_command(&mut self, command: &Command) {
        let catalog = self.exchange.catalog();
        let line = match command {
            Command::Run { try_id, class, body } => {
                Line::Begin { id: try_id.as_str(), class: &catalog.class_names[*class], body }
            }
            Command::CallReply { try_id, body } => Line::Answer { id: try_id.as_str(), body },
            Command::SkipCall { try_id, notice } => Line::Without { id: try_id.as_str(), seq: *notice },
            Command::ReadGauges { tag } => Line::Usage { tag: tag.to_string() },
        };
        self.put(&line);
    }

    async fn read_notices(&mut self, buffer: &mut BytesMut) -> Result<(), Broken> {
        loop {
            let mut input = Partial::new(&buffer[..]);
            let (notice, length) = match line(&mut input) {
                Ok(text) => match serde_json::from_slice(text) {
                    Ok(notice) => (notice, text.len() + 1),
                    Err(problem) => {
                        self.pass_over(text).await;
                        return Err(problem.into());
                    }
                },
                Err(ErrMode::<ContextError>::Incomplete(_)) if buffer.len() <= LINE_BYTES => return Ok(()),
                Err(_) => return Err(Broken::Long),
            };
            buffer.advance(length);
            self.take(notice).await;
        }
    }

    /// Counts a notice that cannot be read, so that the next link does not bring it again, and fails the run whose end it
    /// tells: what came of that is not known. One without a number is left to the next link.
    async fn pass_over(&mut self, text: &[u8]) {
        let Ok(Numbered { op, seq, id }) = serde_json::from_slice(text) else { return };
        let Some(try_id) = TryId::parse(id.as_bytes()) else {
            self.seq = self.seq.max(seq);
            return;
        };
        if self.is_new(seq, try_id) && op == "complete" {
            let (outcome, result) = (Outcome::Error, Bytes::new());
            self.exchange.send(Input::RunEnded { try_id, outcome, took_ms: 0.0, result }).await;
        }
    }

    async fn take(&mut self, notice: Notice) {
        let input = match notice {
            Notice::Hi { end, ms } => {
                self.was_up = true;
                self.greeted();
                Input::ProcessorUp { cold: end == "cold", age_ms: ms }
            }
            Notice::Complete { seq, id, end, ms, body } if self.is_new(seq, id) => {
                let outcome = match end {
                    End::Ok => Outcome::Ok,
                    End::Failed => Outcome::Error,
                    End::Halted => Outcome::Cancelled,
                    End::Void => Outcome::Moot,
                };
                Input::RunEnded { try_id: id, outcome, took_ms: ms, result: body }
            }
            Notice::Ask { seq, id, body } if self.is_new(seq, id) => {
                Input::RunAwaitsCall { try_id: id, notice: seq, body }
            }
            Notice::Used { tag, values } => return self.take_gauges(&tag, values).await,
            Notice::Reject { end, id } => return self.rejected(&end, &id).await,
            Notice::Remark { seq } => {
                self.seq = self.seq.max(seq);
                return;
            }
            Notice::Complete { .. } | Notice::Ask { .. } | Notice::Unknown => return,
        };
        self.exchange.send(input).await;
    }

    /// Counts a notice. One that was read before is not new; a new one proves that what was commanded of the
    /// same run before has been read.
    fn is_new(&mut self, seq: u64, id: TryId) -> bool {
        if seq <= self.seq {
            return false;
        }
        self.seq = seq;
        // Guards against a run that has ended being begun again on the next link.
        self.unproved.retain(|command| run_of(command) != Some(id));
        true
    }

    async fn take_gauges(&mut self, tag: &str, values: Vec<f32>) {
        if let Some(barrier) = self.barrier {
            if tag == format!("sync-{barrier}") {
                self.resume();
            }
            return;
        }
        let Ok(tag) = tag.parse() else { return };
        // Lines are read in order, so all commands before the question have been read as well.
        if let Some(at) = self.unproved.iter().position(|command| *command == Command::ReadGauges { tag }) {
            self.unproved.drain(..=at);
        }
        self.exchange.send(Input::Gauges { tag, values }).await;
    }

    /// All missed notices are read. Commands that a break may have swallowed are given again: to begin a run
    /// that runs does nothing, and none of those that are left has been seen to end.
    fn resume(&mut self) {
        self.barrier = None;
        let again = std::mem::take(&mut self.unproved);
        if !again.is_empty() {
            info!("giving the processor {} commands again", again.len());
        }
        self.doubtful.clear();
        for command in again {
            if let Command::Run { try_id, .. } = &command {
                self.doubtful.insert(*try_id);
            }
            self.put_command(&command);
            self.unproved.push_back(command);
        }
    }

    async fn rejected(&mut self, command: &str, id: &str) {
        debug!("the processor rejects {command} of {id}");
        if command == "usage" && self.barrier.is_some() {
            // No answer, yet one that stands behind all that was missed.
            return self.resume();
        }
        self.exchange.send(Input::Anomaly(Anomaly::RejectedByProcessor)).await;
        if let Some(try_id) = TryId::parse(id.as_bytes()).filter(|_| command == "begin") {
            self.unproved.retain(|command| run_of(command) != Some(try_id));
            // What it does not know it has not run; but one that has just restarted does not know what it ran.
            let outcome = if self.doubtful.contains(&try_id) { Outcome::Error } else { Outcome::Moot };
            let result = Bytes::new();
            self.exchange.send(Input::RunEnded { try_id, outcome, took_ms: 0.0, result }).await;
        }
    }
}

/// Resolves when the processor is to be reached at another address than this one.
async fn moved(peers: &mut watch::Receiver<Peers>, address: SocketAddr) {
    if peers.wait_for(|peers| peers.processor != address).await.is_err() {
        std::future::pending().await
    }
}

fn run_of(command: &Command) -> Option<TryId> {
    match command {
        Command::Run { try_id, .. }
        | Command::CallReply { try_id, .. }
        | Command::SkipCall { try_id, .. } => Some(*try_id),
        Command::ReadGauges { .. } => None,
    }
}
