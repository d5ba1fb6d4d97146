//! What the node that counts has while it has the duty: the evidence, the list, and who was heard when. No I/O.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::cap::{Limits, Member, OperatorOverride, Reason, decide};
use super::detection::{Findings, Outlier, Rules, Scope, evaluate};
use super::evidence::{Evidence, EvidenceError, EvidenceStore, SLOT_MS, SLOTS, Voter};
use super::list::{List, ListEntry, Number};
use super::list_manager::{ListManager, Trial};
use super::probing::assign_probes;

/// What a server does from so long before an operator says that it is in work until so long after is forgiven, in ms.
const WORK_BEFORE_MS: f64 = 5_000.0;
const WORK_AFTER_MS: f64 = 30_000.0;

/// What operators set for those that count.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Policy {
    /// The servers.
    pub members: Vec<Member>,
    /// What is said of some.
    pub words: BTreeMap<SocketAddr, OperatorOverride>,
    /// Those that are being worked on.
    pub in_work: BTreeSet<SocketAddr>,
    /// How many may be out.
    pub limits: Limits,
    /// How it is counted.
    pub rules: Rules,
}

/// What a voter says, and who it is by the fleet's view.
#[derive(Clone, Debug, PartialEq)]
pub struct Vote {
    /// Who.
    pub voter: Voter,
    /// Changes with each start of its process.
    pub life: u64,
    /// All of its calls.
    pub evidence: Evidence,
    /// Those to servers that it was to try.
    pub trials: Vec<(SocketAddr, Trial)>,
}

/// One voter as the holder heard it last.
#[derive(Clone, Debug)]
struct LastVote {
    voter: Voter,
    life: u64,
    at: f64,
}

/// A server that stands out and stays.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RetainedOutlier {
    /// What was found.
    pub outlier: Outlier,
    /// Why it stays.
    pub reason: Reason,
}

/// What has changed with one turn.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changes {
    /// Lines that are new, or other than they were.
    pub listed: Vec<ListEntry>,
    /// Lines that are gone: the server is back.
    pub back: Vec<ListEntry>,
    /// Servers that stand out since now, and stay.
    pub kept: Vec<RetainedOutlier>,
    /// Machines that find most servers bad since now.
    pub ill: Vec<String>,
}

/// All that a holder has.
#[derive(Clone, Debug)]
pub struct Coordinator {
    book: EvidenceStore,
    keeper: ListManager,
    heard: BTreeMap<String, LastVote>,
    /// Since when each server is in work, in ms.
    in_work: BTreeMap<SocketAddr, f64>,
    began: f64,
    findings: Findings,
    kept: Vec<RetainedOutlier>,
    /// Servers that each node is asked to call, and turns so far.
    asked: BTreeMap<String, Vec<SocketAddr>>,
    turns: usize,
}

impl Coordinator {
    /// Begins under a duty's number with the latest list that is known.
    pub fn begin(now: f64, fence: u64, last: Option<&List>) -> Self {
        Self {
            book: EvidenceStore::default(),
            keeper: ListManager::begin(now, fence, last),
            heard: BTreeMap::new(),
            in_work: BTreeMap::new(),
            began: now,
            findings: Findings::default(),
            kept: Vec::new(),
            asked: BTreeMap::new(),
            turns: 0,
        }
    }

    /// The list as it stands.
    pub fn list(&self) -> List {
        self.keeper.list()
    }

    /// Its number.
    pub fn number(&self) -> Number {
        self.keeper.number()
    }

    /// Servers that stand out and stay.
    pub fn kept(&self) -> &[RetainedOutlier] {
        &self.kept
    }

    /// Machines that find most servers bad.
    pub fn ill(&self) -> &BTreeSet<String> {
        &self.findings.ill
    }

    /// Servers that a node is asked to call: of these more is to be known.
    pub fn probes_for(&self, node: &str) -> &[SocketAddr] {
        self.asked.get(node).map_or(&[], Vec::as_slice)
    }

    /// Voters that were heard in the last `within` ms, and how long ago the last of them was, in ms.
    pub fn voters(&self, now: f64, within: f64) -> (usize, Option<f64>) {
        let ages = || self.heard.values().map(|heard| now - heard.at);
        (ages().filter(|age| *age <= within).count(), ages().min_by(f64::total_cmp))
    }

    /// Whether a node was heard in the last `within` ms.
    pub fn hears(&self, now: f64, node: &str, within: f64) -> bool {
        self.heard.get(node).is_some_and(|heard| now - heard.at <= within)
    }

    /// Takes what a voter says.
    ///
    /// # Errors
    /// Nothing of its evidence counts, for the reason given.
    pub fn receive(&mut self, now: f64, vote: &Vote) -> Result<(), EvidenceError> {
        let Vote { voter, life, evidence, trials } = vote;
        if self.heard.get(&voter.name).is_some_and(|heard| heard.life != *life) {
            self.book.reset_sequence(&voter.name);
        }
        self.book.take(now, voter, evidence)?;
        let heard = LastVote { voter: voter.clone(), life: *life, at: now };
        self.heard.insert(voter.name.clone(), heard);
        trials.iter().for_each(|(server, trial)| self.keeper.record_trial(*server, &voter.name, *trial));
        Ok(())
    }

    /// Counts, and moves the list on. Those heard in the last `within` ms may try servers.
    pub fn turn(&mut self, now: f64, terms: &Policy, within: f64) -> Changes {
        let (before, ill) = (self.keeper.list(), self.findings.ill.clone());
        self.exempt(now, &terms.in_work);
        self.book.expire(now);
        self.keeper.set_overrides(now, terms.words.clone());
        self.findings = evaluate(&self.book, now, &terms.rules);
        let outliers = &self.findings.outliers;
        self.keeper.eject_relapsed(now, outliers);
        let gone = self.keeper.ejected(now);
        let decision = decide(&terms.members, &gone, outliers, &terms.words, &terms.limits, &terms.rules);
        // No evidence removes twice.
        for Outlier { server, scope, .. } in &decision.remove {
            let zone = match scope {
                Scope::Everywhere => None,
                Scope::Zone(zone) => Some(zone.as_str()),
            };
            self.book.forget(*server, zone);
        }
        self.keeper.remove(now, &decision);
        let near = self.heard.values().filter(|heard| now - heard.at <= within);
        let near: Vec<&Voter> = near.map(|heard| &heard.voter).collect();
        let nodes: Vec<(String, String)> =
            near.iter().map(|voter| (voter.name.clone(), voter.zone.clone())).collect();
        self.keeper.step(now, &nodes);
        self.turns += 1;
        // Of those that operators have spoken on, and of those on their way back, nothing hangs on it.
        let listed = self.keeper.list();
        let settled = |server| {
            let known = |one: &ListEntry| one.server == server && one.scope == Scope::Everywhere;
            terms.words.contains_key(&server) || listed.entries.iter().any(known)
        };
        self.findings.suspects.retain(|doubt| !settled(doubt.server));
        self.asked = assign_probes(&self.findings.suspects, &near, self.turns);
        let kept = decision.kept.into_iter().map(|(outlier, reason)| RetainedOutlier { outlier, reason });
        let kept = std::mem::replace(&mut self.kept, kept.collect());
        self.changes(&before, &kept, &ill)
    }

    fn exempt(&mut self, now: f64, in_work: &BTreeSet<SocketAddr>) {
        self.in_work.retain(|server, _| in_work.contains(server));
        // What was said before this holder began may have been said long ago.
        let since =
            if now - self.began < SLOT_MS { now - SLOTS as f64 * SLOT_MS } else { now - WORK_BEFORE_MS };
        for server in in_work {
            let since = *self.in_work.entry(*server).or_insert(since);
            self.book.exempt(*server, since, now + WORK_AFTER_MS);
        }
    }

    fn changes(&self, before: &List, kept: &[RetainedOutlier], ill: &BTreeSet<String>) -> Changes {
        let after = self.keeper.list();
        let same_line =
            |one: &ListEntry, other: &ListEntry| one.server == other.server && one.scope == other.scope;
        let stays = |one: &RetainedOutlier| {
            let same = |other: &RetainedOutlier| {
                one.outlier.server == other.outlier.server && one.outlier.scope == other.outlier.scope
            };
            kept.iter().any(same)
        };
        Changes {
            back: before
                .entries
                .iter()
                .filter(|one| !after.entries.iter().any(|other| same_line(one, other)))
                .cloned()
                .collect(),
            listed: after.entries.into_iter().filter(|one| !before.entries.contains(one)).collect(),
            kept: self.kept.iter().filter(|one| !stays(one)).cloned().collect(),
            ill: self.findings.ill.difference(ill).cloned().collect(),
        }
    }
}
