//! Processes that end with the test that started them.

use std::{
    fs::File,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Output, Stdio},
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

/// Ports below those that the machine gives to outgoing connections, in blocks.
const FIRST_PORT: u16 = 10_000;
const BLOCK_SIZE: u16 = 50;
const BLOCKS: u16 = 400;

/// How long a process may take to end.
const END_TIMEOUT: Duration = Duration::from_secs(20);

/// Held while a port is tried out and while a process is started: a process that is forked in
/// between holds the tried port's socket until it runs its own program.
static NO_FORK: Mutex<()> = Mutex::new(());

/// Ports that belong to this run: it holds the first one of the block.
struct Block {
    guard: TcpListener,
    used: u16,
}

/// A free port of the loopback interface, given once in this run and to no other run.
pub fn free_address() -> SocketAddr {
    static BLOCKS: Mutex<Vec<Block>> = Mutex::new(Vec::new());
    let mut blocks = BLOCKS.lock().unwrap_or_else(PoisonError::into_inner);
    let _no_fork = NO_FORK.lock().unwrap_or_else(PoisonError::into_inner);
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

/// Runs a command to its end.
pub fn output(command: &mut Command) -> Output {
    let child = spawn(command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped()));
    child.wait_with_output().expect("the command runs")
}

fn spawn(command: &mut Command) -> Child {
    let _no_fork = NO_FORK.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn().expect("the program is there")
}

/// Claims a block that no other run holds. Runs start to look at different places.
fn claim_block() -> Block {
    let first = std::process::id() as u16 % BLOCKS;
    let mut blocks = (first..BLOCKS).chain(0..first);
    let guard = blocks.find_map(|block| {
        TcpListener::bind((Ipv4Addr::LOCALHOST, FIRST_PORT + block * BLOCK_SIZE)).ok()
    });
    Block { guard: guard.expect("a block of ports is free"), used: 0 }
}

/// The program of this name beside the command.
pub fn program(name: &str) -> PathBuf {
    Path::new(env!("CARGO_BIN_EXE_mustardpin")).with_file_name(name)
}

/// A process that is killed when it is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    name: String,
}

impl Process {
    /// Starts a command; its output goes to a file of this name.
    pub fn start(command: &mut Command, directory: &Path, name: &str) -> Process {
        let log = File::create(directory.join(format!("{name}.log"))).expect("a log file");
        let errors = log.try_clone().expect("a second handle of the log file");
        let child = spawn(command.stdout(log).stderr(errors));
        Process { child, name: name.to_owned() }
    }

    /// Sends it a signal such as `TERM` or `STOP`.
    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let status = spawn(Command::new("kill").args([&format!("-{signal}"), &pid])).wait();
        assert!(status.expect("kill runs").success(), "{} is running", self.name);
    }

    /// Waits until it ends by itself.
    pub fn wait(&mut self) -> ExitStatus {
        let started = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("the process is ours") {
                return status;
            }
            assert!(started.elapsed() < END_TIMEOUT, "{} does not end", self.name);
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Whether it has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().expect("the process is ours").is_some()
    }

    /// Ends it at once.
    pub fn kill(&mut self) {
        // It may have ended by itself.
        let _ended = self.child.kill();
        let _ended = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
