//! Fault scenarios, and broken variants in which one safety mechanism is disabled.

use std::fmt;
use std::str::FromStr;

/// A family of faults. The seed determines their times and targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Scenario {
    /// No faults.
    Calm,
    /// Single processes are killed and restart.
    Kill,
    /// Many processes are killed at once and reconnect together (thundering herd).
    Herd,
    /// A control replica loses its disk and is replaced by a new member.
    LostDisk,
    /// Control replicas crash in the middle of a write.
    TornWrite,
    /// Zones cannot reach each other.
    Cut,
    /// Messages are lost in one direction only.
    OneWayCut,
    /// Control leaders and relays are partitioned from control replicas without connection errors.
    Silence,
    /// Processes are paused for a long time and resume with stale state.
    Freeze,
    /// Machines are suspended for seconds. A monotonic clock does not count that time.
    Sleep,
    /// Clocks run at different speeds.
    Skew,
    /// Messages are delayed, reordered, duplicated and lost.
    Delay,
    /// All control replicas are down for a while.
    Outage,
    /// Operators submit concurrently under equal version numbers and resend after lost answers.
    Race,
    /// A second control replica loses its disk right after the first was replaced.
    RepairThenLoss,
    /// Proxies restart after missing hundreds of changes.
    Behind,
    /// Two of the other scenarios at once.
    Two,
}

impl Scenario {
    /// All scenarios, in the order in which [`Scenario::for_seed`] cycles through them.
    pub const ALL: [Scenario; 17] = [
        Scenario::Calm,
        Scenario::Kill,
        Scenario::Herd,
        Scenario::LostDisk,
        Scenario::TornWrite,
        Scenario::Cut,
        Scenario::OneWayCut,
        Scenario::Silence,
        Scenario::Freeze,
        Scenario::Skew,
        Scenario::Delay,
        Scenario::Outage,
        Scenario::Race,
        Scenario::RepairThenLoss,
        Scenario::Behind,
        Scenario::Sleep,
        Scenario::Two,
    ];

    /// Returns the name used on the command line and in reports, which must not change.
    pub fn as_str(self) -> &'static str {
        match self {
            Scenario::Calm => "calm",
            Scenario::Kill => "kill",
            Scenario::Herd => "herd",
            Scenario::LostDisk => "lost-disk",
            Scenario::TornWrite => "torn-write",
            Scenario::Cut => "cut",
            Scenario::OneWayCut => "one-way-cut",
            Scenario::Silence => "silence",
            Scenario::Freeze => "freeze",
            Scenario::Sleep => "sleep",
            Scenario::Skew => "skew",
            Scenario::Delay => "delay",
            Scenario::Outage => "outage",
            Scenario::Race => "race",
            Scenario::RepairThenLoss => "repair-then-loss",
            Scenario::Behind => "behind",
            Scenario::Two => "two",
        }
    }

    /// Returns the default scenario of a seed; consecutive seeds cycle through all scenarios.
    pub fn for_seed(seed: u64) -> Scenario {
        Scenario::ALL[(seed % Scenario::ALL.len() as u64) as usize]
    }

    /// Returns the scenarios to inject: this one, or for [`Scenario::Two`] two different
    /// random ones other than [`Scenario::Calm`].
    pub(crate) fn components(self, random: &mut fastrand::Rng) -> Vec<Scenario> {
        if self != Scenario::Two {
            return vec![self];
        }
        let single = Scenario::ALL.len() - 1;
        let first = random.usize(1..single);
        let second = 1 + (first + random.usize(0..single - 2)) % (single - 1);
        vec![Scenario::ALL[first], Scenario::ALL[second]]
    }
}

impl fmt::Display for Scenario {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

impl FromStr for Scenario {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Scenario::ALL.into_iter().find(|scenario| scenario.as_str() == text);
        found.ok_or_else(|| format!("'{text}' is not a scenario"))
    }
}

/// A variant with one safety mechanism disabled, which the checker must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrokenVariant {
    /// A replica votes twice in one term.
    DoubleVote,
    /// Leaders answer reads without confirmation by a quorum.
    UnconfirmedReads,
    /// Disks report success before data is durable.
    LyingDisks,
    /// A replica that lost its disk rejoins under its old id.
    SameIdAfterLostDisk,
    /// Relays serve starting proxies without having control confirm their revision.
    RelayWithoutConfirmation,
    /// Relays send, and proxies apply, a generation older than the one in force.
    AcceptsOlder,
    /// Proxies apply one object of a delta at a time.
    ProxyAppliesUnchecked,
    /// Proxies forget that a back end is leaving.
    ProxyForgetsLeaving,
    /// A second attempt of a call with an idempotency key is started.
    ClaimStartsTwice,
    /// An operator's resent request is executed again.
    ForgetsAnswers,
    /// A version number is accepted for two different bundles.
    AcceptsVersionTwice,
    /// A withdrawal decreases the generation number.
    WithdrawCountsDown,
    /// Relays never switch to another control replica.
    RelayStaysWithDeadLeader,
    /// A call whose answer was lost is reported to the caller as not executed.
    LostAnswerToldNotRun,
    /// Relays ignore that back ends are leaving.
    RelayIgnoresLeaving,
    /// Clocks stop while machines are suspended, and the suspension is not detected.
    SteadyClocks,
}

impl BrokenVariant {
    /// All variants.
    pub const ALL: [BrokenVariant; 16] = [
        BrokenVariant::DoubleVote,
        BrokenVariant::UnconfirmedReads,
        BrokenVariant::LyingDisks,
        BrokenVariant::SameIdAfterLostDisk,
        BrokenVariant::RelayWithoutConfirmation,
        BrokenVariant::AcceptsOlder,
        BrokenVariant::ProxyAppliesUnchecked,
        BrokenVariant::ProxyForgetsLeaving,
        BrokenVariant::ClaimStartsTwice,
        BrokenVariant::ForgetsAnswers,
        BrokenVariant::AcceptsVersionTwice,
        BrokenVariant::WithdrawCountsDown,
        BrokenVariant::RelayStaysWithDeadLeader,
        BrokenVariant::LostAnswerToldNotRun,
        BrokenVariant::RelayIgnoresLeaving,
        BrokenVariant::SteadyClocks,
    ];

    /// Returns the name used on the command line and in reports, which must not change.
    pub fn as_str(self) -> &'static str {
        match self {
            BrokenVariant::DoubleVote => "double-vote",
            BrokenVariant::UnconfirmedReads => "unconfirmed-reads",
            BrokenVariant::LyingDisks => "lying-disks",
            BrokenVariant::SameIdAfterLostDisk => "same-id-after-lost-disk",
            BrokenVariant::RelayWithoutConfirmation => "relay-without-confirmation",
            BrokenVariant::AcceptsOlder => "accepts-older",
            BrokenVariant::ProxyAppliesUnchecked => "proxy-applies-unchecked",
            BrokenVariant::ProxyForgetsLeaving => "proxy-forgets-leaving",
            BrokenVariant::ClaimStartsTwice => "claim-starts-twice",
            BrokenVariant::ForgetsAnswers => "forgets-answers",
            BrokenVariant::AcceptsVersionTwice => "accepts-version-twice",
            BrokenVariant::WithdrawCountsDown => "withdraw-counts-down",
            BrokenVariant::RelayStaysWithDeadLeader => "relay-stays-with-dead-leader",
            BrokenVariant::LostAnswerToldNotRun => "lost-answer-told-not-run",
            BrokenVariant::RelayIgnoresLeaving => "relay-ignores-leaving",
            BrokenVariant::SteadyClocks => "steady-clocks",
        }
    }

    /// Returns the scenario in which the variant must be detected.
    pub fn scenario(self) -> Scenario {
        match self {
            BrokenVariant::DoubleVote => Scenario::Herd,
            BrokenVariant::UnconfirmedReads => Scenario::Silence,
            BrokenVariant::LyingDisks => Scenario::Herd,
            BrokenVariant::SameIdAfterLostDisk => Scenario::RepairThenLoss,
            BrokenVariant::RelayWithoutConfirmation => Scenario::Silence,
            BrokenVariant::AcceptsOlder => Scenario::Silence,
            BrokenVariant::ProxyAppliesUnchecked => Scenario::Calm,
            BrokenVariant::ProxyForgetsLeaving => Scenario::Herd,
            BrokenVariant::ClaimStartsTwice => Scenario::Kill,
            BrokenVariant::ForgetsAnswers => Scenario::Race,
            BrokenVariant::AcceptsVersionTwice => Scenario::Race,
            BrokenVariant::WithdrawCountsDown => Scenario::Calm,
            BrokenVariant::RelayStaysWithDeadLeader => Scenario::Kill,
            BrokenVariant::LostAnswerToldNotRun => Scenario::Kill,
            BrokenVariant::RelayIgnoresLeaving => Scenario::Calm,
            BrokenVariant::SteadyClocks => Scenario::Sleep,
        }
    }
}

impl fmt::Display for BrokenVariant {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

impl FromStr for BrokenVariant {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = BrokenVariant::ALL.into_iter().find(|variant| variant.as_str() == text);
        found.ok_or_else(|| format!("'{text}' is not a broken variant"))
    }
}
