//! Who holds which slot, as part of the agreed view. While the holders of a slot change, a majority of those before and
//! one of those to come are needed for anything (joint majorities, as in Raft, Ongaro 2014, 4.3), until each of those to
//! come has all that those before had and the store is told so.

use serde::{Deserialize, Serialize};

use super::key::SLOTS;
use super::place::Field;

/// Holders of a key at the most.
pub const MOST_COPIES: u8 = 7;

/// What the whole fleet keeps to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Terms {
    /// Holders of each key, 1 to [`MOST_COPIES`].
    pub copies: u8,
    /// The longest window of a key, in ms.
    pub window_ms: u64,
}

/// The holders of one slot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Slot {
    /// The number of the view with which this was last changed: voices of one epoch are counted together.
    pub epoch: u64,
    /// Those that have what was chosen.
    pub active: Vec<u64>,
    /// Those that are to hold it, where they are others.
    pub pending: Option<Vec<u64>>,
}

/// The slots.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slots {
    terms: Option<Terms>,
    slots: Vec<Slot>,
}

fn majority(of: &[u64], yes: &impl Fn(u64) -> bool) -> bool {
    of.iter().filter(|id| yes(**id)).count() * 2 > of.len()
}

impl Slot {
    /// Whether those that say yes are enough: a majority of those before and one of those to come.
    pub fn enough(&self, yes: impl Fn(u64) -> bool) -> bool {
        majority(&self.active, &yes) && self.pending.as_ref().is_none_or(|pending| majority(pending, &yes))
    }

    /// Whether those that say yes are a majority of those that have what was chosen.
    pub fn knows(&self, yes: impl Fn(u64) -> bool) -> bool {
        majority(&self.active, &yes)
    }

    /// All holders, before and to come, each once.
    pub fn members(&self) -> impl Iterator<Item = u64> {
        let new = self.pending.iter().flatten().filter(|id| !self.active.contains(id));
        self.active.iter().chain(new).copied()
    }

    /// Whether a node holds it, or is to.
    pub fn has(&self, id: u64) -> bool {
        self.members().any(|member| member == id)
    }

    /// Which of those to come gathers from the others that they have everything.
    pub fn gatherer(&self, slot: u16) -> Option<u64> {
        let pending = self.pending.as_ref().filter(|pending| !pending.is_empty())?;
        Some(pending[usize::from(slot) % pending.len()])
    }

    fn turn_to(&mut self, number: u64, wanted: Vec<u64>) {
        if wanted.is_empty() {
            // Nobody is there: what was held is found with those that had it.
            return;
        }
        if self.active.is_empty() {
            *self = Self { epoch: number, active: wanted, pending: None };
            return;
        }
        let pending = (wanted != self.active).then_some(wanted);
        if pending != self.pending {
            (self.epoch, self.pending) = (number, pending);
        }
    }
}

impl Slots {
    /// What the fleet keeps to; none where nothing is copied.
    pub fn terms(&self) -> Option<Terms> {
        self.terms
    }

    /// Changes that, with the view of this number.
    pub fn set_terms(&mut self, terms: Terms) {
        self.terms = Some(terms);
        self.slots.resize(SLOTS.into(), Slot::default());
    }

    /// One slot; none where nothing is copied.
    pub fn get(&self, slot: u16) -> Option<&Slot> {
        self.slots.get(usize::from(slot))
    }

    /// All of them, by number.
    pub fn all(&self) -> impl Iterator<Item = (u16, &Slot)> {
        (0..SLOTS).zip(&self.slots)
    }

    /// Whether a node holds any slot still, or is to.
    pub fn need(&self, id: u64) -> bool {
        self.slots.iter().any(|slot| slot.has(id))
    }

    /// Turns to those that can hold copies by the view of this number.
    pub fn turn_to(&mut self, number: u64, field: &Field) {
        let Some(terms) = self.terms else { return };
        for (at, slot) in (0..SLOTS).zip(&mut self.slots) {
            slot.turn_to(number, field.choose(at, terms.copies));
        }
    }

    /// Takes out those before of the slots whose holders to come have everything, as of the epoch that is named. Says
    /// whether anything is changed.
    pub fn settle(&mut self, number: u64, settled: &[(u16, u64)]) -> bool {
        let mut changed = false;
        for (at, epoch) in settled {
            let slot = self.slots.get_mut(usize::from(*at)).filter(|slot| slot.epoch == *epoch);
            if let Some(slot) = slot
                && let Some(pending) = slot.pending.take()
            {
                (slot.active, slot.epoch) = (pending, number);
                changed = true;
            }
        }
        changed
    }
}
