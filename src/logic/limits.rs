//! Figures exchanged with the embedding server: capacity used by another process, and limits for the log.

/// Capacity of this server that requests of another process use.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReservedCapacity {
    /// Memory that is booked for them, in kB.
    pub booked_kb: f64,
    /// Requests that run or wait for a call.
    pub runs: u32,
    /// Calls in flight at the dependency, and those that may linger there.
    pub calls: u32,
}

/// Runs that go on long after their callers were answered or disconnected. Their cores and memory are freed
/// only when they end.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OrphanedRuns {
    /// Number of them, running or at calls.
    pub runs: u32,
    /// Memory that is booked for them, in kB.
    pub booked_kb: f64,
    /// Time since the first of their callers was answered or disconnected, in ms.
    pub longest_ms: f64,
}

/// Limits that the controller applies at present, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limits {
    /// Requests that may run at once.
    pub runs: u32,
    /// Requests running at once that the server survives at its present speed; less while it warms up.
    pub survivable_runs: u32,
    /// Share of the memory that is booked.
    pub memory_used: f64,
    /// Whether no run can start for lack of memory.
    pub memory_short: bool,
    /// Whether calls wait because the call budget allows no further one.
    pub calls_blocked: bool,
    /// Whether orphaned runs leave no capacity for others.
    pub exhausted: bool,
    /// The orphaned runs.
    pub orphaned: OrphanedRuns,
}
