//! Errors that tests plant to see that checkers find them. Builds without debug assertions have none.

use std::cell::Cell;
use std::sync::LazyLock;

/// What is done wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
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
    /// A node takes what is told under a lower number.
    LowerIsTaken,
    /// The next holder tells what it was left with, before its partners have said it again.
    ToldUnheard,
    /// Whoever held the duty last answers partners for ever.
    AnswersUnheld,
    /// What was tightened in a document that was turned down is let go.
    RefusedForgotten,
    /// A request that may have run at one site goes to another, whatever its class.
    RunAgain,
    /// A further try goes by the table in force and not by the request's own.
    NewerTable,
    /// A route's tenants and end are held to when the request began.
    EndForgotten,
    /// Further tries are not counted.
    NoBudget,
    /// A route's capacity is not counted.
    NoCapacity,
    /// A node is believed that it holds a duty, without the store's word.
    HolderUnproved,
    /// The next one that counts votes goes on from whatever list one node tells.
    ListUnproved,
    /// The windows of keys are compared with the wall clock.
    WindowOnWallTime,
    /// After a failed sync, a second one of the same data counts as proof.
    SecondSyncBelieved,
    /// A listener ends at the first connection that cannot be accepted.
    AcceptEnds,
    /// A run is taken for over once nobody waits for it and nothing is heard of it.
    PermitByTimer,
    /// A call is taken for over once its connection is closed.
    CallOverAtClose,
    /// A run beyond its caller takes no memory.
    MemoryOfCallers,
    /// New settings free what runs have taken.
    ReloadFreesPermits,
    /// What comes after the grace is run.
    RunsAfterGrace,
    /// A repeat of a keyed run is run as well.
    RepeatRuns,
}

thread_local! {
    static NOW: Cell<Option<InjectedFault>> = const { Cell::new(None) };
}

/// The error that the environment names, for processes that a test starts.
static OF_PROCESS: LazyLock<Option<InjectedFault>> = LazyLock::new(|| {
    let named = std::env::var("SILLFLOW_PLANTED").ok()?;
    let of_processes = [
        InjectedFault::StaleForEver,
        InjectedFault::WithdrawalWaits,
        InjectedFault::LoopIsTold,
        InjectedFault::NotDecreased,
        InjectedFault::LowerIsTaken,
        InjectedFault::ToldUnheard,
        InjectedFault::AnswersUnheld,
        InjectedFault::RefusedForgotten,
        InjectedFault::HolderUnproved,
        InjectedFault::ListUnproved,
        InjectedFault::WindowOnWallTime,
        InjectedFault::AcceptEnds,
        InjectedFault::PermitByTimer,
        InjectedFault::CallOverAtClose,
        InjectedFault::MemoryOfCallers,
        InjectedFault::ReloadFreesPermits,
        InjectedFault::RunsAfterGrace,
        InjectedFault::RepeatRuns,
    ];
    of_processes.into_iter().find(|planted| format!("{planted:?}") == named)
});

/// Plants an error in all that this thread does from now on, or none.
pub fn inject(planted: Option<InjectedFault>) {
    NOW.set(planted);
}

pub(crate) fn is_active(planted: InjectedFault) -> bool {
    cfg!(debug_assertions) && (NOW.get() == Some(planted) || *OF_PROCESS == Some(planted))
}
