//! Keeps the age of the node's knowledge, and asks the platform for news when it grows old.
//!
//! Ages never compare clocks of two nodes: knowledge counts as of the point at which the question
//! was sent, less the age that the reply gave.

use compact_str::CompactString;

use crate::{
    clock::Millis,
    command::{Change, Command},
    id::{NodeId, Revision},
    message::membership::Digest,
    platform::{self, Operation, Ticket},
    system::epoch,
    table::peer::State as PeerState,
    world::{Tick, World},
};

/// Questions to the platform that may be under way at once.
const MAX_POLLS: usize = 4;
/// Reports of peers that may wait until the node has caught up with them.
const MAX_CLAIMS: usize = 16;
/// The time between two looks at which data centres matter.
const REQUIRED_PERIOD: Millis = Millis(250);

/// What a peer said of its knowledge, which counts once this node knows as much.
#[derive(Debug)]
struct Claim {
    sent: Millis,
    data_centre: CompactString,
    digest: Digest,
}

/// What the system remembers from tick to tick.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// Questions to the platform without a reply, and when they were sent.
    polls: Vec<(Ticket, Millis)>,
    /// No question before this point.
    next_poll: Millis,
    /// The age at which the node asks next.
    limit: Millis,
    claims: Vec<Claim>,
    /// The data centres that together have all news, and when they were last looked up.
    required: Vec<CompactString>,
    next_required: Millis,
    has_own_majority: bool,
    platform: bool,
}

pub(super) fn run(world: &mut World, tick: &mut Tick) {
    read_platform(world, tick);
    merge(world);
    poll_if_due(world, tick);
    judge(world, tick);
}

/// Takes in what a peer said of its knowledge in reply to a question sent at `sent`.
pub(super) fn claim(world: &mut World, sent: Millis, data_centre: CompactString, digest: Digest) {
    let claims = &mut world.systems.freshness.claims;
    if claims.len() >= MAX_CLAIMS {
        claims.remove(0);
    }
    claims.push(Claim { sent, data_centre, digest });
}

/// Asks the platform for news now.
pub(super) fn poll(world: &mut World, tick: &mut Tick) -> Ticket {
    let after = world.tables.configuration.polled;
    let ticket = world.ask_platform(tick, Operation::Changes { after });
    let state = &mut world.systems.freshness;
    if state.polls.len() >= MAX_POLLS {
        state.polls.remove(0);
    }
    state.polls.push((ticket, tick.now));
    ticket
}

/// The data centres that together have all news: those of members and of peers that have not left,
/// the own one too if other nodes are in it.
pub(super) fn required(world: &World) -> &[CompactString] {
    &world.systems.freshness.required
}

fn read_platform(world: &mut World, tick: &Tick) {
    for (ticket, reply) in &tick.inbox.platform {
        let state = &mut world.systems.freshness;
        let Some(index) = state.polls.iter().position(|(asked, _)| asked == ticket) else {
            continue;
        };
        let (_, sent) = state.polls.remove(index);
        let as_of = &mut world.tables.freshness.platform_as_of;
        match reply {
            platform::Reply::Changes { .. } => *as_of = (*as_of).max(Some(sent)),
            _ => {
                let pause = world.options.freshness.poll_age;
                world.systems.freshness.next_poll = tick.now + pause;
            }
        }
    }
}

/// Counts the reports that the node has caught up with.
fn merge(world: &mut World) {
    let own = (world.tables.configuration.revision, world.tables.epoch.current.number);
    let is_caught_up = |claim: &mut Claim| {
        let there: (Revision, u64) = (claim.digest.revision, claim.digest.epoch);
        there.0 <= own.0 && there.1 <= own.1
    };
    let claims: Vec<Claim> = world.systems.freshness.claims.extract_if(.., is_caught_up).collect();
    for Claim { sent, data_centre, digest } in claims {
        if data_centre == *world.identity.data_centre() {
            world.tables.data_centres.hear(&data_centre, sent);
        }
        if let Some(age) = digest.platform_age.filter(|&age| age <= sent) {
            let as_of = &mut world.tables.freshness.platform_as_of;
            *as_of = (*as_of).max(Some(sent - age));
        }
        for (name, age) in digest.ages {
            if age <= sent {
                world.tables.data_centres.hear(&name, sent - age);
            }
        }
    }
}

fn poll_if_due(world: &mut World, tick: &mut Tick) {
    let as_of = world.tables.freshness.platform_as_of;
    let due = as_of.map_or(Millis::ZERO, |as_of| as_of + world.systems.freshness.limit);
    let due = due.max(world.systems.freshness.next_poll);
    if tick.now < due {
        return tick.wake(due);
    }
    poll(world, tick);
    let poll_age = world.options.freshness.poll_age;
    let limit = poll_age + world.jitter(Millis(poll_age.0 / 2));
    let state = &mut world.systems.freshness;
    state.limit = limit;
    state.next_poll = tick.now + Millis(limit.0 / 2);
    tick.wake(state.next_poll);
}

fn judge(world: &mut World, tick: &mut Tick) {
    if tick.now >= world.systems.freshness.next_required {
        world.systems.freshness.next_required = tick.now + REQUIRED_PERIOD;
        world.systems.freshness.required = look_up_required(world);
        world.systems.freshness.has_own_majority = epoch::has_own_majority(world);
    }
    world.tables.freshness.is_with_own = is_with_own(world, tick.now);
    let window = world.options.freshness.window;
    let platform_age = world.tables.freshness.platform_age(tick.now);
    let age = platform_age.min(data_centres_age(world, tick.now));
    let fresh = age < window;
    world.tables.freshness.age = age;
    if fresh != world.tables.freshness.fresh {
        world.tables.freshness.fresh = fresh;
        tick.commands.push(Command::Log(Change::Fresh(fresh)));
    }
    let platform = platform_age < window;
    if platform != world.systems.freshness.platform {
        world.systems.freshness.platform = platform;
        tick.commands.push(Command::Log(Change::Platform(platform)));
    }
}

/// The age of the oldest knowledge from any data centre that matters.
fn data_centres_age(world: &World, now: Millis) -> Millis {
    if world.tables.epoch.current.number == 0 {
        return Millis::MAX;
    }
    let data_centres = &world.tables.data_centres;
    let ages = required(world).iter().map(|name| data_centres.age(name, now));
    ages.max().unwrap_or_default()
}

/// Whether the node has recent news from its own data centre, and reaches half of its members.
fn is_with_own(world: &World, now: Millis) -> bool {
    let own = world.identity.data_centre();
    let is_alone = !required(world).contains(own);
    let is_heard = world.tables.data_centres.age(own, now) < world.options.freshness.window;
    (is_alone || is_heard) && world.systems.freshness.has_own_majority
}

fn look_up_required(world: &World) -> Vec<CompactString> {
    let own = world.identity.node();
    let members = world.tables.epoch.current.members.iter();
    let members = members
        .filter(|member| member.node != own)
        .filter(|member| !has_left(world, member.node))
        .map(|member| &member.data_centre);
    let peers = world
        .tables
        .peers
        .iter()
        .filter(|(_, peer)| peer.state != PeerState::Leaving)
        .map(|(_, peer)| &peer.announcement.data_centre);
    let mut names: Vec<&CompactString> = members.chain(peers).collect();
    names.sort();
    names.dedup();
    names.into_iter().cloned().collect()
}

fn has_left(world: &World, node: NodeId) -> bool {
    let peer = world.tables.peers.by_node(node).and_then(|peer| world.tables.peers.get(peer));
    peer.is_some_and(|peer| peer.state == PeerState::Leaving)
}
