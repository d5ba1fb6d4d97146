//! Whether a node holds a duty, by the store's word. What a node says of itself proves nothing: one that lies could name
//! any number, and whoever goes by the highest would follow it for ever. So who is told of a holder under a number that
//! it has not gone by before asks a member of the store first.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::time::timeout;

use super::DutyName;
use super::table::Table;
use crate::fault_injection::{self, InjectedFault};
use crate::store::{Answer, Query, ask_from};

/// How long one member may take to answer.
const PATIENCE: Duration = Duration::from_millis(500);

/// What the store knows of a node's word that it holds a duty under a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Vouched {
    /// It does, or may still act under it.
    Holds,
    /// It does not: the number was another's, or is over.
    Not,
    /// No such number was given yet, as far as this member has heard.
    Unknown,
}

/// Why a node's word that it holds a duty is not gone by.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Unproved {
    /// The number was another's, or is over.
    #[error("the store says that it does not")]
    Not,
    /// No such number was given, as far as those members have heard that answer.
    #[error("the store has given no such number")]
    Unknown,
    /// No member answers; why the last one does not.
    #[error("the store is not heard: {0}")]
    Unheard(String),
}

impl Table {
    /// What this member knows of a node's word that it holds a duty under a number.
    pub fn vouch(&self, duty: &DutyName, number: u64, node: &str) -> Vouched {
        let Some(there) = self.duty(duty).filter(|there| there.number >= number) else {
            return Vouched::Unknown;
        };
        let holder = there.state.holder().and_then(|session| self.session(session));
        if there.number == number && holder.is_some_and(|holder| holder.node == node) {
            Vouched::Holds
        } else {
            Vouched::Not
        }
    }
}

/// Asks the members of the store about one duty.
#[derive(Clone, Debug)]
pub struct Voucher {
    /// The duty.
    pub duty: DutyName,
    /// The members.
    pub members: Vec<SocketAddr>,
    /// The address that it asks from.
    pub from: IpAddr,
}

impl Voucher {
    /// Whether a node holds the duty under a number, by the word of the members.
    ///
    /// # Errors
    /// It does not, or that is not known.
    pub async fn proves(&self, number: u64, node: &str) -> Result<(), Unproved> {
        match self.ask(number, node).await {
            Ok(Vouched::Holds) => Ok(()),
            Ok(Vouched::Not) => Err(Unproved::Not),
            Ok(Vouched::Unknown) => Err(Unproved::Unknown),
            Err(problem) => Err(Unproved::Unheard(problem)),
        }
    }

    /// Asks the members in turn, from one drawn at random on, until one knows: a member that lags has not heard of the
    /// latest number, so its word counts only where no other answers.
    async fn ask(&self, number: u64, node: &str) -> Result<Vouched, String> {
        if fault_injection::is_active(InjectedFault::HolderUnproved) {
            return Ok(Vouched::Holds);
        }
        let query = Query::Holds { duty: self.duty.clone(), number, node: node.to_owned() };
        let first = rand::rng().random_range(0..self.members.len().max(1));
        let mut told = Err("no member of the store is named".to_owned());
        for turn in 0..self.members.len() {
            let member = self.members[(first + turn) % self.members.len()];
            match timeout(PATIENCE, ask_from(&member.to_string(), self.from, query.clone())).await {
                Ok(Ok(Answer::Holds(Vouched::Unknown))) => told = Ok(Vouched::Unknown),
                Ok(Ok(Answer::Holds(vouched))) => return Ok(vouched),
                Ok(Ok(other)) => told = told.or(Err(format!("{member}: {other:?}"))),
                Ok(Err(problem)) => told = told.or(Err(format!("{member}: {problem}"))),
                Err(_) => told = told.or(Err(format!("{member} does not answer in {PATIENCE:?}"))),
            }
        }
        told
    }
}
