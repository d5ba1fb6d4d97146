//! What one node holds for others: the registers of the keys in its slots, each for as long as its window lasts.
//!
//! Time is this process's own monotonic clock in ms. A window that is told as a duration ends here no sooner than at the
//! one who told it: on the way it can only grow longer.

use std::collections::{BTreeMap, BTreeSet};

use super::key::{KeyId, PARTS};
use super::register::{Fate, Row};
use super::slots::{Slot, Slots};
use super::wire::{Ask, MOST_RESULT, Page, Parts, Record, Said, Sums, What};

/// Bytes that a key takes without its result, and those set aside for one that is to come.
const ROW_BYTES: usize = 384;
const RESULT_BYTES: usize = 4096;
/// Windows are kept longer by this part and by so many ms: clocks don't run equally fast.
const DRIFT: u64 = 100;
const SLACK_MS: u64 = 50;
/// Records in one page at the most, in bytes of results and rows.
const PAGE_BYTES: usize = 128 * 1024;

/// A register with the end of its window.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Held {
    /// The register.
    pub row: Row,
    /// When its window is over, in ms of this process's clock.
    pub until: u64,
}

impl Held {
    fn bytes(&self) -> usize {
        let open = self.row.accepted.as_ref().is_none_or(|(_, value)| value.fate == Fate::Claimed);
        ROW_BYTES + if open { RESULT_BYTES } else { self.row.result_bytes() }
    }
}

/// How many keys are held, and how.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    /// All of them.
    pub keys: usize,
    /// Claimed and not over.
    pub claimed: usize,
    /// Over, with a result.
    pub done: usize,
    /// Over without one.
    pub failed: usize,
}

/// The table.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    me: Option<u64>,
    /// The view that what was restored was held by, at the least.
    level: u64,
    rows: BTreeMap<KeyId, Held>,
    ends: BTreeSet<(u64, KeyId)>,
    /// The slots that this node holds or is to hold, with their epochs.
    duties: BTreeMap<u16, u64>,
    /// What each slot holds, in short, where it holds anything.
    sums: BTreeMap<u16, Sums>,
    bytes: usize,
    most_bytes: usize,
    /// Keys that have gone since this was last asked for.
    gone: BTreeSet<KeyId>,
}

/// A row as one number, so that equal sets of rows have equal sums in whichever order they came.
fn weigh(key: KeyId, row: &Row) -> u64 {
    let Some((ballot, _)) = &row.accepted else { return 0 };
    let mut hasher = blake3::Hasher::new();
    hasher.update(&key.0.to_le_bytes());
    hasher.update(&ballot.round.to_le_bytes());
    hasher.update(&ballot.word.to_le_bytes());
    let mut first = [0; 8];
    hasher.finalize_xof().fill(&mut first);
    u64::from_le_bytes(first)
}

/// The end of a window that lasts so long still.
fn end(now: u64, left_ms: u32) -> u64 {
    let left = u64::from(left_ms);
    now + left + left / DRIFT + SLACK_MS
}

impl Holder {
    /// An empty table that stays under so many bytes.
    pub fn new(most_bytes: usize) -> Self {
        Self {
            me: None,
            level: 0,
            rows: BTreeMap::new(),
            ends: BTreeSet::new(),
            duties: BTreeMap::new(),
            sums: BTreeMap::new(),
            bytes: 0,
            most_bytes,
            gone: BTreeSet::new(),
        }
    }

    /// Turns to the holders of another view, of this number. Keys of slots that this node holds no more are dropped: all
    /// those to come have them. What it held in another life is not its own any more, and is dropped as well. While it
    /// does not belong it answers nothing and drops nothing, nor behind a restart by a view from before the one that it
    /// held by.
    pub fn turn_to(&mut self, me: Option<u64>, number: u64, slots: &Slots) {
        if number < self.level {
            self.duties.clear();
            return;
        }
        let own = |slot: &Slot| me.is_some_and(|me| slot.has(me));
        self.serve(slots.all().filter(|(_, slot)| own(slot)).map(|(at, slot)| (at, slot.epoch)));
        let Some(me) = me else { return };
        let another = self.me.replace(me).is_some_and(|before| before != me);
        let kept = |key: &KeyId| !another && self.duties.contains_key(&key.slot());
        let gone: Vec<KeyId> = self.rows.keys().filter(|key| !kept(key)).copied().collect();
        for key in gone {
            self.remove(key);
            self.gone.insert(key);
        }
    }

    /// Answers for these slots from here on, under these epochs, and for no others.
    pub fn serve(&mut self, slots: impl IntoIterator<Item = (u16, u64)>) {
        self.duties = slots.into_iter().collect();
    }

    /// The life of the node that it holds as.
    pub fn life(&self) -> Option<u64> {
        self.me
    }

    /// The keys whose windows are over go.
    pub fn expire(&mut self, now: u64) {
        while let Some((_, key)) = self.ends.first().copied().filter(|(until, _)| *until <= now) {
            self.remove(key);
            self.gone.insert(key);
        }
    }

    /// The keys that have gone since this was last asked.
    pub fn take_gone(&mut self) -> BTreeSet<KeyId> {
        std::mem::take(&mut self.gone)
    }

    /// When the next one goes, in ms.
    pub fn next_end(&self) -> Option<u64> {
        self.ends.first().map(|(until, _)| *until)
    }

    /// One register.
    pub fn get(&self, key: KeyId) -> Option<&Held> {
        self.rows.get(&key)
    }

    /// All of them.
    pub fn rows(&self) -> impl Iterator<Item = (KeyId, &Held)> {
        self.rows.iter().map(|(key, held)| (*key, held))
    }

    /// Puts in what was kept over a restart, as this life of the node.
    pub fn restore(&mut self, me: u64, level: u64, rows: impl IntoIterator<Item = (KeyId, Held)>) {
        (self.me, self.level) = (Some(me), level);
        rows.into_iter().for_each(|(key, held)| self.put(key, held));
    }

    /// How many keys there are.
    pub fn standing(&self) -> Standing {
        let mut standing = Standing { keys: self.rows.len(), ..Standing::default() };
        for (_, value) in self.rows.values().filter_map(|held| held.row.accepted.as_ref()) {
            match value.fate {
                Fate::Claimed => standing.claimed += 1,
                Fate::Done(_) => standing.done += 1,
                Fate::Failed => standing.failed += 1,
                Fate::Freed => {}
            }
        }
        standing
    }

    /// Bytes that are taken.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn put(&mut self, key: KeyId, held: Held) {
        self.remove(key);
        self.bytes += held.bytes();
        self.ends.insert((held.until, key));
        self.weigh_in(key, &held.row);
        self.rows.insert(key, held);
    }

    fn weigh_in(&mut self, key: KeyId, row: &Row) {
        let sums = self.sums.entry(key.slot()).or_default();
        sums[key.part()] ^= weigh(key, row);
        if *sums == Sums::default() {
            self.sums.remove(&key.slot());
        }
    }

    fn remove(&mut self, key: KeyId) {
        let Some(held) = self.rows.remove(&key) else { return };
        self.bytes -= held.bytes();
        self.ends.remove(&(held.until, key));
        self.weigh_in(key, &held.row);
    }

    /// Answers a question. Says whether the register is another one than before: what is kept on disk is synced before
    /// the answer goes out.
    pub fn answer(&mut self, now: u64, ask: &Ask) -> (Said, bool) {
        let epoch = self.duties.get(&ask.key.slot()).copied().unwrap_or(0);
        if epoch != ask.epoch {
            return (Said::Elsewhere(epoch), false);
        }
        self.expire(now);
        let before = self.rows.get(&ask.key);
        let left_ms = match &ask.what {
            What::Read => {
                return (Said::Holds(before.and_then(|held| held.row.told())), false);
            }
            What::Prepare { left_ms, .. } | What::Accept { left_ms, .. } => *left_ms,
        };
        let mut held = before.cloned().unwrap_or(Held { row: Row::default(), until: 0 });
        held.until = held.until.max(end(now, left_ms));
        let said = match &ask.what {
            What::Prepare { ballot, .. } => {
                held.row.prepare(*ballot).map(|()| Said::Promised(*ballot, held.row.told()))
            }
            What::Accept { ballot, value, next, .. } => {
                held.row.accept(*ballot, value, *next).map(|()| Said::Accepted(*ballot))
            }
            What::Read => Ok(Said::Holds(None)),
        };
        let said = match said {
            Ok(said) => said,
            Err(higher) => return (Said::Outbid(higher, held.row.told()), false),
        };
        if !self.fits(ask.key, &held) {
            return (Said::Full, false);
        }
        let changed = self.rows.get(&ask.key).is_none_or(|before| before.row != held.row);
        self.put(ask.key, held);
        (said, changed)
    }

    /// Whether there is room for a register as it is to be. One that grows no larger always fits.
    fn fits(&self, key: KeyId, held: &Held) -> bool {
        let before = self.rows.get(&key).map_or(0, Held::bytes);
        let after = held.bytes();
        held.row.result_bytes() <= MOST_RESULT
            && (after <= before || self.bytes - before + after <= self.most_bytes)
    }

    /// What a slot holds, in short.
    pub fn sums(&self, slot: u16) -> Sums {
        self.sums.get(&slot).copied().unwrap_or_default()
    }

    /// Whether a slot is held under an epoch.
    fn holds(&self, slot: u16, epoch: u64) -> bool {
        self.duties.get(&slot) == Some(&epoch)
    }

    /// The ranges in which a slot differs from what another holder has of it under the same epoch; none where this node
    /// does not hold it under that one.
    pub fn differs(&self, slot: u16, epoch: u64, sums: &Sums) -> Option<Parts> {
        let own = self.sums(slot);
        let differing = (0..PARTS).filter(|part| own[*part] != sums[*part]);
        self.holds(slot, epoch).then(|| differing.fold(0, |parts, part| parts | 1 << part))
    }

    /// Some of the keys of a slot, behind the one that is named; none where it is not held under that epoch.
    pub fn page(&self, now: u64, fetch: &super::wire::Fetch) -> Option<Page> {
        if !self.holds(fetch.slot, fetch.epoch) {
            return None;
        }
        let first = KeyId(u128::from(fetch.slot) << 120);
        let from = fetch.after.map_or(first, |after| KeyId(after.0.saturating_add(1)));
        let (mut records, mut bytes) = (Vec::new(), 0);
        for (key, held) in self.rows.range(from..).take_while(|(key, _)| key.slot() == fetch.slot) {
            let Some((ballot, value)) = &held.row.accepted else { continue };
            if fetch.parts & (1 << key.part()) == 0 || held.until <= now {
                continue;
            }
            if bytes >= PAGE_BYTES {
                return Some(Page { records, more: true });
            }
            bytes += ROW_BYTES + held.row.result_bytes();
            let left_ms = u32::try_from(held.until - now).unwrap_or(u32::MAX);
            records.push(Record { key: *key, ballot: *ballot, value: value.clone(), left_ms });
        }
        Some(Page { records, more: false })
    }

    /// Takes over what another holder has of a slot. Says which registers are others than before, and whether there was
    /// room for all of them.
    pub fn learn(&mut self, now: u64, slot: u16, epoch: u64, records: Vec<Record>) -> (Vec<KeyId>, bool) {
        if !self.holds(slot, epoch) {
            return (Vec::new(), false);
        }
        let (mut changed, mut room) = (Vec::new(), true);
        for record in records.into_iter().filter(|record| record.key.slot() == slot) {
            let before = self.rows.get(&record.key);
            let mut held = before.cloned().unwrap_or(Held { row: Row::default(), until: 0 });
            if !held.row.learn(record.ballot, record.value) {
                continue;
            }
            held.until = held.until.max(now + u64::from(record.left_ms));
            if self.fits(record.key, &held) {
                self.put(record.key, held);
                changed.push(record.key);
            } else {
                room = false;
            }
        }
        (changed, room)
    }

    /// The slots that this node holds or is to hold, with their epochs.
    pub fn slots(&self) -> impl Iterator<Item = (u16, u64)> {
        self.duties.iter().map(|(slot, epoch)| (*slot, *epoch))
    }
}
