//! The sources a configuration is read from, and the origin kept with each value.

use std::fmt;

/// Where a value came from.
#[derive(Clone, Debug, PartialEq)]
pub enum Origin {
    /// The file's line, from 1.
    File(usize),
    /// An environment variable, by name.
    Environment(String),
    /// A command-line flag.
    Flag,
    /// The settings that all dispatchers have agreed on.
    Agreed,
    /// Not given anywhere.
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
    /// The value in JSON; durations in seconds.
    pub value: serde_json::Value,
    /// The layer that gave it.
    pub origin: Origin,
}

/// What a configuration is read from.
#[derive(Clone, Debug, Default)]
pub struct Layers {
    /// The file's name, for findings.
    pub file: String,
    /// The file's text.
    pub text: String,
    /// Name and value of variables that begin with `SAGETRAIL_`; `__` stands for a dot.
    pub environment: Vec<(String, String)>,
    /// `key=value`, in TOML or plain text.
    pub flags: Vec<String>,
    /// TOML that all dispatchers have agreed on, over the file's.
    pub agreed: String,
}
