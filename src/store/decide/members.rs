//! Which change of members comes next. One at a time; a voter goes only where a majority of the voters that stay is
//! heard, and one comes only when it has all but the last entries of the log.

use std::collections::{BTreeMap, BTreeSet};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A member as the others know it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Place {
    /// The number that its operator's file gives it.
    pub number: u64,
    /// Where it is reached.
    pub address: String,
    /// Whether it may take a lost voter's place by itself.
    pub spare: bool,
}

/// What the leader sees of one member.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Who it is.
    pub place: Place,
    /// Entries of the log that it lacks; none where it is not known.
    pub behind: Option<u64>,
    /// Time since it last answered, in ms; none for one that never did.
    pub silent_ms: Option<u64>,
    /// The same, for one that never did since it was first looked for.
    pub gone_ms: u64,
}

/// What the leader sees of all members, by their words.
#[derive(Clone, Debug, Default)]
pub struct Sight {
    /// All of them, learners too.
    pub members: BTreeMap<u64, Seen>,
    /// The voters; two sets while one gives way to the other.
    pub voters: Vec<BTreeSet<u64>>,
    /// The member that leads, which sees this.
    pub leader: u64,
}

/// When members count as heard, near and lost.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// A member that answered within this time is heard, in ms.
    pub heard_ms: u64,
    /// A learner that lacks no more entries than this may become a voter.
    pub near: u64,
    /// A voter that has been silent for this long is replaced where a spare is there, in ms; none for never.
    pub lost_ms: Option<u64>,
}

/// A change of members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The change that was under way when its leader went is brought to its end.
    Finish(BTreeSet<u64>),
    /// A learner takes the place of a voter.
    Replace {
        /// Who goes.
        old: u64,
        /// Who comes.
        new: u64,
        /// The voters from then on.
        voters: BTreeSet<u64>,
    },
    /// A learner that a newer one of the same number has made obsolete is taken out.
    Forget(u64),
    /// Nothing is to be done.
    Rest,
}

/// Why a wish for a change is turned down.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// Another change is under way.
    #[error("another change of members is under way")]
    UnderWay,
    /// There is no such member.
    #[error("there is no member {0}")]
    Unknown(u64),
    /// It votes already.
    #[error("member {0} votes already")]
    Votes(u64),
    /// It is no learner that could take a place.
    #[error("member {0} is not a learner")]
    NoLearner(u64),
    /// It has not caught up.
    #[error("member {0} has not caught up: {1}")]
    Behind(u64, String),
    /// Too few voters would be heard.
    #[error("only {heard} of the {voters} voters that would be left are heard, which is no majority")]
    Quorum {
        /// Voters that are heard.
        heard: usize,
        /// Voters there would be.
        voters: usize,
    },
    /// A living member has the number.
    #[error("member {number} is alive at {address}; a number belongs to one member at a time")]
    Alive {
        /// The number.
        number: u64,
        /// Where the living one is.
        address: String,
    },
    /// The leader would take itself out.
    #[error("member {0} leads; it is to be asked again once another one does")]
    Leads(u64),
    /// There is room for no more.
    #[error("a store has {0} members at the most")]
    Full(usize),
}

/// Members at the most, learners too.
pub const MOST_MEMBERS: usize = 15;

impl Sight {
    fn votes(&self, member: u64) -> bool {
        self.voters.iter().any(|set| set.contains(&member))
    }

    fn settled(&self) -> Result<&BTreeSet<u64>, Refusal> {
        match self.voters.as_slice() {
            [voters] => Ok(voters),
            _ => Err(Refusal::UnderWay),
        }
    }

    fn heard(&self, member: u64, limits: &Limits) -> bool {
        let seen = self.members.get(&member).and_then(|seen| seen.silent_ms);
        member == self.leader || seen.is_some_and(|silent| silent <= limits.heard_ms)
    }

    fn near(&self, member: u64, limits: &Limits) -> bool {
        let behind = self.members.get(&member).and_then(|seen| seen.behind);
        self.heard(member, limits) && behind.is_some_and(|behind| behind <= limits.near)
    }

    fn holds(&self, voters: &BTreeSet<u64>, limits: &Limits) -> Result<(), Refusal> {
        let heard = voters.iter().filter(|member| self.heard(**member, limits)).count();
        if heard * 2 > voters.len() { Ok(()) } else { Err(Refusal::Quorum { heard, voters: voters.len() }) }
    }

    /// The member that a number means: the voter, else the learner that was heard last.
    pub fn by_number(&self, number: u64) -> Result<u64, Refusal> {
        let named = self.members.iter().filter(|(_, seen)| seen.place.number == number);
        let first =
            named.min_by_key(|(member, seen)| (!self.votes(**member), seen.silent_ms.unwrap_or(u64::MAX)));
        first.map(|(member, _)| *member).ok_or(Refusal::Unknown(number))
    }

    /// The learner that a number means.
    fn learner(&self, number: u64) -> Result<u64, Refusal> {
        let named = self.members.iter().filter(|(_, seen)| seen.place.number == number);
        let learners = named.filter(|(member, _)| !self.votes(**member));
        let nearest = learners.min_by_key(|(_, seen)| seen.silent_ms.unwrap_or(u64::MAX));
        nearest.map(|(member, _)| *member).ok_or(Refusal::NoLearner(number))
    }

    /// What the members do next by themselves.
    pub fn next(&self, limits: &Limits) -> Step {
        let voters = match self.voters.as_slice() {
            [voters] => voters,
            // An old set and a new one: the new one was agreed on.
            [.., newest] => return Step::Finish(newest.clone()),
            [] => return Step::Rest,
        };
        self.replacement(voters, limits).unwrap_or_else(|| self.obsolete(limits))
    }

    /// A voter whose directory is gone is replaced by the member that came back under its number at once, one that is
    /// silent for too long by a spare.
    fn replacement(&self, voters: &BTreeSet<u64>, limits: &Limits) -> Option<Step> {
        let silent = |member: &&u64| !self.heard(**member, limits);
        let ready = || self.members.iter().filter(|(id, _)| !self.votes(**id) && self.near(**id, limits));
        voters.iter().filter(silent).find_map(|old| {
            let lost = self.members.get(old)?;
            let again = ready().find(|(_, seen)| seen.place.number == lost.place.number);
            let long = limits.lost_ms.is_some_and(|limit| lost.gone_ms >= limit);
            let spare = || ready().find(|(_, seen)| long && seen.place.spare);
            let (new, _) = again.or_else(spare)?;
            self.swap(voters, *old, *new, limits).ok()
        })
    }

    fn swap(&self, voters: &BTreeSet<u64>, old: u64, new: u64, limits: &Limits) -> Result<Step, Refusal> {
        self.holds(voters, limits)?;
        let mut after = voters.clone();
        after.remove(&old);
        after.insert(new);
        self.holds(&after, limits)?;
        Ok(Step::Replace { old, new, voters: after })
    }

    /// A silent learner whose number a member has that is heard.
    fn obsolete(&self, limits: &Limits) -> Step {
        let gone = self.members.iter().find(|(member, seen)| {
            let again = |(other, same): (&u64, &Seen)| {
                other != *member && same.place.number == seen.place.number && self.heard(*other, limits)
            };
            !self.votes(**member) && !self.heard(**member, limits) && self.members.iter().any(again)
        });
        gone.map_or(Step::Rest, |(member, _)| Step::Forget(*member))
    }

    /// Whether a member that asks to be taken in may be, as a learner.
    ///
    /// # Errors
    /// Says why not.
    pub fn admit(&self, member: u64, place: &Place, limits: &Limits) -> Result<(), Refusal> {
        self.settled()?;
        if self.members.contains_key(&member) {
            return Ok(());
        }
        let alive = self
            .members
            .iter()
            .find(|(id, seen)| seen.place.number == place.number && self.heard(**id, limits));
        if let Some((_, seen)) = alive {
            let address = seen.place.address.clone();
            return Err(Refusal::Alive { number: place.number, address });
        }
        if self.members.len() >= MOST_MEMBERS { Err(Refusal::Full(MOST_MEMBERS)) } else { Ok(()) }
    }

    /// The voters once a learner votes too.
    ///
    /// # Errors
    /// Says why it may not.
    pub fn promote(&self, number: u64, limits: &Limits) -> Result<BTreeSet<u64>, Refusal> {
        let voters = self.settled()?;
        let member = self.by_number(number)?;
        if self.votes(member) {
            return Err(Refusal::Votes(number));
        }
        self.caught_up(member, number, limits)?;
        let after: BTreeSet<u64> = voters.iter().copied().chain([member]).collect();
        self.holds(&after, limits)?;
        Ok(after)
    }

    fn caught_up(&self, member: u64, number: u64, limits: &Limits) -> Result<(), Refusal> {
        if self.near(member, limits) {
            return Ok(());
        }
        let behind = self.members.get(&member).and_then(|seen| seen.behind);
        let state = match behind {
            _ if !self.heard(member, limits) => "it does not answer".to_owned(),
            Some(entries) => format!("{entries} entries are missing"),
            None => "it has no entry yet".to_owned(),
        };
        Err(Refusal::Behind(number, state))
    }

    /// The voters once one has left; none where it was a learner, which has no part in them.
    ///
    /// # Errors
    /// Says why it may not.
    pub fn leave(&self, number: u64, limits: &Limits) -> Result<(u64, Option<BTreeSet<u64>>), Refusal> {
        let voters = self.settled()?;
        let member = self.by_number(number)?;
        if !self.votes(member) {
            return Ok((member, None));
        }
        if member == self.leader {
            return Err(Refusal::Leads(number));
        }
        let after: BTreeSet<u64> = voters.iter().copied().filter(|id| *id != member).collect();
        self.holds(&after, limits)?;
        Ok((member, Some(after)))
    }

    /// One voter gives its place to a learner.
    ///
    /// # Errors
    /// Says why it may not.
    pub fn replace(&self, old: u64, by: u64, limits: &Limits) -> Result<Step, Refusal> {
        let voters = self.settled()?;
        let leaving = self.by_number(old)?;
        if !self.votes(leaving) {
            return Err(Refusal::Unknown(old));
        }
        if leaving == self.leader {
            return Err(Refusal::Leads(old));
        }
        let coming = self.learner(by)?;
        self.caught_up(coming, by, limits)?;
        self.swap(voters, leaving, coming, limits)
    }
}
