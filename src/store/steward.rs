//! Carries out the changes of members that `decide::members` comes to, on the member that leads.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use log::{debug, info, warn};
use openraft::ChangeMembers;
use tokio::time::{sleep, timeout};

use crate::fleet::wire::Packet;
use crate::lease::expiry::{Watch, now_ms};
use crate::lease::table as duty;

use super::decide::members::{Place, Seen, Sight, Step};
use super::inquire;
use super::map::{Deed, Roster};
use super::member::Member;
use super::wire::{self, About, GREETING, Message};
use super::{Answer, MemberView, Role, Wish};

/// Time between two looks at the members.
const LOOK: Duration = Duration::from_millis(200);
/// The same at sessions and duties.
const LOOK_AT_DUTIES: Duration = Duration::from_millis(50);
/// Looks over which a change of members stands half made before it counts as broken off.
const BROKEN_OFF: u32 = 25;
/// A member that leads is unheard when no majority has answered for so long, in ms; and how long it is silent then: longer than an election takes.
const UNHEARD_MS: u64 = 1500;
const SILENCE: Duration = Duration::from_millis(2200);
/// How long a change of members may take before it is left to go on by itself.
const CHANGE: Duration = Duration::from_secs(4);

impl Member {
    /// The members as this one, which leads, sees them.
    pub fn sight(&self) -> Sight {
        let metrics = self.metrics();
        let membership = metrics.membership_config.membership();
        let last = metrics.last_log_index.unwrap_or(0);
        let behind = |member: &u64| {
            let level = (*member == self.own).then_some(0);
            let reached = metrics.replication.as_ref().and_then(|all| *all.get(member)?);
            level.or_else(|| reached.map(|log| last.saturating_sub(log.index)))
        };
        let seen = |(member, place): (&u64, &Place)| {
            let silent_ms = if *member == self.own { Some(0) } else { self.heard.silent_ms(*member) };
            let gone_ms = if *member == self.own { 0 } else { self.heard.gone_ms(*member) };
            (*member, Seen { place: place.clone(), behind: behind(member), silent_ms, gone_ms })
        };
        Sight {
            members: membership.nodes().map(seen).collect(),
            voters: membership.get_joint_config().clone(),
            leader: self.own,
        }
    }

    /// The same for an operator.
    pub fn view(&self) -> Vec<MemberView> {
        let sight = self.sight();
        let role = |member: &u64| match () {
            () if *member == self.own => Role::Leader,
            () if sight.voters.iter().any(|set| set.contains(member)) => Role::Voter,
            () => Role::Learner,
        };
        let view = |(member, seen): (&u64, &Seen)| MemberView {
            member: format!("{member:016x}"),
            place: seen.place.clone(),
            role: role(member),
            behind: seen.behind,
            silent_ms: seen.silent_ms,
        };
        let mut members: Vec<MemberView> = sight.members.iter().map(view).collect();
        members.sort_by_key(|view| view.place.number);
        members
    }

    /// Takes a blank member in as a learner.
    pub async fn admit(&self, member: u64, mut place: Place) -> Answer {
        match self.contents.borrow().roster(place.number) {
            Roster::Left => {
                let number = place.number;
                return Answer::Failed(format!("member {number} has left; it comes back by `store join`"));
            }
            Roster::Replaced => place.spare = true,
            Roster::Usual => {}
        }
        if let Err(refusal) = self.sight().admit(member, &place, &self.limits()) {
            return Answer::Failed(refusal.to_string());
        }
        let (number, address) = (place.number, place.address.clone());
        match timeout(CHANGE, self.raft.add_learner(member, place, false)).await {
            Ok(Ok(_)) => {
                info!("member {number} at {address} is taken in under the word {member:016x}, as a learner");
                Answer::Admitted(self.cluster)
            }
            Ok(Err(problem)) => Answer::NotDone(problem.to_string()),
            Err(_) => Answer::NotDone("no majority has confirmed it in time".to_owned()),
        }
    }

    /// Does what an operator wishes of the members.
    pub async fn fulfil(&self, wish: Wish) -> Answer {
        let limits = self.limits();
        let sight = self.sight();
        match wish {
            Wish::Join(address) => self.join(&address).await,
            Wish::Promote(number) => match sight.promote(number, &limits) {
                Ok(voters) => {
                    self.turn_to(voters, Some((number, Roster::Usual)), format!("member {number} votes"))
                        .await
                }
                Err(refusal) => Answer::Failed(refusal.to_string()),
            },
            Wish::Leave(number) => match sight.leave(number, &limits) {
                Ok((_, Some(voters))) => {
                    self.turn_to(voters, Some((number, Roster::Left)), format!("member {number} has left"))
                        .await
                }
                Ok((member, None)) => self.dismiss(member, number).await,
                Err(refusal) => Answer::Failed(refusal.to_string()),
            },
            Wish::Replace { old, by } => match sight.replace(old, by, &limits) {
                Ok(Step::Replace { voters, .. }) => {
                    let done = format!("member {by} votes in the place of {old}");
                    self.turn_to(voters, Some((old, Roster::Replaced)), done).await
                }
                Ok(_) => Answer::Failed("nothing is to be done".to_owned()),
                Err(refusal) => Answer::Failed(refusal.to_string()),
            },
        }
    }

    /// Asks the process at an address who it is, takes it in where it is blank, and tells it so.
    async fn join(&self, address: &str) -> Answer {
        let about: About = match wire::once(address, self.from, &Message::Hello, GREETING).await {
            Ok(about) => about,
            Err(problem) => return Answer::Failed(format!("{address} does not answer: {problem}")),
        };
        if about.cluster.is_some_and(|cluster| cluster != self.cluster) {
            return Answer::Failed(format!("the member at {address} belongs to another cluster"));
        }
        let number = about.place.number;
        if self.contents.borrow().roster(number) == Roster::Left
            && let Err(problem) = self.log(Deed::Roster(number, Roster::Usual)).await
        {
            return Answer::NotDone(problem);
        }
        match self.admit(about.member, about.place).await {
            Answer::Admitted(cluster) => {
                let message = Message::Adopt { cluster, member: about.member, founders: None };
                match wire::once::<Result<(), String>>(address, self.from, &message, GREETING).await {
                    Ok(Ok(())) => Answer::Done(format!("member {number} is taken in as a learner")),
                    Ok(Err(problem)) => Answer::Failed(format!("the member at {address} refuses: {problem}")),
                    Err(problem) => Answer::Unsure(format!("the member at {address} broke off: {problem}")),
                }
            }
            other => other,
        }
    }

    async fn dismiss(&self, member: u64, number: u64) -> Answer {
        if let Err(problem) = self.log(Deed::Roster(number, Roster::Left)).await {
            return Answer::NotDone(problem);
        }
        self.change(ChangeMembers::RemoveNodes(BTreeSet::from([member])), format!("member {number} has left"))
            .await
    }

    /// Makes these the voters, and says of a number what it stands for from then on.
    async fn turn_to(&self, voters: BTreeSet<u64>, roster: Option<(u64, Roster)>, done: String) -> Answer {
        if let Some((number, stands)) = roster
            && let Err(problem) = self.log(Deed::Roster(number, stands)).await
        {
            return Answer::NotDone(problem);
        }
        self.change(ChangeMembers::ReplaceAllVoters(voters), done).await
    }

    async fn change(&self, change: ChangeMembers<u64, Place>, done: String) -> Answer {
        match timeout(CHANGE, self.raft.change_membership(change, false)).await {
            Ok(Ok(_)) => {
                info!("{done}");
                Answer::Done(done)
            }
            Ok(Err(problem)) => Answer::NotDone(problem.to_string()),
            Err(_) => Answer::Unsure("the change of members is under way still".to_owned()),
        }
    }
}

/// A member that leads and is heard by no majority, while what it says comes through, would keep all others from
/// electing one that is heard: it falls silent for longer than an election takes, and then tries again.
pub(super) async fn give_way(member: Member) {
    let mut metrics = member.raft.metrics();
    loop {
        sleep(LOOK).await;
        let unheard = {
            let metrics = metrics.borrow_and_update();
            let leads = metrics.current_leader == Some(member.own);
            let alone = metrics.membership_config.membership().voter_ids().count() < 2;
            // Nobody has confirmed it since it began to lead: no time counts before that.
            leads && !alone && metrics.millis_since_quorum_ack.is_some_and(|ms| ms > UNHEARD_MS)
        };
        if unheard {
            warn!("this member leads and no majority is heard: it is silent, so that another may lead");
            member.silent.store(true, Relaxed);
            sleep(SILENCE).await;
            member.silent.store(false, Relaxed);
            sleep(SILENCE).await;
        }
    }
}

/// Looks at the members again and again while this one leads, and does what is to be done by itself.
pub(super) async fn keep(member: Member) {
    let mut joint = 0;
    loop {
        sleep(LOOK).await;
        if !member.leads() {
            continue;
        }
        let sight = member.sight();
        joint = if sight.voters.len() > 1 { joint + 1 } else { 0 };
        // One that is under way here is not broken off.
        if (1..BROKEN_OFF).contains(&joint) {
            continue;
        }
        let numbers: BTreeMap<u64, u64> =
            sight.members.iter().map(|(word, seen)| (*word, seen.place.number)).collect();
        member.heard.keep(|word| numbers.contains_key(&word));
        let number = |word: &u64| numbers.get(word).copied().unwrap_or(0);
        let answer = match sight.next(&member.limits()) {
            Step::Rest => continue,
            Step::Finish(voters) => {
                let done = "a change of members that was broken off is finished".to_owned();
                member.turn_to(voters, None, done).await
            }
            Step::Replace { old, new, voters } => {
                let (gone, come) = (number(&old), number(&new));
                let roster = (gone != come).then_some((gone, Roster::Replaced));
                let done =
                    format!("member {gone} ({old:016x}) is lost; {come} ({new:016x}) votes in its place");
                member.turn_to(voters, roster, done).await
            }
            Step::Forget(word) => {
                let done = format!("the learner {word:016x} is forgotten: its number has come back");
                member.change(ChangeMembers::RemoveNodes(BTreeSet::from([word])), done).await
            }
        };
        if !matches!(answer, Answer::Done(_)) {
            warn!("a change of members is not made: {answer:?}");
        }
    }
}

/// Ends what time ends of sessions and duties, while this member leads. One that begins to lead begins to count anew.
pub(super) async fn watch_duties(member: Member) {
    let mut led = None;
    let mut watch = Watch::default();
    loop {
        sleep(LOOK_AT_DUTIES).await;
        let metrics = member.metrics();
        let leads = (metrics.current_leader == Some(member.own)).then_some(metrics.current_term);
        if leads != led {
            led = leads;
            watch = Watch::default();
        }
        if led.is_none() {
            continue;
        }
        let deeds = {
            // The table first, and then the clock: what is seen was in force by then.
            let contents = member.contents.borrow();
            watch.look(now_ms(), contents.duties())
        };
        // What is not written is seen again at the next look.
        for deed in deeds {
            say(&member, &deed);
            if let Err(problem) = member.log(Deed::Duty(deed)).await {
                warn!("what time has ended of the duties is not written: {problem}");
                break;
            }
        }
    }
}

/// A change that time makes is one line of the log.
fn say(member: &Member, deed: &duty::Deed) {
    let contents = member.contents.borrow();
    let table = contents.duties();
    match deed {
        duty::Deed::Expire { session, .. } => {
            let held = table.grants(*session).map_or(0, |grants| grants.grants.len());
            let node = table.session(*session).map_or("-", |session| session.node.as_str());
            warn!("duties: session {session:016x} of {node} is over, with {held} duties");
        }
        duty::Deed::Ended { duty, number } => {
            warn!("duties: {duty} is free: the lease of its holder under {number} is over");
        }
        duty::Deed::Return { duty, number } => info!("duties: {duty} is tried again after {number}"),
        _ => {}
    }
}

/// What a session has, where that fits into a datagram; else that it has changed.
fn news_of(table: &duty::Table, session: u64) -> Option<Vec<u8>> {
    let grants = duty::Grants { standing: duty::Standing::default(), ..table.grants(session)? };
    Packet::Granted(Box::new(grants)).to_bytes().or_else(|| Packet::Duties.to_bytes())
}

/// Rings at each node whose duties have changed, while this member leads. A ring that is lost is made up for by the node's
/// next renewal.
pub(super) async fn tell_holders(member: Member) {
    let mut contents = member.contents.clone();
    let mut told = contents.borrow().duties().revision();
    while contents.changed().await.is_ok() {
        let rings = {
            let contents = contents.borrow_and_update();
            let (table, fleet) = (contents.duties(), contents.fleet());
            let before = std::mem::replace(&mut told, table.revision());
            if !member.leads() {
                continue;
            }
            let news = table.sessions().filter(|(_, session)| session.changed > before);
            let rings = news.filter_map(|(id, session)| {
                Some((fleet.get(&session.node)?.applicant.address, news_of(table, id)?))
            });
            rings.collect::<Vec<_>>()
        };
        if rings.is_empty() {
            continue;
        }
        if let Err(problem) = inquire::ring(member.from, &rings).await {
            debug!("nodes are not told of their duties: {problem}");
        }
    }
}
