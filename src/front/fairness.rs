//! Fairness among connections. All tasks share one thread, and one whose client always has more to read would never wait,
//! so each spends its share of the runtime's budget on what it handles.

use tokio::task::coop::consume_budget;

/// Bytes of a message that count as one unit of the budget, of which a task has 128 in a turn.
const BYTES_PER_UNIT: usize = 512;

/// Accounts for a message of so many bytes, and gives the other tasks a turn once the share of this one is used up.
pub(super) async fn account_for(bytes: usize) {
    for _ in 0..=bytes / BYTES_PER_UNIT {
        consume_budget().await;
    }
}
