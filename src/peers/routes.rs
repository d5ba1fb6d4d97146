//! The pool of servers as the tasks of a node share it: with the node's clock and its random numbers.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use super::wire::Beliefs;
use crate::config::RecordsTable;
use crate::ejection::detection;
use crate::ejection::evidence::{Call, Counts, Recorder, ServerIncarnation};
use crate::ejection::list::{Share, ShareAssignment, Shares};
use crate::ejection::list_manager::Trial;
use crate::ejection::participant::RecordedCalls;
use crate::route::{CallEnd, CallEndKind, Choice, NoFreeServer, Pool, ServerId, Spec};
use crate::server_stats::{Digest, MergeResult, StartReport};

/// Classes of evidence: calls that may be made a second time, and all others.
const SAFE: u8 = 0;
const UNSAFE: u8 = 1;

/// The servers of the records service.
pub struct Routes {
    pool: RefCell<Pool>,
    rng: RefCell<SmallRng>,
    start: Instant,
    /// What is noted for the votes of the fleet, where this node has a part in them.
    votes: RefCell<Option<Votes>>,
}

/// What this node's calls show, until it is sent, and what the fleet makes of servers.
#[derive(Default)]
struct Votes {
    recorder: Recorder,
    shares: Shares,
    /// Calls of the trial that a server is in: how often it had gone, and what they showed.
    trials: BTreeMap<SocketAddr, (u32, Trial)>,
}

/// A call's way to a server. Dropped without a word it counts as given up, so that no place is lost.
pub struct Leg {
    routes: Rc<Routes>,
    choice: Choice,
    /// When the call was sent: what it waits for within the node is no time of the server's.
    sent: Option<Instant>,
    class: u8,
    settled: bool,
}

fn ms(since: Instant) -> f64 {
    since.elapsed().as_secs_f64() * 1000.0
}

impl Routes {
    /// Knows nothing of the servers yet.
    pub fn new(table: &RecordsTable, seed: u64) -> Rc<Self> {
        let pool = Pool::new(0.0, table.choice.clone(), &table.servers);
        let rng = SmallRng::seed_from_u64(seed);
        let votes = RefCell::default();
        Rc::new(Self { pool: RefCell::new(pool), rng: RefCell::new(rng), start: Instant::now(), votes })
    }

    /// Notes calls for the votes of the fleet from here on, hands them to who asks, and follows what the fleet gives
    /// the servers. Ends with the part that has the other ends.
    pub async fn vote(
        self: Rc<Self>,
        mut asks: mpsc::Receiver<oneshot::Sender<RecordedCalls>>,
        mut shares: watch::Receiver<Shares>,
    ) {
        self.votes.replace(Some(Votes::default()));
        loop {
            tokio::select! {
                asked = asks.recv() => match asked {
                    Some(back) => drop(back.send(self.noted())),
                    None => break,
                },
                Ok(()) = shares.changed() => {
                    let shares = shares.borrow_and_update().clone();
                    self.follow(shares);
                }
            }
        }
        // Whoever had the list is gone: each node acts by its own measure.
        self.follow(Shares::new());
        self.votes.replace(None);
    }

    fn noted(&self) -> RecordedCalls {
        let now = self.now();
        let noted = |votes: &mut Votes| RecordedCalls {
            evidence: votes.recorder.take(now),
            trials: votes.trials.iter().map(|(server, (_, trial))| (*server, *trial)).collect(),
        };
        self.votes.borrow_mut().as_mut().map(noted).unwrap_or_default()
    }

    fn follow(&self, shares: Shares) {
        let parts = shares.iter().map(|(server, given)| (*server, given.share)).collect();
        self.pool.borrow_mut().set_fleet_shares(self.now(), parts);
        if let Some(votes) = self.votes.borrow_mut().as_mut() {
            let tried = |server: &SocketAddr, times: u32| {
                shares.get(server).is_some_and(|given| given.share == Share::Trial && given.times == times)
            };
            votes.trials.retain(|server, (times, _)| tried(server, *times));
            votes.shares = shares;
        }
    }

    /// Whether the fleet has taken a server out, but for trial calls.
    pub fn is_out(&self, server: SocketAddr) -> bool {
        let votes = self.votes.borrow();
        let given = votes.as_ref().and_then(|votes| votes.shares.get(&server));
        given.is_some_and(|given| matches!(given.share, Share::Trial | Share::Part(0.0)))
    }

    /// Notes what the end of a call shows of its server, where it shows anything.
    fn note(&self, choice: &Choice, class: u8, ended: &CallEnd) {
        let failed = match ended.kind {
            CallEndKind::Abandoned | CallEndKind::NotSent => return,
            kind => kind != CallEndKind::Served,
        };
        let life = ended.run.and_then(|run| {
            let up_ms = run.up_ms?.clamp(0.0, f64::from(u32::MAX)) as u32;
            Some(ServerIncarnation { incarnation: run.incarnation?, up_ms })
        });
        let unit_ms = (!failed).then(|| choice.unit_ms(ended.took_ms));
        let call = Call { server: choice.address, class, life, failed, unit_ms };
        if let Some(votes) = self.votes.borrow_mut().as_mut() {
            votes.note(self.now(), &call);
        }
    }

    /// Time since the start, in ms.
    fn now(&self) -> f64 {
        ms(self.start)
    }

    /// Chooses a server for a call; see [`Pool::choose`].
    ///
    /// # Errors
    /// No server has room.
    pub fn choose(self: &Rc<Self>, work: f64, safe: bool, tried: &[ServerId]) -> Result<Leg, NoFreeServer> {
        let mut rng = self.rng.borrow_mut();
        let choice = self.pool.borrow_mut().choose(self.now(), work, safe, tried, &mut *rng)?;
        let class = if safe { SAFE } else { UNSAFE };
        Ok(Leg { routes: self.clone(), choice, sent: None, class, settled: false })
    }

    /// Whether a further attempt is within the budget, which it then counts to.
    pub fn may_retry(&self) -> bool {
        self.pool.borrow_mut().try_take_retry()
    }

    /// Whether a server at this address is in force.
    pub fn has(&self, address: SocketAddr) -> bool {
        self.pool.borrow().contains(address)
    }

    /// How many servers there are.
    pub fn count(&self) -> usize {
        self.pool.borrow().len()
    }

    /// Puts other servers in force.
    pub fn replace(&self, servers: &[Spec]) {
        self.pool.borrow_mut().replace_servers(self.now(), servers);
    }

    /// Shares slow starts among so many processes from here on.
    pub fn share_among(&self, processes: u32) {
        self.pool.borrow_mut().set_process_count(processes);
    }

    /// What was measured here.
    pub fn digest(&self, teller: &str) -> Digest {
        self.pool.borrow().digest(self.now(), teller)
    }

    /// Takes in what another node has measured.
    pub fn inherit(&self, digest: &Digest) -> MergeResult {
        self.pool.borrow_mut().merge_digest(self.now(), digest)
    }

    /// What is believed, and from whom.
    pub fn beliefs(&self, node: &str) -> Beliefs {
        let pool = self.pool.borrow();
        let tellers = pool.reporters().map(|(name, trust)| (name.to_owned(), trust)).collect();
        Beliefs { node: node.to_owned(), servers: pool.estimates(self.now()), tellers }
    }
}

impl Votes {
    fn note(&mut self, now: f64, call: &Call) {
        let counts = self.recorder.note(now, call);
        let Some(ShareAssignment { share: Share::Trial, kind, times }) =
            self.shares.get(&call.server).copied()
        else {
            return;
        };
        let Counts { calls, failed, timed, slow } = counts;
        // One that fails is not well, whatever it went for.
        let (calls, bad) = match kind {
            detection::Kind::Failing => (calls, failed),
            detection::Kind::Slow => (timed + failed, slow + failed),
        };
        let (_, trial) = self.trials.entry(call.server).or_insert((times, Trial::default()));
        trial.calls = trial.calls.saturating_add(calls);
        trial.bad = trial.bad.saturating_add(bad);
    }
}

impl Leg {
    /// Which server.
    pub fn server(&self) -> ServerId {
        self.choice.id
    }

    /// Where it is reached.
    pub fn address(&self) -> SocketAddr {
        self.choice.address
    }

    /// The call is being sent.
    pub fn sent(&mut self) {
        self.sent = Some(Instant::now());
    }

    /// Tells how the call ended there, and what the server said of its start.
    pub fn end(mut self, kind: CallEndKind, run: Option<StartReport>) {
        self.settle(kind, run);
    }

    fn settle(&mut self, kind: CallEndKind, run: Option<StartReport>) {
        if !std::mem::replace(&mut self.settled, true) {
            let ended = CallEnd { kind, took_ms: self.sent.map_or(0.0, ms), run };
            self.routes.pool.borrow_mut().finish_call(self.routes.now(), &self.choice, &ended);
            self.routes.note(&self.choice, self.class, &ended);
        }
    }
}

impl Drop for Leg {
    fn drop(&mut self) {
        let kind = if self.sent.is_some() { CallEndKind::Abandoned } else { CallEndKind::NotSent };
        self.settle(kind, None);
    }
}
