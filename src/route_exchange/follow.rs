//! Following the holder of the duty: a node asks it for what comes after the merged table that it has.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use log::{debug, warn};
use rand::seq::IndexedRandom;
use tokio::sync::watch;
use tokio::task::spawn_blocking;
use tokio::time::sleep;

use super::asking::{Asked, FLEET, Feed};
use super::board::NotTaken;
use super::fetch::{Answer, Line, pause};
use super::site::{Doubted, NotFollowed, Site};
use crate::fleet::view::View;

/// How long an answer may wait for something new.
const WAIT: Duration = Duration::from_secs(1);
/// How often a node that holds the duty looks whether it does still.
const LOOK: Duration = Duration::from_millis(100);
/// Nodes that are asked in one round for the holder.
const ROUND: usize = 8;
/// Bytes of what the holder tells.
const FEED: usize = 1 << 30;

/// Follows the holder for as long as the node is none itself.
pub(super) async fn follow(site: Rc<Site>, view: watch::Receiver<View>) {
    let mut line = Line::new(site.from);
    let (mut rounds, mut whole, mut silent) = (0, false, None);
    loop {
        if site.inside.borrow().leads() {
            sleep(LOOK).await;
            continue;
        }
        let mut found = false;
        for address in to_ask(&site, &view, silent) {
            let after = (!whole).then(|| site.version()).filter(|version| version.term > 0);
            let asked = Asked { site: None, after, wait: WAIT };
            let answer = line.ask(address, &format!("{FLEET}?{}", asked.query()), WAIT, FEED).await;
            let feed = match answer {
                Ok(Answer::Bytes(bytes)) => {
                    spawn_blocking(move || serde_json::from_slice::<Feed>(&bytes)).await
                }
                Ok(Answer::Nothing(_)) => continue,
                Err(problem) => {
                    debug!("partners: {address} does not tell the merged table: {problem}");
                    continue;
                }
            };
            let Ok(Ok(feed)) = feed else {
                warn!("partners: what {address} tells is no merged table");
                continue;
            };
            if let Err(why) = check(&site, &view, &feed, address).await {
                site.doubt(Doubted { at: address, by: feed.by, number: feed.version.term, why });
                continue;
            }
            match site.take(feed, address).await {
                Ok(()) => (found, whole) = (true, false),
                Err(NotTaken::Gap(_)) => (found, whole) = (true, true),
                Err(below) => {
                    debug!("partners: {address} tells nothing that is taken: {below}");
                    continue;
                }
            }
            break;
        }
        rounds = if found { 0 } else { rounds + 1 };
        if !found {
            silent = site.inside.borrow_mut().holder.take().or(silent);
            pause(rounds).await;
        }
    }
}

/// Whether what is told is the holder's: it comes from the address that the view has for that node, and the store vouches
/// for its number.
async fn check(
    site: &Site,
    view: &watch::Receiver<View>,
    feed: &Feed,
    at: SocketAddr,
) -> Result<(), NotFollowed> {
    let known = view.borrow().get(&feed.by).is_some_and(|node| node.applicant.address.ip() == at.ip());
    if !known {
        return Err(NotFollowed::Elsewhere);
    }
    Ok(site.vouch(&feed.by, feed.version.term).await?)
}

/// Whom to ask for the merged table: the one that told it last, or some of the nodes.
fn to_ask(site: &Site, view: &watch::Receiver<View>, silent: Option<SocketAddr>) -> Vec<SocketAddr> {
    if let Some(holder) = site.inside.borrow().holder {
        return vec![holder];
    }
    let port = site.table.listen.port();
    let view = view.borrow();
    let others: Vec<SocketAddr> = view
        .nodes()
        .filter(|node| node.applicant.name != site.name)
        .map(|node| SocketAddr::new(node.applicant.address.ip(), port))
        .collect();
    let mut some: Vec<SocketAddr> = others.choose_multiple(&mut rand::rng(), ROUND).copied().collect();
    // The one that has just fallen silent is not waited for before the others.
    some.sort_by_key(|address| Some(*address) == silent);
    some
}
