//! Where other nodes and the operator ask what this node knows of the servers: one question on a connection.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use ipnet::IpNet;
use log::debug;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::routes::Routes;
use super::wire::{QUESTION_BYTES, Question, Subject, Told, VERSION};
use crate::exchange::{Anomaly, Handle, Input};
use crate::frame::{receive_within, send};
use crate::net::accept::{self, Acceptor};
use crate::net::connect::Stream;
use crate::net::table::Seat;

/// Connections served at once; see [`accept::serve_questions`] for further ones.
const CONNECTIONS: usize = 8;
/// A connection that is not done by then is closed.
const DONE_WITHIN: Duration = Duration::from_secs(5);

#[derive(Debug, Error)]
enum Bad {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("not done in time")]
    Late,
}

/// Answers those whose address is in a network that may ask.
pub struct Teller {
    /// The node's name.
    pub name: String,
    /// The networks.
    pub allow: Vec<IpNet>,
    /// What it knows.
    pub routes: Rc<Routes>,
    /// Where what goes wrong is counted.
    pub exchange: Handle,
}

impl Teller {
    /// Answers for as long as the node lives.
    pub async fn serve(self, listener: TcpListener) {
        let teller = Rc::new(self);
        let acceptor = Acceptor::new("questions about servers", listener);
        let begin = move |open: &mut JoinSet<()>, (stream, from): (TcpStream, SocketAddr), seat: Seat| {
            let teller = teller.clone();
            open.spawn_local(async move {
                seat.serve(teller.connection(stream, from.ip(), &seat)).await;
            });
        };
        accept::serve_questions(acceptor, CONNECTIONS, begin).await;
    }

    fn may_ask(&self, from: IpAddr) -> bool {
        self.allow.iter().any(|network| network.contains(&from.to_canonical()))
    }

    async fn connection(&self, stream: TcpStream, from: IpAddr, seat: &Seat) {
        if !self.may_ask(from) {
            return self.exchange.send(Input::Anomaly(Anomaly::StatsQueryForbidden)).await;
        }
        let mut stream = Stream::new(stream);
        let answered = timeout(DONE_WITHIN, self.answer(&mut stream, seat)).await;
        if let Err(bad) = answered.map_err(|_| Bad::Late).and_then(|answered| Ok(answered?)) {
            debug!("a question about servers is not answered: {bad}");
            self.exchange.send(Input::Anomaly(Anomaly::ProtocolError)).await;
        }
    }

    async fn answer(&self, stream: &mut Stream, seat: &Seat) -> io::Result<()> {
        let Some(question) = receive_within::<Question>(stream, QUESTION_BYTES).await? else { return Ok(()) };
        seat.work();
        let told = match question {
            Question { version: VERSION, ask: Subject::Digest } => {
                Told::Digest(self.routes.digest(&self.name))
            }
            Question { version: VERSION, ask: Subject::Beliefs } => {
                Told::Beliefs(self.routes.beliefs(&self.name))
            }
            Question { .. } => Told::Version(VERSION),
        };
        send(stream, &told).await
    }
}
