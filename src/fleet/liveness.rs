//! Who is alive, as this node thinks: SWIM (Das, Gupta, Motivala 2002) with suspicion, indirect probes and Lifeguard's
//! local health, suspicion times that shrink with independent confirmations and buddies (Dadgar, Phillips, Currey 2018).
//!
//! Who belongs comes from the view and is never concluded here. Time is a number of ms of this process's own monotonic
//! clock; one that has stood still, since the process had no core, is seen as that and not as the others' silence.

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;
use rand::seq::{IndexedRandom, IteratorRandom, SliceRandom};
use serde::{Deserialize, Serialize};

use super::gossip::{Gossip, State, UPDATES_PER_DATAGRAM, Update};
use super::health::Health;

/// Time from one probe to the next, and until it counts as unanswered directly, in ms.
pub const PERIOD_MS: u64 = 1000;
/// See [`PERIOD_MS`].
pub const TIMEOUT_MS: u64 = 400;
/// Time between two datagrams that only carry news, while there is some, and to how many they go. It does not grow with
/// illness: where a fifth of all datagrams is lost everyone is a little ill, and who is suspected has to hear of it.
const NEWS_MS: u64 = 500;
const HEARERS: usize = 2;
/// Nodes that are asked to probe in this one's place.
const HELPERS: usize = 3;
/// A helper that was not answered says so after this share of its time.
const NACK_SHARE: f64 = 0.8;
/// Probes of one node in a row that go unanswered before it is suspected: one that has no core for a second or two is
/// heard by then. With one, suspicions of living nodes were 0.85 of plain SWIM's.
const ROUNDS: u32 = 3;
/// Periods of the shortest suspicion for each tenfold of nodes, and how many times longer the longest is.
const SUSPICION: f64 = 3.0;
const LONGEST: f64 = 6.0;
/// Independent findings that make a suspicion as short as it gets.
const CONFIRMED: usize = 3;
/// A wake-up later than this was a standstill of the process, in ms.
const STANDSTILL_MS: u64 = 250;
/// One of so many periods also probes a node that is taken for dead.
const DEAD_EVERY: u32 = 3;
/// Draws of a peer for each one that is wanted, before all are looked through.
const DRAWS: usize = 8;
/// Probes that this node makes for others at once.
const MOST_HELPED: usize = 64;

/// What a datagram is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Word {
    /// Answer me.
    Ping(u32),
    /// Probe that node for me.
    PingFor(u32, u64),
    /// I am here, or the node that you asked me to probe is.
    Ack(u32),
    /// The node that you asked me to probe has not answered yet, and I am here.
    Nack(u32),
    /// Only news.
    Tell,
}

/// A datagram between two nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Who sends it.
    pub from: u64,
    /// Whom it is for.
    pub to: u64,
    /// The number of the view that the sender has.
    pub view: u64,
    /// How long ago the store was heard to be level with that view, by the sender or those before it, in ms.
    pub view_age_ms: u64,
    /// What it is for.
    pub word: Word,
    /// What is told with it.
    pub gossip: Vec<Update>,
}

/// What one node thinks of another: an opinion, and no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Opinion {
    /// What it thinks.
    pub state: State,
    /// Since when, in ms ago.
    pub since_ms: u64,
    /// Who found it first: the incarnation of a node.
    pub by: u64,
    /// When the node was last heard by this one, in ms ago.
    pub heard_ms: Option<u64>,
}

#[derive(Clone, Debug)]
struct Peer {
    state: State,
    life: u32,
    since: u64,
    by: u64,
    heard: Option<u64>,
    /// Who suspects it, and when the suspicion began.
    suspects: BTreeSet<u64>,
}

impl Peer {
    fn new(now: u64, by: u64) -> Self {
        Self { state: State::Alive, life: 0, since: now, by, heard: None, suspects: BTreeSet::new() }
    }
}

/// The probe of this period.
#[derive(Clone, Debug)]
struct Probe {
    target: u64,
    round: u32,
    word: u32,
    begun: u64,
    asked: BTreeSet<u64>,
    asked_at: Option<u64>,
    nacks: usize,
    answered: bool,
}

/// A probe in another's place.
#[derive(Clone, Copy, Debug)]
struct Helped {
    asker: u64,
    word: u32,
    nack_at: u64,
    nacked: bool,
    over_at: u64,
}

/// How many of what was sent and found.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: u64,
    /// Suspicions that this node began itself.
    pub suspected: u64,
    /// Nodes that it has taken for dead itself.
    pub declared: u64,
    /// Times that it spoke up against being suspected.
    pub refuted: u64,
    /// Times that it found that it had stood still.
    pub standstills: u64,
}

/// What differs from the plain protocol; all of it is on but in measurements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Care {
    /// Standstills, local health, shrinking suspicions and buddies.
    pub on: bool,
}

impl Default for Care {
    fn default() -> Self {
        Self { on: true }
    }
}

/// The machine of one node.
#[derive(Clone, Debug)]
pub struct Liveness {
    own: u64,
    life: u32,
    peers: BTreeMap<u64, Peer>,
    /// Those of them that are not alive: what is due at a waking is found without a look at all others.
    restless: BTreeSet<u64>,
    /// All of them, to draw from.
    ring: Vec<u64>,
    order: Vec<u64>,
    probe: Option<Probe>,
    /// Who is probed again, and for which time.
    again: Option<(u64, u32)>,
    helped: BTreeMap<u32, Helped>,
    gossip: Gossip,
    health: Health,
    care: Care,
    word: u32,
    next_probe: u64,
    next_news: u64,
    looked: u64,
    view: u64,
    view_level: u64,
    counts: Counts,
}

/// A datagram on its way out.
pub type Out = Vec<Datagram>;

impl Liveness {
    /// The machine of the node with this incarnation, which knows nobody yet.
    pub fn new(own: u64, now: u64, care: Care) -> Self {
        Self {
            own,
            life: 0,
            peers: BTreeMap::new(),
            restless: BTreeSet::new(),
            ring: Vec::new(),
            order: Vec::new(),
            probe: None,
            again: None,
            helped: BTreeMap::new(),
            gossip: Gossip::default(),
            health: Health::default(),
            care,
            word: 0,
            next_probe: now,
            next_news: now,
            looked: now,
            view: 0,
            view_level: now,
            counts: Counts::default(),
        }
    }

    /// Turns to those who belong by a view of this number. Whoever is new counts as alive, whoever is gone is forgotten.
    pub fn turn_to(&mut self, now: u64, view: u64, belongs: impl IntoIterator<Item = u64>) {
        let belongs: BTreeSet<u64> = belongs.into_iter().filter(|id| *id != self.own).collect();
        self.view = view;
        self.peers.retain(|id, _| belongs.contains(id));
        self.restless.retain(|id| belongs.contains(id));
        self.order.retain(|id| belongs.contains(id));
        let own = self.own;
        for id in &belongs {
            self.peers.entry(*id).or_insert_with(|| Peer::new(now, own));
        }
        self.ring = belongs.iter().copied().collect();
        self.gossip.keep(|about| about == own || belongs.contains(&about));
        if self.probe.as_ref().is_some_and(|probe| !belongs.contains(&probe.target)) {
            self.probe = None;
        }
    }

    /// Notes that the view was in force so long ago.
    pub fn level(&mut self, now: u64, age_ms: u64) {
        self.view_level = self.view_level.max(now.saturating_sub(age_ms));
    }

    /// How long ago the view was last heard to be in force, in ms.
    pub fn view_age_ms(&self, now: u64) -> u64 {
        now.saturating_sub(self.view_level)
    }

    /// What this node thinks of another.
    pub fn opinion(&self, now: u64, id: u64) -> Option<Opinion> {
        let peer = self.peers.get(&id)?;
        Some(Opinion {
            state: peer.state,
            since_ms: now.saturating_sub(peer.since),
            by: peer.by,
            heard_ms: peer.heard.map(|at| now.saturating_sub(at)),
        })
    }

    /// Nodes of a state.
    pub fn count(&self, state: State) -> usize {
        match state {
            State::Alive => self.peers.len() - self.restless.len(),
            _ => self.those(state).count(),
        }
    }

    /// The peers of a state other than alive.
    fn those(&self, state: State) -> impl Iterator<Item = (u64, &Peer)> {
        let peers = self.restless.iter().filter_map(|id| Some((*id, self.peers.get(id)?)));
        peers.filter(move |(_, peer)| peer.state == state)
    }

    /// Draws different peers that are fit, as many as there are up to `wanted`. A few draws find them unless few are
    /// fit, so that the work does not grow with the fleet.
    fn draw(&self, wanted: usize, fit: impl Fn(u64, &Peer) -> bool, rng: &mut impl Rng) -> Vec<u64> {
        let is_fit = |id: &u64| self.peers.get(id).is_some_and(|peer| fit(*id, peer));
        let mut drawn = Vec::with_capacity(wanted);
        for _ in 0..wanted * DRAWS {
            match self.ring.choose(rng) {
                Some(id) if !drawn.contains(id) && is_fit(id) => drawn.push(*id),
                _ => {}
            }
            if drawn.len() == wanted {
                return drawn;
            }
        }
        self.ring.iter().copied().filter(is_fit).choose_multiple(rng, wanted)
    }

    /// What was sent and found.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// How ill this node finds itself: 0 is well.
    pub fn illness(&self) -> u64 {
        self.health.score()
    }

    /// When [`Self::tick`] is to be called next.
    pub fn wake_at(&self) -> u64 {
        let probe = self.probe.as_ref().filter(|probe| !probe.answered && probe.asked_at.is_none());
        let timeout = probe.map(|probe| probe.begun + self.health.stretch(TIMEOUT_MS));
        let nacks = self.helped.values().filter(|helped| !helped.nacked).map(|helped| helped.nack_at);
        let ends =
            self.those(State::Suspect).map(|(_, peer)| peer.since + self.suspicion_ms(peer.suspects.len()));
        let news = (!self.gossip.is_empty()).then_some(self.next_news);
        timeout
            .into_iter()
            .chain(nacks)
            .chain(ends)
            .chain(news)
            .chain([self.next_probe])
            .min()
            .unwrap_or(self.next_probe)
    }

    /// How long a suspicion lasts that so many have found independently, in ms.
    fn suspicion_ms(&self, found: usize) -> u64 {
        let nodes = (self.peers.len() + 1) as f64;
        let shortest = SUSPICION * nodes.log10().max(1.0) * PERIOD_MS as f64;
        if !self.care.on {
            return shortest as u64;
        }
        // With few others nobody could confirm it.
        let most = CONFIRMED.min(self.peers.len().saturating_sub(1)).max(1);
        let share = ((found.min(most) as f64) + 1.0).ln() / ((most as f64) + 1.0).ln();
        let first = (2f64).ln() / ((most as f64) + 1.0).ln();
        // One finding alone has the longest time, as many as count the shortest.
        let share = if most == 1 { 1.0 } else { (share - first) / (1.0 - first) };
        let longest = LONGEST * shortest;
        (longest - (longest - shortest) * share.clamp(0.0, 1.0)) as u64
    }

    /// A clock that jumps past the time of waking has stood still with the process: what was to be heard meanwhile may
    /// still wait to be read, so every time that runs is put off by the gap.
    fn stood_still(&mut self, now: u64) {
        let due = self.wake_at().max(self.looked);
        let gap = now.saturating_sub(due);
        self.looked = now;
        if !self.care.on || gap <= STANDSTILL_MS {
            return;
        }
        self.counts.standstills += 1;
        self.health.worse(1);
        self.next_probe += gap;
        if let Some(probe) = &mut self.probe {
            probe.begun += gap;
            probe.asked_at = probe.asked_at.map(|at| at + gap);
        }
        for helped in self.helped.values_mut() {
            helped.nack_at += gap;
            helped.over_at += gap;
        }
        for id in &self.restless {
            if let Some(peer) = self.peers.get_mut(id).filter(|peer| peer.state == State::Suspect) {
                peer.since += gap;
            }
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: u64, rng: &mut impl Rng) -> Out {
        self.stood_still(now);
        let mut out = Out::new();
        self.ask_helpers(now, rng, &mut out);
        self.help_on(now, &mut out);
        self.end_suspicions(now);
        if now >= self.next_probe {
            self.judge(now);
            self.probe_next(now, rng, &mut out);
        }
        self.tell_news(now, rng, &mut out);
        self.counts.sent += out.len() as u64;
        out
    }

    fn datagram(&mut self, now: u64, to: u64, word: Word) -> Datagram {
        let mut gossip = Vec::new();
        // Who is suspected hears of it first of all, so that it can speak up.
        if self.care.on
            && let Some(peer) = self.peers.get(&to).filter(|peer| peer.state != State::Alive)
        {
            gossip.push(Update { about: to, life: peer.life, state: peer.state, by: peer.by });
        }
        let nodes = self.peers.len() + 1;
        gossip.extend(self.gossip.take(UPDATES_PER_DATAGRAM - gossip.len(), nodes));
        let (from, view, view_age_ms) = (self.own, self.view, self.view_age_ms(now));
        Datagram { from, to, view, view_age_ms, word, gossip }
    }

    fn new_word(&mut self) -> u32 {
        self.word = self.word.wrapping_add(1);
        self.word
    }

    fn probe_next(&mut self, now: u64, rng: &mut impl Rng, out: &mut Out) {
        self.next_probe = now + self.health.stretch(PERIOD_MS);
        // The dead are looked for now and then, since they belong as long as the view has them.
        if rng.random_ratio(1, DEAD_EVERY) {
            let dead = self.those(State::Dead).map(|(id, _)| id).choose(rng);
            if let Some(dead) = dead {
                let word = self.new_word();
                out.push(self.datagram(now, dead, Word::Ping(word)));
            }
        }
        let again = self.again.take().filter(|(id, _)| self.peers.contains_key(id));
        let Some((target, round)) = again.or_else(|| Some((self.next_target(rng)?, 1))) else { return };
        let word = self.new_word();
        out.push(self.datagram(now, target, Word::Ping(word)));
        self.probe = Some(Probe {
            target,
            round,
            word,
            begun: now,
            asked: BTreeSet::new(),
            asked_at: None,
            nacks: 0,
            answered: false,
        });
    }

    fn tell_news(&mut self, now: u64, rng: &mut impl Rng, out: &mut Out) {
        if now < self.next_news || self.gossip.is_empty() {
            return;
        }
        self.next_news = now + NEWS_MS;
        for hearer in self.draw(HEARERS, |_, peer| peer.state != State::Dead, rng) {
            out.push(self.datagram(now, hearer, Word::Tell));
        }
    }

    /// Each in turn, in an order that is drawn anew for each round.
    fn next_target(&mut self, rng: &mut impl Rng) -> Option<u64> {
        for _ in 0..2 {
            while let Some(id) = self.order.pop() {
                if self.peers.get(&id).is_some_and(|peer| peer.state != State::Dead) {
                    return Some(id);
                }
            }
            self.order.clone_from(&self.ring);
            self.order.shuffle(rng);
        }
        None
    }

    /// Others probe in this node's place where it was not answered.
    fn ask_helpers(&mut self, now: u64, rng: &mut impl Rng, out: &mut Out) {
        let timeout = self.health.stretch(TIMEOUT_MS);
        let Some((target, word)) = self
            .probe
            .as_ref()
            .filter(|probe| !probe.answered && probe.asked_at.is_none() && now >= probe.begun + timeout)
            .map(|probe| (probe.target, probe.word))
        else {
            return;
        };
        let helpers = self.draw(HELPERS, |id, peer| id != target && peer.state == State::Alive, rng);
        for helper in &helpers {
            out.push(self.datagram(now, *helper, Word::PingFor(word, target)));
        }
        if let Some(probe) = &mut self.probe {
            (probe.asked, probe.asked_at) = (helpers.into_iter().collect(), Some(now));
        }
    }

    /// Says to those that asked that nothing was heard yet, and forgets what is over.
    fn help_on(&mut self, now: u64, out: &mut Out) {
        let late: Vec<(u64, u32)> = self
            .helped
            .values_mut()
            .filter(|helped| !helped.nacked && now >= helped.nack_at)
            .map(|helped| {
                helped.nacked = true;
                (helped.asker, helped.word)
            })
            .collect();
        for (asker, word) in late {
            out.push(self.datagram(now, asker, Word::Nack(word)));
        }
        self.helped.retain(|_, helped| now < helped.over_at);
    }

    /// What came of the last probe, when the next one is due.
    fn judge(&mut self, now: u64) {
        let Some(probe) = self.probe.take() else { return };
        if probe.answered {
            return;
        }
        let Some(peer) = self.peers.get(&probe.target) else { return };
        let (life, state) = (peer.life, peer.state);
        // One that was heard meanwhile is alive, whatever becomes of what is sent to it.
        let heard = peer.heard.is_some_and(|at| at >= probe.begun);
        if self.care.on {
            let missing = probe.asked.len() - probe.nacks.min(probe.asked.len());
            self.health.worse(if probe.asked.is_empty() { 1 } else { missing as u64 });
        }
        if self.care.on && heard {
            return;
        }
        if self.care.on && state == State::Alive && probe.round < ROUNDS {
            self.again = Some((probe.target, probe.round + 1));
            return;
        }
        if state == State::Alive {
            self.counts.suspected += 1;
        }
        let update = Update { about: probe.target, life, state: State::Suspect, by: self.own };
        self.believe(now, update);
    }

    fn end_suspicions(&mut self, now: u64) {
        let over: Vec<(u64, u32)> = self
            .those(State::Suspect)
            .filter(|(_, peer)| now >= peer.since + self.suspicion_ms(peer.suspects.len()))
            .map(|(id, peer)| (id, peer.life))
            .collect();
        for (about, life) in over {
            // One that was heard since is alive, though it may not hear that it is suspected.
            if let Some(peer) = self.peers.get_mut(&about).filter(|peer| peer.heard > Some(peer.since))
                && self.care.on
            {
                (peer.state, peer.since) = (State::Alive, now);
                peer.suspects.clear();
                self.restless.remove(&about);
                continue;
            }
            self.counts.declared += 1;
            self.believe(now, Update { about, life, state: State::Dead, by: self.own });
        }
    }

    /// Takes a piece of news in, and tells it on where it is one.
    fn believe(&mut self, now: u64, update: Update) {
        if update.about == self.own {
            self.speak_up(update);
            return;
        }
        let Some(peer) = self.peers.get_mut(&update.about) else { return };
        let known = Update { about: update.about, life: peer.life, state: peer.state, by: peer.by };
        let confirms = update.state == State::Suspect
            && peer.state == State::Suspect
            && update.life == peer.life
            && peer.suspects.len() < CONFIRMED
            && peer.suspects.insert(update.by);
        if update.supersedes(&known) {
            (peer.state, peer.life, peer.by, peer.since) = (update.state, update.life, update.by, now);
            peer.suspects.clear();
            if update.state == State::Suspect {
                peer.suspects.insert(update.by);
            }
            match update.state {
                State::Alive => self.restless.remove(&update.about),
                _ => self.restless.insert(update.about),
            };
        } else if !confirms {
            return;
        }
        self.gossip.add(update);
    }

    /// This node is suspected, or taken for dead: it says that it lives, under a life that nobody has spoken of.
    fn speak_up(&mut self, update: Update) {
        if update.state == State::Alive {
            return;
        }
        // Who speaks of an earlier life has missed that this node has spoken up: it does so again.
        if update.life >= self.life {
            self.life = update.life + 1;
            self.counts.refuted += 1;
            if self.care.on {
                self.health.worse(1);
            }
        }
        self.gossip.add(Update { about: self.own, life: self.life, state: State::Alive, by: self.own });
    }

    /// Hears a datagram, and answers it. What is not for this life of the node, or from nobody who belongs, is passed
    /// over.
    pub fn hear(&mut self, now: u64, datagram: &Datagram) -> Out {
        let mut out = Out::new();
        if datagram.to != self.own || !self.peers.contains_key(&datagram.from) {
            return out;
        }
        self.stood_still(now);
        self.heard_from(now, datagram.from);
        if datagram.view == self.view {
            self.level(now, datagram.view_age_ms);
        }
        for update in datagram.gossip.iter().take(UPDATES_PER_DATAGRAM) {
            self.believe(now, *update);
        }
        match datagram.word {
            Word::Ping(word) => out.push(self.datagram(now, datagram.from, Word::Ack(word))),
            Word::PingFor(word, target) => self.help(now, datagram.from, word, target, &mut out),
            Word::Tell => {}
            Word::Ack(word) => self.answered(now, word, &mut out),
            Word::Nack(word) => {
                if let Some(probe) = self.probe.as_mut().filter(|probe| probe.word == word)
                    && probe.asked.contains(&datagram.from)
                {
                    probe.nacks += 1;
                }
            }
        }
        self.counts.sent += out.len() as u64;
        out
    }

    fn heard_from(&mut self, now: u64, from: u64) {
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.heard = Some(now);
        }
    }

    fn help(&mut self, now: u64, asker: u64, word: u32, target: u64, out: &mut Out) {
        if !self.peers.contains_key(&target) || self.helped.len() >= MOST_HELPED {
            return;
        }
        let own = self.new_word();
        let helped = Helped {
            asker,
            word,
            nack_at: now + (TIMEOUT_MS as f64 * NACK_SHARE) as u64,
            nacked: false,
            over_at: now + PERIOD_MS,
        };
        self.helped.insert(own, helped);
        out.push(self.datagram(now, target, Word::Ping(own)));
    }

    /// An answer to this node's probe, or to one that it made for another.
    fn answered(&mut self, now: u64, word: u32, out: &mut Out) {
        if let Some(helped) = self.helped.remove(&word) {
            out.push(self.datagram(now, helped.asker, Word::Ack(helped.word)));
            return;
        }
        let Some(probe) = self.probe.as_mut().filter(|probe| probe.word == word && !probe.answered) else {
            return;
        };
        probe.answered = true;
        if self.care.on {
            self.health.better();
        }
    }
}
