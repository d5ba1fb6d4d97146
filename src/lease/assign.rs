//! Who gets which duty: those below their share first, then those below it rounded up, and among these the best draw of a
//! rendezvous (Thaler, Ravishankar 1998) under a bound of load (Mirrokni, Thorup, Zadimoghaddam 2018). What is held stays
//! where it is but for what a node lacks to its share, and what one has over its share rounded up. Whole numbers only: the
//! store's members must come to the same.

use std::collections::BTreeMap;

use crate::replication::place::{hash, mix};

/// The number of a node's name or a duty's, for the draw.
pub fn draw_of(name: &str) -> u64 {
    hash(name)
}

/// A node that may be given duties.
#[derive(Clone, Debug)]
struct Seat {
    draw: u64,
    weight: u64,
    load: u64,
    /// Whether it takes no more by a move, or gives none, in this turn.
    full: bool,
    kept: bool,
}

/// All of them, by the ids of their sessions.
#[derive(Clone, Debug, Default)]
pub struct Field {
    seats: BTreeMap<u64, Seat>,
    weight: u64,
    duties: u64,
}

impl Field {
    /// No node, and so many duties that are to be held.
    pub fn new(duties: usize) -> Self {
        Self { duties: duties as u64, ..Self::default() }
    }

    /// A node that may be given duties, in proportion to its weight.
    pub fn seat(&mut self, id: u64, draw: u64, weight: u8) {
        let seat = Seat { draw, weight: weight.into(), load: 0, full: false, kept: false };
        if weight > 0 && self.seats.insert(id, seat).is_none() {
            self.weight += u64::from(weight);
        }
    }

    /// Whether a node may be given duties.
    pub fn has(&self, id: u64) -> bool {
        self.seats.contains_key(&id)
    }

    /// Counts a duty to a node that has it or is to get it.
    pub fn load(&mut self, id: u64) {
        if let Some(seat) = self.seats.get_mut(&id) {
            seat.load += 1;
        }
    }

    /// Takes one off again.
    pub fn unload(&mut self, id: u64) {
        if let Some(seat) = self.seats.get_mut(&id) {
            seat.load = seat.load.saturating_sub(1);
        }
    }

    /// A seat's share of the duties, rounded down.
    fn share(&self, seat: &Seat) -> u64 {
        self.duties * seat.weight / self.weight.max(1)
    }

    /// The same, rounded up: no node is given more.
    fn most(&self, seat: &Seat) -> u64 {
        (self.duties * seat.weight).div_ceil(self.weight.max(1))
    }

    /// Who gets a duty: none of those who could not do it, as long as there is another.
    pub fn choose(&self, duty: u64, avoid: &[u64]) -> Option<u64> {
        let rules: [fn(&Self, &Seat) -> bool; 3] = [
            |field, seat| seat.load < field.share(seat),
            |field, seat| seat.load < field.most(seat),
            |_, _| true,
        ];
        for wary in [true, false] {
            for rule in rules {
                let fit =
                    self.seats.iter().filter(|(id, seat)| rule(self, seat) && !(wary && avoid.contains(id)));
                if let Some((id, _)) = fit.max_by_key(|(id, seat)| (mix(seat.draw ^ mix(duty)), **id)) {
                    return Some(*id);
                }
            }
        }
        None
    }

    /// The next move of a duty, if one is due: to who lacks most to its share, from who has most above its own; and where
    /// nobody lacks any, from who has most above its share rounded up to who has most room below that.
    pub fn next_move(&self) -> Option<(u64, u64)> {
        self.move_about(Self::share).or_else(|| self.move_about(Self::most))
    }

    /// A move from above a bound to below it.
    fn move_about(&self, bound: fn(&Self, &Seat) -> u64) -> Option<(u64, u64)> {
        let over = |seat: &Seat| if seat.kept { 0 } else { seat.load.saturating_sub(bound(self, seat)) };
        let room = |seat: &Seat| if seat.full { 0 } else { bound(self, seat).saturating_sub(seat.load) };
        let most = |of: &dyn Fn(&Seat) -> u64| {
            let seats = self.seats.iter().map(|(id, seat)| (of(seat), *id));
            seats.max().filter(|(much, _)| *much > 0).map(|(_, id)| id)
        };
        Some((most(&over)?, most(&room)?))
    }

    /// In this turn a node takes nothing more by a move.
    pub fn fill(&mut self, id: u64) {
        if let Some(seat) = self.seats.get_mut(&id) {
            seat.full = true;
        }
    }

    /// In this turn a node gives nothing more by a move.
    pub fn keep(&mut self, id: u64) {
        if let Some(seat) = self.seats.get_mut(&id) {
            seat.kept = true;
        }
    }

    /// How good the draw of a duty is for a node.
    pub fn draw(&self, id: u64, duty: u64) -> u64 {
        self.seats.get(&id).map_or(0, |seat| mix(seat.draw ^ mix(duty)))
    }
}
