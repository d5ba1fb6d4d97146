//! Asking over HTTP, within bounds: an answer that says that it is too long is not read, and one that stands still ends.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Empty};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, HeaderMap};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};

use crate::net::connect as connection;

use super::asking::NUMBER;

/// How long a connection may take to open.
const CONNECT: Duration = Duration::from_secs(1);
/// How much longer than it may wait an answer may take to begin.
const BEGINS: Duration = Duration::from_secs(1);
/// An answer that stands still so long is given up.
const STILL: Duration = Duration::from_secs(2);
/// A whole answer takes no longer.
const WHOLE: Duration = Duration::from_secs(30);
/// Bytes of the head of an answer.
const HEAD: usize = 16 * 1024;
/// Bytes of an answer that is an error.
const ERROR: usize = 4096;

/// Why there is no answer.
#[derive(Debug, Error)]
pub enum Failed {
    /// It cannot be reached, or the connection ends.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// What comes is no HTTP, or ends half way.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// Nothing comes in time.
    #[error("{0} not in time")]
    Late(&'static str),
    /// It is longer than it may be: it was not read to its end.
    #[error("{bytes} are over {most}")]
    TooLong {
        /// Bytes that it says that it has, or that had come.
        bytes: u64,
        /// Bytes that it may have.
        most: usize,
    },
    /// Another answer than one to the question.
    #[error("{status}: {why}")]
    Status {
        /// Its status.
        status: StatusCode,
        /// What it says.
        why: String,
    },
}

/// An answer.
#[derive(Debug)]
pub enum Answer {
    /// This.
    Bytes(Bytes),
    /// Nothing is new, under this number of the duty.
    Nothing(u64),
}

/// An open connection, which ends with it.
struct Open {
    sender: SendRequest<Empty<Bytes>>,
    carrier: JoinHandle<()>,
}

impl Drop for Open {
    fn drop(&mut self) {
        self.carrier.abort();
    }
}

/// One that is asked again and again at one of several addresses, over one connection.
pub struct Line {
    from: IpAddr,
    open: Option<(SocketAddr, Open)>,
}

impl Line {
    /// One that asks from an address of this node.
    pub fn new(from: IpAddr) -> Self {
        Self { from, open: None }
    }

    /// Asks there. `wait` is how long the answer may wait for something new, `most` the bytes that it may have.
    ///
    /// # Errors
    /// There is no answer; the connection is given up then.
    pub async fn ask(
        &mut self,
        at: SocketAddr,
        path: &str,
        wait: Duration,
        most: usize,
    ) -> Result<Answer, Failed> {
        let mut open = match self.open.take() {
            Some((there, open)) if there == at && !open.sender.is_closed() => open,
            _ => connect(at, self.from).await?,
        };
        let answer = timeout(wait + WHOLE, open.ask(at, path, wait, most)).await;
        let answer = answer.map_err(|_| Failed::Late("the whole answer came"))?;
        if matches!(answer, Ok(_) | Err(Failed::Status { .. })) {
            self.open = Some((at, open));
        }
        answer
    }
}

async fn connect(at: SocketAddr, from: IpAddr) -> Result<Open, Failed> {
    let opened = timeout(CONNECT, connection::connect(at, Some(from))).await;
    let stream = opened.map_err(|_| Failed::Late("the connection opened"))?.map_err(io::Error::from)?;
    let (sender, connection) =
        http1::Builder::new().max_buf_size(HEAD).handshake::<_, Empty<Bytes>>(TokioIo::new(stream)).await?;
    let carrier = spawn_local(async move {
        if let Err(problem) = connection.await {
            log::debug!("a connection to {at} ended: {problem}");
        }
    });
    Ok(Open { sender, carrier })
}

impl Open {
    async fn ask(
        &mut self,
        at: SocketAddr,
        path: &str,
        wait: Duration,
        most: usize,
    ) -> Result<Answer, Failed> {
        // A path that was made of checked parts is one.
        let request = Request::get(path).header(HOST, at.to_string()).body(Empty::new());
        let request = request.map_err(|problem| Failed::Io(io::Error::other(problem)))?;
        let ready = timeout(BEGINS, self.sender.ready()).await;
        ready.map_err(|_| Failed::Late("the connection was ready"))??;
        let begins = timeout(wait + BEGINS, self.sender.send_request(request)).await;
        let answer = begins.map_err(|_| Failed::Late("an answer began"))??;
        let status = answer.status();
        match status {
            StatusCode::OK => Ok(Answer::Bytes(read(answer, most).await?)),
            StatusCode::NO_CONTENT => Ok(Answer::Nothing(number(answer.headers()))),
            status => {
                let why = read(answer, ERROR).await?;
                Err(Failed::Status { status, why: String::from_utf8_lossy(&why).trim().to_owned() })
            }
        }
    }
}

fn number(headers: &HeaderMap) -> u64 {
    headers.get(NUMBER).and_then(|value| value.to_str().ok()?.parse().ok()).unwrap_or(0)
}

/// Reads a body as far as it may go.
async fn read(answer: Response<Incoming>, most: usize) -> Result<Bytes, Failed> {
    let mut body = answer.into_body();
    let said = body.size_hint().exact().unwrap_or(0);
    if said > most as u64 {
        return Err(Failed::TooLong { bytes: said, most });
    }
    let mut all = BytesMut::with_capacity(said as usize);
    loop {
        let frame = timeout(STILL, body.frame()).await.map_err(|_| Failed::Late("all of it came"))?;
        let Some(frame) = frame else { return Ok(all.freeze()) };
        if let Ok(data) = frame?.into_data() {
            if all.len() + data.len() > most {
                return Err(Failed::TooLong { bytes: (all.len() + data.len()) as u64, most });
            }
            all.extend_from_slice(&data);
        }
    }
}

/// Waits a little before what failed is tried again.
pub async fn pause(rounds: u32) {
    let ms = 100 * u64::from(rounds.clamp(1, 10));
    sleep(Duration::from_millis(fastrand::u64(ms / 2..=ms))).await;
}
