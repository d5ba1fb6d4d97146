//! What is wrong with a file, value by value.

use std::fmt;

/// A value that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Its key, as a path from the top of the file; empty for the file as a whole.
    pub key: String,
    /// The value; empty where it has no form of its own.
    pub value: String,
    /// Why it cannot be used.
    pub why: String,
}

impl Fault {
    pub(super) fn new(key: impl Into<String>, value: impl fmt::Display, why: impl Into<String>) -> Self {
        Self { key: key.into(), value: value.to_string(), why: why.into() }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        if !self.value.is_empty() {
            write!(f, "{} ", self.value)?;
        }
        f.write_str(&self.why)
    }
}
