//! Caps of the fleet by category.

use super::reader::Reader;
use crate::paths::nearest;
use std::collections::BTreeMap;

const CAPS: &str = "fleet.caps";

/// Reads the caps. A name that is not a category is reported as a fault.
pub(super) fn caps(reader: &mut Reader, categories: &[String]) -> BTreeMap<String, u64> {
    let table = reader
        .get(CAPS)
        .and_then(|value| value.as_object())
        .cloned();
    let mut caps = BTreeMap::new();
    for (category, cap) in table.unwrap_or_default() {
        if !categories.contains(&category) {
            fault_unknown(reader, &category, categories);
        }
        caps.insert(category, cap.as_u64().unwrap_or(0));
    }
    caps
}

fn fault_unknown(reader: &mut Reader, category: &str, categories: &[String]) {
    let hint = nearest(category, categories.iter().map(String::as_str));
    let hint = hint.map_or(String::new(), |hint| format!("; did you mean '{hint}'?"));
    reader.fault_at(CAPS, &format!("'{category}' is not a category{hint}"));
}
