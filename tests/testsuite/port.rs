//! Free ports for processes, in this run and in concurrent ones.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::{Mutex, PoisonError},
};

/// First port of the first block. All blocks are below the ephemeral ports that the machine gives
/// to outgoing connections.
const FIRST_PORT: u16 = 10_000;
/// Ports of a block.
const BLOCK_SIZE: u16 = 50;
/// Number of blocks.
const BLOCK_COUNT: u16 = 400;

/// Held while a port is tested and while a process is started. A process that is forked while the
/// test socket is open inherits it and keeps the port in use until it executes its own program.
pub static FORK_LOCK: Mutex<()> = Mutex::new(());

/// A block of ports that this run owns while it listens on the first port of the block.
struct PortBlock {
    /// Listens on the first port, so that no other run claims the block.
    guard: TcpListener,
    /// Ports of the block that were given out or found in use.
    used: u16,
}

/// Returns a free loopback address. No two calls return the same one, in this run or a concurrent
/// one.
pub fn free_address() -> SocketAddr {
    static BLOCKS: Mutex<Vec<PortBlock>> = Mutex::new(Vec::new());
    let mut blocks = BLOCKS.lock().unwrap_or_else(PoisonError::into_inner);
    let _fork_guard = FORK_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        if blocks.last().is_none_or(|block| block.used + 1 == BLOCK_SIZE) {
            blocks.push(claim_block());
        }
        let block = blocks.last_mut().expect("a block was just claimed");
        block.used += 1;
        let mut address = block.guard.local_addr().expect("a bound address");
        address.set_port(address.port() + block.used);
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Claims a block that no other run owns. The search starts at a block derived from the process id,
/// so that concurrent runs seldom try the same one.
fn claim_block() -> PortBlock {
    let first = std::process::id() as u16 % BLOCK_COUNT;
    let mut blocks = (first..BLOCK_COUNT).chain(0..first);
    let guard = blocks.find_map(|block| {
        TcpListener::bind((Ipv4Addr::LOCALHOST, FIRST_PORT + block * BLOCK_SIZE)).ok()
    });
    PortBlock { guard: guard.expect("a block of ports is free"), used: 0 }
}
