//! The digest that identifies client retries of a request.

use mustardpin_world::request::Fingerprint;
use rapidhash::v3::rapidhash_v3;

/// The digest of a request's method, target and body, and of the service that sent it. It is the
/// same on every node.
///
/// ```
/// use mustardpin_wire::fingerprint;
///
/// let one = fingerprint::of("search", "POST", "/slots?day=2", b"a");
/// assert_eq!(one, fingerprint::of("search", "POST", "/slots?day=2", b"a"));
/// assert_ne!(one, fingerprint::of("search", "POST", "/slots?day=2", b"b"));
/// ```
pub fn of(caller: &str, method: &str, target: &str, body: &[u8]) -> Fingerprint {
    let parts = [caller.as_bytes(), method.as_bytes(), target.as_bytes(), body];
    let mut digests = [0; 32];
    for (index, part) in parts.iter().enumerate() {
        digests[8 * index..8 * index + 8].copy_from_slice(&rapidhash_v3(part).to_be_bytes());
    }
    Fingerprint(rapidhash_v3(&digests))
}
