//! Header fields in the order they came.

/// Headers that concern one connection only (RFC 9110, section 7.6.1).
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

/// Header fields with names as they were written, compared without regard to case.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers {
    fields: Vec<(String, Vec<u8>)>,
}

impl Headers {
    /// Adds a field at the end.
    pub fn push(&mut self, name: impl Into<String>, value: impl Into<Vec<u8>>) {
        self.fields.push((name.into(), value.into()));
    }

    /// The first value of a name.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        let matches = |field: &&(String, Vec<u8>)| field.0.eq_ignore_ascii_case(name);
        self.fields.iter().find(matches).map(|(_, value)| value.as_slice())
    }

    /// The first value of a name, if it is text.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.get(name).and_then(|value| std::str::from_utf8(value).ok()).map(str::trim)
    }

    /// The first value of a name as a whole number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.text(name)?.parse().ok()
    }

    /// Every value of a name.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let matches = move |field: &&(String, Vec<u8>)| field.0.eq_ignore_ascii_case(name);
        self.fields.iter().filter(matches).map(|(_, value)| value.as_slice())
    }

    /// Removes every value of a name.
    pub fn remove(&mut self, name: &str) {
        self.fields.retain(|(held, _)| !held.eq_ignore_ascii_case(name));
    }

    /// Replaces every value of a name by one.
    pub fn set(&mut self, name: &str, value: impl Into<Vec<u8>>) {
        self.remove(name);
        self.push(name, value);
    }

    /// All fields.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.fields.iter().map(|(name, value)| (name.as_str(), value.as_slice()))
    }

    /// Whether a comma-separated header holds a token.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name).any(|value| {
            value
                .split(|byte| *byte == b',')
                .any(|part| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
        })
    }

    /// Removes what concerns one connection only, and what its `Connection` header names.
    pub fn remove_connection_headers(&mut self) {
        let named: Vec<String> = self
            .all("connection")
            .flat_map(|value| value.split(|byte| *byte == b','))
            .map(|part| String::from_utf8_lossy(part.trim_ascii()).to_ascii_lowercase())
            .collect();
        self.fields.retain(|(name, _)| {
            let lower = name.to_ascii_lowercase();
            !is_connection_header(&lower) && !named.contains(&lower)
        });
    }
}

/// Whether a lower-case header name concerns one connection only.
pub fn is_connection_header(lower_case_name: &str) -> bool {
    CONNECTION_HEADERS.contains(&lower_case_name)
}
