//! Asking other nodes what they know of the servers. Serving never waits for it.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use log::{info, warn};
use thiserror::Error;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::routes::Routes;
use super::wire::{Question, Subject, Told, VERSION, answer_bytes};
use crate::config::KnowledgeTable;
use crate::frame::{receive_within, send};
use crate::net::connect::connect;
use crate::server_stats::{Digest, DigestError};

/// Times that a donor is asked, and the wait before the next; what comes later is of little use to a node that has
/// served meanwhile.
const TRIES: u32 = 3;
const AGAIN: Duration = Duration::from_secs(2);

/// Why a node's word is not to be had.
#[derive(Debug, Error)]
pub enum AskError {
    /// It cannot be reached, or says what cannot be read.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// It takes too long.
    #[error("no whole answer in time")]
    Late,
    /// It speaks another version.
    #[error("it speaks version {0}, this node {VERSION}")]
    Version(u32),
    /// It answers something else.
    #[error("it answers what was not asked")]
    Other,
    /// What it says cannot be.
    #[error("{0}")]
    Digest(#[from] DigestError),
}

/// Asks one node one question; an answer of over `most` bytes is not read.
///
/// # Errors
/// It cannot be reached, does not answer in time, or its answer cannot be read.
pub async fn ask(at: SocketAddr, ask: Subject, most: usize, within: Duration) -> Result<Told, AskError> {
    let asked = async {
        let mut stream = connect(at, None).await.map_err(io::Error::from)?;
        send(&mut stream, &Question { version: VERSION, ask }).await?;
        receive_within(&mut stream, most).await?.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))
    };
    match timeout(within, asked).await.map_err(|_| AskError::Late)?? {
        Told::Version(version) => Err(AskError::Version(version)),
        told => Ok(told),
    }
}

async fn digest(donor: SocketAddr, most: usize, within: Duration) -> Result<Digest, AskError> {
    let Told::Digest(mut digest) = ask(donor, Subject::Digest, most, within).await? else {
        return Err(AskError::Other);
    };
    digest.check()?;
    // A node is known by where it was asked: what it calls itself could be another's name.
    digest.reporter = donor.to_string();
    Ok(digest)
}

/// Asks all donors at once, those that fail a few times more, and takes in what comes as it comes.
pub async fn learn(table: KnowledgeTable, routes: Rc<Routes>) {
    let mut left = table.donors.clone();
    for _ in 0..TRIES {
        left = learn_once(left, table.deadline(), &routes).await;
        if left.is_empty() {
            return;
        }
        sleep(AGAIN).await;
    }
    warn!("{} donors told nothing", left.len());
}

/// Those that told nothing.
async fn learn_once(donors: Vec<SocketAddr>, within: Duration, routes: &Rc<Routes>) -> Vec<SocketAddr> {
    let most = answer_bytes(routes.count());
    let mut asked = JoinSet::new();
    for donor in donors {
        asked.spawn_local(async move { (donor, digest(donor, most, within).await) });
    }
    let mut left = Vec::new();
    while let Some(answer) = asked.join_next().await {
        match answer {
            Ok((donor, Ok(digest))) => {
                let merged = routes.inherit(&digest);
                info!(
                    "{donor} told of {} servers, {} of them too old and {} not known here",
                    digest.items.len(),
                    merged.stale,
                    merged.unknown
                );
            }
            Ok((donor, Err(problem))) => {
                warn!("{donor} is not believed: {problem}");
                left.push(donor);
            }
            Err(problem) => warn!("a donor cannot be asked: {problem}"),
        }
    }
    left
}
