//! Mutual TLS settings, loaded from files and reloaded when the files change.

use crate::Identity;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use snafu::{OptionExt, ResultExt, Snafu};
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, SystemTime};
use tracing::{info, warn};

const RELOAD_INTERVAL: Duration = Duration::from_secs(1);

/// Where a process finds its certificate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsFiles {
    /// Certificates of the authorities trusted, PEM; two during a replacement.
    pub authority: PathBuf,
    /// Own certificate, PEM.
    pub certificate: PathBuf,
    /// Own private key, PEM.
    pub key: PathBuf,
}

/// Why TLS could not be set up.
#[derive(Debug, Snafu)]
pub enum TlsError {
    /// A PEM file is missing or not readable.
    #[snafu(display("{}: {source}", path.display()))]
    Pem {
        /// Which file.
        path: PathBuf,
        /// Cause.
        source: rustls::pki_types::pem::Error,
    },
    /// The certificate or key is not usable.
    #[snafu(display("{}: {source}", path.display()))]
    Unusable {
        /// Which file.
        path: PathBuf,
        /// Cause.
        source: rustls::Error,
    },
    /// The client verifier could not be built.
    #[snafu(display("{}: {source}", path.display()))]
    Verifier {
        /// Which file.
        path: PathBuf,
        /// Cause.
        source: rustls::server::VerifierBuilderError,
    },
    /// The certificate names no role, name and zone.
    #[snafu(display("{}: the certificate names no role, name and zone", path.display()))]
    NoIdentity {
        /// Which file.
        path: PathBuf,
    },
}

#[derive(Debug)]
struct Loaded {
    client: Arc<ClientConfig>,
    server: Arc<ServerConfig>,
    modified: Vec<Option<SystemTime>>,
}

/// A process's own identity with its TLS settings.
#[derive(Debug)]
pub struct TlsIdentity {
    files: TlsFiles,
    identity: Identity,
    loaded: Mutex<Loaded>,
}

impl TlsIdentity {
    /// Loads the files.
    pub fn load(files: TlsFiles) -> Result<Arc<Self>, TlsError> {
        let (loaded, identity) = load(&files)?;
        Ok(Arc::new(TlsIdentity { files, identity, loaded: Mutex::new(loaded) }))
    }

    /// Who this process is.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Loads the files again if one of them changed; new connections then use the new keys.
    pub fn reload_if_changed(&self) -> Result<bool, TlsError> {
        let modified = modification_times(&self.files);
        if self.lock().modified == modified {
            return Ok(false);
        }
        let (loaded, _) = load(&self.files)?;
        *self.lock() = loaded;
        Ok(true)
    }

    /// Starts a thread that loads the files again whenever they change.
    pub fn watch_files(self: Arc<Self>) {
        thread::spawn(move || loop {
            thread::sleep(RELOAD_INTERVAL);
            match self.reload_if_changed() {
                Ok(true) => info!("certificates_reloaded"),
                Ok(false) => {}
                Err(error) => warn!(%error, "certificates_not_reloaded"),
            }
        });
    }

    /// Configuration of the calling side.
    pub fn client(&self) -> Arc<ClientConfig> {
        self.lock().client.clone()
    }

    pub(crate) fn server(&self) -> Arc<ServerConfig> {
        self.lock().server.clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Loaded> {
        self.loaded.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn modification_times(files: &TlsFiles) -> Vec<Option<SystemTime>> {
    [&files.authority, &files.certificate, &files.key]
        .into_iter()
        .map(|path| path.metadata().and_then(|metadata| metadata.modified()).ok())
        .collect()
}

fn load(files: &TlsFiles) -> Result<(Loaded, Identity), TlsError> {
    let modified = modification_times(files);
    let chain = read_certificates(&files.certificate)?;
    let identity = identity_of(&chain).context(NoIdentitySnafu { path: &files.certificate })?;
    let key = PrivateKeyDer::from_pem_file(&files.key).context(PemSnafu { path: &files.key })?;
    let mut roots = RootCertStore::empty();
    for authority in read_certificates(&files.authority)? {
        roots.add(authority).context(UnusableSnafu { path: &files.authority })?;
    }
    let roots = Arc::new(roots);
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone())
        .build()
        .context(VerifierSnafu { path: &files.authority })?;
    let mut server = ServerConfig::builder_with_provider(provider.clone())
        .with_safe_default_protocol_versions()
        .context(UnusableSnafu { path: &files.certificate })?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain.clone(), key.clone_key())
        .context(UnusableSnafu { path: &files.certificate })?;
    // Sessions are never resumed, so that a replaced certificate counts from the next connection.
    server.send_tls13_tickets = 0;
    let mut client = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .context(UnusableSnafu { path: &files.certificate })?
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, key)
        .context(UnusableSnafu { path: &files.certificate })?;
    client.resumption = rustls::client::Resumption::disabled();
    let loaded = Loaded { client: Arc::new(client), server: Arc::new(server), modified };
    Ok((loaded, identity))
}

fn read_certificates(path: &PathBuf) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    CertificateDer::pem_file_iter(path).and_then(Iterator::collect).context(PemSnafu { path })
}

/// Reads who a certificate chain stands for.
pub(crate) fn identity_of(chain: &[CertificateDer<'_>]) -> Option<Identity> {
    let leaf = webpki::EndEntityCert::try_from(chain.first()?).ok()?;
    let names: Vec<&str> = leaf.valid_dns_names().collect();
    Identity::from_dns_names(names.iter().copied())
}
