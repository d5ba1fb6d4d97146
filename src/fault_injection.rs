//! Faults that tests inject to verify that their checkers detect them. Builds without debug assertions inject none.

use std::cell::Cell;
use std::sync::LazyLock;

/// A fault that can be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// The meet of two restrictions admits whatever either of them admits.
    MeetIsJoin,
    /// An aggregate route carries only the restrictions of its first part.
    AggregateLoses,
    /// Withdrawals and tightened restrictions are sent after all other changes.
    WithdrawalWaits,
    /// A stale table never expires.
    StaleForEver,
    /// A route is forwarded without decrementing the number of sites that it may still pass.
    NotDecreased,
    /// A route is advertised to sites that it came through.
    LoopIsTold,
    /// A route that must not become part of a wider one does.
    UnmergedIsMerged,
    /// A node accepts a message with a lower number than it has seen.
    LowerIsTaken,
    /// The next holder advertises the routes that it took over before its partners have confirmed them.
    ToldUnheard,
    /// A previous holder of the lease answers partners without end.
    AnswersUnheld,
    /// Restrictions that were tightened in a rejected document are dropped.
    RefusedForgotten,
    /// A request that may have run at one site is sent to another, whatever its class.
    RunAgain,
    /// A further try uses the table in force instead of that of its request.
    NewerTable,
    /// The tenants and the expiry of a route are checked only when the request begins.
    EndForgotten,
    /// Further tries are not counted against the retry budget.
    NoBudget,
    /// The capacity of a route is not enforced.
    NoCapacity,
    /// A node's claim to hold a lease is accepted without verification by the store.
    HolderUnproved,
    /// The next node that counts votes continues from whatever list a single node reports.
    ListUnproved,
    /// The windows of idempotency keys are compared with the wall clock.
    WindowOnWallTime,
    /// A second sync of the same data after a failed one counts as proof that the data is stored.
    SecondSyncBelieved,
    /// A listener stops at the first connection that cannot be accepted.
    AcceptEnds,
    /// A run counts as over by timeout, once no caller waits for it and the processor reports nothing.
    PermitByTimer,
    /// A call counts as over once its connection is closed.
    CallOverAtClose,
    /// A run that outlasts its caller is not accounted any memory.
    MemoryOfCallers,
    /// New settings release the permits of current runs.
    ReloadFreesPermits,
    /// Requests that arrive after the grace period of a drain are run.
    RunsAfterGrace,
    /// A repeat of a keyed run is run again.
    RepeatRuns,
}

thread_local! {
    static OF_THREAD: Cell<Option<InjectedFault>> = const { Cell::new(None) };
}

/// The fault named by the environment variable `SILLFLOW_PLANTED`, for processes that a test starts.
static OF_PROCESS: LazyLock<Option<InjectedFault>> = LazyLock::new(|| {
    let named = std::env::var("SILLFLOW_PLANTED").ok()?;
    let supported = [
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
    supported.into_iter().find(|fault| format!("{fault:?}") == named)
});

/// Injects a fault into everything that this thread does from now on, or removes it with `None`.
pub fn inject(fault: Option<InjectedFault>) {
    OF_THREAD.set(fault);
}

pub(crate) fn is_active(fault: InjectedFault) -> bool {
    cfg!(debug_assertions) && (OF_THREAD.get() == Some(fault) || *OF_PROCESS == Some(fault))
}
