//! The command line, which is the same for all three programs.

use std::path::PathBuf;

use argh::FromArgs;
use log::LevelFilter;

/// The environment variable that names the settings file if `--settings` is not given.
pub const SETTINGS_VARIABLE: &str = "SAGETRAIL_CONFIG";
/// The settings file that is read if neither the flag nor the variable names one.
pub const DEFAULT_SETTINGS_PATH: &str = "/etc/sagetrail/settings.toml";

/// A process of a sagetrail cluster.
#[derive(FromArgs, Debug)]
pub struct Arguments {
    /// settings file (default: $SAGETRAIL_CONFIG, else /etc/sagetrail/settings.toml)
    #[argh(option)]
    pub settings: Option<PathBuf>,
    /// check the settings and exit: code 0 if they are valid, 2 if not
    #[argh(switch)]
    pub check: bool,
    /// log level: off, error, warn, info, debug, trace (default: info)
    #[argh(option, default = "LevelFilter::Info")]
    pub log: LevelFilter,
    /// print the version and exit
    #[argh(switch)]
    pub version: bool,
}

impl Arguments {
    /// Returns the settings file to read: the one of the flag, else of the variable, else the default.
    pub fn settings_path(&self) -> PathBuf {
        if let Some(path) = &self.settings {
            return path.clone();
        }
        let from_variable = std::env::var_os(SETTINGS_VARIABLE);
        from_variable.map_or_else(|| PathBuf::from(DEFAULT_SETTINGS_PATH), PathBuf::from)
    }
}
