//! Decoding of bodies.

use std::fmt::Write as _;

use bytes::{Bytes, BytesMut};
use mustardpin_http::{
    Error,
    body::{Body, Buffer, Piece},
    framing::Framing,
};
use proptest::prelude::*;

use crate::name::names_with_any_byte;

/// Decodes a body that is received in parts. Returns its bytes and the bytes after it.
fn decode<'a>(
    framing: Framing,
    parts: impl Iterator<Item = &'a [u8]>,
) -> Result<(Vec<u8>, Vec<u8>), Error> {
    let mut body = Body::from(framing);
    let mut buffer = BytesMut::new();
    let mut bytes = Vec::new();
    for part in parts {
        buffer.extend_from_slice(part);
        while let Piece::Data(data) = body.take(&mut buffer)? {
            bytes.extend_from_slice(&data);
        }
    }
    body.end_of_stream()?;
    Ok((bytes, buffer.to_vec()))
}

#[test]
fn chunked_bodies_follow_the_grammar() {
    let cases = [
        "5\r\nhello\r\n0\r\n\r\nnext",
        "5;name=value\r\nhello\r\n0\r\n\r\n",
        "5;name=\nvalue\r\nhello\r\n0\r\n\r\n",
        "5;\n\r\nhello\r\n0\r\n\r\n",
        "5;name=\rvalue\r\nhello\r\n0\r\n\r\n",
        "5;\u{0}\u{1}=\u{7f}\r\nhello\r\n0\r\n\r\n",
        "5 \n\r\nhello\r\n0\r\n\r\n",
        "0;\n\r\n\r\n",
        "0\r\nTrailer: x\r\n\r\nnext",
        "5\r\nhello0\r\n\r\n",
        "5\r\nhello\r\n0\r\n",
        "5\r\nhel",
        "-1\r\n\r\n",
        "x\r\n",
        "ffffffffffffffffff\r\n",
        "5\nhello\n0\n\n",
        "0\r\n\n",
        "0\r\nTrailer: x\n\r\n",
        "0\r\n\nTrailer: x\r\n\r\n",
        "5\r\nhello\r\n\r\n\r\n",
        "5\r\nhello\r\n;name=value\r\n\r\n",
        "5\r\nhello\r\n \r\n\r\n",
        "\r\n\r\n",
        "\r",
        " 5\r\nhello\r\n0\r\n\r\n",
    ];
    let mut table = String::new();
    for case in cases {
        let decoded =
            decode(Framing::Chunked, [case.as_bytes()].into_iter()).map(|(body, rest)| {
                (String::from_utf8(body).unwrap(), String::from_utf8(rest).unwrap())
            });
        writeln!(table, "{case:?}\n  {decoded:?}").unwrap();
    }
    insta::assert_snapshot!(table);
}

#[test]
fn a_truncated_body_is_an_error() {
    let short = decode(Framing::Length(5), [&b"hell"[..]].into_iter());
    assert_eq!(short, Err(Error::Truncated));
    let until_close = decode(Framing::UntilClose, [&b"hell"[..]].into_iter());
    assert_eq!(until_close, Ok((b"hell".to_vec(), Vec::new())));
}

proptest! {
    /// The decoded body does not depend on how its bytes are split between reads, and the bytes
    /// after it stay in the buffer.
    #[test]
    fn a_body_decodes_the_same_however_it_is_split(
        chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 1..40), 0..6),
        size in 1_usize..20,
    ) {
        let mut text = Vec::new();
        for chunk in &chunks {
            text.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
            text.extend_from_slice(chunk);
            text.extend_from_slice(b"\r\n");
        }
        text.extend_from_slice(b"0\r\n\r\nGET");
        let (body, rest) = decode(Framing::Chunked, text.chunks(size)).unwrap();
        prop_assert_eq!(body, chunks.concat());
        prop_assert_eq!(rest, b"GET".to_vec());
    }
}

/// Guards against a response that broke off and looks complete, for a body and its trailers that end
/// at any byte.
#[test]
fn every_prefix_of_a_chunked_body_is_truncated() {
    let texts = [
        "5\r\nhello\r\n0\r\n\r\n",
        "5;name=value\r\nhello\r\n10\r\n0123456789abcdef\r\n0\r\nTrailer: x\r\nMore: y\r\n\r\n",
        "000\r\n\r\n",
    ];
    for text in texts {
        for end in 0..text.len() {
            let decoded = decode(Framing::Chunked, [&text.as_bytes()[..end]].into_iter());
            assert_eq!(decoded, Err(Error::Truncated), "{:?}", &text[..end]);
        }
        assert!(decode(Framing::Chunked, [text.as_bytes()].into_iter()).is_ok(), "{text:?}");
    }
}

/// Guards against a byte in the name of a trailer that ends the body early, so that the rest of the
/// trailers stays on the connection.
#[test]
fn names_of_trailers_with_other_bytes_than_those_of_tokens_are_refused() {
    for (name, is_valid) in names_with_any_byte() {
        let text = [b"1\r\nx\r\n0\r\nx: 1\r\n", &name[..], b": x\r\n\r\n"].concat();
        let decoded = decode(Framing::Chunked, [&text[..]].into_iter());
        assert_eq!(decoded.is_ok(), is_valid, "{:?}", name.escape_ascii().to_string());
    }
}

/// Guards against a body in one-byte chunks that takes many times its bytes, as each piece is kept for
/// itself with the receive buffer that it lies in.
#[test]
fn many_small_pieces_take_no_more_than_twice_their_bytes() {
    const LENGTH: usize = 256 * 1024;
    const READ_BYTES: usize = 8 * 1024;
    let mut buffer = Buffer::default();
    let mut largest = 0.0_f64;
    while buffer.len() < LENGTH {
        let mut read = BytesMut::from("1\r\nx\r\n".repeat(READ_BYTES / 6).as_str());
        let mut body = Body::from(Framing::Chunked);
        while let Ok(Piece::Data(piece)) = body.take(&mut read) {
            buffer.push(piece);
            largest = largest.max(buffer.capacity() as f64 / buffer.len().max(64) as f64);
        }
    }
    assert!(largest <= 2.0, "{largest} times the bytes");
    assert!(Bytes::from(buffer).iter().all(|byte| *byte == b'x'));
}

/// Guards against a body of a known length that counts against a limit with twice its bytes.
#[test]
fn a_body_of_a_known_length_takes_no_more_than_its_bytes() {
    const LENGTH: usize = 250_000;
    let mut buffer = Buffer::with_length(LENGTH);
    while buffer.len() < LENGTH {
        buffer.push(vec![0; 1_000].into());
        assert!(buffer.capacity() <= LENGTH, "{} bytes", buffer.capacity());
    }
}
