//! Ranges of status codes.

use std::ops::RangeInclusive;

/// The status codes of responses.
///
/// ```
/// use mustardpin_http::status;
/// assert!(status::VALID.contains(&404) && !status::VALID.contains(&0));
/// ```
pub const VALID: RangeInclusive<u16> = 100..=599;

/// The status codes of final responses, which interim ones may precede.
///
/// ```
/// use mustardpin_http::status;
/// assert!(status::FINAL.contains(&200) && !status::FINAL.contains(&100));
/// ```
pub const FINAL: RangeInclusive<u16> = 200..=599;
