//! What a group replicates.

use claims::{ClaimAnswer, ClaimCommand, ClaimMachine};
use rollout::{Answer, ConfigMachine, Request};
use speedy::{Readable, Writable};

/// A deterministic state machine behind a replicated log.
pub trait StateMachine: Send + 'static {
    /// What is proposed.
    type Command: Writable<speedy::LittleEndian> + for<'a> Readable<'a, speedy::LittleEndian> + Send;
    /// What a proposal is answered with.
    type Answer: Send;

    /// Applies a committed command.
    fn apply(&mut self, index: u64, command: &Self::Command) -> Self::Answer;
    /// The whole state.
    fn encode(&self) -> Vec<u8>;
    /// Restores a whole state; empty bytes stand for the initial one.
    fn decode(bytes: &[u8]) -> Result<Self, speedy::Error>
    where
        Self: Sized;
}

/// The configuration.
#[derive(Debug, Default)]
pub struct ConfigState(pub ConfigMachine);

impl StateMachine for ConfigState {
    type Command = Request;
    type Answer = Answer;

    fn apply(&mut self, index: u64, command: &Request) -> Answer {
        self.0.apply(index, command)
    }

    fn encode(&self) -> Vec<u8> {
        self.0.encode()
    }

    fn decode(bytes: &[u8]) -> Result<Self, speedy::Error> {
        ConfigMachine::decode(bytes).map(ConfigState)
    }
}

/// The claims of one group.
#[derive(Debug, Default)]
pub struct ClaimState(pub ClaimMachine);

impl StateMachine for ClaimState {
    type Command = ClaimCommand;
    type Answer = ClaimAnswer;

    fn apply(&mut self, _index: u64, command: &ClaimCommand) -> ClaimAnswer {
        self.0.apply(command)
    }

    fn encode(&self) -> Vec<u8> {
        self.0.encode()
    }

    fn decode(bytes: &[u8]) -> Result<Self, speedy::Error> {
        ClaimMachine::decode(bytes).map(ClaimState)
    }
}
