//! The subcommand `chutecove bundle`.

use crate::changes;
use crate::cli::{operator_client, operator_options, parse_options, positional_argument};
use crate::dialect::read_document;
use crate::exit::Failure;
use crate::operator::{read_seal_key, OperatorClient};
use ::bundle::{approval_message, source, Bundle, BundleUpdate, Digest, KeyFingerprint, SealKey};
use getopts::{Matches, Options};
use rollout::{Accepted, Command, Stage};
use serde_json::Value;
use std::io::Read;
use std::path::Path;

const BRIEF: &str = "\
Usage: chutecove bundle check PATH                     (a .toml file or a folder of them)
       chutecove bundle submit PATH --version N
       chutecove bundle approve DIGEST
       chutecove bundle roll DIGEST --expect GENERATION [--stage STAGE ...] [--advance-after S]
       chutecove bundle advance GENERATION --from-stage N
       chutecove bundle pause|resume GENERATION
       chutecove bundle withdraw --expect GENERATION [--to DIGEST]
       chutecove bundle list | history | show DIGEST
       chutecove bundle diff PATH PATH
       chutecove bundle fingerprint < FILE             (of a tenant's API key, as shown in logs)

For check and diff, PATH may also be a .json configuration document of a coordinator.
STAGE is proxies:NAME,NAME or zones:ZONE,ZONE or percent:N; a final stage 'all' is added.";

/// Checks and compares bundles, or submits them and controls their rollout.
pub fn run(arguments: &[String]) -> Result<(), Failure> {
    let mut options = Options::new();
    operator_options(&mut options);
    options.optopt("", "version", "version number that the operator gives the bundle", "N");
    options.optopt("", "expect", "newest generation known to the operator", "GENERATION");
    options.optmulti("", "stage", "a stage of the rollout, in order", "STAGE");
    options.optopt("", "advance-after", "advance automatically after S healthy seconds", "S");
    options.optopt("", "from-stage", "number of stages reached", "N");
    options.optopt("", "to", "digest of the bundle to return to", "DIGEST");
    options.optopt("", "seal-key", "file of sealing keys, for check and diff", "FILE");
    let Some(matches) = parse_options(options, BRIEF, arguments)? else {
        return Ok(());
    };
    match positional_argument(&matches, 0, "VERB")? {
        "check" => check(&matches),
        "diff" => diff(&matches),
        "fingerprint" => print_fingerprint(),
        "submit" => submit(&matches),
        "approve" => approve(&matches),
        "roll" => roll(&matches),
        "withdraw" => withdraw(&matches),
        verb @ ("advance" | "pause" | "resume") => control_rollout(&matches, verb),
        "list" => print_json(&operator_client(&matches)?, "/v1/bundles"),
        "history" => print_json(&operator_client(&matches)?, "/v1/history"),
        "show" => {
            let digest = digest_argument(&matches, 1)?;
            print_json(&operator_client(&matches)?, &format!("/v1/bundles/{digest}"))
        }
        _ => Err(Failure::usage(BRIEF)),
    }
}

fn number_option<T: std::str::FromStr>(
    matches: &Matches,
    name: &str,
) -> Result<Option<T>, Failure> {
    let Some(text) = matches.opt_str(name) else {
        return Ok(None);
    };
    let parsed = text.parse().ok();
    parsed.map(Some).ok_or_else(|| Failure::usage(format!("--{name}: '{text}' is not a number")))
}

fn required_number_option<T: std::str::FromStr>(
    matches: &Matches,
    name: &str,
) -> Result<T, Failure> {
    number_option(matches, name)?.ok_or_else(|| Failure::usage(format!("missing option --{name}")))
}

fn digest_argument(matches: &Matches, position: usize) -> Result<Digest, Failure> {
    let text = positional_argument(matches, position, "DIGEST")?;
    text.parse().map_err(|error| Failure::usage(format!("'{text}': {error}")))
}

fn load(path: &str, key: Option<&SealKey>) -> Result<Bundle, Failure> {
    let path = Path::new(path);
    if path.extension().is_some_and(|extension| extension == "json") {
        return load_document(path);
    }
    source::load(path, key).map_err(Failure::usage)
}

fn load_document(path: &Path) -> Result<Bundle, Failure> {
    let to_failure = |problem: String| Failure::usage(format!("{}: {problem}", path.display()));
    let body = std::fs::read(path).map_err(|error| to_failure(error.to_string()))?;
    let (_, bundle) = read_document(&body).map_err(to_failure)?;
    let problems: Vec<String> = bundle.check().iter().map(ToString::to_string).collect();
    match problems.is_empty() {
        true => Ok(bundle),
        false => Err(to_failure(problems.join("\n"))),
    }
}

/// Prints the fingerprint of an API key. The key is read from standard input, since arguments are visible
/// in process listings.
fn print_fingerprint() -> Result<(), Failure> {
    let mut key = Vec::new();
    std::io::stdin().read_to_end(&mut key).map_err(Failure::usage)?;
    println!("{}", KeyFingerprint::of(key.trim_ascii()));
    Ok(())
}

/// Returns the sealing key for `check` and `diff`. An arbitrary key is sufficient, since nothing is sent.
fn offline_seal_key(matches: &Matches) -> Result<SealKey, Failure> {
    match matches.opt_str("seal-key") {
        Some(path) => read_seal_key(Path::new(&path)),
        None => Ok(SealKey::new(0, [0; 32])),
    }
}

fn check(matches: &Matches) -> Result<(), Failure> {
    let bundle = load(positional_argument(matches, 1, "PATH")?, Some(&offline_seal_key(matches)?))?;
    println!(
        "valid: {} services, {} routes, {} secrets, {} tenants, {} keys, {} bytes",
        bundle.services().count(),
        bundle.routes().count(),
        bundle.secrets().count(),
        bundle.tenants().count(),
        bundle.tenants().map(|tenant| tenant.keys.len()).sum::<usize>(),
        bundle.encode().len()
    );
    Ok(())
}

fn diff(matches: &Matches) -> Result<(), Failure> {
    let key = offline_seal_key(matches)?;
    let old = load(positional_argument(matches, 1, "PATH")?, Some(&key))?;
    let new = load(positional_argument(matches, 2, "PATH")?, Some(&key))?;
    for line in changes::lines(&old, &new) {
        println!("{line}");
    }
    Ok(())
}

fn submit(matches: &Matches) -> Result<(), Failure> {
    let client = operator_client(matches)?;
    let version: u64 = required_number_option(matches, "version")?;
    let key = client.settings().seal_key()?;
    let bundle = load(positional_argument(matches, 1, "PATH")?, key.as_ref())?;
    let compressed = BundleUpdate::compress(&bundle);
    let path = format!("/v1/submit?version={version}");
    let request_id = matches.opt_str("request-id");
    let accepted: Accepted = client.post(&path, &compressed, request_id.as_deref())?;
    print_accepted(&accepted);
    Ok(())
}

fn send_command(
    matches: &Matches,
    client: &OperatorClient,
    command: &Command,
) -> Result<(), Failure> {
    let body = serde_json::to_vec(command).map_err(Failure::refused)?;
    let request_id = matches.opt_str("request-id");
    let accepted: Accepted = client.post("/v1/commands", &body, request_id.as_deref())?;
    print_accepted(&accepted);
    Ok(())
}

fn approve(matches: &Matches) -> Result<(), Failure> {
    let client = operator_client(matches)?;
    let digest = digest_argument(matches, 1)?;
    let signature = client.sign(&approval_message(&digest));
    send_command(matches, &client, &Command::Approve { digest, signature })
}

fn roll(matches: &Matches) -> Result<(), Failure> {
    let client = operator_client(matches)?;
    let mut stages = matches
        .opt_strs("stage")
        .iter()
        .map(|text| parse_stage(text))
        .collect::<Result<Vec<_>, _>>()?;
    if stages.last() != Some(&Stage::All) {
        stages.push(Stage::All);
    }
    let command = Command::Roll {
        digest: digest_argument(matches, 1)?,
        expected_generation: required_number_option(matches, "expect")?,
        stages,
        advance_after_s: number_option(matches, "advance-after")?,
    };
    send_command(matches, &client, &command)
}

fn parse_stage(text: &str) -> Result<Stage, Failure> {
    if text == "all" {
        return Ok(Stage::All);
    }
    let split_names = |names: &str| names.split(',').map(str::to_owned).collect();
    match text.split_once(':') {
        Some(("proxies", names)) => Ok(Stage::Proxies(split_names(names))),
        Some(("zones", names)) => Ok(Stage::Zones(split_names(names))),
        Some(("percent", percent)) => percent
            .parse()
            .map(Stage::Percent)
            .map_err(|_| Failure::usage(format!("--stage: '{percent}' is not a number"))),
        _ => Err(Failure::usage(format!(
            "--stage: '{text}' is not proxies:..., zones:..., percent:N or all"
        ))),
    }
}

fn control_rollout(matches: &Matches, verb: &str) -> Result<(), Failure> {
    let client = operator_client(matches)?;
    let text = positional_argument(matches, 1, "GENERATION")?;
    let generation: u64 =
        text.parse().map_err(|_| Failure::usage(format!("'{text}' is not a generation number")))?;
    let command = match verb {
        "advance" => Command::Advance {
            generation,
            from_stage: required_number_option(matches, "from-stage")?,
        },
        "pause" => Command::Pause { generation },
        _ => Command::Resume { generation },
    };
    send_command(matches, &client, &command)
}

fn withdraw(matches: &Matches) -> Result<(), Failure> {
    let client = operator_client(matches)?;
    let to = matches.opt_str("to").map(|text| text.parse()).transpose();
    let command = Command::Withdraw {
        expected_generation: required_number_option(matches, "expect")?,
        to: to.map_err(|error| Failure::usage(format!("--to: {error}")))?,
    };
    send_command(matches, &client, &command)
}

fn print_accepted(accepted: &Accepted) {
    match accepted {
        Accepted::PolicySet => println!("the approval policy is set"),
        Accepted::Replaced { version, generation } => {
            println!("version {version} is in force as generation {generation}")
        }
        Accepted::Submitted { version, digest } => {
            println!("submitted version {version}: {digest}")
        }
        Accepted::Approved { digest } => println!("approved {digest}"),
        Accepted::Rolled { generation } => println!("rolling out generation {generation}"),
        Accepted::Advanced { generation, stages, complete } => {
            let suffix = if *complete { ", complete" } else { "" };
            println!("generation {generation} reached stage {stages}{suffix}");
        }
        Accepted::Paused { generation } => println!("paused generation {generation}"),
        Accepted::Resumed { generation } => println!("resumed generation {generation}"),
        Accepted::Withdrawn { generation, digest } => {
            println!("generation {generation} returns to {digest}");
        }
        Accepted::ZoneEvacuated { zone } => println!("{zone} is evacuated"),
        Accepted::ZoneRestored { zone } => println!("{zone} receives calls"),
        Accepted::CanaryStarted { run } => println!("canary {run} is running or has ended"),
        Accepted::CanaryMoved { run, phase } => println!("canary {run}: {}", phase.as_str()),
    }
}

fn print_json(client: &OperatorClient, path: &str) -> Result<(), Failure> {
    let value: Value = client.get(path)?;
    let text = serde_json::to_string_pretty(&value).map_err(Failure::refused)?;
    println!("{text}");
    Ok(())
}
