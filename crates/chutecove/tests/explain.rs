//! Timelines of requests and generations from the logs of several nodes.

use chutecove::explain::{explain, parse_line, LogLine, Query};

fn lines(text: &str) -> Vec<LogLine> {
    let parse = |line: &str| {
        let (node, rest) = line.trim().split_once(' ').expect("the line starts with the node");
        parse_line(node, rest)
    };
    text.lines().filter(|line| !line.trim().is_empty()).filter_map(parse).collect()
}

fn events(timeline: &[LogLine]) -> Vec<(&str, &str)> {
    timeline.iter().map(|line| (line.node.as_str(), line.event.as_str())).collect()
}

/// The clock of the peer is ten seconds ahead of the caller's.
const LOGS: &str = r#"
    caller time=2026-01-01T00:00:01.000000Z level=info event=call_placed id=7 to=10.0.0.2:1
    peer time=2026-01-01T00:00:11.002000Z level=info event=job_started id=7 instance="Some(\"i-1\")"
    peer time=2026-01-01T00:00:11.050000Z level=info event=job_ended id=7 outcome=Answered status=200
    caller time=2026-01-01T00:00:01.053000Z level=info event=hop_replied id=7 status=200
    caller time=2026-01-01T00:00:02.000000Z level=info event=call_placed id=8 to=10.0.0.2:1
    peer time=2026-01-01T00:00:12.000000Z level=info event=generation_in_force generation=4
    caller time=2026-01-01T00:00:02.100000Z level=info event=generation_in_force generation=4
    not a line of ours
"#;

#[test]
fn a_request_is_told_in_order_though_clocks_differ() {
    let timeline = explain(&lines(LOGS), &Query::Request("7".to_owned()));
    let expected = [
        ("caller", "call_placed"),
        ("peer", "job_started"),
        ("peer", "job_ended"),
        ("caller", "hop_replied"),
    ];
    assert_eq!(events(&timeline), expected);
    assert_eq!(timeline[1].fields["instance"], "Some(\\\"i-1\\\")");
}

#[test]
fn a_generation_and_beliefs_around_a_time_are_told() {
    let log_lines = lines(LOGS);
    let timeline = explain(&log_lines, &Query::Generation(4));
    assert_eq!(
        events(&timeline),
        [("peer", "generation_in_force"), ("caller", "generation_in_force")]
    );
    let around = Query::Around { time_ms: log_lines[4].time_ms, within_ms: 500.0 };
    assert_eq!(explain(&log_lines, &around).len(), 2, "no lines of calls");
}

#[test]
fn a_node_named_in_front_of_the_line_wins_over_the_file() {
    let line = "   22.0030 sidecar-a-1 time=2026-01-01T00:00:01.5Z level=info event=x id=1";
    assert_eq!(parse_line("file", line).map(|line| line.node), Some("sidecar-a-1".to_owned()));
}
