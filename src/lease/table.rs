//! The sessions of the nodes and the duties under them, as the store's members agree on it. It knows no clock: what ends
//! by time is proposed by [`super::expiry::Watch`] with the mark that it saw to stand, and does nothing where that has moved.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::assign::{Field, draw_of};
use super::expiry::LEASE_MS;
use super::{DutyName, MOST_DUTIES, MOST_STATE};
use crate::fleet::view::MOST_NAME;

/// Sessions at the most.
pub const MOST_SESSIONS: usize = 4096;
/// Holders in a row that a duty may kill before it is set aside.
const MOST_DEATHS: u32 = 3;
/// Renewals with progress after which a duty has done no harm.
const PROVEN: u32 = 10;
/// Duties that a node hands on at a time so that others have their share.
const MOST_MOVES: usize = 8;
/// Sessions that could not do a duty which are remembered.
const MOST_AVOIDED: usize = 8;

/// Duties of one kind that are shown.
const MOST_SHOWN: usize = 16;

/// Whether a node is fit for duties.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fit {
    /// It is.
    Ready,
    /// It has just begun: it is given duties only where nobody else is fit.
    Cold,
    /// It goes: it is given none, and hands on what it has.
    Draining,
}

/// A node's session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    /// The node's name.
    pub node: String,
    /// Its life in the fleet's view.
    pub incarnation: u64,
    /// How many times as much as others it is given; 0 for nothing.
    pub weight: u8,
    /// Its lease, in ms.
    pub lease_ms: u64,
    /// Renewals over which a duty may stand still.
    pub still_most: u32,
    /// Whether it is fit.
    pub fit: Fit,
    /// Whether its renewal is awaited: it is given nothing more.
    pub late: bool,
    /// The revision of its last renewal: no two renewals, of whatever sessions, have the same.
    pub renewed: u64,
    /// The revision at which its duties changed last.
    pub changed: u64,
}

/// How a duty stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// Nobody has it, and nobody fit is there.
    Free,
    /// A session has it.
    Held {
        /// Which.
        by: u64,
        /// To whom it is to be handed on, in order.
        hand_on: Option<u64>,
    },
    /// It is taken from a session, which may act under it until it confirms, or its lease is over.
    Ending {
        /// Which.
        by: u64,
    },
    /// It killed its holders, and waits.
    Aside,
}

impl State {
    /// Whether time ends it.
    pub fn ends_by_time(&self) -> bool {
        matches!(self, Self::Ending { .. } | Self::Aside)
    }

    /// The session that may act.
    pub fn holder(&self) -> Option<u64> {
        match self {
            Self::Held { by, .. } | Self::Ending { by } => Some(*by),
            Self::Free | Self::Aside => None,
        }
    }
}

/// A duty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Duty {
    /// The number of its last holder; 0 before the first.
    pub number: u64,
    /// How it stands.
    pub state: State,
    /// What its holder has done, as of its last renewal.
    pub progress: u64,
    /// Renewals since that has moved.
    pub still: u32,
    /// Renewals with which it moved under this number.
    pub proven: u32,
    /// Whether its holder has begun.
    pub begun: bool,
    /// Holders in a row that died with it.
    pub deaths: u32,
    /// How often it was set aside.
    pub asides: u32,
    /// The state that the one before handed on.
    pub handed: Vec<u8>,
    /// Sessions that could not do it, the oldest first.
    pub avoid: Vec<u64>,
}

/// What a session has done for one of its duties.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// The duty.
    pub duty: DutyName,
    /// Under which number.
    pub number: u64,
    /// A count that only grows while it works.
    pub progress: u64,
}

/// A change of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Deed {
    /// There are these duties.
    Declare(BTreeSet<DutyName>),
    /// There is this duty no more; its holder has to stop.
    Retire(DutyName),
    /// A node begins a session.
    Open {
        /// A random word.
        session: u64,
        /// The node's name.
        node: String,
        /// Its life in the fleet's view.
        incarnation: u64,
        /// How many times as much as others it is given.
        weight: u8,
        /// Its lease, in ms.
        lease_ms: u64,
        /// Renewals over which a duty may stand still.
        still_most: u32,
        /// Whether it is fit.
        fit: Fit,
    },
    /// A session goes on.
    Renew {
        /// Which.
        session: u64,
        /// Whether its node is fit.
        fit: Fit,
        /// What it did.
        work: Vec<Work>,
    },
    /// A session has stopped to act under a duty.
    Release {
        /// Which session.
        session: u64,
        /// Which duty.
        duty: DutyName,
        /// Under which number.
        number: u64,
        /// What the next one is to know.
        state: Vec<u8>,
        /// Whether it could not do it.
        unable: bool,
    },
    /// A session has stopped to act under all of its duties, and ends.
    Close {
        /// Which.
        session: u64,
    },
    /// A session was seen to stand at this renewal for longer than its lease.
    Expire {
        /// Which.
        session: u64,
        /// The renewal.
        renewed: u64,
    },
    /// A session's renewal is awaited.
    Late {
        /// Which.
        session: u64,
        /// The renewal.
        renewed: u64,
    },
    /// A duty was seen to be taken from its holder for longer than that one's lease.
    Ended {
        /// Which.
        duty: DutyName,
        /// The number.
        number: u64,
    },
    /// A duty that was set aside may be tried again.
    Return {
        /// Which.
        duty: DutyName,
        /// The number.
        number: u64,
    },
    /// Who takes effects has seen this number: the next one has to be higher. A store that was restored needs it.
    Above(u64),
}

impl Deed {
    /// The session that it is about, where there is one that goes on.
    pub fn session(&self) -> Option<u64> {
        match self {
            Self::Open { session, .. } | Self::Renew { session, .. } | Self::Release { session, .. } => {
                Some(*session)
            }
            _ => None,
        }
    }

    /// About how many bytes it has.
    pub fn size(&self) -> usize {
        match self {
            Self::Declare(names) => names.iter().map(|name| name.as_str().len()).sum(),
            Self::Renew { work, .. } => work.iter().map(|work| work.duty.as_str().len() + 32).sum(),
            Self::Release { state, .. } => state.len() * 4,
            _ => 64,
        }
    }
}

/// Why a change is not made.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum Refused {
    /// The session has ended, or never was.
    #[error("session {0:016x} has ended")]
    Ended(u64),
    /// The session does not have that duty under that number.
    #[error("{duty} is not held under number {number}")]
    NotHeld {
        /// The duty.
        duty: DutyName,
        /// The number.
        number: u64,
    },
    /// There is room for no more.
    #[error("there is no room for more than {MOST_SESSIONS} sessions and {MOST_DUTIES} duties")]
    Full,
    /// A value is out of its range.
    #[error("{0} is out of its range")]
    Range(String),
}

/// A duty that a session has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The duty.
    pub duty: DutyName,
    /// Its number.
    pub number: u64,
    /// Whether it is to be handed on.
    pub hand_on: bool,
    /// What the one before handed on.
    pub state: Vec<u8>,
}

/// All that a session has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grants {
    /// Whose they are.
    pub session: u64,
    /// Of which revision of the table; an older one than was seen counts for nothing.
    pub revision: u64,
    /// The duties; one that is being taken away is not among them.
    pub grants: Vec<Grant>,
    /// How all duties stand.
    pub standing: Standing,
    /// Where the member is that leads, where another one has asked it.
    #[serde(default)]
    pub leader: Option<String>,
}

/// How all duties stand, for people.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    /// How many there are.
    pub duties: usize,
    /// Sessions of nodes.
    pub sessions: usize,
    /// Those that nobody has: the first of them.
    pub free: Vec<DutyName>,
    /// Those that are taken from a holder which has not confirmed it: the first of them.
    pub ending: Vec<DutyName>,
    /// Those that are set aside as they killed their holders: the first of them.
    pub aside: Vec<DutyName>,
}

/// Sessions and duties.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    revision: u64,
    /// The last number that was given, over all duties: none is used twice, whichever duties come and go.
    number: u64,
    sessions: BTreeMap<u64, Session>,
    duties: BTreeMap<DutyName, Duty>,
}

impl Table {
    /// Changes so far.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// A session.
    pub fn session(&self, id: u64) -> Option<&Session> {
        self.sessions.get(&id)
    }

    /// All sessions.
    pub fn sessions(&self) -> impl Iterator<Item = (u64, &Session)> {
        self.sessions.iter().map(|(id, session)| (*id, session))
    }

    /// A duty.
    pub fn duty(&self, name: &DutyName) -> Option<&Duty> {
        self.duties.get(name)
    }

    /// All duties.
    pub fn duties(&self) -> impl Iterator<Item = (&DutyName, &Duty)> {
        self.duties.iter()
    }

    /// What a session has; none where it has ended.
    pub fn grants(&self, session: u64) -> Option<Grants> {
        self.sessions.get(&session)?;
        let grant = |(name, duty): (&DutyName, &Duty)| match duty.state {
            State::Held { by, hand_on } if by == session => Some(Grant {
                duty: name.clone(),
                number: duty.number,
                hand_on: hand_on.is_some(),
                state: duty.handed.clone(),
            }),
            _ => None,
        };
        let grants = self.duties.iter().filter_map(grant).collect();
        Some(Grants { session, revision: self.revision, grants, standing: self.standing(), leader: None })
    }

    /// How all duties stand.
    pub fn standing(&self) -> Standing {
        let like = |is: fn(&State) -> bool| {
            let such = self.duties.iter().filter(|(_, duty)| is(&duty.state));
            such.map(|(name, _)| name.clone()).take(MOST_SHOWN).collect()
        };
        Standing {
            duties: self.duties.len(),
            sessions: self.sessions.len(),
            free: like(|state| *state == State::Free),
            ending: like(|state| matches!(state, State::Ending { .. })),
            aside: like(|state| *state == State::Aside),
        }
    }

    /// Makes a change. `belongs` says whether that life of a node is in the fleet's view.
    ///
    /// # Errors
    /// Nothing is changed, for the reason given. What time was said to end and has moved since is no error.
    pub fn apply(&mut self, deed: Deed, belongs: &dyn Fn(&str, u64) -> bool) -> Result<(), Refused> {
        self.revision += 1;
        let moved = self.change(deed)?;
        if moved {
            self.settle(belongs);
        }
        Ok(())
    }

    /// Makes a change, and says whether duties may have to be given or moved for it.
    fn change(&mut self, deed: Deed) -> Result<bool, Refused> {
        match deed {
            Deed::Declare(names) => self.declare(names),
            Deed::Retire(name) => {
                if let Some(duty) = self.duties.remove(&name) {
                    self.touch(duty.state.holder());
                }
                Ok(true)
            }
            Deed::Open { session, node, incarnation, weight, lease_ms, still_most, fit } => {
                let new = Session {
                    node,
                    incarnation,
                    weight,
                    lease_ms,
                    still_most,
                    fit,
                    late: false,
                    renewed: self.revision,
                    changed: self.revision,
                };
                self.open(session, new)
            }
            Deed::Renew { session, fit, work } => self.renew(session, fit, &work),
            Deed::Release { session, duty, number, state, unable } => {
                self.release(session, &duty, number, state, unable)
            }
            Deed::Close { session } => {
                self.sessions.remove(&session).ok_or(Refused::Ended(session))?;
                self.free_all(session, false);
                Ok(true)
            }
            Deed::Expire { session, renewed } => {
                let stands = self.sessions.get(&session).is_some_and(|there| there.renewed == renewed);
                if stands {
                    self.sessions.remove(&session);
                    self.free_all(session, true);
                }
                Ok(stands)
            }
            Deed::Late { session, renewed } => {
                let there = self.sessions.get_mut(&session).filter(|there| there.renewed == renewed);
                Ok(there.is_some_and(|there| !std::mem::replace(&mut there.late, true)))
            }
            Deed::Ended { duty, number } => {
                Ok(self.free_if(&duty, number, |state| matches!(state, State::Ending { .. })))
            }
            Deed::Return { duty, number } => Ok(self.free_if(&duty, number, |state| *state == State::Aside)),
            Deed::Above(seen) => {
                // A receiver that makes numbers up must not use them up.
                if seen > u64::MAX / 2 {
                    return Err(Refused::Range(format!("number {seen}")));
                }
                self.number = self.number.max(seen);
                Ok(false)
            }
        }
    }

    fn declare(&mut self, names: BTreeSet<DutyName>) -> Result<bool, Refused> {
        let new: Vec<DutyName> = names.into_iter().filter(|name| !self.duties.contains_key(name)).collect();
        if self.duties.len() + new.len() > MOST_DUTIES {
            return Err(Refused::Full);
        }
        let some = !new.is_empty();
        let duty = Duty {
            number: 0,
            state: State::Free,
            progress: 0,
            still: 0,
            proven: 0,
            begun: false,
            deaths: 0,
            asides: 0,
            handed: Vec::new(),
            avoid: Vec::new(),
        };
        self.duties.extend(new.into_iter().map(|name| (name, duty.clone())));
        Ok(some)
    }

    fn open(&mut self, id: u64, new: Session) -> Result<bool, Refused> {
        // One that asks again for the session that it has counts its lease from that question: so does the watch.
        if let Some(there) = self.sessions.get_mut(&id) {
            there.renewed = self.revision;
            return Ok(std::mem::replace(&mut there.late, false));
        }
        if new.node.is_empty() || new.node.len() > MOST_NAME {
            return Err(Refused::Range(format!("the name '{}'", new.node)));
        }
        if !(LEASE_MS.0..=LEASE_MS.1).contains(&new.lease_ms) {
            return Err(Refused::Range(format!("a lease of {} ms", new.lease_ms)));
        }
        if self.sessions.len() >= MOST_SESSIONS {
            return Err(Refused::Full);
        }
        // Another process of the node: the one before hands on what it has, or its lease ends.
        for session in self.sessions.values_mut().filter(|there| there.node == new.node) {
            session.fit = Fit::Draining;
        }
        self.sessions.insert(id, new);
        Ok(true)
    }

    fn renew(&mut self, id: u64, fit: Fit, work: &[Work]) -> Result<bool, Refused> {
        let session = self.sessions.get_mut(&id).ok_or(Refused::Ended(id))?;
        session.renewed = self.revision;
        let mut moved = std::mem::replace(&mut session.late, false);
        // One that another process has followed stays so.
        if session.fit != Fit::Draining {
            moved |= session.fit != fit;
            session.fit = fit;
        }
        let (most, revision) = (session.still_most, self.revision);
        let mut taken = false;
        for (name, duty) in &mut self.duties {
            if !matches!(duty.state, State::Held { by, .. } if by == id) {
                continue;
            }
            let done = work.iter().find(|work| work.duty == *name && work.number == duty.number);
            if duty.count(done.map(|work| work.progress)) > most {
                duty.state = State::Ending { by: id };
                duty.avoid(id);
                taken = true;
            }
        }
        if taken && let Some(session) = self.sessions.get_mut(&id) {
            session.changed = revision;
        }
        Ok(moved)
    }

    fn release(
        &mut self,
        session: u64,
        name: &DutyName,
        number: u64,
        state: Vec<u8>,
        unable: bool,
    ) -> Result<bool, Refused> {
        if state.len() > MOST_STATE {
            return Err(Refused::Range(format!("a state of {} bytes", state.len())));
        }
        let not_held = || Refused::NotHeld { duty: name.clone(), number };
        let duty = self.duties.get_mut(name).ok_or_else(not_held)?;
        if duty.number != number || duty.state.holder() != Some(session) {
            return Err(not_held());
        }
        let next = match duty.state {
            State::Held { hand_on, .. } => hand_on,
            _ => None,
        };
        if !state.is_empty() || duty.proven > 0 {
            duty.handed = state;
        }
        duty.deaths = 0;
        if unable {
            duty.avoid(session);
        }
        duty.state = State::Free;
        self.touch(Some(session));
        // The one that it was meant for gets it, if it is there still.
        if let Some(next) = next.filter(|next| self.sessions.get(next).is_some_and(Session::takes)) {
            self.give(name, next);
        }
        Ok(true)
    }

    fn free_if(&mut self, name: &DutyName, number: u64, is: impl Fn(&State) -> bool) -> bool {
        let Some(duty) = self.duties.get_mut(name) else { return false };
        let ends = duty.number == number && is(&duty.state);
        if ends {
            duty.state = State::Free;
        }
        ends
    }

    /// A session has ended, in order or not.
    fn free_all(&mut self, session: u64, died: bool) {
        for duty in self.duties.values_mut() {
            duty.avoid.retain(|other| *other != session);
            if duty.state.holder() == Some(session) {
                duty.end(died);
            }
        }
    }

    fn touch(&mut self, session: Option<u64>) {
        if let Some(session) = session.and_then(|id| self.sessions.get_mut(&id)) {
            session.changed = self.revision;
        }
    }

    fn give(&mut self, name: &DutyName, to: u64) {
        if let Some(duty) = self.duties.get_mut(name) {
            self.number += 1;
            duty.begin(self.number, to);
            self.touch(Some(to));
        }
    }

    /// Gives what is free and plans what is to move, now that sessions, duties or the view are others.
    pub fn settle(&mut self, belongs: &dyn Fn(&str, u64) -> bool) {
        let mut field = self.field(belongs);
        self.forget_moves(&field);
        for duty in self.duties.values() {
            match duty.state {
                State::Held { by, hand_on } => field.load(hand_on.unwrap_or(by)),
                State::Ending { .. } | State::Free | State::Aside => {}
            }
        }
        self.give_free(&mut field);
        self.send_away(&mut field, belongs);
        self.balance(&mut field);
    }

    /// The nodes that may be given duties: those that are ready, or cold ones where nobody is.
    fn field(&self, belongs: &dyn Fn(&str, u64) -> bool) -> Field {
        let held = self.duties.values().filter(|duty| duty.state != State::Aside).count();
        let mut field = Field::new(held);
        let takes = |session: &&Session| session.takes() && belongs(&session.node, session.incarnation);
        let ready = self.sessions.values().filter(takes).any(|session| session.fit == Fit::Ready);
        for (id, session) in self.sessions.iter().filter(|(_, session)| takes(session)) {
            if session.fit == Fit::Ready || !ready {
                field.seat(*id, draw_of(&session.node), session.weight);
            }
        }
        field
    }

    /// Moves to those that are not fit any more are not made.
    fn forget_moves(&mut self, field: &Field) {
        let mut touched = BTreeSet::new();
        for duty in self.duties.values_mut() {
            if let State::Held { by, hand_on } = &mut duty.state
                && hand_on.is_some_and(|to| !field.has(to))
            {
                *hand_on = None;
                touched.insert(*by);
            }
        }
        touched.into_iter().for_each(|id| self.touch(Some(id)));
    }

    fn give_free(&mut self, field: &mut Field) {
        let free = self.duties.iter().filter(|(_, duty)| duty.state == State::Free);
        let free: Vec<(DutyName, Vec<u64>)> =
            free.map(|(name, duty)| (name.clone(), duty.avoid.clone())).collect();
        for (name, avoid) in free {
            if let Some(to) = field.choose(draw_of(name.as_str()), &avoid) {
                field.load(to);
                self.give(&name, to);
            }
        }
    }

    /// Whoever goes hands on what it has.
    fn send_away(&mut self, field: &mut Field, belongs: &dyn Fn(&str, u64) -> bool) {
        let goes =
            |session: &Session| session.fit == Fit::Draining || !belongs(&session.node, session.incarnation);
        let going: BTreeSet<u64> =
            self.sessions.iter().filter(|(_, session)| goes(session)).map(|(id, _)| *id).collect();
        if going.is_empty() {
            return;
        }
        for (name, duty) in &mut self.duties {
            if let State::Held { by, hand_on: hand_on @ None } = &mut duty.state
                && going.contains(by)
                && let Some(to) = field.choose(draw_of(name.as_str()), &duty.avoid)
            {
                *hand_on = Some(to);
                field.load(to);
            }
        }
        going.into_iter().for_each(|id| self.touch(Some(id)));
    }

    /// Whoever lacks duties to its share gets some from those that have more than theirs, a few at a time from each: the
    /// next ones follow when those are handed on.
    fn balance(&mut self, field: &mut Field) {
        let mut under_way = BTreeMap::<u64, usize>::new();
        for duty in self.duties.values() {
            if let State::Held { by, hand_on: Some(_) } = duty.state {
                *under_way.entry(by).or_default() += 1;
            }
        }
        while let Some((from, to)) = field.next_move() {
            let moves = under_way.entry(from).or_default();
            if *moves >= MOST_MOVES {
                field.keep(from);
                continue;
            }
            let movable = self.duties.iter_mut().filter(|(_, duty)| {
                matches!(duty.state, State::Held { by, hand_on: None } if by == from)
                    && !duty.avoid.contains(&to)
            });
            let best = movable.max_by_key(|(name, _)| field.draw(to, draw_of(name.as_str())));
            // One that can do none of them keeps nobody else from its share.
            let Some((_, duty)) = best else {
                field.fill(to);
                continue;
            };
            duty.state = State::Held { by: from, hand_on: Some(to) };
            *moves += 1;
            field.unload(from);
            field.load(to);
            self.touch(Some(from));
        }
    }
}

impl Session {
    /// Whether it may be given duties, as far as it says and was heard.
    fn takes(&self) -> bool {
        self.fit != Fit::Draining && !self.late && self.weight > 0
    }
}

impl Duty {
    fn begin(&mut self, number: u64, by: u64) {
        self.number = number;
        self.state = State::Held { by, hand_on: None };
        (self.progress, self.still, self.proven, self.begun) = (0, 0, 0, false);
    }

    /// Counts a renewal of its holder, with what was done if it has begun. Returns for how many it has stood still.
    fn count(&mut self, progress: Option<u64>) -> u32 {
        self.begun |= progress.is_some();
        match progress {
            Some(progress) if progress > self.progress => {
                self.progress = progress;
                self.still = 0;
                self.proven = self.proven.saturating_add(1);
                // What was handed on is known to its holder by now.
                self.handed.clear();
                if self.proven == PROVEN {
                    (self.deaths, self.asides) = (0, 0);
                    self.avoid.clear();
                }
            }
            _ => self.still += 1,
        }
        self.still
    }

    fn avoid(&mut self, session: u64) {
        if !self.avoid.contains(&session) {
            if self.avoid.len() >= MOST_AVOIDED {
                self.avoid.remove(0);
            }
            self.avoid.push(session);
        }
    }

    /// Its holder is gone.
    fn end(&mut self, died: bool) {
        self.state = State::Free;
        if died && self.begun {
            self.deaths += 1;
        }
        if self.deaths >= MOST_DEATHS {
            self.deaths = 0;
            self.asides = self.asides.saturating_add(1);
            self.state = State::Aside;
        }
    }
}
