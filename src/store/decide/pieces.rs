//! A snapshot that comes in pieces. What has come stays over a link that breaks, so the next one goes on there; the
//! whole counts only when its digest is the one that was announced.

use serde::{Deserialize, Serialize};

/// The digest of some bytes.
pub type Digest = [u8; 32];

/// The digest of these bytes.
pub fn digest(bytes: &[u8]) -> Digest {
    *blake3::hash(bytes).as_bytes()
}

/// Bytes of a piece at the most.
pub const PIECE_BYTES: usize = 128 * 1024;

/// What a snapshot is known by before its first piece.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announced {
    /// Its length in bytes.
    pub length: usize,
    /// Its digest.
    pub digest: Digest,
}

/// Why a piece or a snapshot is not taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum PieceError {
    /// It is larger than the store can be.
    #[error("a snapshot of {0} bytes, over {1}")]
    TooLong(usize, usize),
    /// Nothing was announced, or something else.
    #[error("a piece of a snapshot that was not announced")]
    NotAnnounced,
    /// The piece begins elsewhere, or goes past the end.
    #[error("a piece at {at} where {have} bytes are there")]
    Gap {
        /// Where it begins.
        at: usize,
        /// What is there.
        have: usize,
    },
    /// All is there, and it is not what was announced.
    #[error("the snapshot's digest is not the one that was announced")]
    Damaged,
}

/// What has come of one snapshot.
#[derive(Debug, Default)]
pub struct Arriving {
    announced: Option<Announced>,
    bytes: Vec<u8>,
}

impl Arriving {
    /// Begins a snapshot, or goes on with the one that is under way. Returns how many bytes are there.
    ///
    /// # Errors
    /// It is longer than `most` bytes.
    pub fn announce(&mut self, announced: &Announced, most: usize) -> Result<usize, PieceError> {
        if announced.length > most {
            return Err(PieceError::TooLong(announced.length, most));
        }
        if self.announced.as_ref() != Some(announced) {
            *self = Self { announced: Some(announced.clone()), bytes: Vec::new() };
        }
        Ok(self.bytes.len())
    }

    /// Takes a piece that begins at `at`. One that came before is passed over. Returns how many bytes are there.
    ///
    /// # Errors
    /// It leaves a gap, goes past the end, or nothing was announced under this digest.
    pub fn take(&mut self, of: &Digest, at: usize, piece: &[u8]) -> Result<usize, PieceError> {
        let announced = self.announced.as_ref().filter(|announced| announced.digest == *of);
        let length = announced.ok_or(PieceError::NotAnnounced)?.length;
        let have = self.bytes.len();
        let end = at.checked_add(piece.len()).filter(|end| *end <= length && at <= have);
        match end {
            None => Err(PieceError::Gap { at, have }),
            Some(end) if end <= have => Ok(have),
            Some(_) => {
                self.bytes.extend_from_slice(&piece[have - at..]);
                Ok(self.bytes.len())
            }
        }
    }

    /// The whole snapshot. It begins anew where it is damaged.
    ///
    /// # Errors
    /// Something is missing, or the digest is another.
    pub fn finish(&mut self, of: &Digest) -> Result<Vec<u8>, PieceError> {
        let announced = self.announced.as_ref().filter(|announced| announced.digest == *of);
        let length = announced.ok_or(PieceError::NotAnnounced)?.length;
        if self.bytes.len() != length {
            return Err(PieceError::Gap { at: length, have: self.bytes.len() });
        }
        let bytes = std::mem::take(self).bytes;
        if digest(&bytes) == *of { Ok(bytes) } else { Err(PieceError::Damaged) }
    }
}
