//! What the evidence of all voters comes to: which servers are worse than the pool, for whom, and which voters are the
//! case themselves.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use statrs::distribution::{ContinuousCDF, Normal};

use super::evidence::{CLASSES, Counts, Entry, EvidenceStore};
use super::sequential::{Wealth, bar, bet, contribution, doubt, most_of, pooled};

/// A test begins in each slot and is looked at when it is so many slots old.
pub const SPANS: [u64; 7] = [4, 8, 16, 32, 64, 128, 256];
/// Slots in which a server must have done badly: a pause of two seconds is nothing to remove it for.
const LEAST_SLOTS: usize = 3;
/// Of so many machines one may lie, where the operator says nothing.
const MACHINES_A_LIAR: usize = 32;
/// Servers that a voter must have called before it can be said to find most of them bad, and the part of its calls
/// there that must have been bad.
const LEAST_SEEN: usize = 4;
const BAD_PART: f64 = 0.5;
/// Calls of a server below which nothing is said of its rate, when the pool's is taken.
const LEAST_CALLS: u32 = 8;
/// Calls that a voter's own rate counts as "none bad" beside those that it has made.
const OWN_CALLS: f64 = 8.0;

/// A failure rate that any server may have, and how many times the middle server's.
const USUAL_FAILING: f64 = 0.02;
const MOST_FAILING_TIMES: f64 = 2.0;
/// The part of slow calls that any server may have.
const USUAL_SLOW: f64 = 0.1;
/// How much slower than the middle one a server may be, as log time (a half), and the spread of single calls' times
/// that it is held to. So the bound is the same factor wherever a voter's idea of slow lies just then: when all become
/// slow at once that lags, and twice the middle rate is no half more time.
const MOST_SLOWER: f64 = 0.405_465_108_108_164;
const SPREAD: f64 = 0.35;

/// In what a server is worse than the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// It fails more.
    Failing,
    /// It takes longer: more of its calls lie past one and a half times the pool's 90th percentile.
    Slow,
}

impl Kind {
    /// The rate that a server may have where the middle one has this.
    fn allowed(self, middle: f64) -> f64 {
        match self {
            Self::Failing => (MOST_FAILING_TIMES * middle).max(USUAL_FAILING),
            Self::Slow => {
                let normal = Normal::standard();
                let middle = middle.clamp(1e-6, 1.0 - 1e-6);
                normal.cdf(normal.inverse_cdf(middle) + MOST_SLOWER / SPREAD).max(USUAL_SLOW)
            }
        }
    }

    /// Bad calls, and all of that kind.
    fn of(self, counts: &Counts) -> (u32, u32) {
        match self {
            Self::Failing => (counts.failed, counts.calls),
            Self::Slow => (counts.slow, counts.timed),
        }
    }
}

/// For whom a server is out.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Scope {
    /// For all.
    Everywhere,
    /// For the nodes of this zone: it is the path from there.
    Zone(String),
}

/// An error that is planted to see that tests find it. Nothing but tests sets one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RuleFault {
    /// Each voter of a machine counts for itself.
    OneVoterTwice,
    /// Those that have no evidence count as having found the server good.
    AbstentionsAsGood,
    /// What a server did before its restart is held against it.
    LivesMixed,
    /// Capacity is no matter for what may be removed.
    CapByNumberOnly,
}

/// What is set for a count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rules {
    /// How many machines may lie; without it one in 32, and at least one.
    pub liars: Option<usize>,
    /// For tests alone.
    pub injected_fault: Option<RuleFault>,
}

impl Rules {
    /// How many of so many machines may lie.
    pub fn max_liars(&self, machines: usize) -> usize {
        self.liars.unwrap_or((machines / MACHINES_A_LIAR).max(1))
    }

    fn has(&self, planted: RuleFault) -> bool {
        self.injected_fault == Some(planted)
    }
}

/// How many machines must find a server bad beside those that may lie: twice as many and one, and three at least.
pub fn min_voters(liars: usize) -> usize {
    (2 * liars + 1).max(3)
}

/// A server that is worse than the pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Outlier {
    /// Which.
    pub server: SocketAddr,
    /// For whom.
    pub scope: Scope,
    /// In what.
    pub kind: Kind,
    /// The pooled evidence, as a logarithm.
    pub evidence: f64,
    /// Calls that it rests on, and the bad ones among them.
    pub calls: u32,
    /// See `calls`.
    pub bad: u32,
    /// Machines that have evidence.
    pub voters: usize,
    /// The span that it was found over, in slots.
    pub span: u64,
}

/// A server that may be worse than the pool: the evidence does not suffice, and more of it tells sooner.
#[derive(Clone, Debug, PartialEq)]
pub struct Suspect {
    /// Which.
    pub server: SocketAddr,
    /// The zone from where it is most in doubt; none where that is all together.
    pub zone: Option<String>,
    /// The pooled evidence, as a logarithm.
    pub evidence: f64,
    /// Machines that can add nothing further to it.
    pub full: BTreeSet<String>,
    /// Machines that have to find it bad, those that may lie among them.
    pub needed: usize,
}

/// What a count came to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Findings {
    /// Those that are worse, one line a server and scope.
    pub outliers: Vec<Outlier>,
    /// Those that may be, the worst first.
    pub suspects: Vec<Suspect>,
    /// Machines that find most servers bad: they are the case themselves and count for nothing.
    pub ill: BTreeSet<String>,
}

/// Who counts as one: a machine.
struct Unit {
    machine: String,
    zone: usize,
}

/// All who vote.
struct Electorate {
    units: Vec<Unit>,
    /// The unit of each voter.
    unit_of: Vec<usize>,
    zones: Vec<String>,
    liars: usize,
}

impl Electorate {
    fn new(book: &EvidenceStore, rules: &Rules) -> Self {
        let (mut units, mut unit_of, mut zones) = (Vec::new(), Vec::new(), Vec::<String>::new());
        let mut known = BTreeMap::new();
        for voter in &book.voters {
            let whole = if rules.has(RuleFault::OneVoterTwice) { &voter.name } else { &voter.machine };
            let unit = *known.entry(whole.clone()).or_insert_with(|| {
                let zone = zones.iter().position(|zone| *zone == voter.zone).unwrap_or_else(|| {
                    zones.push(voter.zone.clone());
                    zones.len() - 1
                });
                units.push(Unit { machine: voter.machine.clone(), zone });
                units.len() - 1
            });
            unit_of.push(unit);
        }
        let liars = rules.max_liars(units.len());
        Self { units, unit_of, zones, liars }
    }

    /// The most that one unit may add.
    fn most(&self) -> f64 {
        most_of(min_voters(self.liars), self.liars)
    }
}

type Tally = [Counts; CLASSES];

/// One server's evidence over the span that is looked at.
struct Sheet<'a> {
    server: SocketAddr,
    /// Those that it is held to, the oldest first.
    entries: Vec<&'a Entry>,
    /// Entries before this one are not in it yet.
    next: usize,
    by_unit: Vec<Tally>,
}

/// Which start of a server is in force, and since when, in ms: the newest that more machines than may lie have seen.
fn current_life(entries: &VecDeque<Entry>, electorate: &Electorate) -> Option<(u64, f64)> {
    let mut claims: BTreeMap<u64, BTreeMap<usize, f64>> = BTreeMap::new();
    for entry in entries {
        if let Some((life, start)) = entry.life {
            claims.entry(life).or_default().insert(electorate.unit_of[entry.voter], start);
        }
    }
    claims.retain(|_, starts| starts.len() > electorate.liars);
    let middle = |starts: BTreeMap<usize, f64>| {
        let mut starts: Vec<f64> = starts.into_values().collect();
        let at = (starts.len() - 1) / 2;
        *starts.select_nth_unstable_by(at, f64::total_cmp).1
    };
    let lives = claims.into_iter().map(|(life, starts)| (life, middle(starts)));
    lives.max_by(|a, b| a.1.total_cmp(&b.1))
}

/// Whether a server is held to what an entry says: not to what it did before its restart.
fn counts_for(entry: &Entry, current: Option<(u64, f64)>) -> bool {
    let Some((current, start)) = current else { return true };
    match entry.life {
        Some((life, _)) => life == current,
        None => entry.slot >= EvidenceStore::slot(start),
    }
}

struct Count<'a> {
    electorate: Electorate,
    rules: &'a Rules,
    sheets: Vec<Sheet<'a>>,
    /// What each unit saw of all servers.
    totals: Vec<Tally>,
    ill: Vec<bool>,
}

/// What the pool does as a whole, by class: all of it, and each zone's view.
struct Pool {
    fleet: [f64; CLASSES],
    zones: Vec<[f64; CLASSES]>,
}

/// What the evidence comes to now.
pub fn evaluate(book: &EvidenceStore, now: f64, rules: &Rules) -> Findings {
    let electorate = Electorate::new(book, rules);
    let units = electorate.units.len();
    let sheets = book.servers.iter().map(|(server, shelf)| {
        let all = &shelf.entries;
        let life = if rules.has(RuleFault::LivesMixed) { None } else { current_life(all, &electorate) };
        let held_to = |entry: &&Entry| counts_for(entry, life) && !book.forgiven(*server, entry.slot);
        let entries: Vec<&Entry> = all.iter().filter(held_to).collect();
        Sheet { server: *server, next: entries.len(), entries, by_unit: vec![Tally::default(); units] }
    });
    let sheets = sheets.collect();
    let totals = vec![Tally::default(); units];
    let mut count = Count { electorate, rules, sheets, totals, ill: vec![false; units] };
    let mut findings = Findings::default();
    let mut found: BTreeMap<(SocketAddr, Scope), Outlier> = BTreeMap::new();
    let mut suspects: BTreeMap<SocketAddr, Suspect> = BTreeMap::new();
    for span in SPANS {
        let from = EvidenceStore::slot(now).saturating_sub(span - 1);
        count.reach_back(from);
        count.find_ill();
        for kind in [Kind::Failing, Kind::Slow] {
            let (outliers, doubted) = count.outliers(kind, span, from);
            for one in doubted {
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
        let ill = count.electorate.units.iter().zip(&count.ill).filter(|(_, ill)| **ill);
        findings.ill.extend(ill.map(|(unit, _)| unit.machine.clone()));
    }
    // What holds for all holds for each zone.
    let everywhere: BTreeSet<SocketAddr> =
        found.keys().filter(|(_, scope)| *scope == Scope::Everywhere).map(|(server, _)| *server).collect();
    found.retain(|(server, scope), _| *scope == Scope::Everywhere || !everywhere.contains(server));
    suspects.retain(|server, _| !found.keys().any(|(known, _)| known == server));
    findings.suspects = suspects.into_values().collect();
    findings.suspects.sort_by(|a, b| b.evidence.total_cmp(&a.evidence));
    findings.outliers = found.into_values().collect();
    findings
}

impl Count<'_> {
    /// Takes in all entries down to a slot.
    fn reach_back(&mut self, from: u64) {
        for sheet in &mut self.sheets {
            while let Some(entry) = sheet.next.checked_sub(1).map(|at| sheet.entries[at])
                && entry.slot >= from
            {
                sheet.next -= 1;
                let (unit, class) = (self.electorate.unit_of[entry.voter], usize::from(entry.class));
                sheet.by_unit[unit][class] += entry.counts;
                self.totals[unit][class] += entry.counts;
            }
        }
    }

    /// Those that find most servers bad. That is what they see now: a longer span may clear or find them.
    fn find_ill(&mut self) {
        for (unit, ill) in self.ill.iter_mut().enumerate() {
            let (mut seen, mut bad) = (0, 0);
            for sheet in &self.sheets {
                let all = whole(&sheet.by_unit[unit]);
                let part = |kind: Kind| {
                    let (bad, calls) = kind.of(&all);
                    calls > 0 && f64::from(bad) >= BAD_PART * f64::from(calls)
                };
                seen += usize::from(all.calls > 0);
                bad += usize::from(part(Kind::Failing) || part(Kind::Slow));
            }
            *ill = seen >= LEAST_SEEN && 2 * bad > seen;
        }
    }

    /// Units whose word on a server counts.
    fn heard(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.electorate.units.len()).filter(|unit| !self.ill[*unit])
    }

    /// The middle server's rate as those see it that `who` names; none where no server was called enough.
    fn middle_rate(&self, kind: Kind, class: usize, who: impl Fn(usize) -> bool) -> Option<f64> {
        let mut rates = Vec::with_capacity(self.sheets.len());
        let mut seen = Vec::new();
        for sheet in &self.sheets {
            seen.clear();
            seen.extend(
                self.heard().filter(|unit| who(*unit)).map(|unit| kind.of(&sheet.by_unit[unit][class])),
            );
            // Liars could make the pool look ill, and hide a server that is; or well, and no server would be.
            self.drop_highest(&mut seen, |(bad, _)| *bad);
            self.drop_highest(&mut seen, |(bad, calls)| calls - bad);
            let (bad, calls) = seen.iter().fold((0, 0), |(bad, calls), one| (bad + one.0, calls + one.1));
            if calls >= LEAST_CALLS {
                rates.push(f64::from(bad) / f64::from(calls));
            }
        }
        let at = rates.len().checked_sub(1)? / 2;
        Some(*rates.select_nth_unstable_by(at, f64::total_cmp).1)
    }

    /// Leaves those out who say the most, as many as may lie.
    fn drop_highest(&self, seen: &mut Vec<(u32, u32)>, what: impl Fn(&(u32, u32)) -> u32) {
        let high = seen.len().saturating_sub(self.electorate.liars);
        if high > 0 && high < seen.len() {
            seen.select_nth_unstable_by_key(high, what);
        }
        seen.truncate(high);
    }

    fn pool(&self, kind: Kind) -> Pool {
        let units = &self.electorate.units;
        let fleet = std::array::from_fn(|class| self.middle_rate(kind, class, |_| true).unwrap_or_default());
        let zone = |zone: usize| {
            std::array::from_fn(|class| {
                self.middle_rate(kind, class, |unit| units[unit].zone == zone).unwrap_or_default()
            })
        };
        Pool { fleet, zones: (0..self.electorate.zones.len()).map(zone).collect() }
    }

    /// The rate that a server may have in a unit's eyes: by what is usual for any, in the fleet, in its zone, and on
    /// its own way to all other servers.
    fn allowed(&self, kind: Kind, class: usize, unit: usize, sheet: &Sheet, pool: &Pool) -> f64 {
        let (bad, calls) = kind.of(&self.totals[unit][class]);
        let (here_bad, here) = kind.of(&sheet.by_unit[unit][class]);
        let own = f64::from(bad - here_bad) / (f64::from(calls - here) + OWN_CALLS);
        let shared = pool.fleet[class].max(pool.zones[self.electorate.units[unit].zone][class]);
        kind.allowed(shared).max(own)
    }

    /// Those that are worse than the pool, and those that may be.
    fn outliers(&self, kind: Kind, span: u64, from: u64) -> (Vec<Outlier>, Vec<Suspect>) {
        let liars = self.electorate.liars;
        let needed = min_voters(liars) + liars;
        let voices =
            |sheet: &Sheet| self.heard().filter(|unit| kind.of(&whole(&sheet.by_unit[*unit])).0 > 0).count();
        // Where only liars may have found it bad: most servers cost nothing further.
        let mut doubtful =
            self.sheets.iter().map(|sheet| (sheet, voices(sheet))).filter(|one| one.1 > liars).peekable();
        let (mut outliers, mut suspects) = (Vec::new(), Vec::new());
        if doubtful.peek().is_none() {
            return (outliers, suspects);
        }
        let pool = self.pool(kind);
        for (sheet, voices) in doubtful {
            let votes = self.votes(sheet, kind, &pool);
            // Calls that are asked for are load: what is slow is not made slower to prove it.
            if kind == Kind::Failing {
                suspects.extend(self.doubt(sheet, &votes, needed));
            }
            // With fewer the bar is out of reach.
            if voices >= needed {
                outliers.extend(self.scopes(sheet, kind, span, from, &votes));
            }
        }
        (outliers, suspects)
    }

    fn zone_of(&self, unit: usize) -> usize {
        self.electorate.units[unit].zone
    }

    /// What the units of some zones have together.
    fn sum(&self, votes: &[(usize, Wealth)], who: &dyn Fn(usize) -> bool) -> f64 {
        let liars = self.electorate.liars;
        let heard = || votes.iter().filter(|(unit, _)| who(self.zone_of(*unit)));
        let enough = heard().count() > 2 * liars;
        if enough { pooled(heard().map(|(_, wealth)| *wealth), liars) } else { 0.0 }
    }

    /// Whether all, or those of a zone, may find a server worse. What is asked for then depends on the past alone, so
    /// that each call that follows is bad with the chance that the test allows.
    fn doubt(&self, sheet: &Sheet, votes: &[(usize, Wealth)], needed: usize) -> Option<Suspect> {
        let zones = 0..self.electorate.zones.len();
        let of_zone = |zone| (Some(zone), self.sum(votes, &|of| of == zone));
        let all = (None, self.sum(votes, &|_| true));
        let (zone, evidence) =
            zones.map(of_zone).fold(all, |most, one| if one.1 > most.1 { one } else { most });
        if evidence < doubt() {
            return None;
        }
        let zone = zone.map(|zone| self.electorate.zones[zone].clone());
        let most = self.electorate.most();
        let full = votes.iter().filter(|(_, wealth)| wealth.iter().any(|log| *log >= most));
        let full = full.map(|(unit, _)| self.electorate.units[*unit].machine.clone()).collect();
        Some(Suspect { server: sheet.server, zone, evidence, full, needed })
    }

    /// For whom a server is worse than the pool.
    fn scopes(
        &self,
        sheet: &Sheet,
        kind: Kind,
        span: u64,
        from: u64,
        votes: &[(usize, Wealth)],
    ) -> Vec<Outlier> {
        let sum = |who: &dyn Fn(usize) -> bool| self.sum(votes, who);
        let present: BTreeSet<usize> = votes.iter().map(|(unit, _)| self.zone_of(*unit)).collect();
        if present.is_empty() || self.bad_slots(sheet, kind, from) < LEAST_SLOTS {
            return Vec::new();
        }
        // Whichever zone is left out, the others find it: no single path is at fault.
        let alone = self.electorate.zones.len() == 1;
        let by_all = if alone {
            sum(&|_| true)
        } else {
            present.iter().map(|zone| sum(&|of| of != *zone)).fold(f64::INFINITY, f64::min)
        };
        let outlier = |scope: Scope, evidence: f64| {
            let (bad, calls) = self.heard().fold((0, 0), |(bad, calls), unit| {
                let one = kind.of(&whole(&sheet.by_unit[unit]));
                (bad + one.0, calls + one.1)
            });
            Outlier { server: sheet.server, scope, kind, evidence, calls, bad, voters: votes.len(), span }
        };
        if by_all >= bar() && (alone || present.len() > 1) {
            return vec![outlier(Scope::Everywhere, by_all)];
        }
        let zone = |zone: &usize| (*zone, sum(&|of| of == *zone));
        let bad = present.iter().map(zone).filter(|(_, evidence)| !alone && *evidence >= bar());
        bad.map(|(zone, evidence)| outlier(Scope::Zone(self.electorate.zones[zone].clone()), evidence))
            .collect()
    }

    /// The evidence of each unit that has any.
    fn votes(&self, sheet: &Sheet, kind: Kind, pool: &Pool) -> Vec<(usize, Wealth)> {
        let most = self.electorate.most();
        let vote = |unit: usize| {
            let mut all = Wealth::default();
            let mut any = false;
            for (class, counts) in sheet.by_unit[unit].iter().enumerate() {
                let (bad, calls) = kind.of(counts);
                if calls == 0 {
                    continue;
                }
                any = true;
                let made = bet(calls, bad, self.allowed(kind, class, unit, sheet, pool));
                all.iter_mut().zip(made).for_each(|(sum, log)| *sum += log);
            }
            if !any && self.rules.has(RuleFault::AbstentionsAsGood) {
                (any, all) = (true, bet(LEAST_CALLS, 0, kind.allowed(0.0)));
            }
            any.then(|| (unit, contribution(&all, most)))
        };
        self.heard().filter_map(vote).collect()
    }

    /// Slots in which the server did badly, without those who name the most, as many as may lie.
    fn bad_slots(&self, sheet: &Sheet, kind: Kind, from: u64) -> usize {
        let mut by_unit: BTreeMap<usize, BTreeSet<u64>> = BTreeMap::new();
        for entry in sheet.entries.iter().rev().take_while(|entry| entry.slot >= from) {
            let unit = self.electorate.unit_of[entry.voter];
            if kind.of(&entry.counts).0 > 0 && !self.ill[unit] {
                by_unit.entry(unit).or_default().insert(entry.slot);
            }
        }
        let mut named: Vec<BTreeSet<u64>> = by_unit.into_values().collect();
        named.sort_by_key(BTreeSet::len);
        named.truncate(named.len().saturating_sub(self.electorate.liars));
        named.into_iter().flatten().collect::<BTreeSet<u64>>().len()
    }
}

fn whole(tally: &Tally) -> Counts {
    let mut all = Counts::default();
    tally.iter().for_each(|counts| all += *counts);
    all
}
