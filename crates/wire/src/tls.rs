//! Mutual TLS configuration, loaded from files and reloaded when the files change.

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

/// Paths of a process's TLS files.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsFiles {
    /// Trusted CA certificates, PEM; two during a CA rotation.
    pub authority: PathBuf,
    /// The process's certificate chain, PEM.
    pub certificate: PathBuf,
    /// The process's private key, PEM.
    pub key: PathBuf,
}

/// Error from loading the TLS configuration.
#[derive(Debug, Snafu)]
pub enum TlsError {
    /// A PEM file is missing or malformed.
    #[snafu(display("{}: {source}", path.display()))]
    Pem {
        /// Path of the file.
        path: PathBuf,
        /// Underlying PEM error.
        source: rustls::pki_types::pem::Error,
    },
    /// The certificate or key was rejected by rustls.
    #[snafu(display("{}: {source}", path.display()))]
    Rejected {
        /// Path of the file.
        path: PathBuf,
        /// Underlying TLS error.
        source: rustls::Error,
    },
    /// The client verifier could not be built.
    #[snafu(display("{}: {source}", path.display()))]
    Verifier {
        /// Path of the file.
        path: PathBuf,
        /// Underlying verifier error.
        source: rustls::server::VerifierBuilderError,
    },
    /// The certificate lacks a DNS name for the role, name or zone.
    #[snafu(display("{}: certificate lacks a role, name or zone DNS name", path.display()))]
    NoIdentity {
        /// Path of the file.
        path: PathBuf,
    },
}

#[derive(Debug)]
struct LoadedConfig {
    client: Arc<ClientConfig>,
    server: Arc<ServerConfig>,
    modified_times: Vec<Option<SystemTime>>,
}

/// A process's identity and its reloadable TLS configuration.
#[derive(Debug)]
pub struct TlsIdentity {
    files: TlsFiles,
    identity: Identity,
    loaded: Mutex<LoadedConfig>,
}

impl TlsIdentity {
    /// Loads the TLS files.
    pub fn load(files: TlsFiles) -> Result<Arc<Self>, TlsError> {
        let (loaded, identity) = load(&files)?;
        Ok(Arc::new(TlsIdentity { files, identity, loaded: Mutex::new(loaded) }))
    }

    /// Identity in this process's certificate, as of the first load.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Reloads the files if the modification time of one has changed; returns whether it did. Only
    /// new connections use the new keys.
    pub fn reload_if_changed(&self) -> Result<bool, TlsError> {
        let modified_times = modification_times(&self.files);
        if self.lock().modified_times == modified_times {
            return Ok(false);
        }
        let (loaded, _) = load(&self.files)?;
        *self.lock() = loaded;
        Ok(true)
    }

    /// Starts a thread that reloads the files whenever they change.
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

    /// Current client-side configuration.
    pub fn client(&self) -> Arc<ClientConfig> {
        self.lock().client.clone()
    }

    pub(crate) fn server(&self) -> Arc<ServerConfig> {
        self.lock().server.clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, LoadedConfig> {
        self.loaded.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn modification_times(files: &TlsFiles) -> Vec<Option<SystemTime>> {
    [&files.authority, &files.certificate, &files.key]
        .into_iter()
        .map(|path| path.metadata().and_then(|metadata| metadata.modified()).ok())
        .collect()
}

fn load(files: &TlsFiles) -> Result<(LoadedConfig, Identity), TlsError> {
    let modified_times = modification_times(files);
    let chain = read_certificates(&files.certificate)?;
    let identity =
        identity_from_chain(&chain).context(NoIdentitySnafu { path: &files.certificate })?;
    let key = PrivateKeyDer::from_pem_file(&files.key).context(PemSnafu { path: &files.key })?;
    let mut roots = RootCertStore::empty();
    for authority in read_certificates(&files.authority)? {
        roots.add(authority).context(RejectedSnafu { path: &files.authority })?;
    }
    let roots = Arc::new(roots);
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone())
        .build()
        .context(VerifierSnafu { path: &files.authority })?;
    let mut server = ServerConfig::builder_with_provider(provider.clone())
        .with_safe_default_protocol_versions()
        .context(RejectedSnafu { path: &files.certificate })?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain.clone(), key.clone_key())
        .context(RejectedSnafu { path: &files.certificate })?;
    // Session resumption is disabled on both sides, so that a replaced certificate takes effect
    // with the next connection.
    server.send_tls13_tickets = 0;
    let mut client = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .context(RejectedSnafu { path: &files.certificate })?
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, key)
        .context(RejectedSnafu { path: &files.certificate })?;
    client.resumption = rustls::client::Resumption::disabled();
    let loaded =
        LoadedConfig { client: Arc::new(client), server: Arc::new(server), modified_times };
    Ok((loaded, identity))
}

fn read_certificates(path: &PathBuf) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    CertificateDer::pem_file_iter(path).and_then(Iterator::collect).context(PemSnafu { path })
}

/// Extracts the identity from the leaf certificate of a chain.
pub(crate) fn identity_from_chain(chain: &[CertificateDer<'_>]) -> Option<Identity> {
    let leaf = webpki::EndEntityCert::try_from(chain.first()?).ok()?;
    let names: Vec<&str> = leaf.valid_dns_names().collect();
    Identity::from_dns_names(names.iter().copied())
}
