//! The control plane: reports of readiness, one UDP datagram each.

use std::net::SocketAddr;
use std::time::Duration;

use log::{error, info};
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::config::Peers;
use crate::exchange::Handle;
use crate::net::episode::FailureEpisode;
use crate::net::{bind, datagram};

/// Time between reports: an entry lapses after three seconds, so eleven in a row may be lost.
const PERIOD: Duration = Duration::from_millis(250);

/// Has a socket for reports, however long that takes: a node without one is not listed.
async fn socket(own: SocketAddr) -> UdpSocket {
    loop {
        match bind::udp("reports", SocketAddr::new(own.ip(), 0)).await {
            Ok(socket) => return socket,
            Err(problem) => error!("no socket for reports can be had: {problem}"),
        }
        sleep(PERIOD).await;
    }
}

/// Reports for as long as the node lives, and at once when its health changes.
pub async fn report(name: String, own: SocketAddr, peers: watch::Receiver<Peers>, exchange: Handle) {
    let socket = socket(own).await;
    let mut node_status = exchange.node_status();
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut said = None;
    let mut sending = FailureEpisode::new("reports cannot be sent");
    loop {
        let healthy = node_status.borrow_and_update().healthy;
        // Before the processor is up there is nothing to report: it would list a node that cannot serve.
        if healthy || said.is_some() {
            let state = if healthy { "Ready" } else { "NotReady" };
            if said.replace(healthy) != Some(healthy) {
                info!("reporting {state}");
            }
            let control = peers.borrow().control;
            let report = format!("lease {name} {state}");
            match datagram::send(&socket, report.as_bytes(), control).await {
                Ok(()) => sending.succeeded(),
                // The next turn sends the next one.
                Err(problem) => sending.failed(&problem),
            }
        }
        while Some(node_status.borrow().healthy) == said.or(Some(false)) {
            tokio::select! {
                _ = ticks.tick() => break,
                changed = node_status.changed() => if changed.is_err() { return },
            }
        }
    }
}
