//! The fleet's own certificate authority, used by `chutecove keys`.

use crate::Identity;
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};
use snafu::{ResultExt, Snafu};
use std::time::{Duration, SystemTime};

const AUTHORITY_LIFETIME: Duration = Duration::from_secs(10 * 365 * 24 * 3600);
/// Certificates are backdated by this much, so that peers whose clocks are behind accept them.
const CLOCK_SKEW_TOLERANCE: Duration = Duration::from_secs(3600);

/// A certificate could not be generated.
#[derive(Debug, Snafu)]
#[snafu(display("cannot generate a certificate: {source}"))]
pub struct AuthorityError {
    source: rcgen::Error,
}

/// A certificate with its private key.
pub struct IssuedCertificate {
    /// Certificate, PEM.
    pub certificate_pem: String,
    /// Private key, PEM.
    pub key_pem: String,
}

/// Signs the certificates of one fleet.
pub struct CertificateAuthority {
    certificate_pem: String,
    key_pem: String,
}

impl CertificateAuthority {
    /// Creates an authority with a new key and a self-signed certificate.
    pub fn create(fleet: &str) -> Result<Self, AuthorityError> {
        let key = KeyPair::generate().context(AuthoritySnafu)?;
        let mut params = CertificateParams::new(Vec::new()).context(AuthoritySnafu)?;
        params.distinguished_name.push(DnType::CommonName, format!("chutecove {fleet}"));
        params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        set_validity(&mut params, AUTHORITY_LIFETIME);
        let certificate = params.self_signed(&key).context(AuthoritySnafu)?;
        Ok(CertificateAuthority {
            certificate_pem: certificate.pem(),
            key_pem: key.serialize_pem(),
        })
    }

    /// Wraps an existing authority's certificate and key without validating them.
    pub fn from_pem(certificate_pem: String, key_pem: String) -> Self {
        CertificateAuthority { certificate_pem, key_pem }
    }

    /// The authority's certificate, PEM.
    pub fn certificate_pem(&self) -> &str {
        &self.certificate_pem
    }

    /// The authority's private key, PEM.
    pub fn key_pem(&self) -> &str {
        &self.key_pem
    }
}

/// Issues a certificate with a new key for a process, valid for client and server authentication.
pub fn issue_certificate(
    authority: &CertificateAuthority,
    identity: &Identity,
    lifetime: Duration,
) -> Result<IssuedCertificate, AuthorityError> {
    let authority_key = KeyPair::from_pem(&authority.key_pem).context(AuthoritySnafu)?;
    let issuer = Issuer::from_ca_cert_pem(&authority.certificate_pem, authority_key)
        .context(AuthoritySnafu)?;
    let key = KeyPair::generate().context(AuthoritySnafu)?;
    let mut params = CertificateParams::new(identity.dns_names()).context(AuthoritySnafu)?;
    params.distinguished_name.push(DnType::CommonName, identity.name.clone());
    params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    params.extended_key_usages =
        vec![ExtendedKeyUsagePurpose::ClientAuth, ExtendedKeyUsagePurpose::ServerAuth];
    set_validity(&mut params, lifetime);
    let certificate = params.signed_by(&key, &issuer).context(AuthoritySnafu)?;
    Ok(IssuedCertificate { certificate_pem: certificate.pem(), key_pem: key.serialize_pem() })
}

fn set_validity(params: &mut CertificateParams, lifetime: Duration) {
    let now = SystemTime::now();
    params.not_before = (now - CLOCK_SKEW_TOLERANCE).into();
    params.not_after = (now + lifetime).into();
}
