//! Tests of HTTP/1.1 message parsing.

mod body;
mod framing;
mod head;
mod name;
