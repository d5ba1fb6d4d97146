//! The table of keys: which try holds a key, whether it ran, and what came of it.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;

use crate::interface::RequestId;

/// Keys held at once, each with a result of up to 4 KiB: under half of the memory that a node has.
const MOST_KEYS: usize = 16_384;

/// What requests are the same by, with their class.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Key {
    /// Tries of one request with effects.
    Operation(usize, Arc<str>),
    /// Reads about one subject.
    Subject(usize, u64),
}

/// What has come of a kept try.
#[derive(Clone, Debug, PartialEq)]
pub enum State {
    /// Held, not begun.
    Held,
    /// Begun and not over, or its end is not known.
    Running,
    /// Over, with its result.
    Served(Bytes),
    /// Over, without one.
    Failed,
}

struct Row {
    holder: RequestId,
    state: State,
    /// Requests that arrive later than this are not repeats of the run, in ms.
    until: f64,
    waiting: Vec<RequestId>,
}

/// The table.
#[derive(Default)]
pub struct Kept(HashMap<Key, Row>);

impl Kept {
    /// The try that a request arriving at `arrived` repeats.
    pub fn earlier(&self, key: &Key, arrived: f64) -> Option<RequestId> {
        self.0.get(key).filter(|row| arrived <= row.until).map(|row| row.holder)
    }

    /// Whether the table has no room for a further key.
    pub fn is_full(&self) -> bool {
        self.0.len() >= MOST_KEYS
    }

    /// Enters a held try. Guards a run's entry: nothing displaces it within its window.
    pub fn hold(&mut self, key: &Key, id: RequestId, arrived: f64) {
        if let Some(row) = self.0.get_mut(key)
            && row.state != State::Held
            && arrived <= row.until
        {
            return;
        }
        let waiting = self.0.remove(key).map_or_else(Vec::new, |row| row.waiting);
        let row = Row { holder: id, state: State::Held, until: f64::INFINITY, waiting };
        self.0.insert(key.clone(), row);
    }

    /// Marks the run of `id` as begun. False, and nothing changes, where another try has run: a second run
    /// within the window would break the rule on duplicates, whatever the decision module says.
    pub fn begin(&mut self, key: &Key, id: RequestId, arrived: f64, until: f64) -> bool {
        self.hold(key, id, arrived);
        let Some(row) = self.0.get_mut(key).filter(|row| row.holder == id && row.state == State::Held) else {
            return false;
        };
        row.state = State::Running;
        row.until = until;
        true
    }

    /// Ends the run of `id`; returns those that wait for its result. `until`, where given, is its new end.
    pub fn end(&mut self, key: &Key, id: RequestId, state: State, until: Option<f64>) -> Vec<RequestId> {
        let Some(row) = self.0.get_mut(key).filter(|row| row.holder == id) else { return Vec::new() };
        row.state = state;
        row.until = until.unwrap_or(row.until);
        std::mem::take(&mut row.waiting)
    }

    /// Takes a try that never ran out of the table; returns those that wait for it.
    pub fn release(&mut self, key: &Key, id: RequestId) -> Vec<RequestId> {
        match self.0.get(key) {
            Some(row) if row.holder == id && row.state == State::Held => {
                self.0.remove(key).map_or_else(Vec::new, |row| row.waiting)
            }
            _ => Vec::new(),
        }
    }

    /// What has come of the try that holds the key; where it is not over, `id` is told of its end.
    pub fn share(&mut self, key: &Key, id: RequestId) -> State {
        let Some(row) = self.0.get_mut(key) else { return State::Failed };
        if matches!(row.state, State::Held | State::Running) {
            row.waiting.push(id);
        }
        row.state.clone()
    }

    /// Drops the entry of `id` for good, unless another try has taken its place.
    pub fn expire(&mut self, key: &Key, id: RequestId) {
        if self.0.get(key).is_some_and(|row| row.holder == id) {
            self.0.remove(key);
        }
    }
}
