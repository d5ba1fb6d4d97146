//! The core of a node: open requests, their runs and outcomes. It owns the decision module and carries out all of its
//! actions. The client side and the server side run as separate tasks and communicate only through the exchange.

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
mod operator_state;
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
pub use operator_state::{OperatorChange, OperatorReply, OperatorState, Role};
pub use types::{
    Anomaly, Answer, Call, Command, IncomingRequest, Input, NodeStatus, Origin, Reply, ReplyTo, TryId,
};

/// Capacity of the input queue; senders wait while it is full.
const INPUT_QUEUE_CAPACITY: usize = 4096;

/// Handle to an exchange, held by the client side and the server side.
#[derive(Clone)]
pub struct Handle {
    inputs: mpsc::Sender<Input>,
    next_id: Rc<Cell<u32>>,
    node_status: watch::Receiver<NodeStatus>,
    catalog: watch::Receiver<Rc<Catalog>>,
    receipts: Rc<Receipts>,
}

impl Handle {
    /// Allocates the identifier of a new request.
    pub fn new_id(&self) -> RequestId {
        next_request_id(&self.next_id)
    }

    /// Computes the age and the due time of a request that carries the time at which it was sent (`ts_ms`).
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

    /// Submits a request under the given identifier; its answer is sent to `reply`.
    pub async fn submit(&self, id: RequestId, request: IncomingRequest, reply: ReplyTo) {
        self.send(Input::Submit(id, request, reply)).await;
    }

    /// Sends any other input to the exchange.
    pub async fn send(&self, input: Input) {
        // Cannot fail: the exchange lives as long as the process.
        let _ = self.inputs.send(input).await;
    }

    /// The status of the node, now and whenever it changes.
    pub fn node_status(&self) -> watch::Receiver<NodeStatus> {
        self.node_status.clone()
    }

    /// The classes and tenants that requests can currently name.
    pub fn catalog(&self) -> Rc<Catalog> {
        self.catalog.borrow().clone()
    }
}

fn next_request_id(next_id: &Cell<u32>) -> RequestId {
    let id = RequestId(next_id.get());
    next_id.set(id.0.wrapping_add(1).max(1));
    id
}

/// Receiving ends of the queues from the exchange to the server side.
pub struct ServerQueues {
    /// Commands to the processor.
    pub commands: mpsc::UnboundedReceiver<Command>,
    /// Calls to the dependency.
    pub calls: mpsc::UnboundedReceiver<Call>,
}

/// Creates an exchange, its handle and the queues for the server side. The idempotency table stays within a fixed
/// fraction of `memory_bytes`.
///
/// # Errors
/// The decision module rejects the settings.
pub fn new(
    seed: u64,
    site: &Site,
    memory_bytes: usize,
) -> Result<(Exchange, Handle, ServerQueues), SettingsError> {
    let (inputs, input_receiver) = mpsc::channel(INPUT_QUEUE_CAPACITY);
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
        input_receiver,
        core::Outputs { to_processor, to_dependency, status_sender, catalog_sender },
        receipts.clone(),
    )?;
    let handle = Handle { inputs, next_id, node_status, catalog, receipts };
    Ok((exchange, handle, ServerQueues { commands, calls }))
}
