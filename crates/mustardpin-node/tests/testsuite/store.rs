//! The platform's client: every failure is a failed reply, in time.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use mustardpin_node::{
    control::{Handle, Input},
    platform::{Http, Store as _},
};
use mustardpin_world::{
    Event,
    id::Revision,
    platform::{Operation, Reply, Ticket},
};
use tokio::runtime::Runtime;

use crate::fake::{Script, Step, Target, text};

const TIMEOUT: Duration = Duration::from_millis(300);

fn answer(status: &str, body: &str) -> Vec<Step> {
    text(&format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n{body}", body.len()))
}

fn ask(steps: Vec<Step>, operation: Operation) -> Reply {
    let script: Script = Arc::new(move |_| steps.clone());
    let platform = Target::start(script);
    let runtime = Runtime::new().expect("threads");
    let (control, inputs) = Handle::channel();
    let mut store = Http::new(platform.address, TIMEOUT, runtime.handle().clone(), control);
    store.ask(Ticket(4), operation);
    let start = Instant::now();
    let Ok(Input::Event(Event::Platform(Ticket(4), reply))) =
        inputs.recv_timeout(Duration::from_secs(5))
    else {
        panic!("a reply should have come");
    };
    assert!(start.elapsed() < Duration::from_secs(2));
    assert_eq!(platform.seen().len(), 1, "the world decides what is asked again");
    reply
}

#[test]
fn replies_and_failures() {
    let changes = || Operation::Changes { after: Revision(3) };
    let transact = || Operation::Transact { guards: Vec::new(), rows: Vec::new() };
    let half = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{\"revision\"";
    insta::assert_debug_snapshot!([
        ("changes", ask(answer("200 OK", r#"{"upto":5,"rows":[]}"#), changes())),
        ("accepted", ask(answer("200 OK", r#"{"revision":6}"#), transact())),
        ("conflict", ask(answer("409 Conflict", ""), transact())),
        ("error", ask(answer("500 Internal Server Error", ""), transact())),
        ("wrong shape", ask(answer("200 OK", "[]"), transact())),
        ("broken", ask([text(half), vec![Step::Close]].concat(), transact())),
        ("closed", ask(vec![Step::Close], transact())),
        ("silent", ask(vec![Step::Wait(3 * TIMEOUT)], transact())),
    ]);
}
