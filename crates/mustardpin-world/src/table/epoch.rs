//! The epoch a node is in, and how it came there.

use std::collections::VecDeque;

use crate::{
    clock::Millis,
    id::NodeId,
    message::epoch::{Epoch, Step},
};

/// How many steps are kept for peers that are behind.
const STEPS: usize = 16;

/// The epoch a node is in, and how it came there.
#[derive(Debug, Default)]
pub struct Standing {
    /// The epoch the node is in.
    pub current: Epoch,
    /// The epoch before it, as far as the node knows.
    pub previous: Epoch,
    /// When the node adopted the current epoch.
    pub adopted: Option<Millis>,
    /// The last steps, in order, without a gap, up to the current epoch.
    pub steps: VecDeque<Step>,
}

impl Standing {
    /// Whether what the current epoch gives a node is surely no longer held by another.
    ///
    /// Those who lose something stop once they hear of the epoch, or within the window by losing
    /// freshness; twice the window covers both, and the way of the news. The first epoch of a
    /// fleet takes nothing from anyone.
    ///
    /// ```
    /// use mustardpin_world::{Millis, table::epoch::Standing};
    /// assert!(!Standing::default().is_settled(Millis(9_000), Millis(2_500)));
    /// ```
    pub fn is_settled(&self, now: Millis, window: Millis) -> bool {
        if self.current.number == 1 {
            return true;
        }
        self.adopted.is_some_and(|adopted| now - adopted >= window + window)
    }

    /// Whether a node may use something that the current epoch gives it, knowing whether the
    /// previous epoch gave it to the same node.
    ///
    /// ```
    /// use mustardpin_world::{Millis, table::epoch::Standing};
    /// assert!(!Standing::default().may_use(true, Millis(9_000), Millis(2_500)));
    /// ```
    pub fn may_use(&self, held_before: bool, now: Millis, window: Millis) -> bool {
        let follows = self.previous.number > 0 && self.previous.number + 1 == self.current.number;
        (held_before && follows) || self.is_settled(now, window)
    }

    /// Whether the node is a member of the current epoch.
    pub fn contains(&self, node: NodeId) -> bool {
        self.current.contains(node)
    }

    /// Moves to a later epoch. Returns `false` if it is not later.
    pub(crate) fn adopt(&mut self, epoch: Epoch, now: Millis) -> bool {
        if epoch.number <= self.current.number {
            return false;
        }
        if epoch.number > self.current.number + 1 {
            self.steps.clear();
        }
        self.steps.push_back(step(&self.current, &epoch));
        if self.steps.len() > STEPS {
            self.steps.pop_front();
        }
        self.previous = std::mem::replace(&mut self.current, epoch);
        self.adopted = Some(now);
        true
    }

    /// The steps from an earlier epoch to the current one, if they are all known.
    pub(crate) fn steps_after(&self, number: u64) -> Option<Vec<Step>> {
        let steps: Vec<Step> =
            self.steps.iter().filter(|step| step.number > number).cloned().collect();
        let whole = number > 0 && steps.len() as u64 == self.current.number - number;
        whole.then_some(steps)
    }
}

/// The epoch that a step leads to, if it starts from this one.
pub(crate) fn follow(epoch: &Epoch, step: Step) -> Option<Epoch> {
    if step.number != epoch.number + 1 {
        return None;
    }
    let mut members = epoch.members.clone();
    members.retain(|member| !step.removed.contains(&member.node));
    members.extend(step.added);
    members.sort_by_key(|member| member.node);
    Some(Epoch { number: step.number, revision: step.revision, members })
}

fn step(from: &Epoch, to: &Epoch) -> Step {
    let removed = from.members.iter().filter(|member| !to.contains(member.node));
    let added = to.members.iter().filter(|member| !from.contains(member.node));
    Step {
        number: to.number,
        revision: to.revision,
        removed: removed.map(|member| member.node).collect(),
        added: added.cloned().collect(),
    }
}
