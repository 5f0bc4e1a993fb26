//! Bounded priority queue for calls that wait for an upstream; sheds load early under overload.

use bundle::Priority;

/// A queue that has not been empty for this long is a standing queue, in which waiting only adds
/// latency to every answer; microseconds. Follows controlled delay as in Maurer, "Fail at Scale"
/// (2015).
const STANDING_QUEUE_US: u64 = 100_000;
/// Maximum wait in a standing queue, in microseconds.
const STANDING_WAIT_US: u64 = 20_000;

/// Identifies a call in the queue; lower tickets joined earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

/// What a queued call should do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueDecision {
    /// First in line: may try to acquire an upstream.
    Proceed,
    /// Other calls are ahead of it.
    Wait,
    /// Rejected: displaced by a call of higher priority, or its wait deadline has passed.
    Shed,
}

#[derive(Clone, Copy, Debug)]
struct QueuedCall {
    ticket: Ticket,
    priority: Priority,
    wait_deadline_us: u64,
}

/// Queue of the calls that wait for an upstream of one service.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    calls: Vec<QueuedCall>,
    capacity: usize,
    /// When the queue last became non-empty; `None` while it is empty.
    non_empty_since_us: Option<u64>,
    next_ticket: u64,
}

impl AdmissionQueue {
    /// Creates a queue for at most `capacity` calls.
    pub fn new(capacity: usize) -> Self {
        AdmissionQueue { calls: Vec::new(), capacity, non_empty_since_us: None, next_ticket: 1 }
    }

    /// Number of queued calls.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Whether a new call of this priority would have to wait behind another call.
    pub fn has_waiting(&self, priority: Priority) -> bool {
        self.calls.iter().any(|call| call.priority >= priority)
    }

    /// Adds a call that waits for at most `max_wait_us`, less in a standing queue. Returns `None`
    /// if the queue is full of calls of at least the same priority.
    pub fn join(&mut self, priority: Priority, now_us: u64, max_wait_us: u64) -> Option<Ticket> {
        let non_empty_since_us = *self.non_empty_since_us.get_or_insert(now_us);
        let standing = now_us.saturating_sub(non_empty_since_us) > STANDING_QUEUE_US;
        let wait_us = if standing { max_wait_us.min(STANDING_WAIT_US) } else { max_wait_us };
        let wait_deadline_us = now_us + wait_us;
        if self.calls.len() >= self.capacity {
            // Displace the newest call of the lowest priority.
            let lowest = self
                .calls
                .iter()
                .enumerate()
                .min_by_key(|(_, call)| (call.priority, std::cmp::Reverse(call.ticket)));
            match lowest {
                Some((position, call)) if call.priority < priority => {
                    self.calls.remove(position);
                }
                _ => return None,
            }
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.calls.push(QueuedCall { ticket, priority, wait_deadline_us });
        Some(ticket)
    }

    /// Decides what a queued call should do now.
    pub fn decide(&self, ticket: Ticket, now_us: u64) -> QueueDecision {
        let Some(own) = self.calls.iter().find(|call| call.ticket == ticket) else {
            return QueueDecision::Shed;
        };
        if now_us >= own.wait_deadline_us {
            return QueueDecision::Shed;
        }
        let is_ahead = |other: &QueuedCall| {
            (std::cmp::Reverse(other.priority), other.ticket)
                < (std::cmp::Reverse(own.priority), own.ticket)
        };
        match self.calls.iter().any(is_ahead) {
            true => QueueDecision::Wait,
            false => QueueDecision::Proceed,
        }
    }

    /// Time at which a queued call is shed, in microseconds; `None` if it is not in the queue.
    pub fn wait_deadline_us(&self, ticket: Ticket) -> Option<u64> {
        self.calls.iter().find(|call| call.ticket == ticket).map(|own| own.wait_deadline_us)
    }

    /// Removes a call from the queue.
    pub fn leave(&mut self, ticket: Ticket) {
        self.calls.retain(|call| call.ticket != ticket);
        if self.calls.is_empty() {
            self.non_empty_since_us = None;
        }
    }
}
