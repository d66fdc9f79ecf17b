//! A request as it goes on to a target or a peer: without keys, and without what belongs to the
//! connection it came over.

use http::{
    HeaderMap, HeaderValue, Method, Request, Uri, header, request::Parts, uri::PathAndQuery,
};
use mustardpin_wire::{
    forward, header as names, request,
    scrub::{self, Secret},
};
use mustardpin_world::{
    Millis,
    request::{Forward, Run},
};

use crate::traffic::payload::{Outgoing, Payload};

/// Stands in for the host where a request came without one.
const DEFAULT_HOST: HeaderValue = HeaderValue::from_static("localhost");
const TRAILERS: HeaderValue = HeaderValue::from_static("trailers");

/// A request as it goes on.
pub(super) struct Outbound {
    method: Method,
    target: PathAndQuery,
    headers: HeaderMap,
    payload: Payload,
    secret: Secret,
}

impl Outbound {
    /// Takes out of a request what must not go on.
    pub(super) fn new(parts: Parts, payload: Payload, secret: Secret) -> Outbound {
        let Parts { method, uri, mut headers, .. } = parts;
        let host = host(&uri, &headers);
        scrub::remove_key(&mut headers, &secret);
        scrub::remove_hop_by_hop(&mut headers);
        scrub::remove_internal(&mut headers);
        headers.remove(names::REQUEST_TIMEOUT_MS);
        if payload.is_kept() {
            // The length is that of the bytes kept.
            headers.remove(header::CONTENT_LENGTH);
        }
        headers.insert(header::TE, TRAILERS);
        if !secret.is_in(host.as_bytes()) {
            headers.insert(header::HOST, host);
        }
        let target = uri.into_parts().path_and_query;
        let target = target.unwrap_or_else(|| PathAndQuery::from_static("/"));
        Outbound { method, target, headers, payload, secret }
    }

    /// The request for the own target, with the time left to it; `None` if its body was passed on
    /// already and cannot be sent again.
    pub(super) fn for_target(&mut self, run: &Run, left: Millis) -> Option<Request<Outgoing>> {
        let token = request::encode_token(run.token);
        let mut request = self.request(Uri::from(self.target.clone()), left)?;
        let token = HeaderValue::from_str(&token).ok()?;
        request.headers_mut().insert(names::CALL, token);
        Some(request)
    }

    /// The request for a peer, with the time left to it; `None` as above.
    pub(super) fn for_peer(
        &mut self,
        forward: &Forward,
        left: Millis,
    ) -> Option<Request<Outgoing>> {
        let uri = Uri::builder()
            .scheme("http")
            .authority(forward.address.as_str())
            .path_and_query(self.target.clone())
            .build()
            .ok()?;
        let mut request = self.request(uri, left)?;
        forward::encode(&forward.forwarded, request.headers_mut()).ok()?;
        Some(request)
    }

    fn request(&mut self, uri: Uri, left: Millis) -> Option<Request<Outgoing>> {
        let mut request = Request::new(self.payload.send(&self.secret)?);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = uri;
        *request.headers_mut() = self.headers.clone();
        request.headers_mut().insert(names::REQUEST_TIMEOUT_MS, HeaderValue::from(left.0));
        Some(request)
    }
}

fn host(uri: &Uri, headers: &HeaderMap) -> HeaderValue {
    let authority = uri.authority().and_then(|text| HeaderValue::from_str(text.as_str()).ok());
    headers.get(header::HOST).cloned().or(authority).unwrap_or(DEFAULT_HOST)
}
