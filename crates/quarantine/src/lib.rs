//! Poison requests: those that crash whatever upstream runs them. Pure; time comes in with events.
#![forbid(unsafe_code)]

mod identity;

pub use identity::RequestIdentity;
