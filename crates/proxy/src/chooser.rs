//! Which relay a proxy uses: its zone's, then its region's, then any.

use std::net::SocketAddr;

/// Time after which a proxy away from its own zone tries to return, ms; jittered by half.
const RETURN_HOME_MS: u64 = 30_000;
/// A relay whose source is older than this is left for another, if another is better, ms.
const STALE_SOURCE_MS: u32 = 3_000;
/// Time for which a proxy stays with the relay it found after all were stale, ms.
const SETTLE_MS: u64 = 10_000;

/// A relay that can be chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayAddress {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
}

/// Order of relays and the one in use.
#[derive(Clone, Debug)]
pub struct RelayChooser {
    ranked: Vec<(u8, RelayAddress)>,
    current: usize,
    return_at_ms: Option<u64>,
    stale_tries: usize,
    settled_until_ms: u64,
    random: fastrand::Rng,
}

impl RelayChooser {
    /// Ranks relays by distance; equal ones in random order, so that proxies spread.
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
            stale_tries: 0,
            settled_until_ms: 0,
            random,
        }
    }

    /// The relay to use now.
    pub fn current(&self) -> &RelayAddress {
        &self.ranked[self.current].1
    }

    /// Position of the relay in use, in the order of preference.
    pub fn position(&self) -> usize {
        self.current
    }

    /// The relay failed or sent the proxy away.
    pub fn on_failure(&mut self, now_ms: u64) {
        self.advance(now_ms);
    }

    /// Whether the relay should be left because it has lost its source. After a whole round of
    /// relays that are all stale, the proxy stays for a while where it is.
    pub fn on_source_age(&mut self, source_age_ms: u32, now_ms: u64) -> bool {
        if source_age_ms <= STALE_SOURCE_MS {
            self.stale_tries = 0;
            return false;
        }
        if now_ms < self.settled_until_ms || self.ranked.len() < 2 {
            return false;
        }
        self.stale_tries += 1;
        if self.stale_tries >= self.ranked.len() {
            self.stale_tries = 0;
            self.settled_until_ms = now_ms + SETTLE_MS;
            return false;
        }
        self.advance(now_ms);
        true
    }

    fn advance(&mut self, now_ms: u64) {
        self.current = (self.current + 1) % self.ranked.len();
        let away = self.ranked[self.current].0 > self.ranked[0].0;
        let jitter = self.random.u64(0..RETURN_HOME_MS / 2);
        self.return_at_ms = away.then_some(now_ms + RETURN_HOME_MS + jitter);
    }

    /// Whether it is time to try the nearest relays again; if so, they are current now.
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
