//! Datagrams. Neither a failed send nor a failed receive ends what it belongs to: the next turn tries again.

use std::io;
use std::net::SocketAddr;

use tokio::net::UdpSocket;

use super::errors::{Cause, cause};
use super::fault::{Operation, inject};

/// Tries of a call that signals interrupt.
const IN_A_ROW: u32 = 16;

/// Sends a datagram, again at once where a signal interrupts that.
///
/// # Errors
/// It is not sent.
pub async fn send(socket: &UdpSocket, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
    let mut tries = 1;
    loop {
        let sent = match inject(Operation::Send, "") {
            Ok(()) => socket.send_to(bytes, to).await,
            Err(problem) => Err(problem),
        };
        match sent {
            Err(problem) if cause(&problem) == Cause::Interrupted && tries < IN_A_ROW => tries += 1,
            sent => return sent.map(drop),
        }
    }
}

/// The next datagram, again at once where a signal interrupts that. Nothing is lost where the future is dropped.
///
/// # Errors
/// None can be received now.
pub async fn receive(socket: &UdpSocket, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
    let mut tries = 1;
    loop {
        let received = match inject(Operation::Receive, "") {
            Ok(()) => socket.recv_from(buffer).await,
            Err(problem) => Err(problem),
        };
        match received {
            Err(problem) if cause(&problem) == Cause::Interrupted && tries < IN_A_ROW => tries += 1,
            received => return received,
        }
    }
}
