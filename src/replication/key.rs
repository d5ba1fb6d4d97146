//! What a key is known by in the whole fleet: the same for all nodes, whatever they were built with.

use serde::{Deserialize, Serialize};

/// Parts of the space of keys that have holders of their own.
pub const SLOTS: u16 = 256;
/// Ranges of a slot that are compared and made good apart.
pub const PARTS: usize = 16;

/// A key in short: blake3 over the name of its class and the key, so that two are never alike by chance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyId(pub u128);

/// The body of a request in short. Two that differ are told apart at any node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Body(pub u128);

fn short(parts: &[&[u8]]) -> u128 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut first = [0; 16];
    hasher.finalize_xof().fill(&mut first);
    u128::from_le_bytes(first)
}

impl KeyId {
    /// That of an operation of a class.
    pub fn of(class: &str, operation: &str) -> Self {
        Self(short(&[class.as_bytes(), operation.as_bytes()]))
    }

    /// The slot that it lies in.
    pub fn slot(self) -> u16 {
        (self.0 >> 120) as u16
    }

    /// The range within its slot.
    pub fn part(self) -> usize {
        (self.0 >> 116) as usize % PARTS
    }
}

impl Body {
    /// That of these bytes.
    pub fn of(body: &[u8]) -> Self {
        Self(short(&[body]))
    }
}
