//! The records service: answers calls in its time, and for a while in a way of its own.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use tokio::net::TcpSocket;
use tokio::runtime::{Builder, Runtime};

use crate::support::{Called, PATIENCE, next_call};

/// What it does to calls while it has its trouble.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    TurnsAway,
    NobodyWaits,
    Fails,
    TimesOut,
    Breaks,
    Down,
    /// Nothing is answered while it lasts.
    Stalls,
}

pub const TROUBLES: [Trouble; 6] = [
    Trouble::TurnsAway,
    Trouble::NobodyWaits,
    Trouble::Fails,
    Trouble::TimesOut,
    Trouble::Breaks,
    Trouble::Down,
];

/// A call in its hands.
struct InHand {
    of: String,
    called: Called,
    until: f64,
}

pub struct Records {
    runtime: Runtime,
    pub address: SocketAddr,
    listening: Option<TcpListener>,
    /// Keeps the port while it is down.
    held: Option<TcpSocket>,
    idle: Vec<TcpStream>,
    in_hand: Vec<InHand>,
    /// Calls that were given up and go on for a while, until then.
    lingering: Vec<(f64, String)>,
    /// How long those do, in ms.
    pub linger_ms: f64,
    pub trouble: Option<Trouble>,
}

/// What happened at the service: a call came for a request, or one is over, in the order seen.
#[derive(Debug, PartialEq)]
pub enum Seen {
    Came(String),
    Over(String),
}

impl Records {
    pub fn listen() -> Self {
        let runtime = Builder::new_current_thread().enable_io().build().expect("a runtime");
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.set_nonblocking(true).expect("an option");
        let address = listener.local_addr().expect("an address");
        let (idle, in_hand) = (Vec::new(), Vec::new());
        let (lingering, linger_ms) = (Vec::new(), 0.0);
        let (listening, held, trouble) = (Some(listener), None, None);
        Self { runtime, address, listening, held, idle, in_hand, lingering, linger_ms, trouble }
    }

    /// Refuses connections from now on, and cuts those that it has.
    pub fn down(&mut self) -> Vec<Seen> {
        self.listening = None;
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_reuseaddr(true).expect("an option");
        socket.bind(self.address).expect("its port");
        self.held = Some(socket);
        self.idle.clear();
        self.in_hand.drain(..).map(|call| Seen::Over(call.of)).collect()
    }

    /// The connections of its callers are cut; what they called goes on for a while.
    pub fn cut(&mut self) -> Vec<Seen> {
        self.idle.clear();
        let over = self.lingering.drain(..).map(|(_, of)| of);
        self.in_hand.drain(..).map(|call| call.of).chain(over).map(Seen::Over).collect()
    }

    /// Takes connections again.
    pub fn up(&mut self) {
        if let Some(socket) = self.held.take() {
            let _inside = self.runtime.enter();
            let listener = socket.listen(64).and_then(tokio::net::TcpListener::into_std);
            self.listening = Some(listener.expect("a listener"));
        }
    }

    /// Does what there is to do; the call that comes for a request takes as long as `takes_ms` says.
    pub fn turn(&mut self, now: f64, takes_ms: impl Fn(&str) -> f64) -> Vec<Seen> {
        let mut seen = self.left(now);
        let stalls = self.trouble == Some(Trouble::Stalls);
        for call in taken(&mut self.in_hand, |call| call.until <= now && !stalls) {
            if self.trouble == Some(Trouble::Breaks) && self.linger_ms > 0.0 {
                // The reply is lost on its way; the call itself goes on.
                self.lingering.push((now + self.linger_ms, call.of));
                continue;
            }
            seen.push(Seen::Over(call.of));
            let (status, headers) = match self.trouble {
                Some(Trouble::TurnsAway) => ("503 Service Unavailable", "Op-Not-Begun: 1\r\n"),
                Some(Trouble::NobodyWaits) => ("409 Conflict", "Op-Not-Begun: 1\r\n"),
                Some(Trouble::Fails) => ("500 Internal Server Error", ""),
                Some(Trouble::TimesOut) => ("504 Gateway Timeout", ""),
                Some(Trouble::Breaks | Trouble::Down | Trouble::Stalls) => continue,
                None => ("200 OK", ""),
            };
            let body = [b"reply to ", call.called.body.as_slice()].concat();
            let reply = crate::support::http_reply(status, headers, &body);
            self.idle.push(call.called.reply_raw(&reply));
        }
        let mut streams = Vec::new();
        while let Some(Ok((stream, _))) = self.listening.as_ref().map(TcpListener::accept) {
            stream.set_read_timeout(Some(PATIENCE)).expect("a timeout");
            streams.push(stream);
        }
        streams.append(&mut self.idle);
        for stream in streams {
            match waiting(&stream) {
                Waiting::Nothing => self.idle.push(stream),
                Waiting::Ended => {}
                Waiting::Bytes => {
                    let called = next_call(stream);
                    // What was given up before this call was made is over, however late that is seen.
                    seen.extend(self.left(now));
                    let of = called.head.lines().find_map(|line| line.strip_prefix("Op-Of: "));
                    let of = of.expect("its request").to_owned();
                    seen.push(Seen::Came(of.clone()));
                    let takes_ms = if self.trouble.is_some_and(|it| it != Trouble::Stalls) {
                        1.0
                    } else {
                        takes_ms(&of)
                    };
                    let until = now + takes_ms;
                    self.in_hand.push(InHand { of, called, until });
                }
            }
        }
        seen
    }

    /// The calls that were given up and are over.
    fn left(&mut self, now: f64) -> Vec<Seen> {
        let gone = taken(&mut self.in_hand, |call| waiting(&call.called.stream) == Waiting::Ended);
        self.lingering.extend(gone.into_iter().map(|call| (now + self.linger_ms, call.of)));
        taken(&mut self.lingering, |(until, _)| *until <= now)
            .into_iter()
            .map(|(_, of)| Seen::Over(of))
            .collect()
    }
}

/// Takes out what fits, in order.
pub fn taken<T>(from: &mut Vec<T>, fits: impl Fn(&T) -> bool) -> Vec<T> {
    let (taken, left) = std::mem::take(from).into_iter().partition(fits);
    *from = left;
    taken
}

#[derive(PartialEq)]
enum Waiting {
    Nothing,
    Bytes,
    Ended,
}

fn waiting(stream: &TcpStream) -> Waiting {
    stream.set_nonblocking(true).expect("an option");
    let seen = stream.peek(&mut [0]);
    stream.set_nonblocking(false).expect("an option");
    match seen {
        Ok(1..) => Waiting::Bytes,
        Err(problem) if problem.kind() == ErrorKind::WouldBlock => Waiting::Nothing,
        _ => Waiting::Ended,
    }
}

/// The time between two looks at everything.
pub const LOOKS: Duration = Duration::from_millis(1);
