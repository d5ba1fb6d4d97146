//! The list as its holder keeps it: who goes, who is tried again by whom, and how they come back.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::cap::{Decision, Ejected, OperatorOverride};
use super::detection::{Outlier, Scope};
use super::list::{List, ListEntry, MAX_ENTRIES, Number, Stage, Why};
use super::sequential::{FALSE_RECOVERY_PROBABILITY, bet, is_recovered, recovered};

/// How long the first removal lasts at least, in ms; each further one lasts twice as long as the one before, up to the
/// second.
pub const EJECTION_MS: (f64, f64) = (30_000.0, 1_800_000.0);
/// A server that was in for so long starts anew, in ms.
pub const RELAPSE_WINDOW_MS: f64 = 3_600_000.0;
/// Nodes that try a server, and how long before others do, in ms.
pub const TESTERS: usize = 3;
/// See [`TESTERS`].
pub const TRIAL_MS: f64 = 60_000.0;
/// Parts of its share that a server comes back by, in percent, and how long it stays at each, in ms.
pub const STEPS: [u8; 3] = [10, 30, 60];
/// See [`STEPS`].
pub const STEP_MS: f64 = 10_000.0;
/// Removals that are so young count with those that stand out now, in ms.
const RECENT_MS: f64 = 60_000.0;
/// Servers whose removals are remembered.
const MOST_REMEMBERED: usize = 16_384;
/// The rates that a trial tells apart: as good as any may be, and as bad as the votes found it, within these bounds.
const GOOD_RATE: f64 = 0.03;
const BAD_RATES: (f64, f64) = (0.08, 0.6);

type Key = (SocketAddr, Scope);

/// What a tester's calls have shown so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    /// Trial calls.
    pub calls: u32,
    /// Those among them that failed or were slow, by what the server went for.
    pub bad: u32,
}

#[derive(Clone, Debug)]
struct Held {
    listed: ListEntry,
    /// When the stage began, in ms.
    since: f64,
    removed: f64,
    trials: BTreeMap<String, Trial>,
}

#[derive(Clone, Copy, Debug)]
struct Past {
    times: u32,
    back: f64,
}

/// The list of one holder of the duty.
#[derive(Clone, Debug)]
pub struct ListManager {
    number: Number,
    held: BTreeMap<Key, Held>,
    past: BTreeMap<Key, Past>,
    words: BTreeMap<SocketAddr, OperatorOverride>,
    /// Turns of testers so far.
    turns: usize,
}

impl ListManager {
    /// Takes the duty up under its number, with the latest list that is known. What that had removed stays so, and its
    /// times begin anew.
    pub fn begin(now: f64, fence: u64, last: Option<&List>) -> Self {
        let held = |listed: &ListEntry| {
            let held = Held {
                listed: listed.clone(),
                since: now,
                removed: now - RECENT_MS,
                trials: BTreeMap::new(),
            };
            ((listed.server, listed.scope.clone()), held)
        };
        Self {
            number: Number { fence, sequence: 1 },
            held: last.into_iter().flat_map(|list| &list.entries).map(held).collect(),
            past: BTreeMap::new(),
            words: BTreeMap::new(),
            turns: 0,
        }
    }

    /// The number of the list.
    pub fn number(&self) -> Number {
        self.number
    }

    /// The list as it stands.
    pub fn list(&self) -> List {
        let entries = self.held.values().map(|held| {
            let word = self.words.get(&held.listed.server).copied();
            ListEntry { word, ..held.listed.clone() }
        });
        List { number: self.number, entries: entries.collect() }
    }

    /// Who is out, for [`super::cap::decide`].
    pub fn ejected(&self, now: f64) -> Vec<Ejected> {
        let gone = |held: &Held| Ejected {
            server: held.listed.server,
            scope: held.listed.scope.clone(),
            recent: now - held.removed < RECENT_MS,
        };
        self.held.values().map(gone).collect()
    }

    /// What operators say now.
    pub fn set_overrides(&mut self, now: f64, words: BTreeMap<SocketAddr, OperatorOverride>) {
        if words == self.words {
            return;
        }
        self.words = words;
        self.number.sequence += 1;
        let words = &self.words;
        self.held.retain(|(server, _), held| match words.get(server) {
            Some(OperatorOverride::AlwaysIn) => false,
            Some(OperatorOverride::OutNow) => true,
            None => held.listed.why != Why::Operator,
        });
        for (server, _) in words.iter().filter(|(_, word)| **word == OperatorOverride::OutNow) {
            let listed = ListEntry {
                server: *server,
                scope: Scope::Everywhere,
                stage: Stage::Out,
                times: 0,
                why: Why::Operator,
                word: None,
            };
            let held = Held { listed, since: now, removed: now - RECENT_MS, trials: BTreeMap::new() };
            // What votes had found of it stays to be seen.
            let kept = self.held.entry((*server, Scope::Everywhere)).or_insert(held);
            kept.listed.stage = Stage::Out;
        }
    }

    /// Removes what was decided on. One that stands out again on its way back goes once more.
    pub fn remove(&mut self, now: f64, decision: &Decision) {
        for outlier in &decision.remove {
            if self.held.len() >= MAX_ENTRIES {
                return;
            }
            let key = (outlier.server, outlier.scope.clone());
            let past = self.past.get(&key).filter(|past| now - past.back < RELAPSE_WINDOW_MS);
            let times = past.map_or(0, |past| past.times) + 1;
            let listed = ListEntry {
                server: outlier.server,
                scope: outlier.scope.clone(),
                stage: Stage::Out,
                times,
                why: Why::Votes(outlier.clone()),
                word: None,
            };
            self.held.insert(key, Held { listed, since: now, removed: now, trials: BTreeMap::new() });
            self.number.sequence += 1;
        }
    }

    /// A server on its way back that stands out again goes once more, for longer. `outliers` are all that stand out.
    pub fn eject_relapsed(&mut self, now: f64, outliers: &[Outlier]) {
        for outlier in outliers {
            let Some(held) = self.held.get_mut(&(outlier.server, outlier.scope.clone())) else { continue };
            if matches!(held.listed.stage, Stage::Step(_)) {
                held.again(now);
                self.number.sequence += 1;
            }
        }
    }

    /// Takes what a tester's calls have shown since the trial began. A word of any other node counts for nothing.
    pub fn record_trial(&mut self, server: SocketAddr, tester: &str, trial: Trial) {
        for held in self.held.values_mut().filter(|held| held.listed.server == server) {
            let asked =
                matches!(&held.listed.stage, Stage::Trial(nodes) if nodes.iter().any(|name| name == tester));
            if asked {
                held.trials.insert(tester.to_owned(), trial);
            }
        }
    }

    /// Moves every server on whose time has come. `nodes` are those that may try one, with their zones, in any order.
    pub fn step(&mut self, now: f64, nodes: &[(String, String)]) {
        let mut back = Vec::new();
        for (key, held) in &mut self.held {
            if self.words.contains_key(&key.0) {
                continue;
            }
            match held.next(now) {
                Next::Stay => continue,
                Next::Try => {
                    let fit = nodes.iter().filter(|(_, zone)| match &key.1 {
                        Scope::Everywhere => true,
                        Scope::Zone(of) => zone == of,
                    });
                    let fit: Vec<&String> = fit.map(|(name, _)| name).collect();
                    held.enter(now, Stage::Trial(testers(&fit, self.turns)));
                    self.turns += 1;
                }
                Next::Again => held.again(now),
                Next::Step(percent) => held.enter(now, Stage::Step(percent)),
                Next::Back => back.push((key.clone(), held.listed.times)),
            }
            self.number.sequence += 1;
        }
        for (key, times) in back {
            self.held.remove(&key);
            self.past.insert(key, Past { times, back: now });
        }
        self.past.retain(|_, past| now - past.back < RELAPSE_WINDOW_MS);
        while self.past.len() > MOST_REMEMBERED {
            self.past.pop_first();
        }
    }
}

/// Others at each turn, so that no liar among them keeps a server out for ever.
fn testers(fit: &[&String], turn: usize) -> Vec<String> {
    let mut names: Vec<&&String> = fit.iter().collect();
    names.sort();
    let from = turn * TESTERS;
    (0..TESTERS.min(names.len())).map(|at| (**names[(from + at) % names.len()]).clone()).collect()
}

enum Next {
    Stay,
    Try,
    Again,
    Step(u8),
    Back,
}

impl Held {
    fn enter(&mut self, now: f64, stage: Stage) {
        (self.listed.stage, self.since) = (stage, now);
        self.trials.clear();
    }

    fn again(&mut self, now: f64) {
        self.listed.times = self.listed.times.saturating_add(1);
        self.enter(now, Stage::Out);
    }

    fn next(&self, now: f64) -> Next {
        let been = now - self.since;
        match &self.listed.stage {
            Stage::Out if been >= ejection_ms(self.listed.times) => Next::Try,
            Stage::Trial(nodes) => match self.found(nodes.len()) {
                Some(true) => Next::Step(STEPS[0]),
                Some(false) => Next::Again,
                // They may have no calls for it, or lie.
                None if been >= TRIAL_MS => Next::Try,
                None => Next::Stay,
            },
            Stage::Step(percent) if been >= STEP_MS => {
                STEPS.iter().find(|step| *step > percent).map_or(Next::Back, |step| Next::Step(*step))
            }
            _ => Next::Stay,
        }
    }

    /// Whether most testers, each for itself, have found it well, or bad.
    fn found(&self, testers: usize) -> Option<bool> {
        let bad_rate = match &self.listed.why {
            Why::Votes(outlier) => f64::from(outlier.bad) / f64::from(outlier.calls.max(1)),
            Why::Operator => BAD_RATES.1,
        };
        let bad_rate = bad_rate.clamp(BAD_RATES.0, BAD_RATES.1);
        let well = |trial: &&Trial| is_recovered(recovered(trial.calls, trial.bad, GOOD_RATE, bad_rate));
        let ill = |trial: &&Trial| {
            let most = bet(trial.calls, trial.bad, GOOD_RATE).into_iter().fold(f64::NEG_INFINITY, f64::max);
            most >= -FALSE_RECOVERY_PROBABILITY.ln()
        };
        let (well, ill) =
            (self.trials.values().filter(well).count(), self.trials.values().filter(ill).count());
        if 2 * well > testers {
            Some(true)
        } else if 2 * ill > testers {
            Some(false)
        } else {
            None
        }
    }
}

/// How long a server is out that has gone so often in a row, in ms.
pub fn ejection_ms(times: u32) -> f64 {
    (EJECTION_MS.0 * f64::from(times.saturating_sub(1).min(16)).exp2()).min(EJECTION_MS.1)
}
