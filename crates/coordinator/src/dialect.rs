//! How operators speak to a coordinator: the runtime knows what to do, a dialect how it is said.

use bundle::Bundle;

/// What an operator asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorCall {
    /// Replace the whole configuration.
    Replace,
    /// Read the newest configuration.
    Read,
}

/// A configuration that should replace the one in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Replacement {
    /// The version it builds on; 0 for the first.
    pub expected_version: u64,
    /// Its own version.
    pub version: u64,
    /// Its content.
    pub bundle: Bundle,
}

/// Translates between an operator's format and the product's types. It decides nothing.
pub trait OperatorDialect: Send + Sync + 'static {
    /// What a request asks; `None` if it is no call of operators.
    fn classify(&self, method: &str, url: &str) -> Option<OperatorCall>;

    /// Reads a replacement; the error says what cannot be read.
    fn read_replacement(
        &self,
        precondition: Option<&str>,
        body: &[u8],
    ) -> Result<Replacement, String>;

    /// Header that carries the version a replacement builds on.
    fn precondition_header(&self) -> &'static str;

    /// Writes a configuration the way a replacement is read.
    fn write_configuration(&self, version: u64, bundle: &Bundle) -> Vec<u8>;
}
