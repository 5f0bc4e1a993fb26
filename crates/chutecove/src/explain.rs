//! One request's or one generation's story out of the log files of several nodes.
//!
//! Clocks of machines differ. A call that two nodes logged bounds the difference between them:
//! the peer began it after it was placed and ended it before its reply was seen. The middle of
//! the narrowest bounds is taken off the peer's times.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// One line of a log.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Node that wrote it.
    pub node: String,
    /// Its time, milliseconds since 1970, by the node's own clock.
    pub time_ms: f64,
    /// Name of the event.
    pub event: String,
    /// All fields but the time.
    pub fields: BTreeMap<String, String>,
}

/// What is asked of the logs.
#[derive(Clone, Debug, PartialEq)]
pub enum Question {
    /// Everything about a request.
    Request(String),
    /// Everything about a generation.
    Generation(u64),
    /// What every node logged about its beliefs around a time, milliseconds since 1970.
    Around {
        /// The time.
        time_ms: f64,
        /// How far before and after, milliseconds.
        within_ms: f64,
    },
}

/// Events that change what a process believes, or when it can act.
const BELIEF_EVENTS: [&str; 19] = [
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

/// Reads one line; `None` if it is none of ours. What stands before `time=` names the node if it
/// is there, else `file` does.
pub fn read_line(file: &str, text: &str) -> Option<Line> {
    let start = text.find("time=")?;
    let prefix = text[..start].split_whitespace().last();
    let node = prefix.filter(|word| word.parse::<f64>().is_err()).unwrap_or(file).to_owned();
    let mut fields = read_fields(&text[start..]);
    let time = fields.remove("time")?;
    let parsed = humantime::parse_rfc3339(&time).ok()?;
    let since = parsed.duration_since(std::time::UNIX_EPOCH).ok()?;
    let event = fields.remove("event")?;
    Some(Line { node, time_ms: since.as_secs_f64() * 1_000.0, event, fields })
}

fn read_fields(text: &str) -> BTreeMap<String, String> {
    let mut fields = BTreeMap::new();
    let mut rest = text.trim();
    while let Some((name, after)) = rest.split_once('=') {
        let quoted = after.starts_with('"');
        let end = if quoted { end_of_quoted(after) } else { after.find(' ') };
        let end = end.unwrap_or(after.len());
        let value = after[..end].trim_matches('"').to_owned();
        fields.insert(name.trim().to_owned(), value);
        rest = after[end..].trim_start();
    }
    fields
}

/// Position after the closing quote.
fn end_of_quoted(text: &str) -> Option<usize> {
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

/// Answers a question: the lines that belong to it, in order, with times by one clock.
pub fn explain(lines: &[Line], question: &Question) -> Vec<Line> {
    let offsets = clock_offsets(lines);
    let corrected = |line: &Line| {
        let offset = offsets.get(&line.node).copied().unwrap_or(0.0);
        Line { time_ms: line.time_ms + offset, ..line.clone() }
    };
    let mut story: Vec<Line> =
        lines.iter().map(corrected).filter(|line| belongs(line, question)).collect();
    story.sort_by(|one, other| one.time_ms.total_cmp(&other.time_ms));
    story
}

fn belongs(line: &Line, question: &Question) -> bool {
    match question {
        Question::Request(id) => line.fields.get("id") == Some(id),
        Question::Generation(generation) => {
            line.fields.get("generation") == Some(&generation.to_string())
        }
        Question::Around { time_ms, within_ms } => {
            let near = (line.time_ms - time_ms).abs() <= *within_ms;
            near && BELIEF_EVENTS.contains(&line.event.as_str())
        }
    }
}

/// What must be added to each node's times, relative to the first node.
fn clock_offsets(lines: &[Line]) -> BTreeMap<String, f64> {
    let bounds = pair_bounds(lines);
    let nodes: BTreeSet<&String> = lines.iter().map(|line| &line.node).collect();
    let mut offsets: BTreeMap<String, f64> = BTreeMap::new();
    for root in nodes {
        if offsets.contains_key(root) {
            continue;
        }
        offsets.insert(root.clone(), 0.0);
        let mut open = VecDeque::from([root.clone()]);
        while let Some(node) = open.pop_front() {
            let own = offsets[&node];
            for ((asker, peer), (least, most)) in &bounds {
                let middle = (least + most) / 2.0;
                let (other, offset) = if *asker == node {
                    (peer, own + middle)
                } else if *peer == node {
                    (asker, own - middle)
                } else {
                    continue;
                };
                if !offsets.contains_key(other) {
                    offsets.insert(other.clone(), offset);
                    open.push_back(other.clone());
                }
            }
        }
    }
    offsets
}

type Pair = (String, String);

/// For each pair of asking node and peer, between what the peer's clock is behind, milliseconds.
fn pair_bounds(lines: &[Line]) -> BTreeMap<Pair, (f64, f64)> {
    let mut by_id: BTreeMap<&String, Vec<&Line>> = BTreeMap::new();
    for line in lines {
        if let Some(id) = line.fields.get("id") {
            by_id.entry(id).or_default().push(line);
        }
    }
    let mut bounds: BTreeMap<Pair, (f64, f64)> = BTreeMap::new();
    for of_call in by_id.values() {
        let event = |name: &str| of_call.iter().find(|line| line.event == name);
        let (Some(placed), Some(replied)) = (event("call_placed"), event("hop_replied")) else {
            continue;
        };
        let begun = event("job_started").or(event("job_refused"));
        let ended = event("job_ended").or(event("job_refused"));
        let (Some(begun), Some(ended)) = (begun, ended) else {
            continue;
        };
        let tries = of_call.iter().filter(|line| line.event == "call_placed").count();
        if begun.node == placed.node || tries != 1 {
            continue;
        }
        let found = (placed.time_ms - begun.time_ms, replied.time_ms - ended.time_ms);
        let pair = (placed.node.clone(), begun.node.clone());
        let held = bounds.entry(pair).or_insert(found);
        *held = (held.0.max(found.0), held.1.min(found.1));
    }
    bounds
}

/// One line for people: time after the first, node, event, fields.
pub fn write_line(line: &Line, first_ms: f64) -> String {
    let fields = line.fields.iter().filter(|(name, _)| *name != "level");
    let fields: Vec<String> = fields.map(|(name, value)| format!("{name}={value}")).collect();
    let after = line.time_ms - first_ms;
    format!("{after:>10.1} ms  {:<24} {:<20} {}", line.node, line.event, fields.join(" "))
}
