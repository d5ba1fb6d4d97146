//! The way of a node's session to the store: each member in turn, the one that answered last first.

use std::cell::Cell;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use rand::Rng;
use tokio::time::{sleep, timeout};

use super::Fence;
use super::table::{Deed, Grants, Refused};
use crate::store::{Answer, Query, ask_from};

/// How long one try at the store may take at least.
const SHORTEST_TRY: Duration = Duration::from_millis(150);

/// How often the store is told that a duty is over before that is left to the next renewal, and the time between.
const RELEASES: usize = 5;
const AGAIN: Duration = Duration::from_millis(50);

/// What a task says of a duty that it has.
#[derive(Debug)]
pub(super) struct Word {
    pub fence: Fence,
    /// What the next one is to know.
    pub state: Vec<u8>,
    /// Whether this node could not do it.
    pub unable: bool,
    /// A higher number that the receiver has seen.
    pub seen: Option<u64>,
    /// Whether its effects have all ended: none is under way still.
    pub ended: bool,
}

impl Word {
    /// Nobody here acts under this number any more.
    pub fn over(fence: Fence) -> Self {
        Self { fence, state: Vec::new(), unable: false, seen: None, ended: false }
    }
}

/// What the store says to a change, or why it is not known to be made.
pub(super) type Told = Result<Result<Option<Grants>, Refused>, String>;

/// The members of the store, and which of them answered last.
#[derive(Debug)]
pub(super) struct Store {
    members: Vec<SocketAddr>,
    from: IpAddr,
    patience: Duration,
    first: Cell<usize>,
}

impl Store {
    /// Each is given so long for an answer, but no less than [`SHORTEST_TRY`].
    pub fn new(members: Vec<SocketAddr>, from: IpAddr, patience: Duration) -> Self {
        let first = rand::rng().random_range(0..members.len().max(1));
        Self { members, from, patience: patience.max(SHORTEST_TRY), first: Cell::new(first) }
    }

    /// Makes a change, where it is allowed. An error says why it is not known to be made.
    pub async fn tell(&self, deed: Deed) -> Told {
        match self.ask(Query::Duty(deed)).await? {
            Answer::Duty(done) => Ok(done),
            other => Err(format!("{other:?}")),
        }
    }

    /// Says that a session does not act under a number any more. A higher number that was seen comes first: the one
    /// that is given for it has to be above that.
    pub async fn release(&self, session: u64, word: Word) -> Result<(), String> {
        let Word { fence: Fence { duty, number }, state, unable, seen, .. } = word;
        if let Some(seen) = seen {
            self.tell(Deed::Above(seen)).await?.map_err(|refused| refused.to_string())?;
        }
        let release = Deed::Release { session, duty, number, state, unable };
        let mut told = Ok(());
        for _ in 0..RELEASES {
            // One that it does not have any more is released all the same.
            told = self.tell(release.clone()).await.map(drop);
            if told.is_ok() {
                break;
            }
            sleep(AGAIN).await;
        }
        told
    }

    /// The member that leads, where an answer of another one names it.
    fn leader(&self, answer: &Answer) -> Option<usize> {
        let (Answer::Duty(Ok(Some(grants))) | Answer::Duties(Some(grants))) = answer else { return None };
        let leader: SocketAddr = grants.leader.as_ref()?.parse().ok()?;
        self.members.iter().position(|member| *member == leader)
    }

    /// Asks the members, the one that answered last first.
    pub async fn ask(&self, query: Query) -> Result<Answer, String> {
        let (count, first, patience) = (self.members.len(), self.first.get(), self.patience);
        let mut silent = "no member of the store is named".to_owned();
        for turn in 0..count {
            let at = (first + turn) % count;
            let member = self.members[at];
            match timeout(patience, ask_from(&member.to_string(), self.from, query.clone())).await {
                Ok(Ok(answer @ (Answer::NotDone(_) | Answer::Unsure(_)))) => silent = format!("{answer:?}"),
                Ok(Ok(answer)) => {
                    self.first.set(self.leader(&answer).unwrap_or(at));
                    return Ok(answer);
                }
                Ok(Err(problem)) => silent = format!("{member}: {problem}"),
                Err(_) => silent = format!("{member} does not answer in {patience:?}"),
            }
        }
        Err(silent)
    }
}
