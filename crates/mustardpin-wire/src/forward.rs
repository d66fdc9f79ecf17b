//! Headers of requests that one node passes to another, and of the answers to them.
//!
//! They travel only over connections between nodes. From everyone else they are removed.

use compact_str::CompactString;
use derive_more::{Display, Error};
use http::{HeaderMap, HeaderName, HeaderValue, header::InvalidHeaderValue};
use mustardpin_world::{
    Millis,
    config::Importance,
    id::NodeId,
    refusal::{Reason, Refusal},
    request::{Forwarded, Pressure},
};

use crate::{header, refusal};

const KEY_ID: HeaderName = HeaderName::from_static("mustardpin-key-id");
const ROUTE: HeaderName = HeaderName::from_static("mustardpin-route");
const IMPORTANCE: HeaderName = HeaderName::from_static("mustardpin-importance");
const RETRY_ALLOWANCE: HeaderName = HeaderName::from_static("mustardpin-retry-allowance");
const DEPTH: HeaderName = HeaderName::from_static("mustardpin-depth");
const HOPS: HeaderName = HeaderName::from_static("mustardpin-hops");
const PRESSURE: HeaderName = HeaderName::from_static("mustardpin-pressure");
const RETRIES_LEFT: HeaderName = HeaderName::from_static("mustardpin-retries-left");
const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("mustardpin-retry-after-ms");

/// A header of a forwarded request is missing or cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("the header {_0} is missing or cannot be read")]
pub struct Error(#[error(not(source))] HeaderName);

/// Puts what travels with a forwarded request into its headers.
///
/// # Errors
///
/// If a name holds characters that cannot stand in a header.
pub fn encode(forwarded: &Forwarded, headers: &mut HeaderMap) -> Result<(), InvalidHeaderValue> {
    headers.insert(ROUTE, HeaderValue::from_bytes(forwarded.route.as_bytes())?);
    if let Some(id) = &forwarded.key_id {
        headers.insert(KEY_ID, HeaderValue::from_bytes(id.as_bytes())?);
    }
    headers.insert(IMPORTANCE, HeaderValue::from(forwarded.importance as u16));
    headers.insert(RETRY_ALLOWANCE, HeaderValue::from(forwarded.retry_allowance));
    headers.insert(DEPTH, HeaderValue::from(forwarded.depth));
    headers.insert(HOPS, HeaderValue::from(u16::from(forwarded.hops)));
    Ok(())
}

/// Reads what travels with a forwarded request from its headers.
///
/// # Errors
///
/// Names the header that is missing or cannot be read.
///
/// ```
/// use http::HeaderMap;
/// use mustardpin_wire::forward;
/// use mustardpin_world::{config::Importance, id::NodeId, request::Forwarded};
///
/// let forwarded = Forwarded {
///     from: NodeId(7),
///     key_id: Some("garage-1".into()),
///     route: "slots".into(),
///     importance: Importance::High,
///     retry_allowance: 2,
///     depth: 1,
///     hops: 1,
/// };
/// let mut headers = HeaderMap::new();
/// forward::encode(&forwarded, &mut headers)?;
/// assert_eq!(forward::decode(NodeId(7), &headers), Ok(forwarded));
/// # Ok::<(), http::header::InvalidHeaderValue>(())
/// ```
pub fn decode(from: NodeId, headers: &HeaderMap) -> Result<Forwarded, Error> {
    Ok(Forwarded {
        from,
        key_id: headers.contains_key(KEY_ID).then(|| text(headers, KEY_ID)).transpose()?,
        route: text(headers, ROUTE)?,
        importance: importance(number(headers, IMPORTANCE)?).ok_or(Error(IMPORTANCE))?,
        retry_allowance: number(headers, RETRY_ALLOWANCE)?,
        depth: number(headers, DEPTH)?,
        hops: number(headers, HOPS)?,
    })
}

/// Puts what a node says of its service into the headers of an answer to a peer.
pub fn encode_pressure(pressure: Pressure, headers: &mut HeaderMap) {
    let Pressure { least_importance, running, queued, limit } = pressure;
    let text = format!("{} {running} {queued} {limit}", least_importance as u16);
    if let Ok(value) = HeaderValue::from_str(&text) {
        headers.insert(PRESSURE, value);
    }
}

/// Reads what a peer says of its service.
///
/// ```
/// use http::HeaderMap;
/// use mustardpin_wire::forward;
/// use mustardpin_world::request::Pressure;
///
/// let pressure = Pressure { running: 3, limit: 8, ..Pressure::default() };
/// let mut headers = HeaderMap::new();
/// forward::encode_pressure(pressure, &mut headers);
/// assert_eq!(forward::decode_pressure(&headers), Some(pressure));
/// ```
pub fn decode_pressure(headers: &HeaderMap) -> Option<Pressure> {
    let mut numbers = headers.get(PRESSURE)?.to_str().ok()?.split(' ').map(str::parse::<u32>);
    let mut next = || numbers.next()?.ok();
    let least_importance = importance(u16::try_from(next()?).ok()?)?;
    Some(Pressure { least_importance, running: next()?, queued: next()?, limit: next()? })
}

/// Puts the number of retries that are given back into the headers of an answer to a peer.
pub fn encode_retries(retries: Option<u32>, headers: &mut HeaderMap) {
    if let Some(retries) = retries {
        headers.insert(RETRIES_LEFT, HeaderValue::from(retries));
    }
}

/// Reads the number of retries that a peer gives back.
///
/// ```
/// use http::HeaderMap;
/// use mustardpin_wire::forward;
///
/// let mut headers = HeaderMap::new();
/// forward::encode_retries(Some(2), &mut headers);
/// assert_eq!(forward::decode_retries(&headers), Some(2));
/// ```
pub fn decode_retries(headers: &HeaderMap) -> Option<u32> {
    number(headers, RETRIES_LEFT).ok()
}

/// Puts the exact time to wait into the headers of a refusal to a peer.
pub fn encode_wait(wait: Option<Millis>, headers: &mut HeaderMap) {
    if let Some(wait) = wait {
        headers.insert(RETRY_AFTER_MS, HeaderValue::from(wait.0));
    }
}

/// The refusal that a peer's answer is; `None` if it is the answer of a target.
///
/// ```
/// use mustardpin_wire::{forward, refusal};
/// use mustardpin_world::refusal::{Reason, Refusal};
///
/// let refused = Refusal::not_run(Reason::Shed);
/// assert_eq!(forward::decode_refusal(refusal::response(refused).headers()), Some(refused));
/// ```
pub fn decode_refusal(headers: &HeaderMap) -> Option<Refusal> {
    let reason = Reason::from_name(headers.get(header::REASON)?.to_str().ok()?)?;
    let outcome = refusal::outcome(headers.get(header::OUTCOME)?)?;
    let retry_after = number(headers, RETRY_AFTER_MS).ok().map(Millis);
    Some(Refusal { reason, outcome, retry_after })
}

fn text(headers: &HeaderMap, name: HeaderName) -> Result<CompactString, Error> {
    let value = headers.get(&name).ok_or_else(|| Error(name.clone()))?;
    CompactString::from_utf8(value.as_bytes()).map_err(|_| Error(name))
}

fn number<T: std::str::FromStr>(headers: &HeaderMap, name: HeaderName) -> Result<T, Error> {
    let value = headers.get(&name).and_then(|value| value.to_str().ok());
    value.and_then(|value| value.parse().ok()).ok_or(Error(name))
}

fn importance(number: u16) -> Option<Importance> {
    Importance::ALL.into_iter().find(|importance| *importance as u16 == number)
}
