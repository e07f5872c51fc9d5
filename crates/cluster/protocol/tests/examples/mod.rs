//! One example or more of each type on the wire. All fields of an example differ, so that two swapped ones show;
//! each struct is written out in full, so that a new field must be given a value here.

mod control;
mod members;
mod messages;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;

use deku::{DekuContainerRead, DekuContainerWrite};

/// Panics unless bytes are read as the value that it knows.
type ReadsBack = Box<dyn Fn(&[u8])>;

/// An encoded value, and how to read its kind back.
pub(crate) struct Example {
    /// Its name in the fixture.
    pub name: String,
    /// What the program writes.
    pub bytes: Vec<u8>,
    /// Panics unless these bytes are read as the value.
    pub reads_back: ReadsBack,
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
            reads_back: Box::new(move |bytes| {
                let ((rest, bit), read) = T::from_bytes((bytes, 0)).unwrap();
                assert_eq!((rest.len(), bit), (0, 0), "{label}: not read to its end");
                assert_eq!(read, value, "{label}");
            }),
        }
    }
}

/// Declares the names of all variants of an enum. The match has no wildcard: a variant that is not named here does
/// not compile.
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

/// Examples of the values of one enum; a variant without one is an error.
fn complete<T>(
    group: &str,
    all: &[&'static str],
    name: fn(&T) -> &'static str,
    values: Vec<T>,
) -> Vec<Example>
where
    T: DekuContainerWrite + for<'a> DekuContainerRead<'a> + PartialEq + Debug + 'static,
{
    let named: BTreeSet<&str> = values.iter().map(name).collect();
    let wanted: BTreeSet<&str> = all.iter().copied().collect();
    assert_eq!(named, wanted, "variants of {group} with an example");
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

/// Every example, in the order of the fixture.
pub(crate) fn all() -> Vec<Example> {
    let mut examples = members::examples();
    examples.extend(messages::examples());
    examples.extend(control::examples());
    examples
}
