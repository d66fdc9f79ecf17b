//! The connections of callers and of the local target on one listener.
//!
//! Their number is limited. Idle connections make room for new ones: the caller with the most
//! connections loses the one that has been idle for longest. A connection with a request in progress
//! or partly received is never closed for that, unless the head of the request is overdue.

use std::{
    collections::{BTreeSet, HashMap},
    net::IpAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use mustardpin_world::log::{Entry, Level};
use slotmap::SlotMap;
use tokio::sync::Notify;

/// This fraction of the limit is left for the connections of the local target.
const TARGET_SHARE_DIVISOR: usize = 8;
/// When less than this fraction of the places is free, each new connection closes an idle one, so
/// that a burst finds room.
const SPARE_DIVISOR: usize = 16;
/// While connections are closing, there may be more than the limit by this fraction of it.
const CLOSING_DIVISOR: usize = 4;
/// A head that has not been received in full after this time is overdue when places run out.
const HEAD_PATIENCE: Duration = Duration::from_secs(1);
/// The minimum time between two log entries about a full listener.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

slotmap::new_key_type! {
    /// Identifies a row of the table of connections.
    struct ConnectionKey;
}

/// Who made a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Owner {
    /// The caller at this address.
    Caller(IpAddr),
    /// The local target.
    Target,
}

/// What a connection is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Activity {
    /// No request is in progress or partly received.
    Idle,
    /// The head of a request is being received.
    Receiving,
    /// A request is in progress, or its body is being received.
    Busy,
}

/// A connection.
#[derive(Debug)]
struct Row {
    owner: Owner,
    activity: Activity,
    /// When the activity began.
    since: Instant,
    evict: Arc<Notify>,
    is_evicted: bool,
}

/// The connections of one owner.
#[derive(Debug, Default)]
struct Group {
    count: usize,
    /// Those that are idle, the longest idle first.
    idle: BTreeSet<(Instant, ConnectionKey)>,
    /// Those whose head is being received, the longest first.
    receiving: BTreeSet<(Instant, ConnectionKey)>,
}

impl Group {
    fn list(&mut self, activity: Activity) -> Option<&mut BTreeSet<(Instant, ConnectionKey)>> {
        match activity {
            Activity::Idle => Some(&mut self.idle),
            Activity::Receiving => Some(&mut self.receiving),
            Activity::Busy => None,
        }
    }

    /// The connection to close first.
    fn candidate(&self, now: Instant) -> Option<ConnectionKey> {
        let overdue = self.receiving.first();
        let overdue = overdue.filter(|(since, _)| now.duration_since(*since) >= HEAD_PATIENCE);
        overdue.or(self.idle.first()).map(|(_, key)| *key)
    }
}

#[derive(Debug, Default)]
struct State {
    rows: SlotMap<ConnectionKey, Row>,
    groups: HashMap<Owner, Group>,
    /// Connections that were told to close.
    closing: usize,
    /// Connections that were told to close, and that were turned away, since the last log entry.
    evicted: u64,
    turned_away: u64,
    logged_at: Option<Instant>,
}

/// The table of connections of one listener.
#[derive(Debug)]
pub(super) struct Connections {
    capacity: usize,
    state: Mutex<State>,
}

/// A place in the table, which the connection gives up when it ends.
#[derive(Debug)]
pub(super) struct Place {
    connections: Arc<Connections>,
    key: ConnectionKey,
    evict: Arc<Notify>,
}

impl Connections {
    /// An empty table for this many connections.
    pub(super) fn new(capacity: usize) -> Arc<Connections> {
        Arc::new(Connections { capacity, state: Mutex::default() })
    }

    /// Adds a connection, and tells another one to close if places run out. `None` if there is no
    /// place and no idle connection. The entry is for the log.
    pub(super) fn open(
        self: &Arc<Connections>,
        owner: Owner,
        now: Instant,
    ) -> (Option<Place>, Option<Entry>) {
        let mut state = self.state();
        let of_target = state.groups.get(&Owner::Target).map_or(0, |group| group.count);
        let reserve = self.capacity / TARGET_SHARE_DIVISOR;
        let is_reserved = owner == Owner::Target && of_target < reserve;
        let (open, limit) = match owner {
            Owner::Target => (state.rows.len(), self.capacity),
            Owner::Caller(_) => (state.rows.len() - of_target, self.capacity - reserve),
        };
        let used = open.saturating_sub(state.closing);
        let is_scarce = used + limit / SPARE_DIVISOR >= limit;
        let has_evicted = !is_reserved && is_scarce && state.evict(now);
        let has_room =
            (used < limit || has_evicted) && open < limit + self.capacity.div_ceil(CLOSING_DIVISOR);
        if !is_reserved && !has_room {
            state.turned_away += 1;
            return (None, state.entry(self.capacity, now));
        }
        let evict = Arc::new(Notify::new());
        let (activity, since) = (Activity::Idle, now);
        let row = Row { owner, activity, since, evict: Arc::clone(&evict), is_evicted: false };
        let key = state.rows.insert(row);
        let group = state.groups.entry(owner).or_default();
        group.count += 1;
        group.idle.insert((now, key));
        let entry = if has_evicted { state.entry(self.capacity, now) } else { None };
        (Some(Place { connections: Arc::clone(self), key, evict }), entry)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Tells one connection to close: of the owner with the most connections among those that have
    /// an idle one. Those of the local target come last.
    fn evict(&mut self, now: Instant) -> bool {
        let candidates = self.groups.iter().filter_map(|(owner, group)| {
            let rank = (*owner != Owner::Target, group.count, *owner);
            Some((rank, group.candidate(now)?))
        });
        let Some((_, key)) = candidates.max_by_key(|(rank, _)| *rank) else { return false };
        self.set_listed(key, false);
        let Some(row) = self.rows.get_mut(key) else { return false };
        row.is_evicted = true;
        row.evict.notify_one();
        self.closing += 1;
        self.evicted += 1;
        true
    }

    /// Adds a connection to the list of its activity, or removes it.
    fn set_listed(&mut self, key: ConnectionKey, is_listed: bool) {
        let Some(row) = self.rows.get(key) else { return };
        let Some(group) = self.groups.get_mut(&row.owner) else { return };
        let Some(list) = group.list(row.activity) else { return };
        match is_listed {
            true => list.insert((row.since, key)),
            false => list.remove(&(row.since, key)),
        };
    }

    fn set_activity(&mut self, key: ConnectionKey, activity: Activity, now: Instant) {
        self.set_listed(key, false);
        let Some(row) = self.rows.get_mut(key) else { return };
        (row.activity, row.since) = (activity, now);
        // A request arrived before the connection was closed.
        if std::mem::take(&mut row.is_evicted) {
            self.closing -= 1;
        }
        self.set_listed(key, true);
    }

    fn remove(&mut self, key: ConnectionKey) {
        self.set_listed(key, false);
        let Some(row) = self.rows.remove(key) else { return };
        self.closing -= usize::from(row.is_evicted);
        if let Some(group) = self.groups.get_mut(&row.owner) {
            group.count -= 1;
            if group.count == 0 {
                self.groups.remove(&row.owner);
            }
        }
    }

    /// The log entry about a full listener, unless one was written a moment ago.
    fn entry(&mut self, capacity: usize, now: Instant) -> Option<Entry> {
        if self.logged_at.is_some_and(|at| now.duration_since(at) < LOG_INTERVAL) {
            return None;
        }
        self.logged_at = Some(now);
        let idle: usize = self.groups.values().map(|group| group.idle.len()).sum();
        let (evicted, turned_away) =
            (std::mem::take(&mut self.evicted), std::mem::take(&mut self.turned_away));
        let entry = Entry::new(Level::Warn, "connections_full")
            .with("open", self.rows.len())
            .with("limit", capacity)
            .with("idle", idle)
            .with("callers", self.groups.len())
            .with("evicted", evicted)
            .with("turned_away", turned_away);
        Some(entry)
    }
}

impl Place {
    /// Sets what the connection is used for.
    pub(super) fn set_activity(&self, activity: Activity) {
        self.connections.state().set_activity(self.key, activity, Instant::now());
    }

    /// Returns once the connection should close if it is idle.
    pub(super) async fn evicted(&self) {
        self.evict.notified().await;
    }

    /// Whether the connection should still close.
    pub(super) fn is_evicted(&self) -> bool {
        self.connections.state().rows.get(self.key).is_some_and(|row| row.is_evicted)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.connections.state().remove(self.key);
    }
}
