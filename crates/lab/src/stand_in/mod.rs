//! Stand-ins for what is outside the product.

pub mod backend;
pub mod caller;
pub mod ledger;
pub mod link;
pub mod platform;
