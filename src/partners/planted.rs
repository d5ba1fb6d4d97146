//! Errors that tests plant to see that checkers find them. Builds without debug assertions have none.

use std::cell::Cell;

/// What is done wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// The meet lets through what either lets through.
    MeetIsJoin,
    /// An aggregate carries the restrictions of its first part alone.
    AggregateLoses,
    /// Withdrawals and tightened restrictions wait behind all else.
    WithdrawalWaits,
    /// A stale table has no end.
    StaleForEver,
    /// A route is told on with as many sites to go as before.
    NotDecreased,
    /// A route is told to sites that it came through.
    LoopIsTold,
    /// A route that is to be part of no wider one is.
    UnmergedIsMerged,
}

thread_local! {
    static NOW: Cell<Option<Planted>> = const { Cell::new(None) };
}

/// Plants an error in all that this thread does from now on, or none.
pub fn plant(planted: Option<Planted>) {
    NOW.set(planted);
}

pub(super) fn is(planted: Planted) -> bool {
    cfg!(debug_assertions) && NOW.get() == Some(planted)
}
