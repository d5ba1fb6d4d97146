//! What the fronts and the core know together of the time: the exchange's clock, and how far it is from callers' clocks.

use std::cell::RefCell;

use log::info;
use tokio::time::Instant;

use crate::clock::receipt::{Offset, Readings, Receipt, Terms, receive};
use crate::clock::{Anchored, wall_ms};

/// A timer that is later than this shows that this process had no turn, in ms: requests waited unread meanwhile.
const LATE_MS: f64 = 50.0;

/// An offset that changes by less than this is not logged, in ms.
const TOLD_MS: f64 = 100.0;

/// The clock of an exchange, and the receipts of requests by it.
pub struct Receipts {
    clock: Anchored,
    offset: RefCell<Offset>,
}

impl Receipts {
    /// A clock that begins now.
    pub fn begin() -> Self {
        Self { clock: Anchored::begin(), offset: RefCell::default() }
    }

    /// The exchange's clock.
    pub fn clock(&self) -> Anchored {
        self.clock
    }

    /// What a request comes to that was read then.
    pub fn receipt(&self, ts_ms: f64, terms: Terms, at: Instant) -> Receipt {
        let readings = Readings { wall_ms: wall_ms(), anchored_ms: self.clock.at(at) };
        let mut offset = self.offset.borrow_mut();
        let before_ms = offset.ms();
        offset.note(readings.anchored_ms, readings.anchored_ms - ts_ms);
        if (offset.ms() - before_ms).abs() > TOLD_MS {
            info!("this node's clock is taken to be {:.0} ms ahead of its callers'", offset.ms());
        }
        receive(ts_ms, terms, readings, offset.ms())
    }

    /// Notes how much later than it was to be a timer was over.
    pub fn timer_was_late(&self, late_ms: f64) {
        if late_ms > LATE_MS {
            self.offset.borrow_mut().lagged();
        }
    }
}
