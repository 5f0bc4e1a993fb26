//! Loads a bundle from an operator's TOML file or from a directory of such files.

use crate::{
    Bundle, ColdStart, Object, ObjectId, ObjectKind, Priority, Problem, Route, SealKey, Service,
    Target, Tenant, LIMITS,
};
use serde::Deserialize;
use snafu::{ensure, ResultExt, Snafu};
use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};
use toml::Spanned;

const DEFAULT_TIMEOUT_MS: u32 = 1_000;
/// Keeps sends per call below the limit of 1.2 when the last hop fails, including saved-up retry
/// budget.
const DEFAULT_RETRY_BUDGET_PERCENT: u32 = 15;
const DEFAULT_ATTEMPTS: u32 = 2;
const DEFAULT_UPSTREAM_SLOTS: u32 = 20;
const DEFAULT_UPSTREAM_CONNECTIONS: u32 = 130;

/// Reason a bundle could not be loaded from an operator's files.
#[derive(Debug, Snafu)]
pub enum SourceError {
    /// A file could not be read.
    #[snafu(display("{}: {source}", path.display()))]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Underlying error.
        source: std::io::Error,
    },
    /// A file is larger than the limit for a bundle.
    #[snafu(display("{}: {bytes} bytes, at most {limit} are allowed", path.display()))]
    TooLarge {
        /// Path of the file.
        path: PathBuf,
        /// Size of the file, in bytes.
        bytes: u64,
        /// Maximum size, in bytes.
        limit: usize,
    },
    /// A file is not TOML, or has an unknown or missing field.
    #[snafu(display("{}:{line}: {message}", path.display()))]
    Syntax {
        /// Path of the file.
        path: PathBuf,
        /// Line number, starting at 1.
        line: usize,
        /// Message of the parser.
        message: String,
    },
    /// Two objects of the same kind have the same name.
    #[snafu(display("{}:{line}: {id} is defined twice; first in {first}", path.display()))]
    Duplicate {
        /// Path of the file.
        path: PathBuf,
        /// Line number of the second definition, starting at 1.
        line: usize,
        /// Id of the objects.
        id: ObjectId,
        /// Location of the first definition.
        first: String,
    },
    /// The directory has no `.toml` file.
    #[snafu(display("{}: no .toml file in this directory", path.display()))]
    Empty {
        /// Path of the directory.
        path: PathBuf,
    },
    /// A secret needs a sealing key and none was given.
    #[snafu(display("{}:{line}: secrets need a sealing key (--seal-key)", path.display()))]
    NoSealKey {
        /// Path of the file.
        path: PathBuf,
        /// Line number, starting at 1.
        line: usize,
    },
    /// The objects do not make a valid bundle.
    #[snafu(display("{}", lines.join("\n")))]
    Invalid {
        /// One line per problem: location, object, field, reason.
        lines: Vec<String>,
    },
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct BundleFile {
    #[serde(default)]
    service: Vec<ServiceTable>,
    #[serde(default)]
    route: Vec<RouteTable>,
    #[serde(default)]
    secret: Vec<SecretTable>,
    #[serde(default)]
    tenant: Vec<TenantTable>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ServiceTable {
    name: Spanned<String>,
    #[serde(default = "default_slots")]
    upstream_slots: u32,
    #[serde(default = "default_connections")]
    upstream_connections: u32,
    cold_start: Option<ColdStart>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RouteTable {
    name: Spanned<String>,
    #[serde(default = "any_host")]
    host: String,
    path_prefix: String,
    #[serde(default)]
    methods: Vec<String>,
    service: Option<String>,
    #[serde(default)]
    targets: Vec<Target>,
    secret: Option<String>,
    #[serde(default = "default_timeout")]
    timeout_ms: u32,
    repeatable: bool,
    #[serde(default = "default_priority")]
    priority: Priority,
    #[serde(default = "default_budget")]
    retry_budget_percent: u32,
    #[serde(default)]
    max_staleness_s: u32,
    #[serde(default = "default_attempts")]
    attempts: u32,
    #[serde(default)]
    target_latency_ms: u32,
    #[serde(default)]
    rank: u32,
    #[serde(default)]
    keyless: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SecretTable {
    name: Spanned<String>,
    value: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TenantTable {
    name: Spanned<String>,
    #[serde(default, deserialize_with = "crate::tenant::read_keys")]
    keys: Vec<String>,
    #[serde(default)]
    rate_milli: u64,
    #[serde(default)]
    burst: u64,
    rank: Option<u32>,
}

fn default_slots() -> u32 {
    DEFAULT_UPSTREAM_SLOTS
}
fn default_connections() -> u32 {
    DEFAULT_UPSTREAM_CONNECTIONS
}
fn default_timeout() -> u32 {
    DEFAULT_TIMEOUT_MS
}
fn default_budget() -> u32 {
    DEFAULT_RETRY_BUDGET_PERCENT
}
fn default_attempts() -> u32 {
    DEFAULT_ATTEMPTS
}
fn default_priority() -> Priority {
    Priority::Normal
}
fn any_host() -> String {
    "*".to_owned()
}

struct Location {
    path: PathBuf,
    line: usize,
}

impl Location {
    fn describe(&self) -> String {
        format!("{}:{}", self.path.display(), self.line)
    }
}

#[derive(Default)]
struct ParsedObjects {
    objects: Vec<Object>,
    locations: BTreeMap<ObjectId, Location>,
}

/// Loads a bundle from a file, or from all `.toml` files of a directory, and validates it.
pub fn load(path: &Path, seal_key: Option<&SealKey>) -> Result<Bundle, SourceError> {
    let mut parsed = ParsedObjects::default();
    for file in toml_files(path)? {
        parse_file(&file, seal_key, &mut parsed)?;
    }
    let bundle = Bundle::from_objects(parsed.objects);
    let problems = bundle.check();
    if problems.is_empty() {
        return Ok(bundle);
    }
    let lines: Vec<String> =
        problems.iter().map(|problem| locate(problem, &parsed.locations, path)).collect();
    InvalidSnafu { lines }.fail()
}

fn locate(
    problem: &Problem,
    locations: &BTreeMap<ObjectId, Location>,
    bundle_path: &Path,
) -> String {
    let location = problem.object.as_ref().and_then(|id| locations.get(id));
    let location = location.map_or_else(|| bundle_path.display().to_string(), Location::describe);
    format!("{location}: {problem}")
}

fn toml_files(path: &Path) -> Result<Vec<PathBuf>, SourceError> {
    if !path.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let mut files = Vec::new();
    for file in fs::read_dir(path).context(ReadSnafu { path })? {
        let file = file.context(ReadSnafu { path })?.path();
        if file.extension().is_some_and(|extension| extension == "toml") {
            files.push(file);
        }
    }
    files.sort();
    ensure!(!files.is_empty(), EmptySnafu { path });
    Ok(files)
}

fn parse_file(
    path: &Path,
    seal_key: Option<&SealKey>,
    parsed: &mut ParsedObjects,
) -> Result<(), SourceError> {
    let bytes = fs::metadata(path).context(ReadSnafu { path })?.len();
    let limit = LIMITS.bundle_bytes;
    ensure!(bytes <= limit as u64, TooLargeSnafu { path, bytes, limit });
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    let file: BundleFile = toml::from_str(&text).map_err(|error| SourceError::Syntax {
        path: path.to_owned(),
        line: error.span().map_or(1, |span| line_of(&text, span.start)),
        message: error.message().to_owned(),
    })?;
    let mut add = |name: &Spanned<String>, object: Object| {
        let line = line_of(&text, name.span().start);
        let id = object.id();
        if let Some(first) = parsed.locations.get(&id) {
            return DuplicateSnafu { path, line, id, first: first.describe() }.fail();
        }
        parsed.locations.insert(id, Location { path: path.to_owned(), line });
        parsed.objects.push(object);
        Ok(())
    };
    for table in file.service {
        add(&table.name, service_from(&table))?;
    }
    for table in file.route {
        add(&table.name, route_from(&table))?;
    }
    for table in file.secret {
        let line = line_of(&text, table.name.span().start);
        let key = seal_key.ok_or(SourceError::NoSealKey { path: path.to_owned(), line })?;
        add(&table.name, secret_from(&table, path, line, key)?)?;
    }
    for table in file.tenant {
        add(&table.name, tenant_from(&table))?;
    }
    Ok(())
}

fn service_from(table: &ServiceTable) -> Object {
    Object::Service(Service {
        name: table.name.get_ref().clone(),
        upstream_slots: table.upstream_slots,
        upstream_connections: table.upstream_connections,
        cold_start: table.cold_start,
        annotation: String::new(),
    })
}

fn route_from(table: &RouteTable) -> Object {
    let single = table.service.iter().map(|name| Target { service: name.clone(), weight: 1 });
    Object::Route(Route {
        name: table.name.get_ref().clone(),
        host: table.host.clone(),
        path_prefix: table.path_prefix.clone(),
        methods: table.methods.clone(),
        targets: single.chain(table.targets.iter().cloned()).collect(),
        secret: table.secret.clone(),
        timeout_ms: table.timeout_ms,
        repeatable: table.repeatable,
        priority: table.priority,
        retry_budget_percent: table.retry_budget_percent,
        max_staleness_s: table.max_staleness_s,
        attempts: table.attempts,
        target_latency_ms: table.target_latency_ms,
        rank: table.rank,
        keyless: table.keyless,
        annotation: String::new(),
    })
}

fn tenant_from(table: &TenantTable) -> Object {
    Object::Tenant(Tenant {
        name: table.name.get_ref().clone(),
        keys: table.keys.clone(),
        rate_milli: table.rate_milli,
        burst: table.burst,
        rank: table.rank,
        annotation: String::new(),
    })
}

fn secret_from(
    table: &SecretTable,
    path: &Path,
    line: usize,
    key: &SealKey,
) -> Result<Object, SourceError> {
    let name = table.name.get_ref();
    if table.value.len() > LIMITS.secret_bytes {
        let id = ObjectId { kind: ObjectKind::Secret, name: name.clone() };
        let limit = LIMITS.secret_bytes;
        let reason = format!("{} bytes, at most {limit} are allowed", table.value.len());
        let problem = Problem { object: Some(id), field: "value", reason };
        return InvalidSnafu { lines: vec![format!("{}:{line}: {problem}", path.display())] }
            .fail();
    }
    Ok(Object::Secret(key.seal(name, &table.value)))
}

fn line_of(text: &str, offset: usize) -> usize {
    text[..offset.min(text.len())].matches('\n').count() + 1
}
