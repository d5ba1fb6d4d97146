//! The pool of servers: their estimates, the choice of a server for a call, and the updates when a call ends.

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
use super::server::{Server, ServerId, ServerState, Spec, Start, TRIAL_CALLS};
use super::slow_start::{self, Terms};
use crate::ejection::list::Share;
use crate::server_stats::{
    Digest, MAX_AGE_MS, MAX_LOG_TIME, MergeResult, PeerReports, Prior, ReportedEstimate, Sample, ServerStats,
    StartReport,
};

/// Time between reviews of the whole pool, in ms.
const REVIEW_INTERVAL_MS: f64 = 1_000.0;
/// Least time between a review and one that consecutive failures cause, in ms.
const EARLY_REVIEW_INTERVAL_MS: f64 = 100.0;
/// Consecutive failures of a server that cause an early review.
const EARLY_REVIEW_FAILURES: u32 = 3;
/// Own calls in flight, relative to a server's weight, at which it is expected to take twice as long.
const DOUBLING_LOAD: f64 = 6.0;
/// Cost of a failure, in times of a typical call.
const FAILURE_COST: f64 = 10.0;
/// Share of calls that may go to a server on trial, while there is one.
const TRIAL_SHARE: f64 = 0.1;
/// How long a server on trial waits for a safe call before it takes any call, in ms.
const TRIAL_WAIT_MS: f64 = 20_000.0;
/// Least time between a refused connection and a call that probes whether the server is back, in ms: each probe may use up
/// a retry of the budget.
const PROBE_INTERVAL_MS: f64 = 1_000.0;
/// Share of safe calls that may go to a server because it was not measured for `REMEASURE_AGE_MS`.
const REMEASURE_SHARE: f64 = 0.02;
const REMEASURE_AGE_MS: f64 = 20_000.0;
/// Share of safe calls that go to servers for which the fleet requests evidence.
const EVIDENCE_SHARE: f64 = 0.1;
/// Least time between two such calls to one server, in ms.
const EVIDENCE_INTERVAL_MS: f64 = 1_000.0;
/// Samples for which "as fast as the pool" counts in each server's estimate.
const POOL_PRIOR_SAMPLES: f64 = 0.5;
/// Calls for which "fails as often as the pool" counts in each server's estimate.
const POOL_PRIOR_CALLS: f64 = 1.0;
/// Least weight of a new sample in the pool's level.
const MIN_LEVEL_GAIN: f64 = 0.03;
/// Upper bound of a sample's deviation when it updates the pool's level, as log time.
const MAX_RESIDUAL: f64 = 1.5;
/// A trial call succeeds only up to this log time relative to the pool: 4.5 times.
const MAX_TRIAL_LOG_TIME: f64 = 1.5;
/// Variance of single samples if there are too few to estimate it.
const DEFAULT_VARIANCE: f64 = 0.25;
/// Samples for which a level reported by another node counts.
const REPORTED_LEVEL_SAMPLES: f64 = 3.0;
/// Number of servers with estimates from which on the level is set to their median.
const MIN_KNOWN_SERVERS: usize = 4;
/// Least sampling weight of a server relative to a typical one: even the slowest is tried now and then.
const MIN_PREFERENCE: f64 = 0.05;
/// Lower bound of times, in ms, and of work, in units, so that their logarithms and quotients stay finite.
const MIN_TIME_OR_WORK: f64 = 1e-3;

/// The operator's settings of a pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// The zone of this node; empty if there are no zones.
    pub zone: String,
    /// Factor on the expected time of a server in another zone.
    #[serde(rename = "cross_zone")]
    pub cross_zone_factor: f64,
    /// Upper bound of the calls in flight to a server of weight 1.
    #[serde(rename = "most_in_hand")]
    pub max_in_flight: f64,
    /// Upper bound of the share of servers that are ejected at once.
    #[serde(rename = "most_out")]
    pub max_ejected_share: f64,
    /// Retries relative to calls, at most.
    pub retry_share: f64,
    /// Time in which a server warms up after its start, in ms.
    pub warm_ms: f64,
    /// Speed of a server at its start, as a part of its speed when warm; it rises linearly over `warm_ms`.
    #[serde(rename = "warm_from")]
    pub cold_speed: f64,
    /// Calls that all processes together may make to a server of weight 1 within `warm_ms` of its start. If set, the bound
    /// always applies. If not set, it is `most_in_hand`, and is exceeded if every server is in slow start. See
    /// `route::slow_start`.
    pub slow_start_calls: Option<f64>,
    /// Number of processes that call these servers. If not set, a node uses the number of nodes of its tier in the
    /// platform's settings, or a very large number if those name none. A pool without a number does not bound slow starts.
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

/// The server chosen for a call. The caller must pass it to [`Pool::finish_call`] however the call ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// Which server.
    pub id: ServerId,
    /// Its address.
    pub address: SocketAddr,
    work: f64,
    /// Expected slowdown relative to the warm and idle server, as log time.
    log_slowdown: f64,
}

impl Choice {
    /// Time for a unit of the call's work, in ms, if the call took `took_ms`.
    pub fn unit_ms(&self, took_ms: f64) -> f64 {
        took_ms / self.work
    }
}

/// No server can take the call: each has reached its bound on calls in flight or in slow start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoFreeServer;

/// How a call to a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEndKind {
    /// It succeeded.
    Served,
    /// It failed or timed out.
    Failed,
    /// The server rejected it without running it.
    Rejected,
    /// The connection was refused: no process listens at the address.
    ConnectionRefused,
    /// The server could not be reached for another reason.
    Unreachable,
    /// The caller gave it up, which shows only that it would have taken longer.
    Abandoned,
    /// It was never sent, for a reason that has nothing to do with the server.
    NotSent,
}

/// The end of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallEnd {
    /// How it ended.
    pub kind: CallEndKind,
    /// Its duration in ms.
    pub took_ms: f64,
    /// What the server reported about the start of its process.
    pub run: Option<StartReport>,
}

/// The estimate of a server, from own samples and other nodes' reports, for display to an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerEstimate {
    /// The server as configured by the operator.
    pub spec: Spec,
    /// Whether it receives calls.
    #[serde(rename = "standing")]
    pub state: ServerState,
    /// Calls in flight.
    #[serde(rename = "in_hand")]
    pub in_flight: u32,
    /// Its time relative to the pool, as a factor.
    #[serde(rename = "times")]
    pub relative_time: f64,
    /// The share of its calls that fail.
    #[serde(rename = "failing")]
    pub failure_rate: f64,
    /// Effective number of own samples.
    pub samples: f64,
    /// Time since the newest own sample, in ms.
    pub age_ms: Option<f64>,
    /// Time since its start, in ms, if known.
    pub up_ms: Option<f64>,
    /// Reports from other nodes.
    #[serde(rename = "heard")]
    pub reports: Vec<ReportedEstimate>,
}

/// The servers of one dependency.
pub struct Pool {
    options: Options,
    servers: SlotMap<ServerId, Server>,
    by_address: HashMap<SocketAddr, ServerId>,
    /// Traffic shares of the servers that the fleet has ejected or is readmitting.
    fleet_shares: BTreeMap<SocketAddr, Share>,
    eligible: Eligible,
    /// Log time in ms for a unit of work on the median server; `None` before the first sample.
    level: Option<f64>,
    level_samples: f64,
    failures: Rate,
    peer_reports: PeerReports<ServerId>,
    retry_budget: RetryBudget,
    in_flight: u64,
    reviewed_at: f64,
    /// Whether the initial servers have been added: those added later may have just started.
    initialized: bool,
    /// Servers whose slow-start share has no random phase yet.
    phase_pending: Vec<ServerId>,
    /// Servers that refused the last connection, if slow starts are bounded.
    refusing: Vec<ServerId>,
    /// Round-robin position of the next server considered for remeasurement.
    remeasure_index: usize,
}

/// Terms of this process's slow-start share for a server of this weight; `None` if slow starts are not bounded.
fn terms(options: &Options, weight: f64) -> Option<Terms> {
    let calls = options.slow_start_calls.unwrap_or(options.max_in_flight) * weight;
    options.processes.map(|processes| Terms::new(calls, processes, options.warm_ms))
}

impl Pool {
    /// Creates a pool of servers without measurements.
    pub fn new(now: f64, options: Options, specs: &[Spec]) -> Self {
        let mut pool = Self {
            retry_budget: RetryBudget::new(options.retry_share),
            options,
            servers: SlotMap::with_key(),
            by_address: HashMap::new(),
            fleet_shares: BTreeMap::new(),
            eligible: Eligible::default(),
            level: None,
            level_samples: 0.0,
            failures: Rate::default(),
            peer_reports: PeerReports::default(),
            in_flight: 0,
            reviewed_at: now,
            initialized: false,
            phase_pending: Vec::new(),
            refusing: Vec::new(),
            remeasure_index: 0,
        };
        pool.replace_servers(now, specs);
        pool.initialized = true;
        pool
    }

    /// Replaces the list of servers. Those that stay retain their measurements; calls in flight to removed servers are
    /// not interrupted.
    pub fn replace_servers(&mut self, now: f64, specs: &[Spec]) {
        let wanted: HashSet<SocketAddr> = specs.iter().map(|spec| spec.address).collect();
        let removed: Vec<ServerId> = self
            .by_address
            .iter()
            .filter(|(address, _)| !wanted.contains(address))
            .map(|(_, id)| *id)
            .collect();
        for id in removed {
            self.refusing.retain(|known| *known != id);
            if let Some(server) = self.servers.remove(id) {
                self.by_address.remove(&server.spec.address);
                self.in_flight -= u64::from(server.in_flight);
            }
            self.peer_reports.remove_server(id);
        }
        for spec in specs {
            match self.by_address.get(&spec.address).and_then(|id| self.servers.get_mut(*id)) {
                Some(server) => server.spec = spec.clone(),
                None => {
                    let listed_at = self.initialized.then_some(now);
                    let id = self.servers.insert(Server::new(spec.clone(), listed_at));
                    self.by_address.insert(spec.address, id);
                }
            }
        }
        self.review(now);
    }

    /// Sets the number of processes among which slow starts are shared.
    pub fn set_process_count(&mut self, processes: u32) {
        self.options.processes = Some(processes);
    }

    /// Sets the traffic shares that the fleet allows these servers; all others get their full share. Calls in flight are
    /// not interrupted.
    pub fn set_fleet_shares(&mut self, now: f64, shares: BTreeMap<SocketAddr, Share>) {
        self.fleet_shares = shares;
        self.review(now);
    }

    /// Applies the fleet's shares to the servers. If the fleet has ejected every server of this pool, none is treated as
    /// ejected.
    fn apply_fleet_shares(&mut self) {
        let none_left = self.servers.values().all(|server| {
            matches!(self.fleet_shares.get(&server.spec.address), Some(Share::Trial | Share::Part(0.0)))
        });
        for server in self.servers.values_mut() {
            let share = self.fleet_shares.get(&server.spec.address).filter(|_| !none_left);
            server.share = share.copied().unwrap_or(Share::Part(1.0));
        }
    }

    /// Number of servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether there are no servers.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Whether a server at this address is in the pool.
    pub fn contains(&self, address: SocketAddr) -> bool {
        self.by_address.contains_key(&address)
    }

    /// Calls in flight to all servers.
    pub fn in_flight(&self) -> u64 {
        self.in_flight
    }

    /// Chooses a server for a call of `work` units, and counts the call as in flight there. Servers in `tried` are avoided
    /// as long as others can take the call. `safe` says that the call may be repeated: such calls are preferred for
    /// servers on trial.
    ///
    /// # Errors
    /// No server can take the call.
    pub fn choose(
        &mut self,
        now: f64,
        work: f64,
        safe: bool,
        tried: &[ServerId],
        rng: &mut impl Rng,
    ) -> Result<Choice, NoFreeServer> {
        if now - self.reviewed_at >= REVIEW_INTERVAL_MS {
            self.review(now);
        }
        let work = work.max(MIN_TIME_OR_WORK);
        for id in std::mem::take(&mut self.phase_pending) {
            if let Some(share) = self.servers.get_mut(id).and_then(|server| server.slow_start.as_mut()) {
                share.set_phase(rng.random());
            }
        }
        let admission = if self.fleet_shares.is_empty() { 0.0 } else { rng.random() };
        let remeasured = if safe { self.choose_to_remeasure(now, admission, tried, rng) } else { None };
        let special =
            self.choose_to_probe(now, tried).or_else(|| self.choose_for_evidence(now, safe, tried, rng));
        let special = special.or_else(|| self.choose_on_trial(now, safe, tried, rng)).or(remeasured);
        let drawn = special.or_else(|| self.choose_best_drawn(now, work, admission, tried, rng));
        let id = drawn.or_else(|| self.choose_best_of_all(now, work, admission, tried));
        let id = id.ok_or(NoFreeServer)?;
        let log_slowdown = self.log_slowdown(id, now);
        let server = self.servers.get_mut(id).ok_or(NoFreeServer)?;
        if let Some(share) = &mut server.slow_start
            && let Some(terms) = terms(&self.options, server.spec.weight)
        {
            share.take(now, &terms);
        }
        server.in_flight += 1;
        self.in_flight += 1;
        if tried.is_empty() {
            self.retry_budget.record_call();
        }
        Ok(Choice { id, address: server.spec.address, work, log_slowdown })
    }

    /// Takes a retry out of the budget; returns false if the budget is used up.
    pub fn try_take_retry(&mut self) -> bool {
        self.retry_budget.try_take()
    }

    /// A server that refused the last connection, with one call at a time and within this process's slow-start share. Any
    /// call may probe it, as a refused connection proves that the call never ran; and its share expires if unused. Without
    /// a bound on slow starts the normal choice finds such servers again.
    fn choose_to_probe(&self, now: f64, tried: &[ServerId]) -> Option<ServerId> {
        let refusing = self.refusing.iter().filter_map(|id| Some((*id, self.servers.get(*id)?)));
        let mut free = refusing.filter(|(id, server)| {
            let has_token =
                self.slow_start_share(server).is_some_and(|(share, terms)| share.has_token(now, &terms));
            let waited = server.refused_at.is_some_and(|refused| now - refused >= PROBE_INTERVAL_MS);
            has_token && waited && server.in_flight == 0 && !server.is_removed() && !tried.contains(id)
        });
        free.next().map(|(id, _)| id)
    }

    /// A server on trial, with one call at a time. If no safe call came for `TRIAL_WAIT_MS`, any call may go there: a pool
    /// without safe calls would never readmit the server.
    fn choose_on_trial(
        &self,
        now: f64,
        safe: bool,
        tried: &[ServerId],
        rng: &mut impl Rng,
    ) -> Option<ServerId> {
        let on_trial = &self.eligible.on_trial;
        if on_trial.is_empty() || rng.random::<f64>() >= TRIAL_SHARE {
            return None;
        }
        let id = on_trial[rng.random_range(..on_trial.len())];
        let free = |server: &Server| match (server.share, server.state) {
            _ if !self.slow_start_allows(server, now) => false,
            (Share::Trial, _) => {
                let waited = || server.measured_at().is_none_or(|measured| now - measured >= TRIAL_WAIT_MS);
                server.in_flight == 0 && (safe || waited())
            }
            (_, ServerState::Trial { since, .. }) => {
                server.in_flight == 0 && (safe || now - since >= TRIAL_WAIT_MS)
            }
            _ => false,
        };
        (!tried.contains(&id) && self.servers.get(id).is_some_and(free)).then_some(id)
    }

    /// A server for which the fleet requests evidence, whatever its estimate here: one safe call at a time, if it was not
    /// measured for `EVIDENCE_INTERVAL_MS`.
    fn choose_for_evidence(
        &self,
        now: f64,
        safe: bool,
        tried: &[ServerId],
        rng: &mut impl Rng,
    ) -> Option<ServerId> {
        let requested = &self.eligible.evidence_requested;
        if !safe || requested.is_empty() || rng.random::<f64>() >= EVIDENCE_SHARE {
            return None;
        }
        let id = requested[rng.random_range(..requested.len())];
        let due = |server: &Server| {
            server.measured_at().is_none_or(|measured| now - measured >= EVIDENCE_INTERVAL_MS)
        };
        let free =
            |server: &Server| server.in_flight == 0 && due(server) && self.slow_start_allows(server, now);
        (!tried.contains(&id) && self.servers.get(id).is_some_and(free)).then_some(id)
    }

    /// Occasionally the next server in turn, if it was not measured for `REMEASURE_AGE_MS`. Otherwise a server that was
    /// bad once would never be found to have recovered, and a report that praises bad servers would never be refuted by
    /// samples of good ones.
    fn choose_to_remeasure(
        &mut self,
        now: f64,
        admission: f64,
        tried: &[ServerId],
        rng: &mut impl Rng,
    ) -> Option<ServerId> {
        let Eligible { same_zone, other_zones, .. } = &self.eligible;
        if same_zone.is_empty() && other_zones.is_empty() || rng.random::<f64>() >= REMEASURE_SHARE {
            return None;
        }
        self.remeasure_index = (self.remeasure_index + 1) % (same_zone.len() + other_zones.len());
        let id = *same_zone
            .get(self.remeasure_index)
            .or_else(|| other_zones.get(self.remeasure_index - same_zone.len()))?;
        let server = self.servers.get(id)?;
        let due = server.measured_at().is_none_or(|measured| now - measured >= REMEASURE_AGE_MS);
        let free = server.accepts_calls(admission) && self.has_capacity(server, now) && !tried.contains(&id);
        (due && free).then_some(id)
    }

    /// The best of a few candidates drawn at random.
    fn choose_best_drawn(
        &self,
        now: f64,
        work: f64,
        admission: f64,
        tried: &[ServerId],
        rng: &mut impl Rng,
    ) -> Option<ServerId> {
        let preference = |id: ServerId| {
            let server = self.servers.get(id).filter(|server| self.has_capacity(server, now))?;
            let typical = self.level.unwrap_or(0.0).exp() * work;
            let speed = (typical / self.cost(id, now, work)).clamp(MIN_PREFERENCE, 1.0);
            (server.accepts_calls(admission) && !tried.contains(&id)).then_some(server.spec.weight * speed)
        };
        let drawn = self.eligible.draw(rng, preference);
        self.cheapest(drawn, now, work)
    }

    /// The best of all servers with free capacity, in this order: untried active ones, untried ones that this node has
    /// ejected, those already tried. Servers that the fleet has ejected are never chosen.
    fn choose_best_of_all(
        &self,
        now: f64,
        work: f64,
        admission: f64,
        tried: &[ServerId],
    ) -> Option<ServerId> {
        let with_capacity = || {
            self.servers.iter().filter(|(_, server)| self.has_capacity(server, now) && !server.is_removed())
        };
        let untried = || with_capacity().filter(|(id, _)| !tried.contains(id));
        let active = untried().filter(|(_, server)| server.accepts_calls(admission)).map(|(id, _)| id);
        self.cheapest(active, now, work)
            .or_else(|| self.cheapest(untried().map(|(id, _)| id), now, work))
            .or_else(|| self.cheapest(with_capacity().map(|(id, _)| id), now, work))
            .or_else(|| self.cheapest(self.beyond_slow_start(now, tried), now, work))
    }

    /// Untried servers below their bound on calls in flight, if every server is in slow start and the operator has not set
    /// `slow_start_calls`; else none.
    fn beyond_slow_start(&self, now: f64, tried: &[ServerId]) -> impl Iterator<Item = ServerId> {
        let may_exceed = self.options.slow_start_calls.is_none()
            && self.servers.values().all(|server| server.is_removed() || self.in_slow_start(server, now));
        let free = move |(id, server): &(ServerId, &Server)| {
            may_exceed && self.below_max_in_flight(server) && !server.is_removed() && !tried.contains(id)
        };
        self.servers.iter().filter(free).map(|(id, _)| id)
    }

    fn cheapest(&self, ids: impl Iterator<Item = ServerId>, now: f64, work: f64) -> Option<ServerId> {
        let costs = ids.map(|id| (self.cost(id, now, work), id));
        costs.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, id)| id)
    }

    fn has_capacity(&self, server: &Server, now: f64) -> bool {
        self.below_max_in_flight(server) && self.slow_start_allows(server, now)
    }

    fn below_max_in_flight(&self, server: &Server) -> bool {
        f64::from(server.in_flight) < (self.options.max_in_flight * server.spec.weight).max(1.0)
    }

    /// This process's share in a server's slow start, if that is bounded.
    fn slow_start_share<'a>(&self, server: &'a Server) -> Option<(&'a slow_start::Share, Terms)> {
        let share = server.slow_start.as_ref()?;
        Some((share, terms(&self.options, server.spec.weight)?))
    }

    fn in_slow_start(&self, server: &Server, now: f64) -> bool {
        self.slow_start_share(server).is_some_and(|(share, terms)| !share.is_over(now, &terms))
    }

    /// Whether slow start allows a call: the server is warm, or this process's share has a token.
    fn slow_start_allows(&self, server: &Server, now: f64) -> bool {
        self.slow_start_share(server)
            .is_none_or(|(share, terms)| share.is_over(now, &terms) || share.has_token(now, &terms))
    }

    /// Begins, updates or ends a server's slow start by what is known of its start.
    fn update_slow_start(&mut self, id: ServerId, now: f64) {
        let reported = self.peer_reports.started_at(id);
        let Some(server) = self.servers.get_mut(id) else { return };
        let down = server.refused_at.is_some();
        let started_at = if down { Some(now) } else { server.start.at.or(reported).or(server.listed_at) };
        let started_at = started_at.filter(|started| down || now - started < self.options.warm_ms);
        if down != self.refusing.contains(&id) {
            self.refusing.retain(|known| *known != id);
            self.refusing.extend(down.then_some(id));
        }
        match (&mut server.slow_start, started_at) {
            (Some(share), Some(since)) => share.update_start(since, down),
            (None, Some(since)) => server.slow_start = Some(slow_start::Share::new(now, since, down)),
            (_, None) => server.slow_start = None,
        }
        if server.slow_start.as_ref().is_some_and(slow_start::Share::needs_phase)
            && !self.phase_pending.contains(&id)
        {
            self.phase_pending.push(id);
        }
    }

    /// Expected log time of a server relative to the pool, when warm and idle.
    fn relative_log_time(&self, server: &Server, prior: &Prior, now: f64) -> f64 {
        let own_weight = server.measurements.times.weight(now);
        let sum = own_weight * server.measurements.times.mean() + prior.weight * prior.mean;
        sum / (own_weight + prior.weight + POOL_PRIOR_SAMPLES)
    }

    fn failure_rate(&self, server: &Server, prior: &Prior, now: f64) -> f64 {
        let (failed, calls) = server.measurements.failures.counts(now);
        (failed + prior.failed + POOL_PRIOR_CALLS * self.pool_failure_rate(now))
            / (calls + prior.calls + POOL_PRIOR_CALLS)
    }

    fn pool_failure_rate(&self, now: f64) -> f64 {
        let (failed, calls) = self.failures.counts(now);
        failed / (calls + 1.0)
    }

    fn prior(&self, id: ServerId, server: &Server, now: f64) -> Prior {
        let (_, calls) = server.measurements.failures.counts(now);
        self.peer_reports.prior(id, server.measurements.times.weight(now).max(calls), now)
    }

    /// Slowdown of a server by its load and warm-up, relative to warm and idle, as log time.
    fn log_slowdown(&self, id: ServerId, now: f64) -> f64 {
        let Some(server) = self.servers.get(id) else { return 0.0 };
        let started_at = server.start.at.or_else(|| self.peer_reports.started_at(id));
        let speed = started_at.map_or(1.0, |started| {
            let progress = ((now - started) / self.options.warm_ms).clamp(0.0, 1.0);
            self.options.cold_speed + (1.0 - self.options.cold_speed) * progress
        });
        (1.0 + server.load() / DOUBLING_LOAD).ln() - speed.ln()
    }

    /// Expected completion time of a call, with the cost of a failure and of crossing zones.
    fn cost(&self, id: ServerId, now: f64, work: f64) -> f64 {
        let Some(server) = self.servers.get(id) else { return f64::INFINITY };
        let prior = self.prior(id, server, now);
        let relative = self.relative_log_time(server, &prior, now);
        let typical = self.level.unwrap_or(0.0).exp() * work;
        let zone_factor =
            if server.spec.zone == self.options.zone { 1.0 } else { self.options.cross_zone_factor };
        let completion = typical * (relative + self.log_slowdown(id, now)).exp() * zone_factor;
        completion + self.failure_rate(server, &prior, now) * FAILURE_COST * typical
    }

    /// Ends a call: frees its place at the server, and updates the estimates.
    pub fn finish_call(&mut self, now: f64, choice: &Choice, end: &CallEnd) {
        let Some(server) = self.servers.get_mut(choice.id) else { return };
        server.in_flight = server.in_flight.saturating_sub(1);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.record_start(now, choice.id, end);
        self.update_slow_start(choice.id, now);
        let log_time = self.record_time(now, choice, end);
        let failed = match end.kind {
            CallEndKind::Served => Some(false),
            CallEndKind::Abandoned | CallEndKind::NotSent => None,
            _ => Some(true),
        };
        let pool_failure_rate = self.pool_failure_rate(now);
        self.peer_reports.add_sample(choice.id, &Sample { log_time, failed, pool_failure_rate });
        let Some(server) = self.servers.get_mut(choice.id) else { return };
        if let Some(failed) = failed {
            server.record_end(now, failed);
            self.failures.add(now, failed);
            server
                .record_trial(now, !failed && log_time.is_none_or(|log_time| log_time <= MAX_TRIAL_LOG_TIME));
        }
        if server.consecutive_failures >= EARLY_REVIEW_FAILURES
            && now - self.reviewed_at >= EARLY_REVIEW_INTERVAL_MS
        {
            self.review(now);
        }
    }

    /// Records the time of a call as a sample, and returns its log time relative to the pool. The time of a failed or
    /// abandoned call is only a lower bound: it is ignored unless it exceeds the expected time.
    fn record_time(&mut self, now: f64, choice: &Choice, end: &CallEnd) -> Option<f64> {
        let unit_log_time = (end.took_ms.max(MIN_TIME_OR_WORK) / choice.work).ln() - choice.log_slowdown;
        let served = match end.kind {
            CallEndKind::Served => true,
            CallEndKind::Failed | CallEndKind::Abandoned => false,
            CallEndKind::Rejected
            | CallEndKind::ConnectionRefused
            | CallEndKind::Unreachable
            | CallEndKind::NotSent => return None,
        };
        let server = self.servers.get(choice.id)?;
        let expected = self.relative_log_time(server, &self.prior(choice.id, server, now), now);
        let level = match self.level {
            Some(level) => level,
            None if served => *self.level.insert(unit_log_time - expected),
            None => return None,
        };
        let log_time = unit_log_time - level;
        if !served && log_time <= expected {
            return None;
        }
        let gain = MIN_LEVEL_GAIN.max(1.0 / (self.level_samples + 2.0));
        self.level = Some(level + gain * (log_time - expected).clamp(-MAX_RESIDUAL, MAX_RESIDUAL));
        self.level_samples += 1.0;
        self.servers.get_mut(choice.id)?.record_time(now, log_time);
        Some(log_time)
    }

    /// Records what the end of a call shows about the server's start. Measurements of a previous start are discarded.
    fn record_start(&mut self, now: f64, id: ServerId, end: &CallEnd) {
        let Some(server) = self.servers.get_mut(id) else { return };
        match end.kind {
            CallEndKind::ConnectionRefused => {
                server.refused_at = Some(now);
                return;
            }
            CallEndKind::Unreachable | CallEndKind::Abandoned | CallEndKind::NotSent => return,
            _ => {}
        }
        let report = end.run.unwrap_or(StartReport { incarnation: None, up_ms: None });
        let reported = Start { incarnation: report.incarnation, at: report.up_ms.map(|up| now - up) };
        let refused_at = server.refused_at;
        let restarted = server.is_new_start(reported);
        let start = if restarted {
            Start { at: reported.at.or(refused_at), ..reported }
        } else {
            Start {
                incarnation: reported.incarnation.or(server.start.incarnation),
                at: server.start.at.or(reported.at),
            }
        };
        server.refused_at = None;
        if restarted {
            server.reset_for_start(start);
        }
        if restarted || start != server.start {
            server.start = start;
            self.peer_reports.retain_start(id, start.incarnation, start.at);
        }
    }

    /// Reviews all servers: begins trials, recomputes the level, ejects outliers, and updates which servers may be chosen.
    fn review(&mut self, now: f64) {
        self.reviewed_at = now;
        self.recenter(now);
        for server in self.servers.values_mut() {
            if let ServerState::Ejected { until, times } = server.state
                && until <= now
            {
                server.state = ServerState::Trial { left: TRIAL_CALLS, times, since: now };
            }
        }
        self.apply_fleet_shares();
        let ids: Vec<ServerId> = self.servers.keys().collect();
        ids.into_iter().for_each(|id| self.update_slow_start(id, now));
        self.eject_outliers(now);
        let zone = &self.options.zone;
        let mut eligible = Eligible::default();
        for (id, server) in &self.servers {
            if server.share == Share::Probed {
                eligible.evidence_requested.push(id);
            }
            match server.state {
                _ if server.share == Share::Trial => eligible.on_trial.push(id),
                _ if server.is_removed() => continue,
                ServerState::Ejected { .. } => continue,
                ServerState::Trial { .. } => eligible.on_trial.push(id),
                ServerState::Active if server.spec.zone == *zone => eligible.same_zone.push(id),
                ServerState::Active => eligible.other_zones.push(id),
            }
            eligible.max_weight = eligible.max_weight.max(server.spec.weight);
        }
        self.eligible = eligible;
    }

    fn eject_outliers(&mut self, now: f64) {
        let allowed = self.ejections_allowed();
        if allowed == 0 {
            return;
        }
        let active = |server: &Server| server.state == ServerState::Active && !server.is_removed();
        let measured = self.servers.iter().filter(|(_, server)| active(server)).map(|(id, server)| {
            let (failed, calls) = server.since_ejection.failures.counts(now);
            let variance = server.since_ejection.times.variance().unwrap_or(DEFAULT_VARIANCE);
            let (mean, samples) =
                (server.since_ejection.times.mean(), server.since_ejection.times.weight(now));
            Measured { id, mean, variance, samples, failed, calls }
        });
        let measured: Vec<_> = measured.collect();
        for id in outliers(&measured).into_iter().take(allowed) {
            if let Some(server) = self.servers.get_mut(id) {
                server.eject(now);
            }
        }
    }

    /// Sets the level to the median of the servers with estimates, so that relative times mean the same here as in other
    /// nodes' reports.
    fn recenter(&mut self, now: f64) {
        let Some(level) = self.level else { return };
        let known = |(id, server): (ServerId, &Server)| {
            let prior = self.prior(id, server, now);
            let weight = server.measurements.times.weight(now) + prior.weight;
            (weight >= 1.0).then(|| self.relative_log_time(server, &prior, now))
        };
        let mut known: Vec<f64> = self.servers.iter().filter_map(known).collect();
        if known.len() < MIN_KNOWN_SERVERS {
            return;
        }
        if let Some(center) = median(&mut known) {
            self.level = Some(level + center);
            self.servers.values_mut().for_each(|server| server.shift(-center));
            self.peer_reports.shift(-center);
        }
    }

    /// Own measurements of all servers, without anything that other nodes reported.
    pub fn digest(&self, now: f64, reporter: &str) -> Digest {
        let item = |server: &Server| {
            // Weights are as of the newest sample: the receiver applies the decay since then from `age_ms`.
            let measured_at = server.measured_at()?;
            let (failed, calls) = server.measurements.failures.counts(measured_at);
            Some(ServerStats {
                address: server.spec.address,
                log_time: server.measurements.times.mean().clamp(-MAX_LOG_TIME, MAX_LOG_TIME),
                variance: server
                    .measurements
                    .times
                    .variance()
                    .unwrap_or(DEFAULT_VARIANCE)
                    .min(MAX_LOG_TIME * MAX_LOG_TIME),
                samples: server.measurements.times.weight(measured_at),
                calls,
                failed,
                age_ms: (now - measured_at).clamp(0.0, MAX_AGE_MS),
                ejected: server.state != ServerState::Active,
                run: StartReport {
                    incarnation: server.start.incarnation,
                    up_ms: server.start.at.map(|at| (now - at).clamp(0.0, MAX_AGE_MS)),
                },
            })
        };
        let items = self.servers.values().filter_map(item).collect();
        Digest { reporter: reporter.to_owned(), level: self.level, items }
    }

    /// Merges another node's measurements as prior evidence for own estimates.
    pub fn merge_digest(&mut self, now: f64, digest: &Digest) -> MergeResult {
        let (by_address, servers) = (&self.by_address, &self.servers);
        let merged = self.peer_reports.merge(now, digest, |item| {
            let id = *by_address.get(&item.address)?;
            let start = servers.get(id)?.start;
            Some((id, start.incarnation, start.at))
        });
        if self.level.is_none() && merged.accepted > 0 {
            self.level = digest.level;
            self.level_samples = REPORTED_LEVEL_SAMPLES;
        }
        self.begin_reported_trials(now);
        self.review(now);
        merged
    }

    /// Begins a trial for unmeasured servers that other nodes have ejected: a wrong report costs such a server a few calls
    /// at most.
    fn begin_reported_trials(&mut self, now: f64) {
        let allowed = self.ejections_allowed();
        let peer_reports = &self.peer_reports;
        let unmeasured =
            |server: &Server| server.state == ServerState::Active && server.measured_at().is_none();
        let reported = self
            .servers
            .iter_mut()
            .filter(|(id, server)| unmeasured(server) && peer_reports.is_ejected(*id, now));
        let state = ServerState::Trial { left: TRIAL_CALLS, times: 0, since: now };
        reported.take(allowed).for_each(|(_, server)| server.state = state);
    }

    /// How many more servers may be ejected; those that the fleet has ejected count too.
    fn ejections_allowed(&self) -> usize {
        let inactive = |server: &&Server| server.state != ServerState::Active || server.is_removed();
        let inactive = self.servers.values().filter(inactive).count();
        ((self.servers.len() as f64 * self.options.max_ejected_share) as usize).saturating_sub(inactive)
    }

    /// The estimates of all servers, sorted by address.
    pub fn estimates(&self, now: f64) -> Vec<ServerEstimate> {
        let estimate = |(id, server): (ServerId, &Server)| {
            let prior = self.prior(id, server, now);
            ServerEstimate {
                spec: server.spec.clone(),
                state: server.state,
                in_flight: server.in_flight,
                relative_time: self.relative_log_time(server, &prior, now).exp(),
                failure_rate: self.failure_rate(server, &prior, now),
                samples: server.measurements.times.weight(now),
                age_ms: server.measured_at().map(|newest| now - newest),
                up_ms: server.start.at.or_else(|| self.peer_reports.started_at(id)).map(|at| now - at),
                reports: self.peer_reports.reports(id, now),
            }
        };
        let mut estimates: Vec<ServerEstimate> = self.servers.iter().map(estimate).collect();
        estimates.sort_by_key(|estimate| estimate.spec.address);
        estimates
    }

    /// The trust in each node that reported statistics, from 0 to 1.
    pub fn reporters(&self) -> impl Iterator<Item = (&str, f64)> {
        self.peer_reports.reporters()
    }
}
