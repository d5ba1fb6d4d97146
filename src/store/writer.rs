//! Gathers what several callers wish at once into one entry of the log, so that one sync serves them all.

use std::time::Duration;

use openraft::Raft;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use super::map::{Batch, Logged};
use super::{Change, Outcome, Types};

/// Deeds that wait for their entry at the most; more callers wait before that.
const WAITING: usize = 256;
/// Deeds of one entry, and bytes of their keys and values, at the most.
const MOST_DEEDS: usize = 64;
const MOST_BYTES: usize = 512 * 1024;
/// Entries under way at the most.
const ENTRIES: usize = 4;
/// How long an entry is waited for: no caller does so longer.
const PATIENCE: Duration = Duration::from_secs(6);

/// A deed with who waits for what comes of it.
struct Wished {
    logged: Logged,
    answer: oneshot::Sender<Result<Outcome, String>>,
}

/// The way to the log.
#[derive(Clone)]
pub(super) struct Writer(mpsc::Sender<Wished>);

impl Writer {
    /// Begins to write to this log, until nobody has the way to it any more.
    pub fn start(raft: Raft<Types>) -> Self {
        let (wish, wished) = mpsc::channel(WAITING);
        tokio::spawn(gather(raft, wished));
        Self(wish)
    }

    /// Puts one deed into the log. One that is given up before its entry begins is not done.
    ///
    /// # Errors
    /// It may be done or not, and why that is not known.
    pub async fn write(&self, logged: Logged) -> Result<Outcome, String> {
        let (answer, answered) = oneshot::channel();
        let gone = |_| "the member has stopped".to_owned();
        self.0.send(Wished { logged, answer }).await.map_err(|_| gone(()))?;
        answered.await.map_err(|_| gone(()))?
    }
}

fn size(logged: &Logged) -> usize {
    match &logged.deed {
        super::map::Deed::Change(Change { key, value, .. }) => {
            key.len() + value.as_ref().map_or(0, String::len)
        }
        super::map::Deed::Roster(..) | super::map::Deed::Fleet(_) => 0,
        super::map::Deed::Duty(deed) => deed.size(),
    }
}

async fn gather(raft: Raft<Types>, mut wished: mpsc::Receiver<Wished>) {
    let mut under_way = tokio::task::JoinSet::new();
    while let Some(first) = wished.recv().await {
        while under_way.len() >= ENTRIES {
            under_way.join_next().await;
        }
        let mut bytes = size(&first.logged);
        let mut batch = vec![first];
        while batch.len() < MOST_DEEDS
            && bytes < MOST_BYTES
            && let Ok(next) = wished.try_recv()
        {
            bytes += size(&next.logged);
            batch.push(next);
        }
        batch.retain(|wished| !wished.answer.is_closed());
        if !batch.is_empty() {
            under_way.spawn(write(raft.clone(), batch));
        }
    }
}

async fn write(raft: Raft<Types>, batch: Vec<Wished>) {
    let (logged, answers): (Vec<_>, Vec<_>) =
        batch.into_iter().map(|wished| (wished.logged, wished.answer)).unzip();
    let unsure = match timeout(PATIENCE, raft.client_write(Batch(logged))).await {
        Ok(Ok(done)) => {
            for (answer, outcome) in answers.into_iter().zip(done.data.0) {
                let _ = answer.send(Ok(outcome));
            }
            return;
        }
        // Only a member that does not lead can be sure that it did not write, and this one led.
        Ok(Err(problem)) => problem.to_string(),
        Err(_) => "no majority has confirmed it in time".to_owned(),
    };
    for answer in answers {
        let _ = answer.send(Err(unsure.clone()));
    }
}
