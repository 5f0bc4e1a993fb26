//! Addresses, settings files and certificates of all processes of a fleet.

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

/// Specification of a zone.
#[derive(Clone, Debug)]
pub struct ZoneSpec {
    /// Name of the zone.
    pub name: String,
    /// Region of the zone.
    pub region: String,
    /// Number of relays.
    pub relays: usize,
    /// Number of proxies that run in their own process.
    pub proxies: usize,
    /// Number of hollow proxies, which share processes and receive no calls.
    pub hollow_proxies: usize,
}

/// Specification of a fleet.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// Name of the fleet.
    pub fleet: String,
    /// Number of control replicas.
    pub voters: usize,
    /// Number of claim groups.
    pub claim_groups: u32,
    /// Zones of the fleet.
    pub zones: Vec<ZoneSpec>,
    /// Whether proxies have a data directory.
    pub proxy_disks: bool,
    /// Emulated delays between zones and regions; `None` connects processes directly.
    pub delays: Option<DelayPlan>,
}

impl FleetSpec {
    /// Returns the zone of a control replica; replicas are spread evenly over the zones.
    pub fn voter_zone(&self, id: u64) -> &ZoneSpec {
        &self.zones[id as usize % self.zones.len()]
    }
}

/// Configuration of a control replica.
#[derive(Clone, Debug)]
pub struct VoterConfig {
    /// Member id of the replica.
    pub id: u64,
    /// Path of the settings file.
    pub settings_file: PathBuf,
    /// Contents of the settings file.
    pub settings: ControlSettings,
}

/// Configuration of a relay.
#[derive(Clone, Debug)]
pub struct RelayConfig {
    /// Path of the settings file.
    pub settings_file: PathBuf,
    /// Contents of the settings file.
    pub settings: RelaySettings,
}

/// Configuration of a proxy.
#[derive(Clone, Debug)]
pub struct ProxyConfig {
    /// Path of the settings file.
    pub settings_file: PathBuf,
    /// Contents of the settings file.
    pub settings: ProxySettings,
}

/// Configuration of all processes of a fleet, written to files.
pub struct FleetLayout {
    /// Folder of all files of the fleet.
    pub folder: PathBuf,
    /// Specification of the fleet.
    pub spec: FleetSpec,
    /// Keys and certificates.
    pub keys: FleetKeys,
    /// Emulated links between zones.
    pub network: LinkNetwork,
    /// Allocator of free ports.
    pub ports: PortRange,
    /// Address that serves the platform's list of machines.
    pub platform: SocketAddr,
    /// Control replicas.
    pub voters: Vec<VoterConfig>,
    /// Relays.
    pub relays: Vec<RelayConfig>,
    /// Proxies.
    pub proxies: Vec<ProxyConfig>,
    /// Hollow proxies.
    pub hollow_proxies: Vec<ProxyConfig>,
}

impl FleetLayout {
    /// Allocates addresses and writes keys and settings.
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

    /// Returns the operator API addresses of all control replicas.
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

    /// Writes the settings of one control replica and adds it to the layout.
    pub fn configure_voter(
        &mut self,
        own: PeerSettings,
        peer: Vec<PeerSettings>,
    ) -> Result<(), crate::Failure> {
        let name = format!("control-{}", own.id);
        let zone = self.spec.voter_zone(own.id).clone();
        let peer = self.peers_for_zone(&zone, peer)?;
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

    /// Adds a control replica, and lists it in the settings of all other replicas and of the
    /// relays.
    pub fn add_voter(&mut self, id: u64) -> Result<(), crate::Failure> {
        let own = PeerSettings {
            id,
            address: self.ports.next_address(),
            api_address: self.ports.next_address(),
        };
        let known_peers = self.voters.iter().flat_map(|voter| voter.settings.peer.clone());
        let mut peers: Vec<PeerSettings> = known_peers.collect();
        peers.sort_by_key(|peer| peer.id);
        peers.dedup_by_key(|peer| peer.id);
        peers.push(own.clone());
        self.configure_voter(own, peers)?;
        let new_position = self.voters.len() - 1;
        let all_peers = self.voters[new_position].settings.peer.clone();
        for position in 0..new_position {
            self.voters[position].settings.peer = all_peers.clone();
            let voter = self.voters[position].clone();
            self.write_settings(&format!("control-{}", voter.id), &voter.settings)?;
        }
        for position in 0..self.relays.len() {
            let control = all_peers.iter();
            let control =
                control.map(|peer| ControlAddressSettings { id: peer.id, address: peer.address });
            self.relays[position].settings.control = control.collect();
            let relay = self.relays[position].clone();
            self.write_settings(&relay.settings.name, &relay.settings)?;
        }
        Ok(())
    }

    /// Writes the settings file of the submitting operator and returns its path.
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

    fn peers_for_zone(
        &mut self,
        zone: &ZoneSpec,
        peers: Vec<PeerSettings>,
    ) -> Result<Vec<PeerSettings>, crate::Failure> {
        let mut reachable_peers = Vec::new();
        for peer in peers {
            let target_zone = self.spec.voter_zone(peer.id).clone();
            let address = self.network.address_from(zone, peer.address, &target_zone)?;
            reachable_peers.push(PeerSettings { address, ..peer });
        }
        Ok(reachable_peers)
    }

    fn control_addresses_for_zone(
        &mut self,
        zone: &ZoneSpec,
    ) -> Result<Vec<ControlAddressSettings>, crate::Failure> {
        let mut addresses = Vec::new();
        for voter in &self.voters {
            let target_zone = self.spec.voter_zone(voter.id);
            let address = self.network.address_from(zone, voter.settings.listen, target_zone)?;
            addresses.push(ControlAddressSettings { id: voter.id, address });
        }
        Ok(addresses)
    }

    fn configure_relays(&mut self) -> Result<(), crate::Failure> {
        let mut relays = Vec::new();
        for zone in self.spec.zones.clone() {
            for number in 1..=zone.relays {
                let name = format!("relay-{}-{number}", zone.name);
                relays.push((name, zone.clone(), self.ports.next_address()));
            }
        }
        for (name, zone, listen) in &relays {
            let control = self.control_addresses_for_zone(zone)?;
            let mut peer = Vec::new();
            for (_, target_zone, address) in
                relays.iter().filter(|(_, _, address)| address != listen)
            {
                peer.push(self.network.address_from(zone, *address, target_zone)?);
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
                let config = self.configure_proxy(&name, &zone, Vec::new())?;
                self.proxies.push(config);
            }
            for number in 1..=zone.hollow_proxies {
                let name = format!("hollow-{}-{number}", zone.name);
                let config = self.configure_proxy(&name, &zone, Vec::new())?;
                self.hollow_proxies.push(config);
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
            relay: self.relay_addresses_for_zone(zone)?,
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

    /// Returns the addresses at which proxies of a zone reach the relays.
    fn relay_addresses_for_zone(
        &mut self,
        zone: &ZoneSpec,
    ) -> Result<Vec<RelayAddressSettings>, crate::Failure> {
        let mut addresses = Vec::new();
        for relay in &self.relays {
            let target_zone = ZoneSpec {
                name: relay.settings.zone.clone(),
                region: relay.settings.region.clone(),
                ..zone.clone()
            };
            let address = self.network.address_from(zone, relay.settings.listen, &target_zone)?;
            addresses.push(RelayAddressSettings {
                address,
                zone: target_zone.name,
                region: target_zone.region,
            });
        }
        Ok(addresses)
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
