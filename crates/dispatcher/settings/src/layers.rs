//! Sources of a configuration, and the origin that is kept with each value.

use std::fmt;

/// Origin of a value.
#[derive(Clone, Debug, PartialEq)]
pub enum Origin {
    /// Line of the file, from 1.
    File(usize),
    /// Environment variable with this name.
    Environment(String),
    /// A command-line flag.
    Flag,
    /// The settings that all dispatchers have agreed on.
    Agreed,
    /// The value is not given; the default applies.
    Default,
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Origin::File(line) => write!(f, "line {line}"),
            Origin::Environment(name) => write!(f, "environment {name}"),
            Origin::Flag => write!(f, "flag"),
            Origin::Agreed => write!(f, "agreed"),
            Origin::Default => write!(f, "default"),
        }
    }
}

/// A checked value with its origin.
#[derive(Clone, Debug, PartialEq)]
pub struct Value {
    /// Value in JSON; durations are in seconds.
    pub value: serde_json::Value,
    /// Layer that the value comes from.
    pub origin: Origin,
}

/// Sources from which a configuration is read.
#[derive(Clone, Debug, Default)]
pub struct Layers {
    /// Name of the file, for findings.
    pub file: String,
    /// Text of the file.
    pub text: String,
    /// Names and values of the environment variables that begin with `SAGETRAIL_`; `__` stands for a dot.
    pub environment: Vec<(String, String)>,
    /// Command-line settings as `key=value`, where the value is TOML or plain text.
    pub flags: Vec<String>,
    /// TOML text that all dispatchers have agreed on. It takes precedence over the file.
    pub agreed: String,
}
