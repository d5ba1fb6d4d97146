//! The task that counts while this node has the duty: it finds the latest list, says to all who counts, and moves the
//! list on each second.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use log::{debug, info, warn};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout_at};

use super::cap::Reason;
use super::coordinator::{Changes, Coordinator, Vote};
use super::detection::Scope;
use super::evidence::{EvidenceError, SLOT_MS};
use super::latest_list::LatestList;
use super::list::{List, ListEntry, Number, Stage, Why};
use super::participant::{EvidenceSummary, Report, Seat};
use super::routes::Routed;
use super::wire::{Answer, Holder, Request, RequestBody, send_request};
use crate::lease::{Held, Lost};

/// How long the latest list is asked for at the most, before the one that is known is taken up.
const GATHER: Duration = Duration::from_secs(2);
/// Nodes that are told at once.
const AT_ONCE: usize = 16;

/// The count while this node has the duty.
pub(super) struct Counting {
    held: Rc<Held>,
    holding: Coordinator,
}

impl Counting {
    /// Whether the duty may be acted under now.
    pub(super) fn may(&self) -> bool {
        self.held.check().is_ok()
    }

    /// Takes what a voter says, and answers it. It has the list of this number.
    pub(super) fn receive(&mut self, now: f64, vote: &Vote, have: Number) -> Answer {
        let voter = &vote.voter;
        match self.holding.receive(now, vote) {
            // It came already, and the answer was lost.
            Ok(()) | Err(EvidenceError::Again { .. }) => {}
            Err(problem) => {
                warn!("verdicts: nothing that {} says counts: {problem}", voter.name);
                return Answer::Refused(problem.to_string());
            }
        }
        let number = self.holding.number();
        let list = (have != number).then(|| self.holding.list());
        let ill = self.holding.ill().contains(&voter.machine);
        Answer::Counted { number, list, ill, asked: self.holding.probes_for(&voter.name).to_vec() }
    }

    /// Adds what only the one that counts can show.
    pub(super) fn show(&self, now: f64, within: f64, report: &mut Report) {
        let (voters, newest) = self.holding.voters(now, within);
        report.counts = self.may();
        report.evidence = Some(EvidenceSummary { voters, newest_ms: newest.map(|ms| ms as u64) });
        report.kept = self.holding.kept().to_vec();
        report.ill_machines = self.holding.ill().iter().cloned().collect();
    }
}

/// Counts each time that the duty is given.
pub(super) async fn hold(seat: Rc<Seat>, mut given: mpsc::Receiver<Held>) {
    while let Some(held) = given.recv().await {
        let held = Rc::new(held);
        let asked = tokio::select! {
            asked = count(&seat, &held) => asked,
            lost = held.lost() => Err(lost),
        };
        let number = seat.counting.take().map(|counting| counting.holding.number());
        seat.publish();
        match asked {
            Ok(()) => hand_on(held, number).await,
            Err(lost) => info!("verdicts: {lost}"),
        }
    }
}

/// The next holder is told the number of the last list: it looks for no later one.
async fn hand_on(held: Rc<Held>, number: Option<Number>) {
    let Ok(held) = Rc::try_unwrap(held) else { return };
    let state = number.and_then(|number| serde_json::to_vec(&number).ok()).unwrap_or_default();
    if let Err(length) = held.hand_on(state).await {
        warn!("a state of {length} bytes is not handed on");
    }
}

/// Counts until the duty is to be handed on.
async fn count(seat: &Rc<Seat>, held: &Rc<Held>) -> Result<(), Lost> {
    let fence = held.check()?.number;
    // The duty itself vouches for this node.
    seat.accept_holder(Holder { fence, name: seat.options.name.clone() });
    let last = gather(seat, held).await;
    held.check()?;
    let told = last.as_ref().map(|list| (list.number.fence, list.number.sequence, list.entries.len()));
    info!("verdicts: this node counts under number {fence}, from list {told:?}");
    let holding = Coordinator::begin(seat.now(), fence, last.as_ref());
    seat.counting.replace(Some(Counting { held: held.clone(), holding }));
    tokio::select! {
        () = turns(seat, held) => {}
        () = announce(seat, held) => {}
        () = held.to_hand_on() => {}
    }
    Ok(())
}

/// Moves the list on each second.
async fn turns(seat: &Seat, held: &Held) {
    let mut ticks = interval(Duration::from_secs_f64(SLOT_MS / 1000.0));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut done = 0;
    let mut routed = Routed::default();
    loop {
        ticks.tick().await;
        let (_, within) = seat.period();
        let mut terms = seat.options.terms.borrow().clone();
        if let Some(in_force) = &seat.options.routes {
            routed.put(in_force, &mut terms.members);
        }
        let changes = seat
            .counting
            .borrow_mut()
            .as_mut()
            .map(|counting| counting.holding.turn(seat.now(), &terms, within));
        if let Some(changes) = changes {
            tell(&changes);
        }
        done += 1;
        held.progress(done);
        seat.publish();
    }
}

/// Says to every node that was not heard lately who counts, again and again.
async fn announce(seat: &Rc<Seat>, held: &Held) {
    // No list is asked for: this one's own is the latest.
    let above = Number { fence: held.fence().number, sequence: u64::MAX };
    loop {
        let (every, within) = seat.period();
        sleep(Duration::from_secs_f64(every / 1000.0)).await;
        let now = seat.now();
        let heard = |name: &String| {
            let counting = seat.counting.borrow();
            counting.as_ref().is_some_and(|counting| counting.holding.hears(now, name, within))
        };
        let mut silent: VecDeque<String> = seat.names().into_iter().filter(|name| !heard(name)).collect();
        let mut asked = JoinSet::new();
        let until = Instant::now() + GATHER;
        loop {
            claim(&mut asked, &mut silent, seat, held, above);
            if !matches!(timeout_at(until, asked.join_next()).await, Ok(Some(_))) {
                break;
            }
        }
    }
}

/// The latest list, of those that nodes have. Where the one before has told its number, no longer than until that is found.
async fn gather(seat: &Rc<Seat>, held: &Held) -> Option<List> {
    let handed: Option<Number> = serde_json::from_slice(held.state()).ok();
    let own = seat.list_above(Number::default());
    let mut latest = LatestList::new(held.fence().number, seat.liars(), own);
    let mut left = VecDeque::from(seat.names());
    let mut asked = JoinSet::new();
    let until = Instant::now() + GATHER;
    loop {
        claim(&mut asked, &mut left, seat, held, latest.number());
        if left.is_empty() && handed.is_some_and(|handed| latest.number() >= handed) {
            break;
        }
        match timeout_at(until, asked.join_next()).await {
            Ok(Some(Ok(Some((machine, list))))) => latest.receive(&machine, list),
            Ok(Some(_)) => {}
            Ok(None) | Err(_) => break,
        }
    }
    latest.found().cloned()
}

/// A list that a node has, and its machine.
type Told = Option<(String, List)>;

/// Says to some more of these who counts, as long as that is this node, and asks them for a list above this number.
fn claim(
    asked: &mut JoinSet<Told>,
    names: &mut VecDeque<String>,
    seat: &Rc<Seat>,
    held: &Held,
    above: Number,
) {
    while asked.len() < AT_ONCE
        && let Ok(fence) = held.check()
        && let Some(name) = names.pop_front()
    {
        asked.spawn_local(tell_one(seat.clone(), fence.number, name, above));
    }
}

/// Says to one who counts; the list that it has, where that is a higher one.
async fn tell_one(seat: Rc<Seat>, fence: u64, name: String, best: Number) -> Told {
    let node = seat.node(&name)?;
    let said = Request {
        from: seat.options.name.clone(),
        life: seat.life,
        what: RequestBody::Holds { fence, best },
    };
    match send_request(seat.address_of(&node), seat.from(), &said).await {
        Ok(Answer::Known(list)) => Some((node.applicant.machine, list?)),
        Ok(Answer::Passed(seen)) => {
            warn!("verdicts: {name} has seen number {seen}, past {fence}");
            None
        }
        Ok(other) => {
            debug!("verdicts: {name} answers {other:?}");
            None
        }
        Err(problem) => {
            debug!("verdicts: {name} is not reached: {problem}");
            None
        }
    }
}

/// One line of the log a change.
fn tell(changes: &Changes) {
    for ListEntry { server, scope, stage, times, why, .. } in &changes.listed {
        let whom = whom(scope);
        let stage = match stage {
            Stage::Out => "out".to_owned(),
            Stage::Trial(nodes) => format!("tried by {}", nodes.join(", ")),
            Stage::Step(percent) => format!("back with {percent}%"),
        };
        match why {
            Why::Votes(found) => info!(
                "verdicts: {server} is {stage} for {whom}, time {times}: kind={:?} bad={} calls={} machines={} span_s={} evidence={:.1}",
                found.kind, found.bad, found.calls, found.voters, found.span, found.evidence
            ),
            Why::Operator => info!("verdicts: {server} is {stage} for {whom}: an operator says so"),
        }
    }
    for ListEntry { server, scope, .. } in &changes.back {
        info!("verdicts: {server} is in again for {}", whom(scope));
    }
    for kept in &changes.kept {
        let (server, whom) = (kept.outlier.server, whom(&kept.outlier.scope));
        let why = match &kept.reason {
            Reason::Operator => "an operator says so".to_owned(),
            Reason::ManyAtOnce { group, standing_out, of } => {
                format!("{standing_out} of {of} of {group} stand out, which is no server's fault")
            }
            Reason::Cap { group } => format!("no more of {group} may be out"),
            Reason::Unknown => "it is no server of this fleet".to_owned(),
        };
        warn!("verdicts: {server} stands out for {whom} and stays: {why}");
    }
    for machine in &changes.ill {
        warn!("verdicts: {machine} finds most servers bad, and counts for nothing");
    }
}

fn whom(scope: &Scope) -> String {
    match scope {
        Scope::Everywhere => "all".to_owned(),
        Scope::Zone(zone) => format!("zone {zone}"),
    }
}
