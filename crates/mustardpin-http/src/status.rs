//! Ranges of status codes.

use std::ops::RangeInclusive;

/// The status codes of responses.
///
/// ```
/// use mustardpin_http::status;
/// assert!(status::VALID.contains(&404) && !status::VALID.contains(&0));
/// ```
pub const VALID: RangeInclusive<u16> = 100..=599;
