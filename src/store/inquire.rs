//! Whether the life of a node that has a name is still there, when another one asks to go by it.

use std::fmt;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

use crate::fleet::view::{Applicant, Node};
use crate::fleet::wire::{DATAGRAM_BYTES, Packet};
use crate::net::{bind, datagram};

/// Questions, and how long each is given.
const TIMES: u32 = 3;
const EACH: Duration = Duration::from_millis(300);

/// What was found of the life that has the name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Found {
    /// It answers.
    Alive,
    /// Another one answers at its address: it is not there any more.
    Gone,
    /// Nobody answers: it may be cut off.
    Silent,
}

impl fmt::Display for Found {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Alive => "a living node has that name",
            Self::Gone => "nobody has that name any more",
            Self::Silent => "a node of that name does not answer, and was not declared lost,",
        })
    }
}

/// Asks at the address of the life that has the name who is there.
pub(super) async fn find(from: Option<IpAddr>, rival: &Node, newcomer: &Applicant) -> Found {
    let from = from.unwrap_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED));
    let Ok(socket) = bind::udp("an inquiry", SocketAddr::new(from, 0)).await else { return Found::Silent };
    let (name, incarnation) = (rival.applicant.name.clone(), rival.incarnation);
    let inquiry = Packet::Inquiry { name, incarnation, rival: newcomer.address };
    let Some(bytes) = inquiry.to_bytes() else { return Found::Silent };
    for _ in 0..TIMES {
        if datagram::send(&socket, &bytes, rival.applicant.address).await.is_err() {
            sleep(EACH).await;
            continue;
        }
        if let Ok(Some(found)) = timeout(EACH, heard(&socket, rival, newcomer)).await {
            return found;
        }
    }
    Found::Silent
}

/// The first answer from the rival's address.
async fn heard(socket: &UdpSocket, rival: &Node, newcomer: &Applicant) -> Option<Found> {
    let mut bytes = [0; DATAGRAM_BYTES];
    loop {
        let (length, from) = datagram::receive(socket, &mut bytes).await.ok()?;
        if from != rival.applicant.address {
            continue;
        }
        if let Ok(Packet::Here { name, incarnation, birth }) = Packet::read(&bytes[..length])
            && name == newcomer.name
        {
            // The newcomer itself, at the old one's address.
            let is_newcomer = newcomer.address == from && birth == newcomer.birth;
            let alive = incarnation == Some(rival.incarnation) && !is_newcomer;
            return Some(if alive || birth == rival.applicant.birth && !is_newcomer {
                Found::Alive
            } else {
                Found::Gone
            });
        }
    }
}

/// Sends each of these what is for it.
pub(super) async fn ring(from: Option<IpAddr>, to: &[(SocketAddr, Vec<u8>)]) -> std::io::Result<()> {
    let from = from.unwrap_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED));
    let socket = bind::udp("news of the view", SocketAddr::new(from, 0)).await?;
    for (address, bytes) in to {
        // One that cannot be reached keeps no other from being told.
        let _ = datagram::send(&socket, bytes, *address).await;
    }
    Ok(())
}
