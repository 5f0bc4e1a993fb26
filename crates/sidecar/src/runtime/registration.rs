//! The registration of the local upstream: its heartbeats, its departure, and its state from before
//! a restart of the sidecar.

use super::{Sidecar, WaitingRegistration, RESTORE_WAIT_MS};
use crate::dialect::{RegistrationCall, RegistrationDialect};
use crate::heartbeat_trust::HeldHeartbeat;
use crate::net::ConnectionId;
use crate::registrar::{is_last_word, DepartureAnswer};
use crate::Millis;
use bytes::Bytes;
use http1::{Headers, Request, Response, Slot};
use mesh::{InstanceRecord, InstanceState, KnownDeparture, LastRecord, NodeRecord};
use tracing::{info, warn};

impl<D: RegistrationDialect> Sidecar<D> {
    /// Restores the state of the upstream that an earlier run of this sidecar reported. A record
    /// that is not the last word of the previous run cannot tell that the upstream is still ready:
    /// its next heartbeat does.
    pub(super) fn restore(&mut self, last: Option<LastRecord>, reported_at: Millis, now: Millis) {
        let own_service = last.filter(|last| last.record.service == self.settings.service);
        let Some(last) = own_service else {
            return;
        };
        let is_last_word = is_last_word(&last, reported_at);
        let ended_ms = last.ended_ms;
        let NodeRecord { boot_id, instance: Some(instance), .. } = last.record else {
            return;
        };
        let known = self.jobs.gate.id().map(str::to_owned);
        if !self.jobs.gate.restore(&instance, is_last_word, now) {
            info!(instance = %instance.id, boot_id, ?ended_ms, reported_at, "instance_awaited");
            self.heartbeat_trust.doubt(instance.incarnation());
            return;
        }
        self.jobs.refresh_limit(now);
        let state = instance.state.as_str();
        let gate = self.jobs.gate.state(now).as_str();
        info!(
            instance = %instance.id, state, boot_id, ?ended_ms, reported_at, ?known, gate,
            "instance_restored"
        );
        self.report_instance(now);
    }

    /// Applies departures of upstreams that a coordinator knows of. An earlier process of this sidecar
    /// may have acknowledged them.
    pub(super) fn learn_departures(
        &mut self,
        departures: Vec<KnownDeparture>,
        complete: bool,
        now: Millis,
    ) {
        for KnownDeparture { incarnation, state, .. } in departures {
            if self.jobs.gate.on_known_departure(&incarnation, state, now) {
                info!(instance = %incarnation.id, state = state.as_str(), "departure_learned");
                self.report_instance(now);
            }
        }
        if !complete || self.heartbeat_trust.is_informed() {
            return;
        }
        let held = self.heartbeat_trust.informed();
        info!(uptime_ms = now, held = held.is_some(), "departures_known");
        if let Some(HeldHeartbeat { record, sequence }) = held {
            self.heartbeat(&record, sequence, now);
        }
    }

    pub(super) fn report_instance(&mut self, now: Millis) -> u64 {
        let instance = self.jobs.gate.record(now);
        let sequence = self.links.report(&mut self.net, |record| record.instance = instance);
        let record = self.links.record().clone();
        self.calls.view.update(record, now);
        sequence
    }

    pub(super) fn on_registration(
        &mut self,
        id: ConnectionId,
        slot: Slot,
        request: &Request,
        now: Millis,
    ) {
        let call = self.dialect.read(&request.method, &request.target, &request.body);
        match call {
            None => self.answer(id, slot, Response::empty(404), now),
            Some(RegistrationCall::Unreadable { reason }) => {
                warn!(%reason, "registration_unreadable");
                self.answer(id, slot, Response::text(400, &reason), now);
            }
            Some(call) if !self.links.is_welcomed() && now < RESTORE_WAIT_MS => {
                let waiting = WaitingRegistration { connection: id, slot, call };
                self.waiting_registrations.push(waiting);
            }
            Some(call) => self.register(id, slot, call, now),
        }
    }

    pub(super) fn process_waiting_registrations(&mut self, now: Millis) {
        for waiting in std::mem::take(&mut self.waiting_registrations) {
            self.register(waiting.connection, waiting.slot, waiting.call, now);
        }
    }

    pub(super) fn register(
        &mut self,
        id: ConnectionId,
        slot: Slot,
        call: RegistrationCall,
        now: Millis,
    ) {
        let leaving = match call {
            RegistrationCall::Heartbeat { record, service, sequence } => {
                if service != self.settings.service {
                    warn!(%service, instance = %record.id, "registration_of_other_service");
                    self.answer(id, slot, registered(), now);
                    return;
                }
                self.heartbeat(&record, sequence, now)
            }
            RegistrationCall::Leave { incarnation } => {
                if self.jobs.gate.on_leave(&incarnation, now) {
                    info!(instance = %incarnation.id, state = "left", "endpoint_state");
                    self.report_instance(now);
                } else {
                    let known = self.jobs.gate.id();
                    info!(instance = %incarnation.id, ?known, "leave_without_effect");
                }
                true
            }
            RegistrationCall::Unreadable { .. } => false,
        };
        if leaving {
            let sequence = self.links.record().sequence;
            self.registrar.defer(id, slot, sequence, now);
        } else {
            self.answer(id, slot, registered(), now);
        }
    }

    /// Handles a heartbeat; returns whether the upstream announces that it is leaving.
    pub(super) fn heartbeat(
        &mut self,
        record: &InstanceRecord,
        sequence: u64,
        now: Millis,
    ) -> bool {
        if !self.heartbeat_trust.admits(record, sequence, now) {
            info!(instance = %record.id, sequence, "heartbeat_held");
            return false;
        }
        let record = &self.config.with_capped_cold_time(record, &self.settings.service);
        if self.jobs.gate.on_report(record, sequence, now) {
            let state = record.state.as_str();
            info!(
                instance = %record.id, born_ms = record.born_ms, state, sequence, slots = record.slots,
                cold_ms = record.cold_remaining_ms, "endpoint_state"
            );
            self.jobs.refresh_limit(now);
            self.report_instance(now);
        }
        self.jobs.refresh_cold();
        record.state != InstanceState::Ready
    }

    pub(super) fn send_due_acknowledgements(&mut self) {
        let now = self.now();
        let links = &self.links;
        let ready = self.registrar.ready(|sequence| links.acknowledged_by(sequence), now);
        for (pending, answer) in ready {
            let (holders, linked) = self.links.acknowledged_by(pending.sequence);
            let sequence = pending.sequence;
            let response = match answer {
                DepartureAnswer::Acknowledged => {
                    info!(sequence, holders, linked, "end_acknowledged");
                    registered()
                }
                DepartureAnswer::NotHeld => {
                    info!(sequence, holders, linked, "end_not_acknowledged");
                    Response::text(503, "no coordinator holds the departure yet")
                }
            };
            self.answer(pending.connection, pending.slot, response, now);
        }
    }
}

fn registered() -> Response {
    let mut headers = Headers::default();
    headers.push("Content-Type", "application/json");
    Response { status: 200, headers, body: Bytes::from_static(b"{}") }
}
