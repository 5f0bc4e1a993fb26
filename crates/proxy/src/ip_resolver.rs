//! Resolver for URIs whose host is an IP address.
//!
//! The default resolver of the client library starts a thread for every call with a timeout, in
//! case the name server does not respond. Upstreams have no host names, and these threads took a
//! third of the time of a call.

use std::net::{IpAddr, SocketAddr};
use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::NextTimeout;
use ureq::Error;

/// Resolves IP addresses only.
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
        addresses.push(socket_address(uri).ok_or(Error::HostNotFound)?);
        Ok(addresses)
    }
}

fn socket_address(uri: &Uri) -> Option<SocketAddr> {
    let host = uri.host()?.trim_matches(['[', ']']);
    let address: IpAddr = host.parse().ok()?;
    Some(SocketAddr::new(address, uri.port_u16()?))
}
