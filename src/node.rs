//! A whole node: its configuration, its exchange and the tasks of both sides, from start to stop.

use std::io;
use std::time::Duration;

use log::info;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::back::{control, processor, records};
use crate::config::Config;
use crate::exchange::{self, Handle, Input};
use crate::front::{self, Shared, resp};
use crate::interface::SettingsError;

/// How long before its stop a node gives connections back and stops listening.
const GIVE_BACK: Duration = Duration::from_millis(900);
/// How long before its stop a node whose connections are not given back ends by itself.
const LAST: Duration = Duration::from_millis(20);

/// Why a node cannot run.
#[derive(Debug, Error)]
pub enum NodeError {
    /// A socket or signal cannot be had.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The settings make no sense.
    #[error("{0}")]
    Settings(#[from] SettingsError),
}

/// Runs a node until it has been told to leave and has left.
///
/// # Errors
/// It cannot listen, or its settings are not accepted.
pub async fn run(config: Config) -> Result<(), NodeError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let listener = TcpListener::bind(config.listen).await?;
    info!("{} listens on {}", config.name, listener.local_addr()?);
    let (exchange, handle, servers) = exchange::new(config.seed, &config.site)?;
    spawn_local(exchange.run());
    let link =
        processor::Link::new(config.processor, config.site.classes.clone(), handle.clone(), servers.commands);
    spawn_local(link.keep());
    if let Some(address) = config.records {
        spawn_local(records::Records::new(address, handle.clone()).serve(servers.calls));
    }
    spawn_local(control::report(config.name.clone(), config.listen, config.control, handle.clone()));
    let closing = CancellationToken::new();
    let shared = Shared::new(&config.site, handle.clone(), closing.clone());
    let most = config.sockets * 3 / 4;
    let front = spawn_local(front::serve(listener, most, shared, resp::connection));
    terminate.recv().await;
    drain(config.stop, handle, closing, front).await;
    Ok(())
}

/// Leaves: tells the exchange, serves on, gives the connections back in good time, and ends when all are gone.
async fn drain(
    stop: Duration,
    exchange: Handle,
    closing: CancellationToken,
    front: tokio::task::JoinHandle<()>,
) {
    let told = Instant::now();
    exchange.tell(Input::Drain { stop_in_ms: stop.as_secs_f64() * 1000.0 }).await;
    tokio::time::sleep_until(told + stop.saturating_sub(GIVE_BACK)).await;
    closing.cancel();
    let left = tokio::time::timeout_at(told + stop.saturating_sub(LAST), front).await;
    info!(
        "stopped {}",
        if left.is_ok() { "with every connection given back" } else { "with connections open" }
    );
}
