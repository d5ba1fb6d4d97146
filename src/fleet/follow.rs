//! The way to the store: a node asks to belong, and follows the view by asking again, as often as the store says that it
//! can bear. Between two questions the view travels from node to node.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use log::debug;
use rand::Rng;
use rand::seq::SliceRandom;
use tokio::sync::{Notify, mpsc};
use tokio::time::{sleep, timeout};

use crate::store::{Answer, Query, ask_from};

use super::view::{Change, Lacking};

/// Time until the store is asked again where it did not answer, and the spread of it.
const AGAIN: Duration = Duration::from_secs(1);
/// How long the store has for an answer.
const PATIENCE: Duration = Duration::from_secs(7);

/// What the store said.
pub(super) struct Heard {
    /// What this node lacks of the view.
    pub lacking: Lacking,
    /// How long ago the answering member was level with the one that leads, in ms; none where it never was.
    pub age_ms: Option<u64>,
}

/// The members of the store that a node asks, each in turn.
pub(super) struct Store {
    /// Where they are.
    pub members: Vec<SocketAddr>,
    /// The address that this node asks from.
    pub from: IpAddr,
    /// Where what they say goes.
    pub heard: mpsc::Sender<Heard>,
    /// Rung when a newer view is known to be there.
    pub bell: Rc<Notify>,
    /// The number of the view that this node has.
    pub number: Rc<std::cell::Cell<u64>>,
}

impl Store {
    /// Asks one member after the other until one answers.
    pub async fn ask(&self, query: Query) -> Result<Answer, String> {
        let mut members = self.members.clone();
        members.shuffle(&mut rand::rng());
        let (mut said, mut silent) = (None, "no member of the store is named".to_owned());
        for member in members {
            match timeout(PATIENCE, ask_from(&member.to_string(), self.from, query.clone())).await {
                Ok(Ok(Answer::NotDone(why))) => said = Some(why),
                Ok(Ok(answer)) => return Ok(answer),
                Ok(Err(problem)) => silent = format!("{member}: {problem}"),
                Err(_) => silent = format!("{member} does not answer"),
            }
        }
        // What a member says tells more than that another one is not there.
        Err(said.unwrap_or(silent))
    }

    /// Asks for a change of the view.
    pub async fn change(&self, change: Change) -> Result<u64, String> {
        match self.ask(Query::Fleet(change)).await? {
            Answer::Fleet(Ok(incarnation)) => Ok(incarnation),
            Answer::Fleet(Err(refused)) => Err(refused.to_string()),
            Answer::Unsure(why) => Err(format!("it may be done or not: {why}")),
            Answer::Failed(why) => Err(why),
            other => Err(format!("it answers what was not asked: {other:?}")),
        }
    }

    /// Follows the view for as long as the node lives.
    pub async fn follow(self: Rc<Self>) {
        loop {
            let again = match self.ask(Query::View { since: self.number.get() }).await {
                Ok(Answer::View { lacking, age_ms, again_ms }) => {
                    if self.heard.send(Heard { lacking, age_ms }).await.is_err() {
                        return;
                    }
                    Duration::from_millis(again_ms)
                }
                Ok(other) => {
                    debug!("the store does not tell the view: {other:?}");
                    AGAIN
                }
                Err(problem) => {
                    debug!("the store cannot be asked for the view: {problem}");
                    AGAIN
                }
            };
            // Nodes that began together do not go on together.
            let wait = again.mul_f64(rand::rng().random_range(0.5..1.5));
            let _ = timeout(wait, self.bell.notified()).await;
            // Whoever hears of a new view in the same moment asks a little later than the others.
            sleep(Duration::from_millis(rand::rng().random_range(0..200))).await;
        }
    }
}
