//! Responses that a peer sends to requests that were forwarded to it.

use std::sync::Arc;

use bytes::Bytes;
use mustardpin_http::{headers, status};
use mustardpin_wire::frame;
use mustardpin_world::request::ForwardEnd;

use crate::traffic::{
    body::{self, Body, Piece},
    exchanges::Exchanges,
    link::{outgoing::OutgoingLink, wire::Error},
    response::CallerResponse,
};

/// Passes a response on to its recipient, or ends its request if it is malformed.
pub(super) fn receive(
    exchanges: &Arc<Exchanges>,
    link: &OutgoingLink,
    head: frame::Response,
    payload: Bytes,
) -> Result<(), Error> {
    let (header_lines, complete_body) = frame::split_payload(payload, head.fields)?;
    let status = head.status;
    if let Err(error) = check(status, &header_lines) {
        reject(exchanges, link, &head, error);
        return Ok(());
    }
    let mut streams = link.streams();
    let Some(stream) = streams.get_mut(&head.stream) else { return Ok(()) };
    let ticket = stream.ticket;
    let body = match head.body {
        frame::Body::Whole => Body::Complete(complete_body),
        frame::Body::Empty => Body::Empty,
        frame::Body::Chunks { length } => {
            let Some(sender) = link.sender() else { return Ok(()) };
            let (writer, streamed) = body::from_peer(sender, head.stream, length);
            stream.response = Some((writer, status));
            drop(streams);
            exchanges.stream_response(
                ticket,
                CallerResponse { status, header_lines, body: Body::Stream(streamed) },
            );
            return Ok(());
        }
    };
    streams.remove(&head.stream);
    drop(streams);
    let response = CallerResponse { status, header_lines, body };
    exchanges.forward_ended(ticket, ForwardEnd::Answered { status }, head.retries, Some(response));
    Ok(())
}

/// Checks a response that is passed on as it comes.
fn check(status: u16, header_lines: &[u8]) -> Result<(), mustardpin_http::Error> {
    if !status::FINAL.contains(&status) {
        return Err(mustardpin_http::Error::Status(status));
    }
    headers::check_lines(header_lines)
}

/// Ends a request whose response cannot be passed on. The peer may still be sending its body.
fn reject(
    exchanges: &Exchanges,
    link: &OutgoingLink,
    head: &frame::Response,
    cause: mustardpin_http::Error,
) {
    let ticket = link.streams().get(&head.stream).map(|stream| stream.ticket);
    if let Some(ticket) = ticket
        && link.cancel(head.stream)
    {
        exchanges.forward_unusable(ticket, &link.announcement.name, head.retries, cause);
    }
}

/// Forwards a piece of a streamed response. The peer sends a piece only if it has a credit, so the
/// channel has capacity for it.
pub(super) async fn receive_chunk(
    exchanges: &Exchanges,
    link: &OutgoingLink,
    stream_id: u32,
    last: bool,
    bytes: Bytes,
) {
    let writer = {
        let streams = link.streams();
        let stream = streams.get(&stream_id);
        stream.and_then(|stream| stream.response.clone().map(|response| (stream.ticket, response)))
    };
    let Some((ticket, (writer, status))) = writer else { return };
    if !last {
        if writer.send(Piece::Data(bytes)).await.is_err() {
            exchanges.caller_gone(ticket);
        }
        return;
    }
    link.streams().remove(&stream_id);
    if let Err(error) = headers::check_lines(&bytes) {
        // The writer is dropped, so the caller's response is visibly truncated.
        exchanges.forward_unusable(ticket, &link.announcement.name, 0, error);
        return;
    }
    // Fails if the caller has disconnected, which has been reported already.
    let _ = writer.send(Piece::End(bytes)).await;
    exchanges.forward_ended(ticket, ForwardEnd::Answered { status }, 0, None);
}
