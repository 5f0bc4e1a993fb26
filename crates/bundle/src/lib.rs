//! The typed configuration: services, routes, secrets, call limits and tenants that form one unit.
//!
//! A valid [`Bundle`] is self-contained: it holds every service and secret that its routes refer
//! to. Objects are content-addressed, so two versions of a bundle differ by a [`Delta`] of a few
//! objects. This crate does no network or disk I/O apart from [`source::load`], which reads an
//! operator's files.
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
