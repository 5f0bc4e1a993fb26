//! The names and formats that callers and upstreams use: the runtime knows what to do, a dialect
//! how it is said.

use mesh::{Incarnation, InstanceRecord};

/// Header names between callers, sidecars and upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// Id of one attempt of a caller, chosen by the caller.
    pub attempt_id: &'static str,
    /// Time left, milliseconds.
    pub deadline_ms: &'static str,
    /// Proof of an upstream that the answer is its own.
    pub seal: &'static str,
    /// Incarnation that must run the request.
    pub expect_instance: &'static str,
    /// Set by an upstream that did not run the request.
    pub not_run: &'static str,
    /// Service on whose machine the request began.
    pub caller: &'static str,
    /// Key of a caller's tenant; never passed on.
    pub api_key: &'static str,
    /// Name of the tenant, for upstreams.
    pub tenant: &'static str,
    /// What an upstream tells of its load with an answer.
    pub load: &'static str,
}

/// What an upstream tells of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it works on at once.
    pub slots: u32,
    /// How long work takes there now, percent of what is usual at its service.
    pub pace_percent: Option<u32>,
}

/// What an upstream tells of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistrationCall {
    /// It lives.
    Heartbeat {
        /// State of the incarnation.
        record: InstanceRecord,
        /// Its service, as it says.
        service: String,
        /// Order among its messages.
        sequence: u64,
    },
    /// It ends.
    Leave {
        /// Which incarnation; without the time of its start, the one that is known by that id.
        incarnation: Incarnation,
    },
    /// It cannot be read.
    Unreadable {
        /// Why.
        reason: String,
    },
}

/// Translates between an upstream's format and the product's types. It decides nothing.
pub trait RegistrationDialect {
    /// Reads a request; `None` if it is no call of upstreams.
    fn read(&self, method: &str, target: &str, body: &[u8]) -> Option<RegistrationCall>;

    /// Reads what an upstream tells of its load with an answer; `None` if it tells nothing, or nothing
    /// that can be read.
    fn read_load(&self, value: &str) -> Option<ReportedLoad>;

    /// Path of the readiness check.
    fn ready_path(&self) -> &'static str;
}
