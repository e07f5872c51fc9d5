//! The settings file (TOML): its fields and their checks. The field names are the keys of the file; unknown keys are
//! ignored.

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

/// The number of ports that a cluster uses on a machine, starting with the first of `port_range`. Each kind of process
/// has its own port, so that two kinds can run on one machine.
pub const PORTS_USED: u16 = 3;

/// The settings of a process.
#[derive(Deserialize, Validate, Clone, Debug)]
pub struct Settings {
    /// The machine's name, which appears in log lines.
    #[serde(default)]
    pub node_name: String,
    /// The machine's own address, to which other processes connect.
    #[validate(custom(function = check::is_specified))]
    pub ip: Ipv4Addr,
    /// The machine's failure domain.
    #[serde(default)]
    pub zone: String,
    /// The first and the last port for messages between processes.
    #[validate(custom(function = check::has_enough_ports))]
    pub port_range: [u16; 2],
    /// The `control` addresses of core machines.
    #[serde(default)]
    pub seeds: Vec<SocketAddrV4>,
    /// Whether this is the first start of the whole system, at which the core processes bootstrap the cluster.
    #[serde(default)]
    pub bootstrap: bool,
    /// The folder for the state on disk; used by core processes only, which require it.
    #[serde(default)]
    pub data_dir: Option<PathBuf>,
    /// The time between two heartbeats of a runner, in milliseconds.
    #[serde(default = "default_heartbeat_ms")]
    #[validate(custom(function = check::is_positive))]
    pub heartbeat_ms: Number,
    /// The address at which the machine's runner listens; used by side processes only.
    #[serde(default)]
    pub app: Option<SocketAddrV4>,
    /// The addresses at which the process listens for HTTP requests.
    #[serde(default)]
    pub bind_addrs: BindAddresses,
    /// The resources that the process may use.
    #[serde(default)]
    #[validate(nested)]
    pub limits: Limits,
    /// The number of simultaneous losses that the cluster must survive.
    #[serde(default)]
    pub fault_tolerance: FaultTolerance,
    /// The time limits and tolerances of the deployment.
    #[serde(default)]
    #[validate(nested)]
    pub bounds: BoundsSettings,
}

/// The addresses at which the process listens for HTTP requests.
#[derive(Deserialize, Clone, Copy, Debug, Default)]
pub struct BindAddresses {
    /// The address for requests of clients; required by frontend processes.
    pub frontend: Option<SocketAddrV4>,
    /// The address for the platform's readiness check.
    pub readiness: Option<SocketAddrV4>,
    /// The address for requests of the operator or the runner; required by core and side processes.
    pub control: Option<SocketAddrV4>,
}

/// The resources that the process may use.
#[derive(Deserialize, Validate, Clone, Copy, Debug)]
#[serde(default)]
pub struct Limits {
    /// The memory, in megabytes; above 0.
    #[validate(custom(function = check::is_positive))]
    pub memory_mb: Number,
    /// The disk, in megabytes; 0 if it has no limit, or for a process without a disk.
    #[validate(custom(function = check::is_not_negative))]
    pub disk_mb: Number,
    /// The number of file descriptors; at least 64.
    #[validate(range(min = 64))]
    pub max_fds: u32,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            memory_mb: Number(DEFAULT_MEMORY_MB),
            disk_mb: Number(0.0),
            max_fds: DEFAULT_MAX_FDS,
        }
    }
}

/// The number of simultaneous losses that the cluster must survive.
#[derive(Deserialize, Clone, Copy, Debug, Default)]
#[serde(default)]
pub struct FaultTolerance {
    /// The number of core machines that may be lost at once.
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
        /// The time limits and tolerances of the deployment as the file gives them. A missing key has the value of
        /// [`Bounds::default`]. The units are those of [`Bounds`].
        #[derive(Deserialize, Validate, Clone, Copy, Debug, Default)]
        #[serde(default)]
        pub struct BoundsSettings {
            $(/// The value of the field of this name in [`Bounds`], in milliseconds.
            #[validate(custom(function = check::is_not_negative))]
            pub $millis: Option<Number>,)*
            $(/// The value of the field of this name in [`Bounds`].
            #[validate(custom(function = check::is_not_negative))]
            pub $fraction: Option<Number>,)*
        }

        impl BoundsSettings {
            /// Converts the settings to the bounds that the logic takes.
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
    /// Reads the settings file and checks it for a kind of process.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Unreadable`] if the file can't be read, else [`SettingsError::Field`] with the first invalid
    /// field.
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
    /// [`SettingsError::Field`] with the first invalid field.
    pub fn parse(text: &str, kind: NodeKind) -> Result<Settings, SettingsError> {
        let settings: Settings =
            toml::from_str(text).map_err(|error| SettingsError::from_toml(text, &error))?;
        settings
            .validate()
            .map_err(|errors| SettingsError::from_validation(&errors))?;
        check::fits_kind(&settings, kind)?;
        Ok(settings)
    }

    /// Returns the first port for messages between processes.
    pub fn first_port(&self) -> u16 {
        self.port_range[0]
    }
}
