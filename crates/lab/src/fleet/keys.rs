//! Keys and certificates of a test fleet.

use bundle::SealKey;
use chutecove::operator::{encode_hex, OperatorClient, OperatorSettings};
use ring::rand::{SecureRandom, SystemRandom};
use ring::signature::{Ed25519KeyPair, KeyPair};
use settings::{OperatorEntry, OperatorsFile, TlsSettings};
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use wire::{issue_certificate, CertificateAuthority, Identity, Role};

const CERTIFICATE_LIFETIME: Duration = Duration::from_secs(24 * 3600);

/// Operator who submits bundles. Both operators may roll them out.
pub const SUBMITTER: &str = "alice";
/// Operator who approves the bundles of [`SUBMITTER`].
pub const APPROVER: &str = "bob";

/// All keys and certificates of a fleet, in one folder.
pub struct FleetKeys {
    folder: PathBuf,
    authority: CertificateAuthority,
    seal_key: SealKey,
}

impl FleetKeys {
    /// Creates the certificate authority, the sealing key and the operators, and writes their
    /// files.
    pub fn create(folder: &Path, fleet: &str) -> Result<Self, crate::Failure> {
        fs::create_dir_all(folder).map_err(|error| error.to_string())?;
        let authority = CertificateAuthority::create(fleet).map_err(|error| error.to_string())?;
        let mut bytes = [0; 32];
        SystemRandom::new()
            .fill(&mut bytes)
            .map_err(|_| "the system random generator failed".to_owned())?;
        let seal_key = SealKey::new(1, bytes);
        let keys = FleetKeys { folder: folder.to_owned(), authority, seal_key };
        keys.write("authority.pem", keys.authority.certificate_pem())?;
        keys.write("seal.keys", &keys.seal_key.to_line())?;
        let operators = OperatorsFile {
            operator: vec![
                keys.operator(SUBMITTER, &["submit", "roll", "members"])?,
                keys.operator(APPROVER, &["submit", "approve", "roll"])?,
            ],
        };
        keys.write("operators.toml", &settings::to_toml(&operators))?;
        Ok(keys)
    }

    fn write(&self, name: &str, content: &str) -> Result<(), crate::Failure> {
        fs::write(self.folder.join(name), content).map_err(|error| error.to_string())
    }

    fn operator(&self, name: &str, roles: &[&str]) -> Result<OperatorEntry, crate::Failure> {
        let pkcs8 = Ed25519KeyPair::generate_pkcs8(&SystemRandom::new())
            .map_err(|_| "the system random generator failed".to_owned())?;
        let key_pair =
            Ed25519KeyPair::from_pkcs8(pkcs8.as_ref()).map_err(|error| error.to_string())?;
        self.write(&format!("{name}.operator"), &encode_hex(pkcs8.as_ref()))?;
        Ok(OperatorEntry {
            name: name.to_owned(),
            public_key: encode_hex(key_pair.public_key().as_ref()),
            roles: roles.iter().map(|role| (*role).to_owned()).collect(),
        })
    }

    /// Issues a certificate and returns the paths of its files.
    pub fn issue(&self, role: Role, name: &str, zone: &str) -> Result<TlsSettings, crate::Failure> {
        let identity = Identity { role, name: name.to_owned(), zone: zone.to_owned() };
        let issued = issue_certificate(&self.authority, &identity, CERTIFICATE_LIFETIME)
            .map_err(|error| error.to_string())?;
        self.write(&format!("{name}.pem"), &issued.certificate_pem)?;
        self.write(&format!("{name}.key"), &issued.key_pem)?;
        Ok(TlsSettings {
            authority: self.folder.join("authority.pem"),
            certificate: self.folder.join(format!("{name}.pem")),
            key: self.folder.join(format!("{name}.key")),
        })
    }

    /// Returns the path of an operator's private key.
    pub fn operator_key_file(&self, operator: &str) -> PathBuf {
        self.folder.join(format!("{operator}.operator"))
    }

    /// Returns the key that seals secrets.
    pub fn seal_key(&self) -> &SealKey {
        &self.seal_key
    }

    /// Returns the path of the file of sealing keys.
    pub fn seal_key_file(&self) -> PathBuf {
        self.folder.join("seal.keys")
    }

    /// Returns the path of the file of operators.
    pub fn operators_file(&self) -> PathBuf {
        self.folder.join("operators.toml")
    }

    /// Returns an API client that acts as one of the operators.
    pub fn client(
        &self,
        operator: &str,
        api: Vec<SocketAddr>,
    ) -> Result<OperatorClient, crate::Failure> {
        let settings = OperatorSettings {
            operator: operator.to_owned(),
            key_file: self.operator_key_file(operator),
            seal_key_file: Some(self.seal_key_file()),
            api,
        };
        OperatorClient::new(settings).map_err(|failure| failure.message)
    }
}
