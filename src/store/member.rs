//! A running member: how it answers what is asked of it, here or by the one that leads, in bounded time. What cannot be
//! done says why, and whether it may have been done.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use log::{debug, warn};
use openraft::{Raft, RaftMetrics};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::config::StoreOptions;

use crate::fleet::view as fleet;
use crate::lease::{DutyName, table as duty};

use super::decide::members::{Limits, Place};
use super::election::Elections;
use super::inquire::{self, Found};
use super::map::{Batch, Contents, Deed, Logged};
use super::wire::{self, Heard, Message};
use super::writer::Writer;
use super::{Answer, Backup, Change, Denied, MOST_BYTES, Outcome, Query, Role, Status, Truth, Types};

/// How long a member tries to do what it is asked, and the wait between two tries.
const TRIES: Duration = Duration::from_secs(5);
const TRY_WAIT: Duration = Duration::from_millis(100);
/// How long one try at another member may take.
const ONE_TRY: Duration = Duration::from_millis(2500);
/// A member that was heard within this time is heard, in ms.
const HEARD_MS: u64 = 1500;
/// Time in which another member is elected where a majority is there, in ms.
const ELECTED_MS: u64 = 4000;
/// Entries of the log that a learner may lack when it is to vote.
const NEAR: u64 = 64;

/// One member of the store, while it runs.
#[derive(Clone)]
pub(super) struct Member {
    /// Its word.
    pub own: u64,
    /// Its cluster's.
    pub cluster: u64,
    /// How it is reached.
    pub place: Place,
    /// The address that it calls others from.
    pub from: Option<IpAddr>,
    pub raft: Raft<Types>,
    pub writer: Writer,
    pub contents: watch::Receiver<Contents>,
    pub heard: Heard,
    pub silent: Arc<AtomicBool>,
    pub elections: Elections,
    pub options: Arc<StoreOptions>,
    /// When it was last level with the one that leads.
    pub level: Arc<Mutex<Option<Instant>>>,
    /// Whether an entry of this process was agreed on: before that its map may lack what was acknowledged.
    pub has_written: Arc<AtomicBool>,
}

/// What came of one try.
enum Tried {
    /// This is the answer.
    Answered(Answer),
    /// Nothing was done here; who leads is asked at this address, where it is known.
    Elsewhere(Option<String>),
    /// It may have been done, and why that is not known.
    Maybe(String),
}

/// A node that asks for its duties again and again learns whom to ask.
fn name_leader(mut tried: Tried, address: &str) -> Tried {
    if let Tried::Answered(Answer::Duty(Ok(Some(grants))) | Answer::Duties(Some(grants))) = &mut tried {
        grants.leader = Some(address.to_owned());
    }
    tried
}

/// Questions for the view that one member answers a second.
const VIEWS: u64 = 20;
/// The shortest time between two of one node, in ms.
const SOONEST_VIEW: u64 = 2000;

/// How long one of so many nodes waits between two questions to so many members, in ms.
fn again_ms(nodes: usize, members: usize) -> u64 {
    (nodes as u64 * 1000 / (VIEWS * members.max(1) as u64)).max(SOONEST_VIEW)
}

/// The word of a change, under which it counts once however often it is tried, and where the log was before.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ticket {
    pub tag: u64,
    pub since: u64,
}

impl Member {
    pub fn metrics(&self) -> RaftMetrics<u64, Place> {
        self.raft.metrics().borrow().clone()
    }

    pub fn leads(&self) -> bool {
        self.raft.metrics().borrow().current_leader == Some(self.own)
    }

    pub fn limits(&self) -> Limits {
        Limits { heard_ms: HEARD_MS, near: NEAR, lost_ms: self.options.replace_after_ms }
    }

    /// Notes that it is level with the one that leads.
    pub fn level_now(&self) {
        *self.level.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
    }

    fn age_ms(&self) -> Option<u64> {
        let level = *self.level.lock().unwrap_or_else(PoisonError::into_inner);
        level.map(|at| at.elapsed().as_millis() as u64)
    }

    pub fn ticket(&self) -> Ticket {
        let since = self.contents.borrow().turn();
        Ticket { tag: rand::random(), since }
    }

    /// Why no member leads, as far as this one sees.
    pub fn trouble(&self) -> Option<String> {
        let metrics = self.metrics();
        if let Err(problem) = &metrics.running_state {
            return Some(format!("this member has stopped: {problem}"));
        }
        let follows = metrics.current_leader.is_some_and(|leader| leader != self.own);
        if follows && self.age_ms().is_some_and(|age| age <= HEARD_MS) {
            return None;
        }
        let membership = metrics.membership_config.membership();
        let heard = |member: &u64| {
            *member == self.own || self.heard.silent_ms(*member).is_some_and(|silent| silent <= HEARD_MS)
        };
        let number = |member: &u64| membership.get_node(member).map_or(0, |place| place.number);
        let numbers = |members: Vec<u64>| {
            let numbers: BTreeSet<u64> = members.iter().map(number).collect();
            numbers.iter().map(u64::to_string).collect::<Vec<_>>().join(", ")
        };
        // Those that follow do not talk to each other: who is there shows once one stands for election.
        if self.age_ms().is_some_and(|age| age <= ELECTED_MS) && metrics.current_leader != Some(self.own) {
            return Some("no member leads since a moment ago".to_owned());
        }
        for set in membership.get_joint_config() {
            let (there, gone): (Vec<u64>, Vec<u64>) = set.iter().copied().partition(heard);
            if there.len() * 2 <= set.len() {
                return Some(format!(
                    "quorum lost: of the voters {} this member hears only {}; without {} nothing can be changed",
                    numbers(set.iter().copied().collect()),
                    numbers(there),
                    numbers(gone)
                ));
            }
        }
        match metrics.current_leader {
            None => Some("no member leads, though a majority is heard".to_owned()),
            Some(_) => None,
        }
    }

    /// Answers a query here or, where this member does not lead, at the one that does.
    pub async fn answer(&self, query: Query) -> Answer {
        if let Query::Change(Change { key, value, .. }) = &query
            && key.len() + value.as_ref().map_or(0, String::len) > MOST_BYTES
        {
            return Answer::Failed(format!("over {MOST_BYTES} bytes"));
        }
        match query {
            Query::Status => Answer::Status(Box::new(self.status())),
            Query::Read { prefix, local: true } => {
                let truth = Truth::Local { age_ms: if self.leads() { Some(0) } else { self.age_ms() } };
                Answer::Contents { entries: self.contents.borrow().under(&prefix), truth }
            }
            Query::View { since } => self.view_since(since),
            Query::Holds { duty, number, node } => self.vouch(&duty, number, &node),
            query => self.try_all(query).await,
        }
    }

    /// Changes sessions and duties. What the session has is told as of a revision that is no older than the change.
    async fn change_duties(&self, deed: &duty::Deed, ticket: Ticket) -> Tried {
        match self.write(Deed::Duty(deed.clone()), ticket).await {
            Tried::Answered(Answer::Changed(Outcome { duty: Some(done), .. })) => {
                let grants = deed.session().and_then(|id| self.contents.borrow().duties().grants(id));
                Tried::Answered(Answer::Duty(done.map(|()| grants)))
            }
            other => other,
        }
    }

    /// What one that follows the fleet's view lacks, as this member has it.
    fn view_since(&self, since: u64) -> Answer {
        let contents = self.contents.borrow();
        let fleet = contents.fleet();
        let members = self.metrics().membership_config.voter_ids().count();
        Answer::View {
            lacking: fleet.since(since, fleet::KEPT),
            age_ms: if self.leads() { Some(0) } else { self.age_ms() },
            again_ms: again_ms(fleet.len(), members),
        }
    }

    /// Whether a node holds a duty under a number, as this member has it.
    fn vouch(&self, duty: &DutyName, number: u64, node: &str) -> Answer {
        Answer::Holds(self.contents.borrow().duties().vouch(duty, number, node))
    }

    async fn try_all(&self, query: Query) -> Answer {
        let until = Instant::now() + TRIES;
        let ticket = self.ticket();
        let mut unsure = None;
        let mut asked = None;
        while Instant::now() < until {
            let tried = match timeout_at(until, self.try_here(&query, ticket)).await {
                Ok(tried) => tried,
                Err(_) => Tried::Maybe("no majority has confirmed it in time".to_owned()),
            };
            let tried = match tried {
                Tried::Elsewhere(Some(address)) => {
                    let tried = name_leader(self.try_there(&address, &query, ticket).await, &address);
                    asked = Some(address);
                    tried
                }
                tried => tried,
            };
            match tried {
                Tried::Answered(Answer::Changed(Outcome { denied: Some(Denied::Late), .. }))
                    if unsure.is_some() =>
                {
                    break;
                }
                Tried::Answered(answer) => return answer,
                // What an operator wishes is not wished twice.
                Tried::Maybe(why) if matches!(query, Query::Wish(_)) => return Answer::Unsure(why),
                Tried::Maybe(why) => unsure = Some(why),
                Tried::Elsewhere(_) => {}
            }
            sleep(TRY_WAIT).await;
        }
        let trouble = self.trouble();
        let changes = !matches!(
            query,
            Query::Read { .. } | Query::Backup | Query::Members | Query::View { .. } | Query::Duties { .. }
        );
        match unsure {
            Some(why) if changes => Answer::Unsure(trouble.unwrap_or(why)),
            _ => Answer::NotDone(trouble.unwrap_or_else(|| match asked {
                Some(address) => format!("the member that leads, at {address}, does not answer"),
                None => "no member leads".to_owned(),
            })),
        }
    }

    async fn try_there(&self, address: &str, query: &Query, ticket: Ticket) -> Tried {
        let Ticket { tag, since } = ticket;
        let message = Message::Forwarded { query: query.clone(), tag, since };
        let within = if matches!(query, Query::Wish(_)) { TRIES } else { ONE_TRY };
        match wire::once(address, self.from, &message, within).await {
            // Members may disagree on who leads for a while: the other one knows no better.
            Ok(Answer::NotDone(_)) => Tried::Elsewhere(None),
            Ok(Answer::Unsure(why)) => Tried::Maybe(why),
            Ok(answer) => Tried::Answered(answer),
            Err(problem) if problem.kind() == std::io::ErrorKind::ConnectionRefused => Tried::Elsewhere(None),
            Err(problem) => {
                debug!("the member that leads cannot be asked: {problem}");
                Tried::Maybe(format!("the member that leads, at {address}, broke off: {problem}"))
            }
        }
    }

    /// Answers for another member, only where this one leads.
    pub async fn answer_forwarded(&self, query: Query, ticket: Ticket) -> Answer {
        let within = if matches!(query, Query::Wish(_)) { TRIES } else { ONE_TRY };
        match timeout(within, self.try_here(&query, ticket)).await {
            Ok(Tried::Answered(answer)) => answer,
            Ok(Tried::Elsewhere(_)) => Answer::NotDone("this member does not lead".to_owned()),
            Ok(Tried::Maybe(why)) => Answer::Unsure(why),
            Err(_) => Answer::Unsure("no majority has confirmed it in time".to_owned()),
        }
    }

    async fn try_here(&self, query: &Query, ticket: Ticket) -> Tried {
        if !self.leads() {
            return Tried::Elsewhere(self.leader());
        }
        match query {
            Query::Change(change) => self.write(Deed::Change(change.clone()), ticket).await,
            Query::Read { prefix, .. } => match self.level().await {
                Ok(()) => {
                    let entries = self.contents.borrow().under(prefix);
                    Tried::Answered(Answer::Contents { entries, truth: Truth::Linearizable })
                }
                Err(tried) => tried,
            },
            Query::Backup => match self.level().await {
                Ok(()) => Tried::Answered(Answer::Backup(Box::new(Backup::of(
                    self.cluster,
                    &self.contents.borrow(),
                )))),
                Err(tried) => tried,
            },
            Query::Fleet(change) => self.change_fleet(change.clone(), ticket).await,
            Query::View { since } => Tried::Answered(self.view_since(*since)),
            Query::Duty(deed) => self.change_duties(deed, ticket).await,
            Query::Holds { duty, number, node } => Tried::Answered(self.vouch(duty, *number, node)),
            Query::Duties { session } => {
                Tried::Answered(Answer::Duties(self.contents.borrow().duties().grants(*session)))
            }
            Query::Members => Tried::Answered(Answer::Members(self.view())),
            Query::Admit { member, place } => Tried::Answered(self.admit(*member, place.clone()).await),
            Query::Wish(wish) => Tried::Answered(self.fulfil(wish.clone()).await),
            Query::Status => Tried::Answered(Answer::Status(Box::new(self.status()))),
        }
    }

    /// Changes the fleet's view. Where a node comes under a name that another life has, that life is looked for first.
    async fn change_fleet(&self, change: fleet::Change, ticket: Ticket) -> Tried {
        let fleet::Change::Join { node, instead: None } = &change else {
            return self.log_fleet(change, ticket).await;
        };
        let there = self.contents.borrow().fleet().get(&node.name).cloned();
        let rival = there.filter(|there| there.applicant != *node);
        let Some(rival) = rival else { return self.log_fleet(change, ticket).await };
        match inquire::find(self.from, &rival, node).await {
            Found::Gone => {
                let (node, instead) = (node.clone(), Some(rival.incarnation));
                self.log_fleet(fleet::Change::Join { node, instead }, ticket).await
            }
            found => {
                let taken = rival.applicant.address;
                warn!("{} at {} is refused: {found} at {taken}", node.name, node.address);
                let (name, incarnation) = (node.name.clone(), rival.incarnation);
                Tried::Answered(Answer::Fleet(Err(fleet::Refused::Taken {
                    name,
                    incarnation,
                    address: taken,
                })))
            }
        }
    }

    async fn log_fleet(&self, change: fleet::Change, ticket: Ticket) -> Tried {
        match self.write(Deed::Fleet(change), ticket).await {
            Tried::Answered(Answer::Changed(Outcome { fleet: Some(fleet), .. })) => {
                Tried::Answered(Answer::Fleet(fleet))
            }
            other => other,
        }
    }

    fn leader(&self) -> Option<String> {
        let metrics = self.metrics();
        let leader = metrics.current_leader.filter(|leader| *leader != self.own)?;
        metrics.membership_config.membership().get_node(&leader).map(|place| place.address.clone())
    }

    /// Resolves once this member has all that was acknowledged before.
    /// The consensus library lets a member that led lead on at its start, with the commit index that was kept last: that is
    /// kept behind the answers to callers. An entry that is agreed on has all before it applied.
    async fn level(&self) -> Result<(), Tried> {
        if !self.has_written.load(Relaxed) {
            let written = self.raft.client_write(Batch(Vec::new())).await;
            written.map_err(|_| Tried::Elsewhere(None))?;
            self.has_written.store(true, Relaxed);
        }
        match self.raft.ensure_linearizable().await {
            Ok(_) => Ok(()),
            Err(problem) => {
                let leader = problem.forward_to_leader().and_then(|leader| leader.leader_node.clone());
                Err(Tried::Elsewhere(leader.map(|place| place.address)))
            }
        }
    }

    async fn write(&self, deed: Deed, ticket: Ticket) -> Tried {
        match self.writer.write(Logged { tag: ticket.tag, since: ticket.since, deed }).await {
            Ok(outcome) => Tried::Answered(Answer::Changed(outcome)),
            Err(why) => Tried::Maybe(why),
        }
    }

    /// Makes an entry of the store's own.
    ///
    /// # Errors
    /// It is not known to be made.
    pub async fn log(&self, deed: Deed) -> Result<(), String> {
        match timeout(ONE_TRY, self.write(deed, self.ticket())).await {
            Ok(Tried::Answered(Answer::Changed(Outcome { denied: None, .. }))) => Ok(()),
            Ok(Tried::Answered(other)) => Err(format!("{other:?}")),
            Ok(Tried::Maybe(why)) => Err(why),
            Ok(Tried::Elsewhere(_)) => Err("this member does not lead".to_owned()),
            Err(_) => Err("no majority has confirmed it in time".to_owned()),
        }
    }

    pub fn status(&self) -> Status {
        let metrics = self.metrics();
        let membership = metrics.membership_config.membership();
        let contents = self.contents.borrow();
        let leader = metrics.current_leader.and_then(|leader| membership.get_node(&leader));
        let votes = membership.voter_ids().any(|voter| voter == self.own);
        let role = match () {
            () if metrics.current_leader == Some(self.own) => Role::Leader,
            () if votes => Role::Voter,
            () => Role::Learner,
        };
        Status {
            number: self.place.number,
            member: format!("{:016x}", self.own),
            cluster: Some(format!("{:016x}", self.cluster)),
            role,
            leader: leader.map(|place| place.number),
            trouble: self.trouble(),
            term: metrics.current_term,
            last: metrics.last_log_index,
            applied: metrics.last_applied.map(|log| log.index),
            snapshot: metrics.snapshot.map(|log| log.index),
            keys: contents.len(),
            bytes: contents.bytes(),
        }
    }
}
