//! What may be removed of what stands out: never too many, by number and by capacity, in any zone and on any route; the
//! operator's word first.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::detection::{Outlier, RuleFault, Rules, Scope};

/// A server as it may be removed.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Where it is reached.
    pub server: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its size beside others, above 0.
    pub capacity: f64,
    /// The routes that it is on.
    pub routes: Vec<String>,
}

/// What an operator says of a server. It goes before votes, and beyond the cap.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OperatorOverride {
    /// No vote removes it.
    AlwaysIn,
    /// It is out, whatever votes say.
    OutNow,
}

/// Bounds on what is removed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// The part of a zone's and of a route's servers, and of their capacity, that may be out at once. One of them may
    /// be while the others have half of the capacity.
    pub most_out: f64,
    /// Where more than this part stand out at once, it is the dependency or the network: nobody is removed.
    pub many: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { most_out: 0.3, many: 0.4 }
    }
}

/// What one alone may have of a group's capacity and still be removed.
const MOST_OF_ONE: f64 = 0.5;
/// Servers of a group below which "many at once" has no meaning.
const LEAST_MANY: usize = 4;

/// A server that is out already.
#[derive(Clone, Debug, PartialEq)]
pub struct Ejected {
    /// Which.
    pub server: SocketAddr,
    /// For whom.
    pub scope: Scope,
    /// Whether it went so shortly ago that it counts with those that stand out now.
    pub recent: bool,
}

/// Why one that stands out stays.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// An operator says so.
    Operator,
    /// So many others stand out with it that it is not the server.
    ManyAtOnce {
        /// Where: `all`, a zone or a route.
        group: String,
        /// How many stand out.
        standing_out: usize,
        /// Of how many.
        of: usize,
    },
    /// No more of this group may be out.
    Cap {
        /// Where.
        group: String,
    },
    /// It is no server of this fleet.
    Unknown,
}

/// What is decided.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Decision {
    /// These go.
    pub remove: Vec<Outlier>,
    /// These stay, and why.
    pub kept: Vec<(Outlier, Reason)>,
}

/// Servers that are bounded together.
#[derive(Default)]
struct Group {
    name: String,
    members: BTreeSet<SocketAddr>,
    capacity: f64,
}

fn groups(members: &[Member]) -> Vec<Group> {
    let mut groups: BTreeMap<String, Group> = BTreeMap::new();
    for member in members {
        let routes = member.routes.iter().map(|route| format!("route {route}"));
        for name in routes.chain(["all".to_owned(), format!("zone {}", member.zone)]) {
            let group = groups.entry(name.clone()).or_insert(Group { name, ..Group::default() });
            if group.members.insert(member.server) {
                group.capacity += member.capacity;
            }
        }
    }
    groups.into_values().collect()
}

/// Whether what is out for one scope touches those of another.
fn meets(one: &Scope, other: &Scope) -> bool {
    one == other || *one == Scope::Everywhere || *other == Scope::Everywhere
}

struct Cap<'a> {
    groups: Vec<Group>,
    capacity: BTreeMap<SocketAddr, f64>,
    limits: &'a Limits,
    by_capacity: bool,
}

/// What may go of those that stand out, the worst first.
pub fn decide(
    members: &[Member],
    gone: &[Ejected],
    outliers: &[Outlier],
    words: &BTreeMap<SocketAddr, OperatorOverride>,
    limits: &Limits,
    rules: &Rules,
) -> Decision {
    if outliers.is_empty() {
        return Decision::default();
    }
    let cap = Cap {
        groups: groups(members),
        capacity: members.iter().map(|member| (member.server, member.capacity)).collect(),
        limits,
        by_capacity: rules.injected_fault != Some(RuleFault::CapByNumberOnly),
    };
    let mut out: Vec<(SocketAddr, Scope)> = gone.iter().map(|one| (one.server, one.scope.clone())).collect();
    let by_word = words.iter().filter(|(_, word)| **word == OperatorOverride::OutNow);
    out.extend(by_word.map(|(server, _)| (*server, Scope::Everywhere)));
    let mut standing_out: Vec<(SocketAddr, Scope)> =
        gone.iter().filter(|one| one.recent).map(|one| (one.server, one.scope.clone())).collect();
    standing_out.extend(outliers.iter().map(|one| (one.server, one.scope.clone())));
    let mut worst: Vec<&Outlier> = outliers.iter().collect();
    worst.sort_by(|a, b| b.evidence.total_cmp(&a.evidence).then(a.server.cmp(&b.server)));
    let mut decision = Decision::default();
    for outlier in worst {
        let known = out.iter().any(|(server, scope)| {
            *server == outlier.server && (*scope == Scope::Everywhere || *scope == outlier.scope)
        });
        if known {
            continue;
        }
        let reason = match words.get(&outlier.server) {
            Some(_) => Some(Reason::Operator),
            None => cap.forbids(outlier, &out, &standing_out),
        };
        match reason {
            Some(reason) => decision.kept.push((outlier.clone(), reason)),
            None => {
                out.push((outlier.server, outlier.scope.clone()));
                decision.remove.push(outlier.clone());
            }
        }
    }
    decision
}

impl Cap<'_> {
    fn forbids(
        &self,
        outlier: &Outlier,
        out: &[(SocketAddr, Scope)],
        standing_out: &[(SocketAddr, Scope)],
    ) -> Option<Reason> {
        let Some(capacity) = self.capacity.get(&outlier.server) else { return Some(Reason::Unknown) };
        let within = |group: &Group, of: &[(SocketAddr, Scope)]| -> BTreeSet<SocketAddr> {
            let touched = of
                .iter()
                .filter(|(server, scope)| group.members.contains(server) && meets(scope, &outlier.scope));
            touched.map(|(server, _)| *server).collect()
        };
        let mine = || self.groups.iter().filter(|group| group.members.contains(&outlier.server));
        let many = mine().find_map(|group| {
            let (standing_out, of) = (within(group, standing_out).len(), group.members.len());
            let many = of >= LEAST_MANY && standing_out as f64 > self.limits.many * of as f64;
            many.then(|| Reason::ManyAtOnce { group: group.name.clone(), standing_out, of })
        });
        many.or_else(|| {
            let full = mine().find(|group| {
                let mut with = within(group, out);
                with.insert(outlier.server);
                !self.may_be_out(group, &with, *capacity)
            });
            full.map(|group| Reason::Cap { group: group.name.clone() })
        })
    }

    /// Whether these may be out of a group together, of which the last has this capacity.
    fn may_be_out(&self, group: &Group, with: &BTreeSet<SocketAddr>, last: f64) -> bool {
        let (count, of) = (with.len(), group.members.len());
        if count >= of {
            return false;
        }
        if count == 1 {
            return !self.by_capacity || last <= MOST_OF_ONE * group.capacity;
        }
        let capacity: f64 = with.iter().filter_map(|server| self.capacity.get(server)).sum();
        let few = count as f64 <= self.limits.most_out * of as f64;
        few && (!self.by_capacity || capacity <= self.limits.most_out * group.capacity)
    }
}
