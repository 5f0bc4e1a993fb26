//! Where everything of a fleet runs: addresses, settings files, certificates.

use super::keys::FleetKeys;
use super::ports::PortRange;
use crate::stand_in::link::{DelayPlan, LinkNetwork};
use settings::{
    ControlAddressSettings, ControlSettings, LocalBackendSettings, PeerSettings, ProxySettings,
    RelayAddressSettings, RelaySettings,
};
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use wire::Role;

/// One zone.
#[derive(Clone, Debug)]
pub struct ZoneSpec {
    /// Name.
    pub name: String,
    /// Region.
    pub region: String,
    /// Relays.
    pub relays: usize,
    /// Proxies that run as processes of their own.
    pub proxies: usize,
    /// Proxies that share a process and carry no calls.
    pub hollow_proxies: usize,
}

/// What a fleet consists of.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// Name.
    pub fleet: String,
    /// Control replicas.
    pub voters: usize,
    /// Groups of claims.
    pub claim_groups: u32,
    /// Zones.
    pub zones: Vec<ZoneSpec>,
    /// Whether proxies have a disk.
    pub proxy_disks: bool,
    /// Emulated delays between zones and regions; none if absent.
    pub delays: Option<DelayPlan>,
}

impl FleetSpec {
    /// The zone of a control replica: each in another one, as far as there are zones.
    pub fn voter_zone(&self, id: u64) -> &ZoneSpec {
        &self.zones[id as usize % self.zones.len()]
    }
}

/// One control replica.
#[derive(Clone, Debug)]
pub struct VoterConfig {
    /// Member id.
    pub id: u64,
    /// Its settings file.
    pub settings_file: PathBuf,
    /// Its settings.
    pub settings: ControlSettings,
}

/// One relay.
#[derive(Clone, Debug)]
pub struct RelayConfig {
    /// Its settings file.
    pub settings_file: PathBuf,
    /// Its settings.
    pub settings: RelaySettings,
}

/// One proxy.
#[derive(Clone, Debug)]
pub struct ProxyConfig {
    /// Its settings file.
    pub settings_file: PathBuf,
    /// Its settings.
    pub settings: ProxySettings,
}

/// A fleet with all files written.
pub struct FleetLayout {
    /// Folder of everything.
    pub folder: PathBuf,
    /// What it consists of.
    pub spec: FleetSpec,
    /// Keys.
    pub keys: FleetKeys,
    /// Delayed links between zones.
    pub network: LinkNetwork,
    /// Free ports.
    pub ports: PortRange,
    /// Where the platform's list is.
    pub platform: SocketAddr,
    /// Control replicas.
    pub voters: Vec<VoterConfig>,
    /// Relays.
    pub relays: Vec<RelayConfig>,
    /// Proxies.
    pub proxies: Vec<ProxyConfig>,
    /// Proxies that share processes.
    pub hollow_proxies: Vec<ProxyConfig>,
}

impl FleetLayout {
    /// Chooses addresses and writes keys and settings.
    pub fn create(folder: &Path, spec: FleetSpec) -> Result<Self, crate::Failure> {
        let keys = FleetKeys::create(&folder.join("keys"), &spec.fleet)?;
        let mut ports = PortRange::default();
        let platform = ports.next_address();
        let network = LinkNetwork::new(spec.delays);
        let mut layout = FleetLayout {
            folder: folder.to_owned(),
            spec,
            keys,
            network,
            ports,
            platform,
            voters: Vec::new(),
            relays: Vec::new(),
            proxies: Vec::new(),
            hollow_proxies: Vec::new(),
        };
        layout.configure_voters()?;
        layout.configure_relays()?;
        layout.configure_proxies()?;
        Ok(layout)
    }

    /// Operators' addresses of all replicas.
    pub fn api(&self) -> Vec<SocketAddr> {
        self.voters.iter().map(|voter| voter.settings.api_listen).collect()
    }

    fn configure_voters(&mut self) -> Result<(), crate::Failure> {
        let peers: Vec<PeerSettings> = (1..=self.spec.voters as u64)
            .map(|id| PeerSettings {
                id,
                address: self.ports.next_address(),
                api_address: self.ports.next_address(),
            })
            .collect();
        for peer in &peers {
            self.configure_voter(peer.clone(), peers.clone())?;
        }
        Ok(())
    }

    /// Writes the settings of one control replica.
    pub fn configure_voter(
        &mut self,
        own: PeerSettings,
        peer: Vec<PeerSettings>,
    ) -> Result<(), crate::Failure> {
        let name = format!("control-{}", own.id);
        let zone = self.spec.voter_zone(own.id).clone();
        let peer = self.peers_seen_from(&zone, peer)?;
        let settings = ControlSettings {
            fleet: self.spec.fleet.clone(),
            member_id: own.id,
            listen: own.address,
            api_listen: own.api_address,
            metrics_listen: self.ports.next_address(),
            data_dir: self.folder.join(&name),
            operators_file: self.keys.operators_file(),
            tls: self.keys.issue(Role::Control, &name, &zone.name)?,
            peer,
            claim_groups: self.spec.claim_groups,
            tick_ms: 20,
            election_ms: 400,
            heartbeat_ms: 80,
            hold_ms: 500,
            max_readers: 64,
            checkpoint_bytes: 4 * 1024 * 1024,
        };
        let settings_file = self.write_settings(&name, &settings)?;
        self.voters.push(VoterConfig { id: own.id, settings_file, settings });
        Ok(())
    }

    /// Places one more control replica, and lists it in the settings of all others and of relays.
    pub fn add_voter(&mut self, id: u64) -> Result<(), crate::Failure> {
        let own = PeerSettings {
            id,
            address: self.ports.next_address(),
            api_address: self.ports.next_address(),
        };
        let known = self.voters.iter().flat_map(|voter| voter.settings.peer.clone());
        let mut peers: Vec<PeerSettings> = known.collect();
        peers.sort_by_key(|peer| peer.id);
        peers.dedup_by_key(|peer| peer.id);
        peers.push(own.clone());
        self.configure_voter(own, peers)?;
        let newcomer = self.voters.len() - 1;
        let listed = self.voters[newcomer].settings.peer.clone();
        for position in 0..newcomer {
            self.voters[position].settings.peer = listed.clone();
            let voter = self.voters[position].clone();
            self.write_settings(&format!("control-{}", voter.id), &voter.settings)?;
        }
        for position in 0..self.relays.len() {
            let control = listed.iter();
            let control =
                control.map(|peer| ControlAddressSettings { id: peer.id, address: peer.address });
            self.relays[position].settings.control = control.collect();
            let relay = self.relays[position].clone();
            self.write_settings(&relay.settings.name, &relay.settings)?;
        }
        Ok(())
    }

    /// Writes the settings file of the operator who submits; returns its path.
    pub fn write_operator_settings(&self) -> Result<String, crate::Failure> {
        let path = self.folder.join("operator.toml");
        let api: Vec<String> = self.api().iter().map(|address| format!("\"{address}\"")).collect();
        let key_file = self.keys.operator_key_file(super::keys::SUBMITTER);
        let text = format!(
            "operator = \"{}\"\nkey_file = \"{}\"\napi = [{}]\n",
            super::keys::SUBMITTER,
            key_file.display(),
            api.join(", ")
        );
        fs::write(&path, text).map_err(|error| error.to_string())?;
        Ok(path.display().to_string())
    }

    fn peers_seen_from(
        &mut self,
        zone: &ZoneSpec,
        peers: Vec<PeerSettings>,
    ) -> Result<Vec<PeerSettings>, crate::Failure> {
        let mut seen = Vec::new();
        for peer in peers {
            let there = self.spec.voter_zone(peer.id).clone();
            let address = self.network.seen_from(zone, peer.address, &there)?;
            seen.push(PeerSettings { address, ..peer });
        }
        Ok(seen)
    }

    fn control_seen_from(
        &mut self,
        zone: &ZoneSpec,
    ) -> Result<Vec<ControlAddressSettings>, crate::Failure> {
        let mut seen = Vec::new();
        for voter in &self.voters {
            let there = self.spec.voter_zone(voter.id);
            let address = self.network.seen_from(zone, voter.settings.listen, there)?;
            seen.push(ControlAddressSettings { id: voter.id, address });
        }
        Ok(seen)
    }

    fn configure_relays(&mut self) -> Result<(), crate::Failure> {
        let mut places = Vec::new();
        for zone in self.spec.zones.clone() {
            for number in 1..=zone.relays {
                let name = format!("relay-{}-{number}", zone.name);
                places.push((name, zone.clone(), self.ports.next_address()));
            }
        }
        for (name, zone, listen) in &places {
            let control = self.control_seen_from(zone)?;
            let mut peer = Vec::new();
            for (_, there, address) in places.iter().filter(|(_, _, address)| address != listen) {
                peer.push(self.network.seen_from(zone, *address, there)?);
            }
            let settings = RelaySettings {
                fleet: self.spec.fleet.clone(),
                name: name.clone(),
                zone: zone.name.clone(),
                region: zone.region.clone(),
                listen: *listen,
                metrics_listen: self.ports.next_address(),
                tls: self.keys.issue(Role::Relay, name, &zone.name)?,
                control,
                peer,
                platform_url: format!("http://{}/machines", self.platform),
                platform_poll_ms: 500,
                hold_ms: 2_500,
                proxy_lease_ms: 6_000,
                max_catch_ups: 32,
                max_connections: 2_000,
                claim_groups: self.spec.claim_groups,
            };
            let settings_file = self.write_settings(name, &settings)?;
            self.relays.push(RelayConfig { settings_file, settings });
        }
        Ok(())
    }

    fn configure_proxies(&mut self) -> Result<(), crate::Failure> {
        for zone in self.spec.zones.clone() {
            for number in 1..=zone.proxies {
                let name = format!("proxy-{}-{number}", zone.name);
                let place = self.configure_proxy(&name, &zone, Vec::new())?;
                self.proxies.push(place);
            }
            for number in 1..=zone.hollow_proxies {
                let name = format!("hollow-{}-{number}", zone.name);
                let place = self.configure_proxy(&name, &zone, Vec::new())?;
                self.hollow_proxies.push(place);
            }
        }
        Ok(())
    }

    fn configure_proxy(
        &mut self,
        name: &str,
        zone: &ZoneSpec,
        local_backend: Vec<LocalBackendSettings>,
    ) -> Result<ProxyConfig, crate::Failure> {
        let settings = ProxySettings {
            fleet: self.spec.fleet.clone(),
            name: name.to_owned(),
            zone: zone.name.clone(),
            region: zone.region.clone(),
            listen: self.ports.next_address(),
            metrics_listen: self.ports.next_address(),
            tls: self.keys.issue(Role::Proxy, name, &zone.name)?,
            relay: self.relays_seen_from(zone)?,
            seal_key_file: self.keys.seal_key_file(),
            operators_file: self.keys.operators_file(),
            data_dir: self.spec.proxy_disks.then(|| self.folder.join(name)),
            local_backend,
            workers: 512,
            max_calls: 1_024,
            max_body_bytes: 4 * 1024 * 1024,
            health_poll_ms: 500,
            drain_notice_ms: 500,
            drain_limit_ms: 10_000,
            claim_keep_s: 3_600,
        };
        let settings_file = self.write_settings(name, &settings)?;
        Ok(ProxyConfig { settings_file, settings })
    }

    /// All relays, as proxies of a zone reach them.
    fn relays_seen_from(
        &mut self,
        zone: &ZoneSpec,
    ) -> Result<Vec<RelayAddressSettings>, crate::Failure> {
        let mut seen = Vec::new();
        for relay in &self.relays {
            let there = ZoneSpec {
                name: relay.settings.zone.clone(),
                region: relay.settings.region.clone(),
                ..zone.clone()
            };
            let address = self.network.seen_from(zone, relay.settings.listen, &there)?;
            seen.push(RelayAddressSettings { address, zone: there.name, region: there.region });
        }
        Ok(seen)
    }

    fn write_settings<T: serde::Serialize>(
        &self,
        name: &str,
        settings: &T,
    ) -> Result<PathBuf, crate::Failure> {
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, settings::to_toml(settings)).map_err(|error| error.to_string())?;
        Ok(path)
    }
}
