//! Detection of outliers from the evidence of all voters: which servers are worse than the pool, for which nodes, and
//! which machines are themselves the cause of what they report.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use statrs::distribution::{ContinuousCDF, Normal};

use super::evidence::{CLASSES, Counts, Entry, EvidenceStore};
use super::sequential::{
    Wealth, bet, contribution, max_contribution, pooled, probe_threshold, removal_threshold,
};

/// Window lengths, in slots, over which the evidence is tested: a test begins in each slot and is evaluated at these ages.
pub const WINDOW_SLOTS: [u64; 7] = [4, 8, 16, 32, 64, 128, 256];
/// Slots in which a server must have had bad calls: a pause of two seconds is no reason to eject it.
const MIN_BAD_SLOTS: usize = 3;
/// One machine in this many may lie, unless the operator sets a number.
const MACHINES_PER_LIAR: usize = 32;
/// Servers that a machine must have called before it can be found to report most servers as bad, and the share of its
/// calls to a server that must have been bad for that server to count as reported bad.
const MIN_SERVERS_CALLED: usize = 4;
const BAD_CALL_SHARE: f64 = 0.5;
/// Minimum calls to a server for its rate to enter the pool's median.
const MIN_CALLS_FOR_RATE: u32 = 8;
/// Good calls added to those of a machine when its own rate to all other servers is computed (a prior).
const PRIOR_GOOD_CALLS: f64 = 8.0;

/// Failure rate that every server is allowed, and the allowed multiple of the median server's rate.
const ALWAYS_ALLOWED_FAILURE_RATE: f64 = 0.02;
const MAX_FAILURE_RATE_RATIO: f64 = 2.0;
/// Share of slow calls that every server is allowed.
const ALWAYS_ALLOWED_SLOW_RATE: f64 = 0.1;
/// How much slower than the median server a server may be, as log time (ln 1.5: half as much again), and the assumed
/// standard deviation of the log time of single calls. With both, the bound is the same factor wherever a voter's
/// threshold for slow calls lies at the moment: that threshold lags when all servers become slow at once, and twice the
/// median share of slow calls does not mean half as much time again.
const MAX_LOG_SLOWDOWN: f64 = 0.405_465_108_108_164;
const LOG_TIME_STD_DEV: f64 = 0.35;

/// The respect in which a server is worse than the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// It fails more often.
    Failing,
    /// It takes longer: more of its calls exceed 1.5 times the pool's 90th percentile.
    Slow,
}

impl Kind {
    /// The rate that a server may have when the median server has the rate `middle`.
    fn allowed(self, middle: f64) -> f64 {
        match self {
            Self::Failing => (MAX_FAILURE_RATE_RATIO * middle).max(ALWAYS_ALLOWED_FAILURE_RATE),
            Self::Slow => {
                let normal = Normal::standard();
                let middle = middle.clamp(1e-6, 1.0 - 1e-6);
                normal
                    .cdf(normal.inverse_cdf(middle) + MAX_LOG_SLOWDOWN / LOG_TIME_STD_DEV)
                    .max(ALWAYS_ALLOWED_SLOW_RATE)
            }
        }
    }

    /// Number of bad calls of this kind, and of all calls that can be judged for it.
    fn of(self, counts: &Counts) -> (u32, u32) {
        match self {
            Self::Failing => (counts.failed, counts.calls),
            Self::Slow => (counts.slow, counts.timed),
        }
    }
}

/// The nodes for which a server is ejected.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Scope {
    /// All nodes.
    Everywhere,
    /// The nodes of this zone: the fault is on the path from there.
    Zone(String),
}

/// An injected fault in the rules, set by tests only to prove that the checks detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RuleFault {
    /// Each voter of a machine counts separately.
    OneVoterTwice,
    /// Voters without evidence count as having found the server good.
    AbstentionsAsGood,
    /// Evidence from before a server's restart counts against it.
    LivesMixed,
    /// The cap on ejections ignores capacity.
    CapByNumberOnly,
}

/// Settings of an evaluation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rules {
    /// How many machines may lie; default: one in 32, at least one.
    pub liars: Option<usize>,
    /// A fault injected by tests.
    pub injected_fault: Option<RuleFault>,
}

impl Rules {
    /// How many of `machines` machines may lie.
    pub fn max_liars(&self, machines: usize) -> usize {
        self.liars.unwrap_or((machines / MACHINES_PER_LIAR).max(1))
    }

    fn has(&self, planted: RuleFault) -> bool {
        self.injected_fault == Some(planted)
    }
}

/// How many machines must find a server bad in addition to those that may lie: `2 * liars + 1`, at least three.
pub fn min_voters(liars: usize) -> usize {
    (2 * liars + 1).max(3)
}

/// A server that is worse than the pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Outlier {
    /// The server.
    pub server: SocketAddr,
    /// The nodes for which it is worse.
    pub scope: Scope,
    /// The respect in which it is worse.
    pub kind: Kind,
    /// The pooled evidence, as a natural logarithm.
    pub evidence: f64,
    /// Calls in the evidence, and the bad ones among them.
    pub calls: u32,
    /// See `calls`.
    pub bad: u32,
    /// Machines that have evidence.
    pub voters: usize,
    /// Length of the window in which it was found, in slots.
    pub span: u64,
}

/// A server that may be worse than the pool: the evidence does not suffice yet, and probe calls would decide it sooner.
#[derive(Clone, Debug, PartialEq)]
pub struct Suspect {
    /// The server.
    pub server: SocketAddr,
    /// The zone with the strongest evidence against it; none if that is all zones together.
    pub zone: Option<String>,
    /// The pooled evidence, as a natural logarithm.
    pub evidence: f64,
    /// Machines whose contribution to the evidence has reached its maximum.
    pub full: BTreeSet<String>,
    /// Machines that have to find it bad, including those that may lie.
    pub needed: usize,
}

/// The result of an evaluation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Findings {
    /// Servers that are worse than the pool, one entry per server and scope.
    pub outliers: Vec<Outlier>,
    /// Servers that may be worse than the pool, the strongest evidence first.
    pub suspects: Vec<Suspect>,
    /// Machines that report most servers as bad: the fault is on their side, and their votes are ignored.
    pub ill: BTreeSet<String>,
}

/// A machine: all voters on it count as one.
struct VotingMachine {
    machine: String,
    zone: usize,
}

/// All voters, grouped by machine.
struct Voters {
    machines: Vec<VotingMachine>,
    /// Index of the machine of each voter.
    machine_of_voter: Vec<usize>,
    zones: Vec<String>,
    liars: usize,
}

impl Voters {
    fn new(book: &EvidenceStore, rules: &Rules) -> Self {
        let (mut machines, mut machine_of_voter, mut zones) = (Vec::new(), Vec::new(), Vec::<String>::new());
        let mut known = BTreeMap::new();
        for voter in &book.voters {
            let group_name = if rules.has(RuleFault::OneVoterTwice) { &voter.name } else { &voter.machine };
            let machine = *known.entry(group_name.clone()).or_insert_with(|| {
                let zone = zones.iter().position(|zone| *zone == voter.zone).unwrap_or_else(|| {
                    zones.push(voter.zone.clone());
                    zones.len() - 1
                });
                machines.push(VotingMachine { machine: voter.machine.clone(), zone });
                machines.len() - 1
            });
            machine_of_voter.push(machine);
        }
        let liars = rules.max_liars(machines.len());
        Self { machines, machine_of_voter, zones, liars }
    }

    /// The maximum contribution of one machine to the pooled evidence.
    fn most(&self) -> f64 {
        max_contribution(min_voters(self.liars), self.liars)
    }
}

type ClassCounts = [Counts; CLASSES];

/// One server's evidence in the current window.
struct ServerWindow<'a> {
    server: SocketAddr,
    /// Entries that count, the oldest first.
    entries: Vec<&'a Entry>,
    /// Entries before this index are not in the window yet.
    next: usize,
    by_machine: Vec<ClassCounts>,
}

/// The current incarnation of a server and its start in ms: the newest one that more machines than may lie have seen.
fn current_incarnation(entries: &VecDeque<Entry>, voters_by_machine: &Voters) -> Option<(u64, f64)> {
    let mut claims: BTreeMap<u64, BTreeMap<usize, f64>> = BTreeMap::new();
    for entry in entries {
        if let Some((life, start)) = entry.life {
            claims.entry(life).or_default().insert(voters_by_machine.machine_of_voter[entry.voter], start);
        }
    }
    claims.retain(|_, starts| starts.len() > voters_by_machine.liars);
    let middle = |starts: BTreeMap<usize, f64>| {
        let mut starts: Vec<f64> = starts.into_values().collect();
        let at = (starts.len() - 1) / 2;
        *starts.select_nth_unstable_by(at, f64::total_cmp).1
    };
    let lives = claims.into_iter().map(|(life, starts)| (life, middle(starts)));
    lives.max_by(|a, b| a.1.total_cmp(&b.1))
}

/// Whether an entry counts for the current incarnation: evidence from before a restart does not.
fn applies_to(entry: &Entry, current: Option<(u64, f64)>) -> bool {
    let Some((current, start)) = current else { return true };
    match entry.life {
        Some((life, _)) => life == current,
        None => entry.slot >= EvidenceStore::slot(start),
    }
}

struct Evaluation<'a> {
    voters_by_machine: Voters,
    rules: &'a Rules,
    server_windows: Vec<ServerWindow<'a>>,
    /// Each machine's counts over all servers.
    totals: Vec<ClassCounts>,
    ill: Vec<bool>,
}

/// The median server's rate by class: as seen by the whole fleet, and by each zone.
struct PoolRates {
    fleet: [f64; CLASSES],
    zones: Vec<[f64; CLASSES]>,
}

/// Evaluates the evidence at `now`.
pub fn evaluate(book: &EvidenceStore, now: f64, rules: &Rules) -> Findings {
    let voters_by_machine = Voters::new(book, rules);
    let machines = voters_by_machine.machines.len();
    let server_windows = book.servers.iter().map(|(server, shelf)| {
        let all = &shelf.entries;
        let life = if rules.has(RuleFault::LivesMixed) {
            None
        } else {
            current_incarnation(all, &voters_by_machine)
        };
        let held_to = |entry: &&Entry| applies_to(entry, life) && !book.forgiven(*server, entry.slot);
        let entries: Vec<&Entry> = all.iter().filter(held_to).collect();
        ServerWindow {
            server: *server,
            next: entries.len(),
            entries,
            by_machine: vec![ClassCounts::default(); machines],
        }
    });
    let server_windows = server_windows.collect();
    let totals = vec![ClassCounts::default(); machines];
    let mut count =
        Evaluation { voters_by_machine, rules, server_windows, totals, ill: vec![false; machines] };
    let mut findings = Findings::default();
    let mut found: BTreeMap<(SocketAddr, Scope), Outlier> = BTreeMap::new();
    let mut suspects: BTreeMap<SocketAddr, Suspect> = BTreeMap::new();
    for span in WINDOW_SLOTS {
        let from = EvidenceStore::slot(now).saturating_sub(span - 1);
        count.extend_window(from);
        count.mark_faulty_machines();
        for kind in [Kind::Failing, Kind::Slow] {
            let (outliers, new_suspects) = count.outliers(kind, span, from);
            for one in new_suspects {
                let known = suspects.entry(one.server).or_insert(one.clone());
                if one.evidence > known.evidence {
                    *known = one;
                }
            }
            for outlier in outliers {
                let known = found.entry((outlier.server, outlier.scope.clone())).or_insert(outlier.clone());
                if outlier.evidence > known.evidence {
                    *known = outlier;
                }
            }
        }
        let ill = count.voters_by_machine.machines.iter().zip(&count.ill).filter(|(_, ill)| **ill);
        findings.ill.extend(ill.map(|(machine, _)| machine.machine.clone()));
    }
    // An outlier for all nodes includes each zone.
    let everywhere: BTreeSet<SocketAddr> =
        found.keys().filter(|(_, scope)| *scope == Scope::Everywhere).map(|(server, _)| *server).collect();
    found.retain(|(server, scope), _| *scope == Scope::Everywhere || !everywhere.contains(server));
    suspects.retain(|server, _| !found.keys().any(|(known, _)| known == server));
    findings.suspects = suspects.into_values().collect();
    findings.suspects.sort_by(|a, b| b.evidence.total_cmp(&a.evidence));
    findings.outliers = found.into_values().collect();
    findings
}

impl Evaluation<'_> {
    /// Extends the window back to slot `from`.
    fn extend_window(&mut self, from: u64) {
        for server_window in &mut self.server_windows {
            while let Some(entry) = server_window.next.checked_sub(1).map(|at| server_window.entries[at])
                && entry.slot >= from
            {
                server_window.next -= 1;
                let (machine, class) =
                    (self.voters_by_machine.machine_of_voter[entry.voter], usize::from(entry.class));
                server_window.by_machine[machine][class] += entry.counts;
                self.totals[machine][class] += entry.counts;
            }
        }
    }

    /// Marks the machines that report most servers as bad in the current window; a longer window may clear or mark them.
    fn mark_faulty_machines(&mut self) {
        for (machine, ill) in self.ill.iter_mut().enumerate() {
            let (mut seen, mut bad) = (0, 0);
            for server_window in &self.server_windows {
                let all = sum_classes(&server_window.by_machine[machine]);
                let part = |kind: Kind| {
                    let (bad, calls) = kind.of(&all);
                    calls > 0 && f64::from(bad) >= BAD_CALL_SHARE * f64::from(calls)
                };
                seen += usize::from(all.calls > 0);
                bad += usize::from(part(Kind::Failing) || part(Kind::Slow));
            }
            *ill = seen >= MIN_SERVERS_CALLED && 2 * bad > seen;
        }
    }

    /// Machines whose votes count.
    fn trusted_machines(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.voters_by_machine.machines.len()).filter(|machine| !self.ill[*machine])
    }

    /// The median server's rate as seen by the machines that `who` selects; none if no server was called often enough.
    fn median_rate(&self, kind: Kind, class: usize, who: impl Fn(usize) -> bool) -> Option<f64> {
        let mut rates = Vec::with_capacity(self.server_windows.len());
        let mut seen = Vec::new();
        for server_window in &self.server_windows {
            seen.clear();
            seen.extend(
                self.trusted_machines()
                    .filter(|machine| who(*machine))
                    .map(|machine| kind.of(&server_window.by_machine[machine][class])),
            );
            // Liars could make the whole pool look bad, which hides a bad server, or look good, which makes good servers
            // seem worse than the pool.
            self.trim_highest(&mut seen, |(bad, _)| *bad);
            self.trim_highest(&mut seen, |(bad, calls)| calls - bad);
            let (bad, calls) = seen.iter().fold((0, 0), |(bad, calls), one| (bad + one.0, calls + one.1));
            if calls >= MIN_CALLS_FOR_RATE {
                rates.push(f64::from(bad) / f64::from(calls));
            }
        }
        let at = rates.len().checked_sub(1)? / 2;
        Some(*rates.select_nth_unstable_by(at, f64::total_cmp).1)
    }

    /// Drops the highest reports, as many as there may be liars.
    fn trim_highest(&self, seen: &mut Vec<(u32, u32)>, what: impl Fn(&(u32, u32)) -> u32) {
        let high = seen.len().saturating_sub(self.voters_by_machine.liars);
        if high > 0 && high < seen.len() {
            seen.select_nth_unstable_by_key(high, what);
        }
        seen.truncate(high);
    }

    fn pool(&self, kind: Kind) -> PoolRates {
        let machines = &self.voters_by_machine.machines;
        let fleet = std::array::from_fn(|class| self.median_rate(kind, class, |_| true).unwrap_or_default());
        let zone = |zone: usize| {
            std::array::from_fn(|class| {
                self.median_rate(kind, class, |machine| machines[machine].zone == zone).unwrap_or_default()
            })
        };
        PoolRates { fleet, zones: (0..self.voters_by_machine.zones.len()).map(zone).collect() }
    }

    /// The rate that a server may have as one machine sees it: by the fixed allowance, the median rates in the fleet and
    /// in the machine's zone, and the machine's own rate to all other servers.
    fn allowed(
        &self,
        kind: Kind,
        class: usize,
        machine: usize,
        server_window: &ServerWindow,
        pool: &PoolRates,
    ) -> f64 {
        let (bad, calls) = kind.of(&self.totals[machine][class]);
        let (here_bad, here) = kind.of(&server_window.by_machine[machine][class]);
        let own = f64::from(bad - here_bad) / (f64::from(calls - here) + PRIOR_GOOD_CALLS);
        let shared = pool.fleet[class].max(pool.zones[self.voters_by_machine.machines[machine].zone][class]);
        kind.allowed(shared).max(own)
    }

    /// Servers that are worse than the pool, and servers that may be.
    fn outliers(&self, kind: Kind, span: u64, from: u64) -> (Vec<Outlier>, Vec<Suspect>) {
        let liars = self.voters_by_machine.liars;
        let needed = min_voters(liars) + liars;
        let reporting = |server_window: &ServerWindow| {
            self.trusted_machines()
                .filter(|machine| kind.of(&sum_classes(&server_window.by_machine[*machine])).0 > 0)
                .count()
        };
        // Skips servers that only liars may have found bad, so that most servers cost no further work.
        let mut candidates = self
            .server_windows
            .iter()
            .map(|server_window| (server_window, reporting(server_window)))
            .filter(|one| one.1 > liars)
            .peekable();
        let (mut outliers, mut suspects) = (Vec::new(), Vec::new());
        if candidates.peek().is_none() {
            return (outliers, suspects);
        }
        let pool = self.pool(kind);
        for (server_window, reporting) in candidates {
            let votes = self.votes(server_window, kind, &pool);
            // Probe calls add load, so a slow server is not probed: that would make it slower.
            if kind == Kind::Failing {
                suspects.extend(self.suspect(server_window, &votes, needed));
            }
            // With fewer machines the threshold cannot be reached.
            if reporting >= needed {
                outliers.extend(self.scopes(server_window, kind, span, from, &votes));
            }
        }
        (outliers, suspects)
    }

    fn zone_of(&self, machine: usize) -> usize {
        self.voters_by_machine.machines[machine].zone
    }

    /// The pooled evidence of the machines in the zones that `who` selects.
    fn sum(&self, votes: &[(usize, Wealth)], who: &dyn Fn(usize) -> bool) -> f64 {
        let liars = self.voters_by_machine.liars;
        let trusted_machines = || votes.iter().filter(|(machine, _)| who(self.zone_of(*machine)));
        let enough = trusted_machines().count() > 2 * liars;
        if enough { pooled(trusted_machines().map(|(_, wealth)| *wealth), liars) } else { 0.0 }
    }

    /// The server as a suspect, if the evidence of all machines or of one zone passes the probe threshold. Probing depends
    /// on past calls only, so each later call still fails with the probability that the test assumes.
    fn suspect(
        &self,
        server_window: &ServerWindow,
        votes: &[(usize, Wealth)],
        needed: usize,
    ) -> Option<Suspect> {
        let zones = 0..self.voters_by_machine.zones.len();
        let of_zone = |zone| (Some(zone), self.sum(votes, &|of| of == zone));
        let all = (None, self.sum(votes, &|_| true));
        let (zone, evidence) =
            zones.map(of_zone).fold(all, |most, one| if one.1 > most.1 { one } else { most });
        if evidence < probe_threshold() {
            return None;
        }
        let zone = zone.map(|zone| self.voters_by_machine.zones[zone].clone());
        let most = self.voters_by_machine.most();
        let full = votes.iter().filter(|(_, wealth)| wealth.iter().any(|log| *log >= most));
        let full =
            full.map(|(machine, _)| self.voters_by_machine.machines[*machine].machine.clone()).collect();
        Some(Suspect { server: server_window.server, zone, evidence, full, needed })
    }

    /// The scopes in which a server is worse than the pool.
    fn scopes(
        &self,
        server_window: &ServerWindow,
        kind: Kind,
        span: u64,
        from: u64,
        votes: &[(usize, Wealth)],
    ) -> Vec<Outlier> {
        let sum = |who: &dyn Fn(usize) -> bool| self.sum(votes, who);
        let present: BTreeSet<usize> = votes.iter().map(|(machine, _)| self.zone_of(*machine)).collect();
        if present.is_empty() || self.bad_slots(server_window, kind, from) < MIN_BAD_SLOTS {
            return Vec::new();
        }
        // The evidence must suffice whichever zone is left out: then no single network path is at fault.
        let alone = self.voters_by_machine.zones.len() == 1;
        let by_all = if alone {
            sum(&|_| true)
        } else {
            present.iter().map(|zone| sum(&|of| of != *zone)).fold(f64::INFINITY, f64::min)
        };
        let outlier = |scope: Scope, evidence: f64| {
            let (bad, calls) = self.trusted_machines().fold((0, 0), |(bad, calls), machine| {
                let one = kind.of(&sum_classes(&server_window.by_machine[machine]));
                (bad + one.0, calls + one.1)
            });
            Outlier {
                server: server_window.server,
                scope,
                kind,
                evidence,
                calls,
                bad,
                voters: votes.len(),
                span,
            }
        };
        if by_all >= removal_threshold() && (alone || present.len() > 1) {
            return vec![outlier(Scope::Everywhere, by_all)];
        }
        let zone = |zone: &usize| (*zone, sum(&|of| of == *zone));
        let bad = present.iter().map(zone).filter(|(_, evidence)| !alone && *evidence >= removal_threshold());
        bad.map(|(zone, evidence)| outlier(Scope::Zone(self.voters_by_machine.zones[zone].clone()), evidence))
            .collect()
    }

    /// The evidence of each machine that has any.
    fn votes(&self, server_window: &ServerWindow, kind: Kind, pool: &PoolRates) -> Vec<(usize, Wealth)> {
        let most = self.voters_by_machine.most();
        let vote = |machine: usize| {
            let mut all = Wealth::default();
            let mut any = false;
            for (class, counts) in server_window.by_machine[machine].iter().enumerate() {
                let (bad, calls) = kind.of(counts);
                if calls == 0 {
                    continue;
                }
                any = true;
                let made = bet(calls, bad, self.allowed(kind, class, machine, server_window, pool));
                all.iter_mut().zip(made).for_each(|(sum, log)| *sum += log);
            }
            if !any && self.rules.has(RuleFault::AbstentionsAsGood) {
                (any, all) = (true, bet(MIN_CALLS_FOR_RATE, 0, kind.allowed(0.0)));
            }
            any.then(|| (machine, contribution(&all, most)))
        };
        self.trusted_machines().filter_map(vote).collect()
    }

    /// Number of slots with bad calls, ignoring the machines that report the most such slots, as many as may lie.
    fn bad_slots(&self, server_window: &ServerWindow, kind: Kind, from: u64) -> usize {
        let mut by_machine: BTreeMap<usize, BTreeSet<u64>> = BTreeMap::new();
        for entry in server_window.entries.iter().rev().take_while(|entry| entry.slot >= from) {
            let machine = self.voters_by_machine.machine_of_voter[entry.voter];
            if kind.of(&entry.counts).0 > 0 && !self.ill[machine] {
                by_machine.entry(machine).or_default().insert(entry.slot);
            }
        }
        let mut named: Vec<BTreeSet<u64>> = by_machine.into_values().collect();
        named.sort_by_key(BTreeSet::len);
        named.truncate(named.len().saturating_sub(self.voters_by_machine.liars));
        named.into_iter().flatten().collect::<BTreeSet<u64>>().len()
    }
}

fn sum_classes(class_counts: &ClassCounts) -> Counts {
    let mut all = Counts::default();
    class_counts.iter().for_each(|counts| all += *counts);
    all
}
