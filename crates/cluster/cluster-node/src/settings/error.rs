//! The errors of a settings file. Each is one line that names the field or the file.

use std::path::PathBuf;

use validator::{ValidationErrors, ValidationErrorsKind};

/// An error of a settings file.
#[derive(thiserror::Error, Debug)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("{}: {error}", path.display())]
    Unreadable {
        /// The path of the file.
        path: PathBuf,
        /// The error of reading it.
        error: std::io::Error,
    },
    /// A field is invalid or missing.
    #[error("{}{reason}", prefix(field))]
    Field {
        /// The key with its section; empty if the error belongs to no key, for example if the file is not TOML.
        field: String,
        /// The reason for which the value is invalid.
        reason: String,
    },
}

impl SettingsError {
    /// Creates the error for a missing field that this kind of process requires.
    pub(super) fn missing(field: &str) -> SettingsError {
        SettingsError::Field {
            field: field.to_owned(),
            reason: "missing".to_owned(),
        }
    }

    /// Converts an error of parsing the text.
    pub(super) fn from_toml(text: &str, error: &toml::de::Error) -> SettingsError {
        let field = error
            .span()
            .map_or_else(String::new, |span| field_at(text, span.start));
        SettingsError::Field {
            field,
            reason: error.message().replace('\n', ", "),
        }
    }

    /// Creates the error for the first field, in alphabetical order, that failed its check.
    pub(super) fn from_validation(errors: &ValidationErrors) -> SettingsError {
        let mut found = Vec::new();
        collect("", errors, &mut found);
        found.sort();
        let first = found.into_iter().next();
        let Finding { field, reason } = first.unwrap_or_default();
        SettingsError::Field { field, reason }
    }
}

/// One failed check.
#[derive(PartialEq, Eq, PartialOrd, Ord, Default)]
struct Finding {
    field: String,
    reason: String,
}

/// Adds the failed checks of all fields below `prefix` to `found`.
fn collect(prefix: &str, errors: &ValidationErrors, found: &mut Vec<Finding>) {
    for (name, kind) in errors.errors() {
        let field = if prefix.is_empty() {
            name.to_string()
        } else {
            format!("{prefix}.{name}")
        };
        match kind {
            ValidationErrorsKind::Struct(inner) => collect(&field, inner, found),
            ValidationErrorsKind::List(items) => {
                items
                    .values()
                    .for_each(|inner| collect(&field, inner, found));
            }
            ValidationErrorsKind::Field(failures) => {
                let reasons = failures.iter().map(|failure| failure.code.to_string());
                found.extend(reasons.map(|reason| Finding {
                    field: field.clone(),
                    reason,
                }));
            }
        }
    }
}

/// Returns the key, with its section, of the line that contains the byte at `offset`.
fn field_at(text: &str, offset: usize) -> String {
    let text_before = text.get(..offset).unwrap_or(text);
    let line_start = text_before.rfind('\n').map_or(0, |newline| newline + 1);
    let line = text[line_start..].lines().next().unwrap_or("");
    let Some((key, _)) = line.split_once('=') else {
        return String::new();
    };
    let section = text[..line_start].lines().rev().find_map(section_name);
    match section {
        Some(section) => format!("{section}.{}", key.trim()),
        None => key.trim().to_owned(),
    }
}

fn section_name(line: &str) -> Option<&str> {
    line.trim().strip_prefix('[')?.strip_suffix(']')
}

/// Returns the field as the prefix of its reason, as in `field: reason`.
fn prefix(field: &str) -> String {
    if field.is_empty() {
        String::new()
    } else {
        format!("{field}: ")
    }
}
