//! Compares what a program writes with a text kept in its tests, for tests only.
//!
//! A kept text is never rewritten by a test: where the two differ, the text as it is now is left in the system's
//! folder for temporary files, to be compared and, if the change is wanted, copied by hand.
use std::fmt::Write;
use std::path::{Path, PathBuf};

/// Names the crate under test, to the tests that Cargo runs.
const CRATE: &str = "CARGO_PKG_NAME";

/// What stands before the name of a type in a message of `serde`.
const TYPE_MARK: &str = "expected struct ";

/// An answer of HTTP as text: its status, its `Retry-After` in seconds where there is one, its body without the names
/// of types.
#[must_use]
pub fn http_answer(status: u16, retry_after_s: Option<u32>, body: &[u8]) -> String {
    let mut text = format!("{status}\n");
    if let Some(seconds) = retry_after_s {
        let _ = writeln!(text, "retry-after: {seconds}");
    }
    if body.is_empty() {
        text.push_str("(no body)\n");
    } else {
        let _ = writeln!(
            text,
            "{}",
            without_type_names(&String::from_utf8_lossy(body))
        );
    }
    text
}

/// The text without the names of types that `serde` puts into its messages: `expected struct Route` becomes
/// `expected struct (name)`. They are names of the code and no part of an answer's form.
#[must_use]
pub fn without_type_names(text: &str) -> String {
    let mut parts = text.split(TYPE_MARK);
    let mut masked = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        let end = part
            .find(|letter: char| !letter.is_alphanumeric() && letter != '_')
            .unwrap_or(part.len());
        masked.push_str(TYPE_MARK);
        masked.push_str("(name)");
        masked.push_str(&part[end..]);
    }
    masked
}

/// Named passages, one after the other.
#[derive(Debug, Default)]
pub struct Transcript {
    text: String,
}

impl Transcript {
    /// Adds a passage under a name.
    pub fn add(&mut self, name: &str, passage: &str) {
        let _ = write!(self.text, "== {name}\n{passage}");
        if !passage.ends_with('\n') {
            self.text.push('\n');
        }
    }

    /// Adds an answer of HTTP under a name.
    pub fn add_answer(&mut self, name: &str, status: u16, retry_after_s: Option<u32>, body: &[u8]) {
        self.add(name, &http_answer(status, retry_after_s, body));
    }

    /// Compares all passages with the kept text at `fixture`.
    ///
    /// # Panics
    ///
    /// Where they differ, or nothing is kept there.
    pub fn assert_kept(&self, fixture: impl AsRef<Path>) {
        assert_kept(fixture, &self.text);
    }
}

/// Compares `written` with the kept text at `fixture`, a path from the crate's own folder.
///
/// # Panics
///
/// Where they differ, or nothing is kept there.
pub fn assert_kept(fixture: impl AsRef<Path>, written: &str) {
    let fixture = fixture.as_ref();
    let kept = std::fs::read_to_string(fixture).unwrap_or_default();
    if kept == written {
        return;
    }
    let left = leave(fixture, written);
    let (kept_lines, lines): (Vec<&str>, Vec<&str>) =
        (kept.split('\n').collect(), written.split('\n').collect());
    let same = kept_lines
        .iter()
        .zip(&lines)
        .take_while(|(one, other)| one == other)
        .count();
    panic!(
        "{} differs from line {}:\n  kept: {}\n  now:  {}\nall of it is in {}",
        fixture.display(),
        same + 1,
        kept_lines.get(same).unwrap_or(&"(end)"),
        lines.get(same).unwrap_or(&"(end)"),
        left.display()
    );
}

/// Leaves the text as it is now where it can be looked at.
fn leave(fixture: &Path, written: &str) -> PathBuf {
    let name = fixture.file_name().unwrap_or_default().to_string_lossy();
    let tested = std::env::var(CRATE).unwrap_or_default();
    let path = std::env::temp_dir().join(format!("now-{tested}-{name}"));
    let _ = std::fs::write(&path, written);
    path
}
