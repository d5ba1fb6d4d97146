//! What the embedding server tells of another process, and is told for its log.

/// Room of this server that requests of another process take.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReservedCapacity {
    /// Memory that is booked for them, in kB.
    pub booked_kb: f64,
    /// Those on the cores, and at calls from which they come back there.
    pub runs: u32,
    /// Calls in the hands of what lies below, and those that may linger there.
    pub calls: u32,
}

/// Runs that go on long after their callers were answered or left. Only the end of such a run gives back what
/// it holds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OrphanedRuns {
    /// How many, on the cores or at calls.
    pub runs: u32,
    /// Memory that is booked for them, in kB.
    pub booked_kb: f64,
    /// How long ago the first of their callers was answered or left, in ms.
    pub longest_ms: f64,
}

/// What a controller lets its server do just now, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limits {
    /// Requests that may run at once.
    pub runs: u32,
    /// Running requests that the cores survive, warm or not.
    pub survivable_runs: u32,
    /// Part of the memory that is booked.
    pub memory_used: f64,
    /// Whether memory keeps runs from being begun.
    pub memory_short: bool,
    /// Whether a further call has to wait for what lies below.
    pub calls_blocked: bool,
    /// Whether runs that outlast their callers leave no room for others.
    pub exhausted: bool,
    /// Those runs.
    pub orphaned: OrphanedRuns,
}
