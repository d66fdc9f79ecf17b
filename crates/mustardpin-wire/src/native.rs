//! The project's own dialect, documented in docs/CALLERS.md.

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use mustardpin_http::{
    Headers,
    head::{Request, Response},
    write,
};
use mustardpin_world::{
    Event, Millis,
    id::KeyDigest,
    notice::Notice,
    refusal::{Reason, Refusal},
    request::{CallToken, Origin},
};

use crate::{
    dialect::{
        DeliveryHeaders, Dialect, EntryHeaders, ParsedRequest, Port, Report, RequestError,
        ResponseKind,
    },
    header, notice, refusal,
    scrub::Secret,
    target,
};

/// The maximum length of a request id, in bytes.
const MAX_ID_BYTES: usize = 128;

/// The project's own dialect, on a node whose target belongs to one service.
#[derive(Debug, Clone)]
pub struct Native {
    service: CompactString,
}

impl Native {
    /// The dialect of a node whose target belongs to this service.
    ///
    /// ```
    /// let _dialect = mustardpin_wire::native::Native::new("ledger");
    /// ```
    pub fn new(service: impl Into<CompactString>) -> Native {
        Native { service: service.into() }
    }
}

impl Dialect for Native {
    fn read_request(&self, port: Port, head: &Request) -> Result<ParsedRequest, RequestError> {
        let headers = &head.headers;
        let key = bearer(headers)?;
        let secret = key.map(Secret::of).unwrap_or_default();
        if !head.target().starts_with('/') {
            return Err(RequestError::malformed("the request names no path"));
        }
        if secret.is_in_target(head.target()) {
            return Err(RequestError::malformed("the path or the query contains the caller's key"));
        }
        Ok(ParsedRequest {
            origin: origin(port, headers, key)?,
            id: request_id(headers)?,
            host: host(headers)?,
            timeout: timeout(headers)?,
            secret,
        })
    }

    fn forwards_request_header(&self, request: &ParsedRequest, name: &str, value: &[u8]) -> bool {
        !header::is_internal(name)
            && !name.eq_ignore_ascii_case("authorization")
            && !name.eq_ignore_ascii_case(header::REQUEST_TIMEOUT_MS)
            && !request.secret.is_in(name.as_bytes())
            && !request.secret.is_in(value)
    }

    fn write_entry_headers(&self, _entry: EntryHeaders<'_>, _out: &mut Vec<u8>) {}

    fn write_delivery_headers(&self, delivery: DeliveryHeaders<'_>, out: &mut Vec<u8>) {
        let token = format_compact!("{:032x}", delivery.token.0);
        write::header(out, header::CALL, token.as_bytes());
        write::numeric_header(out, header::REQUEST_TIMEOUT_MS, delivery.left.0);
    }

    fn read_response(&self, _id: &str, head: &Response) -> ResponseKind {
        match head.status {
            101 => ResponseKind::Unusable("the target switched protocols"),
            503 if declines(head) => ResponseKind::Declined,
            _ => ResponseKind::Valid { load: None },
        }
    }

    fn read_notice(&self, _id: &str, head: &Response) -> Notice {
        let rates = head.headers.get_all(header::TARGET_RATE_LIMIT);
        notice::read(rates, head.headers.get_all(header::TARGET_LEAVING))
    }

    fn allows_reuse(&self, head: &Response) -> bool {
        // Responses do not name their requests.
        !declines(head)
    }

    fn forwards_response_header(&self, name: &str) -> bool {
        !header::is_internal(name)
    }

    fn write_refusal(&self, refusal: &Refusal, _left: Option<Millis>, out: &mut Vec<u8>) -> Bytes {
        refusal::write(refusal, out)
    }

    fn read_report(&self, head: &Request, body: &[u8]) -> Option<Report> {
        if head.method() != "POST" || head.target() != target::ANNOUNCE_PATH {
            return None;
        }
        Some(match target::read(&self.service, body) {
            Ok(report) => Report {
                event: Some(Event::Target(report)),
                departure: None,
                status: 204,
                body: Bytes::new(),
            },
            Err(error) => {
                Report { event: None, departure: None, status: 422, body: error.to_string().into() }
            }
        })
    }

    fn is_readiness_check(&self, head: &Request) -> bool {
        head.method() == "GET" && head.target() == "/ready"
    }
}

fn declines(head: &Response) -> bool {
    head.headers.get(header::TARGET_OUTCOME) == Some(target::NOT_RUN.as_bytes())
}

fn origin(port: Port, headers: &Headers, key: Option<&str>) -> Result<Origin, RequestError> {
    match (port, single_value(headers, header::CALL)?) {
        (Port::Local, Some(text)) => {
            let token = decode_token(text).ok_or_else(|| invalid_header(header::CALL))?;
            Ok(Origin::Target { token: Some(token) })
        }
        (Port::Callers, Some(_)) => Err(RequestError {
            reason: Reason::CallTokenInvalid,
            problem: "a call token is accepted only from the node's local target".into(),
        }),
        (_, None) => Ok(Origin::Caller { key: key.map(KeyDigest::of) }),
    }
}

/// The key after `Bearer` in the `Authorization` header; `None` without the header, with another
/// scheme or with an empty key.
fn bearer(headers: &Headers) -> Result<Option<&str>, RequestError> {
    let Some(text) = single_value(headers, "authorization")? else { return Ok(None) };
    let Some((scheme, key)) = text.split_once(' ') else { return Ok(None) };
    let key = key.trim();
    Ok((scheme.eq_ignore_ascii_case("bearer") && !key.is_empty()).then_some(key))
}

fn request_id(headers: &Headers) -> Result<Option<CompactString>, RequestError> {
    let Some(text) = single_value(headers, header::REQUEST_ID)? else { return Ok(None) };
    if text.is_empty() || text.len() > MAX_ID_BYTES {
        return Err(invalid_header(header::REQUEST_ID));
    }
    Ok(Some(text.into()))
}

fn host(headers: &Headers) -> Result<CompactString, RequestError> {
    let host = single_value(headers, "host")?.unwrap_or_default();
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    Ok(name.to_ascii_lowercase().into())
}

fn timeout(headers: &Headers) -> Result<Option<Millis>, RequestError> {
    let Some(text) = single_value(headers, header::REQUEST_TIMEOUT_MS)? else { return Ok(None) };
    let timeout = text.parse().map_err(|_| invalid_header(header::REQUEST_TIMEOUT_MS))?;
    Ok(Some(Millis(timeout)))
}

fn decode_token(text: &str) -> Option<CallToken> {
    if text.len() != 32 {
        return None;
    }
    u128::from_str_radix(text, 16).ok().map(CallToken)
}

fn invalid_header(name: &str) -> RequestError {
    RequestError::malformed(format_compact!("the header {name} has an invalid value"))
}

/// The value of a header that may occur only once.
fn single_value<'a>(headers: &'a Headers, name: &str) -> Result<Option<&'a str>, RequestError> {
    let mut values = headers.iter().filter(|(other, _)| other.eq_ignore_ascii_case(name));
    let Some((_, value)) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        let problem = format_compact!("the header {name} occurs more than once");
        return Err(RequestError::malformed(problem));
    }
    std::str::from_utf8(value).map(Some).map_err(|_| invalid_header(name))
}
