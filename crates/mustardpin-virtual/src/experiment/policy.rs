//! The policies that are compared: all mechanisms, all but one mechanism, and common baselines.

use mustardpin_world::{
    Options,
    options::{Discipline, LimitAlgorithm, RetryPolicy},
};

/// How callers and targets retry and cancel.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Callers {
    /// How many times callers, and targets at every hop, send a failed request again.
    pub resends: u32,
    /// Whether targets stop running a request that is cancelled.
    pub cancellable: bool,
}

/// A named combination of options.
#[derive(Debug, Clone)]
pub struct Policy {
    /// The name in the first column of the printed table.
    pub name: &'static str,
    /// The options of all nodes.
    pub options: Options,
    /// The behaviour of callers and targets.
    pub callers: Callers,
}

const CALLERS: Callers = Callers { resends: 5, cancellable: true };

fn variant(name: &'static str, change: impl FnOnce(&mut Options)) -> Policy {
    let mut options = Options::default();
    change(&mut options);
    Policy { name, options, callers: CALLERS }
}

/// Disables all mechanisms: a node only forwards requests.
fn uncontrolled(options: &mut Options) {
    options.limit.algorithm = LimitAlgorithm::Unlimited;
    options.queueing.discipline = Discipline::Fifo;
    options.queueing.drop_late = false;
    options.shedding.early_refusal = false;
    options.shedding.cancellation = false;
    options.retry.policy = RetryPolicy::Unbounded;
}

/// Leaves only a queue with a fixed limit in front of the target.
fn fixed_queue(options: &mut Options, discipline: Discipline) {
    uncontrolled(options);
    options.limit.algorithm = LimitAlgorithm::Fixed(Policy::FIXED_LIMIT);
    options.queueing.discipline = discipline;
}

impl Policy {
    /// The fixed limit of the baselines: the slots of the deep targets in both deployments.
    pub const FIXED_LIMIT: u32 = 20;

    /// Returns the policy with the default options.
    pub fn full() -> Policy {
        variant("whole", |_| {})
    }

    /// Returns the common approaches that the full policy is compared with.
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

    /// Returns the full policy with one mechanism disabled at a time.
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
