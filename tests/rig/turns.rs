//! How many processes the tests of one file have at a time: more than the cores can serve make each other late, and late
//! nodes take each other for dead, as they are to.

use std::cell::Cell;
use std::sync::{Condvar, Mutex};

/// Processes for each core.
const FOR_EACH_CORE: usize = 2;

static TAKEN: Mutex<usize> = Mutex::new(0);
static GIVEN_BACK: Condvar = Condvar::new();

thread_local! {
    static HAS_ONE: Cell<bool> = const { Cell::new(false) };
}

/// The right to have so many processes, until it is dropped.
pub struct Turn(usize);

impl Turn {
    /// Waits for room for so many. One that is larger than all the room has it to itself; a test that has a turn has
    /// its further ones at once.
    pub fn take(processes: usize) -> Self {
        if HAS_ONE.replace(true) {
            return Self(0);
        }
        let most = FOR_EACH_CORE * std::thread::available_parallelism().map_or(4, usize::from);
        let wanted = processes.clamp(1, most);
        let taken = TAKEN.lock().expect("a lock");
        let mut taken = GIVEN_BACK.wait_while(taken, |taken| *taken + wanted > most).expect("a lock");
        *taken += wanted;
        Self(wanted)
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        if self.0 > 0 {
            HAS_ONE.set(false);
            *TAKEN.lock().expect("a lock") -= self.0;
            GIVEN_BACK.notify_all();
        }
    }
}
