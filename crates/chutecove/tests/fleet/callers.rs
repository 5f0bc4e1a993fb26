//! Caller threads that record their calls and what the answers state of upstreams.

use super::{agent, Fleet, RunClock, Upstream};
use soak::{Call, CallOutcome, PassedOn, Record};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

const SEAL_HEADER: &str = "X-Chutecove-Seal";
const PAUSE: Duration = Duration::from_millis(5);

/// What callers have recorded so far.
#[derive(Default)]
struct Observed {
    calls: Vec<Call>,
    passed_on: Vec<PassedOn>,
}

/// One caller on a machine.
pub struct Caller {
    host: u8,
    url: String,
    clock: RunClock,
    next_id: Arc<AtomicU64>,
    observed: Arc<Mutex<Observed>>,
}

/// All caller threads.
pub struct Callers {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    observed: Arc<Mutex<Observed>>,
    upstream: Arc<Upstream>,
}

impl Caller {
    /// Starts threads that call through the sidecars of these machines without a break.
    pub fn start_all(
        fleet: &Fleet,
        upstream: &Arc<Upstream>,
        hosts: &[u8],
        threads_per_host: usize,
    ) -> Callers {
        let (stop, next_id) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(1)));
        let observed = Arc::new(Mutex::new(Observed::default()));
        let mut threads = Vec::new();
        for host in hosts.iter().flat_map(|host| std::iter::repeat_n(*host, threads_per_host)) {
            let caller = Caller {
                host,
                url: format!("http://{}:{}/one/x", fleet.ip(host), fleet.ports.outbound),
                clock: upstream.clock,
                next_id: next_id.clone(),
                observed: observed.clone(),
            };
            let stop = stop.clone();
            threads.push(std::thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    caller.call();
                    std::thread::sleep(PAUSE);
                }
            }));
        }
        Callers { stop, threads, observed, upstream: upstream.clone() }
    }

    fn call(&self) {
        let id = self.next_id.fetch_add(1, Ordering::SeqCst);
        let sent = self.clock.now();
        let request = agent().get(&self.url).header("Host", "fares.example");
        let answer = request.header("X-Chutecove-Attempt-Id", id.to_string()).call();
        let at = self.clock.now();
        let outcome = answer.as_ref().map_or(CallOutcome::Cut, |answer| CallOutcome::Answered {
            status: answer.status().as_u16(),
            body_matches: true,
        });
        let machine = self.host;
        let call = Call { id, machine, repeatable: true, version: None, sent, ended: at, outcome };
        let mut observed = self.observed.lock().expect("not poisoned");
        observed.calls.push(call);
        let Ok(answer) = answer else {
            return;
        };
        let has = |name| answer.headers().contains_key(name);
        let seal = answer.headers().get(SEAL_HEADER).and_then(|seal| seal.to_str().ok());
        let host = seal.and_then(|seal| seal.strip_prefix("seal-")?.parse().ok());
        let (limited, leaving) = (has("X-Chutecove-Rate-Limit"), has("X-Chutecove-Leaving"));
        if let Some(upstream) = host.filter(|_| limited || leaving) {
            let passed_on = PassedOn { machine, upstream, incarnation: 1, at, limited, leaving };
            observed.passed_on.push(passed_on);
        }
    }
}

impl Callers {
    /// Whether each of these machines has passed on a statement.
    pub fn have_all_passed_on(&self, hosts: &[u8]) -> bool {
        let observed = self.observed.lock().expect("not poisoned");
        hosts.iter().all(|host| observed.passed_on.iter().any(|told| told.machine == *host))
    }

    /// Stops the threads and returns what they and the upstream recorded.
    pub fn finish(self) -> Record {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("a caller ends");
        }
        let observed = std::mem::take(&mut *self.observed.lock().expect("not poisoned"));
        let runs = self.upstream.runs.lock().expect("not poisoned").clone();
        let Observed { calls, passed_on } = observed;
        Record { calls, runs, passed_on, ..Record::default() }
    }
}
