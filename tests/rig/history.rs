//! What callers saw, and whether one register for each key could have shown it to them: a search over the orders that
//! the times of begin and end allow, after Wing and Gong, with the states that were tried remembered (Lowe).

use std::collections::{BTreeMap, HashSet};

/// What was asked of one key.
#[derive(Clone, Debug, PartialEq)]
pub enum Op {
    /// Set it to a value, which no other operation sets; only where it is at a version, if one is given.
    Set { value: u64, expect: Option<u64> },
    /// Read it.
    Get,
}

/// What came of it.
#[derive(Clone, Debug, PartialEq)]
pub enum Seen {
    /// It was set, at this version.
    Set(u64),
    /// It was not, since the key was at this version, 0 for one that is not there.
    Mismatch(u64),
    /// It had this value at this version, or nothing.
    Value(Option<(u64, u64)>),
    /// Nothing was done.
    Nothing,
    /// It may have been done, or may yet be.
    Unknown,
}

/// One operation of one caller, between two moments of one clock.
#[derive(Clone, Debug)]
pub struct Event {
    pub key: usize,
    pub op: Op,
    pub seen: Seen,
    pub began: u64,
    pub ended: u64,
}

/// A register: its value, and its version where that was seen.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Register {
    value: Option<u64>,
    /// At least this, and exactly this where it is known.
    version: u64,
    known: bool,
}

impl Register {
    /// The register behind an operation, where that could have seen what it saw.
    fn after(&self, event: &Event) -> Option<Self> {
        let at = |version: u64| if self.known { self.version == version } else { version > self.version };
        match (&event.op, &event.seen) {
            (Op::Set { value, expect }, Seen::Set(version)) => {
                let fits =
                    expect.is_none_or(|expect| if expect == 0 { self.value.is_none() } else { at(expect) });
                (fits && *version > self.version).then_some(Self {
                    value: Some(*value),
                    version: *version,
                    known: true,
                })
            }
            (Op::Set { value, expect }, Seen::Unknown) => {
                let fits =
                    expect.is_none_or(|expect| if expect == 0 { self.value.is_none() } else { at(expect) });
                fits.then_some(Self { value: Some(*value), version: self.version, known: false })
            }
            (Op::Set { expect, .. }, Seen::Mismatch(version)) => {
                let fits = *expect != Some(*version)
                    && if *version == 0 {
                        self.value.is_none()
                    } else {
                        self.value.is_some() && at(*version)
                    };
                fits.then(|| Self { version: (*version).max(self.version), known: true, value: self.value })
            }
            (Op::Get, Seen::Value(None)) => self.value.is_none().then(|| self.clone()),
            (Op::Get, Seen::Value(Some((value, version)))) => (self.value == Some(*value) && at(*version))
                .then_some(Self { value: Some(*value), version: *version, known: true }),
            _ => None,
        }
    }
}

/// The keys whose history no register could have shown.
pub fn violations(events: &[Event]) -> Vec<usize> {
    let mut keys: BTreeMap<usize, Vec<Event>> = BTreeMap::new();
    for event in events {
        let idle = event.seen == Seen::Nothing || (event.op == Op::Get && event.seen == Seen::Unknown);
        if !idle {
            keys.entry(event.key).or_default().push(event.clone());
        }
    }
    keys.into_iter().filter(|(_, events)| !is_linearizable(events)).map(|(key, _)| key).collect()
}

fn is_linearizable(events: &[Event]) -> bool {
    let mut events = events.to_vec();
    events.sort_by_key(|event| event.began);
    let all: Vec<u64> = vec![0; events.len().div_ceil(64)];
    let mut tried = HashSet::new();
    let mut stack = vec![(all, Register::default())];
    while let Some((done, register)) = stack.pop() {
        let is_done = |n: usize| done[n / 64] & (1 << (n % 64)) != 0;
        let open = || events.iter().enumerate().filter(|(n, _)| !is_done(*n));
        let certain = |event: &&Event| event.seen != Seen::Unknown;
        // Whatever comes next began before anything that is left has ended.
        let Some(first_end) = open().map(|(_, event)| event).filter(certain).map(|event| event.ended).min()
        else {
            return true;
        };
        for (n, event) in open().take_while(|(_, event)| event.began <= first_end) {
            if let Some(next) = register.after(event) {
                let mut done = done.clone();
                done[n / 64] |= 1 << (n % 64);
                if tried.insert((done.clone(), next.clone())) {
                    stack.push((done, next));
                }
            }
        }
    }
    false
}

/// Acknowledged writes of keys whose end no later read can account for: the last state that every caller must see is
/// older than a write that was acknowledged before any other write began that could have replaced it.
pub fn lost(events: &[Event], last: &BTreeMap<usize, Option<(u64, u64)>>) -> usize {
    let acknowledged = |key: usize| {
        events.iter().filter(move |event| event.key == key).filter_map(|event| match event.seen {
            Seen::Set(version) => Some(version),
            _ => None,
        })
    };
    let is_lost = |(key, now): &(&usize, &Option<(u64, u64)>)| {
        let newest = acknowledged(**key).max().unwrap_or(0);
        now.map_or(0, |(_, version)| version) < newest
    };
    last.iter().filter(is_lost).count()
}
