//! The core of a node: requests, attempts and outcomes. It owns the decision module and carries out every
//! action of it. Client side and server side are tasks of their own that meet only here.

mod anomalies;
mod answers;
mod calls;
mod catalog;
mod claims;
mod core;
mod entry;
mod handed;
mod idempotency;
mod inquiry;
mod intake;
mod lifecycle;
mod receipts;
mod runs;
mod succession;
mod time;
mod transitions;
mod types;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use self::receipts::Receipts;
use crate::clock::receipt::{Receipt, Terms};
use crate::config::Site;
use crate::interface::{RequestId, SettingsError};

pub use self::core::Exchange;
pub use catalog::Catalog;
pub use claims::ReplicationChannel;
pub use handed::{HandedOverKey, HandedOverState, HandoverMessage, PredecessorResources, StartServing};
pub use types::{
    Anomaly, Answer, Call, Command, IncomingRequest, Input, NodeStatus, Origin, Reply, ReplyTo, TryId,
};

/// Inputs that wait for the exchange before those who give them have to.
const INPUT_QUEUE_CAPACITY: usize = 4096;

/// The side of an exchange that clients and servers hold.
#[derive(Clone)]
pub struct Handle {
    inputs: mpsc::Sender<Input>,
    next_id: Rc<Cell<u32>>,
    node_status: watch::Receiver<NodeStatus>,
    catalog: watch::Receiver<Rc<Catalog>>,
    receipts: Rc<Receipts>,
}

impl Handle {
    /// A number for a further request.
    pub fn new_id(&self) -> RequestId {
        next_request_id(&self.next_id)
    }

    /// What a request comes to that says when it was sent.
    pub fn receipt(
        &self,
        ts_ms: f64,
        class: usize,
        caller_timeout: Option<Duration>,
        at: Instant,
    ) -> Receipt {
        let limit = self.catalog.borrow().deadlines.get(class).copied().unwrap_or_default();
        self.receipts.receipt(ts_ms, Terms { patience: caller_timeout, limit }, at)
    }

    /// Hands over a request under its number; its answer goes to `reply`.
    pub async fn submit(&self, id: RequestId, request: IncomingRequest, reply: ReplyTo) {
        self.send(Input::Submit(id, request, reply)).await;
    }

    /// Tells of anything else that has happened.
    pub async fn send(&self, input: Input) {
        // The exchange ends only with the process.
        let _ = self.inputs.send(input).await;
    }

    /// What the node shows of itself, now and as it changes.
    pub fn node_status(&self) -> watch::Receiver<NodeStatus> {
        self.node_status.clone()
    }

    /// What requests can name just now.
    pub fn catalog(&self) -> Rc<Catalog> {
        self.catalog.borrow().clone()
    }
}

fn next_request_id(ids: &Cell<u32>) -> RequestId {
    let id = RequestId(ids.get());
    ids.set(id.0.wrapping_add(1).max(1));
    id
}

/// The queues from the exchange to the server side.
pub struct ServerQueues {
    /// To the processor.
    pub commands: mpsc::UnboundedReceiver<Command>,
    /// To the tier below.
    pub calls: mpsc::UnboundedReceiver<Call>,
}

/// Makes an exchange and what its two sides need. Keys and results keep within a part of `memory_bytes`.
///
/// # Errors
/// The settings make no sense to the decision module.
pub fn new(
    seed: u64,
    site: &Site,
    memory_bytes: usize,
) -> Result<(Exchange, Handle, ServerQueues), SettingsError> {
    let (inputs, from_sides) = mpsc::channel(INPUT_QUEUE_CAPACITY);
    let (to_processor, commands) = mpsc::unbounded_channel();
    let (to_dependency, calls) = mpsc::unbounded_channel();
    let (status_sender, node_status) = watch::channel(NodeStatus::default());
    let (catalog_sender, catalog) = watch::channel(Rc::new(Catalog::of(site, false)));
    let next_id = Rc::new(Cell::new(1));
    let receipts = Rc::new(Receipts::begin());
    let exchange = Exchange::new(
        seed,
        site,
        memory_bytes,
        next_id.clone(),
        from_sides,
        core::Outputs { to_processor, to_dependency, status_sender, catalog_sender },
        receipts.clone(),
    )?;
    let handle = Handle { inputs, next_id, node_status, catalog, receipts };
    Ok((exchange, handle, ServerQueues { commands, calls }))
}
