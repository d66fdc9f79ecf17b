//! Headers by which a target states something about itself with each of its responses.

use derive_more::{Display, Error};
use mustardpin_world::notice::{self, Notice};

/// The value of a header by which a target states that it is leaving.
const LEAVING: &[u8] = b"1";

/// The value of a header that states a rate limit: a decimal number of requests per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RateText<'a>(pub &'a [u8]);

/// The text states no rate: it is not a number, or negative, or not finite.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("the text is not a number of requests per second")]
pub struct NotARate;

impl TryFrom<RateText<'_>> for notice::Rate {
    type Error = NotARate;

    /// Reads a rate.
    ///
    /// ```
    /// use mustardpin_wire::notice::{NotARate, RateText};
    /// use mustardpin_world::notice::Rate;
    ///
    /// assert_eq!(Rate::try_from(RateText(b" 2.5 ")), Ok(Rate(2_500)));
    /// assert_eq!(Rate::try_from(RateText(b"soon")), Err(NotARate));
    /// ```
    fn try_from(text: RateText<'_>) -> Result<notice::Rate, NotARate> {
        let text = std::str::from_utf8(text.0).map_err(|_| NotARate)?;
        let rate = text.trim().parse().map_err(|_| NotARate)?;
        notice::Rate::of(rate).ok_or(NotARate)
    }
}

/// Reads the values of the headers that state a rate limit and that the target is leaving. Of
/// several rates the lowest is in force.
///
/// ```
/// use mustardpin_wire::notice;
/// use mustardpin_world::notice::{Notice, Rate, RateLimit};
///
/// let rates: [&[u8]; 3] = [b"80", b"-1", b"40.5"];
/// let notice = notice::read(rates.into_iter(), std::iter::empty());
/// let rate_limit = RateLimit::Stated(Rate(40_500));
/// assert_eq!(notice, Notice { leaving: false, rate_limit });
/// ```
pub fn read<'a>(
    rates: impl Iterator<Item = &'a [u8]>,
    leaving: impl Iterator<Item = &'a [u8]>,
) -> Notice {
    let mut rate_limit = notice::RateLimit::Absent;
    for text in rates.flat_map(|value| value.split(|&byte| byte == b',')) {
        rate_limit = match (rate_limit, notice::Rate::try_from(RateText(text))) {
            (notice::RateLimit::Stated(lowest), Ok(rate)) => {
                notice::RateLimit::Stated(lowest.min(rate))
            }
            (_, Ok(rate)) => notice::RateLimit::Stated(rate),
            (notice::RateLimit::Absent, Err(_)) => notice::RateLimit::Unreadable,
            (known, Err(_)) => known,
        };
    }
    let leaving = leaving.map(<[u8]>::trim_ascii).any(|value| value == LEAVING);
    Notice { leaving, rate_limit }
}
