//! Headers that two sidecars add to the requests and responses of a call.

use crate::{CallRate, CrashId, InstanceState};

/// Name of the header that carries a [`HopRequest`] or a [`HopReply`].
pub const HOP_HEADER: &str = "x-chutecove-hop";
/// Header of a `100 Continue` response: the number of further bytes of an offered body that may be
/// sent. Without it, as in responses of sidecars of an earlier version, the whole body may be sent.
pub const GRANT_HEADER: &str = "x-chutecove-grant";
/// Maximum size of a body that is sent without an offer (`Expect: 100-continue`), on any link,
/// bytes.
const MAX_UNOFFERED_BYTES: f64 = 8.0 * 1024.0;
/// Maximum time for which a body sent without an offer occupies a link, milliseconds: the time of 1
/// kB at 1 Mbit/s, the link speed for which offers were first simulated (docs/design/0014).
const MAX_UNOFFERED_MS: f64 = 8.0;

/// Maximum size of a body that is sent without an offer over a link of the given throughput, bytes.
/// `None` means that the throughput is not known.
pub fn max_unoffered_bytes(link_bytes_per_ms: Option<f64>) -> usize {
    let carried = link_bytes_per_ms.map_or(MAX_UNOFFERED_BYTES, |rate| rate * MAX_UNOFFERED_MS);
    carried.clamp(0.0, MAX_UNOFFERED_BYTES) as usize
}

/// Time at which a call left its sender, by the sender's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Departure {
    /// Random id of the clock, chosen at each start of the sender.
    pub clock: u32,
    /// Milliseconds on that clock.
    pub at_ms: u64,
}

/// Metadata that the caller's sidecar sends to the upstream's sidecar. Encoded as a header value of
/// twelve words separated by spaces; the seventh is `-` for any instance, the last five are
/// optional.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HopRequest {
    /// Remaining time of the whole call, milliseconds.
    pub deadline_ms: u64,
    /// Maximum time that the call may wait for a slot, milliseconds.
    pub patience_ms: u64,
    /// Priority among waiting calls; 0 is the highest.
    pub rank: u32,
    /// Target latency of its route, milliseconds; within a rank, the lowest goes first.
    pub target_ms: u64,
    /// Whether the call may be executed more than once.
    pub repeatable: bool,
    /// Service that must execute it.
    pub service: String,
    /// Id of the instance that should execute it.
    pub instance: Option<String>,
    /// Departure time; absent from sidecars of an earlier version.
    pub departure: Option<Departure>,
    /// Whether an upstream crashed while it ran this call or an identical one, so that the call may
    /// crash the next upstream as well. Sidecars of an earlier version neither set nor evaluate it.
    pub suspect: bool,
    /// Whether an upstream call that holds a slot elsewhere waits for this one: a refusal would
    /// waste the work that it has already done.
    pub nested: bool,
    /// Whether the call was sent to another upstream before; the calls that it makes then
    /// count as retries.
    pub repeat: bool,
    /// Whether another upstream has it at the same time: a hedged second attempt.
    pub hedge: bool,
    /// Service time of the call at an upstream of usual speed, milliseconds; 0 if not known.
    pub usual_ms: u32,
    /// Rate limit that the instance stated in an answer to this sender, for a sidecar that has
    /// restarted since.
    pub rate_limit: Option<CallRate>,
}

// Flags in the tenth word of a request.
const SUSPECT: char = 's';
const NESTED: char = 'b';
const REPEAT: char = 'r';
const HEDGE: char = 'h';

impl HopRequest {
    /// Encodes the header value.
    pub fn encode(&self) -> String {
        let flags = [
            (self.suspect, SUSPECT),
            (self.nested, NESTED),
            (self.repeat, REPEAT),
            (self.hedge, HEDGE),
        ];
        let mut flags: String =
            flags.into_iter().filter(|(set, _)| *set).map(|(_, flag)| flag).collect();
        let has_numbers = self.usual_ms > 0 || self.rate_limit.is_some();
        let has_flags = !flags.is_empty() || has_numbers;
        let mut departure = match self.departure {
            Some(departure) => format!(" {:x} {}", departure.clock, departure.at_ms),
            None if has_flags => " - -".to_owned(),
            None => String::new(),
        };
        if has_numbers {
            let letters = if flags.is_empty() { "-" } else { &flags };
            flags = format!("{letters} {}", self.usual_ms);
        }
        if let Some(rate_limit) = self.rate_limit {
            flags.push_str(&format!(" {rate_limit}"));
        }
        if has_flags {
            departure.push(' ');
            departure.push_str(&flags);
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

    /// Decodes a header value; `None` if it is malformed.
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
            nested: false,
            repeat: false,
            hedge: false,
            usual_ms: 0,
            rate_limit: None,
        };
        let flags = words.next().unwrap_or_default();
        let usual_ms = words.next().and_then(|word| word.parse().ok()).unwrap_or(0);
        let rate_limit = words.next().and_then(|word| word.parse().ok());
        Some(HopRequest {
            usual_ms,
            rate_limit,
            suspect: flags.contains(SUSPECT),
            nested: flags.contains(NESTED),
            repeat: flags.contains(REPEAT),
            hedge: flags.contains(HEDGE),
            ..request
        })
    }
}

fn decode_departure(clock: Option<&str>, at_ms: Option<&str>) -> Option<Departure> {
    let clock = u32::from_str_radix(clock?, 16).ok()?;
    let at_ms = at_ms?.parse().ok()?;
    Some(Departure { clock, at_ms })
}

/// Outcome of a call at the upstream's sidecar.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HopOutcome {
    /// The upstream responded; the response is the upstream's own.
    Answered,
    /// The call was not forwarded to the upstream and will not be.
    Refused,
    /// The upstream stated that it did not execute the call.
    Rejected,
    /// The call was forwarded to the upstream, which did not return a valid response.
    Unknown,
}

/// Metadata that the upstream's sidecar adds to every response. Encoded as a header value of the
/// outcome and eighteen numbers or words separated by spaces; the last eleven are optional. For a
/// call in quarantine, the ids of two crashes follow as hexadecimal numbers. An upstream that
/// states something of itself adds four words: these ids, its rate limit or `u` if that was lifted, and `l` if it is
/// leaving. A sidecar that is stopping adds a fifth, the longest time of a call that it accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HopReply {
    /// Outcome of the call.
    pub outcome: HopOutcome,
    /// Calls that the upstream is executing.
    pub running: u32,
    /// Calls that wait for the upstream.
    pub queued: u32,
    /// Maximum number of concurrent calls to the upstream.
    pub limit: u32,
    /// Recent time from forwarding a call to its response, milliseconds.
    pub service_ms: u32,
    /// Time that this call spent at the upstream, milliseconds.
    pub spent_ms: u32,
    /// Expected time until a slot is free, milliseconds; set on refusals.
    pub retry_after_ms: u32,
    /// State of the upstream; `Left` if there is none.
    pub state: InstanceState,
    /// Failure rate of recent calls at the upstream, percent.
    pub failing_percent: u32,
    /// Utilization of its machine's network link, percent; 0 if not known.
    pub link_percent: u32,
    /// Expected wait of a body offered now for its machine's link, milliseconds.
    pub transfer_wait_ms: u32,
    /// Throughput of request bodies on its machine's link, bytes per millisecond; 0 if not known.
    pub transfer_bytes_per_ms: u32,
    /// Whether the upstream exited while it was executing the call.
    pub upstream_ended: bool,
    /// Remaining time for which the call is not forwarded to any upstream because it crashes them,
    /// milliseconds; 0 if it is not in quarantine.
    pub quarantine_left_ms: u32,
    /// Two crashes that justify the quarantine; zeros if not known.
    pub quarantine_crashes: [CrashId; 2],
    /// Expected wait of a large response for its machine's link, milliseconds.
    pub egress_wait_ms: u32,
    /// Throughput of large responses on its machine's link, bytes per millisecond; 0 if not known.
    pub egress_bytes_per_ms: u32,
    /// Whether a refusal is due to lack of capacity on that link rather than lack of a slot.
    pub link_full: bool,
    /// Current service time of the upstream, percent of the usual service time of its service; 0 if
    /// not known.
    pub service_time_percent: u32,
    /// The same as reported by the upstream itself, percent; 0 if not reported.
    pub reported_service_time_percent: u32,
    /// What is known of the upstream's rate limit; `None` if there is nothing to tell.
    pub rate_limit: Option<LimitReport>,
    /// Whether the upstream stated with this answer that it is leaving.
    pub upstream_leaving: bool,
    /// Longest remaining time of a call that the sidecar still accepts, because it is stopping,
    /// milliseconds; `None` if it is not. Sidecars of an earlier version neither set nor evaluate it.
    pub accepts_ms: Option<u32>,
}

/// What the upstream's sidecar tells a sender of the upstream's rate limit. A sidecar that has just
/// started knows nothing of it, so the absence of a limit is told only by the answers of upstreams
/// whose limit the sender believes to be in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitReport {
    /// The limit that the sender knew of is not in force any more.
    Lifted,
    /// The upstream states this limit.
    Limited(CallRate),
}

// Words of a reply on what the upstream states.
const NO_LIMIT_REPORT: &str = "-";
const LIFTED: &str = "u";
const LEAVING: &str = "l";

impl HopReply {
    /// Encodes the header value.
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
        let states_something =
            self.rate_limit.is_some() || self.upstream_leaving || self.accepts_ms.is_some();
        let crashes = match self.quarantine_crashes {
            [CrashId(0), CrashId(0)] if !states_something => String::new(),
            [first, second] => format!(" {first} {second}"),
        };
        let statements = if states_something { self.encode_statements() } else { String::new() };
        format!(
            "{outcome} {} {} {} {} {} {} {state} {} {} {} {} {} {} {} {} {} {} {}{crashes}{statements}",
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
            self.service_time_percent,
            self.reported_service_time_percent
        )
    }

    fn encode_statements(&self) -> String {
        let rate_limit = match self.rate_limit {
            None => NO_LIMIT_REPORT.to_owned(),
            Some(LimitReport::Lifted) => LIFTED.to_owned(),
            Some(LimitReport::Limited(rate)) => rate.to_string(),
        };
        let leaving = if self.upstream_leaving { LEAVING } else { "-" };
        let accepts = self.accepts_ms.map_or_else(String::new, |ms| format!(" {ms}"));
        format!(" {rate_limit} {leaving}{accepts}")
    }

    /// Decodes a header value; `None` if it is malformed.
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
        // Absent from sidecars of an earlier version.
        let mut optional = || words.next().and_then(|word| word.parse().ok()).unwrap_or(0);
        let (failing_percent, link_percent) = (optional(), optional());
        let (transfer_wait_ms, transfer_bytes_per_ms) = (optional(), optional());
        let upstream_ended = optional() == 1;
        let quarantine_left_ms = optional();
        let (egress_wait_ms, egress_bytes_per_ms) = (optional(), optional());
        let link_full = optional() == 1;
        let (service_time_percent, reported_service_time_percent) = (optional(), optional());
        let mut crash = || {
            let number = words.next().and_then(|word| u64::from_str_radix(word, 16).ok());
            CrashId(number.unwrap_or(0))
        };
        let quarantine_crashes = [crash(), crash()];
        let rate_limit = words.next().and_then(decode_limit_report);
        let upstream_leaving = words.next() == Some(LEAVING);
        let accepts_ms = words.next().and_then(|word| word.parse().ok());
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
            service_time_percent,
            reported_service_time_percent,
            rate_limit,
            upstream_leaving,
            accepts_ms,
        })
    }
}

fn decode_limit_report(word: &str) -> Option<LimitReport> {
    match word {
        LIFTED => Some(LimitReport::Lifted),
        word => word.parse().ok().map(LimitReport::Limited),
    }
}
