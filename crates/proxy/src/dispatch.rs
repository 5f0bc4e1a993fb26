//! Assigns upstreams to calls with the load balancer and a queue per service.

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

/// Maximum number of calls that wait for an upstream of one service.
const QUEUE_CAPACITY: usize = 128;
/// Maximum wait for an upstream; longer waits would not relieve an overload, only shift it.
const MAX_WAIT: Duration = Duration::from_millis(200);

struct DispatcherState {
    balancer: Balancer,
    queues: BTreeMap<String, AdmissionQueue>,
    budgets: BTreeMap<String, RetryBudget>,
    random: fastrand::Rng,
}

/// Load balancer, queues and retry budgets, shared by all calls of a proxy.
pub(crate) struct Dispatcher {
    state: Mutex<DispatcherState>,
    /// Signalled when an upstream or a place in a queue may have become available.
    available: Condvar,
    clock: Clock,
    started: BootInstant,
}

/// Error that prevents a call from getting an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AcquireError {
    NoUpstream,
    Overloaded,
}

impl Dispatcher {
    pub fn new(identity: BalancerIdentity, clock: Clock) -> Self {
        let state = DispatcherState {
            balancer: Balancer::new(identity, OutlierPolicy::default()),
            queues: BTreeMap::new(),
            budgets: BTreeMap::new(),
            random: fastrand::Rng::new(),
        };
        Dispatcher {
            state: Mutex::new(state),
            available: Condvar::new(),
            clock,
            started: BootInstant::now(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, DispatcherState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_us(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    /// Updates the upstreams from the known endpoints and configured services.
    pub fn update<'a>(&self, view: &EndpointView, services: impl Iterator<Item = &'a Service>) {
        let now_ms = self.clock.now_ms();
        self.lock().balancer.update(view, services, now_ms);
        self.available.notify_all();
    }

    /// Removes an upstream, so that it gets no more calls.
    pub fn remove(&self, key: &EndpointKey) {
        self.lock().balancer.remove(key);
    }

    /// Waits for an upstream with capacity for a call; `deadline` is the deadline of the call.
    pub fn acquire(
        &self,
        service: &str,
        priority: Priority,
        exclude: &[EndpointKey],
        deadline: BootInstant,
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
        // Reserves half of the remaining time for the call itself.
        let remaining = deadline.saturating_duration_since(BootInstant::now()) / 2;
        let max_wait_us = remaining.min(MAX_WAIT).as_micros() as u64;
        let Some(ticket) = queue.join(priority, self.now_us(), max_wait_us) else {
            return Err(AcquireError::Overloaded);
        };
        loop {
            let state = &mut *guard;
            let queue = state.queues.entry(service.to_owned()).or_insert_with(new_queue);
            let now_us = self.now_us();
            let wait_deadline_us = queue.wait_deadline_us(ticket).unwrap_or(now_us);
            match queue.decide(ticket, now_us) {
                QueueDecision::Shed => {
                    queue.leave(ticket);
                    self.available.notify_all();
                    return Err(AcquireError::Overloaded);
                }
                QueueDecision::Proceed => {
                    let now_ms = self.clock.now_ms();
                    let pick = state.balancer.pick(service, exclude, now_ms, &mut state.random);
                    if pick != Err(PickError::AllBusy) {
                        queue.leave(ticket);
                        self.available.notify_all();
                        return pick.map_err(|_| AcquireError::NoUpstream);
                    }
                }
                QueueDecision::Wait => {}
            }
            let timeout = Duration::from_micros(wait_deadline_us.saturating_sub(now_us));
            let waited = self.available.wait_timeout(guard, timeout);
            guard = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Reports the end of a call to an upstream.
    pub fn finish(&self, key: &EndpointKey, report: CallReport) {
        let now_ms = self.clock.now_ms();
        let mut guard = self.lock();
        guard.balancer.finish(key, report, now_ms);
        let any_waiting = guard.queues.values().any(|queue| !queue.is_empty());
        drop(guard);
        if any_waiting {
            self.available.notify_all();
        }
    }

    /// Counts a new call towards the retry budget of its route.
    pub fn record_call(&self, route: &str, budget_percent: u32) {
        self.with_budget(route, budget_percent, RetryBudget::on_call);
    }

    /// Takes a retry from the budget of a route; returns false if the budget is exhausted.
    pub fn try_take_retry(&self, route: &str, budget_percent: u32) -> bool {
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

    /// Returns a uniformly distributed random number, for choosing a target by weight.
    pub fn random_u64(&self) -> u64 {
        self.lock().random.u64(..)
    }

    /// Status of the upstreams, by service.
    pub fn status(&self) -> BTreeMap<String, Vec<UpstreamStatus>> {
        self.lock().balancer.status(self.clock.now_ms())
    }
}

fn new_queue() -> AdmissionQueue {
    AdmissionQueue::new(QUEUE_CAPACITY)
}
