//! The table of a front's connections. When it is full, a newcomer takes the place of one that says nothing: first
//! one that never said anything, then the one that has been quiet for longest, then one that is half way through a
//! message. Working connections keep theirs.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
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
type Rows = BTreeMap<(Standing, u64), (Instant, Rc<Notify>)>;

/// How many connections there may be, and how long one is spared after it was accepted though it says nothing.
#[derive(Clone, Copy, Debug)]
pub struct Room {
    /// Connections at the most.
    pub most: usize,
    /// Those that are newer keep their place.
    pub spares: Duration,
}

/// The table.
pub(super) struct Table {
    spares: Duration,
    rows: RefCell<Rows>,
    stamps: Cell<u64>,
}

impl Table {
    /// A table without connections.
    pub fn new(spares: Duration) -> Self {
        Self { spares, rows: RefCell::default(), stamps: Cell::new(0) }
    }

    /// Enters a connection that has said nothing yet.
    pub fn enter(self: &Rc<Self>) -> Seat {
        let seat = Seat { table: self.clone(), row: Cell::new(None), lost: Rc::default() };
        seat.put(Standing::Silent);
        seat
    }

    /// Asks one connection to leave. False where all are working or new.
    pub fn make_room(&self) -> bool {
        let mut rows = self.rows.borrow_mut();
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
    table: Rc<Table>,
    row: Cell<Option<(Standing, u64)>>,
    lost: Rc<Notify>,
}

impl Seat {
    fn put(&self, standing: Standing) {
        self.work();
        let stamp = self.table.stamps.get();
        self.table.stamps.set(stamp + 1);
        self.table.rows.borrow_mut().insert((standing, stamp), (Instant::now(), self.lost.clone()));
        self.row.set(Some((standing, stamp)));
    }

    /// The connection has nothing open from now on.
    pub fn rest(&self) {
        self.put(Standing::Quiet);
    }

    /// A part of a message has come. A connection that works keeps its place anyway.
    pub fn speak(&self) {
        if self.row.get().is_some_and(|(standing, _)| standing != Standing::Speaking) {
            self.put(Standing::Speaking);
        }
    }

    /// The connection is of use: it keeps its place.
    pub fn work(&self) {
        if let Some(key) = self.row.take() {
            self.table.rows.borrow_mut().remove(&key);
        }
    }

    /// Resolves when the connection is to leave.
    pub async fn lost(&self) {
        self.lost.notified().await;
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.work();
    }
}
