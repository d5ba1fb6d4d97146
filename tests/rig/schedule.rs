//! A play of faults and callers over the members of a store, drawn from a seed: what it does is printed, and the same
//! seed draws the same.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use sillflow::store::{Answer, Change, Query, ask};

use super::history::{Event, Op, Seen, lost, violations};
use super::{Rig, until, wait};

/// What is done to the members.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// One side cannot hear the other.
    Split(Vec<usize>),
    /// What one sends to the other does not come.
    OneWay(usize, usize),
    /// A link comes late.
    Delay(usize, usize, u64),
    /// A link breaks again and again.
    Flap(usize, usize),
    Heal,
    Kill(usize),
    /// It is told to go, and has gone.
    Drain(usize),
    Stop(usize),
    Go(usize),
    /// Its disk is gone, and it begins anew.
    Wipe(usize),
    /// Its file is as it was when the play began.
    RollBack(usize, bool),
    /// Starts what was killed.
    Restart,
}

/// A drawn play.
#[derive(Clone, Debug)]
pub struct Play {
    pub seed: u64,
    pub members: usize,
    pub faults: Vec<(u64, Fault)>,
}

/// How long faults are done, in ms, and how many of them.
const FAULTS_MS: u64 = 4000;
const FAULTS: usize = 7;
/// How long callers go on once the members serve again.
const AFTER: Duration = Duration::from_millis(500);
const CALLERS: usize = 4;
const KEYS: usize = 5;

impl Play {
    /// Draws a play for so many members. A disk is lost in every second one, never more than leave a majority.
    pub fn draw(seed: u64, members: usize) -> Self {
        let rng = &mut SmallRng::seed_from_u64(seed);
        let all: Vec<usize> = (1..=members).collect();
        let mut times: Vec<u64> = (0..FAULTS).map(|_| rng.random_range(0..FAULTS_MS)).collect();
        times.sort_unstable();
        let mut faults: Vec<(u64, Fault)> = times.into_iter().map(|at| (at, draw(rng, &all))).collect();
        let lossy = seed % 2 == 0;
        for n in all.choose_multiple(rng, if lossy { (members - 1) / 2 } else { 0 }) {
            let at = rng.random_range(500..FAULTS_MS);
            let fault = match rng.random_range(0..3) {
                0 => Fault::RollBack(*n, rng.random()),
                _ => Fault::Wipe(*n),
            };
            faults.push((at, fault));
        }
        faults.sort_by_key(|(at, _)| *at);
        Self { seed, members, faults }
    }
}

/// Draws what is done to two of these.
pub fn draw(rng: &mut SmallRng, all: &[usize]) -> Fault {
    let two: Vec<usize> = all.choose_multiple(rng, 2).copied().collect();
    let (one, other) = (two[0], two[1]);
    match rng.random_range(0..10) {
        0 => Fault::Split(all.choose_multiple(rng, all.len() / 2).copied().collect()),
        1 => Fault::OneWay(one, other),
        2 => Fault::Delay(one, other, rng.random_range(20..400)),
        3 => Fault::Flap(one, other),
        4 => Fault::Heal,
        5 => Fault::Stop(one),
        6 => Fault::Go(one),
        7 => Fault::Restart,
        _ => Fault::Kill(one),
    }
}

/// What came of a play.
#[derive(Debug)]
pub struct Outcome {
    pub violations: Vec<usize>,
    pub lost: usize,
    pub acknowledged: usize,
    /// Time from the end of the last fault until a write was acknowledged again.
    pub serves_after: Duration,
    pub events: Vec<Event>,
}

/// Does a play to members that are formed for it.
pub fn play(play: &Play) -> (Outcome, Rig) {
    let mut rig = Rig::new(play.members);
    rig.form(play.members);
    let all: Vec<usize> = (1..=play.members).collect();
    all.iter().for_each(|n| rig.copy(*n, &format!("before-{n}")));
    let clock = Instant::now();
    let (over, events) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
    let addresses: Vec<String> = all.iter().map(|n| rig.address(*n)).collect();
    let values = Arc::new(AtomicU64::new(1));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let rng = SmallRng::seed_from_u64(play.seed ^ (caller as u64 + 1) << 32);
            let caller = Caller { rng, addresses: addresses.clone(), values: values.clone(), clock };
            let (over, events) = (over.clone(), events.clone());
            std::thread::spawn(move || caller.call(&over, &events))
        })
        .collect();
    for (at, fault) in &play.faults {
        std::thread::sleep(Duration::from_millis(*at).saturating_sub(clock.elapsed()));
        inflict(&mut rig, &all, fault);
    }
    calm(&mut rig, &all);
    let serves_after = until("writes are acknowledged", Duration::from_secs(40), || {
        rig.set(all[0], "probe", "again").is_ok() || rig.set(all[1], "probe", "again").is_ok()
    });
    std::thread::sleep(AFTER);
    over.store(true, SeqCst);
    callers.into_iter().for_each(|caller| caller.join().expect("a caller"));
    let mut events = std::mem::take(&mut *events.lock().expect("a lock"));
    let last = read_all(&rig, all[1], clock, &mut events);
    let outcome = Outcome {
        violations: violations(&events),
        lost: lost(&events, &last),
        acknowledged: events.iter().filter(|event| matches!(event.seen, Seen::Set(_))).count(),
        serves_after,
        events,
    };
    (outcome, rig)
}

/// Does it.
pub fn inflict(rig: &mut Rig, all: &[usize], fault: &Fault) {
    match fault {
        Fault::Split(these) => {
            let those: Vec<usize> = all.iter().copied().filter(|n| !these.contains(n)).collect();
            rig.relay.split(these, &those);
        }
        Fault::OneWay(from, to) => rig.relay.link(*from, *to, |link| link.cut = true),
        Fault::Delay(from, to, ms) => rig.relay.both(*from, *to, |link| link.delay_ms = *ms),
        Fault::Flap(one, other) => {
            for _ in 0..5 {
                rig.relay.both(*one, *other, |link| link.broken += 1);
                std::thread::sleep(Duration::from_millis(40));
            }
        }
        Fault::Heal => rig.relay.heal(),
        Fault::Kill(n) => rig.kill(*n),
        Fault::Drain(n) if rig.runs(*n) => {
            rig.signal(*n, "-CONT");
            rig.signal(*n, "-TERM");
            rig.left(*n);
        }
        Fault::Drain(_) => {}
        Fault::Stop(n) => rig.signal(*n, "-STOP"),
        Fault::Go(n) => rig.signal(*n, "-CONT"),
        Fault::Wipe(n) => {
            rig.kill(*n);
            rig.wipe(*n);
            rig.again(*n);
        }
        Fault::RollBack(n, in_place) => {
            rig.kill(*n);
            rig.put_back(*n, &format!("before-{n}"), *in_place);
            rig.again(*n);
        }
        Fault::Restart => {
            let down: Vec<usize> = all.iter().copied().filter(|n| !rig.runs(*n)).collect();
            down.iter().for_each(|n| rig.again(*n));
        }
    }
}

/// Everything passes again, and everybody runs.
pub fn calm(rig: &mut Rig, all: &[usize]) {
    inflict(rig, all, &Fault::Heal);
    all.iter().for_each(|n| rig.signal(*n, "-CONT"));
    inflict(rig, all, &Fault::Restart);
}

/// Reads every key as it stands at the end.
fn read_all(
    rig: &Rig,
    at: usize,
    clock: Instant,
    events: &mut Vec<Event>,
) -> BTreeMap<usize, Option<(u64, u64)>> {
    let mut last = BTreeMap::new();
    for key in 0..KEYS {
        let mut event = Event { key, op: Op::Get, seen: Seen::Unknown, began: micros(clock), ended: 0 };
        until("a read is answered", Duration::from_secs(20), || {
            event.seen = once(&rig.address(at), key, &Op::Get);
            matches!(event.seen, Seen::Value(_))
        });
        event.ended = micros(clock);
        if let Seen::Value(now) = event.seen {
            last.insert(key, now);
        }
        events.push(event);
    }
    last
}

fn micros(clock: Instant) -> u64 {
    clock.elapsed().as_micros() as u64
}

struct Caller {
    rng: SmallRng,
    addresses: Vec<String>,
    values: Arc<AtomicU64>,
    clock: Instant,
}

impl Caller {
    fn call(mut self, over: &AtomicBool, events: &Mutex<Vec<Event>>) {
        let mut versions = [None; KEYS];
        while !over.load(SeqCst) {
            let key = self.rng.random_range(0..KEYS);
            let value = self.values.fetch_add(1, SeqCst);
            let op = match self.rng.random_range(0..10) {
                0..4 => Op::Get,
                4..8 => Op::Set { value, expect: None },
                _ => Op::Set { value, expect: versions[key].or(Some(0)) },
            };
            let address = self.addresses.choose(&mut self.rng).expect("members");
            let began = micros(self.clock);
            let seen = once(address, key, &op);
            match &seen {
                Seen::Set(version) | Seen::Mismatch(version) => versions[key] = Some(*version),
                Seen::Value(now) => versions[key] = now.map(|(_, version)| version),
                _ => {}
            }
            let event = Event { key, op, seen, began, ended: micros(self.clock) };
            events.lock().expect("a lock").push(event);
            std::thread::sleep(Duration::from_millis(self.rng.random_range(5..40)));
        }
    }
}

/// One operation, over a connection of its own.
pub fn once(address: &str, key: usize, op: &Op) -> Seen {
    let name = format!("k{key}");
    let query = match op {
        Op::Get => Query::Read { prefix: name.clone(), local: false },
        Op::Set { value, expect } => {
            Query::Change(Change { key: name.clone(), value: Some(value.to_string()), expect: *expect })
        }
    };
    match wait(ask(address, query)) {
        Ok(Answer::Changed(outcome)) if outcome.changed => Seen::Set(outcome.version),
        Ok(Answer::Changed(outcome)) if outcome.denied.is_none() => Seen::Mismatch(outcome.version),
        Ok(Answer::Contents { entries, .. }) => {
            let now = entries.get(&name);
            Seen::Value(now.map(|now| (now.value.parse().expect("a number"), now.version)))
        }
        Ok(Answer::NotDone(_) | Answer::Changed(_)) => Seen::Nothing,
        // A connection that is refused has carried nothing.
        Err(problem) if problem.kind() == std::io::ErrorKind::ConnectionRefused => Seen::Nothing,
        _ => Seen::Unknown,
    }
}
