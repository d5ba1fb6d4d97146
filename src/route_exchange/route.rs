//! A route: which requests are served by which servers, with the sites that it came through and its restrictions.

use std::borrow::Borrow;
use std::collections::BTreeSet;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use ipnet::IpNet;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::restrict::Restrictions;

/// Bytes of a name.
pub const MOST_NAME: usize = 64;
/// Servers of a route.
pub const MOST_SERVERS: usize = 32;
/// Sites that a route may come through.
pub const MOST_PATH: usize = 16;

/// The name of a site, group, class, tenant or route: printable, and bounded.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(try_from = "String", into = "String")]
#[schemars(with = "String")]
pub struct Name(Arc<str>);

/// What is no name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("a name has 1 to {MOST_NAME} printable characters of ASCII without blanks")]
pub struct NoName;

impl Name {
    /// One of hexadecimal digits.
    pub(super) fn of_hex(digits: &str) -> Self {
        Self(digits.into())
    }

    /// Its text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<&str> for Name {
    type Error = NoName;

    fn try_from(text: &str) -> Result<Self, NoName> {
        let is_name =
            (1..=MOST_NAME).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_graphic());
        if is_name { Ok(Self(text.into())) } else { Err(NoName) }
    }
}

impl TryFrom<String> for Name {
    type Error = NoName;

    fn try_from(text: String) -> Result<Self, NoName> {
        text.as_str().try_into()
    }
}

impl From<Name> for String {
    fn from(name: Name) -> Self {
        name.0.as_ref().to_owned()
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The subjects from one number to another, both of them in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Subjects {
    /// The first.
    pub first: u64,
    /// The last.
    pub last: u64,
}

impl Subjects {
    /// All of them.
    pub const ALL: Self = Self { first: 0, last: u64::MAX };

    /// Whether a subject is one of them.
    #[inline]
    pub fn contains(&self, subject: u64) -> bool {
        (self.first..=self.last).contains(&subject)
    }

    /// Whether all of the others are among them.
    pub fn covers(&self, other: &Self) -> bool {
        self.first <= other.first && other.last <= self.last
    }

    fn is_all(&self) -> bool {
        *self == Self::ALL
    }
}

impl Default for Subjects {
    fn default() -> Self {
        Self::ALL
    }
}

/// Which requests are meant. What is not named may be anything.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Match {
    /// Of this class.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<Name>,
    /// Of this tenant.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenant: Option<Name>,
    /// About these subjects.
    #[serde(default, skip_serializing_if = "Subjects::is_all")]
    pub subjects: Subjects,
    /// From these addresses.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<String>")]
    pub addresses: Option<IpNet>,
}

/// What a request is, as far as routes go by it.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Its class.
    pub class: &'a str,
    /// Its tenant, where it names one.
    pub tenant: Option<&'a str>,
    /// Its subject.
    pub subject: u64,
    /// Where it comes from.
    pub address: IpAddr,
}

impl Match {
    /// Whether a request is meant.
    pub fn fits(&self, request: &Request) -> bool {
        self.class.as_ref().is_none_or(|class| class.0.as_ref() == request.class)
            && self.tenant.as_ref().is_none_or(|tenant| Some(tenant.0.as_ref()) == request.tenant)
            && self.subjects.contains(request.subject)
            && self.addresses.is_none_or(|net| net.contains(&request.address))
    }

    /// Whether every request that the other means is meant.
    pub fn covers(&self, other: &Self) -> bool {
        self.class.as_ref().is_none_or(|class| Some(class) == other.class.as_ref())
            && self.tenant.as_ref().is_none_or(|tenant| Some(tenant) == other.tenant.as_ref())
            && self.subjects.covers(&other.subjects)
            && self.addresses.is_none_or(|net| other.addresses.is_some_and(|narrow| net.contains(&narrow)))
    }

    /// Whether some request is meant by both.
    pub fn meets(&self, other: &Self) -> bool {
        let alike = |one: &Option<Name>, two: &Option<Name>| one.is_none() || two.is_none() || one == two;
        let nets = match (&self.addresses, &other.addresses) {
            (Some(one), Some(two)) => one.contains(two) || two.contains(one),
            _ => true,
        };
        alike(&self.class, &other.class)
            && alike(&self.tenant, &other.tenant)
            && self.subjects.first <= other.subjects.last
            && other.subjects.first <= self.subjects.last
            && nets
    }
}

/// A route, as the site that holds it has it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, JsonSchema)]
pub struct Route {
    /// Its name in the table of the site that tells it.
    pub name: Name,
    /// Which requests it serves.
    #[serde(rename = "match")]
    pub matches: Match,
    /// Who serves them.
    #[schemars(with = "BTreeSet<String>")]
    pub servers: BTreeSet<SocketAddr>,
    /// The higher goes before the lower. It stays as the first site set it, however far the route goes.
    pub preference: u32,
    /// Requests a second that it is good for.
    pub capacity: u64,
    /// The sites that it came through, the nearest first; empty for one of this site.
    pub path: Vec<Name>,
    /// Further sites that parts of it came through, where it is made of several.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub through: BTreeSet<Name>,
    /// Who may be told.
    pub restrictions: Restrictions,
}

impl Route {
    /// Whether it came through a site, as a whole or in a part.
    pub fn came_through(&self, site: &Name) -> bool {
        self.path.contains(site) || self.through.contains(site)
    }
}
