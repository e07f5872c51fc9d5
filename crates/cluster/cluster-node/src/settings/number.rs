//! A number that the settings file may give as an integer or as a fraction.

use std::fmt;

use serde::de::{Error, Visitor};
use serde::{Deserialize, Deserializer, Serialize};

/// A finite number.
#[derive(Serialize, Clone, Copy, PartialEq, Debug)]
pub struct Number(
    /// The value, which is finite.
    pub f64,
);

impl Number {
    /// Returns the nearest integer, or zero for a negative number.
    #[must_use]
    pub fn rounded(self) -> u64 {
        self.0.round().max(0.0) as u64
    }
}

struct NumberVisitor;

impl Visitor<'_> for NumberVisitor {
    type Value = Number;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "a finite number")
    }

    fn visit_i64<E: Error>(self, value: i64) -> Result<Number, E> {
        Ok(Number(value as f64))
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<Number, E> {
        Ok(Number(value as f64))
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<Number, E> {
        if !value.is_finite() {
            return Err(E::custom(format_args!(
                "expected a finite number, got {value}"
            )));
        }
        Ok(Number(value))
    }
}

impl<'a> Deserialize<'a> for Number {
    fn deserialize<D: Deserializer<'a>>(deserializer: D) -> Result<Number, D::Error> {
        deserializer.deserialize_any(NumberVisitor)
    }
}
