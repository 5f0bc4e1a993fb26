//! The process identity in a certificate.
//!
//! A certificate identifies its subject by three DNS names: `ROLE.role.chutecove`,
//! `NAME.name.chutecove` and `ZONE.zone.chutecove`. A client verifies the server against its role
//! name, so a proxy's certificate is never accepted as that of a relay or a control replica.

use std::fmt;

const ROLE_SUFFIX: &str = ".role.chutecove";
const NAME_SUFFIX: &str = ".name.chutecove";
const ZONE_SUFFIX: &str = ".zone.chutecove";

/// Role of a process, which determines what it is authorized to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A control replica.
    Control,
    /// A relay between the control replicas and the proxies.
    Relay,
    /// A proxy on the path of calls.
    Proxy,
}

impl Role {
    /// The role's name in certificates and file names; must not change.
    pub fn as_str(self) -> &'static str {
        match self {
            Role::Control => "control",
            Role::Relay => "relay",
            Role::Proxy => "proxy",
        }
    }

    /// Parses a role from its [`Role::as_str`] form.
    pub fn parse(text: &str) -> Option<Role> {
        [Role::Control, Role::Relay, Role::Proxy].into_iter().find(|role| role.as_str() == text)
    }

    /// The DNS name that clients expect in the certificate of a server of this role.
    pub fn server_name(self) -> String {
        format!("{}{ROLE_SUFFIX}", self.as_str())
    }
}

impl fmt::Display for Role {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// The subject of a certificate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Role of the process.
    pub role: Role,
    /// Name of the process, unique in the fleet.
    pub name: String,
    /// Zone the process runs in.
    pub zone: String,
}

impl Identity {
    /// The DNS names that encode this identity in a certificate.
    pub fn dns_names(&self) -> Vec<String> {
        vec![
            self.role.server_name(),
            format!("{}{NAME_SUFFIX}", self.name),
            format!("{}{ZONE_SUFFIX}", self.zone),
        ]
    }

    /// Parses the DNS names of a certificate; `None` if one of the three is missing or the role is
    /// unknown.
    pub fn from_dns_names<'a>(names: impl Iterator<Item = &'a str> + Clone) -> Option<Identity> {
        let with_suffix = |suffix: &str| {
            names.clone().find_map(|name| name.strip_suffix(suffix).map(str::to_owned))
        };
        Some(Identity {
            role: Role::parse(&with_suffix(ROLE_SUFFIX)?)?,
            name: with_suffix(NAME_SUFFIX)?,
            zone: with_suffix(ZONE_SUFFIX)?,
        })
    }
}
