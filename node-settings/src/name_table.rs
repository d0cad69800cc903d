//! The names in the settings, and the numbers by which the balancer identifies them.

use std::collections::HashMap;

use ivyhatch_balancer::ZoneId;

/// The most zones, and the most machine kinds. Further names share the last number, so that memory stays bounded
/// if membership lists bring new names for as long as a node runs.
pub(crate) const MAX_NAMES: usize = 1024;

/// The numbers of zones, request classes, machine kinds and tenants.
pub struct NameTable {
    pub(crate) zones: Vec<String>,
    pub(crate) classes: HashMap<String, u32>,
    pub(crate) kinds: Vec<String>,
    pub(crate) tenants: Vec<String>,
}

impl NameTable {
    /// The number of a zone. A new zone, which the settings do not list, gets the next number.
    pub fn zone(&mut self, name: &str) -> ZoneId {
        ZoneId(number_of(&mut self.zones, name))
    }

    /// The name of a zone; `None` for a number without a name.
    pub fn zone_name(&self, zone: ZoneId) -> Option<&str> {
        self.zones.get(zone.0 as usize).map(String::as_str)
    }

    /// The number of a machine kind. A new kind, which the settings do not list, gets the next number.
    pub fn kind(&mut self, name: &str) -> u32 {
        number_of(&mut self.kinds, name)
    }

    /// The number of a request's tenant; `None` if the request has no tenant or the settings do not list the
    /// tenant.
    pub fn tenant(&self, name: Option<&str>) -> Option<u32> {
        let index = name.and_then(|name| self.tenants.iter().position(|known| known == name));
        index.map(|index| index as u32)
    }

    /// The number of a request class; `None` if the settings do not list the class.
    pub fn class(&self, name: &str) -> Option<u32> {
        self.classes.get(name).copied()
    }
}

/// The index of a name. A new name is appended if there are fewer than [`MAX_NAMES`], or else gets the last index.
pub(crate) fn number_of(names: &mut Vec<String>, name: &str) -> u32 {
    let index = names.iter().position(|known| known == name).unwrap_or_else(|| {
        if names.len() < MAX_NAMES {
            names.push(name.to_owned());
        }
        names.len() - 1
    });
    index as u32
}

#[cfg(test)]
#[path = "name_table_tests.rs"]
mod tests;
