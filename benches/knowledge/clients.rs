//! Those who choose: the pool of this project, and the plain ways it is held against.

use std::collections::HashMap;
use std::net::SocketAddr;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sillflow::route::{CallEnd, CallEndKind, Choice, Options, Pool, Spec};
use sillflow::server_stats::{Digest, StartReport};

use crate::world::{Client, Server};

pub fn address(at: usize) -> SocketAddr {
    SocketAddr::from(([127, (at >> 16) as u8 + 1, (at >> 8) as u8, at as u8], 7000))
}

pub fn specs(count: usize) -> Vec<Spec> {
    (0..count).map(|at| Spec { address: address(at), zone: String::new(), weight: 1.0 }).collect()
}

/// The project's pool.
pub struct Routed {
    pub pool: Pool,
    rng: SmallRng,
    open: HashMap<usize, Choice>,
    known: Vec<SocketAddr>,
}

impl Routed {
    pub fn new(now: f64, count: usize, seed: u64) -> Self {
        Self {
            pool: Pool::new(now, Options::default(), &specs(count)),
            rng: SmallRng::seed_from_u64(seed ^ 0x51),
            open: HashMap::new(),
            known: (0..count).map(address).collect(),
        }
    }

    pub fn told(mut self, now: f64, digests: &[Digest]) -> Self {
        for digest in digests {
            digest.check().expect("a digest in form");
            self.pool.merge_digest(now, digest);
        }
        self
    }
}

impl Client for Routed {
    fn choose(&mut self, now: f64, call: usize, work: f64) -> usize {
        let choice = self.pool.choose(now, work, true, &[], &mut self.rng).expect("room");
        let at = self.known.iter().position(|known| *known == choice.address).expect("a server of the pool");
        self.open.insert(call, choice);
        at
    }

    fn ended(&mut self, now: f64, server: &Server, _: usize, call: usize, ok: bool, took_ms: f64) {
        let choice = self.open.remove(&call).expect("an open call");
        let started = server.start_at(now);
        let run = Some(StartReport { incarnation: Some(started.to_bits()), up_ms: Some(now - started) });
        let kind = if ok { CallEndKind::Served } else { CallEndKind::Failed };
        self.pool.finish_call(now, &choice, &CallEnd { kind, took_ms, run });
    }
}

/// The plain ways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Way {
    RoundRobin,
    LeastInHand,
    PowerOfTwo,
}

pub struct Plain {
    way: Way,
    next: usize,
    in_hand: Vec<u32>,
    rng: SmallRng,
}

impl Plain {
    pub fn new(way: Way, count: usize, seed: u64) -> Self {
        Self { way, next: 0, in_hand: vec![0; count], rng: SmallRng::seed_from_u64(seed ^ 0x52) }
    }
}

impl Client for Plain {
    fn choose(&mut self, _: f64, _: usize, _: f64) -> usize {
        let count = self.in_hand.len();
        self.next = (self.next + 1) % count;
        let at = match self.way {
            Way::RoundRobin => self.next,
            // Ties go round, so that the first is not worn out.
            Way::LeastInHand => {
                (0..count).map(|i| (self.next + i) % count).min_by_key(|i| self.in_hand[*i]).expect("servers")
            }
            Way::PowerOfTwo => {
                let (a, b) = (self.rng.random_range(..count), self.rng.random_range(..count));
                if self.in_hand[a] <= self.in_hand[b] { a } else { b }
            }
        };
        self.in_hand[at] += 1;
        at
    }

    fn ended(&mut self, _: f64, _: &Server, at: usize, _: usize, _: bool, _: f64) {
        self.in_hand[at] -= 1;
    }
}
