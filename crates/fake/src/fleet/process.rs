//! A process with its log file and signals.

use std::env;
use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};

use watch::usage::ProcessUsage;

use crate::fleet::wait_for;

/// First port that tests use. All ports are below those that the system assigns to outgoing
/// connections.
const FIRST_PORT: u16 = 14_000;
/// Number of ports that tests use.
const PORT_COUNT: u16 = 16_000;
/// Distance between the first ports of two processes with consecutive ids.
const PORT_STRIDE: u16 = 97;

/// Command line and log file of a process.
#[derive(Clone, Debug)]
pub struct ProcessCommand {
    /// Name of the program.
    pub program: &'static str,
    /// Arguments of the program.
    pub arguments: Vec<String>,
    /// File that the output is appended to.
    pub log: PathBuf,
}

/// A signal to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalKind {
    /// SIGTERM, which requests a graceful stop.
    Terminate,
    /// SIGSTOP, which suspends the process.
    Suspend,
    /// SIGCONT, which resumes a suspended process.
    Resume,
}

/// A running process. It is killed when it is dropped.
pub struct FleetProcess {
    /// The command that started the process.
    pub command: ProcessCommand,
    child: Child,
}

impl FleetProcess {
    /// Starts a process whose output is appended to its log.
    pub fn start(command: ProcessCommand) -> Self {
        let program = program_path(command.program);
        assert!(
            program.exists(),
            "{} is missing; run cargo build --workspace",
            program.display()
        );
        let log = File::options().create(true).append(true).open(&command.log);
        let log = log.expect("the log can be written");
        let copy = log.try_clone().expect("the log can be shared");
        let child = Command::new(program)
            .args(&command.arguments)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(copy)
            .spawn()
            .expect("the program starts");
        Self { command, child }
    }

    /// Sends a signal.
    pub fn signal(&self, kind: SignalKind) {
        let name = match kind {
            SignalKind::Terminate => "-TERM",
            SignalKind::Suspend => "-STOP",
            SignalKind::Resume => "-CONT",
        };
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([name, &id]).status();
        assert!(
            sent.is_ok_and(|status| status.success()),
            "kill {name} {id}"
        );
    }

    /// Id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process and waits until it has ended.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns the processor time that the process has used, and its resident memory.
    pub fn usage(&self) -> ProcessUsage {
        ProcessUsage::of_process(self.child.id())
    }

    /// Returns the exit status if the process has ended.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits until the process ends by itself. Returns its exit status.
    pub fn wait_exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait_for("a process ends", || {
            status = self.exit_status();
            status.is_some()
        });
        status.unwrap_or_default()
    }
}

impl Drop for FleetProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the path of a program: in the folder of this executable, or one above if that is `deps`
/// or `examples`.
fn program_path(program: &str) -> PathBuf {
    let executable = env::current_exe().expect("the test has a path");
    let folder = executable.parent().expect("the test lies in a folder");
    let folder = match folder.file_name() {
        Some(name) if name == "deps" || name == "examples" => folder.parent().unwrap_or(folder),
        _ => folder,
    };
    folder.join(program)
}

/// Returns a loopback address on which nothing listens.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let start = (std::process::id() % u32::from(PORT_COUNT / PORT_STRIDE)) as u16 * PORT_STRIDE;
    loop {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + start.wrapping_add(step) % PORT_COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
