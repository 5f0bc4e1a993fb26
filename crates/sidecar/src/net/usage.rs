//! What passes between this machine and others, by use.

/// What a connection to another machine is for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkUse {
    /// Calls that go to peers.
    Calls,
    /// Answers that go to peers, refusals and grants included.
    Answers,
    /// What coordinators are told.
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
    /// What coordinators are told.
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

/// Bytes that passed between this machine and others.
#[derive(Clone, Copy, Debug, Default)]
pub struct Passed {
    /// From others.
    pub received: usize,
    /// To others.
    pub sent: usize,
}
