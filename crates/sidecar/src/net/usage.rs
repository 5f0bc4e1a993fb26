//! Traffic counters between this machine and others, by use.

/// The use of a connection to another machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkUse {
    /// Calls to peers.
    Calls,
    /// Answers to peers, including refusals and grants.
    Answers,
    /// Messages to coordinators.
    #[default]
    Control,
}

/// Bytes sent to other machines since the start, by use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SentBytes {
    /// Calls.
    pub calls: u64,
    /// Answers.
    pub answers: u64,
    /// Messages to coordinators.
    pub control: u64,
}

impl SentBytes {
    pub(super) fn note(&mut self, used_for: LinkUse, bytes: usize) {
        let total = match used_for {
            LinkUse::Calls => &mut self.calls,
            LinkUse::Answers => &mut self.answers,
            LinkUse::Control => &mut self.control,
        };
        *total += bytes as u64;
    }
}

/// Bytes exchanged with other machines.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Bytes received.
    pub received: usize,
    /// Bytes sent.
    pub sent: usize,
}
