//! Emulated servers under one client: seeded, on a clock of its own. Every client is given the same calls.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};

/// What a failure costs beside times of a usual call, in the true mean cost.
const FAILURE: f64 = 10.0;
/// The part of its time after which a call fails.
const FAILS_AFTER: f64 = 0.2;
/// Spread of single calls (log), and mean work in ms.
const NOISE: f64 = 0.35;
const WORK_MS: f64 = 100.0;
/// The start of a server that is warm.
const LONG_AGO: f64 = -1e7;
/// A call that takes longer is worth nothing, in ms.
const AIM_MS: f64 = 300.0;

#[derive(Clone, Debug)]
pub struct Server {
    /// From when on it takes how much of a usual server's time.
    pub slow: Vec<(f64, f64)>,
    pub cores: f64,
    pub failing: f64,
    pub started: f64,
    pub warm_ms: f64,
    pub in_hand: u32,
}

impl Server {
    pub fn new(slow: f64) -> Self {
        Self {
            slow: vec![(f64::MIN, slow)],
            cores: 4.0,
            failing: 0.0,
            started: LONG_AGO,
            warm_ms: 15_000.0,
            in_hand: 0,
        }
    }

    /// When the process that serves at this moment started; the one before it was warm.
    pub fn start_at(&self, now: f64) -> f64 {
        if now < self.started { LONG_AGO } else { self.started }
    }

    /// Time for a unit of work at this moment, with one call more than are in hand.
    fn times(&self, now: f64) -> f64 {
        let slow = self.slow.iter().rev().find(|(from, _)| *from <= now).map_or(1.0, |(_, slow)| *slow);
        let warm = 0.22 + 0.78 * ((now - self.start_at(now)) / self.warm_ms).clamp(0.0, 1.0);
        slow / warm * (f64::from(self.in_hand + 1) / self.cores).max(1.0)
    }

    fn cost(&self, now: f64) -> f64 {
        self.times(now) + self.failing * FAILURE
    }
}

/// How a client chooses. Servers and calls have numbers.
pub trait Client {
    fn choose(&mut self, now: f64, call: usize, work: f64) -> usize;
    fn ended(&mut self, now: f64, server: &Server, at: usize, call: usize, ok: bool, took_ms: f64);
}

/// One call as every client is given it.
#[derive(Clone, Copy)]
struct Given {
    at: f64,
    work: f64,
    noise: f64,
    luck: f64,
}

/// What came of the calls of a time.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// For each call: when it came, what it was expected to cost, and whether it was answered well in its aim.
    pub calls: Vec<(f64, f64, bool)>,
    /// Times of calls that went well, in ms.
    pub took_ms: Vec<f64>,
}

impl Outcome {
    /// The part of the calls in a time that were worth something.
    pub fn worth(&self, from: f64, to: f64) -> f64 {
        let mut calls = self.calls.iter().filter(|(at, ..)| (from..to).contains(at)).peekable();
        assert!(calls.peek().is_some(), "calls in that time");
        let (mut good, mut all) = (0.0, 0.0);
        for (_, _, ok) in calls {
            good += f64::from(u8::from(*ok));
            all += 1.0;
        }
        good / all
    }
}

fn given(seed: u64, from: f64, to: f64, rate: f64) -> Vec<Given> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let gap = Exp::new(rate / 1000.0).expect("a rate");
    let work = LogNormal::new((WORK_MS).ln() - 0.08, 0.4).expect("a spread");
    let noise = LogNormal::new(-NOISE * NOISE / 2.0, NOISE).expect("a spread");
    let mut at = from;
    std::iter::from_fn(|| {
        at += gap.sample(&mut rng);
        let call = Given {
            at,
            work: work.sample(&mut rng),
            noise: noise.sample(&mut rng),
            luck: rng.random::<f64>(),
        };
        (at < to).then_some(call)
    })
    .collect()
}

/// An end that is to come.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct End {
    /// In ns, for an order.
    at: i64,
    call: usize,
    server: usize,
    ok: bool,
    took_ns: i64,
}

struct Play<'a> {
    servers: &'a mut [Server],
    ends: BinaryHeap<Reverse<End>>,
}

impl Play<'_> {
    /// Tells the client of all ends until then.
    fn finish(&mut self, client: &mut impl Client, until: f64) {
        while self.ends.peek().is_some_and(|Reverse(end)| end.at as f64 / 1e6 <= until) {
            let Some(Reverse(end)) = self.ends.pop() else { return };
            let server = &mut self.servers[end.server];
            server.in_hand -= 1;
            client.ended(end.at as f64 / 1e6, server, end.server, end.call, end.ok, end.took_ns as f64 / 1e6);
        }
    }

    fn begin(&mut self, call: usize, given: &Given, at: usize) -> (bool, f64) {
        let server = &mut self.servers[at];
        let ok = given.luck >= server.failing;
        let whole_ms = given.work * given.noise * server.times(given.at);
        let took_ms = if ok { whole_ms } else { whole_ms * FAILS_AFTER };
        server.in_hand += 1;
        let end = End {
            at: ((given.at + took_ms) * 1e6) as i64,
            call,
            server: at,
            ok,
            took_ns: (took_ms * 1e6) as i64,
        };
        self.ends.push(Reverse(end));
        (ok, took_ms)
    }
}

/// Gives a client the calls of a time, `rate` a second.
pub fn play(
    servers: &mut [Server],
    client: &mut impl Client,
    seed: u64,
    time: (f64, f64),
    rate: f64,
) -> Outcome {
    let mut outcome = Outcome::default();
    let mut play = Play { servers, ends: BinaryHeap::new() };
    for (n, given) in given(seed, time.0, time.1, rate).iter().enumerate() {
        play.finish(client, given.at);
        let at = client.choose(given.at, n, given.work);
        let cost = play.servers[at].cost(given.at);
        let (ok, took_ms) = play.begin(n, given, at);
        outcome.calls.push((given.at, cost, ok && took_ms <= AIM_MS));
        if ok {
            outcome.took_ms.push(took_ms);
        }
    }
    play.finish(client, f64::MAX);
    outcome
}
