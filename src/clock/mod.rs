//! The one module that reads wall time. Everything else measures spans on the monotonic clock.
//!
//! A wall clock may be stepped, by seconds or by an hour, before or during the life of a process. So wall time is used
//! for three things only: to read what callers say of a request's age ([`receipt`]), to compare with the times that
//! documents of partners carry ([`utc_ms`]), and as the origin of [`Anchored`] clocks, which is a label and no promise.
//! `clippy.toml` forbids reading it elsewhere. `docs/clocks.md` says what a step does in each place.

pub mod receipt;

use std::path::PathBuf;
use std::sync::LazyLock;
use std::time::{Instant as StdInstant, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// Names a file that holds the offset, in ms, by which a test shifts the wall clock of this process. It is read with each
/// reading of the clock. Builds without debug assertions ignore it.
const OFFSET_FILE: &str = "SILLFLOW_WALL_OFFSET";

/// Where Linux names the boot.
const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id";

/// The wall clock at the start of the process, and when that was.
static START: LazyLock<(f64, StdInstant)> = LazyLock::new(|| (wall_ms(), StdInstant::now()));

/// Reads the wall clock that [`utc_ms`] goes on from; to be called first.
pub fn start() {
    LazyLock::force(&START);
}

/// This machine's wall clock, in Unix ms. Two readings may be in any order.
#[allow(clippy::disallowed_methods)] // The one place.
pub fn wall_ms() -> f64 {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    unix.as_secs_f64() * 1000.0 + injected_ms()
}

fn injected_ms() -> f64 {
    static FILE: LazyLock<Option<PathBuf>> =
        LazyLock::new(|| std::env::var_os(OFFSET_FILE).map(PathBuf::from));
    if !cfg!(debug_assertions) {
        return 0.0;
    }
    let read = || std::fs::read_to_string(FILE.as_ref()?).ok()?.trim().parse().ok();
    read().unwrap_or(0.0)
}

/// Which boot of the machine this is, where the system tells: times since the boot compare within one alone.
pub fn boot_id() -> Option<String> {
    let id = std::fs::read_to_string(BOOT_ID).ok()?;
    Some(id.trim().to_owned()).filter(|id| !id.is_empty())
}

/// The time in Unix ms by which what a document limits has ended: never earlier than it was, and never behind the wall
/// clock. A step back lengthens nothing; a step forward, which may be the correction of a clock that was behind at the
/// start, ends things sooner and for as long as it lasts.
pub fn utc_ms() -> u64 {
    let (start_ms, start) = *START;
    (start_ms + start.elapsed().as_secs_f64() * 1000.0).max(wall_ms()) as u64
}

/// A clock in ms that begins at the wall time of its start and goes by the monotonic clock from there.
#[derive(Clone, Copy, Debug)]
pub struct Anchored {
    start_ms: f64,
    start: Instant,
}

impl Anchored {
    /// A clock that begins now.
    pub fn begin() -> Self {
        Self { start_ms: wall_ms(), start: Instant::now() }
    }

    /// What it shows now.
    pub fn now(&self) -> f64 {
        self.at(Instant::now())
    }

    /// What it showed then. Before its start it stood still.
    pub fn at(&self, instant: Instant) -> f64 {
        self.start_ms + instant.saturating_duration_since(self.start).as_secs_f64() * 1000.0
    }
}
