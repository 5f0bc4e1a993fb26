//! Stubs of what surrounds the product: callers, backends, network links and the platform.

pub mod backend;
pub mod caller;
pub mod ledger;
pub mod link;
pub mod platform;
