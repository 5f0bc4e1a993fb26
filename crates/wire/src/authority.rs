//! The fleet's own certificate authority: what `chutecove keys` does.

use crate::Identity;
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};
use snafu::{ResultExt, Snafu};
use std::time::{Duration, SystemTime};

const AUTHORITY_LIFETIME: Duration = Duration::from_secs(10 * 365 * 24 * 3600);
/// A certificate is valid from a little before it was made, for clocks that are behind.
const CLOCK_TOLERANCE: Duration = Duration::from_secs(3600);

/// A certificate could not be made.
#[derive(Debug, Snafu)]
#[snafu(display("cannot make a certificate: {source}"))]
pub struct AuthorityError {
    source: rcgen::Error,
}

/// Certificate and private key, both PEM.
pub struct IssuedCertificate {
    /// Certificate.
    pub certificate_pem: String,
    /// Private key.
    pub key_pem: String,
}

/// Signs the certificates of one fleet.
pub struct CertificateAuthority {
    certificate_pem: String,
    key_pem: String,
}

impl CertificateAuthority {
    /// Makes a new authority.
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

    /// Uses an existing authority.
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

/// Issues a certificate for a process.
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
    params.not_before = (now - CLOCK_TOLERANCE).into();
    params.not_after = (now + lifetime).into();
}
