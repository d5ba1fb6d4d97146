//! What the holder of the duty decides: it takes what partners send, merges it on its board, and says what each is told.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::admit::Partner;
use super::board::{Board, Stand};
use super::export::{Exports, MOST_CHANGES, NotTold, Rules};
use super::merge::{Change, Held, Superseded};
use super::planted::{self, Planted};
use super::route::{Match, Name, Route};
use super::table::{Document, Fault, Refused, Terms, Version};

/// A new holder tells partners nothing until it has heard all of them, or for so long, in ms.
pub const SETTLE_MS: u64 = 1000;

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
    partners: BTreeMap<Name, Partner>,
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
    let withdrawn = !planted::is(Planted::ToldUnheard);
    Held { withdrawn: held.withdrawn || withdrawn, ..held.clone() }
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
            partners.insert(name.clone(), partner);
        }
        let others: Vec<Name> =
            board.partners().keys().filter(|name| !terms.contains_key(*name)).cloned().collect();
        changes.extend(others.iter().flat_map(|name| board.of(name)).map(|held| becomes(held, None)));
        others.iter().for_each(|name| board.forget(name));
        board.change(&changes);
        let mut all: Vec<Match> = board.held().map(|held| held.route.matches.clone()).collect();
        all.sort_unstable();
        all.dedup();
        let own = rules.own.clone();
        let mut exports = Exports::new(rules, terms.keys().cloned(), number);
        exports.changed(board.merged(), &all, now.utc);
        let mut leading = Self {
            own,
            number,
            began: now.own,
            partners,
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

    /// Whether partners are told: all have been heard, or have had their time.
    pub fn is_settled(&self, now: Now) -> bool {
        let has_all = self.heard.len() == self.partners.len();
        if !self.own_is_read {
            return false;
        }
        has_all || now.own.saturating_sub(self.began) >= SETTLE_MS || planted::is(Planted::ToldUnheard)
    }

    /// The version to ask a partner after; nothing where its whole table is needed.
    pub fn asks_after(&self, partner: &Name) -> Option<Version> {
        self.partners.get(partner).and_then(Partner::asks_after)
    }

    /// Whether a partner's table has been stale for some time, and how long, in ms.
    pub fn stale_for(&self, partner: &Name, now: Now) -> Option<u64> {
        self.partners.get(partner).and_then(|partner| partner.stale_for(now.own))
    }

    /// Takes what a partner sent, as it was read under its terms. What is returned is why it is turned down.
    pub fn receive(
        &mut self,
        board: &mut Board,
        from: &Name,
        read: Result<Document, Refused>,
        now: Now,
    ) -> Option<Fault> {
        let partner = self.partners.get_mut(from)?;
        let taken = read.and_then(|document| partner.take(&document, now.own));
        if taken.is_ok() {
            self.last.insert(from.clone(), now.own);
        }
        let (changes, fault) = match taken {
            Ok(taken) if self.heard.contains(from) => (taken.changes, None),
            // All that was withheld is this holder's now.
            Ok(_) => {
                self.heard.insert(from.clone());
                let now_there: BTreeSet<&Name> = partner.in_force().map(|held| &held.route.name).collect();
                let gone = board.of(from).filter(|held| !now_there.contains(&held.route.name));
                let gone: Vec<Change> = gone.map(|held| becomes(held, None)).collect();
                let there = partner.in_force().map(|held| becomes(held, Some(held.clone())));
                (there.chain(gone).collect(), None)
            }
            Err(refused) => {
                let tighter = partner.turned_down(&refused, now.own);
                let tighter = if planted::is(Planted::RefusedForgotten) { Vec::new() } else { tighter };
                (self.if_heard(from, tighter), Some(*refused.fault))
            }
        };
        self.apply(board, &changes, now);
        self.stand(board, now);
        fault
    }

    /// A partner says under this number that nothing is new. What is said below a number that it told under is passed over.
    pub fn heard(&mut self, board: &mut Board, from: &Name, number: u64, now: Now) {
        if let Some(partner) = self.partners.get_mut(from).filter(|partner| partner.seen().term <= number) {
            partner.heard();
            self.last.insert(from.clone(), now.own);
        }
        self.stand(board, now);
    }

    /// A partner does not answer at one of its addresses, or ends what it sends half way. Its table is stale from when it
    /// was heard last: to find that out takes longer the more addresses it has.
    pub fn lost(&mut self, board: &mut Board, from: &Name, now: Now) {
        if let Some(partner) = self.partners.get_mut(from) {
            partner.lost(self.last.get(from).copied().unwrap_or(now.own));
        }
        self.stand(board, now);
    }

    /// What changes by time alone.
    pub fn tick(&mut self, board: &mut Board, now: Now) {
        let names: Vec<Name> = self.partners.keys().cloned().collect();
        for name in names {
            let changes = self.partners.get_mut(&name).map(|partner| partner.tick(now.own));
            let changes = self.if_heard(&name, changes.unwrap_or_default());
            self.apply(board, &changes, now);
        }
        self.exports.tick(board.merged(), now.utc);
        self.stand(board, now);
    }

    /// This node's own routes cannot be read: those that were told before stay.
    pub fn own_stays(&mut self) {
        self.own_is_read = true;
    }

    /// This site's own routes are these from now on.
    pub fn set_own(&mut self, board: &mut Board, routes: &[Arc<Route>], now: Now) {
        let names: BTreeSet<&Name> = routes.iter().map(|route| &route.name).collect();
        let gone = board.of(&self.own).filter(|held| !names.contains(&held.route.name));
        let mut changes: Vec<Change> = gone.map(|held| becomes(held, None)).collect();
        let held =
            |route: &Arc<Route>| Held { from: self.own.clone(), route: route.clone(), withdrawn: false };
        changes.extend(routes.iter().map(|route| Change { before: None, after: Some(held(route)) }));
        self.own_is_read = true;
        self.apply(board, &changes, now);
    }

    /// The next document for a partner that has this version; nothing where it has all.
    ///
    /// # Errors
    /// It may not be told anything by this node.
    pub fn answer(&mut self, to: &Name, after: Option<Version>) -> Result<Option<Document>, NotTold> {
        self.exports.answer(to, after, MOST_CHANGES)
    }

    /// How many changes wait for a partner: urgent ones, and others.
    pub fn waiting(&self, to: &Name) -> (usize, usize) {
        self.exports.waiting(to)
    }

    fn if_heard(&self, from: &Name, mut changes: Vec<Change>) -> Vec<Change> {
        if !self.heard.contains(from) {
            changes.iter_mut().for_each(|change| change.after = change.after.as_ref().map(withheld));
        }
        changes
    }

    fn apply(&mut self, board: &mut Board, changes: &[Change], now: Now) {
        let matches = board.change(changes);
        self.exports.changed(board.merged(), &matches, now.utc);
    }

    /// Notes on the board how the partners stand.
    fn stand(&mut self, board: &mut Board, now: Now) {
        for (name, partner) in &self.partners {
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
