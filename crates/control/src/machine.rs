//! State machines replicated by the consensus groups.

use claims::{ClaimAnswer, ClaimCommand, ClaimMachine};
use rollout::{Answer, ConfigMachine, Request};
use speedy::{Readable, Writable};

/// A deterministic state machine behind a replicated log.
pub trait StateMachine: Send + 'static {
    /// Command replicated through the log.
    type Command: Writable<speedy::LittleEndian> + for<'a> Readable<'a, speedy::LittleEndian> + Send;
    /// Result of applying a command.
    type Answer: Send;

    /// Applies the committed command at log position `index`.
    fn apply(&mut self, index: u64, command: &Self::Command) -> Self::Answer;
    /// Encodes the complete state for a snapshot.
    fn encode(&self) -> Vec<u8>;
    /// Decodes a complete state; an empty slice decodes to the initial state.
    fn decode(bytes: &[u8]) -> Result<Self, speedy::Error>
    where
        Self: Sized;
}

/// Replicated configuration state.
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

/// Replicated claim state of one group.
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
