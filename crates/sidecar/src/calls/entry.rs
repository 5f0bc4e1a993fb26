//! Whether new work is refused where it enters.

use super::call::RETURNED_BEHIND_MS;
use super::placing::most_patience_ms;
use super::{Calls, InnerCall};
use crate::Millis;
use placement::{Urgency, Work};

/// Shortest and longest Retry-After of work that is refused here, milliseconds: a spread of a second,
/// so that those refused in one clump do not come back as one.
const RETRY_AFTER_MS: std::ops::Range<u64> = 250..1_250;
/// Part of a service's slots that must be free for its calls to be sent whatever the controller says:
/// more than change hands between two tellings of loads.
const ROOM_PART: f64 = 0.1;
/// A caller that tells a deadline so much shorter than others of its route came back after a refusal,
/// milliseconds: less than the shortest time that those refused here stay away.
const RETURNED_MS: u64 = 100;

/// A call that is refused before it is offered to any upstream.
pub(super) struct HeldBack {
    pub reason: &'static str,
    /// The service that has no room.
    pub overloaded: String,
    /// Part of such calls that is held back now, 0 to 1.
    pub part: f64,
    pub retry_after_ms: u64,
}

impl Calls {
    /// Whether new work is refused here, because its service, or one that its runs call, has no room.
    pub(super) fn hold_back(
        &mut self,
        route: &str,
        service: &str,
        urgency: Urgency,
        now: Millis,
    ) -> Option<HeldBack> {
        let inner = self.paths.of(route).map(|(name, calls)| (name.to_owned(), calls));
        let asked: Vec<(String, f64)> =
            [(service.to_owned(), 1.0)].into_iter().chain(inner).collect();
        let (mut overloaded, mut part) = (service, 0.0);
        for (name, calls) in &asked {
            let refused = self.refused_for(name, urgency, *calls, now);
            if refused > part {
                (overloaded, part) = (name, refused);
            }
        }
        if self.random.f64() >= part {
            return None;
        }
        Some(HeldBack {
            reason: match overloaded == service {
                true => "service_overloaded",
                false => "inner_service_overloaded",
            },
            overloaded: overloaded.to_owned(),
            part,
            retry_after_ms: self.random.u64(RETRY_AFTER_MS),
        })
    }

    /// Part of work of this urgency that is refused for one service that it will ask so often.
    fn refused_for(&mut self, service: &str, urgency: Urgency, calls: f64, now: Millis) -> f64 {
        let view = &self.view;
        let patience_ms = most_patience_ms(urgency.target_ms % RETURNED_BEHIND_MS);
        let work = Work { urgency, calls, patience_ms };
        self.entry.arrive(service, work, || view.wait(service, now), now);
        let part = self.entry.refused(service, urgency);
        if part > 0.0 && self.has_room(service, now) {
            return 0.0;
        }
        part
    }

    /// Whether upstreams of a service are known to have room.
    fn has_room(&self, service: &str, now: Millis) -> bool {
        self.view.free_part(service, now).is_some_and(|free| free >= ROOM_PART)
    }

    /// Whether a caller was refused before and came back, while its service has more than it can run.
    /// Those that come first can still be in time, so they go first then.
    pub(super) fn has_returned(
        &mut self,
        route: &bundle::Route,
        told_ms: u64,
        service: &str,
        now: Millis,
    ) -> bool {
        let age_ms = self.ages.age_ms(&route.name, told_ms, now);
        age_ms >= RETURNED_MS && self.entry.is_lasting(service, now)
    }

    pub(super) fn note_inner_call(&mut self, attempt_id: &str, service: &str) {
        self.entry.note_lineage();
        let call = InnerCall { attempt_id: attempt_id.to_owned(), service: service.to_owned() };
        self.inner_calls.push(call);
    }

    /// Calls that runs beside made since the last look.
    pub fn take_inner_calls(&mut self) -> Vec<InnerCall> {
        std::mem::take(&mut self.inner_calls)
    }

    /// Ids of calls that runs beside made and that were refused since the last look.
    pub fn take_inner_refusals(&mut self) -> Vec<String> {
        std::mem::take(&mut self.inner_refusals)
    }

    /// Takes in the calls that a run of a route made.
    pub(super) fn note_path(&mut self, route: &str, told: Option<&str>) {
        let calls = told.map(mesh::decode_inner_calls).unwrap_or_default();
        if !calls.is_empty() {
            self.entry.note_lineage();
        }
        self.paths.note(route, &calls);
    }
}
