//! Where a node hears others: one question and its answer on each connection.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use log::debug;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::coordinator::Vote;
use super::evidence::Voter;
use super::list::Number;
use super::participant::Seat;
use super::wire::{Answer, Holder, MAX_REQUEST_BYTES, REQUEST_TIMEOUT, Request, RequestBody, receive, send};
use crate::fleet::view::{Applicant, Node};
use crate::net::accept::{self, Acceptor};
use crate::net::connect::Stream;
use crate::net::table::Seat as Place;

/// Connections served at once; see [`accept::serve_questions`] for further ones.
const ROOM: usize = 64;

/// Answers for as long as the node runs.
pub(super) async fn open(listener: TcpListener, seat: Rc<Seat>) {
    let acceptor = Acceptor::new("votes", listener);
    let begin = move |open: &mut JoinSet<()>, (stream, from): (TcpStream, SocketAddr), place: Place| {
        let seat = seat.clone();
        open.spawn_local(async move {
            let answered = timeout(REQUEST_TIMEOUT, connection(stream, from, seat, &place));
            let _ = place.serve(answered).await;
        });
    };
    accept::serve_questions(acceptor, ROOM, begin).await;
}

async fn connection(stream: TcpStream, from: SocketAddr, seat: Rc<Seat>, place: &Place) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut stream = Stream::new(stream);
    let said: Request = receive(&mut stream, MAX_REQUEST_BYTES).await?;
    place.work();
    let answer = answer(&seat, from, said);
    // A list is an effect of the duty: the lease was looked at just now, and whoever gets the list knows its number.
    send(&mut stream, &answer).await
}

fn answer(seat: &Rc<Seat>, from: SocketAddr, said: Request) -> Answer {
    // Machine and zone are those of the view, and the name is believed from its address alone.
    let known = seat.node(&said.from).filter(|node| node.applicant.address.ip() == from.ip());
    let Some(node) = known else {
        debug!("verdicts: {} is not known at {from}", said.from);
        return Answer::Refused(format!("{} does not belong to the fleet at {}", said.from, from.ip()));
    };
    match said.what {
        RequestBody::Holds { fence, best } => {
            let name = node.applicant.name;
            match seat.hear_of(&name, Holder { fence, name: name.clone() }) {
                Ok(()) => Answer::Known(seat.list_above(best)),
                Err(seen) => Answer::Passed(seen),
            }
        }
        RequestBody::Evidence { evidence, trials, have } => {
            let vote = Vote { voter: voter(&node), life: said.life, evidence, trials };
            count(seat, &vote, have)
        }
    }
}

fn voter(node: &Node) -> Voter {
    let Applicant { name, machine, zone, .. } = node.applicant.clone();
    Voter { name, machine, zone }
}

fn count(seat: &Seat, vote: &Vote, have: Number) -> Answer {
    match seat.counting.borrow_mut().as_mut() {
        Some(counting) if counting.may() => counting.receive(seat.now(), vote, have),
        _ => Answer::Elsewhere(seat.holder().filter(|holder| holder.name != seat.options.name)),
    }
}
