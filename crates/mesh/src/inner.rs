//! What a run's answer tells of the calls that it made.

/// Name of the header on an answer between two sidecars: services and numbers of calls in turn,
/// separated by blanks.
pub const INNER_CALLS_HEADER: &str = "x-chutecove-inner";
/// Most services that are told of one run.
const MOST_TOLD: usize = 8;

/// The header value; `None` if the run made no calls.
pub fn encode_inner_calls<'a>(calls: impl Iterator<Item = (&'a str, u32)>) -> Option<String> {
    let told: Vec<String> =
        calls.take(MOST_TOLD).map(|(service, count)| format!("{service} {count}")).collect();
    (!told.is_empty()).then(|| told.join(" "))
}

/// Reads the header value; what cannot be read is left out.
pub fn decode_inner_calls(text: &str) -> Vec<(String, u32)> {
    let words: Vec<&str> = text.split(' ').collect();
    let pairs = words.chunks_exact(2).take(MOST_TOLD);
    pairs.filter_map(|pair| Some((pair[0].to_owned(), pair[1].parse().ok()?))).collect()
}
