//! Having an address to listen on. What may pass, as a former process that still has the address, is waited for.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use log::warn;
use thiserror::Error;
use tokio::net::{TcpListener, UdpSocket};
use tokio::time::{Instant, sleep};

use super::errors::bind_may_succeed_later;
use super::fault::{Operation, inject};

/// How long an address is tried for: a former process has ended by then, and a restarted node is ready in good time.
pub const BIND_WITHIN: Duration = Duration::from_secs(5);
/// Pauses between tries grow from the first to the second of these.
const PAUSE: (Duration, Duration) = (Duration::from_millis(5), Duration::from_millis(100));

/// An address that cannot be listened on.
#[derive(Debug, Error)]
#[error("cannot listen for {purpose} on {address}: {source}")]
pub struct BindError {
    /// What the listener is for.
    pub purpose: &'static str,
    /// Where it was to listen.
    pub address: SocketAddr,
    /// Why it cannot.
    pub source: io::Error,
}

impl From<BindError> for io::Error {
    fn from(error: BindError) -> Self {
        Self::new(error.source.kind(), error)
    }
}

/// Listens for connections.
///
/// # Errors
/// The address cannot be had within [`BIND_WITHIN`], or never.
pub async fn tcp(purpose: &'static str, address: SocketAddr) -> Result<TcpListener, BindError> {
    patiently(purpose, address, BIND_WITHIN, || TcpListener::bind(address)).await
}

/// Has a socket for datagrams.
///
/// # Errors
/// The address cannot be had within [`BIND_WITHIN`], or never.
pub async fn udp(purpose: &'static str, address: SocketAddr) -> Result<UdpSocket, BindError> {
    patiently(purpose, address, BIND_WITHIN, || UdpSocket::bind(address)).await
}

/// Tries to have an address until it is had, fails for good, or the time is over.
///
/// # Errors
/// That of the last try.
pub async fn patiently<T, F: Future<Output = io::Result<T>>>(
    purpose: &'static str,
    address: SocketAddr,
    within: Duration,
    mut attempt: impl FnMut() -> F,
) -> Result<T, BindError> {
    let until = Instant::now() + within;
    let mut pause = PAUSE.0;
    let mut logged = false;
    loop {
        let had = match inject(Operation::Bind, purpose) {
            Ok(()) => attempt().await,
            Err(problem) => Err(problem),
        };
        let source = match had {
            Ok(had) => return Ok(had),
            Err(source) => source,
        };
        if !bind_may_succeed_later(&source) || Instant::now() >= until {
            return Err(BindError { purpose, address, source });
        }
        if !logged {
            logged = true;
            let within = within.as_secs_f64();
            warn!("cannot listen for {purpose} on {address} yet: {source}; it is tried for {within} s");
        }
        sleep(pause).await;
        pause = (pause * 2).min(PAUSE.1);
    }
}
