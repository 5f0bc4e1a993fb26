//! What all threads of a soak share.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// Milliseconds since the start of a soak.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Starts now.
    pub fn start() -> Self {
        Clock(Instant::now())
    }

    /// Now.
    pub fn now(&self) -> soak::Millis {
        self.0.elapsed().as_millis() as soak::Millis
    }
}

/// Events that many threads add to.
#[derive(Debug)]
pub struct Shared<T>(Arc<Mutex<Vec<T>>>);

impl<T> Clone for Shared<T> {
    fn clone(&self) -> Self {
        Shared(self.0.clone())
    }
}

impl<T> Default for Shared<T> {
    fn default() -> Self {
        Shared(Arc::default())
    }
}

impl<T> Shared<T> {
    /// Adds one.
    pub fn push(&self, event: T) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(event);
    }

    /// Takes all.
    pub fn take(&self) -> Vec<T> {
        std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
