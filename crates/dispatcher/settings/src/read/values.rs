//! Typed access to the values that were read.

use super::reader::Reader;
use crate::layers::Origin;
use serde_json::Value;

impl Reader<'_> {
    /// The value at `path`.
    pub(super) fn get(&self, path: &str) -> Option<&Value> {
        self.values.get(path).map(|value| &value.value)
    }

    pub(super) fn text(&self, path: &str) -> Option<String> {
        self.get(path).and_then(Value::as_str).map(str::to_string)
    }

    pub(super) fn texts(&self, path: &str) -> Vec<String> {
        text_list(self.get(path))
    }

    pub(super) fn number(&self, path: &str, default: f64) -> f64 {
        self.get(path).and_then(Value::as_f64).unwrap_or(default)
    }

    pub(super) fn integer(&self, path: &str) -> Option<u64> {
        self.get(path).and_then(Value::as_u64)
    }

    pub(super) fn flag(&self, path: &str, default: bool) -> bool {
        self.get(path).and_then(Value::as_bool).unwrap_or(default)
    }

    /// Number of tables in a list.
    pub(super) fn count(&self, list: &str) -> usize {
        let index = |path: &String| -> Option<usize> {
            let rest = path.strip_prefix(list)?.strip_prefix('.')?;
            rest.split('.').next()?.parse().ok()
        };
        self.values
            .keys()
            .filter_map(index)
            .max()
            .map_or(0, |last| last + 1)
    }

    /// Whether any path starts with `prefix`.
    pub(super) fn has_below(&self, prefix: &str) -> bool {
        self.values.keys().any(|path| path.starts_with(prefix))
    }

    /// The origin of the first value whose path starts with `path`; the file's first line if there is none.
    pub(super) fn origin(&self, path: &str) -> Origin {
        let first = self.values.iter().find(|(key, _)| key.starts_with(path));
        first.map_or(Origin::File(1), |(_, value)| value.origin.clone())
    }

    /// Index of the word at `path` in `known`. A word that is not in it is reported as a fault.
    pub(super) fn index_in(&mut self, path: &str, known: &[String], list: &str) -> Option<usize> {
        let word = self.text(path)?;
        let index = known.iter().position(|candidate| *candidate == word);
        if index.is_none() {
            self.fault_at(path, &format!("'{word}' is not in {list}"));
        }
        index
    }
}

/// The text items of a list.
pub(super) fn text_list(value: Option<&Value>) -> Vec<String> {
    let items = value.and_then(Value::as_array).into_iter().flatten();
    items
        .filter_map(Value::as_str)
        .map(str::to_string)
        .collect()
}
