//! The time base shared by fronts and core: the exchange's clock, and its estimated offset from callers' clocks.

use std::cell::RefCell;

use log::info;
use tokio::time::Instant;

use crate::clock::receipt::{Offset, Readings, Receipt, Terms, receive};
use crate::clock::{Anchored, wall_ms};

/// A timer that expires later than this, in ms, shows that the process was not scheduled: requests waited unread
/// meanwhile.
const STALL_MS: f64 = 50.0;

/// A change of the offset by less than this, in ms, is not logged.
const LOGGED_CHANGE_MS: f64 = 100.0;

/// The clock of an exchange, and the estimated offset from callers' clocks.
pub struct Receipts {
    clock: Anchored,
    offset: RefCell<Offset>,
}

impl Receipts {
    /// Starts the clock.
    pub fn begin() -> Self {
        Self { clock: Anchored::begin(), offset: RefCell::default() }
    }

    /// The exchange's clock.
    pub fn clock(&self) -> Anchored {
        self.clock
    }

    /// The age and the due time of a request that was sent at `ts_ms` by its caller's clock and read at `at`.
    pub fn receipt(&self, ts_ms: f64, terms: Terms, at: Instant) -> Receipt {
        let readings = Readings { wall_ms: wall_ms(), anchored_ms: self.clock.at(at) };
        let mut offset = self.offset.borrow_mut();
        let before_ms = offset.ms();
        offset.note(readings.anchored_ms, readings.anchored_ms - ts_ms);
        if (offset.ms() - before_ms).abs() > LOGGED_CHANGE_MS {
            info!("this node's clock is estimated to be {:.0} ms ahead of its callers' clocks", offset.ms());
        }
        receive(ts_ms, terms, readings, offset.ms())
    }

    /// Records by how much a timer expired late.
    pub fn timer_was_late(&self, late_ms: f64) {
        if late_ms > STALL_MS {
            self.offset.borrow_mut().lagged();
        }
    }
}
