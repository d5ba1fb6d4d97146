//! The pool: what is known of each server, the choice, and what its end teaches.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

use rand::Rng;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use slotmap::SlotMap;

use super::budget::RetryBudget;
use super::choice::Eligible;
use super::estimate::Rate;
use super::outlier::{Measured, median, outliers};
use super::server::{Server, ServerId, ServerState, Spec, Start, TRIALS};
use super::slow_start::{self, Terms};
use crate::ejection::list::Share;
use crate::server_stats::{
    Digest, Inherited, MOST_AGE_MS, MOST_LOG, MergeResult, Prior, ReportedEstimate, Sample, ServerStats,
    StartReport,
};

/// Time between looks at the whole pool, and the least time before one that failures in a row call for, in ms.
const REVIEW_MS: f64 = 1_000.0;
const EARLY_REVIEW_MS: f64 = 100.0;
/// Failures in a row that call for an early look.
const STREAK: u32 = 3;
/// Own calls in hand, by weight, that make a server take twice its time.
const CROWD: f64 = 6.0;
/// What a failure costs, in times of a usual call.
const FAILURE_COST: f64 = 10.0;
/// Share of safe calls that go to a server on trial, while there is one, and how long it waits for one of those, in ms.
const TRIAL_SHARE: f64 = 0.1;
const TRIAL_WAITS_MS: f64 = 20_000.0;
/// The least time between a refused connection and a call that is sent there to see whether the server is back, in ms:
/// each may cost a further attempt out of the budget.
const PROBE_WAITS_MS: f64 = 1_000.0;
/// Share of safe calls that may go to a server because it was not measured for so long, in ms.
const LOOK_SHARE: f64 = 0.02;
const LOOK_AGE_MS: f64 = 20_000.0;
/// Share of safe calls that go to servers of which the fleet asks for evidence, and the least time between two to one, in
/// ms.
const ASKED_SHARE: f64 = 0.1;
const ASKED_WAITS_MS: f64 = 1_000.0;
/// Samples and calls for which "as the pool" counts in each server's estimate.
const USUAL_SAMPLES: f64 = 0.5;
const USUAL_CALLS: f64 = 1.0;
/// The least part of a new sample in the pool's level, and the most that one may move it, as log time.
const LEVEL_GAIN: f64 = 0.03;
const MOST_RESIDUAL: f64 = 1.5;
/// A call of a trial is good up to this log time beside the pool: 4.5 times.
const TRIAL_SLOW: f64 = 1.5;
/// The variance of single samples where there are too few to tell.
const USUAL_VARIANCE: f64 = 0.25;
/// Samples that a level counts for which another node told.
const LEVEL_TOLD: f64 = 3.0;
/// Servers that something must be known of before the level is put at their middle.
const LEAST_KNOWN: usize = 4;
/// How much the slowest server is wanted beside a usual one: it is still tried now and then.
const LEAST_WANTED: f64 = 0.05;
/// The least time and work that a sample is taken as, in ms and in units.
const LEAST: f64 = 1e-3;

/// What the operator sets for a pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// The zone of this node; empty where there are none.
    pub zone: String,
    /// How many times as long a server of another zone is taken to need.
    #[serde(rename = "cross_zone")]
    pub cross_zone_factor: f64,
    /// Calls in hand at a server of weight 1 at the most.
    #[serde(rename = "most_in_hand")]
    pub max_in_flight: f64,
    /// The part of the servers that may be out at once.
    #[serde(rename = "most_out")]
    pub max_ejected_share: f64,
    /// Further attempts beside calls.
    pub retry_share: f64,
    /// Time in which a server that has started becomes warm, in ms, and the part of its speed that it has at first.
    pub warm_ms: f64,
    /// See `warm_ms`.
    #[serde(rename = "warm_from")]
    pub cold_speed: f64,
    /// Calls that all processes together may make to a server of weight 1 in `warm_ms` from its start, in sum. Where
    /// they are named they are kept to whatever happens; else they are `max_in_flight`, and are gone beyond where every
    /// server is in slow start. See `route::slow_start`.
    pub slow_start_calls: Option<f64>,
    /// Processes that call these servers. Where it is not set, a node takes it for the nodes of its tier that the
    /// platform's settings name, or for very many where those name none; a pool of none bounds no slow start.
    pub processes: Option<u32>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            zone: String::new(),
            cross_zone_factor: 1.25,
            max_in_flight: 64.0,
            max_ejected_share: 0.3,
            retry_share: 0.1,
            warm_ms: 15_000.0,
            cold_speed: 0.25,
            slow_start_calls: None,
            processes: None,
        }
    }
}

/// A server that was chosen. It is given back with the end of the call, in any case.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// Which server.
    pub id: ServerId,
    /// Where it is reached.
    pub address: SocketAddr,
    work: f64,
    /// By how much it was taken to be slower than warm and idle, as log time.
    slowed: f64,
}

impl Choice {
    /// Time for a unit of the call's work, in ms, where it took so long.
    pub fn unit_ms(&self, took_ms: f64) -> f64 {
        took_ms / self.work
    }
}

/// No server has room: each has as many calls in hand as it may.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoFreeServer;

/// How a call to a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEndKind {
    /// Well.
    Served,
    /// Badly, or not in its time.
    Failed,
    /// The server turned it away unrun.
    Rejected,
    /// Its address takes no connection: no process is there.
    ConnectionRefused,
    /// It could not be reached otherwise.
    Unreachable,
    /// It was given up, which tells of the server only that it took this long already.
    Abandoned,
    /// It never got as far as the server, for no fault of that one.
    NotSent,
}

/// The end of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallEnd {
    /// How it ended.
    pub kind: CallEndKind,
    /// How long it took, in ms.
    pub took_ms: f64,
    /// What the server said of its start.
    pub run: Option<StartReport>,
}

/// What is believed of a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerEstimate {
    /// As the operator names it.
    pub spec: Spec,
    /// Whether calls go there.
    #[serde(rename = "standing")]
    pub state: ServerState,
    /// Calls in hand.
    #[serde(rename = "in_hand")]
    pub in_flight: u32,
    /// Time beside the pool's, as a factor, and the part of calls that fail, own samples and others' words together.
    #[serde(rename = "times")]
    pub relative_time: f64,
    /// See `times`.
    #[serde(rename = "failing")]
    pub failure_rate: f64,
    /// Own samples.
    pub samples: f64,
    /// Time since the newest own one, in ms.
    pub age_ms: Option<f64>,
    /// Time since its start, in ms, where that is known.
    pub up_ms: Option<f64>,
    /// What others say.
    #[serde(rename = "heard")]
    pub reports: Vec<ReportedEstimate>,
}

/// The servers of one dependency.
pub struct Pool {
    options: Options,
    servers: SlotMap<ServerId, Server>,
    by_address: HashMap<SocketAddr, ServerId>,
    /// What the fleet gives servers that it has removed, or that are on their way back.
    shares: BTreeMap<SocketAddr, Share>,
    eligible: Eligible,
    /// Log time for a unit of work, in ms, of the middle server; absent before the first sample.
    level: Option<f64>,
    level_samples: f64,
    failures: Rate,
    inherited: Inherited<ServerId>,
    budget: RetryBudget,
    in_hand: u64,
    reviewed: f64,
    /// Whether the servers of the start are there: those that come later may just have started.
    begun: bool,
    /// Servers whose share in their slow start has no phase yet.
    undrawn: Vec<ServerId>,
    /// Servers that refused the last connection, where slow starts are bounded.
    down: Vec<ServerId>,
    /// Whose turn it is to be looked at.
    turn: usize,
}

/// What a process's share in the slow start of a server of this weight goes by; none where it is not bounded.
fn terms(options: &Options, weight: f64) -> Option<Terms> {
    let calls = options.slow_start_calls.unwrap_or(options.max_in_flight) * weight;
    options.processes.map(|processes| Terms::new(calls, processes, options.warm_ms))
}

impl Pool {
    /// A pool that knows nothing yet.
    pub fn new(now: f64, options: Options, specs: &[Spec]) -> Self {
        let mut pool = Self {
            budget: RetryBudget::new(options.retry_share),
            options,
            servers: SlotMap::with_key(),
            by_address: HashMap::new(),
            shares: BTreeMap::new(),
            eligible: Eligible::default(),
            level: None,
            level_samples: 0.0,
            failures: Rate::default(),
            inherited: Inherited::default(),
            in_hand: 0,
            reviewed: now,
            begun: false,
            undrawn: Vec::new(),
            down: Vec::new(),
            turn: 0,
        };
        pool.replace_servers(now, specs);
        pool.begun = true;
        pool
    }

    /// Puts other servers in force. What is known of one that stays is kept; calls in hand at one that goes end as
    /// they do.
    pub fn replace_servers(&mut self, now: f64, specs: &[Spec]) {
        let wanted: HashSet<SocketAddr> = specs.iter().map(|spec| spec.address).collect();
        let gone: Vec<ServerId> = self
            .by_address
            .iter()
            .filter(|(address, _)| !wanted.contains(address))
            .map(|(_, id)| *id)
            .collect();
        for id in gone {
            self.down.retain(|known| *known != id);
            if let Some(server) = self.servers.remove(id) {
                self.by_address.remove(&server.spec.address);
                self.in_hand -= u64::from(server.in_hand);
            }
            self.inherited.forget(id);
        }
        for spec in specs {
            match self.by_address.get(&spec.address).and_then(|id| self.servers.get_mut(*id)) {
                Some(server) => server.spec = spec.clone(),
                None => {
                    let listed = self.begun.then_some(now);
                    let id = self.servers.insert(Server::new(spec.clone(), listed));
                    self.by_address.insert(spec.address, id);
                }
            }
        }
        self.review(now);
    }

    /// Shares slow starts among so many processes from here on.
    pub fn set_process_count(&mut self, processes: u32) {
        self.options.processes = Some(processes);
    }

    /// Follows what the fleet gives these servers; all others get their whole share. Calls in hand end as they do.
    pub fn set_fleet_shares(&mut self, now: f64, shares: BTreeMap<SocketAddr, Share>) {
        self.shares = shares;
        self.review(now);
    }

    /// The last servers stay: where the fleet has removed all that there are here, it has removed none.
    fn take_shares(&mut self) {
        let none_left = self.servers.values().all(|server| {
            matches!(self.shares.get(&server.spec.address), Some(Share::Trial | Share::Part(0.0)))
        });
        for server in self.servers.values_mut() {
            let share = self.shares.get(&server.spec.address).filter(|_| !none_left);
            server.share = share.copied().unwrap_or(Share::Part(1.0));
        }
    }

    /// How many servers there are.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Whether a server at this address is in the pool.
    pub fn contains(&self, address: SocketAddr) -> bool {
        self.by_address.contains_key(&address)
    }

    /// Calls in hand at all servers.
    pub fn in_flight(&self) -> u64 {
        self.in_hand
    }

    /// Chooses a server for a call of so much work, and takes a place there. Servers that were `tried` for it are
    /// left out while there are others. A call that is `safe` to repeat is the first to go to a server on trial.
    ///
    /// # Errors
    /// No server has room.
    pub fn choose(
        &mut self,
        now: f64,
        work: f64,
        safe: bool,
        tried: &[ServerId],
        rng: &mut impl Rng,
    ) -> Result<Choice, NoFreeServer> {
        if now - self.reviewed >= REVIEW_MS {
            self.review(now);
        }
        let work = work.max(LEAST);
        for id in std::mem::take(&mut self.undrawn) {
            if let Some(share) = self.servers.get_mut(id).and_then(|server| server.slow_start.as_mut()) {
                share.draw(rng.random());
            }
        }
        let part = if self.shares.is_empty() { 0.0 } else { rng.random() };
        let look = if safe { self.unmeasured(now, part, tried, rng) } else { None };
        let looked = self.probed(now, tried).or_else(|| self.asked_for(now, safe, tried, rng));
        let looked = looked.or_else(|| self.on_trial(now, safe, tried, rng)).or(look);
        let drawn = looked.or_else(|| self.drawn(now, work, part, tried, rng));
        let id = drawn.or_else(|| self.any(now, work, part, tried));
        let id = id.ok_or(NoFreeServer)?;
        let slowed = self.slowed(id, now);
        let server = self.servers.get_mut(id).ok_or(NoFreeServer)?;
        if let Some(share) = &mut server.slow_start
            && let Some(terms) = terms(&self.options, server.spec.weight)
        {
            share.take(now, &terms);
        }
        server.in_hand += 1;
        self.in_hand += 1;
        if tried.is_empty() {
            self.budget.record_call();
        }
        Ok(Choice { id, address: server.spec.address, work, slowed })
    }

    /// Whether a further attempt is within the budget, which it then counts to.
    pub fn try_take_retry(&mut self) -> bool {
        self.budget.try_take()
    }

    /// A server that refused the last connection, one call at a time and within this process's share: a refused connection
    /// proves that the call never ran, whatever it is, and the share lapses where it is not used. Without a bound on slow
    /// starts the choice itself finds such servers again.
    fn probed(&self, now: f64, tried: &[ServerId]) -> Option<ServerId> {
        let down = self.down.iter().filter_map(|id| Some((*id, self.servers.get(*id)?)));
        let mut free = down.filter(|(id, server)| {
            let open = self.share_of(server).is_some_and(|(share, terms)| share.is_open(now, &terms));
            let waited = server.refused_at.is_some_and(|refused| now - refused >= PROBE_WAITS_MS);
            open && waited && server.in_hand == 0 && !server.is_removed() && !tried.contains(id)
        });
        free.next().map(|(id, _)| id)
    }

    /// A server on trial, one call at a time. Where no safe call came for long any call goes: a pool that has none
    /// would never get it back.
    fn on_trial(&self, now: f64, safe: bool, tried: &[ServerId], rng: &mut impl Rng) -> Option<ServerId> {
        let trial = &self.eligible.trial;
        if trial.is_empty() || rng.random::<f64>() >= TRIAL_SHARE {
            return None;
        }
        let id = trial[rng.random_range(..trial.len())];
        let free = |server: &Server| match (server.share, server.standing) {
            _ if !self.is_open_yet(server, now) => false,
            (Share::Trial, _) => {
                let waits = || server.measured().is_none_or(|measured| now - measured >= TRIAL_WAITS_MS);
                server.in_hand == 0 && (safe || waits())
            }
            (_, ServerState::Trial { since, .. }) => {
                server.in_hand == 0 && (safe || now - since >= TRIAL_WAITS_MS)
            }
            _ => false,
        };
        (!tried.contains(&id) && self.servers.get(id).is_some_and(free)).then_some(id)
    }

    /// A server of which the fleet asks for evidence, whatever is thought of it here: a call that may be repeated, one at
    /// a time, where none was measured for a while.
    fn asked_for(&self, now: f64, safe: bool, tried: &[ServerId], rng: &mut impl Rng) -> Option<ServerId> {
        let asked = &self.eligible.asked;
        if !safe || asked.is_empty() || rng.random::<f64>() >= ASKED_SHARE {
            return None;
        }
        let id = asked[rng.random_range(..asked.len())];
        let old = |server: &Server| server.measured().is_none_or(|measured| now - measured >= ASKED_WAITS_MS);
        let free = |server: &Server| server.in_hand == 0 && old(server) && self.is_open_yet(server, now);
        (!tried.contains(&id) && self.servers.get(id).is_some_and(free)).then_some(id)
    }

    /// Now and then the next server in turn, where it was not measured here for long: one that was bad once would
    /// never be seen to be good again, and a word that praises bad ones would never be refuted by good ones.
    fn unmeasured(
        &mut self,
        now: f64,
        part: f64,
        tried: &[ServerId],
        rng: &mut impl Rng,
    ) -> Option<ServerId> {
        let Eligible { near, far, .. } = &self.eligible;
        if near.is_empty() && far.is_empty() || rng.random::<f64>() >= LOOK_SHARE {
            return None;
        }
        self.turn = (self.turn + 1) % (near.len() + far.len());
        let id = *near.get(self.turn).or_else(|| far.get(self.turn - near.len()))?;
        let server = self.servers.get(id)?;
        let old = server.measured().is_none_or(|measured| now - measured >= LOOK_AGE_MS);
        let free = server.is_open(part) && self.has_room(server, now) && !tried.contains(&id);
        (old && free).then_some(id)
    }

    /// The best of a few candidates.
    fn drawn(
        &self,
        now: f64,
        work: f64,
        part: f64,
        tried: &[ServerId],
        rng: &mut impl Rng,
    ) -> Option<ServerId> {
        let fit = |id: ServerId| {
            let server = self.servers.get(id).filter(|server| self.has_room(server, now))?;
            let usual = self.level.unwrap_or(0.0).exp() * work;
            let quick = (usual / self.cost(id, now, work)).clamp(LEAST_WANTED, 1.0);
            (server.is_open(part) && !tried.contains(&id)).then_some(server.spec.weight * quick)
        };
        let drawn = self.eligible.draw(rng, fit);
        self.cheapest(drawn, now, work)
    }

    /// The best of all that have room: those in force before those that are out here, and before those tried already.
    /// What the fleet has removed gets none.
    fn any(&self, now: f64, work: f64, part: f64, tried: &[ServerId]) -> Option<ServerId> {
        let with_room =
            || self.servers.iter().filter(|(_, server)| self.has_room(server, now) && !server.is_removed());
        let fresh = || with_room().filter(|(id, _)| !tried.contains(id));
        let within = fresh().filter(|(_, server)| server.is_open(part)).map(|(id, _)| id);
        self.cheapest(within, now, work)
            .or_else(|| self.cheapest(fresh().map(|(id, _)| id), now, work))
            .or_else(|| self.cheapest(with_room().map(|(id, _)| id), now, work))
            .or_else(|| self.cheapest(self.all_in_slow_start(now, tried), now, work))
    }

    /// Those with places where every server is in slow start and nobody has named what they may get. Those that were
    /// `tried` are left out.
    fn all_in_slow_start(&self, now: f64, tried: &[ServerId]) -> impl Iterator<Item = ServerId> {
        let gives_way = self.options.slow_start_calls.is_none()
            && self.servers.values().all(|server| server.is_removed() || self.in_slow_start(server, now));
        let free = move |(id, server): &(ServerId, &Server)| {
            gives_way && self.has_places(server) && !server.is_removed() && !tried.contains(id)
        };
        self.servers.iter().filter(free).map(|(id, _)| id)
    }

    fn cheapest(&self, ids: impl Iterator<Item = ServerId>, now: f64, work: f64) -> Option<ServerId> {
        let costs = ids.map(|id| (self.cost(id, now, work), id));
        costs.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, id)| id)
    }

    fn has_room(&self, server: &Server, now: f64) -> bool {
        self.has_places(server) && self.is_open_yet(server, now)
    }

    fn has_places(&self, server: &Server) -> bool {
        f64::from(server.in_hand) < (self.options.max_in_flight * server.spec.weight).max(1.0)
    }

    /// This process's share in a server's slow start, where that is bounded.
    fn share_of<'a>(&self, server: &'a Server) -> Option<(&'a slow_start::Share, Terms)> {
        let share = server.slow_start.as_ref()?;
        Some((share, terms(&self.options, server.spec.weight)?))
    }

    fn in_slow_start(&self, server: &Server, now: f64) -> bool {
        self.share_of(server).is_some_and(|(share, terms)| !share.is_over(now, &terms))
    }

    /// Whether a call may go to a server as far as its slow start is concerned: it is warm, or within this process's share.
    fn is_open_yet(&self, server: &Server, now: f64) -> bool {
        self.share_of(server)
            .is_none_or(|(share, terms)| share.is_over(now, &terms) || share.is_open(now, &terms))
    }

    /// Follows what is known of a server's start: it comes into slow start, or out of it.
    fn follow_start(&mut self, id: ServerId, now: f64) {
        let told = self.inherited.start_of(id);
        let Some(server) = self.servers.get_mut(id) else { return };
        let down = server.refused_at.is_some();
        let started = if down { Some(now) } else { server.start.at.or(told).or(server.listed) };
        let started = started.filter(|started| down || now - started < self.options.warm_ms);
        if down != self.down.contains(&id) {
            self.down.retain(|known| *known != id);
            self.down.extend(down.then_some(id));
        }
        match (&mut server.slow_start, started) {
            (Some(share), Some(since)) => share.turn_to(since, down),
            (None, Some(since)) => server.slow_start = Some(slow_start::Share::new(now, since, down)),
            (_, None) => server.slow_start = None,
        }
        if server.slow_start.as_ref().is_some_and(slow_start::Share::is_new) && !self.undrawn.contains(&id) {
            self.undrawn.push(id);
        }
    }

    /// Log time beside the pool's of a server that is warm and idle.
    fn relative(&self, server: &Server, prior: &Prior, now: f64) -> f64 {
        let own = server.known.times.weight(now);
        let sum = own * server.known.times.mean() + prior.weight * prior.mean;
        sum / (own + prior.weight + USUAL_SAMPLES)
    }

    fn failing(&self, server: &Server, prior: &Prior, now: f64) -> f64 {
        let (failed, calls) = server.known.failures.counts(now);
        (failed + prior.failed + USUAL_CALLS * self.usual_failing(now)) / (calls + prior.calls + USUAL_CALLS)
    }

    fn usual_failing(&self, now: f64) -> f64 {
        let (failed, calls) = self.failures.counts(now);
        failed / (calls + 1.0)
    }

    fn prior(&self, id: ServerId, server: &Server, now: f64) -> Prior {
        let (_, calls) = server.known.failures.counts(now);
        self.inherited.prior(id, server.known.times.weight(now).max(calls), now)
    }

    /// By how much a server is slower than warm and idle, as log time.
    fn slowed(&self, id: ServerId, now: f64) -> f64 {
        let Some(server) = self.servers.get(id) else { return 0.0 };
        let started = server.start.at.or_else(|| self.inherited.start_of(id));
        let warm = started.map_or(1.0, |started| {
            let share = ((now - started) / self.options.warm_ms).clamp(0.0, 1.0);
            self.options.cold_speed + (1.0 - self.options.cold_speed) * share
        });
        (1.0 + server.load() / CROWD).ln() - warm.ln()
    }

    /// Expected finish, with what a failure costs and the way to another zone.
    fn cost(&self, id: ServerId, now: f64, work: f64) -> f64 {
        let Some(server) = self.servers.get(id) else { return f64::INFINITY };
        let prior = self.prior(id, server, now);
        let relative = self.relative(server, &prior, now);
        let usual = self.level.unwrap_or(0.0).exp() * work;
        let far = if server.spec.zone == self.options.zone { 1.0 } else { self.options.cross_zone_factor };
        let finish = usual * (relative + self.slowed(id, now)).exp() * far;
        finish + self.failing(server, &prior, now) * FAILURE_COST * usual
    }

    /// Gives a server back, and learns from how the call ended.
    pub fn finish_call(&mut self, now: f64, choice: &Choice, ended: &CallEnd) {
        let Some(server) = self.servers.get_mut(choice.id) else { return };
        server.in_hand = server.in_hand.saturating_sub(1);
        self.in_hand = self.in_hand.saturating_sub(1);
        self.note_start(now, choice.id, ended);
        self.follow_start(choice.id, now);
        let log_time = self.sample(now, choice, ended);
        let failed = match ended.kind {
            CallEndKind::Served => Some(false),
            CallEndKind::Abandoned | CallEndKind::NotSent => None,
            _ => Some(true),
        };
        let failing = self.usual_failing(now);
        self.inherited.learn(choice.id, &Sample { log_time, failed, failing });
        let Some(server) = self.servers.get_mut(choice.id) else { return };
        if let Some(failed) = failed {
            server.note_end(now, failed);
            self.failures.add(now, failed);
            server.tried(now, !failed && log_time.is_none_or(|log_time| log_time <= TRIAL_SLOW));
        }
        if server.streak >= STREAK && now - self.reviewed >= EARLY_REVIEW_MS {
            self.review(now);
        }
    }

    /// Takes the time of a call as a sample; its log time beside the pool's. Of one that was not served it is known
    /// only that it would have taken longer.
    fn sample(&mut self, now: f64, choice: &Choice, ended: &CallEnd) -> Option<f64> {
        let raw = (ended.took_ms.max(LEAST) / choice.work).ln() - choice.slowed;
        let served = match ended.kind {
            CallEndKind::Served => true,
            CallEndKind::Failed | CallEndKind::Abandoned => false,
            CallEndKind::Rejected
            | CallEndKind::ConnectionRefused
            | CallEndKind::Unreachable
            | CallEndKind::NotSent => return None,
        };
        let server = self.servers.get(choice.id)?;
        let expected = self.relative(server, &self.prior(choice.id, server, now), now);
        let level = match self.level {
            Some(level) => level,
            None if served => *self.level.insert(raw - expected),
            None => return None,
        };
        let log_time = raw - level;
        if !served && log_time <= expected {
            return None;
        }
        let gain = LEVEL_GAIN.max(1.0 / (self.level_samples + 2.0));
        self.level = Some(level + gain * (log_time - expected).clamp(-MOST_RESIDUAL, MOST_RESIDUAL));
        self.level_samples += 1.0;
        self.servers.get_mut(choice.id)?.note_time(now, log_time);
        Some(log_time)
    }

    /// Notes what the end of a call tells of the server's start. What was known of another start is forgotten.
    fn note_start(&mut self, now: f64, id: ServerId, ended: &CallEnd) {
        let Some(server) = self.servers.get_mut(id) else { return };
        match ended.kind {
            CallEndKind::ConnectionRefused => {
                server.refused_at = Some(now);
                return;
            }
            CallEndKind::Unreachable | CallEndKind::Abandoned | CallEndKind::NotSent => return,
            _ => {}
        }
        let run = ended.run.unwrap_or(StartReport { incarnation: None, up_ms: None });
        let told = Start { incarnation: run.incarnation, at: run.up_ms.map(|up| now - up) };
        let refused = server.refused_at;
        let another = server.is_another(told);
        let start = if another {
            Start { at: told.at.or(refused), ..told }
        } else {
            Start {
                incarnation: told.incarnation.or(server.start.incarnation),
                at: server.start.at.or(told.at),
            }
        };
        server.refused_at = None;
        if another {
            server.restarted(start);
        }
        if another || start != server.start {
            server.start = start;
            self.inherited.started(id, start.incarnation, start.at);
        }
    }

    /// Looks at all servers: who is out, who is tried again, where the middle is, and who may be chosen.
    fn review(&mut self, now: f64) {
        self.reviewed = now;
        self.recentre(now);
        for server in self.servers.values_mut() {
            if let ServerState::Ejected { until, times } = server.standing
                && until <= now
            {
                server.standing = ServerState::Trial { left: TRIALS, times, since: now };
            }
        }
        self.take_shares();
        let ids: Vec<ServerId> = self.servers.keys().collect();
        ids.into_iter().for_each(|id| self.follow_start(id, now));
        self.put_out(now);
        let zone = &self.options.zone;
        let mut eligible = Eligible::default();
        for (id, server) in &self.servers {
            if server.share == Share::Probed {
                eligible.asked.push(id);
            }
            match server.standing {
                _ if server.share == Share::Trial => eligible.trial.push(id),
                _ if server.is_removed() => continue,
                ServerState::Ejected { .. } => continue,
                ServerState::Trial { .. } => eligible.trial.push(id),
                ServerState::Active if server.spec.zone == *zone => eligible.near.push(id),
                ServerState::Active => eligible.far.push(id),
            }
            eligible.most_weight = eligible.most_weight.max(server.spec.weight);
        }
        self.eligible = eligible;
    }

    fn put_out(&mut self, now: f64) {
        let room = self.room_to_put_out();
        if room == 0 {
            return;
        }
        let here = |server: &Server| server.standing == ServerState::Active && !server.is_removed();
        let measured = self.servers.iter().filter(|(_, server)| here(server)).map(|(id, server)| {
            let (failed, calls) = server.judged.failures.counts(now);
            let variance = server.judged.times.variance().unwrap_or(USUAL_VARIANCE);
            let (mean, samples) = (server.judged.times.mean(), server.judged.times.weight(now));
            Measured { id, mean, variance, samples, failed, calls }
        });
        let measured: Vec<_> = measured.collect();
        for id in outliers(&measured).into_iter().take(room) {
            if let Some(server) = self.servers.get_mut(id) {
                server.put_out(now);
            }
        }
    }

    /// Puts the level at the middle of the servers that something is known of, so that relative times mean the same
    /// here as in what others tell.
    fn recentre(&mut self, now: f64) {
        let Some(level) = self.level else { return };
        let known = |(id, server): (ServerId, &Server)| {
            let prior = self.prior(id, server, now);
            let weight = server.known.times.weight(now) + prior.weight;
            (weight >= 1.0).then(|| self.relative(server, &prior, now))
        };
        let mut known: Vec<f64> = self.servers.iter().filter_map(known).collect();
        if known.len() < LEAST_KNOWN {
            return;
        }
        if let Some(middle) = median(&mut known) {
            self.level = Some(level + middle);
            self.servers.values_mut().for_each(|server| server.shift(-middle));
            self.inherited.shift(-middle);
        }
    }

    /// All that was measured here, and nothing that was only heard.
    pub fn digest(&self, now: f64, reporter: &str) -> Digest {
        let item = |server: &Server| {
            // As of then: its age is told beside it.
            let known_at = server.measured()?;
            let (failed, calls) = server.known.failures.counts(known_at);
            Some(ServerStats {
                address: server.spec.address,
                log_time: server.known.times.mean().clamp(-MOST_LOG, MOST_LOG),
                variance: server.known.times.variance().unwrap_or(USUAL_VARIANCE).min(MOST_LOG * MOST_LOG),
                samples: server.known.times.weight(known_at),
                calls,
                failed,
                age_ms: (now - known_at).clamp(0.0, MOST_AGE_MS),
                ejected: server.standing != ServerState::Active,
                run: StartReport {
                    incarnation: server.start.incarnation,
                    up_ms: server.start.at.map(|at| (now - at).clamp(0.0, MOST_AGE_MS)),
                },
            })
        };
        let items = self.servers.values().filter_map(item).collect();
        Digest { reporter: reporter.to_owned(), level: self.level, items }
    }

    /// Takes in what another node has measured. It counts as prior evidence beside own samples.
    pub fn merge_digest(&mut self, now: f64, digest: &Digest) -> MergeResult {
        let (by_address, servers) = (&self.by_address, &self.servers);
        let merged = self.inherited.merge(now, digest, |item| {
            let id = *by_address.get(&item.address)?;
            let start = servers.get(id)?.start;
            Some((id, start.incarnation, start.at))
        });
        if self.level.is_none() && merged.accepted > 0 {
            self.level = digest.level;
            self.level_samples = LEVEL_TOLD;
        }
        self.put_on_trial(now);
        self.review(now);
        merged
    }

    /// Servers that others have put out start on trial here: a false word costs them a few calls at the most.
    fn put_on_trial(&mut self, now: f64) {
        let room = self.room_to_put_out();
        let inherited = &self.inherited;
        let unknown = |server: &Server| server.standing == ServerState::Active && server.measured().is_none();
        let told =
            self.servers.iter_mut().filter(|(id, server)| unknown(server) && inherited.is_out(*id, now));
        let standing = ServerState::Trial { left: TRIALS, times: 0, since: now };
        told.take(room).for_each(|(_, server)| server.standing = standing);
    }

    /// How many more servers may be put out; those that the fleet has removed are out as well.
    fn room_to_put_out(&self) -> usize {
        let away = |server: &&Server| server.standing != ServerState::Active || server.is_removed();
        let away = self.servers.values().filter(away).count();
        ((self.servers.len() as f64 * self.options.max_ejected_share) as usize).saturating_sub(away)
    }

    /// What is believed of each server, by address.
    pub fn estimates(&self, now: f64) -> Vec<ServerEstimate> {
        let belief = |(id, server): (ServerId, &Server)| {
            let prior = self.prior(id, server, now);
            ServerEstimate {
                spec: server.spec.clone(),
                state: server.standing,
                in_flight: server.in_hand,
                relative_time: self.relative(server, &prior, now).exp(),
                failure_rate: self.failing(server, &prior, now),
                samples: server.known.times.weight(now),
                age_ms: server.measured().map(|newest| now - newest),
                up_ms: server.start.at.or_else(|| self.inherited.start_of(id)).map(|at| now - at),
                reports: self.inherited.heard(id, now),
            }
        };
        let mut beliefs: Vec<ServerEstimate> = self.servers.iter().map(belief).collect();
        beliefs.sort_by_key(|belief| belief.spec.address);
        beliefs
    }

    /// How far each node that told something is believed, from 0 to 1.
    pub fn reporters(&self) -> impl Iterator<Item = (&str, f64)> {
        self.inherited.reporters()
    }
}
