//! Names in a gateway's settings. The scheduler refers to them by their position.
use tidewall::settings::Settings;

/// Lists of names from the settings of one gateway.
pub struct ConfiguredNames {
    classes: Vec<String>,
    tenants: Vec<String>,
    zones: Vec<String>,
    worker_kinds: Vec<String>,
}

impl ConfiguredNames {
    /// Reads the lists from the settings. A missing list is empty.
    pub fn new(settings: &Settings) -> ConfiguredNames {
        ConfiguredNames {
            classes: numbered_names(settings, "classes"),
            tenants: numbered_names(settings, "tenants"),
            zones: comma_separated_names(settings, "zones"),
            worker_kinds: comma_separated_names(settings, "kinds"),
        }
    }

    /// Returns the index of a request class; `None` if the settings have no class with this name.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class == name)
    }

    /// Returns the index of a tenant; `None` if the settings have no tenant with this name.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.iter().position(|tenant| tenant == name)
    }

    /// Returns the index of a zone; `u32::MAX` if the name is unknown or missing.
    pub fn zone(&self, name: Option<&str>) -> u32 {
        index_of(&self.zones, name)
    }

    /// Returns the index of a machine type; `u32::MAX` if the name is unknown or missing.
    pub fn worker_kind(&self, name: Option<&str>) -> u32 {
        index_of(&self.worker_kinds, name)
    }
}

fn index_of(names: &[String], name: Option<&str>) -> u32 {
    let position = names.iter().position(|known| Some(known.as_str()) == name);
    position.map_or(u32::MAX, |index| index as u32)
}

/// Returns the names of the sections of a list, which are numbered from 0 without gaps.
fn numbered_names(settings: &Settings, list: &str) -> Vec<String> {
    (0..)
        .map_while(|index| settings.get(&format!("{list}.{index}.name")).cloned())
        .collect()
}

/// Returns the comma-separated names in one setting.
fn comma_separated_names(settings: &Settings, key: &str) -> Vec<String> {
    settings.get(key).map_or(Vec::new(), |names| {
        names.split(',').map(str::to_string).collect()
    })
}
