//! The settings file (TOML): its fields and their checks. Unknown fields are ignored; field names are the file's keys.

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

/// Ports of a machine that a cluster uses, counted from the first of `port_range`: one for each kind of process, so
/// that two kinds can run on one machine.
pub const PORTS_USED: u16 = 3;

/// The settings of a process.
#[derive(Deserialize, Validate, Clone, Debug)]
pub struct Settings {
    /// The machine's name, for log lines.
    #[serde(default)]
    pub node_name: String,
    /// The machine's own address, at which other processes connect.
    #[validate(custom(function = check::is_specified))]
    pub ip: Ipv4Addr,
    /// The machine's failure domain.
    #[serde(default)]
    pub zone: String,
    /// First and last port for messages between processes.
    #[validate(custom(function = check::has_enough_ports))]
    pub port_range: [u16; 2],
    /// `control` addresses of core machines.
    #[serde(default)]
    pub seeds: Vec<SocketAddrV4>,
    /// Whether this is the first start of the whole system: the core processes found the cluster.
    #[serde(default)]
    pub bootstrap: bool,
    /// The folder of the state on disk; core machines only.
    #[serde(default)]
    pub data_dir: Option<PathBuf>,
    /// The time between two heartbeats of a runner, in milliseconds.
    #[serde(default = "default_heartbeat_ms")]
    #[validate(custom(function = check::is_positive))]
    pub heartbeat_ms: Number,
    /// Where the machine's runner listens; side machines only.
    #[serde(default)]
    pub app: Option<SocketAddrV4>,
    /// Where the process listens for HTTP.
    #[serde(default)]
    pub bind_addrs: BindAddresses,
    /// The resources of the process.
    #[serde(default)]
    #[validate(nested)]
    pub limits: Limits,
    /// The losses that the cluster must survive.
    #[serde(default)]
    pub fault_tolerance: FaultTolerance,
    /// The deployment's bounds.
    #[serde(default)]
    #[validate(nested)]
    pub bounds: BoundsSettings,
}

/// Where the process listens for HTTP.
#[derive(Deserialize, Clone, Copy, Debug, Default)]
pub struct BindAddresses {
    /// For clients; required on frontend machines.
    pub frontend: Option<SocketAddrV4>,
    /// For the platform's readiness check.
    pub readiness: Option<SocketAddrV4>,
    /// For the operator or the runner; required on core and side machines.
    pub control: Option<SocketAddrV4>,
}

/// The resources that the process may use.
#[derive(Deserialize, Validate, Clone, Copy, Debug)]
#[serde(default)]
pub struct Limits {
    /// Memory, in megabytes; above 0.
    #[validate(custom(function = check::is_positive))]
    pub memory_mb: Number,
    /// File descriptors; at least 64.
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

/// The losses at one time that the cluster must survive.
#[derive(Deserialize, Clone, Copy, Debug, Default)]
#[serde(default)]
pub struct FaultTolerance {
    /// Core machines that may be lost at once.
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
        /// The deployment's bounds as the file gives them; a missing key has the value of [`Bounds::default`]. Units are
        /// those of [`Bounds`].
        #[derive(Deserialize, Validate, Clone, Copy, Debug, Default)]
        #[serde(default)]
        pub struct BoundsSettings {
            $(/// As in [`Bounds`], in milliseconds.
            #[validate(custom(function = check::is_not_negative))]
            pub $millis: Option<Number>,)*
            $(/// As in [`Bounds`].
            #[validate(custom(function = check::is_not_negative))]
            pub $fraction: Option<Number>,)*
        }

        impl BoundsSettings {
            /// The bounds as the logic takes them.
            pub fn to_bounds(self) -> Bounds {
                let default = Bounds::default();
                Bounds {
                    $($millis: self.$millis.map_or(default.$millis, Number::rounded),)*
                    $($fraction: self.$fraction.map_or(default.$fraction, |number| number.0),)*
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
    ///
    /// # Errors
    ///
    /// [`SettingsError`]: the file can't be read, or its first invalid field.
    pub fn load(path: &Path, kind: NodeKind) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|error| SettingsError::Unreadable {
            path: path.to_owned(),
            error,
        })?;
        Settings::parse(&text, kind)
    }

    /// Parses and checks the text of a settings file for a kind of process.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Field`]: the first invalid field.
    pub fn parse(text: &str, kind: NodeKind) -> Result<Settings, SettingsError> {
        let settings: Settings =
            toml::from_str(text).map_err(|error| SettingsError::from_toml(text, &error))?;
        settings
            .validate()
            .map_err(|errors| SettingsError::from_validation(&errors))?;
        check::fits_kind(&settings, kind)?;
        Ok(settings)
    }

    /// The first port for messages between processes.
    pub fn first_port(&self) -> u16 {
        self.port_range[0]
    }
}
