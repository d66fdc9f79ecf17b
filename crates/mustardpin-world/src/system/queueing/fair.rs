//! Queueing by importance, then by weighted fair shares between teams.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::{
    clock::Millis,
    id::TeamKey,
    system::queueing::{Class, Discipline, Next, QueueEntry},
};

/// What one request of a team of weight one adds to the team's service tag.
const REQUEST_COST: u64 = 1 << 20;

type Team = Option<TeamKey>;

/// The requests of one team in one class.
#[derive(Debug, Default)]
struct Lane {
    queue: VecDeque<QueueEntry>,
    /// The weighted service that the team has received. The team with the lowest tag is next.
    tag: u64,
}

/// The requests of one class, with start-time fair queueing between teams.
#[derive(Debug, Default)]
struct Level {
    lanes: BTreeMap<Team, Lane>,
    /// Teams with queued requests, ordered by their tags.
    ready: BTreeSet<(u64, Team)>,
    /// The tag of the team that was last served, before it was raised for that request.
    virtual_time: u64,
    /// The number of queued requests of all teams.
    len: usize,
}

impl Level {
    fn push(&mut self, entry: QueueEntry) {
        let lane = self.lanes.entry(entry.team).or_default();
        if lane.queue.is_empty() {
            lane.tag = lane.tag.max(self.virtual_time);
            self.ready.insert((lane.tag, entry.team));
        }
        lane.queue.push_back(entry);
        self.len += 1;
    }

    fn pop(&mut self) -> Option<QueueEntry> {
        let (tag, team) = self.ready.pop_first()?;
        let lane = self.lanes.get_mut(&team)?;
        let entry = lane.queue.pop_front()?;
        self.len -= 1;
        self.virtual_time = tag;
        lane.tag = tag + REQUEST_COST / u64::from(entry.weight);
        if !lane.queue.is_empty() {
            self.ready.insert((lane.tag, team));
        }
        Some(entry)
    }

    /// Removes the request that would be served last.
    fn evict(&mut self) -> Option<QueueEntry> {
        let (_, &(tag, team)) = self
            .ready
            .iter()
            .filter_map(|candidate| {
                let queue = &self.lanes.get(&candidate.1)?.queue;
                let ahead = queue.len() as u64 - 1;
                Some((
                    candidate.0 + ahead * REQUEST_COST / u64::from(queue.front()?.weight),
                    candidate,
                ))
            })
            .max()?;
        let lane = self.lanes.get_mut(&team)?;
        let entry = lane.queue.pop_back()?;
        self.len -= 1;
        if lane.queue.is_empty() {
            self.ready.remove(&(tag, team));
        }
        Some(entry)
    }

    fn retain(&mut self, keep: &mut dyn FnMut(&QueueEntry) -> bool) {
        for (&team, lane) in &mut self.lanes {
            let before = lane.queue.len();
            lane.queue.retain(&mut *keep);
            self.len -= before - lane.queue.len();
            if lane.queue.is_empty() {
                self.ready.remove(&(lane.tag, team));
            }
        }
        let virtual_time = self.virtual_time;
        self.lanes.retain(|_, lane| !lane.queue.is_empty() || lane.tag > virtual_time);
    }
}

/// A queue in which the most important requests go first and the teams share the capacity fairly
/// within a class.
#[derive(Debug, Default)]
pub(super) struct Fair {
    levels: BTreeMap<Class, Level>,
}

impl Discipline for Fair {
    fn push(&mut self, entry: QueueEntry) {
        self.levels.entry(entry.class).or_default().push(entry);
    }

    fn evict(&mut self) -> Option<QueueEntry> {
        self.levels.values_mut().find(|level| level.len > 0)?.evict()
    }

    fn pop(&mut self, _now: Millis) -> Option<Next> {
        self.levels.values_mut().rev().find_map(Level::pop).map(Next::Run)
    }

    fn retain(&mut self, keep: &mut dyn FnMut(&QueueEntry) -> bool) {
        for level in self.levels.values_mut() {
            level.retain(keep);
        }
        self.levels.retain(|_, level| level.len > 0 || !level.lanes.is_empty());
    }

    fn len(&self) -> usize {
        self.levels.values().map(|level| level.len).sum()
    }

    fn ahead_of(&self, class: Class) -> usize {
        self.levels.range(class..).map(|(_, level)| level.len).sum()
    }
}
