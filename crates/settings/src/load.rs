//! Reads settings files and applies overrides.

use crate::{Checks, Validate};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::{ensure, OptionExt, ResultExt, Snafu};
use std::fs;
use std::path::{Path, PathBuf};

/// Why settings were rejected.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file could not be read.
    #[snafu(display("{}: {source}", path.display()))]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Underlying I/O error.
        source: std::io::Error,
    },
    /// The file is not valid TOML, or a field is unknown, missing or of the wrong type.
    #[snafu(display("{}:{line}: {message}", path.display()))]
    Syntax {
        /// Path of the file.
        path: PathBuf,
        /// Line number, from 1.
        line: usize,
        /// Message of the parser; it names the field.
        message: String,
    },
    /// An override is not `key=value`, or is not valid for these settings.
    #[snafu(display("--set {text}: {message}"))]
    Override {
        /// The override as given on the command line.
        text: String,
        /// Why it is rejected.
        message: String,
    },
    /// One or more values are invalid.
    #[snafu(display("{}", lines.join("\n")))]
    Invalid {
        /// One line per problem: file, field and reason.
        lines: Vec<String>,
    },
}

/// Reads a settings file, applies the overrides and validates the result.
pub fn load<T>(path: &Path, overrides: &[String]) -> Result<T, SettingsError>
where
    T: DeserializeOwned + Validate,
{
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    let settings: T = if overrides.is_empty() {
        toml::from_str(&text).map_err(|error| syntax_error(path, &text, &error))?
    } else {
        let mut table: toml::Table =
            toml::from_str(&text).map_err(|error| syntax_error(path, &text, &error))?;
        for text in overrides {
            apply_override(&mut table, text)?;
        }
        let settings = T::deserialize(table);
        settings.map_err(|error| SettingsError::Override {
            text: overrides.join(" --set "),
            message: error.message().to_owned(),
        })?
    };
    let mut checks = Checks::default();
    settings.validate(&mut checks);
    let problems = checks.into_problems();
    let lines: Vec<String> =
        problems.iter().map(|problem| format!("{}: {problem}", path.display())).collect();
    ensure!(lines.is_empty(), InvalidSnafu { lines });
    Ok(settings)
}

fn syntax_error(path: &Path, text: &str, error: &toml::de::Error) -> SettingsError {
    let offset = error.span().map_or(0, |span| span.start).min(text.len());
    SettingsError::Syntax {
        path: path.to_owned(),
        line: text[..offset].matches('\n').count() + 1,
        message: error.message().to_owned(),
    }
}

fn apply_override(table: &mut toml::Table, text: &str) -> Result<(), SettingsError> {
    let message = "expected key=value";
    let (key, value) = text.split_once('=').context(OverrideSnafu { text, message })?;
    let parsed = toml::from_str::<toml::Table>(&format!("value = {value}"))
        .ok()
        .and_then(|mut parsed| parsed.remove("value"))
        .unwrap_or_else(|| toml::Value::String(value.to_owned()));
    let mut parent = table;
    let mut parts: Vec<&str> = key.split('.').collect();
    let last = parts.pop().unwrap_or_default();
    for part in parts {
        let child = parent.entry(part).or_insert_with(|| toml::Value::Table(toml::Table::new()));
        let message = format!("'{part}' is not a table");
        parent = child.as_table_mut().context(OverrideSnafu { text, message })?;
    }
    parent.insert(last.to_owned(), parsed);
    Ok(())
}

/// Serializes settings as TOML, with defaults filled in.
pub fn to_toml<T: Serialize>(settings: &T) -> String {
    toml::to_string(settings).unwrap_or_else(|error| format!("# cannot be printed: {error}\n"))
}

/// An operator with a public key and roles.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorEntry {
    /// Name of the operator.
    pub name: String,
    /// Ed25519 public key, 64 hexadecimal digits.
    pub public_key: String,
    /// Roles: `submit`, `approve`, `roll`, `members`. Reading requires no role.
    pub roles: Vec<String>,
}

/// Content of the operators file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorsFile {
    /// The operators, one `[[operator]]` table each.
    #[serde(default)]
    pub operator: Vec<OperatorEntry>,
}

impl Validate for OperatorsFile {
    fn validate(&self, checks: &mut Checks) {
        const ROLES: [&str; 4] = ["submit", "approve", "roll", "members"];
        for operator in &self.operator {
            checks.name("operator.name", &operator.name);
            let valid_key = operator.public_key.len() == 64
                && operator.public_key.chars().all(|c| c.is_ascii_hexdigit());
            checks.require("operator.public_key", valid_key, "must be 64 hexadecimal digits");
            let valid_roles = operator.roles.iter().all(|role| ROLES.contains(&role.as_str()));
            checks.require(
                "operator.roles",
                valid_roles,
                "may hold submit, approve, roll, members",
            );
        }
    }
}

/// Reads and validates the operators file.
pub fn load_operators(path: &Path) -> Result<OperatorsFile, SettingsError> {
    load(path, &[])
}
