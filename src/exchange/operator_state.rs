//! What operators have asked of the node, and which of its processes decides on it. While several processes of a node
//! live, the serving one alone applies calls of operators; the others forward them to it and follow its state.

use log::info;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use super::core::Exchange;

/// The place of a process among the processes of its node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Another process serves; this one waits for its turn.
    Waiting,
    /// It serves, or is the only process.
    #[default]
    Serving,
    /// It has handed over to the next process, and finishes the requests that it has open.
    HandedOver,
}

/// What operators have asked of the node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorState {
    /// Whether standby is set, over the admin interface of any process of the node.
    pub standby: bool,
    /// Whether maintenance is set in the store.
    pub maintenance: bool,
}

impl OperatorState {
    /// Whether clients are to be kept away.
    pub fn is_away(self) -> bool {
        self.standby || self.maintenance
    }
}

/// A change of that state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorChange {
    /// Standby is set or ended.
    Standby(bool),
    /// Maintenance is set or ended.
    Maintenance(bool),
}

/// What became of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorReply {
    /// It is in force for the node.
    InForce,
    /// This process does not serve, and has changed nothing.
    NotServing,
}

impl Exchange {
    /// Applies a change for the node, if this process serves. While it does not, the serving process would not learn
    /// of it, and a hand-over would undo it.
    pub(super) fn change_operator_state(
        &mut self,
        change: OperatorChange,
        reply: oneshot::Sender<OperatorReply>,
    ) {
        let outcome = match self.node_status.role {
            Role::Serving => {
                self.apply_operator_change(change);
                OperatorReply::InForce
            }
            Role::Waiting | Role::HandedOver => OperatorReply::NotServing,
        };
        // Fails only if the caller has stopped waiting.
        let _ = reply.send(outcome);
    }

    fn apply_operator_change(&mut self, change: OperatorChange) {
        let state = &mut self.node_status.operator;
        match change {
            OperatorChange::Standby(requested) => {
                info!("standby {}", word(requested));
                state.standby = requested;
            }
            OperatorChange::Maintenance(requested) => {
                // The store tells it anew in each process, also where the hand-over has told it.
                if state.maintenance != requested {
                    info!("maintenance {}", word(requested));
                }
                state.maintenance = requested;
            }
        }
        self.update_status();
    }

    /// Takes over the state of the serving process. The own state counts from the moment this one serves.
    pub(super) fn follow_operator_state(&mut self, state: OperatorState) {
        if self.node_status.role == Role::Serving || self.node_status.operator == state {
            return;
        }
        let OperatorState { standby, maintenance } = state;
        info!("the process that serves has standby {}, maintenance {}", word(standby), word(maintenance));
        self.node_status.operator = state;
        self.update_status();
    }
}

fn word(requested: bool) -> &'static str {
    if requested { "on" } else { "off" }
}
