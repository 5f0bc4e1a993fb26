//! The typed configuration: services, routes, secrets and tenants that belong together.
//!
//! A [`Bundle`] is whole by construction: every route's service and secret is in it. Objects are
//! content-addressed, so two bundles differ by a [`Delta`] of a few objects. This crate does no
//! network or disk I/O apart from [`source::load`], which reads an operator's files.
#![forbid(unsafe_code)]

mod approval;
mod delta;
mod digest;
mod object;
mod seal;
pub mod source;
mod tenant;
mod validate;

pub use approval::{approval_message, Approval, ApprovalError, OperatorKeys};
pub use delta::{best_update, BundleUpdate, Delta, UpdateError};
pub use digest::{Digest, DigestParseError};
pub use object::{
    Bundle, CallLimits, ColdStart, HashedObject, Object, ObjectId, ObjectKind, Priority, Route,
    SealedSecret, Service, SharedRoute, Target, CALL_LIMITS_NAME,
};
pub use seal::{SealError, SealKey, SealKeys};
pub use tenant::{KeyFingerprint, Tenant};
pub use validate::{Limits, Problem, LIMITS};
