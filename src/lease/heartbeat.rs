//! A duty that announces itself: its holder says at an address, every so often, that it has the duty, under its number. One
//! JSON line each way: `{"duty":"d","number":7,"by":"n1/4242","sequence":3}` and `{"taken":true}`, or `{"taken":false,"seen":9}` from one
//! that has seen a higher number.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use log::{debug, warn};
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::hold::{Held, Registry};
use super::{DutyName, Fence, Lost};
use crate::config::HeartbeatTable;
use crate::net::connect::{Stream, connect};

/// Bytes of a line at the most.
const MOST_LINE: u64 = 1024;
/// How long a connection may take to open.
const CONNECT: Duration = Duration::from_secs(2);
/// Time until the address is tried again.
const AGAIN: Duration = Duration::from_millis(100);

/// What is said.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Under which number of which duty.
    #[serde(flatten)]
    pub fence: Fence,
    /// Who says so: the node and its process.
    pub by: String,
    /// Heartbeats so far, over all holders where they hand the duty on in order.
    pub sequence: u64,
}

/// What is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Whether the heartbeat was taken.
    pub taken: bool,
    /// The highest number that was seen, where it was not.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seen: Option<u64>,
}

/// Why a holder sends no more heartbeats.
enum End {
    /// The duty is to be handed on.
    HandOn,
    /// This number was seen, and it is above the holder's.
    Outdated(u64),
}

/// The duties of the operator's table, each with a task on this thread that does it.
pub fn all(tables: &[HeartbeatTable], name: &str, from: IpAddr) -> Registry {
    let mut registry = Registry::default();
    for table in tables {
        // The table was held to the same rule when it was read.
        if let Ok(duty) = DutyName::new(table.name.clone()) {
            let by = format!("{name}/{}", std::process::id());
            let every = Duration::from_millis(table.every_ms);
            let heartbeats = Heartbeats { to: table.address, from, by, every };
            spawn_local(heartbeats.run(registry.register(duty)));
        }
    }
    registry
}

/// Sends heartbeats to an address for as long as this node has the duty.
pub struct Heartbeats {
    /// Where.
    pub to: SocketAddr,
    /// The address that it comes from.
    pub from: IpAddr,
    /// As whom.
    pub by: String,
    /// How often.
    pub every: Duration,
}

impl Heartbeats {
    /// Does the duty each time that it is given.
    pub async fn run(self, mut given: mpsc::Receiver<Held>) {
        while let Some(held) = given.recv().await {
            let mut sequence = read_state(held.state());
            tokio::select! {
                // One heartbeat is never broken off to hand on: its answer is waited for, or it is done twice.
                done = self.send_until_done(&held, &mut sequence) => {
                    let state = sequence.to_le_bytes().to_vec();
                    match done {
                        Ok(End::HandOn) => {
                            if let Err(length) = held.hand_on(state).await {
                                warn!("a state of {length} bytes is not handed on");
                            }
                        }
                        Ok(End::Outdated(seen)) => {
                            if let Err(lost) = held.outdated(seen, state).await {
                                debug!("{lost}");
                            }
                        }
                        Err(lost) => debug!("{lost}"),
                    }
                }
                lost = held.lost() => debug!("{lost}"),
            }
        }
    }

    /// Sends heartbeats until the duty is to be handed on, or a higher number was seen.
    async fn send_until_done(&self, held: &Held, sequence: &mut u64) -> Result<End, Lost> {
        let mut line = None;
        loop {
            let heartbeat = |fence: &Fence| Heartbeat {
                fence: fence.clone(),
                by: self.by.clone(),
                sequence: *sequence + 1,
            };
            let said = held.effect(async |fence| self.say(&mut line, &heartbeat(fence)).await).await?;
            match said {
                Ok(Reply { taken: true, .. }) => {
                    *sequence += 1;
                    held.progress(*sequence);
                }
                Ok(Reply { seen, .. }) => {
                    let Fence { duty, number } = held.fence();
                    warn!("duties: {duty} is turned down under number {number}: {seen:?} was seen");
                    // One that turns down whatever comes is not to keep the store busy.
                    sleep(AGAIN).await;
                    return match seen {
                        Some(seen) if seen > *number => Ok(End::Outdated(seen)),
                        _ => Err(Lost(held.fence().clone())),
                    };
                }
                Err(problem) => {
                    debug!("{} is not reached: {problem}", self.to);
                    line = None;
                    sleep(AGAIN).await;
                    continue;
                }
            }
            tokio::select! {
                () = held.to_hand_on() => return Ok(End::HandOn),
                () = sleep(self.every) => {}
            }
        }
    }

    async fn say(&self, line: &mut Option<BufReader<Stream>>, heartbeat: &Heartbeat) -> io::Result<Reply> {
        let stream = match line {
            Some(stream) => stream,
            None => line.insert(BufReader::new(timeout(CONNECT, connect(self.to, Some(self.from))).await??)),
        };
        let mut text = serde_json::to_vec(heartbeat)?;
        text.push(b'\n');
        stream.write_all(&text).await?;
        let mut answer = Vec::new();
        stream.take(MOST_LINE).read_until(b'\n', &mut answer).await?;
        if answer.is_empty() {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(serde_json::from_slice(&answer)?)
    }
}

fn read_state(state: &[u8]) -> u64 {
    state.try_into().map_or(0, u64::from_le_bytes)
}
