//! Who a certificate stands for.
//!
//! A certificate names its holder by three DNS names: `ROLE.role.chutecove`,
//! `NAME.name.chutecove` and `ZONE.zone.chutecove`. A client asks for the server by its role's
//! name, so a proxy's certificate can never serve as a relay's or a control replica's.

use std::fmt;

const ROLE_SUFFIX: &str = ".role.chutecove";
const NAME_SUFFIX: &str = ".name.chutecove";
const ZONE_SUFFIX: &str = ".zone.chutecove";

/// What a process may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A replica of the control source.
    Control,
    /// A relay.
    Relay,
    /// A proxy.
    Proxy,
}

impl Role {
    /// The stable spelling.
    pub fn as_str(self) -> &'static str {
        match self {
            Role::Control => "control",
            Role::Relay => "relay",
            Role::Proxy => "proxy",
        }
    }

    /// Reads the stable spelling.
    pub fn parse(text: &str) -> Option<Role> {
        [Role::Control, Role::Relay, Role::Proxy].into_iter().find(|role| role.as_str() == text)
    }

    /// The DNS name by which clients ask for a server of this role.
    pub fn server_name(self) -> String {
        format!("{}{ROLE_SUFFIX}", self.as_str())
    }
}

impl fmt::Display for Role {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// The holder of a certificate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Its role.
    pub role: Role,
    /// Its name, unique in the fleet.
    pub name: String,
    /// Its zone.
    pub zone: String,
}

impl Identity {
    /// The DNS names that stand for it in a certificate.
    pub fn dns_names(&self) -> Vec<String> {
        vec![
            self.role.server_name(),
            format!("{}{NAME_SUFFIX}", self.name),
            format!("{}{ZONE_SUFFIX}", self.zone),
        ]
    }

    /// Reads the DNS names of a certificate; `None` if one of the three is missing.
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
