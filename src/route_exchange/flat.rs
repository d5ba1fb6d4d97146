//! A persistent map by numbers that is one flat table for as long as it is small: a look-up reads a line of memory or two
//! of it, where a tree of hashes reads some of each of its levels. A change copies it, which its bound makes cheap.

use std::hash::Hash;
use std::sync::Arc;

use foldhash::fast::RandomState;
use imbl::GenericHashMap;
use imbl::shared_ptr::DefaultSharedPtr;

/// Entries up to which it is flat, and down to which it becomes flat again.
const FLAT: usize = 128;
const FLAT_AGAIN: usize = 64;

/// A number by which it is found.
pub(super) trait Number: Copy + Eq + Hash {
    /// What of it is spread over the table.
    fn bits(self) -> u64;
}

impl Number for u64 {
    fn bits(self) -> u64 {
        self
    }
}

impl Number for u128 {
    fn bits(self) -> u64 {
        (self as u64) ^ (self >> 64) as u64
    }
}

type Slots<K, V> = Arc<[Option<(K, V)>]>;

#[derive(Clone, Debug)]
pub(super) enum Flat<K, V> {
    /// At most half full; an entry is in the first free slot from its own one on.
    Slots(Slots<K, V>, usize),
    Tree(GenericHashMap<K, V, RandomState, DefaultSharedPtr>),
}

impl<K, V> Default for Flat<K, V> {
    fn default() -> Self {
        Self::Slots(Arc::default(), 0)
    }
}

/// Its own slot, of a power of two (Knuth, The Art of Computer Programming, 6.4: multiplicative hashing).
fn own_slot(key: impl Number, slots: usize) -> usize {
    let spread = key.bits().wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (spread >> 32) as usize & (slots - 1)
}

fn table<K: Number, V: Clone>(entries: impl Iterator<Item = (K, V)>, len: usize) -> Slots<K, V> {
    if len == 0 {
        return Arc::default();
    }
    let mut slots = vec![None; (2 * len).next_power_of_two()];
    for (key, value) in entries {
        let mut at = own_slot(key, slots.len());
        while slots[at].is_some() {
            at = (at + 1) & (slots.len() - 1);
        }
        slots[at] = Some((key, value));
    }
    slots.into()
}

impl<K: Number, V: Clone> Flat<K, V> {
    pub(super) fn len(&self) -> usize {
        match self {
            Self::Slots(_, len) => *len,
            Self::Tree(tree) => tree.len(),
        }
    }

    pub(super) fn get(&self, key: K) -> Option<&V> {
        let slots = match self {
            Self::Slots(slots, _) if slots.is_empty() => return None,
            Self::Slots(slots, _) => slots,
            Self::Tree(tree) => return tree.get(&key),
        };
        let mut at = own_slot(key, slots.len());
        while let Some((there, value)) = &slots[at] {
            if *there == key {
                return Some(value);
            }
            at = (at + 1) & (slots.len() - 1);
        }
        None
    }

    /// Has this value under a key, or none.
    pub(super) fn put(&mut self, key: K, value: Option<V>) {
        match self {
            Self::Slots(slots, len) => {
                let others = slots.iter().flatten().filter(|(other, _)| *other != key).cloned();
                let all: Vec<(K, V)> = others.chain(value.map(|value| (key, value))).collect();
                *len = all.len();
                *self = if *len > FLAT {
                    Self::Tree(all.into_iter().collect())
                } else {
                    Self::Slots(table(all.into_iter(), *len), *len)
                };
            }
            Self::Tree(tree) => {
                match value {
                    Some(value) => drop(tree.insert(key, value)),
                    None => drop(tree.remove(&key)),
                }
                if tree.len() <= FLAT_AGAIN {
                    let all = tree.iter().map(|(key, value)| (*key, value.clone()));
                    *self = Self::Slots(table(all, tree.len()), tree.len());
                }
            }
        }
    }

    pub(super) fn values(&self) -> impl Iterator<Item = &V> {
        let (slots, tree) = match self {
            Self::Slots(slots, _) => (Some(slots), None),
            Self::Tree(tree) => (None, Some(tree)),
        };
        let flat = slots.into_iter().flat_map(|slots| slots.iter().flatten().map(|(_, value)| value));
        flat.chain(tree.into_iter().flat_map(|tree| tree.values()))
    }
}
