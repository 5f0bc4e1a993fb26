//! Header fields in the order in which they were received.

/// Headers that apply to one connection only and are not forwarded (RFC 9110, section 7.6.1), plus
/// `content-length` and `expect`, which each hop handles itself.
const CONNECTION_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
];

/// A list of header fields. Names keep their spelling and are compared case-insensitively.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers {
    fields: Vec<(String, Vec<u8>)>,
}

impl Headers {
    /// Appends a field.
    pub fn push(&mut self, name: impl Into<String>, value: impl Into<Vec<u8>>) {
        self.fields.push((name.into(), value.into()));
    }

    /// The first value of a header.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        let matches = |field: &&(String, Vec<u8>)| field.0.eq_ignore_ascii_case(name);
        self.fields.iter().find(matches).map(|(_, value)| value.as_slice())
    }

    /// The first value of a header, trimmed; `None` if it is not UTF-8.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.get(name).and_then(|value| std::str::from_utf8(value).ok()).map(str::trim)
    }

    /// The first value of a header as an unsigned integer; `None` if it is not one.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.text(name)?.parse().ok()
    }

    /// All values of a header.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let matches = move |field: &&(String, Vec<u8>)| field.0.eq_ignore_ascii_case(name);
        self.fields.iter().filter(matches).map(|(_, value)| value.as_slice())
    }

    /// Removes all fields with this name.
    pub fn remove(&mut self, name: &str) {
        self.fields.retain(|(field_name, _)| !field_name.eq_ignore_ascii_case(name));
    }

    /// Replaces all fields with this name by one, which is appended.
    pub fn set(&mut self, name: &str, value: impl Into<Vec<u8>>) {
        self.remove(name);
        self.push(name, value);
    }

    /// All fields in order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.fields.iter().map(|(name, value)| (name.as_str(), value.as_slice()))
    }

    /// Whether a comma-separated header contains a token, ignoring case.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name).any(|value| {
            value
                .split(|byte| *byte == b',')
                .any(|part| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
        })
    }

    /// Removes the headers that are not forwarded, including those that `Connection` lists.
    pub fn remove_connection_headers(&mut self) {
        let listed: Vec<String> = self
            .all("connection")
            .flat_map(|value| value.split(|byte| *byte == b','))
            .map(|part| String::from_utf8_lossy(part.trim_ascii()).to_ascii_lowercase())
            .collect();
        self.fields.retain(|(name, _)| {
            let lower = name.to_ascii_lowercase();
            !is_connection_header(&lower) && !listed.contains(&lower)
        });
    }
}

/// Whether a header, given by its lower-case name, is never forwarded.
pub fn is_connection_header(lower_case_name: &str) -> bool {
    CONNECTION_HEADERS.contains(&lower_case_name)
}
