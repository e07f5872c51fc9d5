//! Collects the values of all layers, each checked against the table of keys, and the faults found in them.

use super::check;
use super::toml_json;
use crate::keys::Kind;
use crate::layers::{Origin, Value};
use crate::paths::{find, is_table, nearest_sibling, pattern};
use serde_json::json;
use std::collections::BTreeMap;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// Keys that may be agreed on: those that a running process can apply in one step.
const AGREED_PREFIXES: [&str; 4] = ["fleet.caps", "fleet.resends", "plan.", "discovery"];
/// Lists that replace the list of the file as a whole if they are agreed on.
const AGREED_LISTS: [&str; 2] = ["plan.sites.", "plan.load."];
const NOT_AGREED: &str =
    "only a restart takes it up; agreed are fleet.caps, fleet.resends, plan and discovery";

/// The values read so far and the faults found in them.
pub(super) struct Reader<'a> {
    file: &'a str,
    text: &'a str,
    /// Whether the table that is being read belongs to the agreed settings, not to the file.
    is_reading_agreed: bool,
    pub(super) values: BTreeMap<String, Value>,
    pub(super) faults: Vec<String>,
}

impl<'a> Reader<'a> {
    pub(super) fn new(file: &'a str, text: &'a str) -> Reader<'a> {
        Reader {
            file,
            text,
            is_reading_agreed: false,
            values: BTreeMap::new(),
            faults: Vec::new(),
        }
    }

    /// Line of a byte offset in the file, from 1.
    pub(super) fn line(&self, offset: usize) -> usize {
        let before = &self.text.as_bytes()[..offset.min(self.text.len())];
        1 + before.iter().filter(|byte| **byte == b'\n').count()
    }

    /// Reports a fault of the value at `path`.
    pub(super) fn fault(&mut self, origin: &Origin, path: &str, reason: &str) {
        let position = match origin {
            Origin::File(line) => format!("{}:{line}", self.file),
            other => other.to_string(),
        };
        self.faults.push(format!("{position}: {path}: {reason}"));
    }

    /// Reports a fault at the origin of the value at `path`, or of the first value below it.
    pub(super) fn fault_at(&mut self, path: &str, reason: &str) {
        let origin = self.origin(path);
        self.fault(&origin, path, reason);
    }

    /// Reports a fault if there is no value at `path`.
    pub(super) fn require(&mut self, path: &str) {
        if self.get(path).is_none() {
            let parent = path.rsplit_once('.').map_or("", |(parent, _)| parent);
            let origin = self.origin(parent);
            self.fault(&origin, path, "it is missing");
        }
    }

    /// Reads a table whose keys are below `path`.
    pub(super) fn read_table(&mut self, path: &str, table: &DeTable) {
        for (name, value) in table.iter() {
            let below = match path {
                "" => name.get_ref().to_string(),
                path => format!("{path}.{}", name.get_ref()),
            };
            self.read_value(&below, name.span().start, value);
        }
    }

    fn read_value(&mut self, path: &str, offset: usize, value: &Spanned<DeValue>) {
        let origin = match self.is_reading_agreed {
            true => Origin::Agreed,
            false => Origin::File(self.line(offset)),
        };
        let pattern = pattern(path);
        match value.get_ref() {
            DeValue::Table(table) if find(&pattern).is_none() && is_table(&pattern) => {
                self.read_table(path, table);
            }
            DeValue::Array(items) if is_table(&format!("{pattern}[]")) => {
                self.read_tables(&origin, path, items);
            }
            value => self.insert(origin, path, &toml_json::to_json(value)),
        }
    }

    fn read_tables(&mut self, origin: &Origin, path: &str, items: &[Spanned<DeValue>]) {
        for (n, item) in items.iter().enumerate() {
            match item.get_ref() {
                DeValue::Table(table) => self.read_table(&format!("{path}.{n}"), table),
                _ => self.fault(origin, path, "its items are not tables"),
            }
        }
    }

    /// Reads the agreed settings, which take precedence over the file.
    pub(super) fn read_agreed(&mut self, text: &str) {
        let table = match DeTable::parse(text) {
            Ok(table) => table,
            Err(error) => return self.fault(&Origin::Agreed, "settings", error.message()),
        };
        let file_values = std::mem::take(&mut self.values);
        self.is_reading_agreed = true;
        self.read_table("", table.get_ref());
        self.is_reading_agreed = false;
        let agreed = std::mem::replace(&mut self.values, file_values);
        self.refuse_not_agreed(&agreed);
        self.drop_replaced_lists(&agreed);
        self.values.extend(agreed);
    }

    fn refuse_not_agreed(&mut self, agreed: &BTreeMap<String, Value>) {
        for path in agreed.keys() {
            if !AGREED_PREFIXES
                .iter()
                .any(|prefix| path.starts_with(prefix))
            {
                self.fault(&Origin::Agreed, path, NOT_AGREED);
            }
        }
    }

    fn drop_replaced_lists(&mut self, agreed: &BTreeMap<String, Value>) {
        for list in AGREED_LISTS {
            if agreed.keys().any(|path| path.starts_with(list)) {
                self.values.retain(|path, _| !path.starts_with(list));
            }
        }
    }

    /// Reads the value of a command-line setting or variable: as TOML if it parses as that, otherwise as plain text.
    pub(super) fn read_override(&mut self, origin: Origin, path: &str, text: &str) {
        let wants_text = find(&pattern(path)).is_some_and(|key| is_written_as_text(key.kind));
        let parsed = toml_json::parse_value(text).filter(|value| value.is_string() || !wants_text);
        let value = parsed.unwrap_or_else(|| json!(text));
        self.insert(origin, path, &value);
    }

    fn insert(&mut self, origin: Origin, path: &str, value: &serde_json::Value) {
        let pattern = pattern(path);
        let Some(key) = find(&pattern) else {
            return self.fault_unknown(&origin, path, &pattern);
        };
        match check::check(key.kind, value) {
            Ok(value) => {
                _ = self
                    .values
                    .insert(path.to_string(), Value { value, origin })
            }
            Err(reason) => self.fault(&origin, path, &reason),
        }
    }

    fn fault_unknown(&mut self, origin: &Origin, path: &str, pattern: &str) {
        match nearest_sibling(pattern) {
            Some(hint) => self.fault(origin, path, &format!("not a key; did you mean '{hint}'?")),
            None => self.fault(origin, path, "not a key"),
        }
    }
}

/// Whether values of a kind are strings in TOML.
fn is_written_as_text(kind: Kind) -> bool {
    !matches!(
        kind,
        Kind::Bool | Kind::Integer(..) | Kind::Number(..) | Kind::TextList | Kind::IntegerTable(..)
    )
}
