//! The table of a listener's connections. When it is full, a newcomer takes the place of one that says nothing: first
//! one that never said anything, then the one that has been quiet for longest, then one that is half way through a
//! message. Working connections keep theirs.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// How a connection without open requests stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Standing {
    Silent,
    Quiet,
    /// In the middle of a message: it may be a slow caller, and is closed before long if it is not.
    Speaking,
}

/// Those that may lose their place, each kind in the order of its time.
type Rows = BTreeMap<(Standing, u64), (Instant, Arc<Notify>)>;

/// How many connections there may be, and how long one is spared after it was accepted though it says nothing.
#[derive(Clone, Copy, Debug)]
pub struct Room {
    /// Connections at the most.
    pub most: usize,
    /// Those that are newer keep their place.
    pub spares: Duration,
}

/// The table.
pub struct Table {
    spares: Duration,
    rows: Mutex<Rows>,
    stamps: AtomicU64,
}

impl Table {
    /// A table without connections.
    pub fn new(spares: Duration) -> Self {
        Self { spares, rows: Mutex::default(), stamps: AtomicU64::new(0) }
    }

    /// Enters a connection that has said nothing yet.
    pub fn enter(self: &Arc<Self>) -> Seat {
        let seat = Seat { table: self.clone(), row: Mutex::default(), lost: Arc::default() };
        seat.put(Standing::Silent);
        seat
    }

    /// Asks one connection to leave. False where all are working or new.
    pub fn make_room(&self) -> bool {
        let mut rows = locked(&self.rows);
        let now = Instant::now();
        let silent = rows.first_key_value().filter(|((standing, _), (since, _))| {
            *standing == Standing::Quiet || now.duration_since(*since) >= self.spares
        });
        let found = silent.map(|(key, _)| *key);
        let quiet = || rows.range((Standing::Quiet, 0)..).next().map(|(key, _)| *key);
        let Some((_, lost)) = found.or_else(quiet).and_then(|key| rows.remove(&key)) else { return false };
        lost.notify_one();
        true
    }
}

/// One connection's place in the table, given back when it is dropped.
pub struct Seat {
    table: Arc<Table>,
    row: Mutex<Option<(Standing, u64)>>,
    lost: Arc<Notify>,
}

impl Seat {
    fn put(&self, standing: Standing) {
        self.work();
        let stamp = self.table.stamps.fetch_add(1, Relaxed);
        locked(&self.table.rows).insert((standing, stamp), (Instant::now(), self.lost.clone()));
        *locked(&self.row) = Some((standing, stamp));
    }

    /// The connection has nothing open from now on.
    pub fn rest(&self) {
        self.put(Standing::Quiet);
    }

    /// The connection has its answer, and may ask something else.
    pub fn listen(&self) {
        self.put(Standing::Silent);
    }

    /// A part of a message has come. A connection that works keeps its place anyway.
    pub fn speak(&self) {
        let row = *locked(&self.row);
        if row.is_some_and(|(standing, _)| standing != Standing::Speaking) {
            self.put(Standing::Speaking);
        }
    }

    /// The connection is of use: it keeps its place.
    pub fn work(&self) {
        let row = locked(&self.row).take();
        if let Some(key) = row {
            locked(&self.table.rows).remove(&key);
        }
    }

    /// Resolves when the connection is to leave.
    pub async fn lost(&self) {
        self.lost.notified().await;
    }

    /// Serves a connection until it is done, or loses its place.
    pub async fn serve<T>(&self, connection: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            done = connection => Some(done),
            () = self.lost() => None,
        }
    }
}

fn locked<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.work();
    }
}
