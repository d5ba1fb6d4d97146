//! The idempotency table: which try holds a key, whether it ran, and with what result.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;

use crate::fault_injection::{self, InjectedFault};
use crate::interface::RequestId;

/// Bytes that a key with its record takes.
const RECORD_BYTES: usize = 512;
/// Bytes that are reserved for a result until it is known.
const RESERVED_RESULT_BYTES: usize = 4096;

/// What identifies tries of the same operation, or reads of the same subject, together with the index of the class.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Key {
    /// Tries of one request with effects, by its idempotency key.
    Operation(usize, Arc<str>),
    /// Reads of one subject.
    Subject(usize, u64),
}

impl Key {
    /// Whether this is the key of an operation, whose tries all carry the same body.
    pub fn is_operation(&self) -> bool {
        matches!(self, Self::Operation(..))
    }
}

/// The state of the try that holds a key.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyState {
    /// Held; not begun.
    Held,
    /// Begun, and not over as far as known.
    Running,
    /// Over, with this result.
    Served(Bytes),
    /// Over, without a result.
    Failed,
}

/// The record of a key.
pub struct IdempotencyRecord {
    /// The request that holds the key.
    pub holder: RequestId,
    /// The state of its try.
    pub state: KeyState,
    /// End of the window: requests that arrive later do not repeat the run, in ms.
    pub until: f64,
    /// The latest due time of the requests that may look up the result, in ms.
    last_lookup_due: f64,
    /// Requests that wait for the result.
    waiting: Vec<RequestId>,
    /// Digest of the body of its tries.
    pub digest: u64,
}

impl IdempotencyRecord {
    /// The memory that the record is accounted with.
    fn bytes(&self) -> usize {
        RECORD_BYTES
            + match &self.state {
                KeyState::Held | KeyState::Running => RESERVED_RESULT_BYTES,
                KeyState::Served(result) => result.len(),
                KeyState::Failed => 0,
            }
    }
}

/// The idempotency table, with a bound on its memory.
pub struct IdempotencyTable {
    records: HashMap<Key, IdempotencyRecord>,
    /// The memory that the records take, and the most that they may take.
    bytes: usize,
    max_bytes: usize,
    /// Secret seed of the digests, so that nobody outside can construct two bodies with the same digest.
    seed: u64,
}

impl IdempotencyTable {
    /// Creates an empty table of at most `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        Self { records: HashMap::new(), bytes: 0, max_bytes, seed: fastrand::u64(..) }
    }

    /// The seeded digest of a body (FNV-1a): the same in the next process of this node, whatever its build.
    pub fn digest(&self, body: &[u8]) -> u64 {
        body.iter().fold(self.seed, |sum, byte| (sum ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3))
    }

    /// The seed of the digests.
    pub fn seed(&self) -> u64 {
        self.seed
    }

    /// Takes over the seed of the previous process, so that digests of both compare.
    pub fn set_seed(&mut self, seed: u64) {
        self.seed = seed;
    }

    /// The keys of operations.
    pub fn operations(&self) -> impl Iterator<Item = &Key> {
        self.records.keys().filter(|key| key.is_operation())
    }

    /// The record of a key, if there is one.
    pub fn record(&self, key: &Key) -> Option<&IdempotencyRecord> {
        self.records.get(key)
    }

    /// Inserts a key whose try is open at another process of this node. Nothing replaces it within its window.
    pub fn adopt(&mut self, key: Key, holder: RequestId, until: f64, digest: u64) {
        let (state, last_lookup_due) = (KeyState::Running, f64::NEG_INFINITY);
        let record = IdempotencyRecord { holder, state, until, last_lookup_due, waiting: Vec::new(), digest };
        self.take(&key);
        self.bytes += record.bytes();
        self.records.insert(key, record);
    }

    /// Whether a request arriving at `arrived` has the key of a recorded operation, but another body.
    pub fn has_other_body(&self, key: &Key, arrived: f64, digest: u64) -> bool {
        self.records
            .get(key)
            .is_some_and(|record| key.is_operation() && arrived <= record.until && record.digest != digest)
    }

    /// Whether a request arriving at `arrived` with this body is a try of the operation recorded under `key`.
    pub fn matches(&self, key: &Key, arrived: f64, digest: u64) -> bool {
        self.records.get(key).is_some_and(|record| arrived <= record.until && record.digest == digest)
    }

    /// The request that one arriving at `arrived` repeats. With `begun` only if that has begun, for a request that
    /// cannot hold the key itself.
    pub fn earlier(&self, key: &Key, arrived: f64, begun: bool) -> Option<RequestId> {
        let record = self.records.get(key).filter(|record| arrived <= record.until)?;
        if fault_injection::is_active(InjectedFault::RepeatRuns) {
            return None;
        }
        (!begun || record.state != KeyState::Held).then_some(record.holder)
    }

    /// Notes that a try that is due at `due` may look up the result of the key.
    pub fn extend_lookup(&mut self, key: &Key, due: f64) {
        if let Some(record) = self.records.get_mut(key) {
            record.last_lookup_due = record.last_lookup_due.max(due);
        }
    }

    /// How long the record of `id` is needed, if `id` still holds the key: until the last request that may look up
    /// the result is due, and until a repeat that arrived at the end of the window is due, `deadline_ms` later.
    pub fn needed_until(&self, key: &Key, id: RequestId, deadline_ms: f64) -> Option<f64> {
        let record = self.records.get(key).filter(|record| record.holder == id)?;
        Some(record.last_lookup_due.max(record.until + deadline_ms))
    }

    /// Extends the windows of a class's records by `by_ms` after a change of settings. A negative value has no
    /// effect: callers rely on the windows that applied when their runs began.
    pub fn extend_windows(&mut self, class: usize, by_ms: f64) {
        let of_class = |key: &Key| matches!(key, Key::Operation(key_class, _) if *key_class == class);
        let records = self.records.iter_mut().filter(|(key, _)| by_ms > 0.0 && of_class(key));
        records.for_each(|(_, record)| record.until += by_ms);
    }

    /// Whether the table has no capacity for a further key.
    pub fn is_full(&self) -> bool {
        self.bytes + RECORD_BYTES + RESERVED_RESULT_BYTES > self.max_bytes
    }

    /// Inserts a held try. A record whose try has begun is not replaced within its window.
    pub fn hold(&mut self, key: &Key, id: RequestId, arrived: f64, digest: u64) {
        if let Some(record) = self.records.get(key)
            && record.state != KeyState::Held
            && arrived <= record.until
        {
            return;
        }
        let (waiting, last_lookup_due) = self
            .take(key)
            .map_or((Vec::new(), f64::NEG_INFINITY), |record| (record.waiting, record.last_lookup_due));
        let record = IdempotencyRecord {
            holder: id,
            state: KeyState::Held,
            until: f64::INFINITY,
            last_lookup_due,
            waiting,
            digest,
        };
        self.bytes += record.bytes();
        self.records.insert(key.clone(), record);
    }

    fn take(&mut self, key: &Key) -> Option<IdempotencyRecord> {
        let record = self.records.remove(key)?;
        self.bytes -= record.bytes();
        Some(record)
    }

    /// Marks the run of `id` as begun. Returns false without a change if another try has begun: a second run within
    /// the window would violate idempotency, whatever the decision module decides.
    pub fn begin(&mut self, key: &Key, id: RequestId, arrived: f64, until: f64, digest: u64) -> bool {
        if fault_injection::is_active(InjectedFault::RepeatRuns) {
            self.take(key);
        }
        self.hold(key, id, arrived, digest);
        let Some(record) =
            self.records.get_mut(key).filter(|record| record.holder == id && record.state == KeyState::Held)
        else {
            return false;
        };
        record.state = KeyState::Running;
        record.until = until;
        true
    }

    /// Records the end of the run of `id` and returns the requests that wait for its result. `until`, if given, is
    /// the new end of its window.
    pub fn end(&mut self, key: &Key, id: RequestId, state: KeyState, until: Option<f64>) -> Vec<RequestId> {
        let Some(record) = self.records.get_mut(key).filter(|record| record.holder == id) else {
            return Vec::new();
        };
        self.bytes -= record.bytes();
        record.state = state;
        self.bytes += record.bytes();
        record.until = until.unwrap_or(record.until);
        std::mem::take(&mut record.waiting)
    }

    /// Removes the record of a try that never ran, and returns the requests that wait for it.
    pub fn release(&mut self, key: &Key, id: RequestId) -> Vec<RequestId> {
        match self.records.get(key) {
            Some(record) if record.holder == id && record.state == KeyState::Held => {
                self.take(key).map_or_else(Vec::new, |record| record.waiting)
            }
            _ => Vec::new(),
        }
    }

    /// The state of the try that holds the key. If it is not over, `id` is added to those that wait for its end.
    pub fn share(&mut self, key: &Key, id: RequestId) -> KeyState {
        let Some(record) = self.records.get_mut(key) else { return KeyState::Failed };
        if matches!(record.state, KeyState::Held | KeyState::Running) {
            record.waiting.push(id);
        }
        record.state.clone()
    }

    /// Removes `id` from those that wait for the end of the try that holds the key.
    pub fn unshare(&mut self, key: &Key, id: RequestId) {
        let Some(record) = self.records.get_mut(key) else { return };
        if let Some(at) = record.waiting.iter().position(|waiting| *waiting == id) {
            record.waiting.swap_remove(at);
        }
    }

    /// Removes the record of `id`, unless another try holds the key by now.
    pub fn expire(&mut self, key: &Key, id: RequestId) {
        if self.records.get(key).is_some_and(|record| record.holder == id) {
            self.take(key);
        }
    }
}
