//! The fields of a head, as ranges into the bytes that they came in.

use bytes::Bytes;
use smallvec::SmallVec;

/// Heads with up to this many fields need no allocation of their own.
const INLINE_FIELDS: usize = 16;

/// Where a field stands in the bytes of its head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Field {
    name: (u32, u32),
    value: (u32, u32),
}

/// The places of all fields of a head.
pub(crate) type Fields = SmallVec<[Field; INLINE_FIELDS]>;

/// The fields of a head, in the order in which they came.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Headers {
    bytes: Bytes,
    fields: Fields,
}

impl Headers {
    /// Fields that stand at these places in `bytes`.
    pub(crate) fn new(bytes: Bytes, fields: Fields) -> Headers {
        Headers { bytes, fields }
    }

    /// All fields.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.fields.iter().map(|field| (self.name(*field), self.slice(field.value)))
    }

    /// The value of the first field of this name, in whatever case.
    ///
    /// ```
    /// use mustardpin_http::Headers;
    ///
    /// let headers: Headers = [("accept", &b"*/*"[..])].into_iter().collect();
    /// assert_eq!(headers.get("Accept"), Some(&b"*/*"[..]));
    /// ```
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        self.iter().find(|(other, _)| other.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    /// The values of all fields of this name, in whatever case.
    pub fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.iter()
            .filter(move |(other, _)| other.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// The value of the first field of this name, if it is text.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.get(name).and_then(|value| std::str::from_utf8(value).ok())
    }

    /// Whether a field of this name is a comma-separated list that holds a token, in whatever case.
    ///
    /// ```
    /// use mustardpin_http::Headers;
    ///
    /// let headers: Headers = [("connection", &b"keep-alive, Close"[..])].into_iter().collect();
    /// assert!(headers.has_token("Connection", "close"));
    /// ```
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.get_all(name).any(|value| has_token(value, token))
    }

    /// How many fields there are.
    pub fn len(&self) -> usize {
        self.fields.len()
    }

    /// Whether there are no fields.
    pub fn is_empty(&self) -> bool {
        self.fields.is_empty()
    }

    fn name(&self, field: Field) -> &str {
        // Parsed names are tokens, which are ASCII.
        std::str::from_utf8(self.slice(field.name)).unwrap_or_default()
    }

    fn slice(&self, (from, to): (u32, u32)) -> &[u8] {
        &self.bytes[from as usize..to as usize]
    }
}

impl<'a> FromIterator<(&'a str, &'a [u8])> for Headers {
    /// Fields from names and values, which must be valid HTTP tokens and field values.
    fn from_iter<I: IntoIterator<Item = (&'a str, &'a [u8])>>(fields: I) -> Headers {
        let mut bytes = Vec::new();
        let mut places = Fields::new();
        for (name, value) in fields {
            let start = bytes.len() as u32;
            bytes.extend_from_slice(name.as_bytes());
            let middle = bytes.len() as u32;
            bytes.extend_from_slice(value);
            let end = bytes.len() as u32;
            places.push(Field { name: (start, middle), value: (middle, end) });
        }
        Headers { bytes: bytes.into(), fields: places }
    }
}

/// The places of parsed fields in the buffer that they were parsed from.
pub(crate) fn places(buffer: &[u8], parsed: &[httparse::Header<'_>]) -> Fields {
    let start = buffer.as_ptr() as usize;
    let range = |slice: &[u8]| {
        let from = (slice.as_ptr() as usize - start) as u32;
        (from, from + slice.len() as u32)
    };
    parsed
        .iter()
        .map(|header| Field { name: range(header.name.as_bytes()), value: range(header.value) })
        .collect()
}

/// Whether a comma-separated list holds a token, in whatever case.
pub(crate) fn has_token(list: &[u8], token: &str) -> bool {
    list.split(|&byte| byte == b',')
        .any(|part| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
}
