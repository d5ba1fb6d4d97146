//! The pool of servers as the tasks of a node share it: with the node's clock and its random numbers.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use super::wire::Beliefs;
use crate::config::RecordsTable;
use crate::knowledge::{Digest, Merged, Run};
use crate::route::{Choice, Ended, Full, Kind, Pool, ServerId, Spec};

/// The servers of the records service.
pub struct Routes {
    pool: RefCell<Pool>,
    rng: RefCell<SmallRng>,
    start: Instant,
}

/// A call's way to a server. Dropped without a word it counts as given up, so that no place is lost.
pub struct Leg {
    routes: Rc<Routes>,
    choice: Choice,
    /// When the call was sent: what it waits for within the node is no time of the server's.
    sent: Option<Instant>,
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
        Rc::new(Self { pool: RefCell::new(pool), rng: RefCell::new(rng), start: Instant::now() })
    }

    /// Time since the start, in ms.
    fn now(&self) -> f64 {
        ms(self.start)
    }

    /// Chooses a server for a call; see [`Pool::choose`].
    ///
    /// # Errors
    /// No server has room.
    pub fn choose(self: &Rc<Self>, work: f64, safe: bool, tried: &[ServerId]) -> Result<Leg, Full> {
        let mut rng = self.rng.borrow_mut();
        let choice = self.pool.borrow_mut().choose(self.now(), work, safe, tried, &mut *rng)?;
        Ok(Leg { routes: self.clone(), choice, sent: None, settled: false })
    }

    /// Whether a further attempt is within the budget, which it then counts to.
    pub fn may_retry(&self) -> bool {
        self.pool.borrow_mut().may_retry()
    }

    /// Whether a server at this address is in force.
    pub fn has(&self, address: SocketAddr) -> bool {
        self.pool.borrow().has(address)
    }

    /// How many servers there are.
    pub fn count(&self) -> usize {
        self.pool.borrow().len()
    }

    /// Puts other servers in force.
    pub fn replace(&self, servers: &[Spec]) {
        self.pool.borrow_mut().replace(self.now(), servers);
    }

    /// What was measured here.
    pub fn digest(&self, teller: &str) -> Digest {
        self.pool.borrow().digest(self.now(), teller)
    }

    /// Takes in what another node has measured.
    pub fn inherit(&self, digest: &Digest) -> Merged {
        self.pool.borrow_mut().inherit(self.now(), digest)
    }

    /// What is believed, and from whom.
    pub fn beliefs(&self, node: &str) -> Beliefs {
        let pool = self.pool.borrow();
        let tellers = pool.tellers().map(|(name, trust)| (name.to_owned(), trust)).collect();
        Beliefs { node: node.to_owned(), servers: pool.beliefs(self.now()), tellers }
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
    pub fn end(mut self, kind: Kind, run: Option<Run>) {
        self.settle(kind, run);
    }

    fn settle(&mut self, kind: Kind, run: Option<Run>) {
        if !std::mem::replace(&mut self.settled, true) {
            let ended = Ended { kind, took_ms: self.sent.map_or(0.0, ms), run };
            self.routes.pool.borrow_mut().ended(self.routes.now(), &self.choice, &ended);
        }
    }
}

impl Drop for Leg {
    fn drop(&mut self) {
        let kind = if self.sent.is_some() { Kind::Withdrawn } else { Kind::Unsent };
        self.settle(kind, None);
    }
}
