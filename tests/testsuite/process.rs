//! Child processes that are killed when the test that started them ends.

use std::{
    fs::File,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Output, Stdio},
    sync::PoisonError,
    time::{Duration, Instant},
};

use crate::port::FORK_LOCK;

/// How long a process may take to exit.
const EXIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs a command until it exits and captures its output.
pub fn output(command: &mut Command) -> Output {
    let child = spawn(command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped()));
    child.wait_with_output().expect("the command runs")
}

fn spawn(command: &mut Command) -> Child {
    let _fork_guard = FORK_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn().expect("the program can be started")
}

/// Path of the program of this name in the directory of the `mustardpin` binary.
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
    /// Starts a command and writes its output to `NAME.log` in the directory.
    pub fn start(command: &mut Command, directory: &Path, name: &str) -> Process {
        let log = File::create(directory.join(format!("{name}.log"))).expect("a log file");
        let errors = log.try_clone().expect("a second handle of the log file");
        let child = spawn(command.stdout(log).stderr(errors));
        Process { child, name: name.to_owned() }
    }

    /// Sends the process a signal such as `TERM` or `STOP`.
    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let status = spawn(Command::new("kill").args([&format!("-{signal}"), &pid])).wait();
        assert!(
            status.expect("kill runs").success(),
            "cannot send a signal to {}; is it running?",
            self.name
        );
    }

    /// Sends the process a signal as soon as an address accepts connections.
    pub fn signal_once_listening(&self, signal: &str, address: SocketAddr) {
        let (ip, port) = (address.ip(), address.port());
        // The shell's own `kill` needs no new process.
        let script = format!(
            "until (: </dev/tcp/{ip}/{port}) 2>/dev/null; do :; done; kill -{signal} {}",
            self.child.id()
        );
        let status = spawn(Command::new("bash").args(["-c", &script])).wait();
        assert!(status.expect("bash runs").success(), "cannot send a signal to {}", self.name);
    }

    /// Waits until the process exits; panics after [`EXIT_TIMEOUT`].
    pub fn wait(&mut self) -> ExitStatus {
        let started = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("the process is ours") {
                return status;
            }
            assert!(
                started.elapsed() < EXIT_TIMEOUT,
                "timed out waiting until {} exits",
                self.name
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// The most memory that the process has held at once, in bytes.
    pub fn peak_memory(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("the process runs");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kib = line.and_then(|line| line.trim().strip_suffix(" kB"));
        1_024 * kib.and_then(|kib| kib.trim().parse::<usize>().ok()).expect("a size in kB")
    }

    /// Whether the process has exited.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().expect("the process is ours").is_some()
    }

    /// Kills the process and waits for it.
    pub fn kill(&mut self) {
        // Fails if the process has exited already.
        let _result = self.child.kill();
        let _result = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
