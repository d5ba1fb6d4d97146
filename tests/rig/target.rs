//! A stand-in for who takes the effects of duties: it guards itself, and notes all that comes.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng as _, SeedableRng};
use sillflow::lease::heartbeat::{Heartbeat, Reply};
use sillflow::lease::{DutyName, Fence, Guard, Stale};

use super::duties::{Broken, Seen, judge};
use super::fleet::STORE;
use super::schedule::{Fault, calm, draw, inflict};
use super::{PATIENCE, Rig, until};

/// The lease of nodes on the rig, in ms.
pub const LEASE_MS: u64 = 1500;

/// Nodes that one relay carries: with 200 it is busy all the time, and the store's members lose each other.
const MOST_RELAYED: usize = 120;

struct Inside {
    guard: Guard,
    heartbeats: Vec<(u64, Heartbeat, bool)>,
    /// Those that get no answer.
    muted: BTreeSet<String>,
    /// Processes that others of their nodes go on for.
    passed: Vec<(String, String)>,
}

/// The target, on threads of its own.
#[derive(Clone)]
pub struct Target {
    inside: Arc<Mutex<Inside>>,
    began: Instant,
    path: Option<PathBuf>,
}

impl Target {
    /// Listens there, and keeps its numbers in this file, if there is to be one.
    pub fn start(address: &str, path: Option<&Path>) -> Self {
        let listener = TcpListener::bind(address).expect("an address");
        let guard = path.map_or_else(Guard::new, |path| Guard::open(path).expect("a guard"));
        let inside = Inside { guard, heartbeats: Vec::new(), muted: BTreeSet::new(), passed: Vec::new() };
        let inside = Arc::new(Mutex::new(inside));
        let target = Self { inside, began: Instant::now(), path: path.map(Path::to_owned) };
        let served = target.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let served = served.clone();
                std::thread::spawn(move || served.serve(stream));
            }
        });
        target
    }

    fn serve(&self, mut stream: TcpStream) {
        let lines = BufReader::new(stream.try_clone().expect("a socket")).lines();
        for line in lines.map_while(Result::ok) {
            let heartbeat: Heartbeat = serde_json::from_str(&line).expect("a heartbeat");
            let by = heartbeat.by.clone();
            let reply = {
                let mut inside = self.inside.lock().expect("a lock");
                let admitted = inside.guard.admit(&heartbeat.fence);
                inside.heartbeats.push((self.now_ms(), heartbeat, admitted.is_ok()));
                let seen = match admitted {
                    Err(Stale::Lower { seen, .. }) => Some(seen),
                    _ => None,
                };
                Reply { taken: seen.is_none(), seen }
            };
            while self.inside.lock().expect("a lock").muted.contains(&by) {
                std::thread::sleep(Duration::from_millis(20));
            }
            let reply = serde_json::to_string(&reply).expect("a reply") + "\n";
            if stream.write_all(reply.as_bytes()).is_err() {
                return;
            }
        }
    }

    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// It has seen this number of a duty, as one has that outlived a store which was restored from a backup.
    pub fn saw(&self, duty: &str, number: u64) {
        let fence = Fence { duty: DutyName::new(duty).expect("a name"), number };
        self.inside.lock().expect("a lock").guard.admit(&fence).expect("it is higher");
    }

    /// Starts it again, with what it kept.
    pub fn restart(&self) {
        let path = self.path.as_deref().expect("it keeps what it saw");
        self.inside.lock().expect("a lock").guard = Guard::open(path).expect("it was kept");
    }

    /// Whoever this is gets no answer, or does again.
    pub fn mute(&self, by: &str, mute: bool) {
        let mut inside = self.inside.lock().expect("a lock");
        if mute {
            inside.muted.insert(by.to_owned());
        } else {
            inside.muted.remove(by);
        }
    }

    /// One process may go on under the numbers of another.
    pub fn passes(&self, from: &str, to: &str) {
        self.inside.lock().expect("a lock").passed.push((from.to_owned(), to.to_owned()));
    }

    /// All heartbeats, with when they came and whether they were taken.
    pub fn heartbeats(&self) -> Vec<(u64, Heartbeat, bool)> {
        self.inside.lock().expect("a lock").heartbeats.clone()
    }

    /// The duties that were acted under so far.
    pub fn acted(&self) -> BTreeSet<String> {
        let inside = self.inside.lock().expect("a lock");
        let taken = inside.heartbeats.iter().filter(|(_, _, taken)| *taken);
        taken.map(|(_, heartbeat, _)| heartbeat.fence.duty.as_str().to_owned()).collect()
    }

    /// The last heartbeat of a duty that was taken.
    pub fn last(&self, duty: &str) -> Option<(u64, Heartbeat)> {
        let inside = self.inside.lock().expect("a lock");
        let of = inside
            .heartbeats
            .iter()
            .rev()
            .find(|(_, heartbeat, taken)| *taken && heartbeat.fence.duty.as_str() == duty);
        of.map(|(at, heartbeat, _)| (*at, heartbeat.clone()))
    }

    /// What was seen. Where links to the target were cut or late, when an effect came says nothing of when it was begun,
    /// and one that turns nothing down has to be left out.
    pub fn seen(&self, links_whole: bool) -> Vec<Seen> {
        let number = |by: &str| by.bytes().fold(0u64, |sum, byte| sum.wrapping_mul(257) + u64::from(byte));
        let passed = self.inside.lock().expect("a lock").passed.clone();
        let passed = passed.iter().map(|(from, to)| Seen::Passed { from: number(from), to: number(to) });
        let mut seen: Vec<Seen> = passed.collect();
        for (at_ms, Heartbeat { fence, by, .. }, taken) in self.heartbeats() {
            let by = number(&by);
            if links_whole || taken {
                seen.push(Seen::Begun { at_ms, fence: fence.clone(), by });
            }
            seen.push(Seen::Came { at_ms, fence, by, taken });
        }
        seen
    }

    /// Waits until somebody acts under a higher number than this one, and says when its first effect was taken.
    pub fn follows(&self, duty: &str, number: u64) -> (u64, Heartbeat) {
        self.first("somebody else acts", |heartbeat| {
            heartbeat.fence.duty.as_str() == duty && heartbeat.fence.number > number
        })
    }

    /// Waits for the first effect that is like this, and says when it was taken.
    pub fn first(&self, what: &str, like: impl Fn(&Heartbeat) -> bool) -> (u64, Heartbeat) {
        let mut found = None;
        until(what, PATIENCE, || {
            found = self.heartbeats().into_iter().find(|(_, heartbeat, taken)| *taken && like(heartbeat));
            found.is_some()
        });
        found.map(|(at, heartbeat, _)| (at, heartbeat)).expect("a heartbeat")
    }
}

/// The process that heartbeats.
pub fn node_of(heartbeat: &Heartbeat) -> usize {
    let name = heartbeat.by.split('/').next().unwrap_or_default();
    name[1..].parse().expect("a number")
}

impl Rig {
    /// A fleet of so many whose duties heartbeat at a target, which has the number after theirs. It is returned when each duty
    /// was acted under, and all have a session.
    pub fn dutiful(count: usize, duties: &[&str]) -> (Self, Target) {
        let duties: Vec<String> = duties.iter().map(|duty| (*duty).to_owned()).collect();
        let table = format!("lease_ms = {LEASE_MS}\nstill = 8\ncold_ms = 0\n");
        Self::with_duties(count, &duties, &table, 20, true)
    }

    /// The same with such a table and so much time between two heartbeats; the target keeps what it has seen, or does not.
    pub fn with_duties(
        count: usize,
        duties: &[String],
        table: &str,
        every_ms: u64,
        kept: bool,
    ) -> (Self, Target) {
        // One more, for another process of a node.
        let mut rig = if count > MOST_RELAYED { Self::direct(count + 2) } else { Self::new(count + 2) };
        let path = rig.dir.join("guard");
        let target = Target::start(&rig.address(count + 1), kept.then_some(path.as_path()));
        let address = rig.relayed(count + 1);
        let mut table = format!("[duties]\n{table}");
        for duty in duties {
            table +=
                &format!("[[duties.beats]]\nname = {duty:?}\naddress = {address:?}\nevery_ms = {every_ms}\n");
        }
        for n in 1..=count {
            let file = rig.fleet_table(n, n % 3) + &table;
            rig.hold(n);
            rig.start_with(n, &file, "");
            if n == STORE {
                rig.led(&(1..=STORE).collect::<Vec<_>>());
            }
        }
        until("each duty is acted under", PATIENCE * 4, || {
            let acted = target.acted();
            duties.iter().all(|duty| acted.contains(duty.as_str()))
        });
        (1..=count).for_each(|n| rig.in_session(n));
        (rig, target)
    }

    /// Faults and upgrades drawn from a seed, half of them done to a node that holds something; then all is well, and each duty is acted
    /// under again. Returns what broke. The faults are those that were drawn; whom they met depends on who held what.
    pub fn drawn(seed: u64, count: usize, duties: &[&str]) -> Vec<Broken> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (mut rig, target) = Self::dutiful(count, duties);
        let all: Vec<usize> = (1..=count).collect();
        let (mut stopped, mut halted) = (false, BTreeSet::new());
        for _ in 0..rng.random_range(5..10) {
            let duty = duties.choose(&mut rng).expect("a duty");
            let holder = target.last(duty).map_or(1, |(_, heartbeat)| node_of(&heartbeat));
            let two = vec![holder, holder % count + 1];
            let these = if rng.random() { &two } else { &all };
            let fault = match rng.random_range(0..6) {
                0 => Some(Fault::Drain(these[0])),
                // Another process of it takes over.
                1 => None,
                _ => Some(draw(&mut rng, these)),
            };
            println!("seed {seed}: {duty} is at {holder}; {fault:?}");
            match &fault {
                Some(Fault::Stop(n)) => _ = halted.insert(*n),
                Some(Fault::Go(n) | Fault::Kill(n) | Fault::Drain(n)) => _ = halted.remove(n),
                _ => {}
            }
            stopped |= !halted.is_empty();
            let upgraded = fault.is_none() && rig.runs(holder) && !halted.contains(&holder);
            match fault {
                Some(fault) => inflict(&mut rig, &all, &fault),
                None if upgraded => {
                    let process = |rig: &Rig| format!("n{holder}/{}", rig.pid(holder));
                    let before = process(&rig);
                    rig.follow(holder);
                    target.passes(&before, &process(&rig));
                    rig.upgrade(holder);
                }
                None => {}
            }
            std::thread::sleep(Duration::from_millis(rng.random_range(100..2 * LEASE_MS)));
            if upgraded {
                rig.upgraded(holder);
            }
        }
        calm(&mut rig, &all);
        let calm = target.now_ms();
        for duty in duties {
            until("each is acted under again", PATIENCE * 2, || {
                target.last(duty).is_some_and(|(at, _)| at > calm)
            });
        }
        // What one that is stopped was about to send when it was may come late: the target turns it down.
        judge(&target.seen(!stopped))
    }

    /// Waits until a node has a session.
    pub fn in_session(&self, n: usize) {
        until("it has a session", PATIENCE * 4, || {
            let duties = self.seen(n).and_then(|seen| seen.duties);
            duties.is_some_and(|duties| duties.session.is_some())
        });
    }

    /// Which node holds each duty, as the nodes say.
    pub fn duties_of(&self, these: &[usize]) -> BTreeMap<String, usize> {
        let of = |n: &usize| {
            let duties = self.seen(*n).and_then(|seen| seen.duties).unwrap_or_default();
            duties.held.into_iter().map(|shown| (shown.duty.as_str().to_owned(), *n)).collect::<Vec<_>>()
        };
        these.iter().flat_map(of).collect()
    }
}
