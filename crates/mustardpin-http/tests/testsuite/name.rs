//! Names of headers with any byte.

/// Names with any byte at any of their places, each with whether it makes a valid header. The lengths
/// are around the sizes of the blocks in which a parser may read them.
pub fn names_with_any_byte() -> impl Iterator<Item = (Vec<u8>, bool)> {
    let lengths = [1, 2, 3, 4, 7, 8, 9, 15, 16, 17, 31, 32, 33, 63, 64, 65, 70];
    let places = lengths.into_iter().flat_map(|length| (0..length).map(move |at| (length, at)));
    places.flat_map(|(length, at)| {
        (0..=u8::MAX).map(move |byte| {
            let mut name = vec![b'a'; length];
            name[at] = byte;
            // A colon ends the name.
            (name, is_token(byte) || (byte == b':' && at > 0))
        })
    })
}

fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}
