//! Tests of HTTP/1.1 messages.

mod body;
mod framing;
mod head;
