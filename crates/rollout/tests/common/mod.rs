//! A replicated state machine to which commands are applied one after the other.

use rollout::{
    Accepted, Answer, ApprovalPolicy, Command, ConfigMachine, Request, CONTROL_OPERATOR,
};

/// Who may replace the configuration.
pub const SOURCE: &str = "platform";

#[derive(Default)]
pub struct Fleet {
    pub machine: ConfigMachine,
    pub index: u64,
}

impl Fleet {
    /// One that trusts [`SOURCE`].
    pub fn trusting() -> Self {
        let mut fleet = Fleet::default();
        let policy = ApprovalPolicy::TrustedSource { principal: SOURCE.to_owned() };
        let set = fleet.apply(CONTROL_OPERATOR, Command::SetApprovalPolicy { policy });
        assert_eq!(set, Ok(Accepted::PolicySet));
        fleet
    }

    pub fn apply(&mut self, operator: &str, command: Command) -> Answer {
        self.index += 1;
        let request_id = format!("r{}", self.index);
        let request = Request { operator: operator.to_owned(), request_id, command };
        self.machine.apply(self.index, &request)
    }
}
