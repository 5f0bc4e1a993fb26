//! Which faults a run has, and which mechanism may be switched off.

use std::fmt;
use std::str::FromStr;

/// A family of faults; the seed decides when and where they strike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Scenario {
    /// No faults.
    Calm,
    /// Single processes are killed and restart.
    Kill,
    /// Many processes are killed at once and reconnect in a storm.
    Herd,
    /// A control replica loses its disk and is replaced by a new member.
    LostDisk,
    /// Control replicas crash in the middle of a write.
    TornWrite,
    /// Zones cannot reach each other.
    Cut,
    /// Messages are lost in one direction only.
    OneWayCut,
    /// Control machines and relays are cut off from control replicas in silence.
    Silence,
    /// Processes stop for long and wake up believing what they believed.
    Freeze,
    /// Machines are suspended for seconds; their steady clocks do not count it.
    Sleep,
    /// Clocks run at different speeds.
    Skew,
    /// Messages are late, out of order and doubled.
    Delay,
    /// The whole control source is gone for a while.
    Outage,
    /// Operators race under equal version numbers and resend after losing answers.
    Race,
    /// A second machine is lost right after a repair.
    RepairThenLoss,
    /// Proxies restart after hundreds of changes have passed them by.
    Behind,
    /// Two of the above at once.
    Two,
}

impl Scenario {
    /// Every scenario.
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

    /// The stable spelling.
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

    /// The scenario for a seed when none was named: each in turn.
    pub fn for_seed(seed: u64) -> Scenario {
        Scenario::ALL[(seed % Scenario::ALL.len() as u64) as usize]
    }

    /// The families in force: itself, or the two that the seed picks.
    pub(crate) fn families(self, random: &mut fastrand::Rng) -> Vec<Scenario> {
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

/// A product with one mechanism switched off, which a checker must notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrokenVariant {
    /// A voter votes twice in one term.
    DoubleVote,
    /// Leaders answer reads without a quorum.
    UnconfirmedReads,
    /// Disks report success before data is durable.
    LyingDisks,
    /// A replica whose disk was lost returns under its old id.
    SameIdAfterLostDisk,
    /// Relays serve starting proxies without confirmation.
    RelayWithoutConfirmation,
    /// Relays send, and proxies apply, a generation older than the one in force.
    AcceptsOlder,
    /// Proxies apply one object of a delta at a time.
    ProxyAppliesUnchecked,
    /// Proxies forget that a back end leaves.
    ProxyForgetsLeaving,
    /// A second attempt of a keyed call is started.
    ClaimStartsTwice,
    /// A resent operator's request is executed again.
    ForgetsAnswers,
    /// A version number is taken twice.
    AcceptsVersionTwice,
    /// A withdrawal counts the generation down.
    WithdrawCountsDown,
    /// Relays never look for another control replica.
    RelayStaysWithDeadLeader,
    /// A call whose answer was lost is told to be not run.
    LostAnswerToldNotRun,
    /// Relays take no notice of leaving back ends.
    RelayIgnoresLeaving,
    /// Clocks stand still while machines sleep, and nobody notices.
    SteadyClocks,
}

impl BrokenVariant {
    /// Every variant.
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

    /// The stable spelling.
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

    /// The scenario in which it is looked for.
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
