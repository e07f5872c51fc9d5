//! The command line, the same for all three programs.

use std::path::PathBuf;

use argh::FromArgs;
use log::LevelFilter;

/// Names the settings file where no flag does.
pub const SETTINGS_VARIABLE: &str = "SAGETRAIL_CONFIG";
/// The settings file where neither flag nor variable names one.
pub const DEFAULT_SETTINGS_PATH: &str = "/etc/sagetrail/settings.toml";

/// A process of a sagetrail cluster.
#[derive(FromArgs, Debug)]
pub struct Arguments {
    /// settings file (default: $SAGETRAIL_CONFIG, else /etc/sagetrail/settings.toml)
    #[argh(option)]
    pub settings: Option<PathBuf>,
    /// check the settings and end: 0 sound, 2 not
    #[argh(switch)]
    pub check: bool,
    /// log level: off, error, warn, info, debug, trace (default: info)
    #[argh(option, default = "LevelFilter::Info")]
    pub log: LevelFilter,
    /// print the version and end
    #[argh(switch)]
    pub version: bool,
}

impl Arguments {
    /// The settings file to read: by flag, by variable, by default.
    pub fn settings_path(&self) -> PathBuf {
        if let Some(path) = &self.settings {
            return path.clone();
        }
        let named = std::env::var_os(SETTINGS_VARIABLE);
        named.map_or_else(|| PathBuf::from(DEFAULT_SETTINGS_PATH), PathBuf::from)
    }
}
