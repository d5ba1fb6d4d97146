//! Where partners and the nodes of the fleet ask: plain HTTP/1.1, answered as soon as there is something new. Who asks is
//! known by the address that the question comes from and the name that it gives; there is no sign-in.

use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{debug, error, info};
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_blocking;
use tokio::time::{Instant, sleep, timeout, timeout_at};
use tokio_io_timeout::TimeoutStream;

use crate::net::accept::{self, Acceptor};
use crate::net::bind;
use crate::net::connect::Stream;

use super::asking::{Asked, FLEET, NUMBER, ROUTES, SCHEMA};
use super::route::Name;
use super::site::{NotAnswered, Site};
use super::table;

/// Connections at once; the others wait.
const CONNECTIONS: usize = 1024;
/// Questions of one partner that wait at once.
const MOST_ASKING: usize = 4;
/// Bytes of the head of a question.
const HEAD: usize = 16 * 1024;
/// A head that is not whole by then ends its connection.
const HEAD_WITHIN: Duration = Duration::from_secs(15);
/// An answer that nobody reads for so long ends its connection.
const READ_WITHIN: Duration = Duration::from_secs(5);
/// No connection is served for longer.
const OLDEST: Duration = Duration::from_secs(3600);
/// Wait after an address that could not be had for seconds, so that the log has a line for each.
const PAUSE: Duration = Duration::from_secs(1);

type Answer = Response<Full<Bytes>>;

/// Listens once the address can be had: another process of the node may have it still.
pub async fn listen(at: SocketAddr) -> TcpListener {
    loop {
        match bind::tcp("partners", at).await {
            Ok(listener) => return listener,
            Err(problem) => error!("partners: {problem}"),
        }
        sleep(PAUSE).await;
    }
}

/// Answers for as long as the node lives.
pub async fn serve(listener: TcpListener, site: Rc<Site>) {
    info!("partners: {} listens for partners on {}", site.node(), site.listens());
    let acceptor = Acceptor::new("partners", listener);
    accept::serve(acceptor, CONNECTIONS, move |open, (stream, from): (TcpStream, SocketAddr)| {
        open.spawn_local(timeout(OLDEST, connection(stream, from, site.clone())));
    })
    .await;
}

async fn connection(stream: TcpStream, from: SocketAddr, site: Rc<Site>) {
    let _ = stream.set_nodelay(true);
    let mut stream = TimeoutStream::new(Stream::new(stream));
    stream.set_write_timeout(Some(READ_WITHIN));
    let stream = TokioIo::new(Box::pin(stream));
    let serve = service_fn(move |question| {
        let site = site.clone();
        async move { Ok::<_, Infallible>(answer(question, from.ip().to_canonical(), site).await) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_WITHIN)
        .max_buf_size(HEAD)
        .serve_connection(stream, serve)
        .await;
    if let Err(problem) = served {
        debug!("a connection from {from} ended: {problem}");
    }
}

fn plain(status: StatusCode, why: impl Into<String>) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::from(why.into() + "\n")));
    *answer.status_mut() = status;
    answer
}

fn nothing(number: u64) -> Answer {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = StatusCode::NO_CONTENT;
    answer.headers_mut().insert(NUMBER, number.into());
    answer
}

/// An answer in JSON, made and written beside the thread that serves.
async fn json<T: Serialize>(make: impl FnOnce() -> T + Send + 'static) -> Answer {
    match spawn_blocking(move || serde_json::to_vec(&make())).await {
        Ok(Ok(text)) => {
            let mut answer = Response::new(Full::new(Bytes::from(text)));
            answer
                .headers_mut()
                .insert(CONTENT_TYPE, hyper::header::HeaderValue::from_static("application/json"));
            answer
        }
        _ => plain(StatusCode::INTERNAL_SERVER_ERROR, "it cannot be written"),
    }
}

async fn answer(question: Request<Incoming>, from: IpAddr, site: Rc<Site>) -> Answer {
    if question.method() != Method::GET {
        return plain(StatusCode::METHOD_NOT_ALLOWED, "only GET");
    }
    let asked = match Asked::read(question.uri().query().unwrap_or_default()) {
        Ok(asked) => asked,
        Err(bad) => return plain(StatusCode::BAD_REQUEST, bad.to_string()),
    };
    match (question.uri().path(), &asked.site) {
        (ROUTES, Some(partner)) if site.is_partner(partner, from) => {
            let partner = partner.clone();
            partner_asks(asked, partner, &site).await
        }
        (ROUTES, Some(partner)) => {
            let why = format!("{partner} is no partner that asks from {from}");
            plain(StatusCode::FORBIDDEN, why)
        }
        (ROUTES, None) => plain(StatusCode::BAD_REQUEST, "for: names nobody"),
        (SCHEMA, _) => json(table::schema).await,
        (FLEET, None) if site.is_node(from) => node_asks(asked, &site).await,
        (FLEET, _) => plain(StatusCode::FORBIDDEN, format!("{from} is no node of this fleet")),
        _ => plain(StatusCode::NOT_FOUND, "nothing is here"),
    }
}

fn turned_away(why: &NotAnswered) -> Answer {
    let status = match why {
        NotAnswered::NotHeld(_) | NotAnswered::NotSettled => StatusCode::MISDIRECTED_REQUEST,
        NotAnswered::NotTold(_) => StatusCode::CONFLICT,
    };
    plain(status, why.to_string())
}

async fn partner_asks(asked: Asked, partner: Name, site: &Rc<Site>) -> Answer {
    let Some(_seat) = site.seat(&partner, MOST_ASKING) else {
        return plain(StatusCode::TOO_MANY_REQUESTS, format!("{MOST_ASKING} questions of {partner} wait"));
    };
    let until = Instant::now() + asked.wait;
    let mut news = site.news();
    loop {
        news.borrow_and_update();
        // The lease is looked at here, where the answer is made.
        let late = match site.told(&partner, asked.after) {
            Ok(Some(telling)) => return json(|| telling.document()).await,
            Ok(None) => Ok(()),
            Err(why @ NotAnswered::NotSettled) => Err(why),
            Err(why) => return turned_away(&why),
        };
        if timeout_at(until, news.changed()).await.is_err() {
            return match (late, site.leads()) {
                (Ok(()), Some(number)) => nothing(number),
                (Err(why), _) => turned_away(&why),
                (Ok(()), None) => turned_away(&site.not_held()),
            };
        }
    }
}

async fn node_asks(asked: Asked, site: &Rc<Site>) -> Answer {
    let until = Instant::now() + asked.wait;
    let mut news = site.news();
    loop {
        news.borrow_and_update();
        if site.leads().is_none() {
            return turned_away(&site.not_held());
        }
        let is_new = asked.after != Some(site.version());
        // An answer without news says how the partners stand.
        if is_new || timeout_at(until, news.changed()).await.is_err() {
            return match site.feed(asked.after) {
                Ok(telling) => json(|| telling.feed()).await,
                Err(why) => turned_away(&why),
            };
        }
    }
}
