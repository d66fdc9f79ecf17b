//! Processes that end with the test that started them.

use std::{
    fs::File,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus},
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

/// Ports below those that the machine gives to outgoing connections.
const FIRST_PORT: u32 = 10_000;
const PORTS: u32 = 20_000;

/// How long a process may take to end.
const END_TIMEOUT: Duration = Duration::from_secs(20);

/// A free port of the loopback interface, given once in this run.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + (std::process::id() * 251 + number) % PORTS;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
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
        let child = command.stdout(log).stderr(errors).spawn().expect("the program is built");
        Process { child, name: name.to_owned() }
    }

    /// Sends it a signal such as `TERM` or `STOP`.
    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args([&format!("-{signal}"), &pid]).status();
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
