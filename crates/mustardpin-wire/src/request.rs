//! Requests as they come in over HTTP.

use compact_str::CompactString;
use derive_more::{Display, Error, From};
use http::{HeaderMap, HeaderName, Method, Uri, header as standard, request::Parts};
use mustardpin_world::{
    Millis,
    id::{KeyDigest, NodeId},
    refusal::Reason,
    request::{CallToken, Fingerprint, Origin, Request, Ticket},
};
use rapidhash::v3::rapidhash_v3;

use crate::{forward, header, scrub::Secret};

/// The longest idempotency key, in bytes.
pub const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// Why a request could not be read.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error, From)]
pub enum Error {
    /// A header stands more than once.
    #[display("the header {_0} stands more than once")]
    #[from(skip)]
    Repeated(#[error(not(source))] HeaderName),
    /// A header has a value that cannot be read.
    #[display("the header {_0} has a value that cannot be read")]
    #[from(skip)]
    Value(#[error(not(source))] HeaderName),
    /// The path or the query contains the caller's key.
    #[display("the path or the query contains the caller's key")]
    KeyInTarget,
    /// The request names no path.
    #[display("the request names no path")]
    NoPath,
    /// Call tokens are for the node's own target.
    #[display("a call token came from elsewhere than the node's own target")]
    ForeignToken,
    /// The headers that travel with a forwarded request cannot be read.
    #[display("the headers of a forwarded request cannot be read")]
    Forwarded(forward::Error),
}

impl Error {
    /// The reason under which the request is refused.
    pub fn reason(&self) -> Reason {
        match self {
            Error::ForeignToken => Reason::CallTokenInvalid,
            _ => Reason::RequestMalformed,
        }
    }
}

/// Where a request came in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Port {
    /// The port for callers.
    Callers,
    /// The port for the node's own target. Callers may use it too.
    Local,
    /// The port for peers, over a connection that this node opened.
    Peers(NodeId),
}

/// A request as it came in, with as much of its body as was kept.
#[derive(Debug, Clone, Copy)]
pub struct Incoming<'a> {
    /// What the answer is matched by.
    pub ticket: Ticket,
    /// Where it came in.
    pub port: Port,
    /// The head.
    pub parts: &'a Parts,
    /// The whole body, if it was kept.
    pub body: Option<&'a [u8]>,
}

impl TryFrom<Incoming<'_>> for Request {
    type Error = Error;

    fn try_from(incoming: Incoming<'_>) -> Result<Request, Error> {
        let Incoming { ticket, port, parts, body } = incoming;
        if !parts.uri.path().starts_with('/') {
            return Err(Error::NoPath);
        }
        if secret(&parts.headers)?.is_in_target(&parts.uri) {
            return Err(Error::KeyInTarget);
        }
        Ok(Request {
            ticket,
            origin: origin(port, &parts.headers)?,
            method: parts.method.as_str().into(),
            path: parts.uri.path().into(),
            idempotency_key: idempotency_key(&parts.headers)?,
            fingerprint: fingerprint(&parts.method, &parts.uri, body.unwrap_or_default()),
            timeout: timeout(&parts.headers)?,
        })
    }
}

/// The secret part of the key that came with a request.
///
/// # Errors
///
/// [`Error::Repeated`] if there is more than one `Authorization` header.
pub fn secret(headers: &HeaderMap) -> Result<Secret, Error> {
    Ok(bearer(headers)?.map(Secret::of).unwrap_or_default())
}

/// The digest of a request's method, path, query and body. The same on every node.
///
/// ```
/// use http::{Method, Uri};
/// use mustardpin_wire::request::fingerprint;
///
/// let uri = Uri::from_static("/slots?day=2");
/// let one = fingerprint(&Method::POST, &uri, b"a");
/// assert_eq!(one, fingerprint(&Method::POST, &uri, b"a"));
/// assert_ne!(one, fingerprint(&Method::POST, &uri, b"b"));
/// ```
pub fn fingerprint(method: &Method, uri: &Uri, body: &[u8]) -> Fingerprint {
    let target = uri.path_and_query().map_or("/", |target| target.as_str());
    let parts = [method.as_str().as_bytes(), target.as_bytes(), body];
    let mut digests = [0; 24];
    for (index, part) in parts.iter().enumerate() {
        digests[8 * index..8 * index + 8].copy_from_slice(&rapidhash_v3(part).to_be_bytes());
    }
    Fingerprint(rapidhash_v3(&digests))
}

/// The value of the header that links a target's own calls to the call it is running.
pub fn encode_token(token: CallToken) -> CompactString {
    compact_str::format_compact!("{:032x}", token.0)
}

fn origin(port: Port, headers: &HeaderMap) -> Result<Origin, Error> {
    if let Port::Peers(from) = port {
        return Ok(Origin::Peer(forward::decode(from, headers)?));
    }
    match (port, single(headers, &header::CALL)?) {
        (Port::Local, Some(text)) => {
            let token = decode_token(text).ok_or(Error::Value(header::CALL))?;
            Ok(Origin::Target { token })
        }
        (_, Some(_)) => Err(Error::ForeignToken),
        (_, None) => Ok(Origin::Caller { key: key(headers)? }),
    }
}

fn key(headers: &HeaderMap) -> Result<Option<(CompactString, KeyDigest)>, Error> {
    let Some(key) = bearer(headers)? else { return Ok(None) };
    let id = key.split_once('.').map_or(key, |(id, _)| id);
    Ok(Some((id.into(), KeyDigest::of(key))))
}

/// The text after `Bearer`; `None` without the header and with other schemes.
fn bearer(headers: &HeaderMap) -> Result<Option<&str>, Error> {
    let Some(text) = single(headers, &standard::AUTHORIZATION)? else { return Ok(None) };
    let Some((scheme, key)) = text.split_once(' ') else { return Ok(None) };
    let key = key.trim();
    Ok((scheme.eq_ignore_ascii_case("bearer") && !key.is_empty()).then_some(key))
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<CompactString>, Error> {
    let Some(text) = single(headers, &header::IDEMPOTENCY_KEY)? else { return Ok(None) };
    if text.is_empty() || text.len() > MAX_IDEMPOTENCY_KEY_BYTES {
        return Err(Error::Value(header::IDEMPOTENCY_KEY));
    }
    Ok(Some(text.into()))
}

fn timeout(headers: &HeaderMap) -> Result<Option<Millis>, Error> {
    let Some(text) = single(headers, &header::REQUEST_TIMEOUT_MS)? else { return Ok(None) };
    let timeout = text.parse().map_err(|_| Error::Value(header::REQUEST_TIMEOUT_MS))?;
    Ok(Some(Millis(timeout)))
}

fn decode_token(text: &str) -> Option<CallToken> {
    if text.len() != 32 {
        return None;
    }
    u128::from_str_radix(text, 16).ok().map(CallToken)
}

/// The value of a header that may stand once only.
pub(crate) fn single<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'a str>, Error> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(Error::Repeated(name.clone()));
    }
    value.to_str().map(Some).map_err(|_| Error::Value(name.clone()))
}
