//! Client side: fronts that turn bytes into typed requests and answers into bytes.

pub mod ajp;
pub mod resp;

use std::collections::HashMap;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use log::{info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::config::Site;
use crate::exchange::Handle;

/// Wait after a failed accept, so that a full table of descriptors is not hammered.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What every connection of a front shares.
pub struct Shared {
    /// The exchange.
    pub exchange: Handle,
    /// Places of the classes by name.
    pub classes: HashMap<String, usize>,
    /// Places of the tenants by name.
    pub tenants: HashMap<String, usize>,
    /// Whether classes carry keys, by place.
    pub keyed: Vec<bool>,
    /// Cancelled when connections are to be given back.
    pub closing: CancellationToken,
}

impl Shared {
    /// What fronts need of a site.
    pub fn new(site: &Site, exchange: Handle, closing: CancellationToken) -> Rc<Self> {
        let places = |names: &[String]| names.iter().cloned().enumerate().map(|(i, n)| (n, i)).collect();
        let keyed = site.settings.classes.iter().map(|class| class.effect == crate::interface::Effect::Keyed);
        Rc::new(Self {
            exchange,
            classes: places(&site.classes),
            tenants: places(&site.tenants),
            keyed: keyed.collect(),
            closing,
        })
    }
}

/// Time since `ts`, a Unix time in ms. A clock that is behind the caller's counts as none.
pub fn waited_ms(ts: f64) -> f64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    (now.as_secs_f64() * 1000.0 - ts).max(0.0)
}

/// Serves every connection of a listener until connections are to be given back, and then those that are left.
pub async fn serve<F, C>(listener: TcpListener, most: usize, closing: CancellationToken, connection: C)
where
    F: Future<Output = ()> + 'static,
    C: Fn(TcpStream) -> F,
{
    let mut open = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            biased;
            // Accepts come first: what waits in the backlog was accepted by the machine and is owed an answer.
            accepted = listener.accept(), if open.len() < most => accepted,
            Some(_) = open.join_next() => continue,
            () = closing.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => {
                if let Err(problem) = stream.set_nodelay(true) {
                    warn!("a connection cannot be set up: {problem}");
                }
                open.spawn_local(connection(stream));
            }
            Err(problem) => {
                warn!("no connection can be accepted: {problem}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    info!("not listening any more, {} connections open", open.len());
    while open.join_next().await.is_some() {}
}
