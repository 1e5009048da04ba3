//! Names in a gateway's settings, by whose positions the scheduler knows them.
use tidewall::settings::Settings;

/// Lists of names from the settings of one gateway.
pub struct ConfiguredNames {
    classes: Vec<String>,
    tenants: Vec<String>,
    zones: Vec<String>,
    worker_kinds: Vec<String>,
}

impl ConfiguredNames {
    /// Reads the lists; one that is left out is empty.
    pub fn new(settings: &Settings) -> ConfiguredNames {
        ConfiguredNames {
            classes: numbered(settings, "classes"),
            tenants: numbered(settings, "tenants"),
            zones: separated(settings, "zones"),
            worker_kinds: separated(settings, "kinds"),
        }
    }

    /// Index of a request class, None where the settings have none of that name.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class == name)
    }

    /// Index of a tenant, None where the settings have none of that name.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.iter().position(|tenant| tenant == name)
    }

    /// Index of a zone, `u32::MAX` where it is unknown or not given.
    pub fn zone(&self, name: Option<&str>) -> u32 {
        index_of(&self.zones, name)
    }

    /// Index of a kind of machine, `u32::MAX` where it is unknown or not given.
    pub fn worker_kind(&self, name: Option<&str>) -> u32 {
        index_of(&self.worker_kinds, name)
    }
}

fn index_of(names: &[String], name: Option<&str>) -> u32 {
    let position = names.iter().position(|known| Some(known.as_str()) == name);
    position.map_or(u32::MAX, |index| index as u32)
}

/// Names of sections that are numbered from 0 without a gap.
fn numbered(settings: &Settings, list: &str) -> Vec<String> {
    (0..)
        .map_while(|index| settings.get(&format!("{list}.{index}.name")).cloned())
        .collect()
}

/// Names in one setting, separated by commas.
fn separated(settings: &Settings, key: &str) -> Vec<String> {
    settings.get(key).map_or(Vec::new(), |names| {
        names.split(',').map(str::to_string).collect()
    })
}
