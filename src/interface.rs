//! Input and output of the decision module: settings, events and actions. This file has no behaviour.
//!
//! Times are milliseconds (`f64`) on the clock of the embedding server, which may start anywhere but must
//! not run backwards. Memory is in kilobytes. Shares are between 0 and 1.

/// Identifier of a request, chosen by the embedding server. Never used twice in the lifetime of one
/// controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// Safe to repeat.
    #[default]
    Safe,
    /// Carries a key: runs once here, however often it is repeated within its window.
    Keyed,
    /// Not safe to repeat, and without a key.
    Unsafe,
}

/// One class of requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    /// An answer earns full worth up to this time after the first try, in ms. Above 0.
    pub aim_ms: f64,
    /// How long a client waits in total, in ms. Above 0.
    pub deadline_ms: f64,
    /// Worth of one request, or of one unit of its work (see [`Settings::worth_by_work`]). 0 or more.
    pub worth: f64,
    /// Part of the worth that an answer after the aim still earns, 0 to 1.
    pub late_worth: f64,
    /// Whether its requests may run again.
    pub effect: Effect,
    /// For [`Effect::Keyed`]: how long after its arrival a repeat may come, in ms.
    pub window_ms: f64,
    /// Whether its requests may call the dependency.
    pub calls: bool,
    /// Part of the worth that remains if a call is skipped; 0 if none may be skipped.
    pub skip_worth: f64,
    /// Whether the class was removed: it stays for its open requests, and is left out of all estimates.
    pub retired: bool,
}

/// One customer (tenant) and its quota.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tenant {
    /// Requests per second within its quota, counted over the whole fleet; 0 if not given.
    pub quota_per_s: f64,
}

/// What the server's requests call while they run: their dependency.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Below {
    /// Nothing.
    #[default]
    Nothing,
    /// One dependency that every server of the fleet shares.
    Shared {
        /// This server's share of the load that the dependency sustains, as mean calls in flight; may be
        /// below 1.
        share: f64,
        /// Interval of that mean, in ms.
        span_ms: f64,
        /// Longest time that the dependency keeps working on an abandoned call, in ms.
        linger_ms: f64,
    },
    /// A further tier of servers, behind its own load balancer.
    Tier,
}

/// Meaning of the load signal that is sent with answers to callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SayKind {
    /// No signal: [`Action::Say`] is never given.
    #[default]
    Off,
    /// Callers send no request that ranks below the value.
    Level,
    /// No caller has more than this many requests in flight here.
    Credit,
    /// Probability, 0 to 1, that a caller that selects this server does use it.
    Weight,
}

/// Settings of a controller, given at its start: its only configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Cores of this server; 0 counts as 1.
    pub cores: u32,
    /// Memory for requests and retained keys, in kB; 0 means no limit.
    pub memory_kb: f64,
    /// Memory of a running request as a multiple of the memory it uses while held.
    pub run_factor: f64,
    /// Memory of one retained key, in kB.
    pub key_kb: f64,
    /// The classes, in the order of [`Request::class`].
    pub classes: Vec<Class>,
    /// The tenants, in the order of [`Request::tenant`]; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a request beyond its tenant's quota, as a part of its class's worth.
    pub over_share_worth: f64,
    /// Whether worth counts per unit of work rather than per request.
    pub worth_by_work: bool,
    /// Servers of this tier; 0 counts as 1.
    pub servers: u32,
    /// Callers of this tier; 0 counts as 1.
    pub callers: u32,
    /// Whether retries and second copies are marked, see [`Request::further`].
    pub marks_further: bool,
    /// The dependency.
    pub below: Below,
    /// How long the answer to a read may be reused for others, in ms; 0 for never.
    pub fresh_ms: f64,
    /// Meaning of the load signal.
    pub say: SayKind,
    /// Whether this server has just started and is still slow.
    pub cold: bool,
    /// Time after which a cold server is at full speed at the latest, in ms.
    pub cold_ms: f64,
    /// Speed of a cold server at its start, as a share of full speed.
    pub cold_from: f64,
    /// Running requests per core that a warm server survives without collapsing, as a mean over seconds; 0
    /// if unknown.
    pub fall_multiple: f64,
    /// A request that arrives later than this after the start of a drain is not run, in ms.
    pub drain_grace_ms: f64,
    /// How long after the due time an answer still counts, in ms.
    pub answer_slack_ms: f64,
    /// Longest retry-after advice that callers follow, in ms; 0 if advice is not passed on.
    pub max_retry_after_ms: f64,
    /// Callers close a connection that has been idle for this long, in ms; 0 if the server cannot shorten
    /// it: [`Action::CloseIdle`] is then never given.
    pub idle_ms: f64,
}

/// Why [`Settings`] were rejected: the field and what is wrong with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Name of the field in [`Settings`].
    pub field: &'static str,
    /// What is wrong with it.
    pub problem: &'static str,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "setting {}: {}", self.field, self.problem)
    }
}

impl std::error::Error for SettingsError {}

/// A request that has been read and is now held.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its identifier.
    pub id: RequestId,
    /// Index into [`Settings::classes`].
    pub class: usize,
    /// Index into [`Settings::tenants`]; ignored where there are none.
    pub tenant: usize,
    /// Its subject, if known.
    pub key: Option<u64>,
    /// Clock time at which its caller gives up, if known.
    pub due: Option<f64>,
    /// Approximate expected work in ms on a standard core, if known.
    pub hint_ms: Option<f64>,
    /// Memory while held, in kB.
    pub held_kb: f64,
    /// Time since it arrived at the machine, in ms.
    pub waited_ms: f64,
    /// Whether it is marked as a retry or a second copy; false if those are not marked.
    pub further: bool,
    /// The retained request that this one repeats, if any.
    pub earlier: Option<RequestId>,
}

/// How a run or a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded.
    Ok,
    /// It failed, possibly after taking effect.
    Error,
    /// The call was refused before it was looked at.
    Full,
    /// The call was abandoned and may have taken effect.
    Timeout,
    /// The dependency could not be reached.
    ConnectFailed,
    /// The connection of the call broke, and the call may have taken effect.
    Reset,
    /// The run was stopped, or ended at a call, because nobody waits for it any more.
    Cancelled,
    /// Nothing was started, because the request had ended before.
    Moot,
}

/// Measurements of the server; `None` if one is not measured.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Gauges {
    /// Share of the cores that was busy during the last half second.
    pub core_use: Option<f64>,
    /// Current demand for cores: runs, reading, health checks, new connections.
    pub on_cores: Option<f64>,
}

/// What has happened. Events for unknown or finished requests are ignored.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request was read; it must get exactly one final answer.
    Request(Request),
    /// A run or reuse has ended; with `Ok` or `Error` the caller has been answered.
    Done {
        /// Which request.
        id: RequestId,
        /// How it ended.
        outcome: Outcome,
        /// Time since the action that started it, in ms.
        took_ms: f64,
    },
    /// The caller has disconnected; no answer is needed.
    Gone(RequestId),
    /// A running request cannot continue without a call to the dependency.
    Needs(RequestId),
    /// A call has ended.
    Called {
        /// Which request.
        id: RequestId,
        /// How the call ended.
        outcome: Outcome,
        /// Time since the call was made, in ms.
        took_ms: f64,
    },
    /// The call of a request was abandoned and made a second time; the dependency may still work on the
    /// first.
    CallRepeated(RequestId),
    /// A timer set with [`Action::Wake`] has expired.
    Timer(Gauges),
    /// A drain starts: the process is stopped at this clock time.
    Drain {
        /// Clock time of the stop.
        stop_at: f64,
    },
    /// The process is stopped at this clock time, and another one of the same node serves from now on. Due times and
    /// the grace for arrivals are those of a drain; health and load signal stay those of the node.
    HandOver {
        /// Clock time of the stop.
        stop_at: f64,
    },
}

/// What the embedding server must do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a held request. [`Event::Done`] follows when it ends.
    Run(RequestId),
    /// Final answer: refused, never ran.
    Refuse {
        /// Which request.
        id: RequestId,
        /// Retry-after advice for this server, in ms; 0 for none.
        stay_away_ms: f64,
        /// Asks the caller not to try another server.
        last: bool,
    },
    /// Final answer: an error; the request may have run.
    Fail(RequestId),
    /// Make the call that the request waits for. [`Event::Called`] follows.
    Call {
        /// Which request.
        id: RequestId,
        /// Clock time at which the call is abandoned.
        give_up_at: f64,
    },
    /// Continue without the call, with an answer of less worth.
    Skip(RequestId),
    /// Add or renew the request in the table of keys.
    Keep {
        /// Which request.
        id: RequestId,
        /// How long from now, in ms.
        for_ms: f64,
    },
    /// Remove the request from the table of keys.
    Forget(RequestId),
    /// Answer a held request with the result of the one it repeats. [`Event::Done`] follows.
    Reuse(RequestId),
    /// Answer of all health checks from now on.
    Health {
        /// Whether this server wants traffic.
        good: bool,
    },
    /// The load signal, sent with every answer.
    Say(f64),
    /// From now on, close connections that have been idle for this long.
    CloseIdle {
        /// Idle time, in ms; at most [`Settings::idle_ms`].
        after_ms: f64,
    },
    /// Deliver [`Event::Timer`] after this many ms.
    Wake {
        /// How long from now, in ms.
        after_ms: f64,
    },
}
