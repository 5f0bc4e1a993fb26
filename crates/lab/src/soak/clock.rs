//! Clock and event lists shared by all threads of a soak round.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// Measures milliseconds since the start of a soak round.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Clock(Instant::now())
    }

    /// Returns the milliseconds since the start.
    pub fn now(&self) -> soak::Millis {
        self.0.elapsed().as_millis() as soak::Millis
    }
}

/// List of events that many threads append to.
#[derive(Debug)]
pub struct EventList<T>(Arc<Mutex<Vec<T>>>);

impl<T> Clone for EventList<T> {
    fn clone(&self) -> Self {
        EventList(self.0.clone())
    }
}

impl<T> Default for EventList<T> {
    fn default() -> Self {
        EventList(Arc::default())
    }
}

impl<T> EventList<T> {
    /// Appends an event.
    pub fn push(&self, event: T) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(event);
    }

    /// Removes and returns all events.
    pub fn take(&self) -> Vec<T> {
        std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
