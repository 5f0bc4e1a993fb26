//! Control plane: replicates the configuration and idempotency claims and serves them to relays and
//! operators.
//!
//! One process hosts several independent consensus groups: group 0 holds the configuration,
//! groups 1 and up hold claims. Each group has a [`Replica`] with its own thread, store and log.
#![forbid(unsafe_code)]

mod address_book;
mod api;
mod authentication;
mod machine;
mod members;
mod propagation;
mod replica;
mod runtime;
mod serve;
mod transport;

pub use api::{ApiError, MemberChange, MembersView, StatusView};
pub use authentication::{
    signing_message, AuthenticationError, OperatorDirectory, OPERATOR_HEADER, REQUEST_ID_HEADER,
    SIGNATURE_HEADER, TIME_HEADER,
};
pub use machine::{ClaimState, ConfigState, StateMachine};
pub use members::{change_group, MemberChange as GroupChange};
pub use replica::{Replica, ReplicaParameters, ReplicaStatus, RequestError};
pub use runtime::{run, ControlError, RunningControl, StartMode, CLAIM_GROUP_PREFIX, CONFIG_GROUP};
