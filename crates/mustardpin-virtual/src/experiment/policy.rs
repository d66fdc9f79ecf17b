//! The policies compared: the whole, the whole without one part, and the usual ways.

use mustardpin_world::{
    Options,
    options::{Discipline, LimitAlgorithm, RetryPolicy},
};

/// How callers and targets behave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Callers {
    /// How often callers, and targets at every hop, send a failed request again.
    pub resends: u32,
    /// Whether targets stop work that is cancelled.
    pub cancellable: bool,
}

/// Options with a name for the table.
#[derive(Debug, Clone)]
pub struct Policy {
    /// The name of the row.
    pub name: &'static str,
    /// What the nodes do.
    pub options: Options,
    /// What callers and targets do.
    pub callers: Callers,
}

const CALLERS: Callers = Callers { resends: 5, cancellable: true };

fn variant(name: &'static str, change: impl FnOnce(&mut Options)) -> Policy {
    let mut options = Options::default();
    change(&mut options);
    Policy { name, options, callers: CALLERS }
}

/// A node that only passes requests on.
fn uncontrolled(options: &mut Options) {
    options.limit.algorithm = LimitAlgorithm::Unlimited;
    options.queueing.discipline = Discipline::Fifo;
    options.queueing.drop_late = false;
    options.shedding.early_refusal = false;
    options.shedding.cancellation = false;
    options.retry.policy = RetryPolicy::Unbounded;
}

/// A queue with a fixed limit in front of the target, and nothing else.
fn fixed_queue(options: &mut Options, discipline: Discipline) {
    uncontrolled(options);
    options.limit.algorithm = LimitAlgorithm::Fixed(Policy::FIXED_LIMIT);
    options.queueing.discipline = discipline;
}

impl Policy {
    /// The fixed limit of the baselines: the slots of the deep targets in both deployments.
    pub const FIXED_LIMIT: u32 = 20;

    /// Everything as shipped.
    pub fn full() -> Policy {
        variant("whole", |_| {})
    }

    /// The usual ways.
    pub fn baselines() -> Vec<Policy> {
        let mut none = variant("no control", uncontrolled);
        none.callers.cancellable = false;
        vec![
            none,
            variant("fixed limit, FIFO", |options| fixed_queue(options, Discipline::Fifo)),
            variant("CoDel queue", |options| fixed_queue(options, Discipline::Codel)),
            variant("local retry budgets", |options| {
                uncontrolled(options);
                options.retry.policy = RetryPolicy::Ratio;
            }),
        ]
    }

    /// The whole without one part at a time.
    pub fn ablations() -> Vec<Policy> {
        vec![
            variant("without limit", |options| {
                options.limit.algorithm = LimitAlgorithm::Unlimited;
            }),
            variant("without adaptive limit", |options| {
                options.limit.algorithm = LimitAlgorithm::Fixed(Policy::FIXED_LIMIT);
            }),
            variant("without fair queue", |options| {
                options.queueing.discipline = Discipline::Fifo;
            }),
            variant("without dropping late", |options| options.queueing.drop_late = false),
            variant("without early refusal", |options| options.shedding.early_refusal = false),
            variant("without chain allowance", |options| {
                options.retry.policy = RetryPolicy::Ratio;
            }),
            variant("without retry control", |options| {
                options.retry.policy = RetryPolicy::Unbounded;
            }),
            variant("without cancellation", |options| options.shedding.cancellation = false),
        ]
    }
}
