//! The roster: the members among which the shards of teams' rates are distributed.
//!
//! All nodes with the same roster compute the same owner for each shard. A member is a node name,
//! so a process that restarts under its name keeps its shards; shards move only when members are
//! added or removed.

use compact_str::CompactString;

use crate::{
    clock::Millis,
    hash,
    id::{Epoch, StoreVersion},
    message::rate_limit::Shard,
    store::{self, Member},
};

/// Member names by data centre, sorted.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Members {
    by_data_centre: Vec<(CompactString, Vec<CompactString>)>,
}

impl From<&[Member]> for Members {
    fn from(members: &[Member]) -> Members {
        let mut sorted: Vec<&Member> = members.iter().collect();
        sorted.sort();
        let mut by_data_centre: Vec<(CompactString, Vec<CompactString>)> = Vec::new();
        for member in sorted {
            let entry = by_data_centre.iter_mut().find(|(name, _)| *name == member.data_centre);
            match entry {
                Some((_, names)) => names.push(member.name.clone()),
                None => {
                    by_data_centre.push((member.data_centre.clone(), vec![member.name.clone()]))
                }
            }
        }
        by_data_centre.sort();
        Members { by_data_centre }
    }
}

impl Members {
    /// Number of members.
    pub fn len(&self) -> usize {
        self.by_data_centre.iter().map(|(_, names)| names.len()).sum()
    }

    /// Whether there are no members.
    pub fn is_empty(&self) -> bool {
        self.by_data_centre.is_empty()
    }

    /// Whether a node name in a data centre is a member.
    pub fn contains(&self, data_centre: &str, name: &str) -> bool {
        let entry = self.by_data_centre.iter().find(|(other, _)| other == data_centre);
        entry.is_some_and(|(_, names)| names.iter().any(|other| other == name))
    }

    /// All members, sorted by data centre and name.
    pub fn iter(&self) -> impl Iterator<Item = Member> {
        self.by_data_centre.iter().flat_map(|(data_centre, names)| {
            names.iter().map(|name| Member { name: name.clone(), data_centre: data_centre.clone() })
        })
    }

    /// The data centre and member name of the owner of a shard of a team's rate.
    ///
    /// A team's shards are assigned to the data centres round-robin, so that each has some of them
    /// when it is cut off from the others.
    ///
    /// ```
    /// use mustardpin_world::{message::rate_limit::Shard, table::roster::Members};
    /// assert!(Members::default().shard_owner("garages", Shard(0)).is_none());
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
        let index = (team % count + u64::from(shard.0)) % count;
        let (data_centre, names) = &self.by_data_centre[index as usize];
        let seed = team ^ u64::from(shard.0).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let owner = names.iter().max_by_key(|name| hash::score(name, seed))?;
        Some((data_centre, owner))
    }
}

/// The roster as last read from the store.
#[derive(Debug, Default)]
pub struct Roster {
    /// Version of the roster's row in the store; zero if it was never written.
    pub version: StoreVersion,
    /// When this node received the roster.
    pub learned_at: Millis,
    /// The latest epoch before which no node uses a roster any more, as of the proposal.
    pub epoch: Epoch,
    /// Whether this node has missed no roster since the one before that another node may have used.
    pub is_continuous: bool,
    /// Whether another program has overwritten the roster's row since.
    pub is_spoilt: bool,
    /// The members.
    pub members: Members,
    /// The members of the earlier rosters that nodes may still have used when this one was written;
    /// `None` if they are not known.
    pub former: Option<Vec<Members>>,
}

impl Roster {
    /// Replaces the roster by another version. `is_recent` is whether this node's data from the
    /// store is too recent for it to have missed another owner of its shards by a restore.
    pub fn replace(
        &mut self,
        version: StoreVersion,
        roster: &store::Roster,
        is_recent: bool,
        now: Millis,
    ) {
        let is_next_epoch = version.epoch.0.checked_sub(1) == Some(self.version.epoch.0);
        self.is_continuous = if self.version.epoch == version.epoch {
            roster.previous == self.version && !self.is_spoilt
        } else {
            is_next_epoch && is_recent
        };
        self.epoch = roster.epoch;
        self.is_spoilt = false;
        self.version = version;
        self.learned_at = now;
        self.members = Members::from(&roster.members[..]);
        // A restore may have lost other rosters.
        let former = roster.former.as_ref().filter(|_| roster.epoch == version.epoch);
        self.former =
            former.map(|former| former.iter().map(|members| Members::from(&members[..])).collect());
    }

    /// Notes that the content of the roster's row can no longer be decoded as of a version. The
    /// members stay until a node writes the row again.
    pub fn mark_spoilt(&mut self, version: StoreVersion) {
        if version > self.version {
            self.version = version;
            self.is_spoilt = true;
            self.former = None;
        }
    }

    /// Whether no node uses a roster with other members any more.
    pub fn is_settled(&self) -> bool {
        self.former.as_ref().is_some_and(Vec::is_empty)
    }
}
