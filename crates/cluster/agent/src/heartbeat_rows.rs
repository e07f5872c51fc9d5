//! The rows of the lists in a heartbeat, parsed from JSON arrays. Elements after the known ones are ignored, so that a
//! later version of the protocol can add elements.

use std::fmt;

use serde::de::{Deserialize, Deserializer, Error, IgnoredAny, SeqAccess, Visitor};

/// An active run: `[task, run, saved, percent]`.
pub(crate) struct ActiveRow {
    /// The name of the task, in the form `ID.K.STEP.INDEX`.
    pub(crate) task: String,
    /// The attempt, `run` on the wire.
    pub(crate) attempt: u64,
    /// The newest checkpoint, `saved` on the wire; empty for none.
    pub(crate) checkpoint: String,
    /// The progress in percent; any number is accepted.
    pub(crate) percent: f64,
}

/// An ended run: `[number, task, run, how, saved]`.
pub(crate) struct FinishedRow {
    /// The number that the runner gave to this end.
    pub(crate) number: u64,
    /// The name of the task, in the form `ID.K.STEP.INDEX`.
    pub(crate) task: String,
    /// The attempt, `run` on the wire.
    pub(crate) attempt: u64,
    /// The outcome of the run, `how` on the wire.
    pub(crate) end: String,
    /// The newest checkpoint, `saved` on the wire; empty for none.
    pub(crate) checkpoint: String,
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
            task: required(&mut fields, "task")?,
            attempt: required(&mut fields, "run")?,
            checkpoint: fields.next_element()?.unwrap_or_default(),
            percent: fields.next_element()?.unwrap_or_default(),
        };
        ignore_rest(fields)?;
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
            number: required(&mut fields, "number")?,
            task: required(&mut fields, "task")?,
            attempt: required(&mut fields, "run")?,
            end: required(&mut fields, "how")?,
            checkpoint: fields.next_element()?.unwrap_or_default(),
        };
        ignore_rest(fields)?;
        Ok(row)
    }
}

fn required<'de, T: Deserialize<'de>, A: SeqAccess<'de>>(
    fields: &mut A,
    name: &'static str,
) -> Result<T, A::Error> {
    fields
        .next_element()?
        .ok_or_else(|| A::Error::missing_field(name))
}

fn ignore_rest<'de, A: SeqAccess<'de>>(mut fields: A) -> Result<(), A::Error> {
    while fields.next_element::<IgnoredAny>()?.is_some() {}
    Ok(())
}
