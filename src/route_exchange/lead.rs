//! What the holder of the duty decides: it takes what partners send, merges it on its board, and says what each is told. What
//! one sends is merged in steps between which the others have their turn.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::admit::Partner;
use super::board::{Board, Stand};
use super::export::{Exports, MOST_CHANGES, NotTold, Rules, Telling};
use super::merge::{Change, Held, Superseded};
use super::route::{Match, Name, Route};
use super::table::{Document, Fault, Refused, Terms, Version};
use super::turns::{Batch, Turns};
use crate::fault_injection::{self, InjectedFault};

/// A new holder tells partners nothing until it has heard all of them, or for so long, in ms.
pub const SETTLE_MS: u64 = 1000;
/// Matches that are taken up for all partners in one step.
const STEP: usize = 16;

/// Which time it is, in ms.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// By the process's own clock.
    pub own: u64,
    /// Since 1970 (UTC).
    pub utc: u64,
}

/// The holder's state beside its board.
#[derive(Clone)]
pub struct Leading {
    own: Name,
    number: u64,
    began: u64,
    /// Nothing for one that is lent.
    partners: BTreeMap<Name, Option<Partner>>,
    /// What waits to be merged.
    turns: Turns,
    /// Whether the next step is one of telling: merging and telling take turns.
    tells: bool,
    /// Partners that have told this holder their table. Those of others are used here, and told to nobody.
    heard: BTreeSet<Name>,
    /// When each was heard last.
    last: BTreeMap<Name, u64>,
    exports: Exports,
    /// Whether this node's own routes have been read: until then there are those of the holder before.
    own_is_read: bool,
}

/// A route that is here, gone or told to nobody.
fn becomes(held: &Held, after: Option<Held>) -> Change {
    Change { before: Some(held.clone()), after }
}

fn withheld(held: &Held) -> Held {
    let withdrawn = !fault_injection::is_active(InjectedFault::ToldUnheard);
    Held { withdrawn: held.withdrawn || withdrawn, ..held.clone() }
}

/// A partner while what it sent is read and taken, beside the thread that serves.
pub struct Lent {
    partner: Partner,
    is_heard: bool,
    now: Now,
}

/// What became of it, to be given back.
pub struct Received {
    partner: Partner,
    batch: Batch,
    refused: Option<Refused>,
}

impl Lent {
    /// Reads and takes what the partner sent: for as long as its length has it.
    pub fn receive(mut self, bytes: &[u8]) -> Received {
        let (taken, refused) = self.partner.receive(bytes, self.now.own);
        let mut changes = taken.changes;
        if refused.is_none() && !self.is_heard {
            // All that was withheld is this holder's now.
            changes.retain(|change| change.after.is_none());
            changes.extend(self.partner.in_force().map(|held| becomes(held, Some(held.clone()))));
        } else if !self.is_heard {
            withhold(&mut changes);
        }
        Received { partner: self.partner, batch: Batch::new(changes, refused.is_none()), refused }
    }
}

fn withhold(changes: &mut [Change]) {
    changes.iter_mut().for_each(|change| change.after = change.after.as_ref().map(withheld));
}

impl Leading {
    /// Begins with what the board has from the holder before. What it has of partners is told to nobody until they have said
    /// it again: they may have made it tighter since.
    ///
    /// # Errors
    /// The board has seen a higher number.
    pub fn begin(
        board: &mut Board,
        by: &str,
        number: u64,
        rules: Rules,
        terms: &BTreeMap<Name, Terms>,
        now: Now,
    ) -> Result<Self, Superseded> {
        board.lead(by, number)?;
        let (mut partners, mut changes) = (BTreeMap::new(), Vec::new());
        for (name, terms) in terms {
            let partner = restored(board, terms, now.own);
            let stays: BTreeMap<&Name, &Held> =
                partner.in_force().map(|held| (&held.route.name, held)).collect();
            changes.extend(
                board
                    .of(name)
                    .map(|held| becomes(held, stays.get(&held.route.name).map(|held| withheld(held)))),
            );
            partners.insert(name.clone(), Some(partner));
        }
        let others: Vec<Name> =
            board.partners().keys().filter(|name| !terms.contains_key(*name)).cloned().collect();
        changes.extend(others.iter().flat_map(|name| board.of(name)).map(|held| becomes(held, None)));
        others.iter().for_each(|name| board.forget(name));
        board.change(&changes);
        // Of what is told to nobody there is nothing to take up: it comes when its partner has said it again.
        let told = board.held().filter(|held| !held.withdrawn);
        let mut all: Vec<Match> = told.map(|held| held.route.matches.clone()).collect();
        all.sort_unstable();
        all.dedup();
        let own = rules.own.clone();
        let mut exports = Exports::new(rules, terms.keys().cloned(), number);
        exports.note(board.merged(), &all);
        let mut leading = Self {
            own,
            number,
            began: now.own,
            partners,
            turns: Turns::default(),
            tells: false,
            heard: BTreeSet::new(),
            last: BTreeMap::new(),
            exports,
            own_is_read: false,
        };
        leading.stand(board, now);
        Ok(leading)
    }

    /// The number that it leads under.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Whether partners are told: all have been heard, or have had their time, and what there was has been taken up.
    pub fn is_settled(&self, now: Now) -> bool {
        let has_all = self.heard.len() == self.partners.len();
        if !self.own_is_read || !self.exports.is_whole() {
            return false;
        }
        has_all
            || now.own.saturating_sub(self.began) >= SETTLE_MS
            || fault_injection::is_active(InjectedFault::ToldUnheard)
    }

    fn partner(&self, name: &Name) -> Option<&Partner> {
        self.partners.get(name)?.as_ref()
    }

    /// The version to ask a partner after; nothing where its whole table is needed.
    pub fn asks_after(&self, partner: &Name) -> Option<Version> {
        self.partner(partner).and_then(Partner::asks_after)
    }

    /// Whether a partner's table has been stale for some time, and how long, in ms.
    pub fn stale_for(&self, partner: &Name, now: Now) -> Option<u64> {
        self.partner(partner).and_then(|partner| partner.stale_for(now.own))
    }

    /// Lends a partner until what it sent has been taken; nothing where it is lent, or what it sent before is not merged.
    pub fn lend(&mut self, partner: &Name, now: Now) -> Option<Lent> {
        if self.is_merging(partner) {
            return None;
        }
        let is_heard = self.heard.contains(partner);
        self.partners.get_mut(partner)?.take().map(|partner| Lent { partner, is_heard, now })
    }

    /// A partner comes back with what it sent, which is merged in steps from now on. What is returned is why it is turned
    /// down.
    pub fn give_back(
        &mut self,
        board: &mut Board,
        from: &Name,
        received: Received,
        now: Now,
    ) -> Option<Fault> {
        let Received { partner, mut batch, refused } = received;
        self.partners.insert(from.clone(), Some(partner));
        if refused.is_none() {
            self.last.insert(from.clone(), now.own);
        } else if fault_injection::is_active(InjectedFault::RefusedForgotten) {
            batch = Batch::new(Vec::new(), false);
        }
        self.turns.put(from, batch);
        self.note_heard();
        self.stand(board, now);
        refused.map(|refused| *refused.fault)
    }

    /// A partner does not come back, as what it sent could not be dealt with: nothing of it stays.
    pub fn give_up(&mut self, board: &Board, terms: &Terms) {
        let name = &terms.partner;
        self.partners.insert(name.clone(), Some(Partner::new(terms.clone())));
        let gone = board.of(name).map(|held| becomes(held, None)).collect();
        self.turns.put(name, Batch::new(gone, false));
    }

    /// Whether something of a partner's, or of this site's own, waits to be merged.
    pub fn is_merging(&self, from: &Name) -> bool {
        self.turns.has(from)
    }

    /// Whether there is something to go on with.
    pub fn is_done(&self) -> bool {
        self.turns.is_empty() && self.exports.noted() == 0
    }

    /// One step of what waits: to merge some of what a partner sent, each in turn, or to take up for all partners some of what
    /// has been merged. What is tightened or withdrawn goes before all else, whosever it is.
    pub fn go_on(&mut self, board: &mut Board, now: Now) {
        if let Some(changes) = self.turns.urgent() {
            self.apply(board, &changes, now);
        } else if (self.tells || self.turns.is_empty()) && self.exports.noted() > 0 {
            self.tells = false;
            self.exports.work(board.merged(), now.utc, STEP);
        } else if let Some(changes) = self.turns.later() {
            self.tells = true;
            let matches = board.change(&changes);
            self.exports.note(board.merged(), &matches);
        }
        self.note_heard();
    }

    /// Whoever's changes are all merged has been heard.
    fn note_heard(&mut self) {
        let mut heard = self.turns.heard();
        self.own_is_read |= heard.remove(&self.own);
        self.heard.append(&mut heard);
    }

    /// A partner says under this number that nothing is new. What is said below a number that it told under is passed over.
    pub fn heard(&mut self, board: &mut Board, from: &Name, number: u64, now: Now) {
        let partner = self.partners.get_mut(from).and_then(Option::as_mut);
        if let Some(partner) = partner.filter(|partner| partner.seen().term <= number) {
            partner.heard();
            self.last.insert(from.clone(), now.own);
        }
        self.stand(board, now);
    }

    /// A partner does not answer at one of its addresses, or ends what it sends half way. Its table is stale from when it
    /// was heard last: to find that out takes longer the more addresses it has.
    pub fn lost(&mut self, board: &mut Board, from: &Name, now: Now) {
        if let Some(Some(partner)) = self.partners.get_mut(from) {
            partner.lost(self.last.get(from).copied().unwrap_or(now.own));
        }
        self.stand(board, now);
    }

    /// What changes by time alone. One that is lent, or not merged yet, has its turn later.
    pub fn tick(&mut self, board: &mut Board, now: Now) {
        let names: Vec<Name> = self.partners.keys().filter(|name| !self.is_merging(name)).cloned().collect();
        for name in names {
            let Some(Some(partner)) = self.partners.get_mut(&name) else { continue };
            let mut changes = partner.tick(now.own);
            if !self.heard.contains(&name) {
                withhold(&mut changes);
            }
            self.turns.put(&name, Batch::new(changes, false));
        }
        self.exports.tick(board.merged(), now.utc);
        self.stand(board, now);
    }

    /// This node's own routes cannot be read: those that were told before stay.
    pub fn own_stays(&mut self) {
        self.own_is_read = true;
    }

    /// This site's own routes are these from now on. Those before them have been merged.
    pub fn set_own(&mut self, board: &Board, routes: &[Arc<Route>]) {
        let mut before: BTreeMap<&Name, &Held> =
            board.of(&self.own).map(|held| (&held.route.name, held)).collect();
        let mut changes = Vec::new();
        for route in routes {
            let after = Some(Held { from: self.own.clone(), route: route.clone(), withdrawn: false });
            let before = before.remove(&route.name).cloned();
            if before != after {
                changes.push(Change { before, after });
            }
        }
        changes.extend(before.values().map(|held| becomes(held, None)));
        self.turns.put(&self.own, Batch::new(changes, true));
        self.note_heard();
    }

    /// What a partner is told next that has this version; nothing where it has all.
    ///
    /// # Errors
    /// It may not be told anything by this node.
    pub fn tell(&mut self, to: &Name, after: Option<Version>) -> Result<Option<Telling>, NotTold> {
        self.exports.tell(to, after, MOST_CHANGES)
    }

    /// How many changes wait for a partner: urgent ones, and others.
    pub fn waiting(&self, to: &Name) -> (usize, usize) {
        self.exports.waiting(to)
    }

    fn apply(&mut self, board: &mut Board, changes: &[Change], now: Now) {
        let matches = board.change(changes);
        self.exports.changed(board.merged(), &matches, now.utc);
    }

    /// Notes on the board how the partners stand.
    fn stand(&mut self, board: &mut Board, now: Now) {
        for (name, partner) in &self.partners {
            let Some(partner) = partner else { continue };
            let before = board.partners().get(name).map_or(Version::default(), |stand| stand.seen);
            let heard = now.own.saturating_sub(partner.stale_for(now.own).unwrap_or(0));
            let more = partner.stale_for(now.own).unwrap_or(0).saturating_sub(now.own);
            board.stands(name, Stand { seen: before.max(partner.seen()), heard, before: more });
        }
    }
}

/// A partner as the board has it from the holder before, as far as the terms let it.
fn restored(board: &Board, terms: &Terms, now: u64) -> Partner {
    let kept = board.begins_with(terms).zip(board.partners().get(&terms.partner));
    let restored = kept.and_then(|(mut document, stand)| {
        let restore = |document: &Document| {
            Partner::restored(terms.clone(), document, stand.stale_for(now), now).map(|(partner, _)| partner)
        };
        restore(&document).ok().or_else(|| {
            document.routes.clear();
            document.count = 0;
            restore(&document).ok()
        })
    });
    restored.unwrap_or_else(|| Partner::new(terms.clone()))
}
