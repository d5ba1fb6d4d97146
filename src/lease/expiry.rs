//! Leases (Gray, Cheriton 1989) without wall clocks. The holder counts from when it asked, the store from when a renewal
//! was in force, and longer by what two clocks may differ; both by a clock that runs through a stop of the process and
//! suspended time (`CLOCK_BOOTTIME`).

use std::collections::BTreeMap;

use super::DutyName;
use super::table::{Deed, State, Table};

/// Two clocks may differ by one part in so many.
const DRIFT: u64 = 100;
/// What the store waits beyond that, in ms.
const MARGIN_MS: u64 = 100;
/// The first time for which a duty that killed its holders is set aside, in ms, and the longest.
const ASIDE_MS: u64 = 5000;
const MOST_ASIDE_MS: u64 = 3_600_000;

/// The shortest and the longest lease, in ms.
pub const LEASE_MS: (u64, u64) = (200, 60_000);

/// Milliseconds of this machine's clock that runs while a process is stopped and while the machine is suspended. It is not
/// that of another machine, nor that before a boot.
#[cfg(target_os = "linux")]
pub fn now_ms() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    now.tv_sec as u64 * 1000 + now.tv_nsec as u64 / 1_000_000
}

/// The same elsewhere, where the monotonic clock is what there is; it may stand still while the machine is suspended.
#[cfg(not(target_os = "linux"))]
pub fn now_ms() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    now.tv_sec as u64 * 1000 + now.tv_nsec as u64 / 1_000_000
}

/// How long the store leaves a lease of this length in force from when it saw it so, in ms.
pub fn in_force_ms(lease_ms: u64) -> u64 {
    lease_ms + lease_ms.div_ceil(DRIFT) + MARGIN_MS
}

/// Until when a holder may act that asked then: exclusive, on its own clock.
pub fn good_until(asked_ms: u64, lease_ms: u64) -> u64 {
    asked_ms.saturating_add(lease_ms)
}

/// For how long a duty is set aside for the nth time, in ms.
pub fn aside_ms(times: u32) -> u64 {
    let doubled = 1u64.checked_shl(times.saturating_sub(1)).unwrap_or(u64::MAX);
    ASIDE_MS.saturating_mul(doubled).min(MOST_ASIDE_MS)
}

/// What the one that watches has seen to stand still, and since when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Since {
    mark: u64,
    at_ms: u64,
}

impl Since {
    /// How long it has stood at this mark.
    fn stood(entry: &mut Self, mark: u64, now_ms: u64) -> u64 {
        if entry.mark != mark {
            *entry = Self { mark, at_ms: now_ms };
        }
        now_ms.saturating_sub(entry.at_ms)
    }
}

/// The watch of the member that leads: it sees the replicated table and its own clock, and proposes what time has ended.
/// Each proposal names the mark (renewal or number) that it saw to stand, and does nothing in the table where that has
/// moved: so it is safe however late it comes and whoever made it. One that begins to lead begins a new watch, so that
/// every session counts as renewed just then.
#[derive(Clone, Debug, Default)]
pub struct Watch {
    sessions: BTreeMap<u64, Since>,
    duties: BTreeMap<DutyName, Since>,
}

impl Watch {
    /// What the time that is over by now ends.
    pub fn look(&mut self, now_ms: u64, table: &Table) -> Vec<Deed> {
        self.sessions.retain(|id, _| table.session(*id).is_some());
        self.duties.retain(|name, _| table.duty(name).is_some_and(|duty| duty.state.ends_by_time()));
        let mut deeds = Vec::new();
        for (id, session) in table.sessions() {
            let mark = session.renewed;
            let entry = self.sessions.entry(id).or_insert(Since { mark, at_ms: now_ms });
            let stood = Since::stood(entry, mark, now_ms);
            if stood > in_force_ms(session.lease_ms) {
                deeds.push(Deed::Expire { session: id, renewed: mark });
            } else if stood > session.lease_ms * 2 / 3 && !session.late {
                deeds.push(Deed::Late { session: id, renewed: mark });
            }
        }
        for (name, duty) in table.duties().filter(|(_, duty)| duty.state.ends_by_time()) {
            // The number alone: a duty is in each such state once under one number, but for the kind of the state.
            let mark = duty.number * 2 + u64::from(duty.state == State::Aside);
            let entry = self.duties.entry(name.clone()).or_insert(Since { mark, at_ms: now_ms });
            let stood = Since::stood(entry, mark, now_ms);
            let (duty_name, number) = (name.clone(), duty.number);
            match duty.state {
                State::Ending { by } => {
                    let lease = table.session(by).map_or(LEASE_MS.1, |session| session.lease_ms);
                    if stood > in_force_ms(lease) {
                        deeds.push(Deed::Ended { duty: duty_name, number });
                    }
                }
                State::Aside if stood > aside_ms(duty.asides) => {
                    deeds.push(Deed::Return { duty: duty_name, number });
                }
                _ => {}
            }
        }
        deeds
    }
}
