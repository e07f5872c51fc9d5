//! The rows of a heartbeat's lists, read from JSON arrays. What is added behind the known fields is passed over.

use serde::de::{Deserialize, Deserializer, Error, IgnoredAny, SeqAccess, Visitor};
use std::fmt;

/// `[task, run, saved, percent]`.
pub(crate) struct ActiveRow {
    pub task: String,
    pub attempt: u64,
    pub saved: String,
    pub percent: f64,
}

/// `[number, task, run, how, saved]`.
pub(crate) struct FinishedRow {
    pub number: u64,
    pub task: String,
    pub attempt: u64,
    pub how: String,
    pub saved: String,
}

struct ActiveVisitor;
struct FinishedVisitor;

impl<'de> Deserialize<'de> for ActiveRow {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<ActiveRow, D::Error> {
        deserializer.deserialize_seq(ActiveVisitor)
    }
}

impl<'de> Deserialize<'de> for FinishedRow {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<FinishedRow, D::Error> {
        deserializer.deserialize_seq(FinishedVisitor)
    }
}

impl<'de> Visitor<'de> for ActiveVisitor {
    type Value = ActiveRow;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("[task, run, saved, percent]")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut fields: A) -> Result<ActiveRow, A::Error> {
        let row = ActiveRow {
            task: required(&mut fields, "a task")?,
            attempt: required(&mut fields, "a run")?,
            saved: fields.next_element()?.unwrap_or_default(),
            percent: fields.next_element()?.unwrap_or_default(),
        };
        pass_over_rest(fields)?;
        Ok(row)
    }
}

impl<'de> Visitor<'de> for FinishedVisitor {
    type Value = FinishedRow;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("[number, task, run, how, saved]")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut fields: A) -> Result<FinishedRow, A::Error> {
        let row = FinishedRow {
            number: required(&mut fields, "a number")?,
            task: required(&mut fields, "a task")?,
            attempt: required(&mut fields, "a run")?,
            how: required(&mut fields, "how it ended")?,
            saved: fields.next_element()?.unwrap_or_default(),
        };
        pass_over_rest(fields)?;
        Ok(row)
    }
}

fn required<'de, T: Deserialize<'de>, A: SeqAccess<'de>>(
    fields: &mut A,
    what: &'static str,
) -> Result<T, A::Error> {
    fields
        .next_element()?
        .ok_or_else(|| A::Error::missing_field(what))
}

fn pass_over_rest<'de, A: SeqAccess<'de>>(mut fields: A) -> Result<(), A::Error> {
    while fields.next_element::<IgnoredAny>()?.is_some() {}
    Ok(())
}
