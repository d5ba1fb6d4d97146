//! How a member with a blank directory comes in. A cluster is formed only when every member that the operator's file
//! names is there and as blank: fewer could be the rest of one whose disks are lost, and a majority of them would
//! agree on having nothing. Where any of them belongs to a cluster already, a blank one asks to be taken in there.

use std::collections::BTreeMap;

use super::members::Place;

/// What a named member says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Seen {
    /// It does not answer, and why.
    Silent(String),
    /// It answers under another number than the one it is named by.
    Misnamed(u64),
    /// It is blank.
    Blank {
        /// Its word.
        member: u64,
        /// How it is reached and what it is for.
        place: Place,
    },
    /// It belongs to a cluster.
    Belongs {
        /// Which.
        cluster: u64,
        /// Where it is asked.
        address: String,
    },
}

/// What a blank member does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Entry {
    /// It forms a cluster of these, by their words.
    Form(BTreeMap<u64, Place>),
    /// It asks to be taken in by one of this cluster, at these addresses.
    Ask {
        /// The cluster.
        cluster: u64,
        /// Those of it that answered.
        at: Vec<String>,
    },
    /// It waits, and says for what.
    Wait(String),
}

/// The next step of the blank member `own` at `place`, by what each named one said. `may_form` is false for one that
/// only ever joins.
pub fn next(own: u64, place: &Place, may_form: bool, named: &BTreeMap<u64, Seen>) -> Entry {
    let mut clusters: BTreeMap<u64, Vec<String>> = BTreeMap::new();
    let mut blank = BTreeMap::from([(own, place.clone())]);
    let mut missing = Vec::new();
    for (number, seen) in named {
        match seen {
            Seen::Belongs { cluster, address } => {
                clusters.entry(*cluster).or_default().push(address.clone());
            }
            Seen::Blank { member, place } => {
                blank.insert(*member, place.clone());
            }
            Seen::Misnamed(other) => missing.push(format!("{number} (who answers is {other})")),
            Seen::Silent(why) => missing.push(format!("{number} ({why})")),
        }
    }
    let mut clusters = clusters.into_iter();
    match (clusters.next(), clusters.next()) {
        (Some((cluster, at)), None) => return Entry::Ask { cluster, at },
        (Some((one, _)), Some((other, _))) => {
            return Entry::Wait(format!(
                "the members named are of different clusters: {one:016x} and {other:016x}"
            ));
        }
        _ => {}
    }
    if !missing.is_empty() {
        return Entry::Wait(format!(
            "a store is formed only when all of its members are there, since fewer could be what is left of one; \
             missing: {}",
            missing.join(", ")
        ));
    }
    if !may_form {
        return Entry::Wait("the members named are blank, and this one only joins".to_owned());
    }
    let numbers = blank.values().map(|place| place.number);
    if blank.len() != named.len() + 1 || numbers.min() != Some(place.number) {
        return Entry::Wait("the member with the lowest number forms the store".to_owned());
    }
    Entry::Form(blank)
}
