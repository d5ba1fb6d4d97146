//! The task that says to the one that counts what this node's calls have shown, and applies the lists that it answers.

use std::rc::Rc;
use std::time::Duration;

use log::{debug, info, warn};
use rand::Rng;
use rand::seq::IteratorRandom;
use tokio::sync::oneshot;
use tokio::time::sleep;

use super::evidence::Evidence;
use super::participant::{RecordedCalls, Seat};
use super::wire::{Answer, Holder, MAX_TRIALS, Request, RequestBody, send_request};

/// How far from its period a node sends, so that not all do at once.
const JITTER: std::ops::Range<f64> = 0.9..1.1;

/// What was taken from the serving core and is not known to be counted.
struct Pending {
    noted: RecordedCalls,
    taken: f64,
}

/// Says it for as long as the node runs.
pub(super) async fn vote(seat: Rc<Seat>) {
    let mut pending = None;
    loop {
        let every = seat.period().0 * rand::rng().random_range(JITTER);
        tokio::select! {
            () = sleep(Duration::from_secs_f64(every / 1000.0)) => {}
            () = seat.rung.notified() => {}
        }
        pending = send(&seat, pending).await;
        seat.publish();
    }
}

/// Sends what there is; returns what was not counted, to be sent again. A message that came twice counts once: it has its
/// number still.
async fn send(seat: &Rc<Seat>, pending: Option<Pending>) -> Option<Pending> {
    // What it was asked to call holds until now.
    seat.asked.take();
    let Some(holder) = seat.holder() else {
        look_around(seat).await;
        return pending;
    };
    let Some(node) = seat.node(&holder.name) else { return pending };
    let pending = match pending {
        Some(pending) => again(pending, seat.now()),
        None => Pending { noted: ask_core(seat).await?, taken: seat.now() },
    };
    let RecordedCalls { evidence, trials } = pending.noted.clone();
    let what = RequestBody::Evidence { evidence, trials, have: seat.have() };
    let said = Request { from: seat.options.name.clone(), life: seat.life, what };
    match send_request(seat.address_of(&node), seat.from(), &said).await {
        Ok(Answer::Counted { number, list, ill, asked }) => {
            seat.asked.replace(asked);
            match list {
                Some(list) => seat.accept(&holder, &list),
                None => seat.confirmed(number),
            }
            counted(seat, ill);
            None
        }
        Ok(Answer::Elsewhere(Some(other))) => {
            let _ = seat.hear_of(&holder.name, other);
            Some(pending)
        }
        Ok(Answer::Elsewhere(None)) => Some(pending),
        Ok(Answer::Refused(why)) => {
            warn!("verdicts: {} does not count what this node says: {why}", holder.name);
            None
        }
        Ok(other) => {
            debug!("verdicts: {} answers what was not asked: {other:?}", holder.name);
            None
        }
        Err(problem) => {
            debug!("verdicts: {} is not reached: {problem}", holder.name);
            Some(pending)
        }
    }
}

/// A node that has begun asks another one, drawn at random, who counts: it is not to wait until it is missed. Evidence
/// with nothing in it, numbered below any, counts for nothing.
async fn look_around(seat: &Rc<Seat>) {
    let others = seat.names().into_iter().filter(|name| *name != seat.options.name);
    let Some(node) = others.choose(&mut rand::rng()).and_then(|name| seat.node(&name)) else { return };
    let what = RequestBody::Evidence { evidence: Evidence::default(), trials: Vec::new(), have: seat.have() };
    let said = Request { from: seat.options.name.clone(), life: seat.life, what };
    match send_request(seat.address_of(&node), seat.from(), &said).await {
        Ok(Answer::Elsewhere(Some(holder))) => drop(seat.hear_of(&node.applicant.name, holder)),
        // The list itself comes with the answer to the first evidence, once the store has vouched for who tells it.
        Ok(Answer::Counted { number, .. }) => {
            let name = node.applicant.name;
            let _ = seat.hear_of(&name, Holder { fence: number.fence, name: name.clone() });
        }
        Ok(_) => {}
        Err(problem) => debug!("verdicts: {} is not reached: {problem}", node.applicant.name),
    }
}

/// What is sent again is older.
fn again(mut pending: Pending, now: f64) -> Pending {
    pending.noted.evidence.age(now - pending.taken);
    Pending { taken: now, ..pending }
}

/// What the serving core has noted since; nothing once it is gone.
async fn ask_core(seat: &Seat) -> Option<RecordedCalls> {
    let (back, noted) = oneshot::channel();
    seat.options.asks.send(back).await.ok()?;
    let mut noted = noted.await.ok()?;
    noted.trials.truncate(MAX_TRIALS);
    Some(noted)
}

fn counted(seat: &Seat, ill: bool) {
    let mut own = seat.own.borrow_mut();
    match (own.ill, ill) {
        (false, true) => warn!(
            "verdicts: this machine finds most servers bad: it is the case itself, and counts for nothing"
        ),
        (true, false) => info!("verdicts: this machine counts again"),
        _ => {}
    }
    own.ill = ill;
    own.counted = Some(seat.now());
}
