//! Addresses from URIs whose host is an IP number.
//!
//! The client library's own resolver starts a thread for every call that has a timeout, in case
//! the name server does not answer. We have no names, and the threads cost a third of a call.

use std::net::{IpAddr, SocketAddr};
use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::NextTimeout;
use ureq::Error;

/// Resolves IP numbers only.
#[derive(Debug)]
pub(crate) struct IpResolver;

impl Resolver for IpResolver {
    fn resolve(
        &self,
        uri: &Uri,
        _config: &Config,
        _timeout: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, Error> {
        let mut addresses = self.empty();
        addresses.push(address_of(uri).ok_or(Error::HostNotFound)?);
        Ok(addresses)
    }
}

fn address_of(uri: &Uri) -> Option<SocketAddr> {
    let host = uri.host()?.trim_matches(['[', ']']);
    let address: IpAddr = host.parse().ok()?;
    Some(SocketAddr::new(address, uri.port_u16()?))
}
