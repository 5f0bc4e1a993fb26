//! How connections are closed: at once or after their output, and what is left on them then.

use super::{Connection, ConnectionId, Net, NetEvent};
use bytes::BytesMut;
use std::time::Duration;
use telemetry::BootInstant;

/// What the other side of a connection being finished has not read after this time is dropped: longer than
/// callers wait for an answer.
pub const LATE_READER_TIMEOUT: Duration = Duration::from_secs(30);

/// What is on the open connections when the process exits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Leftovers {
    /// Open connections.
    pub connections: usize,
    /// Connections that are being finished.
    pub finishing: usize,
    /// Output that no socket has accepted, in bytes.
    pub unsent_bytes: usize,
    /// Input that nobody has parsed, in bytes.
    pub unread_bytes: usize,
}

impl Net {
    /// Shuts down a connection being finished once its output has been written.
    pub(super) fn end_if_finished(&mut self, id: ConnectionId) {
        let Some(connection) = self.get_mut(id) else {
            return;
        };
        if connection.lingering.is_some() && connection.output.is_empty() {
            connection.lingering = Some(BootInstant::now());
            connection.shutdown_write();
            if connection.ended {
                self.close(id);
            }
        }
    }

    /// Closes a connection immediately.
    pub fn close(&mut self, id: ConnectionId) {
        if self.get_mut(id).is_none() {
            return;
        }
        self.pacer.remove(id);
        if let Some(mut connection) = self.connections.try_remove(id.index) {
            self.note_dropped(&connection);
            if let Err(error) = self.poll.registry().deregister(&mut connection.stream) {
                // The socket is closed anyway, which removes it from the poll.
                tracing::debug!(%error, "socket_not_deregistered");
            }
        }
    }

    /// Closes a connection gracefully: its output is written first, followed by the end of the
    /// stream. The connection is dropped when the other side closes it too, or by [`Net::sweep`].
    /// `holds_answers` tells whether the other side may not have taken all that was written.
    pub fn finish(&mut self, id: ConnectionId, holds_answers: bool) {
        let Some(connection) = self.get_mut(id) else {
            return;
        };
        connection.lingering = Some(BootInstant::now());
        connection.holds_answers = holds_answers;
        connection.input = BytesMut::new();
        if !self.pacer.is_waiting(id) {
            if let Some(connection) = self.get_mut(id) {
                connection.flush();
            }
        }
        self.end_if_finished(id);
    }

    /// Drops connections whose end was sent more than `longest` ago and that the other side has not
    /// closed; those that may hold answers after `longest_with_answers`, since a reset by what the other
    /// side sends would take the answers back.
    pub fn sweep(&mut self, longest: Duration, longest_with_answers: Duration) {
        let is_stale = |connection: &Connection| {
            let can_send = !connection.output.is_empty() && !connection.is_broken();
            let longest = match connection.holds_answers {
                _ if can_send => LATE_READER_TIMEOUT,
                true => longest_with_answers,
                false => longest,
            };
            connection.lingering.is_some_and(|since| since.elapsed() > longest)
        };
        let of = |(index, connection): (usize, &Connection)| ConnectionId {
            index,
            generation: connection.generation,
        };
        let found = self.connections.iter().filter(|(_, connection)| is_stale(connection));
        let ids: Vec<ConnectionId> = found.map(of).collect();
        for id in ids {
            self.close(id);
        }
    }

    /// Whether a connection is open, or being finished and not closed by the other side yet.
    pub fn is_open(&self, id: ConnectionId) -> bool {
        let found = self.connections.get(id.index);
        found.is_some_and(|connection| connection.generation == id.generation)
    }

    /// Takes the connections that wait to be accepted and listens no more: later ones are refused, which
    /// tells their clients at once that nothing was read.
    pub fn stop_listening(&mut self) -> Vec<NetEvent> {
        let mut net_events = Vec::new();
        self.pending_accepts = (0..self.listeners.len()).collect();
        while let Some(listener) = self.pending_accepts.pop() {
            self.accept(listener, &mut net_events);
        }
        self.listeners.clear();
        net_events
    }

    /// What is left on the connections. Reads what has arrived in the meantime.
    pub fn leftovers(&mut self) -> Leftovers {
        let mut left = Leftovers { connections: self.connections.len(), ..Leftovers::default() };
        for (_, connection) in &mut self.connections {
            left.finishing += usize::from(connection.lingering.is_some());
            left.unsent_bytes += connection.output.len();
            left.unread_bytes += connection.input.len() + connection.drain(&mut self.read_buffer);
        }
        left
    }

    /// Logs a connection that is closed with data on it, unless the other side has ended it.
    fn note_dropped(&mut self, connection: &Connection) {
        let (unsent, unread) = (connection.output.len(), connection.input.len());
        let is_over = connection.ended || connection.opening;
        if is_over || (unsent == 0 && unread == 0) {
            return;
        }
        if self.dropped_logged.allows(self.since.elapsed().as_millis() as u64) {
            let finishing_ms = connection.lingering.map(|since| since.elapsed().as_millis() as u64);
            tracing::info!(
                used_for = ?connection.used_for, ?finishing_ms, unsent, unread, "connection_dropped"
            );
        }
    }
}
