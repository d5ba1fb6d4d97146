//! Whether a site is passed over for a while, as its last calls went badly: a circuit breaker (Nygard 2007) for each
//! site. It is no judgement on its servers, which their pool has.

/// Calls that went badly in a row before a site rests.
const BAD_IN_A_ROW: u32 = 3;
/// The first rest, in ms; it doubles up to the second.
const REST_MS: (f64, f64) = (1_000.0, 20_000.0);
/// After its rest one call in so long tries it, in ms, until one has ended.
const TRY_MS: f64 = 1_000.0;
/// One that is not safe to repeat tries it only where for so much longer no safe one did, in ms.
const SAFE_FIRST_MS: f64 = 5_000.0;

/// Whether calls go to a site. Times are ms of a clock that never runs backwards.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Standing {
    /// They do; so many in a row have ended badly.
    In(u32),
    /// It rests.
    Resting {
        /// Until then.
        until: f64,
        /// Times in a row.
        times: u32,
    },
    /// One tries it.
    Tried {
        /// Since then.
        since: f64,
        /// Times that it rested in a row.
        times: u32,
    },
}

impl Default for Standing {
    fn default() -> Self {
        Self::In(0)
    }
}

/// What a call that ended has changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Turn {
    /// Nothing.
    None,
    /// The site rests for so long, in ms.
    Rests(f64),
    /// It is back.
    Back,
}

impl Standing {
    /// Whether a call may go there, while there are others that it may go to.
    pub fn allows(&self, safe: bool, now: f64) -> bool {
        let wait = if safe { 0.0 } else { SAFE_FIRST_MS };
        match self {
            Self::In(_) => true,
            Self::Resting { until, .. } => until + wait <= now,
            Self::Tried { since, .. } => since + TRY_MS + wait <= now,
        }
    }

    /// A call goes there. After a rest, others wait for what becomes of it.
    pub fn goes(&mut self, now: f64) {
        match *self {
            Self::Resting { until, times } if until <= now => *self = Self::Tried { since: now, times },
            Self::Tried { times, .. } => *self = Self::Tried { since: now, times },
            Self::Resting { .. } | Self::In(_) => {}
        }
    }

    /// A call there has ended well or badly. While it rests, those that end badly are of before.
    pub fn ended(&mut self, well: bool, now: f64) -> Turn {
        let times = match *self {
            Self::In(_) if well => {
                *self = Self::default();
                return Turn::None;
            }
            _ if well => {
                *self = Self::default();
                return Turn::Back;
            }
            Self::In(bad) if bad + 1 < BAD_IN_A_ROW => {
                *self = Self::In(bad + 1);
                return Turn::None;
            }
            Self::Resting { .. } => return Turn::None,
            Self::In(_) => 0,
            Self::Tried { times, .. } => times,
        };
        let rest_ms = (REST_MS.0 * f64::from(times.min(16)).exp2()).min(REST_MS.1);
        *self = Self::Resting { until: now + rest_ms, times: times + 1 };
        Turn::Rests(rest_ms)
    }
}
