//! Which servers are bounded together since they serve a route of the merged table of sites ([`crate::route_exchange`]).

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use super::cap::Member;
use crate::route_exchange::lookup::{InForce, Index};
use crate::route_exchange::merge::{Held, Merged};

/// Sets of servers that are told apart. Where there are more, the smallest count: each of these has the least to lose.
pub const MAX_SETS: usize = 1024;

/// The names of the routes that each server is on. Routes with the same servers are one, under the first name. One that
/// also has servers which are no members is none: no vote takes those away, so it does not lose its last.
pub fn routes_of(index: &Index, members: &BTreeSet<SocketAddr>) -> BTreeMap<SocketAddr, Vec<String>> {
    let mut sets: BTreeMap<(usize, &BTreeSet<SocketAddr>), &Held> = BTreeMap::new();
    index.each(&mut |held| {
        let servers = &held.route.servers;
        if held.withdrawn || !servers.is_subset(members) {
            return;
        }
        let first = sets.entry((servers.len(), servers)).or_insert(held);
        if (&held.from, &held.route.name) < (&first.from, &first.route.name) {
            *first = held;
        }
    });
    let mut routes: BTreeMap<SocketAddr, Vec<String>> = BTreeMap::new();
    for ((_, servers), Held { from, route, .. }) in sets.into_iter().take(MAX_SETS) {
        let name = format!("{from}/{}", route.name);
        servers.iter().for_each(|server| routes.entry(*server).or_default().push(name.clone()));
    }
    routes
}

/// The routes as the one that counts has them; looked at anew only where the table or the servers are others.
#[derive(Default)]
pub(super) struct Routed {
    of: Option<Arc<Merged>>,
    members: BTreeSet<SocketAddr>,
    routes: BTreeMap<SocketAddr, Vec<String>>,
}

impl Routed {
    /// Gives the members their routes.
    pub(super) fn put(&mut self, in_force: &InForce, members: &mut [Member]) {
        let merged = in_force.get();
        let servers: BTreeSet<SocketAddr> = members.iter().map(|member| member.server).collect();
        let same = self.of.as_ref().is_some_and(|of| Arc::ptr_eq(of, &merged));
        if !same || self.members != servers {
            self.routes = routes_of(merged.index(), &servers);
            (self.of, self.members) = (Some(merged), servers);
        }
        for member in members {
            member.routes = self.routes.get(&member.server).cloned().unwrap_or_default();
        }
    }
}
