//! Connections to upstreams on which a reset is told from an end in order.
//!
//! A response without a length ends with its connection. The client library takes a reset for such an
//! end as well, so that a half response would pass for a complete one.

use std::io::{self, ErrorKind};
use ureq::unversioned::transport::{Buffers, ConnectionDetails, Connector, NextTimeout, Transport};
use ureq::Error;

/// Makes the connections of the connector before it [`ResetAware`].
#[derive(Debug)]
pub(crate) struct ResetAwareConnector;

impl<In: Transport> Connector<In> for ResetAwareConnector {
    type Out = ResetAware<In>;

    fn connect(
        &self,
        _details: &ConnectionDetails,
        chained: Option<In>,
    ) -> Result<Option<Self::Out>, Error> {
        Ok(chained.map(ResetAware))
    }
}

/// A connection whose reset fails what is being read.
#[derive(Debug)]
pub(crate) struct ResetAware<T>(T);

impl<T: Transport> Transport for ResetAware<T> {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.0.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        self.0.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        self.0.await_input(timeout).map_err(unlike_an_end)
    }

    fn is_open(&mut self) -> bool {
        self.0.is_open()
    }

    fn is_tls(&self) -> bool {
        self.0.is_tls()
    }
}

/// Gives a reset a kind that the library does not take for an end.
fn unlike_an_end(error: Error) -> Error {
    match error {
        Error::Io(cause) if cause.kind() == ErrorKind::ConnectionReset => {
            Error::Io(io::Error::other(cause))
        }
        other => other,
    }
}
