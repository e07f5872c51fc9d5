//! At least one example of each type of the wire format. All fields of an example have different values, so that
//! swapped fields are detected. Each struct is written out in full, so that a new field must be given a value here.

mod control;
mod members;
mod messages;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;

use deku::{DekuContainerRead, DekuContainerWrite};

/// A function that panics unless the bytes are decoded as the expected value.
type DecodeAssertion = Box<dyn Fn(&[u8])>;

/// An encoded value, and a check that its bytes are decoded as the same value.
pub(crate) struct Example {
    /// The name of the example in the fixture.
    pub name: String,
    /// The bytes of the encoded value.
    pub bytes: Vec<u8>,
    /// Panics unless the given bytes are decoded as the value.
    pub assert_decodes: DecodeAssertion,
}

impl Example {
    fn of<T>(name: &str, value: T) -> Example
    where
        T: DekuContainerWrite + for<'a> DekuContainerRead<'a> + PartialEq + Debug + 'static,
    {
        let label = name.to_owned();
        Example {
            name: name.to_owned(),
            bytes: value.to_bytes().unwrap(),
            assert_decodes: Box::new(move |bytes| {
                let ((rest, bit), read) = T::from_bytes((bytes, 0)).unwrap();
                assert_eq!(
                    (rest.len(), bit),
                    (0, 0),
                    "{label}: bytes remain after decoding"
                );
                assert_eq!(read, value, "{label}");
            }),
        }
    }
}

/// Declares the names of all variants of an enum. The match has no wildcard, so that a variant without a name here is a
/// compile error.
macro_rules! variants {
    ($all:ident, $name:ident, $enumeration:ty, { $($pattern:pat => $label:literal,)+ }) => {
        pub(crate) const $all: &[&str] = &[$($label),+];

        pub(crate) fn $name(value: &$enumeration) -> &'static str {
            match value {
                $($pattern => $label),+
            }
        }
    };
}
pub(crate) use variants;

/// Builds the examples of one enum; panics if a variant has no example.
fn examples_of_all_variants<T>(
    group: &str,
    all: &[&'static str],
    name: fn(&T) -> &'static str,
    values: Vec<T>,
) -> Vec<Example>
where
    T: DekuContainerWrite + for<'a> DekuContainerRead<'a> + PartialEq + Debug + 'static,
{
    let named: BTreeSet<&str> = values.iter().map(name).collect();
    let expected: BTreeSet<&str> = all.iter().copied().collect();
    assert_eq!(named, expected, "variants of {group} with an example");
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    let label = |value: &T| {
        let variant = name(value);
        let count = counts.entry(variant).or_default();
        *count += 1;
        match *count {
            1 => format!("{group}/{variant}"),
            number => format!("{group}/{variant}-{number}"),
        }
    };
    let labels: Vec<String> = values.iter().map(label).collect();
    labels
        .into_iter()
        .zip(values)
        .map(|(label, value)| Example::of(&label, value))
        .collect()
}

/// Returns all examples in the order of the fixture.
pub(crate) fn all() -> Vec<Example> {
    let mut examples = members::examples();
    examples.extend(messages::examples());
    examples.extend(control::examples());
    examples
}
