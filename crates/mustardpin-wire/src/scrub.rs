//! Removes keys, and headers that must not travel, from what is passed on.

use mustardpin_http::{Headers, write};

use crate::header;

/// The text of a caller's key, kept only as long as its request is in progress.
///
/// Its `Debug` output does not show the text.
#[derive(Clone, Default)]
pub struct Secret(Option<Box<str>>);

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl Secret {
    /// The secret part of a key of the form `ID.SECRET`: all that follows the first full stop, or
    /// the whole key if it has none.
    ///
    /// ```
    /// use mustardpin_wire::scrub::Secret;
    /// let secret = Secret::of("garage-1.s3cret");
    /// assert!(secret.is_in(b"x-copy s3cret"));
    /// assert!(!secret.is_in(b"garage-1"));
    /// ```
    pub fn of(key: &str) -> Secret {
        let secret = key.split_once('.').map_or(key, |(_, secret)| secret);
        let text = if secret.is_empty() { key } else { secret };
        Secret((!text.is_empty()).then(|| text.into()))
    }

    /// Whether some text contains the secret, in whatever case.
    pub fn is_in(&self, text: &[u8]) -> bool {
        let Some(secret) = &self.0 else { return false };
        text.len() >= secret.len()
            && text
                .windows(secret.len())
                .any(|window| window.eq_ignore_ascii_case(secret.as_bytes()))
    }

    /// Whether a request target contains the secret, as it stands or percent-encoded.
    ///
    /// ```
    /// use mustardpin_wire::scrub::Secret;
    /// assert!(Secret::of("s3cret").is_in_target("/slots?key=s3c%72et"));
    /// ```
    pub fn is_in_target(&self, target: &str) -> bool {
        self.is_in(target.as_bytes())
            || (target.contains('%') && self.is_in(&percent_decode(target)))
    }
}

/// Copies the fields of a message that go on: not those that concern one connection, also by what
/// `Connection` says, not the length, which belongs to the body as it is sent, and none for which
/// `passes` is false.
///
/// ```
/// use mustardpin_http::Headers;
/// use mustardpin_wire::scrub;
///
/// let fields = [("Connection", &b"x-hop"[..]), ("X-Hop", b"1"), ("Accept", b"*/*")];
/// let headers: Headers = fields.into_iter().collect();
/// let mut out = Vec::new();
/// scrub::copy_headers(&headers, |_, _| true, &mut out);
/// assert_eq!(out, b"Accept: */*\r\n");
/// ```
pub fn copy_headers(headers: &Headers, passes: impl Fn(&str, &[u8]) -> bool, out: &mut Vec<u8>) {
    let names_others = headers.get("connection").is_some();
    for (name, value) in headers.iter() {
        let is_named = names_others && headers.has_token("connection", name);
        let is_length = name.eq_ignore_ascii_case("content-length");
        if !is_named && !is_length && !header::is_hop_by_hop(name) && passes(name, value) {
            write::field(out, name, value);
        }
    }
}

fn percent_decode(text: &str) -> Vec<u8> {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut index = 0;
    while index < bytes.len() {
        let escaped = (bytes[index] == b'%')
            .then(|| text.get(index + 1..index + 3))
            .flatten()
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        decoded.push(escaped.unwrap_or(bytes[index]));
        index += if escaped.is_some() { 3 } else { 1 };
    }
    decoded
}
