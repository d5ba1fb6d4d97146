//! The generators of a day. Each request, run and call has one of its own, and so have arrivals and new settings: how often
//! the stand-ins look, and in which order they meet what happens at once, changes none of what is drawn.

use std::hash::{DefaultHasher, Hash, Hasher};

use fastrand::Rng;

/// What is drawn for one request.
#[derive(Clone, Copy, Hash)]
enum Kind {
    Request,
    Run,
    Call,
}

/// Sets the generator of new settings apart from that of arrivals.
const SETTINGS: u64 = 0x7365_7474;

pub struct Draws {
    seed: u64,
    pub arrivals: Rng,
    pub settings: Rng,
}

impl Draws {
    pub fn new(seed: u64) -> Self {
        Self { seed, arrivals: Rng::with_seed(seed), settings: Rng::with_seed(seed ^ SETTINGS) }
    }

    /// What the request of this number is like.
    pub fn of_request(&self, number: u64) -> Rng {
        self.generator(Kind::Request, number)
    }

    /// What the run of a request does.
    pub fn of_run(&self, of: &str) -> Rng {
        self.generator(Kind::Run, of)
    }

    /// What the call of a request does.
    pub fn of_call(&self, of: &str) -> Rng {
        self.generator(Kind::Call, of)
    }

    fn generator(&self, kind: Kind, of: impl Hash) -> Rng {
        let mut hasher = DefaultHasher::new();
        (self.seed, kind, of).hash(&mut hasher);
        Rng::with_seed(hasher.finish())
    }
}
