//! The header that a call carries between two sidecars, and back.

use crate::{CrashId, InstanceState};

/// Name of the header, on requests and on answers.
pub const HOP_HEADER: &str = "x-chutecove-hop";
/// Name of the header on a `100 Continue` that says how many bytes more of an offered body may be
/// sent. Without it, as sidecars of an earlier version answer, the whole body may.
pub const GRANT_HEADER: &str = "x-chutecove-grant";
/// Longest body that is sent without having been offered over any link, bytes.
const MOST_UNASKED_BYTES: f64 = 8.0 * 1024.0;
/// Longest time for which a body that was not offered occupies a link, milliseconds: that of the
/// first kilobyte at 1 Mbit/s, where offers were first played (docs/design/0014).
const MOST_UNASKED_MS: f64 = 8.0;

/// Longest body that is sent without having been offered over a link that carries so many bytes a
/// millisecond, bytes; `None` if its speed is not known.
pub fn max_unoffered_bytes(link_bytes_per_ms: Option<f64>) -> usize {
    let carried = link_bytes_per_ms.map_or(MOST_UNASKED_BYTES, |rate| rate * MOST_UNASKED_MS);
    carried.clamp(0.0, MOST_UNASKED_BYTES) as usize
}

/// When a call left its sender, by the sender's own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Departure {
    /// Drawn by each sender at its start; tells clocks apart.
    pub clock: u32,
    /// Milliseconds of that clock.
    pub at_ms: u64,
}

/// What the calling sidecar tells the one beside the upstream. As a header value: eleven
/// words separated by blanks; the seventh is `-` for any instance, the last four may be missing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HopRequest {
    /// Time left for the whole call, milliseconds.
    pub deadline_ms: u64,
    /// Longest useful wait for a slot, milliseconds.
    pub patience_ms: u64,
    /// Order among waiting calls; 0 goes first.
    pub rank: u32,
    /// Target latency of its route, milliseconds; of one rank, the shorter goes first.
    pub target_ms: u64,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// Service that must run it.
    pub service: String,
    /// Incarnation that should run it.
    pub instance: Option<String>,
    /// When it left; not told by sidecars of an earlier version.
    pub departure: Option<Departure>,
    /// Whether an upstream ended while it ran this call or one like it, so that it may crash the
    /// next one, too. Sidecars of an earlier version neither tell nor heed it.
    pub suspect: bool,
    /// Whether a run that holds a slot elsewhere waits for it: refused, that run was in vain.
    pub begun: bool,
    /// Whether another upstream had the call before: what its run asks for is asked for once more.
    pub repeat: bool,
    /// Whether another upstream has it now: a hedged second try.
    pub hedge: bool,
    /// What the call takes at an upstream of usual pace, milliseconds; 0 if that is not known.
    pub usual_ms: u32,
}

/// Letters of the last word of a request.
const SUSPECT: char = 's';
const BEGUN: char = 'b';
const REPEAT: char = 'r';
const HEDGE: char = 'h';

impl HopRequest {
    /// The header value.
    pub fn encode(&self) -> String {
        let marks = [
            (self.suspect, SUSPECT),
            (self.begun, BEGUN),
            (self.repeat, REPEAT),
            (self.hedge, HEDGE),
        ];
        let mut marks: String =
            marks.into_iter().filter(|(set, _)| *set).map(|(_, mark)| mark).collect();
        let marked = !marks.is_empty() || self.usual_ms > 0;
        let mut departure = match self.departure {
            Some(departure) => format!(" {:x} {}", departure.clock, departure.at_ms),
            None if marked => " - -".to_owned(),
            None => String::new(),
        };
        if self.usual_ms > 0 {
            let held = if marks.is_empty() { "-" } else { &marks };
            marks = format!("{held} {}", self.usual_ms);
        }
        if marked {
            departure.push(' ');
            departure.push_str(&marks);
        }
        format!(
            "{} {} {} {} {} {} {}{departure}",
            self.deadline_ms,
            self.patience_ms,
            self.rank,
            self.target_ms,
            u8::from(self.repeatable),
            self.service,
            self.instance.as_deref().unwrap_or("-"),
        )
    }

    /// Reads the header value.
    pub fn decode(text: &str) -> Option<HopRequest> {
        let mut words = text.split(' ');
        let request = HopRequest {
            deadline_ms: words.next()?.parse().ok()?,
            patience_ms: words.next()?.parse().ok()?,
            rank: words.next()?.parse().ok()?,
            target_ms: words.next()?.parse().ok()?,
            repeatable: words.next()? == "1",
            service: words.next()?.to_owned(),
            instance: words.next().filter(|id| *id != "-").map(str::to_owned),
            departure: decode_departure(words.next(), words.next()),
            suspect: false,
            begun: false,
            repeat: false,
            hedge: false,
            usual_ms: 0,
        };
        let marks = words.next().unwrap_or_default();
        let usual_ms = words.next().and_then(|word| word.parse().ok()).unwrap_or(0);
        Some(HopRequest {
            usual_ms,
            suspect: marks.contains(SUSPECT),
            begun: marks.contains(BEGUN),
            repeat: marks.contains(REPEAT),
            hedge: marks.contains(HEDGE),
            ..request
        })
    }
}

fn decode_departure(clock: Option<&str>, at_ms: Option<&str>) -> Option<Departure> {
    let clock = u32::from_str_radix(clock?, 16).ok()?;
    let at_ms = at_ms?.parse().ok()?;
    Some(Departure { clock, at_ms })
}

/// What became of a call at the sidecar beside the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HopOutcome {
    /// The upstream answered; the answer is the upstream's own.
    Answered,
    /// It was never given to the upstream, and never will be.
    Refused,
    /// The upstream said that it did not run it.
    Rejected,
    /// It was given to the upstream, which did not answer it properly.
    Unknown,
}

/// What the sidecar beside the upstream tells with every answer. As a header value: the outcome
/// and eighteen numbers or words separated by blanks; the last eleven may be missing. For a call in
/// quarantine, two hexadecimal numbers follow that name the ends of upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HopReply {
    /// What became of the call.
    pub outcome: HopOutcome,
    /// Calls the upstream works on.
    pub running: u32,
    /// Calls waiting for it.
    pub queued: u32,
    /// Most it is given at once.
    pub limit: u32,
    /// Recent time from giving a call to its answer, milliseconds.
    pub service_ms: u32,
    /// Time this call spent with the upstream, milliseconds.
    pub spent_ms: u32,
    /// When a slot is likely free, milliseconds; for refusals.
    pub retry_after_ms: u32,
    /// State of the upstream; `Left` also when there is none.
    pub state: InstanceState,
    /// Share of recent calls that the upstream failed, percent.
    pub failing_percent: u32,
    /// Part of its machine's link that is in use, percent; 0 if that is not known.
    pub link_percent: u32,
    /// How long a body offered now would wait for its machine's link, milliseconds.
    pub transfer_wait_ms: u32,
    /// What its machine's link brings of bodies, bytes a millisecond; 0 if that is not known.
    pub transfer_bytes_per_ms: u32,
    /// Whether the upstream ended while it ran the call.
    pub upstream_ended: bool,
    /// How much longer a call is kept from all upstreams, since it crashes them, milliseconds; 0 if
    /// it is not.
    pub quarantine_left_ms: u32,
    /// Two ends of upstreams that this rests on; zeros if they are not known.
    pub quarantine_crashes: [CrashId; 2],
    /// How long a large answer would wait for its machine's link, milliseconds.
    pub egress_wait_ms: u32,
    /// What its machine's link carries of large answers, bytes a millisecond; 0 if that is not
    /// known.
    pub egress_bytes_per_ms: u32,
    /// Whether a refusal is for want of room on that link, and not of a slot.
    pub link_full: bool,
    /// How long work takes at the upstream now, percent of what is usual at its service; 0 if that is
    /// not known.
    pub pace_percent: u32,
    /// What the upstream itself tells of that, percent; 0 if it tells nothing.
    pub told_pace_percent: u32,
}

impl HopReply {
    /// The header value.
    pub fn encode(&self) -> String {
        let outcome = match self.outcome {
            HopOutcome::Answered => 'a',
            HopOutcome::Refused => 'r',
            HopOutcome::Rejected => 'j',
            HopOutcome::Unknown => 'u',
        };
        let state = match self.state {
            InstanceState::Ready => 'r',
            InstanceState::Draining => 'd',
            InstanceState::Left => 'l',
        };
        let crashes = match self.quarantine_crashes {
            [CrashId(0), CrashId(0)] => String::new(),
            [first, second] => format!(" {first} {second}"),
        };
        format!(
            "{outcome} {} {} {} {} {} {} {state} {} {} {} {} {} {} {} {} {} {} {}{crashes}",
            self.running,
            self.queued,
            self.limit,
            self.service_ms,
            self.spent_ms,
            self.retry_after_ms,
            self.failing_percent,
            self.link_percent,
            self.transfer_wait_ms,
            self.transfer_bytes_per_ms,
            u8::from(self.upstream_ended),
            self.quarantine_left_ms,
            self.egress_wait_ms,
            self.egress_bytes_per_ms,
            u8::from(self.link_full),
            self.pace_percent,
            self.told_pace_percent
        )
    }

    /// Reads the header value.
    pub fn decode(text: &str) -> Option<HopReply> {
        let mut words = text.split(' ');
        let outcome = match words.next()? {
            "a" => HopOutcome::Answered,
            "r" => HopOutcome::Refused,
            "j" => HopOutcome::Rejected,
            "u" => HopOutcome::Unknown,
            _ => return None,
        };
        let mut number = || words.next()?.parse::<u32>().ok();
        let (running, queued, limit) = (number()?, number()?, number()?);
        let (service_ms, spent_ms, retry_after_ms) = (number()?, number()?, number()?);
        let state = match words.next()? {
            "r" => InstanceState::Ready,
            "d" => InstanceState::Draining,
            "l" => InstanceState::Left,
            _ => return None,
        };
        // Sidecars of an earlier version do not tell these.
        let mut later = || words.next().and_then(|word| word.parse().ok()).unwrap_or(0);
        let (failing_percent, link_percent) = (later(), later());
        let (transfer_wait_ms, transfer_bytes_per_ms) = (later(), later());
        let upstream_ended = later() == 1;
        let quarantine_left_ms = later();
        let (egress_wait_ms, egress_bytes_per_ms) = (later(), later());
        let link_full = later() == 1;
        let (pace_percent, told_pace_percent) = (later(), later());
        let mut crash = || {
            let number = words.next().and_then(|word| u64::from_str_radix(word, 16).ok());
            CrashId(number.unwrap_or(0))
        };
        let quarantine_crashes = [crash(), crash()];
        Some(HopReply {
            outcome,
            running,
            queued,
            limit,
            service_ms,
            spent_ms,
            retry_after_ms,
            state,
            failing_percent,
            link_percent,
            transfer_wait_ms,
            transfer_bytes_per_ms,
            upstream_ended,
            quarantine_left_ms,
            quarantine_crashes,
            egress_wait_ms,
            egress_bytes_per_ms,
            link_full,
            pace_percent,
            told_pace_percent,
        })
    }
}
