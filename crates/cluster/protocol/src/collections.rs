//! Texts, byte strings and lists. On the wire each starts with its length as a `u32`, which is checked against a limit
//! before memory is allocated.

use std::fmt;
use std::ops::Deref;

use deku::no_std_io::{Read, Seek, Write};
use deku::prelude::*;
use deku::reader::Reader;
use deku::writer::Writer;

/// The longest byte string that is decoded from a frame, in bytes.
pub const MAX_BLOB_BYTES: usize = 16 << 20;
/// The longest list that is decoded from a frame, in items.
pub const MAX_LIST_ITEMS: usize = 1 << 20;
/// The maximum number of items (or bytes) for which memory is allocated before they are read, so that a wrong length in
/// a frame does not allocate much memory.
const MAX_PREALLOCATED_ITEMS: usize = 1024;

/// A byte string.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Blob(
    /// The bytes, of which a frame contains at most [`MAX_BLOB_BYTES`].
    pub Vec<u8>,
);

/// A text in UTF-8.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Text(
    /// The text, which has at most [`MAX_BLOB_BYTES`] bytes in a frame.
    pub String,
);

/// A list of items of one type.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct List<T>(
    /// The items, of which a frame contains at most [`MAX_LIST_ITEMS`].
    pub Vec<T>,
);

impl<T> Default for List<T> {
    fn default() -> List<T> {
        List(Vec::new())
    }
}

impl<T> From<Vec<T>> for List<T> {
    fn from(items: Vec<T>) -> List<T> {
        List(items)
    }
}

impl<T> FromIterator<T> for List<T> {
    fn from_iter<I: IntoIterator<Item = T>>(items: I) -> List<T> {
        List(items.into_iter().collect())
    }
}

impl<T> Deref for List<T> {
    type Target = Vec<T>;

    fn deref(&self) -> &Vec<T> {
        &self.0
    }
}

impl Deref for Text {
    type Target = str;

    fn deref(&self) -> &str {
        &self.0
    }
}

impl Deref for Blob {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.0
    }
}

impl From<&str> for Text {
    fn from(text: &str) -> Text {
        Text(text.to_owned())
    }
}

impl From<String> for Text {
    fn from(text: String) -> Text {
        Text(text)
    }
}

impl From<Vec<u8>> for Blob {
    fn from(bytes: Vec<u8>) -> Blob {
        Blob(bytes)
    }
}

impl fmt::Debug for Text {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{:?}", self.0)
    }
}

impl fmt::Debug for Blob {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "<{} bytes>", self.0.len())
    }
}

fn read_length<R: Read + Seek>(reader: &mut Reader<R>, limit: usize) -> Result<usize, DekuError> {
    let length = u32::from_reader_with_ctx(reader, ())? as usize;
    if length > limit {
        return Err(DekuError::Assertion("length exceeds the limit"));
    }
    Ok(length)
}

impl DekuReader<'_> for Blob {
    fn from_reader_with_ctx<R: Read + Seek>(
        reader: &mut Reader<R>,
        _: (),
    ) -> Result<Self, DekuError> {
        let length = read_length(reader, MAX_BLOB_BYTES)?;
        let mut bytes = Vec::with_capacity(length.min(MAX_PREALLOCATED_ITEMS));
        let mut chunk = [0; MAX_PREALLOCATED_ITEMS];
        while bytes.len() < length {
            let chunk_bytes = (length - bytes.len()).min(MAX_PREALLOCATED_ITEMS);
            reader.read_bytes(
                chunk_bytes,
                &mut chunk[..chunk_bytes],
                deku::ctx::Order::Msb0,
            )?;
            bytes.extend_from_slice(&chunk[..chunk_bytes]);
        }
        Ok(Blob(bytes))
    }
}

impl DekuWriter for Blob {
    fn to_writer<W: Write + Seek>(&self, writer: &mut Writer<W>, _: ()) -> Result<(), DekuError> {
        (self.0.len() as u32).to_writer(writer, ())?;
        writer.write_bytes(&self.0)
    }
}

impl DekuReader<'_> for Text {
    fn from_reader_with_ctx<R: Read + Seek>(
        reader: &mut Reader<R>,
        _: (),
    ) -> Result<Self, DekuError> {
        let bytes = Blob::from_reader_with_ctx(reader, ())?.0;
        String::from_utf8(bytes)
            .map(Text)
            .map_err(|_| DekuError::Parse("text is not valid UTF-8"))
    }
}

impl DekuWriter for Text {
    fn to_writer<W: Write + Seek>(&self, writer: &mut Writer<W>, _: ()) -> Result<(), DekuError> {
        (self.0.len() as u32).to_writer(writer, ())?;
        writer.write_bytes(self.0.as_bytes())
    }
}

impl<T: for<'a> DekuReader<'a>> DekuReader<'_> for List<T> {
    fn from_reader_with_ctx<R: Read + Seek>(
        reader: &mut Reader<R>,
        _: (),
    ) -> Result<Self, DekuError> {
        let length = read_length(reader, MAX_LIST_ITEMS)?;
        let mut items = Vec::with_capacity(length.min(MAX_PREALLOCATED_ITEMS));
        for _ in 0..length {
            items.push(T::from_reader_with_ctx(reader, ())?);
        }
        Ok(List(items))
    }
}

impl<T: DekuWriter> DekuWriter for List<T> {
    fn to_writer<W: Write + Seek>(&self, writer: &mut Writer<W>, _: ()) -> Result<(), DekuError> {
        (self.0.len() as u32).to_writer(writer, ())?;
        self.0
            .iter()
            .try_for_each(|item| item.to_writer(writer, ()))
    }
}
