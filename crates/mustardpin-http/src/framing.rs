//! Message framing: how a receiver finds the end of a body.

use crate::{error::Error, headers::Headers};

/// How the end of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// The message has no body.
    Empty,
    /// The length of the body, in bytes.
    Length(u64),
    /// The body is sent in chunks; an empty chunk ends it.
    Chunked,
    /// The body ends when the connection is closed.
    UntilClose,
}

impl Framing {
    /// Determines the framing of a request.
    ///
    /// # Errors
    ///
    /// If the headers contradict each other or name a transfer coding other than chunked.
    ///
    /// ```
    /// use mustardpin_http::{Headers, framing::Framing};
    ///
    /// let headers: Headers = [("content-length", &b"12"[..])].into_iter().collect();
    /// assert_eq!(Framing::of_request(&headers), Ok(Framing::Length(12)));
    ///
    /// let both = [("content-length", &b"12"[..]), ("transfer-encoding", b"chunked")];
    /// assert!(Framing::of_request(&both.into_iter().collect()).is_err());
    /// ```
    pub fn of_request(headers: &Headers) -> Result<Framing, Error> {
        Ok(declared_framing(headers)?.unwrap_or(Framing::Empty))
    }

    /// Determines the framing of the response to a request with this method.
    ///
    /// # Errors
    ///
    /// The same as for [`Framing::of_request`].
    ///
    /// ```
    /// use mustardpin_http::{Headers, framing::Framing};
    ///
    /// let headers = Headers::default();
    /// assert_eq!(Framing::of_response("GET", 200, &headers), Ok(Framing::UntilClose));
    /// assert_eq!(Framing::of_response("GET", 204, &headers), Ok(Framing::Empty));
    /// ```
    pub fn of_response(method: &str, status: u16, headers: &Headers) -> Result<Framing, Error> {
        let framing = declared_framing(headers)?;
        if method == "HEAD" || matches!(status, 100..200 | 204 | 304) {
            return Ok(Framing::Empty);
        }
        Ok(framing.unwrap_or(Framing::UntilClose))
    }
}

/// The framing that the headers declare, or `None` if they declare none.
fn declared_framing(headers: &Headers) -> Result<Option<Framing>, Error> {
    let mut length: Option<&[u8]> = None;
    let mut coding: Option<&[u8]> = None;
    for (name, value) in headers.iter() {
        if name.eq_ignore_ascii_case("content-length") {
            if length.is_some_and(|other| other != value) {
                return Err(Error::Framing("two lengths"));
            }
            length = Some(value);
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            if coding.is_some() {
                return Err(Error::Framing("two transfer codings"));
            }
            coding = Some(value);
        }
    }
    match (length, coding) {
        (Some(_), Some(_)) => Err(Error::Framing("a length and a transfer coding")),
        (None, Some(coding)) if coding.eq_ignore_ascii_case(b"chunked") => {
            Ok(Some(Framing::Chunked))
        }
        (None, Some(_)) => Err(Error::Framing("an unknown transfer coding")),
        (Some(length), None) => parse_length(length).map(|length| Some(Framing::Length(length))),
        (None, None) => Ok(None),
    }
}

fn parse_length(text: &[u8]) -> Result<u64, Error> {
    let is_number = !text.is_empty() && text.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(text).ok().filter(|_| is_number);
    text.and_then(|text| text.parse().ok()).ok_or(Error::Framing("the length is not a number"))
}
