//! Who is asked to call a server of which more is to be known. A node avoids by itself what failed it once, and so would
//! never have the calls that prove it; in a small fleet no others have them either.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use super::detection::Suspect;
use super::evidence::Voter;

/// Servers that nodes are asked to call at the same time.
pub const MAX_PROBED: usize = 8;
/// Turns after which others are asked, where there are others: some have no calls to make.
const TURNS: usize = 8;

/// What each node is asked to call. There are as many machines as must find a server bad whichever zone is left out, of
/// the zone from where it is in doubt as many as must by themselves; one node of each, without those whose evidence can
/// add nothing further. So it costs a bounded number of calls, however large the fleet. `near` are the nodes that are
/// there.
pub fn assign_probes(
    suspects: &[Suspect],
    near: &[&Voter],
    turn: usize,
) -> BTreeMap<String, Vec<SocketAddr>> {
    let mut zones: BTreeMap<&str, BTreeMap<&str, &Voter>> = BTreeMap::new();
    for voter in near {
        zones.entry(&voter.zone).or_default().entry(&voter.machine).or_insert(voter);
    }
    let mut asked: BTreeMap<String, Vec<SocketAddr>> = BTreeMap::new();
    for doubt in suspects.iter().take(MAX_PROBED) {
        for (zone, machines) in &zones {
            let alone = doubt.zone.as_deref() == Some(zone);
            let others = if alone { 1 } else { (zones.len() - 1).max(1) };
            let wanted = doubt.needed.div_ceil(others);
            let left: Vec<&&Voter> =
                machines.values().filter(|one| !doubt.full.contains(&one.machine)).collect();
            let from = if left.len() > wanted { turn / TURNS * wanted } else { 0 };
            let these: BTreeSet<usize> = (from..from + wanted).map(|at| at % left.len().max(1)).collect();
            for voter in these.into_iter().filter_map(|at| left.get(at)) {
                asked.entry(voter.name.clone()).or_default().push(doubt.server);
            }
        }
    }
    asked
}
