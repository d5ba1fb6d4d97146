//! Connections to others. Whatever fails here proves that nothing was sent.

use std::io;
use std::net::{IpAddr, SocketAddr};

use log::debug;
use tokio::net::{TcpSocket, TcpStream};

use super::errors::{Cause, Failure, cause};
use super::fault::{Operation, inject};
use super::stream::Uninterrupted;

/// A connection, on which interrupted calls are made again.
pub type Stream = Uninterrupted<TcpStream>;

/// Tries of a connect that signals interrupt.
const IN_A_ROW: u32 = 16;

/// Connects, from this machine's address where one is given that fits. Small messages go out at once.
///
/// # Errors
/// The connection cannot be made; nothing was sent.
pub async fn connect(to: SocketAddr, from: Option<IpAddr>) -> Result<Stream, Failure> {
    let mut tries = 1;
    loop {
        match attempt(to, from).await {
            Err(problem) if cause(&problem) == Cause::Interrupted && tries < IN_A_ROW => tries += 1,
            Err(problem) => return Err(Failure::Connect(problem)),
            Ok(stream) => return Ok(Stream::new(stream)),
        }
    }
}

async fn attempt(to: SocketAddr, from: Option<IpAddr>) -> io::Result<TcpStream> {
    inject(Operation::Connect, "")?;
    let socket = if to.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if let Some(from) = from.filter(|from| !from.is_unspecified() && from.is_ipv4() == to.is_ipv4()) {
        socket.bind(SocketAddr::new(from, 0))?;
    }
    let stream = socket.connect(to).await?;
    if let Err(problem) = stream.set_nodelay(true) {
        debug!("a connection to {to} waits before it sends: {problem}");
    }
    Ok(stream)
}
