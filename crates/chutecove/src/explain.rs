//! Merges the log files of several nodes into the timeline of one request or one generation.
//!
//! The clocks of nodes differ. A call that two nodes logged bounds their clock difference: the peer
//! started it after the caller sent it, and ended it before the caller received the reply. The
//! timestamps of the peer are corrected by the midpoint of the narrowest bounds.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A parsed log line.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// Name of the node that wrote the line.
    pub node: String,
    /// Timestamp by the node's own clock, in milliseconds since the Unix epoch.
    pub time_ms: f64,
    /// Name of the event.
    pub event: String,
    /// All fields except the time and the event name.
    pub fields: BTreeMap<String, String>,
}

/// Selects the lines of a timeline.
#[derive(Clone, Debug, PartialEq)]
pub enum Query {
    /// All lines of a request, by its id.
    Request(String),
    /// All lines about a generation.
    Generation(u64),
    /// The state changes that all nodes logged around a point in time.
    Around {
        /// The point in time, in milliseconds since the Unix epoch.
        time_ms: f64,
        /// Length of the window before and after it, in milliseconds.
        within_ms: f64,
    },
}

/// Events that change the state a process acts on, or whether it can act at all.
const STATE_EVENTS: [&str; 19] = [
    "approval_policy_set",
    "coordinator_linked",
    "coordinator_lost",
    "coordinator_started",
    "coordinator_stopping",
    "end_acknowledged",
    "endpoint_state",
    "generation_in_force",
    "generation_not_applied",
    "instance_restored",
    "leader_changed",
    "membership_changed",
    "node_reported",
    "order_accepted",
    "settings_reloaded",
    "sidecar_connected",
    "sidecar_disconnected",
    "sidecar_started",
    "sidecar_stopping",
];

/// Parses one line; returns `None` if it is not a log line of this program. The word before `time=`
/// is the name of the node, unless it is missing or a number; `file` is the default.
pub fn parse_line(file: &str, text: &str) -> Option<LogLine> {
    let start = text.find("time=")?;
    let prefix = text[..start].split_whitespace().last();
    let node = prefix.filter(|word| word.parse::<f64>().is_err()).unwrap_or(file).to_owned();
    let mut fields = parse_fields(&text[start..]);
    let time = fields.remove("time")?;
    let parsed = humantime::parse_rfc3339(&time).ok()?;
    let since_epoch = parsed.duration_since(std::time::UNIX_EPOCH).ok()?;
    let event = fields.remove("event")?;
    Some(LogLine { node, time_ms: since_epoch.as_secs_f64() * 1_000.0, event, fields })
}

fn parse_fields(text: &str) -> BTreeMap<String, String> {
    let mut fields = BTreeMap::new();
    let mut rest = text.trim();
    while let Some((name, tail)) = rest.split_once('=') {
        let quoted = tail.starts_with('"');
        let end = if quoted { quoted_value_end(tail) } else { tail.find(' ') };
        let end = end.unwrap_or(tail.len());
        let value = tail[..end].trim_matches('"').to_owned();
        fields.insert(name.trim().to_owned(), value);
        rest = tail[end..].trim_start();
    }
    fields
}

/// Returns the position after the closing quote of a value that starts with a quote.
fn quoted_value_end(text: &str) -> Option<usize> {
    let mut escaped = false;
    for (position, character) in text.char_indices().skip(1) {
        match character {
            _ if escaped => escaped = false,
            '\\' => escaped = true,
            '"' => return Some(position + 1),
            _ => {}
        }
    }
    None
}

/// Returns the lines that match a query, ordered by timestamps corrected to a common clock.
pub fn explain(lines: &[LogLine], query: &Query) -> Vec<LogLine> {
    let offsets = clock_offsets(lines);
    let to_common_clock = |line: &LogLine| {
        let offset = offsets.get(&line.node).copied().unwrap_or(0.0);
        LogLine { time_ms: line.time_ms + offset, ..line.clone() }
    };
    let mut timeline: Vec<LogLine> =
        lines.iter().map(to_common_clock).filter(|line| matches_query(line, query)).collect();
    timeline.sort_by(|one, other| one.time_ms.total_cmp(&other.time_ms));
    timeline
}

fn matches_query(line: &LogLine, query: &Query) -> bool {
    match query {
        Query::Request(id) => line.fields.get("id") == Some(id),
        Query::Generation(generation) => {
            line.fields.get("generation") == Some(&generation.to_string())
        }
        Query::Around { time_ms, within_ms } => {
            let in_window = (line.time_ms - time_ms).abs() <= *within_ms;
            in_window && STATE_EVENTS.contains(&line.event.as_str())
        }
    }
}

/// Returns the clock correction to add to the timestamps of each node, relative to the first node of
/// each group of nodes that calls connect.
fn clock_offsets(lines: &[LogLine]) -> BTreeMap<String, f64> {
    let bounds = offset_bounds(lines);
    let nodes: BTreeSet<&String> = lines.iter().map(|line| &line.node).collect();
    let mut offsets: BTreeMap<String, f64> = BTreeMap::new();
    for root in nodes {
        if offsets.contains_key(root) {
            continue;
        }
        offsets.insert(root.clone(), 0.0);
        let mut queue = VecDeque::from([root.clone()]);
        while let Some(node) = queue.pop_front() {
            let node_offset = offsets[&node];
            for ((caller, peer), (lower, upper)) in &bounds {
                let midpoint = (lower + upper) / 2.0;
                let (other, offset) = if *caller == node {
                    (peer, node_offset + midpoint)
                } else if *peer == node {
                    (caller, node_offset - midpoint)
                } else {
                    continue;
                };
                if !offsets.contains_key(other) {
                    offsets.insert(other.clone(), offset);
                    queue.push_back(other.clone());
                }
            }
        }
    }
    offsets
}

type NodePair = (String, String);

/// For each pair of caller and peer, the lower and upper bound of how far the peer's clock lags behind
/// the caller's, in milliseconds.
fn offset_bounds(lines: &[LogLine]) -> BTreeMap<NodePair, (f64, f64)> {
    let mut by_id: BTreeMap<&String, Vec<&LogLine>> = BTreeMap::new();
    for line in lines {
        if let Some(id) = line.fields.get("id") {
            by_id.entry(id).or_default().push(line);
        }
    }
    let mut narrowest: BTreeMap<NodePair, (f64, f64)> = BTreeMap::new();
    for call_lines in by_id.values() {
        let event = |name: &str| call_lines.iter().find(|line| line.event == name);
        let (Some(placed), Some(replied)) = (event("call_placed"), event("hop_replied")) else {
            continue;
        };
        let started = event("job_started").or(event("job_refused"));
        let ended = event("job_ended").or(event("job_refused"));
        let (Some(started), Some(ended)) = (started, ended) else {
            continue;
        };
        let attempts = call_lines.iter().filter(|line| line.event == "call_placed").count();
        if started.node == placed.node || attempts != 1 {
            continue;
        }
        let call_bounds = (placed.time_ms - started.time_ms, replied.time_ms - ended.time_ms);
        let pair = (placed.node.clone(), started.node.clone());
        let pair_bounds = narrowest.entry(pair).or_insert(call_bounds);
        *pair_bounds = (pair_bounds.0.max(call_bounds.0), pair_bounds.1.min(call_bounds.1));
    }
    narrowest
}

/// Formats a line for output: time since `first_ms`, node, event and fields.
pub fn format_line(line: &LogLine, first_ms: f64) -> String {
    let fields = line.fields.iter().filter(|(name, _)| *name != "level");
    let fields: Vec<String> = fields.map(|(name, value)| format!("{name}={value}")).collect();
    let elapsed_ms = line.time_ms - first_ms;
    format!("{elapsed_ms:>10.1} ms  {:<24} {:<20} {}", line.node, line.event, fields.join(" "))
}
