//! When a member stands for election.
//!
//! The consensus library's own timer draws one time for a process, and counts it from before the member's own vote is
//! synced. Where a sync takes as long as that time, a candidate would begin its next term before the answers to the last one
//! are in, again and again. Here the time is drawn anew for each term, and counts from when the answers are in.

use std::sync::Arc;
use std::time::Duration;

use log::debug;
use openraft::{Raft, RaftMetrics, ServerState};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::Types;
use super::decide::members::Place;

/// Time between two heartbeats of a leader.
pub(super) const HEARTBEAT: Duration = Duration::from_millis(100);
/// A leader that was heard, or a candidate that was granted a vote, has this long until another member may stand.
pub(super) const LEASE: Duration = Duration::from_millis(900);
/// How long a member has for its answer to a request for its vote, which it syncs first.
pub(super) const ANSWER_WITHIN: Duration = Duration::from_millis(899);
/// Bounds of the time that a member waits beyond that, in ms.
const SPARE_MS: (u64, u64) = (400, 900);
/// How long a member whose log is shorter than another's leaves the next term to that one.
const SHORTER_LOG: Duration = Duration::from_millis(1_800);

/// What decides when a member stands.
struct Quiet {
    /// Nothing is expected of a leader or of a candidate any more.
    from: Instant,
    /// This member's own requests for votes that are not answered.
    requests: usize,
    /// Whether an answer came from a member with a longer log.
    has_shorter_log: bool,
}

/// What a member has heard of leaders, candidates and its own requests for votes.
#[derive(Clone)]
pub(super) struct Elections(Arc<watch::Sender<Quiet>>);

impl Elections {
    pub fn new() -> Self {
        let quiet = Quiet { from: Instant::now(), requests: 0, has_shorter_log: false };
        Self(Arc::new(watch::Sender::new(quiet)))
    }

    /// A leader was heard, or a candidate was granted this member's vote.
    pub fn hold_off(&self) {
        self.quiet_from(Instant::now() + LEASE);
    }

    /// A member with a longer log has answered a request for its vote.
    pub fn has_shorter_log(&self) {
        self.0.send_modify(|quiet| quiet.has_shorter_log = true);
    }

    /// A request for a vote is sent. It is out until what this returns is dropped.
    pub fn request(&self) -> Request {
        self.0.send_modify(|quiet| quiet.requests += 1);
        Request(self.clone())
    }

    fn quiet_from(&self, from: Instant) {
        self.0.send_modify(|quiet| quiet.from = quiet.from.max(from));
    }

    /// Waits until nothing was heard for this long, and no request is out.
    async fn quiet_for(&self, spare: Duration) {
        let mut changes = self.0.subscribe();
        loop {
            let answered = changes.wait_for(|quiet| quiet.requests == 0).await;
            let Ok(due) = answered.map(|quiet| quiet.from + spare) else { return };
            if due <= Instant::now() {
                return;
            }
            sleep_until(due).await;
            if due.elapsed() > HEARTBEAT {
                // A sync has held this thread up: what has arrived meanwhile is heard first.
                sleep(HEARTBEAT).await;
            }
        }
    }

    /// Stands for election whenever no leader is heard, for as long as the member runs.
    pub async fn stand(self, raft: Raft<Types>) {
        let mut metrics = raft.metrics();
        loop {
            self.quiet_for(spare()).await;
            let seen = metrics.borrow_and_update().clone();
            if seen.running_state.is_err() {
                return;
            }
            if !may_stand(&seen) {
                self.hold_off();
                continue;
            }
            debug!("no leader is heard: this member stands for election");
            self.0.send_modify(|quiet| quiet.has_shorter_log = false);
            if raft.trigger().elect().await.is_err() {
                return;
            }
            // Its own vote is synced before it asks for others. Where it did not stand, there is none to wait for.
            let voted = metrics.wait_for(|now| now.vote > seen.vote);
            let _ = timeout(ANSWER_WITHIN, voted).await;
            self.quiet_from(Instant::now());
        }
    }
}

/// A request for a vote that is out.
pub(super) struct Request(Elections);

impl Drop for Request {
    fn drop(&mut self) {
        self.0.0.send_modify(|quiet| {
            quiet.requests -= 1;
            let longer = if quiet.has_shorter_log { SHORTER_LOG } else { Duration::ZERO };
            quiet.from = quiet.from.max(Instant::now() + longer);
        });
    }
}

/// Whether a member has a voice, and does not lead.
fn may_stand(seen: &RaftMetrics<u64, Place>) -> bool {
    let is_voter = seen.membership_config.voter_ids().any(|voter| voter == seen.id);
    is_voter && seen.state != ServerState::Leader
}

fn spare() -> Duration {
    Duration::from_millis(rand::random_range(SPARE_MS.0..SPARE_MS.1))
}
