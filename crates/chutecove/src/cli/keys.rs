//! The subcommand `chutecove keys`.

use crate::cli::{parse_options, positional_argument};
use crate::exit::Failure;
use crate::operator::encode_hex;
use bundle::SealKey;
use getopts::{Matches, Options};
use ring::rand::{SecureRandom, SystemRandom};
use ring::signature::{Ed25519KeyPair, KeyPair};
use std::fs::{self, OpenOptions};
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::time::Duration;
use wire::{issue_certificate, CertificateAuthority, Identity, Role};

const BRIEF: &str = "\
Usage: chutecove keys init --dir DIR --fleet NAME      (creates a certificate authority)
       chutecove keys issue --dir DIR --role ROLE --name NAME --zone ZONE [--days N]
       chutecove keys operator --dir DIR --name NAME   (creates a key pair; prints the public key)
       chutecove keys seal --dir DIR                   (appends a new sealing key)
       chutecove keys rotate --dir DIR --fleet NAME    (adds a new authority; both are trusted)";

const AUTHORITY_CERTIFICATE: &str = "authority.pem";
const AUTHORITY_KEY: &str = "authority.key";
const SEAL_KEYS: &str = "seal.keys";
const DEFAULT_LIFETIME_DAYS: u64 = 90;
/// File mode of private keys: only the owner may access them.
const PRIVATE_MODE: u32 = 0o600;

/// Creates keys and certificates.
pub fn run(arguments: &[String]) -> Result<(), Failure> {
    let mut options = Options::new();
    options.reqopt("", "dir", "folder with the keys", "DIR");
    options.optopt("", "fleet", "name of the fleet", "NAME");
    options.optopt("", "role", "control, relay or proxy", "ROLE");
    options.optopt("", "name", "name of the process or operator", "NAME");
    options.optopt("", "zone", "zone of the process", "ZONE");
    options.optopt("", "days", "days until the certificate expires (90)", "N");
    let Some(matches) = parse_options(options, BRIEF, arguments)? else {
        return Ok(());
    };
    let folder = PathBuf::from(matches.opt_str("dir").unwrap_or_default());
    fs::create_dir_all(&folder).map_err(|error| io_failure(&folder, &error))?;
    match positional_argument(&matches, 0, "VERB")? {
        "init" => init(&folder, &required_option(&matches, "fleet")?),
        "issue" => issue(&folder, &matches),
        "operator" => create_operator(&folder, &required_option(&matches, "name")?),
        "seal" => add_seal_key(&folder),
        "rotate" => rotate(&folder, &required_option(&matches, "fleet")?),
        _ => Err(Failure::usage(BRIEF)),
    }
}

fn required_option(matches: &Matches, name: &str) -> Result<String, Failure> {
    matches.opt_str(name).ok_or_else(|| Failure::usage(format!("missing option --{name}")))
}

fn io_failure(path: &Path, error: &std::io::Error) -> Failure {
    Failure::usage(format!("{}: {error}", path.display()))
}

fn create_file(path: &Path, content: &str, mode: u32) -> Result<(), Failure> {
    let file = OpenOptions::new().write(true).create_new(true).mode(mode).open(path);
    file.and_then(|mut file| file.write_all(content.as_bytes()))
        .map_err(|error| io_failure(path, &error))
}

fn read_file(path: &Path) -> Result<String, Failure> {
    fs::read_to_string(path).map_err(|error| io_failure(path, &error))
}

fn init(folder: &Path, fleet: &str) -> Result<(), Failure> {
    let authority = CertificateAuthority::create(fleet).map_err(Failure::refused)?;
    create_file(&folder.join(AUTHORITY_KEY), authority.key_pem(), PRIVATE_MODE)?;
    create_file(&folder.join(AUTHORITY_CERTIFICATE), authority.certificate_pem(), 0o644)?;
    println!("{}", folder.join(AUTHORITY_CERTIFICATE).display());
    Ok(())
}

fn issue(folder: &Path, matches: &Matches) -> Result<(), Failure> {
    let role = required_option(matches, "role")?;
    let role = Role::parse(&role)
        .ok_or_else(|| Failure::usage(format!("'{role}' is not control, relay or proxy")))?;
    let (name, zone) = (required_option(matches, "name")?, required_option(matches, "zone")?);
    let days: u64 = matches
        .opt_get_default("days", DEFAULT_LIFETIME_DAYS)
        .map_err(|error| Failure::usage(format!("--days: {error}")))?;
    // The newest authority signs; its certificate is the first in the file of trusted certificates.
    let certificate = read_file(&folder.join(AUTHORITY_CERTIFICATE))?;
    let authority =
        CertificateAuthority::from_pem(certificate, read_file(&folder.join(AUTHORITY_KEY))?);
    let identity = Identity { role, name: name.clone(), zone };
    let lifetime = Duration::from_secs(days * 24 * 3600);
    let issued = issue_certificate(&authority, &identity, lifetime).map_err(Failure::refused)?;
    // The files are renamed into place, so that a running process never reads a partial one.
    replace_file(&folder.join(format!("{name}.key")), &issued.key_pem, PRIVATE_MODE)?;
    replace_file(&folder.join(format!("{name}.pem")), &issued.certificate_pem, 0o644)?;
    println!("{}", folder.join(format!("{name}.pem")).display());
    Ok(())
}

fn replace_file(path: &Path, content: &str, mode: u32) -> Result<(), Failure> {
    let temporary = path.with_extension("new");
    let _ = fs::remove_file(&temporary);
    create_file(&temporary, content, mode)?;
    fs::rename(&temporary, path).map_err(|error| io_failure(path, &error))
}

fn create_operator(folder: &Path, name: &str) -> Result<(), Failure> {
    let random = SystemRandom::new();
    let pkcs8 = Ed25519KeyPair::generate_pkcs8(&random)
        .map_err(|_| Failure::refused("the system random generator failed"))?;
    let key_pair = Ed25519KeyPair::from_pkcs8(pkcs8.as_ref()).map_err(Failure::refused)?;
    let path = folder.join(format!("{name}.operator"));
    create_file(&path, &encode_hex(pkcs8.as_ref()), PRIVATE_MODE)?;
    println!("[[operator]]");
    println!("name = \"{name}\"");
    println!("public_key = \"{}\"", encode_hex(key_pair.public_key().as_ref()));
    println!("roles = [\"submit\"]");
    Ok(())
}

fn add_seal_key(folder: &Path) -> Result<(), Failure> {
    let path = folder.join(SEAL_KEYS);
    let text = if path.exists() { read_file(&path)? } else { String::new() };
    let key_id = text.lines().filter(|line| !line.trim().is_empty()).count() as u32 + 1;
    let mut bytes = [0; 32];
    SystemRandom::new()
        .fill(&mut bytes)
        .map_err(|_| Failure::refused("the system random generator failed"))?;
    let line = SealKey::new(key_id, bytes).to_line();
    replace_file(&path, &format!("{text}{}\n", line.as_str()), PRIVATE_MODE)?;
    println!("{} now holds key {key_id}", path.display());
    Ok(())
}

fn rotate(folder: &Path, fleet: &str) -> Result<(), Failure> {
    let old_certificates = read_file(&folder.join(AUTHORITY_CERTIFICATE))?;
    let authority = CertificateAuthority::create(fleet).map_err(Failure::refused)?;
    replace_file(&folder.join(AUTHORITY_KEY), authority.key_pem(), PRIVATE_MODE)?;
    let certificates = format!("{}{old_certificates}", authority.certificate_pem());
    replace_file(&folder.join(AUTHORITY_CERTIFICATE), &certificates, 0o644)?;
    println!(
        "distribute {} to every process, issue all certificates again, then",
        AUTHORITY_CERTIFICATE
    );
    println!("remove the second certificate from the file (docs/OPERATIONS.md)");
    Ok(())
}
