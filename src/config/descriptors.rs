//! How the descriptors that a process may hold are divided among clients, calls and all else.

/// Descriptors that are neither clients nor calls: standard streams, the runtime's own, listeners, the link to the processor,
/// the socket for reports, and one for a connection that is accepted only to be closed. A node with both
/// fronts holds 17 of these; a few are to spare.
const OTHERS: usize = 20;
/// Part of all that operators may take, one in so many, and their connections at the most: they are few.
const OPERATORS: usize = 16;
const MOST_OPERATORS: usize = 32;
/// Part of all that calls to the records service may take: one in so many.
const CALLS: usize = 4;
/// Connections of clients beyond their number while those that lose their place have not ended: one in so many.
const OVER: usize = 16;

/// Memory that a connection of a client takes at the most while it is half way through a message.
const CLIENT_BYTES: usize = 32 * 1024;
/// Part of the process's memory that connections of clients may take: one in so many.
const CLIENTS_MEMORY: usize = 2;

/// The most connections of each kind, by the number of descriptors that the process may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Descriptors {
    /// Connections of clients.
    pub clients: usize,
    /// Connections for calls to the records service.
    pub calls: usize,
    /// Connections of operators.
    pub operators: usize,
}

impl Descriptors {
    /// Divides so many. Clients get five eighths where that leaves enough for all else, and never less than the half that
    /// front ends may open; calls get a quarter, or what is left.
    pub fn of(sockets: usize) -> Self {
        let operators = (sockets / OPERATORS).clamp(2, MOST_OPERATORS);
        let others = operators + OTHERS;
        let beside = sockets.saturating_sub(sockets / CALLS + others);
        let clients = (sockets * 5 / 8).min(beside).max(sockets / 2).max(1);
        let left = sockets.saturating_sub(clients + clients.div_ceil(OVER) + others);
        Self { clients, calls: (sockets / CALLS).min(left).max(1), operators }
    }

    /// The most connections of clients in a process that may take so much memory.
    pub fn clients_within(&self, memory_bytes: usize) -> usize {
        self.clients.min(memory_bytes / CLIENTS_MEMORY / CLIENT_BYTES).max(1)
    }
}
