//! The settings file: its fields, and their checks. Unknown fields are ignored.

mod check;
mod error;
mod number;

pub use error::SettingsError;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};

use serde::Deserialize;
use validator::Validate;

use sagetrail_protocol::bounds::Bounds;
use sagetrail_protocol::NodeKind;

use number::Number;

/// What the platform tells a process.
#[derive(Deserialize, Validate, Clone, Debug)]
pub struct Settings {
    #[serde(default)]
    pub node_name: String,
    #[validate(custom(function = check::is_specified))]
    pub ip: Ipv4Addr,
    #[serde(default)]
    pub zone: String,
    /// First and last port that are free for what processes say to each other.
    #[validate(custom(function = check::has_room))]
    pub port_range: [u16; 2],
    /// `control` addresses of core machines.
    #[serde(default)]
    pub seeds: Vec<SocketAddrV4>,
    /// True at the first start of the whole system only.
    #[serde(default)]
    pub bootstrap: bool,
    /// The folder on disk, on core machines.
    #[serde(default)]
    pub data_dir: Option<PathBuf>,
    /// How often a runner sends a heartbeat, in milliseconds.
    #[serde(default = "default_heartbeat_ms")]
    #[validate(custom(function = check::is_positive))]
    pub heartbeat_ms: Number,
    /// Where the runner of the machine accepts calls, on side machines.
    #[serde(default)]
    pub app: Option<SocketAddrV4>,
    #[serde(default)]
    pub bind_addrs: BindAddresses,
    #[serde(default)]
    #[validate(nested)]
    pub limits: Limits,
    #[serde(default)]
    pub fault_tolerance: FaultTolerance,
    #[serde(default)]
    #[validate(nested)]
    pub bounds: BoundsSettings,
}

/// Where the process hears HTTP.
#[derive(Deserialize, Clone, Copy, Debug, Default)]
pub struct BindAddresses {
    pub frontend: Option<SocketAddrV4>,
    pub readiness: Option<SocketAddrV4>,
    pub control: Option<SocketAddrV4>,
}

/// What the process may use.
#[derive(Deserialize, Validate, Clone, Copy, Debug)]
#[serde(default)]
pub struct Limits {
    #[validate(custom(function = check::is_positive))]
    pub memory_mb: Number,
    #[validate(range(min = 64))]
    pub max_fds: u32,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            memory_mb: Number(DEFAULT_MEMORY_MB),
            max_fds: DEFAULT_MAX_FDS,
        }
    }
}

/// What may be lost at once.
#[derive(Deserialize, Clone, Copy, Debug, Default)]
#[serde(default)]
pub struct FaultTolerance {
    pub machines: u32,
}

const DEFAULT_HEARTBEAT_MS: f64 = 1000.0;
const DEFAULT_MEMORY_MB: f64 = 256.0;
const DEFAULT_MAX_FDS: u32 = 4096;

fn default_heartbeat_ms() -> Number {
    Number(DEFAULT_HEARTBEAT_MS)
}

macro_rules! bounds_settings {
    (milliseconds: $($millis:ident),*; fractions: $($fraction:ident),*;) => {
        /// The bounds of the deployment that the logic uses; what is missing has its usual value.
        #[derive(Deserialize, Validate, Clone, Copy, Debug, Default)]
        #[serde(default)]
        pub struct BoundsSettings {
            $(#[validate(custom(function = check::is_not_negative))]
            pub $millis: Option<Number>,)*
            $(#[validate(custom(function = check::is_not_negative))]
            pub $fraction: Option<Number>,)*
        }

        impl BoundsSettings {
            /// The bounds as the logic takes them.
            pub fn to_bounds(self) -> Bounds {
                let usual = Bounds::default();
                Bounds {
                    $($millis: self.$millis.map_or(usual.$millis, Number::whole),)*
                    $($fraction: self.$fraction.map_or(usual.$fraction, |number| number.0),)*
                }
            }
        }
    };
}

bounds_settings! {
    milliseconds: contact_ms, ack_ms, config_apply_ms, drain_ms, hold_max_ms, stop_ms, gang_ms, cancel_ms,
        early_ms, restore_ms;
    fractions: grace_s, status_s, far_x, save_s, catch_up_s;
}

impl Settings {
    /// Reads and checks the file for a kind of process.
    pub fn load(path: &Path, kind: NodeKind) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|error| SettingsError::Unreadable {
            path: path.to_owned(),
            error,
        })?;
        Settings::parse(&text, kind)
    }

    /// Checks the text of a settings file for a kind of process.
    pub fn parse(text: &str, kind: NodeKind) -> Result<Settings, SettingsError> {
        let settings: Settings =
            toml::from_str(text).map_err(|error| SettingsError::from_toml(text, &error))?;
        settings
            .validate()
            .map_err(|errors| SettingsError::from_validation(&errors))?;
        check::fits_kind(&settings, kind)?;
        Ok(settings)
    }

    /// The first port free for what processes say to each other.
    pub fn first_port(&self) -> u16 {
        self.port_range[0]
    }
}
