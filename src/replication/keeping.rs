//! What of a holder's registers is not on disk yet, and what waits for that: answers, and the word that a slot is complete.
//! It does no I/O: whoever has the file syncs what [`Keeping::begin`] names, and says how that went.

use std::collections::BTreeSet;

use super::key::KeyId;

/// Keys whose windows are over that wait to be taken off the disk.
const MOST_GONE: usize = 256;

/// The books of a file. What waits for a sync is of any kind.
#[derive(Debug)]
pub struct Keeping<W> {
    /// Under way, and to come.
    syncing: BTreeSet<KeyId>,
    dirty: BTreeSet<KeyId>,
    /// To be dropped with whatever is synced next.
    gone: BTreeSet<KeyId>,
    /// Fetched from other holders and not synced since.
    learned: BTreeSet<KeyId>,
    held_back: Vec<W>,
    waiting: Vec<W>,
    /// Whether the last sync has failed and the time until the next one is not over.
    resting: bool,
}

impl<W> Default for Keeping<W> {
    fn default() -> Self {
        Self {
            syncing: BTreeSet::new(),
            dirty: BTreeSet::new(),
            gone: BTreeSet::new(),
            learned: BTreeSet::new(),
            held_back: Vec::new(),
            waiting: Vec::new(),
            resting: false,
        }
    }
}

impl<W> Keeping<W> {
    /// A register is another than before.
    pub fn changed(&mut self, key: KeyId) {
        self.dirty.insert(key);
    }

    /// Registers were fetched from another holder.
    pub fn learned(&mut self, keys: &[KeyId]) {
        self.dirty.extend(keys);
        self.learned.extend(keys);
    }

    /// Registers are held no more. They are taken off the disk with others, and many at once.
    pub fn gone(&mut self, keys: BTreeSet<KeyId>) {
        self.gone.extend(keys);
        if self.gone.len() >= MOST_GONE {
            self.dirty.append(&mut self.gone);
        }
    }

    /// Whether a register is not on disk as it is now.
    pub fn is_open(&self, key: KeyId) -> bool {
        self.dirty.contains(&key) || self.syncing.contains(&key)
    }

    /// Whether something that was fetched for a slot is not on disk: the slot does not count as complete.
    pub fn is_learning(&self, slot: u16) -> bool {
        let first = KeyId(u128::from(slot) << 120);
        self.learned.range(first..).next().is_some_and(|key| key.slot() == slot)
    }

    /// Holds something back until what is open now is synced. While the disk rests it is dropped: whoever asked asks again.
    pub fn wait(&mut self, answer: W) {
        if !self.resting {
            self.waiting.push(answer);
        }
    }

    /// The registers to sync now, which are under way then; none while others are, or while nothing has changed.
    pub fn begin(&mut self) -> Option<Vec<KeyId>> {
        if self.resting || !self.syncing.is_empty() || self.dirty.is_empty() {
            return None;
        }
        self.syncing = std::mem::take(&mut self.dirty);
        self.syncing.append(&mut self.gone);
        self.held_back = std::mem::take(&mut self.waiting);
        Some(self.syncing.iter().copied().collect())
    }

    /// What was under way is synced: returns what waited for that.
    pub fn synced(&mut self) -> Vec<W> {
        let keys = std::mem::take(&mut self.syncing);
        // One that has changed since is not on disk as it is now.
        self.learned.retain(|key| !keys.contains(key) || self.dirty.contains(key));
        std::mem::take(&mut self.held_back)
    }

    /// What was under way is on no disk. Nothing is said of it, and nothing is synced until [`Self::rested`].
    pub fn failed(&mut self) {
        self.dirty.append(&mut self.syncing);
        self.held_back.clear();
        self.waiting.clear();
        self.resting = true;
    }

    /// The time after a failure is over.
    pub fn rested(&mut self) {
        self.resting = false;
    }

    /// Another life begins, which holds nothing.
    pub fn renew(&mut self) {
        self.dirty.clear();
        self.gone.clear();
        self.learned.clear();
        self.waiting.clear();
    }
}
