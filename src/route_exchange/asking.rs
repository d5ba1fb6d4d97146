//! What is asked over HTTP, and what nodes of one fleet tell each other: `GET /routes?for=SITE&after=NUMBER.SERIAL&wait_ms=MS`
//! by a partner, answered by a [`Document`](super::table::Document), and `GET /fleet?after=..&wait_ms=..` by a node,
//! answered by a [`Feed`].

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::merge::Held;
use super::route::{Name, NoName, Route};
use super::table::Version;

/// Where partners ask.
pub const ROUTES: &str = "/routes";
/// Where nodes of the fleet ask.
pub const FLEET: &str = "/fleet";
/// Where anybody gets the schema of what partners are told.
pub const SCHEMA: &str = "/schema";
/// The number of the duty under which it was answered that nothing is new.
pub const NUMBER: &str = "sillflow-number";
/// An answer waits for news so long at the most.
pub const MOST_WAIT: Duration = Duration::from_secs(10);

/// A question.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Asked {
    /// Who asks, where it is a partner.
    pub site: Option<Name>,
    /// What it has; nothing where it needs all.
    pub after: Option<Version>,
    /// How long the answer may wait for something new.
    pub wait: Duration,
}

/// What is no question.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum BadAsked {
    /// A name that is none.
    #[error("for: {0}")]
    Name(#[from] NoName),
    /// Another form.
    #[error("{key}: '{value}' {why}")]
    Value {
        /// Of which field.
        key: String,
        /// What is there.
        value: String,
        /// What is wrong with it.
        why: &'static str,
    },
}

impl Asked {
    /// Reads the part of an address behind the question mark.
    ///
    /// # Errors
    /// A field that is not known, or cannot be read.
    pub fn read(query: &str) -> Result<Self, BadAsked> {
        let mut asked = Self { site: None, after: None, wait: Duration::ZERO };
        for (key, value) in form_urlencoded::parse(query.as_bytes()) {
            let bad = |why| BadAsked::Value { key: key.to_string(), value: value.to_string(), why };
            match key.as_ref() {
                "for" => asked.site = Some(value.as_ref().try_into()?),
                "after" => {
                    asked.after = Some(read_version(&value).ok_or_else(|| bad("is no NUMBER.SERIAL"))?);
                }
                "wait_ms" => {
                    let ms = value.parse().map_err(|_| bad("is no whole number of ms"))?;
                    asked.wait = Duration::from_millis(ms).min(MOST_WAIT);
                }
                _ => return Err(bad("is not known")),
            }
        }
        Ok(asked)
    }

    /// The same as it is sent.
    pub fn query(&self) -> String {
        let mut query = form_urlencoded::Serializer::new(String::new());
        if let Some(site) = &self.site {
            query.append_pair("for", site.as_str());
        }
        if let Some(Version { term, serial }) = self.after {
            query.append_pair("after", &format!("{term}.{serial}"));
        }
        query.append_pair("wait_ms", &self.wait.as_millis().to_string());
        query.finish()
    }
}

fn read_version(text: &str) -> Option<Version> {
    let (term, serial) = text.split_once('.')?;
    Some(Version { term: term.parse().ok()?, serial: serial.parse().ok()? })
}

/// One route of the merged table, with whom it is from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// The partner that told it, or this site.
    pub from: Name,
    /// The route, with all that makes it tighter.
    pub route: Arc<Route>,
    /// Whether it is told to nobody.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub withdrawn: bool,
}

impl From<&Held> for Told {
    fn from(held: &Held) -> Self {
        Self { from: held.from.clone(), route: held.route.clone(), withdrawn: held.withdrawn }
    }
}

impl From<Told> for Held {
    fn from(told: Told) -> Self {
        Self { from: told.from, route: told.route, withdrawn: told.withdrawn }
    }
}

/// How a partner's table stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// The version that the next one has to be above.
    pub seen: Version,
    /// For how long it has been stale, in ms.
    pub stale_ms: u64,
}

/// The merged table as the duty's holder tells it to the nodes, or the differences from a version. It is also what a node
/// keeps, and what the next holder begins with. What a newer program adds is passed over: it is used here alone, and told on by
/// nobody before the partner has said it again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Feed {
    /// The node that holds the duty.
    pub by: String,
    /// What the table is after it.
    pub version: Version,
    /// What it has to be before it; nothing where this is all of it.
    pub from: Option<Version>,
    /// Routes after it.
    pub count: usize,
    /// The partners.
    pub partners: BTreeMap<Name, Line>,
    /// Those that are new or changed.
    pub routes: Vec<Told>,
    /// Those that are gone: whose, and which.
    pub gone: Vec<(Name, Name)>,
}
