//! The roster: the places among which the parts of teams' rates are dealt out.
//!
//! Every node that knows the same roster finds the same keeper for each part. A process that is
//! killed and started again in its place keeps its parts, so only places that come or go for good
//! move any.

use compact_str::CompactString;

use crate::{
    clock::Millis,
    hash,
    id::StoreVersion,
    message::rate_limit::Shard,
    store::{self, Member},
};

/// The roster as this node knows it.
#[derive(Debug, Default)]
pub struct Roster {
    /// The version of its row in the store; zero if it was never written.
    pub version: StoreVersion,
    /// When this node learned of it.
    pub learned_at: Millis,
    /// Whether it was there when this node first read the store, rather than changed since.
    pub is_settled: bool,
    /// The members by data centre, each list in the order of names.
    by_data_centre: Vec<(CompactString, Vec<CompactString>)>,
}

impl Roster {
    /// Takes another roster in.
    pub fn replace(&mut self, version: StoreVersion, roster: &store::Roster, now: Millis) {
        self.is_settled = self.version == StoreVersion(0);
        self.version = version;
        self.learned_at = now;
        self.by_data_centre.clear();
        let mut members: Vec<&Member> = roster.members.iter().collect();
        members.sort();
        for member in members {
            let place =
                self.by_data_centre.iter_mut().find(|(name, _)| *name == member.data_centre);
            match place {
                Some((_, names)) => names.push(member.name.clone()),
                None => {
                    let names = vec![member.name.clone()];
                    self.by_data_centre.push((member.data_centre.clone(), names));
                }
            }
        }
        self.by_data_centre.sort();
    }

    /// How many members there are.
    pub fn len(&self) -> usize {
        self.by_data_centre.iter().map(|(_, names)| names.len()).sum()
    }

    /// Whether there are no members.
    pub fn is_empty(&self) -> bool {
        self.by_data_centre.is_empty()
    }

    /// Whether this place is a member.
    pub fn contains(&self, data_centre: &str, name: &str) -> bool {
        let place = self.by_data_centre.iter().find(|(other, _)| other == data_centre);
        place.is_some_and(|(_, names)| names.iter().any(|other| other == name))
    }

    /// All members.
    pub fn members(&self) -> impl Iterator<Item = Member> {
        self.by_data_centre.iter().flat_map(|(data_centre, names)| {
            names.iter().map(|name| Member { name: name.clone(), data_centre: data_centre.clone() })
        })
    }

    /// The data centre and the name of the place that keeps a part of a team's rate.
    ///
    /// The parts of a team are dealt out to the data centres in turn, so that each has some of
    /// them when it is cut off from the others.
    ///
    /// ```
    /// use mustardpin_world::{message::rate_limit::Shard, table::roster::Roster};
    /// assert!(Roster::default().shard_owner("garages", Shard(0)).is_none());
    /// ```
    pub fn shard_owner(
        &self,
        team: &str,
        shard: Shard,
    ) -> Option<(&CompactString, &CompactString)> {
        let team = hash::of_bytes(team.as_bytes());
        let count = self.by_data_centre.len() as u64;
        if count == 0 {
            return None;
        }
        let turn = (team % count + u64::from(shard.0)) % count;
        let (data_centre, names) = &self.by_data_centre[turn as usize];
        let part = team ^ u64::from(shard.0).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let keeper = names.iter().max_by_key(|name| hash::score(name, part))?;
        Some((data_centre, keeper))
    }
}
