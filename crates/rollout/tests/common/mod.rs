//! A state machine to which commands are applied in sequence, each with its own request id.

use rollout::{
    Accepted, Answer, ApprovalPolicy, Command, ConfigMachine, Request, CONTROL_OPERATOR,
};

/// Operator that is the trusted source.
pub const SOURCE: &str = "platform";

#[derive(Default)]
pub struct Fleet {
    pub machine: ConfigMachine,
    pub index: u64,
}

impl Fleet {
    /// A fleet whose trusted source is [`SOURCE`].
    pub fn with_trusted_source() -> Self {
        let mut fleet = Fleet::default();
        let policy = ApprovalPolicy::TrustedSource { principal: SOURCE.to_owned() };
        let answer = fleet.apply(CONTROL_OPERATOR, Command::SetApprovalPolicy { policy });
        assert_eq!(answer, Ok(Accepted::PolicySet));
        fleet
    }

    pub fn apply(&mut self, operator: &str, command: Command) -> Answer {
        self.index += 1;
        let request_id = format!("r{}", self.index);
        let request = Request { operator: operator.to_owned(), request_id, command };
        self.machine.apply(self.index, &request)
    }
}
