//! Digests of tenant keys as text.

use compact_str::{CompactString, format_compact};
use mustardpin_world::id::KeyDigest;

use crate::config::Error;

/// Encodes the digest of a key as 64 hexadecimal digits.
///
/// ```
/// use mustardpin_wire::config::{decode_digest, encode_digest};
/// use mustardpin_world::id::KeyDigest;
///
/// let digest = KeyDigest::of("garage-1.s3cret");
/// assert!(decode_digest(&encode_digest(digest))? == digest);
/// # Ok::<(), mustardpin_wire::config::Error>(())
/// ```
pub fn encode_digest(digest: KeyDigest) -> CompactString {
    digest.0.iter().fold(CompactString::default(), |text, byte| format_compact!("{text}{byte:02x}"))
}

/// Decodes the digest of a key from 64 hexadecimal digits.
///
/// # Errors
///
/// [`Error::Digest`] for any other text.
pub fn decode_digest(text: &str) -> Result<KeyDigest, Error> {
    if text.len() != 64 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(Error::Digest);
    }
    let mut digest = [0; 32];
    for (index, byte) in digest.iter_mut().enumerate() {
        let pair = &text[2 * index..2 * index + 2];
        *byte = u8::from_str_radix(pair, 16).map_err(|_| Error::Digest)?;
    }
    Ok(KeyDigest(digest))
}
