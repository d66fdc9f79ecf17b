//! Encodes a request for the local target.

use mustardpin_http::write;
use mustardpin_wire::dialect::{DeliveryHeaders, EntryHeaders};
use mustardpin_world::request::Run;

use crate::traffic::{exchange::Outbound, exchanges::Exchanges, target::Endpoint};

/// How the body of a request is framed.
#[derive(Clone, Copy)]
pub(super) enum BodyFraming<'a> {
    /// Complete, and sent together with the head.
    Complete(&'a [u8]),
    /// Streamed, with this length in bytes.
    Length(u64),
    /// Streamed with chunked transfer coding.
    Chunked,
}

/// Encodes the request, without its body if that is streamed.
pub(super) fn encode(
    exchanges: &Exchanges,
    run: &Run,
    request: &Outbound,
    endpoint: &Endpoint,
    body: BodyFraming<'_>,
) -> Vec<u8> {
    let mut out = Vec::with_capacity(512 + request.header_lines.len());
    write::request_line(&mut out, &request.method, &request.target);
    out.extend_from_slice(&request.header_lines);
    if !request.is_from_peer {
        let entry = EntryHeaders { caller_service: &exchanges.service, team: run.team.as_deref() };
        exchanges.dialect.write_entry_headers(entry, &mut out);
    }
    let left = run.deadline - exchanges.clock.now();
    let delivery = DeliveryHeaders { instance: &endpoint.instance, token: run.token, left };
    exchanges.dialect.write_delivery_headers(delivery, &mut out);
    match body {
        BodyFraming::Chunked => write::header(&mut out, "transfer-encoding", b"chunked"),
        BodyFraming::Length(length) => write::numeric_header(&mut out, "content-length", length),
        BodyFraming::Complete([]) if matches!(&*request.method, "GET" | "HEAD" | "DELETE") => {}
        BodyFraming::Complete(bytes) => {
            write::numeric_header(&mut out, "content-length", bytes.len() as u64)
        }
    }
    out.extend_from_slice(b"\r\n");
    if let BodyFraming::Complete(bytes) = body {
        out.extend_from_slice(bytes);
    }
    out
}
