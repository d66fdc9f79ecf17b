//! Removes keys, and headers that must not be forwarded, from forwarded messages.

use mustardpin_http::{Headers, write};

use crate::header;

/// The secret of a caller's key, kept only as long as the request is in progress.
///
/// Its `Debug` output does not show the secret.
#[derive(Clone, Default)]
pub struct Secret(Option<Box<str>>);

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl Secret {
    /// The secret part of a key of the form `ID.SECRET`: everything after the first dot, or the
    /// whole key if it has no dot or nothing after it.
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

    /// Whether a text contains the secret, ignoring case.
    pub fn is_in(&self, text: &[u8]) -> bool {
        let Some(secret) = &self.0 else { return false };
        text.len() >= secret.len()
            && text
                .windows(secret.len())
                .any(|window| window.eq_ignore_ascii_case(secret.as_bytes()))
    }

    /// Whether a request target contains the secret, literally or percent-encoded.
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

/// Copies the headers of a message that are forwarded. Left out are hop-by-hop headers, headers
/// listed in `Connection`, `Content-Length`, which is set for the body as it is sent, and headers
/// for which `forwards` returns false.
///
/// ```
/// use mustardpin_http::Headers;
/// use mustardpin_wire::scrub;
///
/// let pairs = [("Connection", &b"x-hop"[..]), ("X-Hop", b"1"), ("Accept", b"*/*")];
/// let headers: Headers = pairs.into_iter().collect();
/// let mut out = Vec::new();
/// scrub::copy_headers(&headers, |_, _| true, &mut out);
/// assert_eq!(out, b"Accept: */*\r\n");
/// ```
pub fn copy_headers(headers: &Headers, forwards: impl Fn(&str, &[u8]) -> bool, out: &mut Vec<u8>) {
    let has_connection = headers.get("connection").is_some();
    for (name, value) in headers.iter() {
        let is_listed = has_connection && headers.has_token("connection", name);
        let is_length = name.eq_ignore_ascii_case("content-length");
        if !is_listed && !is_length && !header::is_hop_by_hop(name) && forwards(name, value) {
            write::header(out, name, value);
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
