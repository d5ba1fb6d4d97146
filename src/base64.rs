//! Bytes as JSON text, for fields of serde's.

use ::base64::Engine;
use ::base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serializer};

/// Bytes to text.
pub(crate) fn serialize<S: Serializer>(body: &Bytes, to: S) -> Result<S::Ok, S::Error> {
    to.serialize_str(&STANDARD.encode(body))
}

/// Text, where there is any, to bytes.
pub(crate) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Bytes, D::Error> {
    let text = Option::<String>::deserialize(from)?.unwrap_or_default();
    STANDARD.decode(text).map(Bytes::from).map_err(D::Error::custom)
}
