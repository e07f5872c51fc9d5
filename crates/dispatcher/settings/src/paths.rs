//! Paths of keys: their patterns, look-up in the table of keys, and suggestions for unknown names.

use crate::keys::{Key, KEYS};

/// The known word nearest to an unknown one; `None` if none is near.
pub fn nearest<'a>(word: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let ranked = known.map(|candidate| (strsim::damerau_levenshtein(word, candidate), candidate));
    let (distance, candidate) = ranked.min()?;
    (distance <= 1 + word.len() / 3).then_some(candidate)
}

/// A path with `[]` in place of each list index: `fleet.members.0.name` becomes `fleet.members[].name`.
pub(crate) fn pattern(path: &str) -> String {
    let component = |part: &str| match part.parse::<usize>() {
        Ok(_) => "[]".to_string(),
        Err(_) => format!(".{part}"),
    };
    let pattern: String = path.split('.').map(component).collect();
    pattern.trim_start_matches('.').to_string()
}

/// The key with exactly this pattern.
pub(crate) fn find(pattern: &str) -> Option<&'static Key> {
    KEYS.iter().find(|key| key.path == pattern)
}

/// Whether there are keys below this pattern.
pub(crate) fn is_table(pattern: &str) -> bool {
    let below = |key: &Key| {
        let rest = key.path.strip_prefix(pattern);
        rest.is_some_and(|rest| rest.starts_with('.') || rest.starts_with("[]"))
    };
    KEYS.iter().any(below)
}

/// The known name nearest to the last one of an unknown pattern, among the names in the same table.
pub(crate) fn nearest_sibling(pattern: &str) -> Option<&'static str> {
    let parent = pattern.rsplit_once('.').map_or("", |(parent, _)| parent);
    let name = pattern
        .rsplit('.')
        .next()
        .unwrap_or_default()
        .trim_end_matches("[]");
    nearest(
        name,
        KEYS.iter().filter_map(|key| child_name(parent, key.path)),
    )
}

/// Name of the level directly below `parent` on the way to `path`.
fn child_name(parent: &str, path: &'static str) -> Option<&'static str> {
    let rest = match parent {
        "" => path,
        parent => path.strip_prefix(parent)?.strip_prefix('.')?,
    };
    rest.split(['.', '[']).next()
}
