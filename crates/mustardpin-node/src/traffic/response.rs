//! Answers on their way to callers.

use bytes::Bytes;
use mustardpin_wire::dialect::Dialect;
use mustardpin_world::{Millis, refusal::Refusal};

use crate::traffic::body::Body;

/// An answer: a target's, or the system's own.
#[derive(Debug)]
pub(super) struct CallerResponse {
    /// The HTTP status code.
    pub(super) status: u16,
    /// The fields, as lines, without those that concern the connection or the length of the body.
    pub(super) fields: Bytes,
    /// The body.
    pub(super) body: Body,
}

impl CallerResponse {
    /// The answer of a refusal. `left` is the time that the caller still waits.
    pub(super) fn refusal(
        dialect: &dyn Dialect,
        refusal: &Refusal,
        left: Option<Millis>,
    ) -> CallerResponse {
        let mut fields = Vec::new();
        let body = dialect.write_refusal(refusal, left, &mut fields);
        CallerResponse { status: refusal.status(), fields: fields.into(), body: Body::Whole(body) }
    }

    /// An answer without fields.
    pub(super) fn plain(status: u16, body: Bytes) -> CallerResponse {
        CallerResponse { status, fields: Bytes::new(), body: Body::Whole(body) }
    }
}
