//! The table of keys: which try holds a key, whether it ran, and what came of it.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;

use crate::fault_injection::{self, InjectedFault};
use crate::interface::RequestId;

/// Bytes that a key with its row takes, and those that are set aside for a result until it is there.
const ROW_BYTES: usize = 512;
const RESULT_BYTES: usize = 4096;

/// What requests are the same by, with their class.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Key {
    /// Tries of one request with effects.
    Operation(usize, Arc<str>),
    /// Reads about one subject.
    Subject(usize, u64),
}

impl Key {
    /// Whether all tries under it carry the same body.
    pub fn is_operation(&self) -> bool {
        matches!(self, Self::Operation(..))
    }
}

/// What has come of a kept try.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyState {
    /// Held, not begun.
    Held,
    /// Begun and not over, or its end is not known.
    Running,
    /// Over, with its result.
    Served(Bytes),
    /// Over, without one.
    Failed,
}

/// How a key stands.
pub struct IdempotencyRecord {
    /// The try that holds it.
    pub holder: RequestId,
    /// What has come of that.
    pub state: KeyState,
    /// Requests that arrive later than this are not repeats of the run, in ms.
    pub until: f64,
    /// When the last of those that may look up what came of it is due, in ms.
    looked_up: f64,
    waiting: Vec<RequestId>,
    /// The body of its tries, in short.
    pub digest: u64,
}

impl IdempotencyRecord {
    fn bytes(&self) -> usize {
        ROW_BYTES
            + match &self.state {
                KeyState::Held | KeyState::Running => RESULT_BYTES,
                KeyState::Served(result) => result.len(),
                KeyState::Failed => 0,
            }
    }
}

/// The table.
pub struct IdempotencyTable {
    rows: HashMap<Key, IdempotencyRecord>,
    /// What it takes of the memory, and may take.
    bytes: usize,
    most_bytes: usize,
    /// Secret of this node: nobody outside can make two bodies look alike.
    seed: u64,
}

impl IdempotencyTable {
    /// An empty table that stays under so many bytes.
    pub fn new(most_bytes: usize) -> Self {
        Self { rows: HashMap::new(), bytes: 0, most_bytes, seed: fastrand::u64(..) }
    }

    /// A body in short (FNV-1a): the same in the next process of this node, whatever it was built with.
    pub fn digest(&self, body: &[u8]) -> u64 {
        body.iter().fold(self.seed, |sum, byte| (sum ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3))
    }

    /// What bodies are shortened with.
    pub fn seed(&self) -> u64 {
        self.seed
    }

    /// Shortens bodies as the process before did.
    pub fn set_seed(&mut self, seed: u64) {
        self.seed = seed;
    }

    /// The keys of operations.
    pub fn operations(&self) -> impl Iterator<Item = &Key> {
        self.rows.keys().filter(|key| key.is_operation())
    }

    /// How a key stands.
    pub fn record(&self, key: &Key) -> Option<&IdempotencyRecord> {
        self.rows.get(key)
    }

    /// Enters a key that another process of this node has in hand. Nothing displaces it within its window.
    pub fn adopt(&mut self, key: Key, holder: RequestId, until: f64, digest: u64) {
        let (state, looked_up) = (KeyState::Running, f64::NEG_INFINITY);
        let row = IdempotencyRecord { holder, state, until, looked_up, waiting: Vec::new(), digest };
        self.take(&key);
        self.bytes += row.bytes();
        self.rows.insert(key, row);
    }

    /// Whether a request arriving at `arrived` bears the key of a kept one, yet another body.
    pub fn is_of_another(&self, key: &Key, arrived: f64, digest: u64) -> bool {
        self.rows
            .get(key)
            .is_some_and(|row| key.is_operation() && arrived <= row.until && row.digest != digest)
    }

    /// Whether a request arriving at `arrived` with this body is a try of the operation that is kept under a key.
    pub fn is_of_the_same(&self, key: &Key, arrived: f64, digest: u64) -> bool {
        self.rows.get(key).is_some_and(|row| arrived <= row.until && row.digest == digest)
    }

    /// The try that a request arriving at `arrived` repeats; for one that cannot carry the key, only one that has begun.
    pub fn earlier(&self, key: &Key, arrived: f64, begun: bool) -> Option<RequestId> {
        let row = self.rows.get(key).filter(|row| arrived <= row.until)?;
        if fault_injection::is_active(InjectedFault::RepeatRuns) {
            return None;
        }
        (!begun || row.state != KeyState::Held).then_some(row.holder)
    }

    /// Notes that a try that is due then may look up what came of the key.
    pub fn look_up_until(&mut self, key: &Key, due: f64) {
        if let Some(row) = self.rows.get_mut(key) {
            row.looked_up = row.looked_up.max(due);
        }
    }

    /// When the row of `id` has outlived its use, where that holds the key still: the last of those that may look its
    /// result up are due, and so are repeats that came at the end of its window and have `deadline_ms`.
    pub fn needed_until(&self, key: &Key, id: RequestId, deadline_ms: f64) -> Option<f64> {
        let row = self.rows.get(key).filter(|row| row.holder == id)?;
        Some(row.looked_up.max(row.until + deadline_ms))
    }

    /// Makes the windows of a class's runs longer by so many ms, as new settings do. Those of runs that have begun are
    /// never made shorter: their callers were promised them.
    pub fn extend_windows(&mut self, class: usize, by_ms: f64) {
        let of_class = |key: &Key| matches!(key, Key::Operation(key_class, _) if *key_class == class);
        let rows = self.rows.iter_mut().filter(|(key, _)| by_ms > 0.0 && of_class(key));
        rows.for_each(|(_, row)| row.until += by_ms);
    }

    /// Whether the table has no room for a further key.
    pub fn is_full(&self) -> bool {
        self.bytes + ROW_BYTES + RESULT_BYTES > self.most_bytes
    }

    /// Enters a held try. Guards a run's entry: nothing displaces it within its window.
    pub fn hold(&mut self, key: &Key, id: RequestId, arrived: f64, digest: u64) {
        if let Some(row) = self.rows.get(key)
            && row.state != KeyState::Held
            && arrived <= row.until
        {
            return;
        }
        let (waiting, looked_up) =
            self.take(key).map_or((Vec::new(), f64::NEG_INFINITY), |row| (row.waiting, row.looked_up));
        let row = IdempotencyRecord {
            holder: id,
            state: KeyState::Held,
            until: f64::INFINITY,
            looked_up,
            waiting,
            digest,
        };
        self.bytes += row.bytes();
        self.rows.insert(key.clone(), row);
    }

    fn take(&mut self, key: &Key) -> Option<IdempotencyRecord> {
        let row = self.rows.remove(key)?;
        self.bytes -= row.bytes();
        Some(row)
    }

    /// Marks the run of `id` as begun. False, and nothing changes, where another try has run: a second run
    /// within the window would break the rule on duplicates, whatever the decision module says.
    pub fn begin(&mut self, key: &Key, id: RequestId, arrived: f64, until: f64, digest: u64) -> bool {
        if fault_injection::is_active(InjectedFault::RepeatRuns) {
            self.take(key);
        }
        self.hold(key, id, arrived, digest);
        let Some(row) = self.rows.get_mut(key).filter(|row| row.holder == id && row.state == KeyState::Held)
        else {
            return false;
        };
        row.state = KeyState::Running;
        row.until = until;
        true
    }

    /// Ends the run of `id`; returns those that wait for its result. `until`, where given, is its new end.
    pub fn end(&mut self, key: &Key, id: RequestId, state: KeyState, until: Option<f64>) -> Vec<RequestId> {
        let Some(row) = self.rows.get_mut(key).filter(|row| row.holder == id) else { return Vec::new() };
        self.bytes -= row.bytes();
        row.state = state;
        self.bytes += row.bytes();
        row.until = until.unwrap_or(row.until);
        std::mem::take(&mut row.waiting)
    }

    /// Takes a try that never ran out of the table; returns those that wait for it.
    pub fn release(&mut self, key: &Key, id: RequestId) -> Vec<RequestId> {
        match self.rows.get(key) {
            Some(row) if row.holder == id && row.state == KeyState::Held => {
                self.take(key).map_or_else(Vec::new, |row| row.waiting)
            }
            _ => Vec::new(),
        }
    }

    /// What has come of the try that holds the key; where it is not over, `id` is told of its end.
    pub fn share(&mut self, key: &Key, id: RequestId) -> KeyState {
        let Some(row) = self.rows.get_mut(key) else { return KeyState::Failed };
        if matches!(row.state, KeyState::Held | KeyState::Running) {
            row.waiting.push(id);
        }
        row.state.clone()
    }

    /// `id` waits no longer for the end of the try that holds the key.
    pub fn unshare(&mut self, key: &Key, id: RequestId) {
        let Some(row) = self.rows.get_mut(key) else { return };
        if let Some(at) = row.waiting.iter().position(|waiting| *waiting == id) {
            row.waiting.swap_remove(at);
        }
    }

    /// Drops the entry of `id` for good, unless another try has taken its place.
    pub fn expire(&mut self, key: &Key, id: RequestId) {
        if self.rows.get(key).is_some_and(|row| row.holder == id) {
            self.take(key);
        }
    }
}
