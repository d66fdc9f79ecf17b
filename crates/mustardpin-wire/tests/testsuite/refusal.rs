//! Refusals as callers receive them.

use std::fmt::Write as _;

use mustardpin_wire::refusal;
use mustardpin_world::{
    Millis,
    refusal::{Outcome, Reason, Refusal},
};

/// The statuses that guarantee to callers that the request has not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

#[test]
fn headers_and_body_of_a_refusal() {
    let refusal = Refusal::not_run(Reason::QueueFull).after(Millis(1_200));
    let mut fields = Vec::new();
    let body = refusal::write(&refusal, &mut fields);
    let fields = String::from_utf8_lossy(&fields);
    insta::assert_snapshot!(format!("{fields}\n{}", String::from_utf8_lossy(&body)));
}

#[test]
fn statuses_of_all_reasons() {
    let mut table = String::new();
    for &reason in Reason::ALL {
        let [not_run, unknown, run] = [Outcome::NotRun, Outcome::Unknown, Outcome::Run]
            .map(|outcome| Refusal { outcome, ..Refusal::not_run(reason) }.status());
        assert!(
            !NOT_RUN_STATUSES.contains(&unknown) && !NOT_RUN_STATUSES.contains(&run),
            "{reason}"
        );
        writeln!(table, "{reason}: {not_run}, if it may have run {unknown}").unwrap();
    }
    insta::assert_snapshot!(table);
}
