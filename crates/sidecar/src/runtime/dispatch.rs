//! Passes socket events to the decision-making parts, and carries out the actions that they return.

use super::{Sidecar, Work, OWN_HEADER_BYTES, PEER_BODY_BYTES, REGISTRATION_BODY_BYTES};
use crate::calls::{AttemptEnd, CallAction, Origin};
use crate::dialect::{HeaderNames, RegistrationDialect, UpstreamStatement};
use crate::jobs::{JobAction, Source, UpstreamEnd};
use crate::net::{ConnectionId, NetEvent};
use crate::pool::{OutgoingRequest, PoolEnd};
use crate::servers::ServerKind;
use crate::{Attempt, Millis};
use admission::{JobId, SendUrgency};
use bytes::Bytes;
use http1::{
    write_request_head, BodyLength, ExpectedId, Headers, Offer, Request, Response, ServerLimits,
    Slot,
};
use mesh::{HopReply, HopRequest, HOP_HEADER};
use std::net::SocketAddr;
use std::rc::Rc;

/// Answer to a request on the peer port that was not sent by a sidecar.
const MISDIRECTED_STATUS: u16 = 421;

/// A call whose body is offered by a peer.
enum OfferedCall {
    Sized {
        attempt_id: String,
        hop: HopRequest,
        bytes: u64,
    },
    /// The length of the body is unknown, so link capacity cannot be reserved for it.
    Unsized {
        attempt_id: String,
    },
    /// There is no memory for the body.
    Unfunded {
        attempt_id: String,
    },
    /// The request was not sent by a sidecar.
    Foreign,
}

impl OfferedCall {
    fn of(offer: Offer<'_>, names: HeaderNames) -> Self {
        let head = offer.head;
        let Some(hop) = head.headers.text(HOP_HEADER).and_then(HopRequest::decode) else {
            return Self::Foreign;
        };
        let attempt_id = head.headers.text(names.attempt_id).unwrap_or("-").to_owned();
        if !offer.has_room {
            return Self::Unfunded { attempt_id };
        }
        match head.length {
            BodyLength::Known(bytes) => Self::Sized { attempt_id, hop, bytes },
            _ => Self::Unsized { attempt_id },
        }
    }
}

impl<D: RegistrationDialect> Sidecar<D> {
    pub(super) fn on_event(&mut self, event: NetEvent) {
        let now = self.now();
        let id = match &event {
            NetEvent::Accepted { listener, connection } => {
                let kind = self.listeners[*listener];
                self.servers.accepted(&mut self.net, *connection, kind, now);
                return;
            }
            NetEvent::Connected(id) | NetEvent::ConnectFailed(id) | NetEvent::Received(id) => *id,
            NetEvent::Ended(id, _) => *id,
        };
        if let Some(kind) = self.servers.kind(id) {
            self.on_server_event(kind, id, &event, now);
        } else if self.peers.holds(id) {
            if let Some((attempt, end)) = self.peers.on_event(&mut self.net, &event, now) {
                self.peer_ended(attempt, end, now);
            }
        } else if self.upstream.holds(id) {
            if let Some((job, end)) = self.upstream.on_event(&mut self.net, &event, now) {
                self.upstream_ended(job, end, now);
            }
            self.handle_probe_result(now);
        } else if self.links.holds(id) {
            let link_events = self.links.on_event(&mut self.net, &event, now);
            for link_event in link_events {
                self.on_link_event(link_event, now);
            }
        } else if matches!(event, NetEvent::Ended(..)) {
            self.net.close(id);
        }
    }

    pub(super) fn on_server_event(
        &mut self,
        kind: ServerKind,
        id: ConnectionId,
        event: &NetEvent,
        now: Millis,
    ) {
        if let NetEvent::Ended(..) = event {
            self.servers.ended(&mut self.net, id);
            match kind {
                ServerKind::Caller => {
                    let actions = self.calls.connection_ended(id, now);
                    self.work.extend(actions.into_iter().map(Work::Call));
                }
                ServerKind::Peer => {
                    let actions = self.jobs.connection_ended(id, now);
                    self.work.extend(actions.into_iter().map(Work::Job));
                }
                _ => {}
            }
            return;
        }
        self.take_requests(kind, id, now);
    }

    pub(super) fn take_requests(&mut self, kind: ServerKind, id: ConnectionId, now: Millis) {
        let limits = self.server_limits(kind);
        let requests = self.servers.received(&mut self.net, id, limits, now);
        if kind == ServerKind::Peer {
            self.on_offer(id, now);
        }
        for (slot, request) in requests {
            match kind {
                ServerKind::Caller => {
                    self.last_request = now;
                    let origin = Origin { connection: id, slot };
                    let left_ms = request.headers.number(self.names.deadline_ms);
                    if !self.stop.accepts(left_ms.unwrap_or(u64::MAX / 2), now) {
                        let after_ms = self.stop.retry_after_ms();
                        let action = self.calls.refuse_stopping(origin, &request, after_ms);
                        self.work.push_back(Work::Call(action));
                        continue;
                    }
                    let id = request.headers.text(self.names.attempt_id).unwrap_or_default();
                    let initiator = self.jobs.initiator(id);
                    let actions =
                        self.calls.begin_from(initiator, origin, request, &self.config, now);
                    self.work.extend(actions.into_iter().map(Work::Call));
                }
                ServerKind::Peer => self.on_peer_request(id, slot, request, now),
                ServerKind::Registration => self.on_registration(id, slot, &request, now),
                ServerKind::Ready => {
                    let ready = request.path() == self.dialect.ready_path() && self.is_ready();
                    let status = if ready { 200 } else { 503 };
                    self.answer(id, slot, Response::empty(status), now);
                }
                ServerKind::Metrics => {
                    let response = self.metrics_response(request.path());
                    self.answer(id, slot, response, now);
                }
            }
        }
    }

    /// Handles a new offer of a peer, or the progress of an offered body.
    fn on_offer(&mut self, id: ConnectionId, now: Millis) {
        let bytes = self.servers.body_bytes(id);
        let mut actions = self.jobs.body_arrived(id, bytes, now);
        let offer = self.servers.offer(id);
        let offer = offer.map(|offer| (offer.slot, OfferedCall::of(offer, self.names)));
        if let Some((slot, call)) = offer {
            let source = Source::Peer { connection: id, slot };
            match call {
                OfferedCall::Sized { attempt_id, hop, bytes } => {
                    actions.extend(self.jobs.offer(source, &attempt_id, &hop, bytes, now));
                }
                OfferedCall::Unfunded { attempt_id } => {
                    actions.push(self.jobs.refuse_unfunded(source, &attempt_id, now));
                }
                OfferedCall::Unsized { attempt_id } => {
                    actions.push(self.jobs.refuse_unsized(source, &attempt_id, now));
                }
                OfferedCall::Foreign => {
                    self.answer(id, slot, Response::empty(MISDIRECTED_STATUS), now);
                }
            }
        }
        self.work.extend(actions.into_iter().map(Work::Job));
    }

    pub(super) fn server_limits(&self, kind: ServerKind) -> ServerLimits {
        match kind {
            ServerKind::Caller => ServerLimits {
                header_bytes: self.config.limits().header_bytes as usize,
                body_bytes: u64::from(self.config.limits().body_bytes),
                holds_offers: false,
            },
            ServerKind::Peer => ServerLimits {
                header_bytes: OWN_HEADER_BYTES,
                body_bytes: PEER_BODY_BYTES,
                holds_offers: true,
            },
            ServerKind::Registration | ServerKind::Ready | ServerKind::Metrics => ServerLimits {
                header_bytes: OWN_HEADER_BYTES,
                body_bytes: REGISTRATION_BODY_BYTES,
                holds_offers: false,
            },
        }
    }

    pub(super) fn on_peer_request(
        &mut self,
        id: ConnectionId,
        slot: Slot,
        request: Request,
        now: Millis,
    ) {
        self.last_request = now;
        let hop = request.headers.text(HOP_HEADER).and_then(HopRequest::decode);
        let Some(hop) = hop else {
            self.answer(id, slot, Response::empty(MISDIRECTED_STATUS), now);
            return;
        };
        self.net.set_urgency(id, send_urgency(&hop));
        let source = Source::Peer { connection: id, slot };
        let actions = self.jobs.begin(source, Rc::new(request), &hop, now);
        self.work.extend(actions.into_iter().map(Work::Job));
    }

    pub(super) fn do_work(&mut self) {
        while let Some(work) = self.work.pop_front() {
            let now = self.now();
            match work {
                Work::Call(action) => self.do_call_action(action, now),
                Work::Job(action) => self.do_job_action(action, now),
            }
        }
    }

    pub(super) fn do_call_action(&mut self, action: CallAction, now: Millis) {
        match action {
            CallAction::Send { attempt, to, request, hop, .. } if to == self.own => {
                let source = Source::Local(attempt);
                let actions = self.jobs.begin(source, request, &hop, now);
                self.work.extend(actions.into_iter().map(Work::Job));
            }
            CallAction::Send { attempt, to, request, hop, offered } => {
                let mut headers = request.headers.clone();
                headers.push(HOP_HEADER, hop.encode());
                let outgoing = match offered {
                    true => self.encode_offer(request, headers),
                    false => self.encode_request(&request, &headers),
                };
                let address = SocketAddr::from(to);
                if let Some(end) =
                    self.peers.send_request(&mut self.net, address, attempt, outgoing, now)
                {
                    self.peer_ended(attempt, end, now);
                }
            }
            CallAction::Answer { origin, response } => {
                self.answer(origin.connection, origin.slot, response, now);
                // Further requests may have been held back behind this one.
                self.take_requests(ServerKind::Caller, origin.connection, now);
            }
            CallAction::Abort(attempt) => {
                self.peers.abort(&mut self.net, attempt);
                let actions = self.jobs.cancel(Source::Local(attempt), now);
                self.work.extend(actions.into_iter().map(Work::Job));
            }
        }
    }

    pub(super) fn encode_request(&self, request: &Request, headers: &Headers) -> OutgoingRequest {
        let Request { method, target, body, .. } = request;
        let mut head = Vec::with_capacity(512);
        write_request_head(&mut head, method, target, headers, body.len());
        let (method, body) = (method.clone(), body.clone());
        OutgoingRequest { method, head, body, offered: None, expected: self.expected_id(request) }
    }

    /// Builds a request whose body is sent only as the receiver grants it.
    fn encode_offer(&self, request: Rc<Request>, mut headers: Headers) -> OutgoingRequest {
        headers.set("expect", "100-continue");
        let Request { method, target, body, .. } = &*request;
        let mut head = Vec::new();
        write_request_head(&mut head, method, target, &headers, body.len());
        let (method, expected) = (method.clone(), self.expected_id(&request));
        OutgoingRequest { method, head, body: Bytes::new(), expected, offered: Some(request) }
    }

    fn expected_id(&self, request: &Request) -> Option<ExpectedId> {
        let id = request.headers.get(self.names.attempt_id)?;
        Some(ExpectedId { header: self.names.attempt_id.to_owned(), value: id.to_vec() })
    }

    pub(super) fn do_job_action(&mut self, action: JobAction, now: Millis) {
        match action {
            JobAction::Run { job, mut request } => {
                request.headers.remove_connection_headers();
                let outgoing = self.encode_request(&request, &request.headers);
                let address = SocketAddr::from(self.settings.upstream);
                if let Some(end) =
                    self.upstream.send_request(&mut self.net, address, job, outgoing, now)
                {
                    self.upstream_ended(job, end, now);
                }
            }
            JobAction::Abort(job) => self.upstream.abort(&mut self.net, job),
            JobAction::Probe { again } => {
                let address = SocketAddr::from(self.settings.upstream);
                self.upstream.probe(&mut self.net, address, again, now);
                self.handle_probe_result(now);
            }
            JobAction::Grant { source: Source::Peer { connection, slot }, bytes } => {
                self.servers.grant(&mut self.net, connection, slot, bytes);
            }
            // The body of a local call is already here.
            JobAction::Grant { source: Source::Local(_), .. } => {}
            JobAction::Reply { source: Source::Local(attempt), reply, response } => {
                let end = AttemptEnd::Replied(reply, response);
                let actions = self.calls.ended(attempt, end, now);
                self.work.extend(actions.into_iter().map(Work::Call));
            }
            JobAction::Reply { source: Source::Peer { connection, slot }, reply, response } => {
                let response = response.with_header(HOP_HEADER, reply.encode());
                self.answer(connection, slot, response, now);
            }
        }
    }

    pub(super) fn peer_ended(&mut self, attempt: Attempt, end: PoolEnd, now: Millis) {
        let end = match end {
            PoolEnd::NotSent => AttemptEnd::NotSent,
            PoolEnd::Failed(_) => AttemptEnd::Lost,
            PoolEnd::Answered(answer) => {
                let mut response = answer.response;
                let reply = response.headers.text(HOP_HEADER).and_then(HopReply::decode);
                response.headers.remove(HOP_HEADER);
                reply.map_or(AttemptEnd::Lost, |reply| AttemptEnd::Replied(reply, response))
            }
        };
        let actions = self.calls.ended(attempt, end, now);
        self.work.extend(actions.into_iter().map(Work::Call));
    }

    fn handle_probe_result(&mut self, now: Millis) {
        if let Some(alive) = self.upstream.take_probe_result() {
            let actions = self.jobs.probed(alive, now);
            self.work.extend(actions.into_iter().map(Work::Job));
            self.report_instance_change(now);
        }
    }

    pub(super) fn upstream_ended(&mut self, job: JobId, end: PoolEnd, now: Millis) {
        let end = match end {
            PoolEnd::NotSent => UpstreamEnd::NotSent,
            PoolEnd::Answered(answer) => UpstreamEnd::Answered(answer),
            PoolEnd::Failed(error) => UpstreamEnd::Failed(error),
        };
        if let UpstreamEnd::Answered(answer) = &end {
            let report = answer.response.headers.text(self.names.load);
            if let Some(report) = report.and_then(|value| self.dialect.read_load(value)) {
                self.jobs.note_load_report(report, now);
            }
            let response = &answer.response;
            let statement = UpstreamStatement::read(&response.headers, &self.names, &self.dialect);
            let refused = self.jobs.note_statement(job, statement, response, now);
            self.work.extend(refused.into_iter().map(Work::Job));
        }
        let actions = self.jobs.ended(job, end, now);
        self.work.extend(actions.into_iter().map(Work::Job));
        self.report_instance_change(now);
    }

    fn report_instance_change(&mut self, now: Millis) {
        if self.jobs.take_instance_changed() {
            self.jobs.refresh_limit(now);
            self.report_instance(now);
        }
    }
}

/// The priority of the call's answer among the messages that wait for the link.
fn send_urgency(hop: &HopRequest) -> SendUrgency {
    SendUrgency { deferrable: !hop.nested, rank: hop.rank, target_ms: hop.target_ms }
}
