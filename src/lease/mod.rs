//! Duties: what only one node of the fleet may do at a time. Each node has one session in the store, and its duties stand
//! under that; every effect of a duty carries the duty's number, and who takes effects turns down a lower one.
//!
//! What is promised stands in `docs/design-duties.md`. `lease`, `table`, `assign`, `own` and `fence` decide, without I/O but
//! for the guard's file; `pass` is what a node's next process gets; `hold` has the tasks, `ask` their way to the
//! store, `vouch` the way of those who are told of a holder.

mod ask;
pub mod assign;
pub mod expiry;
pub mod fence;
pub mod heartbeat;
pub mod hold;
pub mod own;
pub mod pass;
pub mod table;
pub mod vouch;

use std::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error;

pub use fence::{Fence, Guard, Stale};
pub use hold::{Held, Lost};
pub use vouch::{Unproved, Vouched, Voucher};

/// Bytes of a duty's name at the most.
pub const MOST_NAME: usize = 128;
/// Duties of an installation at the most.
pub const MOST_DUTIES: usize = 4096;
/// Bytes of the state that is handed on with a duty at the most.
pub const MOST_STATE: usize = 4096;

/// The name of a duty.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct DutyName(String);

/// Why a name is none of a duty.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("a duty's name '{0}' is empty or over {MOST_NAME} bytes")]
pub struct BadName(pub String);

impl DutyName {
    /// A duty of this name.
    ///
    /// # Errors
    /// The name is empty or over [`MOST_NAME`] bytes.
    pub fn new(name: impl Into<String>) -> Result<Self, BadName> {
        let name = name.into();
        if name.is_empty() || name.len() > MOST_NAME { Err(BadName(name)) } else { Ok(Self(name)) }
    }

    /// The name.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for DutyName {
    type Error = BadName;

    fn try_from(name: String) -> Result<Self, BadName> {
        Self::new(name)
    }
}

impl From<DutyName> for String {
    fn from(name: DutyName) -> Self {
        name.0
    }
}

impl fmt::Display for DutyName {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.write_str(&self.0)
    }
}
