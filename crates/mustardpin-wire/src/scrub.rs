//! Removes keys, and headers that must not travel, from what is passed on.

use http::{HeaderMap, HeaderName, Uri, header as standard};

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
        text.windows(secret.len()).any(|window| window.eq_ignore_ascii_case(secret.as_bytes()))
    }

    /// Whether a request target contains the secret, as it stands or percent-encoded.
    pub fn is_in_target(&self, uri: &Uri) -> bool {
        let Some(text) = uri.path_and_query() else { return false };
        self.is_in(text.as_str().as_bytes()) || self.is_in(&percent_decode(text.as_str()))
    }
}

/// Removes every header or trailer that holds credentials or contains the secret.
///
/// ```
/// use http::HeaderMap;
/// use mustardpin_wire::scrub::{Secret, remove_key};
///
/// let mut headers = HeaderMap::new();
/// headers.insert("authorization", "Bearer garage-1.s3cret".parse()?);
/// headers.insert("x-debug", "key=garage-1.s3cret".parse()?);
/// headers.insert("accept", "text/html".parse()?);
/// remove_key(&mut headers, &Secret::of("garage-1.s3cret"));
/// assert_eq!(headers.len(), 1);
/// # Ok::<(), http::header::InvalidHeaderValue>(())
/// ```
pub fn remove_key(headers: &mut HeaderMap, secret: &Secret) {
    remove_where(headers, |name, values| {
        *name == standard::AUTHORIZATION
            || *name == standard::PROXY_AUTHORIZATION
            || secret.is_in(name.as_str().as_bytes())
            || values.iter().any(|value| secret.is_in(value))
    });
}

/// Removes headers that concern one connection only, and those that `Connection` names.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(standard::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    remove_where(headers, |name, _| header::is_hop_by_hop(name) || named.contains(name));
}

/// Removes headers that belong to the system.
pub fn remove_internal(headers: &mut HeaderMap) {
    remove_where(headers, |name, _| header::is_internal(name));
}

fn remove_where(headers: &mut HeaderMap, unwanted: impl Fn(&HeaderName, &[&[u8]]) -> bool) {
    let names: Vec<HeaderName> = headers
        .keys()
        .filter(|name| {
            let values: Vec<&[u8]> =
                headers.get_all(*name).iter().map(|value| value.as_bytes()).collect();
            unwanted(name, &values)
        })
        .cloned()
        .collect();
    for name in names {
        headers.remove(name);
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
