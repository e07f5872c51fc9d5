//! Why settings are invalid, in one line that names the field.

use std::path::PathBuf;

use validator::{ValidationErrors, ValidationErrorsKind};

/// Why settings are invalid.
#[derive(thiserror::Error, Debug)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("{}: {error}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why it could not be read.
        error: std::io::Error,
    },
    /// A field is invalid or missing.
    #[error("{}{reason}", prefix(field))]
    Field {
        /// The key with its section; empty where the file is not TOML.
        field: String,
        /// What is wrong with its value.
        reason: String,
    },
}

impl SettingsError {
    /// A field that this kind of process requires is missing.
    pub(super) fn missing(field: &str) -> SettingsError {
        SettingsError::Field {
            field: field.to_owned(),
            reason: "missing".to_owned(),
        }
    }

    /// An error of reading the text.
    pub(super) fn from_toml(text: &str, error: &toml::de::Error) -> SettingsError {
        let field = error
            .span()
            .map_or_else(String::new, |span| field_at(text, span.start));
        SettingsError::Field {
            field,
            reason: error.message().replace('\n', ", "),
        }
    }

    /// The first field, in alphabetical order, that failed its check.
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

/// The key, with its section, on the line that holds the byte at `offset`.
fn field_at(text: &str, offset: usize) -> String {
    let upto = text.get(..offset).unwrap_or(text);
    let line_start = upto.rfind('\n').map_or(0, |newline| newline + 1);
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

/// The field before its reason, as in `field: reason`.
fn prefix(field: &str) -> String {
    if field.is_empty() {
        String::new()
    } else {
        format!("{field}: ")
    }
}
