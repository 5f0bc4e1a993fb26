//! Selects the relay that a proxy uses, preferring its own zone, then its region.

use std::net::SocketAddr;

/// Delay after which a proxy that uses a more distant relay tries the nearest ones again, in
/// milliseconds; jitter adds up to half of it.
const RETURN_DELAY_MS: u64 = 30_000;
/// A relay that has not heard from the control leader for longer than this is stale, in
/// milliseconds; the proxy then tries another one.
const MAX_SOURCE_AGE_MS: u32 = 3_000;
/// How long a proxy stays with a stale relay after all relays were found to be stale, in
/// milliseconds.
const STALE_HOLD_MS: u64 = 10_000;

/// Address and location of a relay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayAddress {
    /// Address on which the relay listens.
    pub address: SocketAddr,
    /// Zone of the relay.
    pub zone: String,
    /// Region of the relay.
    pub region: String,
}

/// Relays in order of preference, and the one in use.
#[derive(Clone, Debug)]
pub struct RelayChooser {
    /// Relays with their distance, nearest first.
    ranked: Vec<(u8, RelayAddress)>,
    current: usize,
    return_at_ms: Option<u64>,
    /// Number of consecutive relays found to be stale.
    stale_relays: usize,
    stale_hold_until_ms: u64,
    random: fastrand::Rng,
}

impl RelayChooser {
    /// Ranks relays by distance; those at the same distance are in random order to spread the
    /// proxies over them.
    pub fn new(relays: &[RelayAddress], zone: &str, region: &str, seed: u64) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut ranked: Vec<(u8, RelayAddress)> =
            relays.iter().map(|relay| (distance(relay, zone, region), relay.clone())).collect();
        random.shuffle(&mut ranked);
        ranked.sort_by_key(|(distance, _)| *distance);
        RelayChooser {
            ranked,
            current: 0,
            return_at_ms: None,
            stale_relays: 0,
            stale_hold_until_ms: 0,
            random,
        }
    }

    /// Relay in use.
    pub fn current(&self) -> &RelayAddress {
        &self.ranked[self.current].1
    }

    /// Position of the relay in use in the order of preference.
    pub fn position(&self) -> usize {
        self.current
    }

    /// Switches to the next relay after the current one failed or told the proxy to leave.
    pub fn on_failure(&mut self, now_ms: u64) {
        self.switch_to_next(now_ms);
    }

    /// Handles the time since the relay last heard from the control leader; switches to the next
    /// relay and returns true if the current one is stale. After all relays were found to be stale,
    /// the proxy stays with the current one for a fixed time.
    pub fn on_source_age(&mut self, source_age_ms: u32, now_ms: u64) -> bool {
        if source_age_ms <= MAX_SOURCE_AGE_MS {
            self.stale_relays = 0;
            return false;
        }
        if now_ms < self.stale_hold_until_ms || self.ranked.len() < 2 {
            return false;
        }
        self.stale_relays += 1;
        if self.stale_relays >= self.ranked.len() {
            self.stale_relays = 0;
            self.stale_hold_until_ms = now_ms + STALE_HOLD_MS;
            return false;
        }
        self.switch_to_next(now_ms);
        true
    }

    fn switch_to_next(&mut self, now_ms: u64) {
        self.current = (self.current + 1) % self.ranked.len();
        let more_distant = self.ranked[self.current].0 > self.ranked[0].0;
        let jitter = self.random.u64(0..RETURN_DELAY_MS / 2);
        self.return_at_ms = more_distant.then_some(now_ms + RETURN_DELAY_MS + jitter);
    }

    /// Switches back to the nearest relay and returns true if it is time to try it again.
    pub fn try_return_to_nearest(&mut self, now_ms: u64) -> bool {
        if self.return_at_ms.is_none_or(|at| now_ms < at) {
            return false;
        }
        self.return_at_ms = None;
        self.current = 0;
        true
    }
}

fn distance(relay: &RelayAddress, zone: &str, region: &str) -> u8 {
    if relay.zone == zone {
        0
    } else if relay.region == region {
        1
    } else {
        2
    }
}
