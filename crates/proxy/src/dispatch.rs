//! Handing upstreams out to calls: the balancer with a queue per service.

use bundle::{Priority, Service};
use endpoints::{EndpointKey, EndpointView};
use forward::{
    AdmissionQueue, Balancer, BalancerIdentity, CallReport, OutlierPolicy, PickError,
    QueueDecision, RetryBudget, UpstreamStatus,
};
use std::collections::BTreeMap;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use telemetry::{BootInstant, Clock};

/// Calls that may wait for an upstream of one service.
const QUEUE_CAPACITY: usize = 128;
/// Longest wait for an upstream; waiting longer would only move the overload.
const MAX_WAIT: Duration = Duration::from_millis(200);

struct State {
    balancer: Balancer,
    queues: BTreeMap<String, AdmissionQueue>,
    budgets: BTreeMap<String, RetryBudget>,
    random: fastrand::Rng,
}

/// Shared by all calls of a proxy.
pub(crate) struct Dispatcher {
    state: Mutex<State>,
    freed: Condvar,
    clock: Clock,
    began: BootInstant,
}

/// Why a call got no upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AcquireError {
    NoUpstream,
    Overloaded,
}

impl Dispatcher {
    pub fn new(identity: BalancerIdentity, clock: Clock) -> Self {
        let state = State {
            balancer: Balancer::new(identity, OutlierPolicy::default()),
            queues: BTreeMap::new(),
            budgets: BTreeMap::new(),
            random: fastrand::Rng::new(),
        };
        Dispatcher {
            state: Mutex::new(state),
            freed: Condvar::new(),
            clock,
            began: BootInstant::now(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_us(&self) -> u64 {
        self.began.elapsed().as_micros() as u64
    }

    /// Takes over endpoints and services.
    pub fn update<'a>(&self, view: &EndpointView, services: impl Iterator<Item = &'a Service>) {
        let now_ms = self.clock.now_ms();
        self.lock().balancer.update(view, services, now_ms);
        self.freed.notify_all();
    }

    /// Gives an upstream no more calls.
    pub fn remove(&self, key: &EndpointKey) {
        self.lock().balancer.remove(key);
    }

    /// Waits for an upstream that may take a call; `limit` is the call's own deadline.
    pub fn acquire(
        &self,
        service: &str,
        priority: Priority,
        exclude: &[EndpointKey],
        limit: BootInstant,
    ) -> Result<EndpointKey, AcquireError> {
        let mut guard = self.lock();
        let state = &mut *guard;
        let queue = state.queues.entry(service.to_owned()).or_insert_with(new_queue);
        if !queue.has_waiting(priority) {
            match state.balancer.pick(service, exclude, self.clock.now_ms(), &mut state.random) {
                Ok(key) => return Ok(key),
                Err(PickError::NoUpstream) => return Err(AcquireError::NoUpstream),
                Err(PickError::AllBusy) => {}
            }
        }
        // Half of the time left must remain for the call itself.
        let left = limit.saturating_duration_since(BootInstant::now()) / 2;
        let longest_us = left.min(MAX_WAIT).as_micros() as u64;
        let Some(ticket) = queue.join(priority, self.now_us(), longest_us) else {
            return Err(AcquireError::Overloaded);
        };
        loop {
            let state = &mut *guard;
            let queue = state.queues.entry(service.to_owned()).or_insert_with(new_queue);
            let now_us = self.now_us();
            let give_up_us = queue.wait_deadline_us(ticket).unwrap_or(now_us);
            match queue.decide(ticket, now_us) {
                QueueDecision::Shed => {
                    queue.leave(ticket);
                    self.freed.notify_all();
                    return Err(AcquireError::Overloaded);
                }
                QueueDecision::Proceed => {
                    let now_ms = self.clock.now_ms();
                    let picked = state.balancer.pick(service, exclude, now_ms, &mut state.random);
                    if picked != Err(PickError::AllBusy) {
                        queue.leave(ticket);
                        self.freed.notify_all();
                        return picked.map_err(|_| AcquireError::NoUpstream);
                    }
                }
                QueueDecision::Wait => {}
            }
            let pause = Duration::from_micros(give_up_us.saturating_sub(now_us));
            let waited = self.freed.wait_timeout(guard, pause);
            guard = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// A call to an upstream ended.
    pub fn finish(&self, key: &EndpointKey, report: CallReport) {
        let now_ms = self.clock.now_ms();
        let mut guard = self.lock();
        guard.balancer.finish(key, report, now_ms);
        let anyone_waits = guard.queues.values().any(|queue| !queue.is_empty());
        drop(guard);
        if anyone_waits {
            self.freed.notify_all();
        }
    }

    /// A call of a route began.
    pub fn count_call(&self, route: &str, budget_percent: u32) {
        self.with_budget(route, budget_percent, RetryBudget::on_call);
    }

    /// Whether a route's budget allows another retry.
    pub fn take_retry(&self, route: &str, budget_percent: u32) -> bool {
        self.with_budget(route, budget_percent, RetryBudget::try_take)
    }

    fn with_budget<T>(
        &self,
        route: &str,
        percent: u32,
        action: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut guard = self.lock();
        if !guard.budgets.contains_key(route) {
            guard.budgets.insert(route.to_owned(), RetryBudget::new(percent));
        }
        action(guard.budgets.get_mut(route).expect("it was just inserted"))
    }

    /// A uniformly random number, for weights.
    pub fn draw(&self) -> u64 {
        self.lock().random.u64(..)
    }

    /// Upstreams in use, by service.
    pub fn status(&self) -> BTreeMap<String, Vec<UpstreamStatus>> {
        self.lock().balancer.status(self.clock.now_ms())
    }
}

fn new_queue() -> AdmissionQueue {
    AdmissionQueue::new(QUEUE_CAPACITY)
}
