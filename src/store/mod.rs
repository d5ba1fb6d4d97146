//! The node's own store: a small versioned map of configuration and operator state, replicated among members that may
//! change in service. It has a thread of its own: nothing of it stands in the way of a request. Without its part of the
//! operator's file there is one member, in memory, and no socket.
//!
//! What is promised, and what is not, stands in `docs/design-store.md`.

mod backup;
pub mod decide;
mod disk;
mod door;
mod election;
mod enter;
mod inquire;
#[cfg(test)]
mod lossy;
mod map;
mod member;
mod steward;
mod wire;
pub(crate) mod witness;
mod writer;

use std::collections::BTreeMap;
use std::io::Cursor;
use std::sync::Arc;
use std::time::Duration;

use log::{error, info, warn};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::config::StoreOptions;
use crate::fleet::view as fleet;
use crate::lease::{DutyName, Vouched, table as duty};
use crate::net::bind;
use decide::members::Place;
use enter::{End, Session};

pub use backup::{Backup, BackupError, restore, verify_directory};
pub use map::{Contents, Roster, Versioned};
pub use wire::{ask, ask_from};

openraft::declare_raft_types!(
    /// The types that the consensus library works with.
    pub Types: D = map::Batch, R = map::Outcomes, Node = Place
);

/// Keys, and bytes of a key and its value, that the map holds at the most, and of all keys and values together.
const MOST_KEYS: usize = 4096;
const MOST_BYTES: usize = 64 * 1024;
const MOST_TOTAL: usize = 4 * 1024 * 1024;
/// How long a member whose disk fails waits before it opens it again.
const REOPEN: Duration = Duration::from_secs(2);

/// A change to the map.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Change {
    /// Which key.
    pub key: String,
    /// Its new value; `None` takes the key out.
    pub value: Option<String>,
    /// The version that the key must be at, 0 for one that is not there; `None` for any.
    pub expect: Option<u64>,
}

/// What came of a change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// Whether it was made.
    pub changed: bool,
    /// The version that the key is at now; 0 where it is not there.
    pub version: u64,
    /// Why it was not made, where the version is not the reason.
    pub denied: Option<Denied>,
    /// What came of a change of the fleet's view: the life of the node that came or went.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fleet: Option<Result<u64, fleet::Refused>>,
    /// What came of a change of sessions and duties.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub duty: Option<Result<(), duty::Refused>>,
}

/// Why a change is not made, whatever version its key is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Denied {
    /// The store holds as much as it may.
    Full,
    /// It came through so late that an earlier try of it may be forgotten.
    Late,
}

/// What a member of the store, or a program beside it, may ask.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Query {
    /// Make a change.
    Change(Change),
    /// Read all keys that begin so.
    Read {
        /// What they begin with.
        prefix: String,
        /// As this member has them, rather than as of now.
        local: bool,
    },
    /// Everything that a backup holds.
    Backup,
    /// The members, as the one that leads sees them.
    Members,
    /// How this member stands.
    Status,
    /// Change which nodes belong to the fleet.
    Fleet(fleet::Change),
    /// What one that follows the fleet's view lacks, as this member has it.
    View {
        /// The number of the view that it has.
        since: u64,
    },
    /// Change sessions and duties: of a session that it is about, what it has then.
    Duty(duty::Deed),
    /// What a session has, as the member that leads has it.
    Duties {
        /// The session.
        session: u64,
    },
    /// A blank member asks to be taken in.
    Admit {
        /// Its word.
        member: u64,
        /// How it is reached.
        place: Place,
    },
    /// An operator's wish.
    Wish(Wish),
    /// Whether a node holds a duty under a number, as this member has it.
    Holds {
        /// The duty.
        duty: DutyName,
        /// The number.
        number: u64,
        /// The node's name.
        node: String,
    },
}

/// A change of members that an operator wishes, by the numbers of the members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Wish {
    /// Take in the blank member at this address, as a learner.
    Join(String),
    /// Let a learner vote.
    Promote(u64),
    /// Take a member out.
    Leave(u64),
    /// Let a learner take a voter's place.
    Replace {
        /// Who goes.
        old: u64,
        /// Who comes.
        by: u64,
    },
}

/// How true a read is.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Truth {
    /// It has every change that was acknowledged before it was asked.
    Linearizable,
    /// It is what one member had.
    Local {
        /// Time since that member was last level with one that leads, in ms; none where it never was.
        age_ms: Option<u64>,
    },
}

/// The answer to a [`Query`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// To a change.
    Changed(Outcome),
    /// To a read.
    Contents {
        /// The keys.
        entries: BTreeMap<String, Versioned>,
        /// How true they are.
        truth: Truth,
    },
    /// To a question for a backup.
    Backup(Box<Backup>),
    /// To a question for the members.
    Members(Vec<MemberView>),
    /// To a question for the status.
    Status(Box<Status>),
    /// To a change of the fleet's view.
    Fleet(Result<u64, fleet::Refused>),
    /// To a question for the fleet's view.
    View {
        /// What the asking one lacks.
        lacking: fleet::Lacking,
        /// Time since this member was last level with one that leads, in ms; none where it never was.
        age_ms: Option<u64>,
        /// How long to wait before the next question, so that all who follow can ask, in ms.
        again_ms: u64,
    },
    /// To a change of sessions and duties: what the session has, none where the change is about no session.
    Duty(Result<Option<duty::Grants>, duty::Refused>),
    /// To a question for a session's duties; none where this member knows no such session.
    Duties(Option<duty::Grants>),
    /// A blank member is taken in by this cluster.
    Admitted(u64),
    /// What was wished is done.
    Done(String),
    /// Nothing was done, and why; it may be asked again.
    NotDone(String),
    /// It may have been done or may yet be, and why that is not known.
    Unsure(String),
    /// It cannot be done.
    Failed(String),
    /// To a question whether a node holds a duty.
    Holds(Vouched),
}

/// What a member is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// It leads.
    Leader,
    /// Its voice counts.
    Voter,
    /// It only follows.
    Learner,
    /// It belongs to no cluster yet.
    Blank,
}

/// One member as the leader sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberView {
    /// Its word, in hexadecimal digits.
    pub member: String,
    /// How it is reached.
    #[serde(flatten)]
    pub place: Place,
    /// What it is for.
    pub role: Role,
    /// Entries of the log that it lacks; none where it is not known.
    pub behind: Option<u64>,
    /// Time since it was last heard, in ms; none where it never was.
    pub silent_ms: Option<u64>,
}

/// How one member stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Its number.
    pub number: u64,
    /// Its word, in hexadecimal digits.
    pub member: String,
    /// Its cluster, in hexadecimal digits.
    pub cluster: Option<String>,
    /// What it is for.
    pub role: Role,
    /// The number of the member that leads, where it knows one.
    pub leader: Option<u64>,
    /// Whether a change could be made now, and why not.
    pub trouble: Option<String>,
    /// The term of its vote.
    pub term: u64,
    /// The last entry of its log, and the last one that is in its map.
    pub last: Option<u64>,
    /// The last entry that is in its map.
    pub applied: Option<u64>,
    /// The last entry that its snapshot has.
    pub snapshot: Option<u64>,
    /// Keys that it has, and their bytes.
    pub keys: usize,
    /// Bytes of its keys and values.
    pub bytes: usize,
}

impl Status {
    /// How a member stands that does not run.
    fn blank(number: u64, trouble: String) -> Self {
        Self {
            number,
            member: String::new(),
            cluster: None,
            role: Role::Blank,
            leader: None,
            trouble: Some(trouble),
            term: 0,
            last: None,
            applied: None,
            snapshot: None,
            keys: 0,
            bytes: 0,
        }
    }
}

/// Why a store cannot be had.
#[derive(Debug, Error)]
pub enum StoreError {
    /// Its directory cannot be used.
    #[error("the store's directory: {0}")]
    Disk(#[from] disk::DiskError),
    /// Its socket cannot be had.
    #[error("the store's socket: {0}")]
    Io(#[from] std::io::Error),
    /// The consensus library does not start, or ended.
    #[error("the store's members: {0}")]
    Raft(String),
}

impl StoreError {
    fn raft(problem: &impl std::fmt::Display) -> Self {
        Self::Raft(problem.to_string())
    }

    /// Whether the store may run later without anyone looking at it.
    fn is_transient(&self) -> bool {
        matches!(self, Self::Disk(problem) if problem.is_transient())
    }
}

/// Starts the node's member on a thread of its own. What it holds can be watched. `initial` is a key with its value that
/// is set once, unless it is there.
///
/// # Errors
/// The thread cannot be started. Anything later is logged, and leaves the map as it was.
pub fn start(
    name: &str,
    options: StoreOptions,
    configuration: watch::Receiver<String>,
    initial: Option<(String, String)>,
) -> std::io::Result<watch::Receiver<Contents>> {
    let (shown, contents) = watch::channel(Contents::default());
    let name = name.to_owned();
    std::thread::Builder::new().name("store".to_owned()).spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let served = runtime
            .map_err(StoreError::from)
            .and_then(|rt| rt.block_on(serve(&name, options, (configuration, initial), Arc::new(shown))));
        if let Err(problem) = served {
            error!("the store cannot run: {problem}");
        }
    })?;
    Ok(contents)
}

/// One session after the other: each has a directory as it is found, and ends when that is no longer this member's
/// or can no longer be written.
async fn serve(
    name: &str,
    options: StoreOptions,
    (configuration, mut initial): (watch::Receiver<String>, Option<(String, String)>),
    shown: Arc<watch::Sender<Contents>>,
) -> Result<(), StoreError> {
    let listener = match options.listen {
        Some(listen) => Some(bind::tcp("the store", listen).await.map_err(std::io::Error::from)?),
        None => None,
    };
    if let Some(listener) = &listener {
        info!("{name} listens for the store on {}", listener.local_addr()?);
    }
    let options = Arc::new(options);
    let (mut opened_before, mut trouble) = (false, None);
    loop {
        let listen = listener.as_ref().map(TcpListener::local_addr).transpose()?;
        let session = match Session::open(options.clone(), listen, shown.clone()) {
            Ok(session) => session,
            // What a failing disk holds up may go well later; at the start all else is the operator's to mend.
            Err(problem) if opened_before || problem.is_transient() => {
                let problem = problem.to_string();
                if trouble.as_ref() != Some(&problem) {
                    error!("the store takes nothing on until its directory works: {problem}");
                }
                trouble = Some(problem.clone());
                pause(listener.as_ref(), options.id, &problem).await;
                continue;
            }
            Err(problem) => return Err(problem),
        };
        opened_before = true;
        if trouble.take().is_some() {
            info!("the store's directory works again");
        }
        let end = tokio::select! {
            end = session.live(name, configuration.clone(), initial.take()) => end,
            () = answer(listener.as_ref(), &session) => End::Reopen("its socket is gone".to_owned()),
        };
        session.stop().await;
        match end {
            End::SetAside(why) => {
                warn!("the store's member begins anew: {why}");
                if let Err(problem) = session.set_aside() {
                    let problem = StoreError::from(problem);
                    if !problem.is_transient() {
                        return Err(problem);
                    }
                    // It is found again as it was, or as set aside, and judged anew.
                    error!("the store's directory is not set aside: {problem}");
                    drop(session);
                    pause(listener.as_ref(), options.id, &problem.to_string()).await;
                }
            }
            End::Reopen(why) => {
                error!("the store's member stops, and is opened again in {} s: {why}", REOPEN.as_secs());
                drop(session);
                pause(listener.as_ref(), options.id, &why).await;
            }
        }
    }
}

/// Waits until the directory is opened again, and tells whoever asks meanwhile why nothing can be promised.
async fn pause(listener: Option<&TcpListener>, number: u64, why: &str) {
    let refused = async {
        match listener {
            Some(listener) => wire::refuse(listener, number, why).await,
            None => std::future::pending().await,
        }
    };
    let _ = tokio::time::timeout(REOPEN, refused).await;
}

async fn answer(listener: Option<&TcpListener>, session: &Session) {
    match listener {
        Some(listener) => wire::serve(listener, session.door.clone()).await,
        None => std::future::pending().await,
    }
}
