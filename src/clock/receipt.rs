//! How a caller's `ts` becomes an age and a due time at receipt. Pure: times are arguments.
//!
//! A request says when it came to its caller's machine, on that machine's wall clock. Two clocks here can tell its age: the
//! wall clock as it stands, and the anchored clock, which is the wall clock at the start of the process carried on by the
//! monotonic clock. They agree until the wall clock is stepped. After that one of them is right, depending on whether the
//! caller's clock was stepped along, and the other shows an age that is off by the step. So the age is the smallest that
//! is not negative. Where both are negative the clock here is behind the caller's, and the age is 0.
//!
//! - An age far beyond what the request's caller waits ([`Terms`]) is no delay but clocks that disagree. Such a request
//!   counts as received now, and is due after the smaller of its patience and its class's limit.
//! - A wall clock that was off before the process started makes every request look older, or younger, by a constant.
//!   [`Offset`] finds it.
//! - Whatever a step does, the due time is a span of the monotonic clock from the receipt on: no later step moves it.
//!
//! Not told apart from a request that came just now: one that has waited for longer than a step that took the caller's or
//! this machine's clock back, in the time until [`Offset`] has found the step.

use std::time::Duration;

/// A `ts` before this (the year 2000) or from [`LATEST_MS`] (2200) on is no time at which a request was sent, in Unix ms.
const EARLIEST_MS: f64 = 946_684_800_000.0;
const LATEST_MS: f64 = 7_258_118_400_000.0;
/// Clocks of machines that are kept by NTP differ by less than this, in ms: a request from so far ahead came just now.
const TOLERANCE_MS: f64 = 200.0;
/// An age this far beyond what a caller waits shows clocks that disagree, in ms: machines pause for
/// seconds, and a caller may hold a request for a minute; clocks are wrong by an hour.
const BEYOND_MS: f64 = 120_000.0;
/// An age over this shows clocks that disagree whatever the caller waits, in ms.
const OLDEST_MS: f64 = 1_800_000.0;
/// What differs by less than this from one window to the next is constant, in ms; a delay varies more.
const CONSTANT_MS: f64 = 50.0;
/// An offset under this is not corrected, in ms: it may be delay, and costs a caller little.
const OFFSET_MS: f64 = 500.0;
/// Two windows in a row decide on an offset: each lasts at least so long, in ms, and has at least so many requests.
const WINDOW_MS: f64 = 1_000.0;
const WINDOW_SAMPLES: u32 = 5;

/// The two clocks at a receipt, in Unix ms.
#[derive(Clone, Copy, Debug)]
pub struct Readings {
    /// The wall clock.
    pub wall_ms: f64,
    /// The anchored clock.
    pub anchored_ms: f64,
}

/// How long a request may take.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// How long after its `ts` its caller gives up, where it says.
    pub patience: Option<Duration>,
    /// The limit of its class.
    pub limit: Duration,
}

/// What a request's `ts` comes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Receipt {
    /// How long before its receipt it came to the machine.
    pub age: Duration,
    /// How long after its `ts`, which is its age before the receipt, it is due; absent for the limit of its class.
    pub patience: Option<Duration>,
}

/// Whether a `ts` can be a time at which a request was sent, on whatever clock.
pub fn is_plausible(ts_ms: f64) -> bool {
    (EARLIEST_MS..LATEST_MS).contains(&ts_ms)
}

/// What a request comes to that says when it was sent, at a receipt with these readings.
pub fn receive(ts_ms: f64, terms: Terms, readings: Readings, offset_ms: f64) -> Receipt {
    let longest_ms =
        terms.patience.map_or(terms.limit, |patience| patience.max(terms.limit)).as_secs_f64() * 1e3;
    let most_ms = (longest_ms + BEYOND_MS).min(OLDEST_MS);
    let ages = [readings.anchored_ms, readings.wall_ms].map(|now_ms| now_ms - ts_ms - offset_ms);
    let age_ms = ages.into_iter().filter(|age| *age >= -TOLERANCE_MS).reduce(f64::min);
    // From the future by both: the nearer one tells whether the clocks are merely apart.
    let apart_ms = age_ms.unwrap_or_else(|| -ages[0].max(ages[1]));
    if apart_ms > most_ms {
        return Receipt {
            age: Duration::ZERO,
            patience: terms.patience.map(|patience| patience.min(terms.limit)),
        };
    }
    Receipt { age: span(age_ms.unwrap_or(0.0)), patience: terms.patience }
}

/// A span of so many ms; none where they are negative or no number.
pub fn span(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms.max(0.0) / 1000.0).unwrap_or(Duration::ZERO)
}

/// What the requests of one window looked like on the anchored clock.
#[derive(Clone, Copy, Debug)]
struct Window {
    began_ms: f64,
    samples: u32,
    least_ms: f64,
    most_ms: f64,
}

impl Window {
    fn begin(now_ms: f64) -> Self {
        Self { began_ms: now_ms, samples: 0, least_ms: f64::INFINITY, most_ms: f64::NEG_INFINITY }
    }
}

/// How far this node's anchored clock is ahead of its callers'. One figure for the node, whatever callers there are.
///
/// The smallest age of each window is kept. Where it is over half a second, and the same in two windows in a row but for
/// what a constant may vary, it is taken as an offset of the clocks: a delay varies, and some request of a few seconds has
/// had none. Windows in which a timer of this process was late do not count, as requests then wait unread. A smaller age
/// lowers the offset at once: nobody's request is younger than it can be. Where all requests of two windows come from the
/// future, the offset is that of the one that comes from least far in either: so that a caller whose clock is further ahead
/// makes nobody's request old, nor one request that waited the others young.
#[derive(Clone, Debug, Default)]
pub struct Offset {
    value_ms: f64,
    window: Option<Window>,
    before: Option<Window>,
}

impl Offset {
    /// What is to be taken from each age, in ms.
    pub fn ms(&self) -> f64 {
        self.value_ms
    }

    /// Notes the age that a request has on the anchored clock.
    pub fn note(&mut self, now_ms: f64, age_ms: f64) {
        if self.value_ms > 0.0 && age_ms < self.value_ms {
            self.value_ms = if age_ms > OFFSET_MS { age_ms } else { 0.0 };
        }
        let window = self.window.get_or_insert_with(|| Window::begin(now_ms));
        window.samples += 1;
        window.least_ms = window.least_ms.min(age_ms);
        window.most_ms = window.most_ms.max(age_ms);
        if window.samples >= WINDOW_SAMPLES && now_ms - window.began_ms >= WINDOW_MS {
            let last = *window;
            self.window = None;
            self.close(last);
        }
    }

    /// Forgets the windows that are open: this process was late, so what it has just read had to wait.
    pub fn lagged(&mut self) {
        (self.window, self.before) = (None, None);
    }

    fn close(&mut self, last: Window) {
        if let Some(before) = self.before.replace(last) {
            let (least_ms, most_ms) = (before.least_ms.min(last.least_ms), before.most_ms.min(last.most_ms));
            let is_constant = (before.least_ms - last.least_ms).abs() <= CONSTANT_MS;
            if least_ms > OFFSET_MS && is_constant {
                self.value_ms = least_ms;
            } else if before.most_ms.max(last.most_ms) < -OFFSET_MS {
                self.value_ms = most_ms;
            } else if self.value_ms < 0.0 {
                self.value_ms = 0.0;
            }
        }
    }
}
