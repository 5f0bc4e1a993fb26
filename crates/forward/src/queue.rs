//! A short queue for calls that wait for an upstream: bounded, by priority, and early to refuse.

use bundle::Priority;

/// A queue that was not empty for this long is a standing one: waiting in it only makes every
/// answer later. After Maurer, "Fail at Scale" (2015), controlled delay.
const STANDING_US: u64 = 100_000;
/// Longest wait in a standing queue, microseconds.
const STANDING_WAIT_US: u64 = 20_000;

/// A place in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

/// What a waiting call may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueDecision {
    /// First in line: may try for an upstream.
    Proceed,
    /// Others are before it.
    Wait,
    /// Refused: pushed out by a call of higher priority, or its time for waiting is over.
    Shed,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    ticket: Ticket,
    priority: Priority,
    give_up_us: u64,
}

/// Calls waiting for an upstream of one service.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    waiting: Vec<Waiting>,
    capacity: usize,
    /// Since when calls have been waiting without a pause.
    busy_since_us: Option<u64>,
    next_ticket: u64,
}

impl AdmissionQueue {
    /// A queue for at most `capacity` calls.
    pub fn new(capacity: usize) -> Self {
        AdmissionQueue { waiting: Vec::new(), capacity, busy_since_us: None, next_ticket: 1 }
    }

    /// Number of calls waiting.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether a call of this priority would have to wait behind another.
    pub fn has_waiting(&self, priority: Priority) -> bool {
        self.waiting.iter().any(|waiting| waiting.priority >= priority)
    }

    /// Joins the queue for at most `longest_us`, less if the queue is a standing one; `None` when
    /// it is full of calls at least as important.
    pub fn join(&mut self, priority: Priority, now_us: u64, longest_us: u64) -> Option<Ticket> {
        let busy_since_us = *self.busy_since_us.get_or_insert(now_us);
        let standing = now_us.saturating_sub(busy_since_us) > STANDING_US;
        let wait_us = if standing { longest_us.min(STANDING_WAIT_US) } else { longest_us };
        let give_up_us = now_us + wait_us;
        if self.waiting.len() >= self.capacity {
            // The newest of the least important calls gives way.
            let least =
                self.waiting.iter().enumerate().min_by_key(|(_, waiting)| {
                    (waiting.priority, std::cmp::Reverse(waiting.ticket))
                });
            match least {
                Some((position, waiting)) if waiting.priority < priority => {
                    self.waiting.remove(position);
                }
                _ => return None,
            }
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.waiting.push(Waiting { ticket, priority, give_up_us });
        Some(ticket)
    }

    /// What the holder of a ticket may do now.
    pub fn decide(&self, ticket: Ticket, now_us: u64) -> QueueDecision {
        let Some(own) = self.waiting.iter().find(|waiting| waiting.ticket == ticket) else {
            return QueueDecision::Shed;
        };
        if now_us >= own.give_up_us {
            return QueueDecision::Shed;
        }
        let before_own = |other: &Waiting| {
            (std::cmp::Reverse(other.priority), other.ticket)
                < (std::cmp::Reverse(own.priority), own.ticket)
        };
        match self.waiting.iter().any(before_own) {
            true => QueueDecision::Wait,
            false => QueueDecision::Proceed,
        }
    }

    /// When the holder of a ticket must give up.
    pub fn wait_deadline_us(&self, ticket: Ticket) -> Option<u64> {
        self.waiting.iter().find(|waiting| waiting.ticket == ticket).map(|own| own.give_up_us)
    }

    /// Leaves the queue.
    pub fn leave(&mut self, ticket: Ticket) {
        self.waiting.retain(|waiting| waiting.ticket != ticket);
        if self.waiting.is_empty() {
            self.busy_since_us = None;
        }
    }
}
