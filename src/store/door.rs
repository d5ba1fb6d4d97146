//! What a member's connections have to do with, whether the member runs yet or not: who it is, the cluster that it is
//! told it belongs to, other members' marks, snapshots that arrive, and questions.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

use super::decide::identity::{Identity, Marked};
use super::decide::members::Place;
use super::decide::pieces::{Announced, Arriving, Digest, PieceError};
use super::disk::{Disk, DiskError};
use super::member::{Member, Ticket};
use super::wire::{About, Deaf};
use super::{Answer, MOST_TOTAL, Query, Status};

/// Bytes of a snapshot at the most: the map, each byte escaped, and what is remembered beside it.
const SNAPSHOT_BYTES: usize = 6 * MOST_TOTAL + (1 << 20);
/// How long a program that asks waits for a member that starts, and the time between two looks.
const START: Duration = Duration::from_secs(3);
const LOOK: Duration = Duration::from_millis(100);

/// What a member's connections have to do with, whether it runs yet or not.
pub(super) struct Door {
    pub disk: Disk,
    pub place: Place,
    pub identity: Mutex<Identity>,
    pub member: Mutex<Option<Member>>,
    arriving: Mutex<Arriving>,
    pub waits: Mutex<String>,
    pub adopted: Notify,
}

pub(super) fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Door {
    pub fn new(disk: Disk, place: Place, identity: Identity) -> Self {
        Self {
            disk,
            place,
            identity: Mutex::new(identity),
            member: Mutex::default(),
            arriving: Mutex::default(),
            waits: Mutex::new("this member of the store is starting".to_owned()),
            adopted: Notify::new(),
        }
    }

    /// Raises this member's own mark.
    pub fn raise(&self, mark: u64) -> Result<(), DiskError> {
        let mut identity = locked(&self.identity);
        identity.mark = mark;
        self.disk.save_identity(&identity)
    }

    pub fn identity(&self) -> Identity {
        locked(&self.identity).clone()
    }

    pub fn member(&self) -> Option<Member> {
        locked(&self.member).clone()
    }

    pub fn about(&self) -> About {
        let identity = self.identity();
        About { member: identity.member, place: self.place.clone(), cluster: identity.cluster }
    }

    /// The running member, where another means this one.
    pub fn meant(&self, cluster: u64, to: u64) -> Result<Member, Deaf> {
        let identity = self.identity();
        match identity.cluster {
            None => Err(Deaf::NotYet),
            Some(own) if own != cluster => Err(Deaf::Foreign(own)),
            Some(_) if identity.member != to => Err(Deaf::Another(identity.member)),
            Some(_) => self.member().ok_or(Deaf::NotYet),
        }
    }

    /// Makes a blank member part of a cluster, before anything else of it is heard.
    pub fn adopt(
        &self,
        cluster: u64,
        member: u64,
        founders: Option<BTreeMap<u64, Place>>,
    ) -> Result<(), String> {
        let mut identity = locked(&self.identity);
        if identity.member != member {
            return Err(format!("this is {:016x}", identity.member));
        }
        match identity.cluster {
            Some(own) if own == cluster => return Ok(()),
            Some(own) => return Err(format!("this member belongs to cluster {own:016x}")),
            None => {}
        }
        let adopted = Identity { cluster: Some(cluster), ..identity.clone() };
        let kept = match founders {
            Some(founders) => self.disk.save_founders(&adopted, &founders),
            None => self.disk.save_identity(&adopted),
        };
        kept.map_err(|e| e.to_string())?;
        *identity = adopted;
        self.adopted.notify_one();
        Ok(())
    }

    /// Keeps another member's mark, unless a later one was seen.
    pub fn mark(&self, cluster: u64, member: u64, before: u64, now: u64) -> Result<Marked, DiskError> {
        let identity = self.identity();
        match identity.cluster {
            // One that knows nothing confirms nothing.
            None => return Ok(Marked::Blank),
            Some(own) if own != cluster => return Ok(Marked::Foreign(own)),
            Some(_) => {}
        }
        let mut marks = self.disk.marks()?;
        match marks.raise(member, before, now) {
            Err(seen) => return Ok(Marked::Older(seen)),
            Ok(true) => self.disk.save_marks(&marks)?,
            Ok(false) => {}
        }
        let running = self.member();
        let told = running.map(|running| {
            let contents = running.contents.borrow();
            let members = contents.members();
            let belongs = members.nodes().any(|(word, _)| *word == member);
            (belongs, members.log_id().map_or(0, |log| log.index))
        });
        let (belongs, as_of) = told.unwrap_or((true, 0));
        Ok(Marked::Kept { by: identity.member, belongs, as_of })
    }

    pub fn announce(&self, announced: &Announced) -> Result<usize, PieceError> {
        locked(&self.arriving).announce(announced, SNAPSHOT_BYTES)
    }

    pub fn take(&self, of: &Digest, at: usize, piece: &[u8]) -> Result<usize, PieceError> {
        locked(&self.arriving).take(of, at, piece)
    }

    pub fn finish(&self, of: &Digest) -> Result<Vec<u8>, PieceError> {
        locked(&self.arriving).finish(of)
    }

    /// Answers a program; one that asks while the member starts waits for it.
    pub async fn answer(&self, query: Query) -> Answer {
        match query {
            Query::Status => match self.member() {
                Some(member) => member.answer(query).await,
                None => Answer::Status(Box::new(self.status())),
            },
            query => match self.started().await {
                Some(member) => member.answer(query).await,
                None => self.not_yet(),
            },
        }
    }

    async fn started(&self) -> Option<Member> {
        let until = Instant::now() + START;
        while self.member().is_none() && Instant::now() < until {
            sleep(LOOK).await;
        }
        self.member()
    }

    fn not_yet(&self) -> Answer {
        Answer::NotDone(locked(&self.waits).clone())
    }

    pub async fn answer_forwarded(&self, query: Query, tag: u64, since: u64) -> Answer {
        match self.member() {
            Some(member) => member.answer_forwarded(query, Ticket { tag, since }).await,
            None => self.not_yet(),
        }
    }

    /// How a member stands that does not run yet.
    fn status(&self) -> Status {
        let identity = self.identity();
        Status {
            member: format!("{:016x}", identity.member),
            cluster: identity.cluster.map(|cluster| format!("{cluster:016x}")),
            ..Status::blank(self.place.number, locked(&self.waits).clone())
        }
    }
}
