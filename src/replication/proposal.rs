//! One change of a register, as the node sees it that wishes for it: it asks the holders for their promises, decides what
//! may follow from the highest value that a majority tells, and has it accepted by a majority.
//!
//! No I/O; time comes as an argument, in ms of this process's clock.

use std::collections::BTreeMap;

use super::key::{Body, KeyId};
use super::register::{Ballot, Claimant, Fate, Value};
use super::slots::Slot;
use super::wire::{Ask, Held, Said, What};

/// Time until holders that have not answered are asked again, in ms.
pub const AGAIN_MS: u64 = 60;

/// What is wished for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Wish {
    /// The key, for this run, where it is nobody's.
    Claim,
    /// That this comes of this run's claim.
    End(Fate),
    /// To know for certain what has come of it; whatever a holder has is made certain.
    Settle,
    /// To see whether anything has come of it, and to disturb nobody.
    Look,
}

/// What came of the wish.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// The key is this run's: a majority has its claim.
    Mine,
    /// Another run has claimed it, as far as a majority tells.
    Theirs(Claimant),
    /// It is over, and a majority has that.
    Ended(Value),
    /// It is over, and it is not certain that a majority has that.
    Unsure,
    /// Nobody has it.
    Nobodys,
    /// Too many holders have no room for it.
    Full,
}

/// What follows from what was heard.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Next {
    /// Nothing yet.
    Wait,
    /// The holders are to be asked what [`Proposal::asks`] says now.
    Ask,
    /// A higher ballot is under way: [`Proposal::again`] after a while.
    Outbid,
    /// The slot has other holders, as of this epoch.
    Moved(u64),
    /// It is over.
    Over(Verdict),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Stage {
    Preparing,
    Accepting(Value),
    Looking,
}

/// How a holder stands in this stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Voice {
    Yes,
    Full,
    Outbid,
}

/// The change.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposal {
    key: KeyId,
    me: Claimant,
    body: Body,
    wish: Wish,
    slot: Slot,
    ballot: Ballot,
    stage: Stage,
    voices: BTreeMap<u64, Voice>,
    /// The ballots that holders have given their voices to before.
    given: BTreeMap<u64, Ballot>,
    highest: Option<(Ballot, Value)>,
    seen: u32,
    strange: bool,
    /// Whether holders may have accepted this run's claim.
    offered: bool,
    /// Whether a majority has, under this ballot.
    ready: bool,
}

impl Proposal {
    /// A change of a key by a run, whose ballots bear a word that no other change has.
    pub fn new(key: KeyId, me: Claimant, body: Body, wish: Wish, slot: Slot, word: u64) -> Self {
        let stage = if wish == Wish::Look { Stage::Looking } else { Stage::Preparing };
        let ballot = Ballot { round: 1, word };
        Self {
            key,
            me,
            body,
            wish,
            slot,
            ballot,
            stage,
            voices: BTreeMap::new(),
            given: BTreeMap::new(),
            highest: None,
            seen: 0,
            strange: false,
            offered: false,
            ready: false,
        }
    }

    /// The end of a run whose claim was accepted: its holders have promised the next ballot with that, so it is accepted
    /// without another look.
    pub fn follow_up(self, fate: Fate) -> Self {
        let ballot = self.next_ballot();
        let value = Value { by: self.me, body: self.body, fate: fate.clone() };
        let certain = self.ready && self.seen <= self.ballot.round;
        Self {
            wish: Wish::End(fate),
            stage: if certain { Stage::Accepting(value) } else { Stage::Preparing },
            ballot,
            voices: BTreeMap::new(),
            given: BTreeMap::new(),
            highest: None,
            ready: false,
            ..self
        }
    }

    fn next_ballot(&self) -> Ballot {
        self.ballot.above(self.ballot.round.max(self.seen))
    }

    /// The key.
    pub fn key(&self) -> KeyId {
        self.key
    }

    /// Whether any holder has told of another's run, so that it can't be said that the key was never begun.
    pub fn has_seen_another(&self) -> bool {
        self.strange
    }

    /// Whether holders may have accepted this run's claim: it is to be ended or freed.
    pub fn may_hold(&self) -> bool {
        self.offered
    }

    /// The holders as this change counts them.
    pub fn slot(&self) -> &Slot {
        &self.slot
    }

    /// The holders to ask now, and what: those that have not answered in this stage. The window lasts so long still.
    pub fn asks(&self, left_ms: u32) -> Vec<(u64, Ask)> {
        let what = match &self.stage {
            Stage::Preparing => What::Prepare { ballot: self.ballot, left_ms },
            Stage::Accepting(value) => What::Accept {
                ballot: self.ballot,
                value: value.clone(),
                next: self.ballot.above(self.ballot.round),
                left_ms,
            },
            Stage::Looking => What::Read,
        };
        let ask = Ask { epoch: self.slot.epoch, key: self.key, what };
        let silent = self.slot.members().filter(|id| !self.voices.contains_key(id));
        silent.map(|id| (id, ask.clone())).collect()
    }

    /// Begins again above all ballots that were heard of.
    pub fn again(&mut self) {
        self.ballot = self.next_ballot();
        self.voices.clear();
        self.given.clear();
        self.highest = None;
        self.ready = false;
        if self.wish != Wish::Look {
            self.stage = Stage::Preparing;
        }
    }

    /// Turns to other holders of the slot, and begins again there.
    pub fn move_to(&mut self, slot: &Slot) {
        if self.slot != *slot {
            self.slot = slot.clone();
            self.again();
        }
    }

    fn enough(&self) -> bool {
        self.slot.enough(|id| self.voices.get(&id) == Some(&Voice::Yes))
    }

    /// What a majority has given its voices to already, under the highest ballot that was told.
    fn chosen_before(&self) -> Option<&Value> {
        let (highest, value) = self.highest.as_ref()?;
        self.slot.enough(|id| self.given.get(&id) == Some(highest)).then_some(value)
    }

    fn note(&mut self, from: u64, held: Option<Held>) {
        let Some(Held { ballot, value, voted }) = held else { return };
        if voted {
            self.given.insert(from, ballot);
        }
        self.strange |= value.by != self.me && value.fate != Fate::Freed;
        self.seen = self.seen.max(ballot.round);
        if self.highest.as_ref().is_none_or(|(at, _)| *at < ballot) {
            self.highest = Some((ballot, value));
        }
    }

    /// Hears a holder. Answers of an earlier stage are passed over.
    pub fn hear(&mut self, from: u64, said: Said) -> Next {
        if !self.slot.has(from) {
            return Next::Wait;
        }
        match (said, &self.stage) {
            (Said::Promised(ballot, accepted), Stage::Preparing) if ballot == self.ballot => {
                self.note(from, accepted);
                self.voices.insert(from, Voice::Yes);
                if self.enough() { self.decide() } else { Next::Wait }
            }
            (Said::Accepted(ballot), Stage::Accepting(value)) if ballot == self.ballot => {
                let value = value.clone();
                self.voices.insert(from, Voice::Yes);
                if self.enough() { self.chosen(value) } else { Next::Wait }
            }
            (Said::Holds(accepted), Stage::Looking) => {
                self.note(from, accepted);
                self.voices.insert(from, Voice::Yes);
                match self.chosen_before().filter(|value| value.is_over()) {
                    Some(over) => Next::Over(Verdict::Ended(over.clone())),
                    None if self.enough() => Next::Over(self.looked()),
                    None => Next::Wait,
                }
            }
            (Said::Outbid(higher, held), Stage::Preparing | Stage::Accepting(_)) if higher > self.ballot => {
                self.note(from, held);
                self.seen = self.seen.max(higher.round);
                self.voices.insert(from, Voice::Outbid);
                self.outbid()
            }
            (Said::Full, _) => {
                self.voices.insert(from, Voice::Full);
                let can = self.slot.enough(|id| self.voices.get(&id) != Some(&Voice::Full));
                if can { Next::Wait } else { Next::Over(Verdict::Full) }
            }
            (Said::Elsewhere(epoch), _) => Next::Moved(epoch),
            _ => Next::Wait,
        }
    }

    /// What a majority has chosen is known without a promise; else it begins again where too few are left to agree.
    fn outbid(&self) -> Next {
        match self.chosen_before() {
            Some(over) if over.is_over() => return Next::Over(Verdict::Ended(over.clone())),
            Some(Value { by, fate: Fate::Claimed, .. }) if *by != self.me => {
                return Next::Over(Verdict::Theirs(*by));
            }
            _ => {}
        }
        let can = self.slot.enough(|id| self.voices.get(&id) != Some(&Voice::Outbid));
        if can { Next::Wait } else { Next::Outbid }
    }

    fn looked(&self) -> Verdict {
        match &self.highest {
            None => Verdict::Nobodys,
            Some((_, value)) => match value.fate {
                Fate::Claimed => Verdict::Theirs(value.by),
                Fate::Freed => Verdict::Nobodys,
                // Perhaps too few have it: that is to be made certain.
                Fate::Failed | Fate::Done(_) => Verdict::Unsure,
            },
        }
    }

    fn own(&self, fate: Fate) -> Value {
        Value { by: self.me, body: self.body, fate }
    }

    fn write(&mut self, value: Value) -> Next {
        self.offered |= value.by == self.me;
        self.stage = Stage::Accepting(value);
        self.voices.clear();
        Next::Ask
    }

    /// What may follow from the highest value that a majority has told.
    fn decide(&mut self) -> Next {
        let highest = self.highest.as_ref().map(|(_, value)| value.clone());
        // It is over: whoever answers with that makes certain that a majority has it.
        if let Some(over) = self.chosen_before().filter(|value| value.is_over()).cloned() {
            return Next::Over(Verdict::Ended(over));
        }
        if let Some(over) = highest.clone().filter(Value::is_over) {
            return self.write(over);
        }
        match (&self.wish, highest.filter(|value| value.by != self.me)) {
            (Wish::Claim, Some(Value { by, fate: Fate::Claimed, .. })) => Next::Over(Verdict::Theirs(by)),
            (Wish::Settle | Wish::Look, Some(value)) => self.write(value),
            (Wish::Settle | Wish::Look, None) => Next::Over(Verdict::Nobodys),
            // This run's claim never held: there is nothing to end.
            (Wish::End(_), Some(Value { by, fate: Fate::Claimed, .. })) => Next::Over(Verdict::Theirs(by)),
            (Wish::Claim, _) => {
                let own = self.own(Fate::Claimed);
                self.write(own)
            }
            (Wish::End(fate), _) => {
                let own = self.own(fate.clone());
                self.write(own)
            }
        }
    }

    fn chosen(&mut self, value: Value) -> Next {
        self.ready = true;
        Next::Over(match value.fate {
            Fate::Claimed if value.by == self.me => Verdict::Mine,
            Fate::Claimed => Verdict::Theirs(value.by),
            Fate::Freed if value.by != self.me => Verdict::Nobodys,
            Fate::Freed | Fate::Failed | Fate::Done(_) => Verdict::Ended(value),
        })
    }
}
