//! Which requests a draining node accepts.

use mustardpin_world::{Event, Millis, Options, options::Stop, request::Origin};

use crate::node::{Node, describe};

/// Guards against requests without a key that a node accepts after the stay, for as long as its
/// target still runs another one, and cancels at the end of the grace. A caller's cannot be told
/// from those of the target.
#[test]
fn requests_without_a_key_that_may_outlive_the_grace_are_refused_after_the_stay() {
    let stop = Stop { stay: Millis(2_500), grace: Millis(6_000), closing: Millis(600) };
    let mut node = Node::start(Options { stop, ..Options::default() });
    let mut report = String::new();
    let mut step = |name: &str, commands: &[_]| {
        report.push_str(&format!("{name}: {}\n", describe(commands)));
    };
    node.now = Millis(1_000);
    step("before", &node.send(1, Origin::Caller { key: None }, None));
    node.connect(2);
    let stopped = node.now;
    node.tick(vec![Event::Stop]);
    let unlinked = || Origin::Target { token: None };
    node.now = stopped + Millis(2_400);
    step("in the stay", &node.send(2, unlinked(), None));
    node.now = stopped + Millis(2_600);
    step("after the stay, 9 s", &node.send(3, unlinked(), Some(Millis(9_000))));
    step("after the stay, no timeout", &node.send(4, unlinked(), None));
    step("after the stay, 2 s", &node.send(5, unlinked(), Some(Millis(2_000))));
    node.now = stopped + Millis(4_600);
    step("timeout", &node.tick(Vec::new()));
    node.now = stopped + Millis(5_400);
    step("end", &node.tick(Vec::new()));
    insta::assert_snapshot!(report, @r"
    before: run 1
    in the stay: forward 2
    after the stay, 9 s: refuse 3: leaving, not-run
    after the stay, no timeout: refuse 4: leaving, not-run
    after the stay, 2 s: forward 5
    timeout: cancel 5
    end: cancel 1; cancel 2
    ");
}

/// Guards against a process that ends in the tick in which it cancels requests: their callers get
/// no response.
#[test]
fn cancelled_requests_have_time_to_be_answered_however_short_the_grace() {
    let mut report = String::new();
    for (grace, closing) in [(30_000, 5_000), (6_000, 600), (6_000, 100), (1_000, 600)] {
        let stop = Stop { stay: Millis(500), grace: Millis(grace), closing: Millis(closing) };
        let mut node = Node::start(Options { stop, ..Options::default() });
        let stopped = node.now;
        node.send(1, Origin::Caller { key: None }, Some(Millis(60_000)));
        node.tick(vec![Event::Stop]);
        report.push_str(&format!("grace {grace}, closing {closing}:"));
        while node.now <= stopped + Millis(grace) {
            node.now = node.now + Millis(1);
            let described = describe(&node.tick(Vec::new()));
            if described != "nothing" {
                report.push_str(&format!(" {} {described};", node.now - stopped));
            }
        }
        report.push('\n');
    }
    insta::assert_snapshot!(report, @r"
    grace 30000, closing 5000: 10000 ms cancel 1; 29800 ms exit by 29800;
    grace 6000, closing 600: 5400 ms cancel 1; 5800 ms exit by 5800;
    grace 6000, closing 100: 5900 ms cancel 1; 5934 ms exit by 5934;
    grace 1000, closing 600: 834 ms cancel 1; 890 ms exit by 890;
    ");
}
