//! Which nodes hold a slot: weighted rendezvous hashing (Thaler, Ravishankar 1998), in different zones and on different
//! machines while there are such. It is part of what the store's members agree on, so it counts in whole numbers alone:
//! the same on every machine.

/// A node that may hold copies.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The life that is meant.
    pub id: u64,
    /// Its name, by which it is chosen: a new life of a node takes the place of the one before.
    pub name: &'a str,
    /// How many times as much as others it holds; 0 for nothing.
    pub weight: u8,
    /// What fails as one with it.
    pub machine: &'a str,
    /// What is cut off as one with it.
    pub zone: &'a str,
}

/// All of them.
pub struct Field<'a> {
    candidates: Vec<(u64, Candidate<'a>)>,
}

/// Mixes the bits of a number (splitmix64's finalizer, Steele, Lea, Flood 2014).
pub(crate) fn mix(mut word: u64) -> u64 {
    word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}

/// The first word of a name's digest.
pub(crate) fn hash(name: &str) -> u64 {
    let mut first = [0; 8];
    blake3::Hasher::new().update(name.as_bytes()).finalize_xof().fill(&mut first);
    u64::from_le_bytes(first)
}

/// A node of weight w draws as often as w nodes would, and the best draw counts.
fn score(name: u64, weight: u8, slot: u16) -> u64 {
    let draw = |turn: u8| mix(name ^ mix((u64::from(slot) << 8) + u64::from(turn) + 1));
    (0..weight).map(draw).max().unwrap_or(0)
}

impl<'a> Field<'a> {
    /// Those of weight.
    pub fn new(candidates: impl Iterator<Item = Candidate<'a>>) -> Self {
        let weighty = candidates.filter(|candidate| candidate.weight > 0);
        Self { candidates: weighty.map(|candidate| (hash(candidate.name), candidate)).collect() }
    }

    /// The holders of a slot by number: as many as there may be of different zones, then of different machines, then any.
    pub fn choose(&self, slot: u16, copies: u8) -> Vec<u64> {
        let scored: Vec<(u64, &Candidate)> = self
            .candidates
            .iter()
            .map(|(name, candidate)| (score(*name, candidate.weight, slot), candidate))
            .collect();
        let mut chosen: Vec<&Candidate> = Vec::with_capacity(copies.into());
        let rules: [fn(&Candidate, &Candidate) -> bool; 3] =
            [|a, b| a.zone == b.zone, |a, b| a.machine == b.machine, |a, b| a.id == b.id];
        for alike in rules {
            while chosen.len() < copies.into() {
                let fit = scored.iter().filter(|(_, one)| !chosen.iter().any(|other| alike(one, other)));
                let Some((_, best)) = fit.max_by_key(|(score, one)| (*score, one.id)) else { break };
                chosen.push(best);
            }
        }
        let mut ids: Vec<u64> = chosen.iter().map(|one| one.id).collect();
        ids.sort_unstable();
        ids
    }
}
