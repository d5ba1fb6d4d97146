//! Restrictions on who may be told a route: a lattice whose meet is what a route made of several carries.

use std::collections::{BTreeMap, BTreeSet};

use schemars::JsonSchema;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use thiserror::Error;

use super::route::{Name, Route};
use crate::fault_injection::{self, InjectedFault};

/// Clauses and names that one route may carry, each; with more it is told to nobody.
pub const MOST_CLAUSES: usize = 16;
/// Names that are excluded, or tenants that are named.
pub const MOST_NAMED: usize = 64;

/// A site, or a group of sites as the operator's file has it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Audience {
    /// One site.
    Site(Name),
    /// All sites of a group.
    Group(Name),
}

/// One restriction, as it is written in a table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "kind", rename_all = "lowercase", deny_unknown_fields)]
pub enum Restriction {
    /// Nobody else is told.
    Nobody {},
    /// Only these are told.
    Only {
        /// Any of these.
        to: BTreeSet<Audience>,
    },
    /// These are not told.
    Not {
        /// None of these.
        to: BTreeSet<Audience>,
    },
    /// It may pass so many sites further.
    Further {
        /// Beyond the one that has it.
        sites: u32,
    },
    /// It serves these tenants only.
    Tenants {
        /// Any of these.
        names: BTreeSet<Name>,
    },
    /// It ends at this time.
    Until {
        /// In ms since 1970 (UTC).
        ms: u64,
    },
    /// It is no part of a wider route.
    Unmerged {},
}

/// All restrictions of a route, in one form for all that means the same to `meet`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Restrictions {
    /// Each of these has to have who is told among it. A clause of nobody is there alone, with nothing in `not`.
    only: BTreeSet<BTreeSet<Audience>>,
    not: BTreeSet<Audience>,
    /// Sites further; nothing where there is no bound.
    further: Option<u32>,
    tenants: Option<BTreeSet<Name>>,
    until: Option<u64>,
    unmerged: bool,
}

/// Why a site may not have a route.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Withheld {
    /// It came through that site, or begins there.
    #[error("it came through that site")]
    Loop,
    /// It is for nobody else, or has come as far as it may.
    #[error("it may go no further")]
    NoFurther,
    /// That site is not among those that may have it.
    #[error("the site is not among those that it is for")]
    NotNamed,
    /// That site is one of those that may not have it.
    #[error("the site is one of those that it is not for")]
    Excluded,
    /// It has ended.
    #[error("it has ended")]
    Ended,
    /// No tenant may use it.
    #[error("no tenant may use it")]
    NoTenant,
}

/// The sites and groups that the operator's file knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sites {
    groups: BTreeMap<Name, BTreeSet<Name>>,
}

impl Sites {
    /// Of groups with their members.
    pub fn new(groups: BTreeMap<Name, BTreeSet<Name>>) -> Self {
        Self { groups }
    }

    /// Whether a site is meant. Nobody is known to be of a group that the file does not name.
    fn among(&self, audience: &Audience, site: &Name) -> bool {
        match audience {
            Audience::Site(name) => name == site,
            Audience::Group(group) => self.groups.get(group).is_some_and(|members| members.contains(site)),
        }
    }

    /// Whether a site may be meant: anybody may be of a group that the file does not name.
    fn may_be_among(&self, audience: &Audience, site: &Name) -> bool {
        match audience {
            Audience::Group(group) if !self.groups.contains_key(group) => true,
            _ => self.among(audience, site),
        }
    }
}

impl Restrictions {
    /// The bottom of the lattice: told to nobody, merged into nothing, and of use to no tenant. What is not understood is
    /// taken for it.
    pub fn tightest() -> Self {
        let tenants = Some(BTreeSet::new());
        Self { further: Some(0), tenants, until: Some(0), unmerged: true, ..Self::default() }.normal()
    }

    /// Told to nobody and merged into nothing, and used as before.
    pub fn tightest_export() -> Self {
        Self { further: Some(0), unmerged: true, ..Self::default() }.normal()
    }

    /// One restriction by itself.
    pub fn one(restriction: Restriction) -> Self {
        let none = Self::default();
        let alone = match restriction {
            Restriction::Nobody {} => Self { further: Some(0), ..none },
            Restriction::Only { to } => Self { only: BTreeSet::from([to]), ..none },
            Restriction::Not { to } => Self { not: to, ..none },
            Restriction::Further { sites } => Self { further: Some(sites), ..none },
            Restriction::Tenants { names } => Self { tenants: Some(names), ..none },
            Restriction::Until { ms } => Self { until: Some(ms), ..none },
            Restriction::Unmerged {} => Self { unmerged: true, ..none },
        };
        alone.normal()
    }

    /// What both allow: the greatest that is no looser than either. It is commutative, associative and idempotent.
    #[must_use]
    pub fn meet(&self, other: &Self) -> Self {
        if fault_injection::is_active(InjectedFault::MeetIsJoin) {
            return if self.further >= other.further { self.clone() } else { other.clone() };
        }
        let tenants = match (&self.tenants, &other.tenants) {
            (Some(one), Some(two)) => Some(one.intersection(two).cloned().collect()),
            (one, two) => one.clone().or_else(|| two.clone()),
        };
        Self {
            only: self.only.union(&other.only).cloned().collect(),
            not: self.not.union(&other.not).cloned().collect(),
            further: least(self.further, other.further),
            tenants,
            until: least(self.until, other.until),
            unmerged: self.unmerged || other.unmerged,
        }
        .normal()
    }

    /// What a route made of all of these carries; without parts it is the tightest.
    pub fn of_all<'a>(parts: impl IntoIterator<Item = &'a Self>) -> Self {
        let mut parts = parts.into_iter();
        let Some(first) = parts.next() else { return Self::tightest() };
        parts.fold(first.clone(), |all, part| all.meet(part))
    }

    /// Whether whoever may have this may have it under the other as well.
    pub fn no_looser(&self, than: &Self) -> bool {
        self.meet(than) == *self
    }

    /// Nobody is written in one way, and so is what is too much to carry. Both absorb all that is met with them, which
    /// keeps the meet associative.
    fn normal(mut self) -> Self {
        let too_much = self.only.len() > MOST_CLAUSES || self.not.len() > MOST_NAMED;
        if too_much || self.further == Some(0) || self.only.iter().any(BTreeSet::is_empty) {
            self.only = BTreeSet::from([BTreeSet::new()]);
            self.not.clear();
            self.further = Some(0);
        }
        self
    }

    /// As the next site has it: one site less to go.
    #[must_use]
    pub fn passed_on(&self) -> Self {
        let one = u32::from(!fault_injection::is_active(InjectedFault::NotDecreased));
        Self { further: self.further.map(|sites| sites.saturating_sub(one)), ..self.clone() }.normal()
    }

    /// Whether nobody else may be told.
    pub fn is_for_nobody(&self) -> bool {
        self.further == Some(0)
    }

    /// Whether it may be part of a wider route.
    pub fn may_widen(&self) -> bool {
        !self.unmerged || fault_injection::is_active(InjectedFault::UnmergedIsMerged)
    }

    /// When it ends, in ms since 1970 (UTC).
    pub fn until(&self) -> Option<u64> {
        self.until
    }

    /// Whether it has ended.
    #[inline]
    pub fn has_ended(&self, now: u64) -> bool {
        self.until.is_some_and(|end| end <= now)
    }

    /// Whether it may be used for every tenant, at any time.
    pub fn always_serves(&self) -> bool {
        self.tenants.is_none() && self.until.is_none()
    }

    /// Whether it may be used for a tenant now, in ms since 1970 (UTC).
    #[inline]
    pub fn serves(&self, tenant: Option<&str>, now: u64) -> bool {
        let named = |tenants: &BTreeSet<Name>| tenant.is_some_and(|tenant| tenants.contains(tenant));
        !self.has_ended(now) && self.tenants.as_ref().is_none_or(named)
    }

    /// As it is written in a table.
    pub fn written(&self) -> Vec<Restriction> {
        let mut all = Vec::new();
        if self.is_for_nobody() {
            all.push(Restriction::Nobody {});
        } else {
            all.extend(self.only.iter().map(|to| Restriction::Only { to: to.clone() }));
            if !self.not.is_empty() {
                all.push(Restriction::Not { to: self.not.clone() });
            }
            all.extend(self.further.map(|sites| Restriction::Further { sites }));
        }
        all.extend(self.tenants.clone().map(|names| Restriction::Tenants { names }));
        all.extend(self.until.map(|ms| Restriction::Until { ms }));
        if self.unmerged {
            all.push(Restriction::Unmerged {});
        }
        all
    }
}

impl FromIterator<Restriction> for Restrictions {
    fn from_iter<I: IntoIterator<Item = Restriction>>(all: I) -> Self {
        all.into_iter().fold(Self::default(), |so_far, one| so_far.meet(&Self::one(one)))
    }
}

fn least<T: Ord>(one: Option<T>, two: Option<T>) -> Option<T> {
    match (one, two) {
        (Some(one), Some(two)) => Some(one.min(two)),
        (one, two) => one.or(two),
    }
}

/// Whether a site may be told a route that is held here; `now` is in ms since 1970 (UTC).
///
/// # Errors
/// The reason why not.
pub fn may_tell(route: &Route, to: &Name, sites: &Sites, now: u64) -> Result<(), Withheld> {
    let Restrictions { only, not, further, tenants, .. } = &route.restrictions;
    if route.came_through(to) && !fault_injection::is_active(InjectedFault::LoopIsTold) {
        return Err(Withheld::Loop);
    }
    if *further == Some(0) {
        return Err(Withheld::NoFurther);
    }
    if route.restrictions.has_ended(now) {
        return Err(Withheld::Ended);
    }
    if tenants.as_ref().is_some_and(BTreeSet::is_empty) {
        return Err(Withheld::NoTenant);
    }
    if !only.iter().all(|clause| clause.iter().any(|audience| sites.among(audience, to))) {
        return Err(Withheld::NotNamed);
    }
    if not.iter().any(|audience| sites.may_be_among(audience, to)) {
        return Err(Withheld::Excluded);
    }
    Ok(())
}

impl Serialize for Restrictions {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.written().serialize(serializer)
    }
}

/// One that is read, or is not understood: a newer kind, or a field that narrows a known one further.
#[derive(Deserialize)]
#[serde(untagged)]
enum Read {
    Known(Restriction),
    Unknown(serde::de::IgnoredAny),
}

impl<'de> Deserialize<'de> for Restrictions {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let all = Vec::<Read>::deserialize(deserializer)?;
        let one = |read| match read {
            Read::Known(known) => Self::one(known),
            Read::Unknown(_) => Self::tightest(),
        };
        Ok(all.into_iter().map(one).fold(Self::default(), |so_far, one| so_far.meet(&one)))
    }
}

impl JsonSchema for Restrictions {
    fn schema_name() -> std::borrow::Cow<'static, str> {
        "Restrictions".into()
    }

    fn json_schema(generator: &mut schemars::SchemaGenerator) -> schemars::Schema {
        Vec::<Restriction>::json_schema(generator)
    }
}
