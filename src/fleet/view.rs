//! The view: which nodes belong, in numbered steps that change one node at a time. It is part of the store's map, so
//! each step is agreed on by a majority; whoever follows it does the same steps in the same order.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::replication::place::{Candidate, Field};
use crate::replication::slots::{MOST_COPIES, Slots, Terms};

/// Steps that are kept for those that follow; one that is further behind gets the whole view.
pub const KEPT: usize = 512;
/// Nodes of an installation at the most.
pub const MOST_NODES: usize = 2048;
/// Bytes of a name, a machine or a zone at the most.
pub const MOST_NAME: usize = 128;

/// A node as it asks to belong.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Applicant {
    /// Its name, of which there is one at a time.
    pub name: String,
    /// Where other nodes reach it, by datagram and connection.
    #[schemars(with = "String")]
    pub address: SocketAddr,
    /// What fails as one.
    pub machine: String,
    /// What is cut off as one.
    pub zone: String,
    /// A random word, made with its directory: the same one asks again under the same word.
    pub birth: u64,
    /// How many times as much as others it holds for others; 0 for nothing.
    #[serde(default)]
    pub weight: u8,
}

/// A node that belongs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// As it asked.
    pub applicant: Applicant,
    /// The number of the step with which it came. No two nodes, and no two lives of one, have the same.
    pub incarnation: u64,
}

/// A change that is asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// A node comes.
    Join {
        /// Which.
        node: Applicant,
        /// The incarnation under its name that is known to be gone.
        instead: Option<u64>,
    },
    /// A node goes in order.
    Leave {
        /// Its name.
        name: String,
        /// Which life of it.
        incarnation: u64,
    },
    /// A node is declared lost: whatever it held is gone.
    Lost {
        /// Its name.
        name: String,
        /// Which life of it.
        incarnation: u64,
    },
    /// The fleet keeps so many copies of keys.
    Copies(Terms),
    /// The holders to come of these slots have everything, as of these epochs.
    Settled(Vec<(u16, u64)>),
}

/// Why a change is not made.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum Refused {
    /// Another one has the name.
    #[error("{name} belongs already, as {incarnation} at {address}")]
    Taken {
        /// The name.
        name: String,
        /// The life that has it.
        incarnation: u64,
        /// Where it is.
        address: SocketAddr,
    },
    /// That life does not belong.
    #[error("{name} does not belong as {incarnation}")]
    Unknown {
        /// The name.
        name: String,
        /// The life that was meant.
        incarnation: u64,
    },
    /// There is room for no more.
    #[error("{MOST_NODES} nodes belong, and no more can")]
    Full,
    /// A name, machine or zone is empty or too long.
    #[error("'{0}' is empty, or over {MOST_NAME} bytes")]
    Name(String),
    /// So many copies cannot be kept.
    #[error("{0} copies of a key are not from 1 to {MOST_COPIES}")]
    Copies(u8),
}

/// One step from one view to the next.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The number of the view that it leads to.
    pub number: u64,
    /// Who goes: the name and the life.
    pub gone: Option<(String, u64)>,
    /// Whether it was declared lost.
    pub lost: bool,
    /// Who comes.
    pub come: Option<Node>,
    /// What else is changed.
    pub copies: Option<Copies>,
}

/// What a step changes of the copies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Copies {
    /// How many there are.
    Terms(Terms),
    /// Which slots have new holders for good.
    Settled(Vec<(u16, u64)>),
}

/// Which nodes belong.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    number: u64,
    nodes: BTreeMap<String, Node>,
    steps: VecDeque<Step>,
    slots: Slots,
    /// Those that have left and are needed still by those that come to hold what they held.
    leaving: BTreeMap<u64, Node>,
}

/// What one that follows lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Lacking {
    /// These steps, in order; none where it is level.
    Steps(Vec<Step>),
    /// The steps are not kept any more: the whole view.
    Whole(View),
}

/// Why steps cannot be done.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("step {found} does not follow view {at}")]
pub struct Gap {
    /// The view there is.
    pub at: u64,
    /// The step that came.
    pub found: u64,
}

impl View {
    /// Its number; 0 for the one that is empty.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// The nodes, by name.
    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.nodes.values()
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether none belongs.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// The node of a name.
    pub fn get(&self, name: &str) -> Option<&Node> {
        self.nodes.get(name)
    }

    /// Who holds which keys.
    pub fn slots(&self) -> &Slots {
        &self.slots
    }

    /// Those that have left and hand on what they held.
    pub fn leaving(&self) -> impl Iterator<Item = &Node> {
        self.leaving.values()
    }

    /// Whether that very life of a node belongs.
    pub fn has(&self, name: &str, incarnation: u64) -> bool {
        self.get(name).is_some_and(|node| node.incarnation == incarnation)
    }

    /// Whether a life that is gone was declared lost, as far as the steps that are kept go back.
    pub fn was_lost(&self, name: &str, incarnation: u64) -> Option<bool> {
        let meant =
            |step: &&Step| step.gone.as_ref().is_some_and(|(n, life)| n == name && *life == incarnation);
        self.steps.iter().find(meant).map(|step| step.lost)
    }

    /// Which life the node of a directory is in: the one that belongs here with its word, or else the last that the
    /// directory was used in, where this view is from before that one came. A life has the number of the view that it
    /// came with.
    pub fn life_of(&self, name: &str, birth: u64, last: Option<u64>) -> Option<u64> {
        let here = self.get(name).filter(|node| node.applicant.birth == birth);
        here.map(|node| node.incarnation).or_else(|| last.filter(|life| *life > self.number))
    }

    /// Makes a change, and says with which life a node has come. One that asks twice gets the same.
    ///
    /// # Errors
    /// Nothing is changed, for the reason given.
    pub fn change(&mut self, change: Change) -> Result<u64, Refused> {
        match change {
            Change::Join { node, instead } => self.join(node, instead),
            Change::Leave { name, incarnation } => self.take_out(name, incarnation, false),
            Change::Lost { name, incarnation } => self.take_out(name, incarnation, true),
            Change::Copies(terms) if !(1..=MOST_COPIES).contains(&terms.copies) => {
                Err(Refused::Copies(terms.copies))
            }
            Change::Copies(terms) if self.slots.terms() == Some(terms) => Ok(self.number),
            Change::Copies(terms) => Ok(self.step_copies(Copies::Terms(terms))),
            Change::Settled(settled) => Ok(self.settle(settled)),
        }
    }

    fn join(&mut self, applicant: Applicant, instead: Option<u64>) -> Result<u64, Refused> {
        let names = [&applicant.name, &applicant.machine, &applicant.zone];
        if let Some(bad) = names.into_iter().find(|name| name.is_empty() || name.len() > MOST_NAME) {
            return Err(Refused::Name(bad.clone()));
        }
        let there = self.get(&applicant.name);
        let gone = match there {
            Some(there) if there.applicant == applicant => return Ok(there.incarnation),
            // The same life may be found elsewhere.
            Some(there) if there.applicant.birth == applicant.birth || instead == Some(there.incarnation) => {
                Some((applicant.name.clone(), there.incarnation))
            }
            Some(there) => {
                return Err(Refused::Taken {
                    name: applicant.name,
                    incarnation: there.incarnation,
                    address: there.applicant.address,
                });
            }
            None if self.nodes.len() >= MOST_NODES => return Err(Refused::Full),
            None => None,
        };
        let number = self.number + 1;
        let come = Some(Node { applicant, incarnation: number });
        self.step(Step { number, gone, lost: false, come, copies: None });
        Ok(number)
    }

    fn step_copies(&mut self, copies: Copies) -> u64 {
        let number = self.number + 1;
        self.step(Step { number, gone: None, lost: false, come: None, copies: Some(copies) });
        number
    }

    /// What is of an earlier epoch, or settled already, is no step.
    fn settle(&mut self, mut settled: Vec<(u16, u64)>) -> u64 {
        let open = |(at, epoch): &(u16, u64)| {
            self.slots.get(*at).is_some_and(|slot| slot.epoch == *epoch && slot.pending.is_some())
        };
        settled.retain(open);
        if settled.is_empty() { self.number } else { self.step_copies(Copies::Settled(settled)) }
    }

    fn take_out(&mut self, name: String, incarnation: u64, lost: bool) -> Result<u64, Refused> {
        if !self.has(&name, incarnation) {
            return Err(Refused::Unknown { name, incarnation });
        }
        let gone = Some((name, incarnation));
        self.step(Step { number: self.number + 1, gone, lost, come: None, copies: None });
        Ok(incarnation)
    }

    fn step(&mut self, step: Step) {
        self.number = step.number;
        if let Some((name, _)) = &step.gone
            && let Some(node) = self.nodes.remove(name)
            && step.come.is_none()
            && !step.lost
        {
            self.leaving.insert(node.incarnation, node);
        }
        if let Some(node) = &step.come {
            self.nodes.insert(node.applicant.name.clone(), node.clone());
        }
        match &step.copies {
            Some(Copies::Terms(terms)) => self.slots.set_terms(*terms),
            Some(Copies::Settled(settled)) => _ = self.slots.settle(step.number, settled),
            None => {}
        }
        self.place(step.number);
        self.steps.push_back(step);
        if self.steps.len() > KEPT {
            self.steps.pop_front();
        }
    }

    /// Who holds what, now that others belong.
    fn place(&mut self, number: u64) {
        let candidates = self.nodes.values().map(|Node { applicant, incarnation }| Candidate {
            id: *incarnation,
            name: &applicant.name,
            weight: applicant.weight,
            machine: &applicant.machine,
            zone: &applicant.zone,
        });
        self.slots.turn_to(number, &Field::new(candidates));
        self.leaving.retain(|id, _| self.slots.need(*id));
    }

    /// What one that has the view of this number lacks, at most so many steps of it.
    pub fn since(&self, number: u64, most: usize) -> Lacking {
        let first = self.steps.front().map_or(self.number + 1, |step| step.number);
        if number + 1 < first {
            return Lacking::Whole(self.clone());
        }
        let lacking = self.steps.iter().filter(|step| step.number > number);
        Lacking::Steps(lacking.take(most).cloned().collect())
    }

    /// Does what another one has; older steps and views are passed over. Says whether anything was new.
    ///
    /// # Errors
    /// Something between is missing: nothing behind it is done.
    pub fn follow(&mut self, lacking: Lacking) -> Result<bool, Gap> {
        match lacking {
            Lacking::Whole(view) if view.number > self.number => {
                *self = view;
                Ok(true)
            }
            Lacking::Whole(_) => Ok(false),
            Lacking::Steps(steps) => {
                let before = self.number;
                for step in steps.into_iter().filter(|step| step.number > before) {
                    if step.number != self.number + 1 {
                        return Err(Gap { at: self.number, found: step.number });
                    }
                    self.step(step);
                }
                Ok(self.number > before)
            }
        }
    }
}
