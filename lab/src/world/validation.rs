//! Validation of a world: the accepted ranges of its fields.

use std::fmt::Display;
use std::ops::RangeInclusive;

use super::{Fault, FaultKind, RequestClass, ServerGroup, Tenant, World, WorldError};

/// Lower bound of fields that must be above 0.
const ABOVE_ZERO: f64 = f64::MIN_POSITIVE;
const MAX_SERVERS: u64 = 100_000;
const MAX_LATENCY_MS: f64 = 10_000.0;
const HOUR_MS: f64 = 3.6e6;
const DAY_SECONDS: f64 = 86_400.0;

fn out_of_range(field: String, value: &dyn Display, wanted: &'static str) -> WorldError {
    WorldError::Field { line: None, field, value: value.to_string(), wanted }
}

/// Checks that a number is in range. NaN is in no range.
fn check_range(
    field: impl Into<String>,
    value: f64,
    range: RangeInclusive<f64>,
    wanted: &'static str,
) -> Result<(), WorldError> {
    if range.contains(&value) {
        return Ok(());
    }
    Err(out_of_range(field.into(), &value, wanted))
}

impl World {
    /// Checks that each field is in range.
    ///
    /// # Errors
    /// [`WorldError::Field`], without a line, for the first field that is out of range.
    pub fn check(&self) -> Result<(), WorldError> {
        check_range("seconds", self.seconds, ABOVE_ZERO..=DAY_SECONDS, "a number above 0, at most 86400")?;
        check_range("zones", self.zones.into(), 1.0..=1000.0, "1 to 1000")?;
        check_range("nodes", self.nodes.into(), 1.0..=10_000.0, "1 to 10000")?;
        check_range("cross_ms", self.cross_ms, 0.0..=MAX_LATENCY_MS, "0 to 10000")?;
        check_range("jitter_ms", self.jitter_ms, 0.0..=MAX_LATENCY_MS, "0 to 10000")?;
        check_range("loss", self.loss, 0.0..=0.5, "0 to 0.5")?;
        self.check_discovery()?;
        self.check_clients()?;
        self.check_servers()?;
        self.faults.iter().enumerate().try_for_each(|(number, fault)| self.check_fault(number, fault))
    }

    fn check_discovery(&self) -> Result<(), WorldError> {
        let discovery = &self.discovery;
        let (lag, jitter) = (discovery.lag_ms as f64, discovery.jitter_ms as f64);
        check_range("discovery.lag_ms", lag, 0.0..=HOUR_MS, "0 to 3600000")?;
        check_range("discovery.jitter_ms", jitter, 0.0..=HOUR_MS, "0 to 3600000")?;
        let interval = discovery.full_list_interval_s;
        check_range("discovery.whole_every", interval, 0.0..=DAY_SECONDS, "0 to 86400")
    }

    fn check_clients(&self) -> Result<(), WorldError> {
        let clients = &self.clients;
        let min_rate = if clients.closed_clients == 0 { ABOVE_ZERO } else { 0.0 };
        check_range(
            "clients.rate",
            clients.rate,
            min_rate..=1e7,
            "a number above 0, or 0 with closed clients",
        )?;
        check_range("clients.closed", clients.closed_clients.into(), 0.0..=1e6, "0 to 1000000")?;
        check_range("clients.hang_up", clients.disconnect_ratio, 0.0..=1.0, "0 to 1")?;
        check_range("clients.class", clients.classes.len() as f64, 1.0..=1000.0, "1 to 1000 classes")?;
        if !clients.zone_shares.is_empty() {
            self.check_zone_shares()?;
        }
        for (number, class) in clients.classes.iter().enumerate() {
            check_class(number, class)?;
        }
        for (number, tenant) in clients.tenants.iter().enumerate() {
            check_tenant(number, tenant)?;
        }
        Ok(())
    }

    fn check_zone_shares(&self) -> Result<(), WorldError> {
        let shares = &self.clients.zone_shares;
        let zones = f64::from(self.zones);
        check_range("clients.zone_shares", shares.len() as f64, zones..=zones, "one share for each zone")?;
        let lowest = shares.iter().copied().fold(0.0, f64::min);
        check_range("clients.zone_shares", lowest, 0.0..=0.0, "no share below 0")?;
        check_range("clients.zone_shares", shares.iter().sum(), ABOVE_ZERO..=1e12, "a sum of shares above 0")
    }

    fn server_count(&self) -> u64 {
        self.servers.iter().map(|group| u64::from(group.count)).sum()
    }

    fn check_servers(&self) -> Result<(), WorldError> {
        let count = self.server_count();
        if count > MAX_SERVERS {
            return Err(out_of_range("servers".into(), &count, "at most 100000 servers in all"));
        }
        for (number, group) in self.servers.iter().enumerate() {
            check_server_group(number, group)?;
        }
        Ok(())
    }

    fn check_fault(&self, number: usize, fault: &Fault) -> Result<(), WorldError> {
        let field = |name: &str| format!("trouble[{number}].{name}"); // wire name
        if !(0.0..fault.end_s).contains(&fault.start_s) {
            return Err(out_of_range(field("from"), &fault.start_s, "0 or more, and less than `to`"));
        }
        check_range(field("to"), fault.end_s, 0.0..=1e6, "at most 1000000")?;
        let servers = self.server_count();
        if let Some(server) = fault.servers.iter().find(|server| u64::from(**server) >= servers) {
            return Err(out_of_range(field("servers"), server, "the number of a server, counted from 0"));
        }
        if let Some(node) = fault.nodes.iter().find(|node| **node >= self.nodes) {
            return Err(out_of_range(field("nodes"), node, "the number of a node, counted from 0"));
        }
        let tenants = self.clients.tenants.len();
        if let Some(tenant) = fault.tenant.filter(|tenant| *tenant as usize >= tenants) {
            return Err(out_of_range(field("tenant"), &tenant, "the number of a tenant, counted from 0"));
        }
        if fault.zone >= self.zones {
            return Err(out_of_range(field("zone"), &fault.zone, "the number of a zone, counted from 0"));
        }
        match fault.kind {
            FaultKind::NoisyNeighbour => {
                check_range(field("part"), fault.fraction, 0.0..=0.999, "0 to 0.999")
            }
            FaultKind::Errors => check_range(field("part"), fault.fraction, 0.0..=1.0, "0 to 1"),
            FaultKind::PacketLoss => check_range(field("part"), fault.fraction, 0.0..=0.5, "0 to 0.5"),
            FaultKind::Burst => {
                let wanted = "a number above 0, at most 1000";
                check_range(field("times"), fault.rate_multiplier, ABOVE_ZERO..=1000.0, wanted)
            }
            FaultKind::AddedLatency => {
                check_range(field("ms"), fault.added_latency_ms, 0.0..=MAX_LATENCY_MS, "0 to 10000")
            }
            _ => Ok(()),
        }
    }
}

fn check_class(number: usize, class: &RequestClass) -> Result<(), WorldError> {
    let field = |name: &str| format!("clients.class[{number}].{name}");
    check_range(field("share"), class.share, ABOVE_ZERO..=1e9, "a number above 0, at most 1e9")?;
    check_range(field("work_ms"), class.work_ms, ABOVE_ZERO..=1e6, "a number above 0, at most 1e6")?;
    check_range(field("worth"), class.value, ABOVE_ZERO..=1e9, "a number above 0, at most 1e9")?;
    check_range(field("elsewhere_ms"), class.downstream_ms, 0.0..=60_000.0, "0 to 60000")?;
    let deadline_ms = class.deadline_ms as f64;
    check_range(field("deadline_ms"), deadline_ms, 1.0..=HOUR_MS, "1 to 3600000")?;
    let target_ms = class.latency_target_ms as f64;
    check_range(field("aim_ms"), target_ms, 1.0..=deadline_ms, "1 or more, at most deadline_ms")
}

fn check_tenant(number: usize, tenant: &Tenant) -> Result<(), WorldError> {
    let field = |name: &str| format!("clients.tenant[{number}].{name}");
    check_range(field("share"), tenant.share, ABOVE_ZERO..=1e9, "a number above 0, at most 1e9")?;
    check_range(field("quota"), tenant.quota, 0.0..=1e9, "0 to 1e9")
}

fn check_server_group(number: usize, group: &ServerGroup) -> Result<(), WorldError> {
    let field = |name: &str| format!("servers[{number}].{name}");
    check_range(field("cores"), group.cores.into(), 1.0..=1024.0, "1 to 1024")?;
    check_range(field("speed"), group.speed, ABOVE_ZERO..=1e6, "a number above 0, at most 1e6")?;
    check_range(field("errors"), group.error_ratio, 0.0..=1.0, "0 to 1")?;
    check_range(field("handshake_ms"), group.handshake_ms, 0.0..=MAX_LATENCY_MS, "0 to 10000")?;
    check_range(field("probe_ms"), group.probe_ms, 0.0..=MAX_LATENCY_MS, "0 to 10000")
}
