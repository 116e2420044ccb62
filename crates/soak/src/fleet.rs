//! The gateway processes, their settings and signals.

use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::process::ExitStatus;
use std::time::{Duration, Instant};

use fake::fleet::process::{FleetProcess, ProcessCommand, SignalKind};
use platform::paths::READINESS;

use crate::http::HttpStream;

const CALLERS_PORT: u16 = 9001;
const READINESS_PORT: u16 = 9002;
const OPERATORS_PORT: u16 = 9003;
const LINK_PORT: u16 = 9004;
/// Time that the gateways are given to exit after SIGTERM, in seconds.
const GRACE_S: f64 = 5.0;
/// Timeout of a readiness check.
const READINESS_TIMEOUT: Duration = Duration::from_millis(500);

/// One gateway of the fleet, whose process may be stopped.
pub struct SoakGateway {
    /// Loopback address on which it listens.
    pub ip: Ipv4Addr,
    /// Settings file.
    settings: PathBuf,
    /// Data folder, if it stores the catalog.
    data: Option<PathBuf>,
    command: ProcessCommand,
    process: Option<FleetProcess>,
    is_frozen: bool,
}

impl SoakGateway {
    /// Address that serves callers.
    pub fn caller_address(&self) -> SocketAddr {
        (self.ip, CALLERS_PORT).into()
    }

    /// Address that serves operators.
    pub fn operator_address(&self) -> SocketAddr {
        (self.ip, OPERATORS_PORT).into()
    }

    /// Address that serves readiness checks.
    pub fn readiness_address(&self) -> SocketAddr {
        (self.ip, READINESS_PORT).into()
    }

    /// Id of the process; `None` if it is not running.
    pub fn process_id(&self) -> Option<u32> {
        self.process.as_ref().map(FleetProcess::id)
    }

    /// Appends lines to the settings file, for the next start.
    ///
    /// # Errors
    /// The error of the file system operation.
    pub fn append_settings(&self, text: &str) -> io::Result<()> {
        let settings = fs::read_to_string(&self.settings)?;
        fs::write(&self.settings, settings + text)
    }

    /// Whether the process was started and is not frozen.
    pub fn is_up(&self) -> bool {
        self.process.is_some() && !self.is_frozen
    }

    /// Whether it stores the catalog.
    pub fn has_data(&self) -> bool {
        self.data.is_some()
    }

    /// Starts the process unless it is running.
    pub fn start(&mut self) {
        if self.process.is_none() {
            self.process = Some(FleetProcess::start(self.command.clone()));
        }
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            process.kill();
        }
        self.is_frozen = false;
    }

    /// Deletes the data folder, unless the process is running.
    ///
    /// # Errors
    /// The error of the file system operation.
    pub fn delete_data(&mut self) -> io::Result<()> {
        match &self.data {
            Some(data) if self.process.is_none() => fs::remove_dir_all(data),
            _ => Ok(()),
        }
    }

    /// Suspends the process with SIGSTOP or resumes it with SIGCONT.
    pub fn set_frozen(&mut self, is_frozen: bool) {
        if let Some(process) = &self.process {
            let kind = match is_frozen {
                true => SignalKind::Suspend,
                false => SignalKind::Resume,
            };
            process.signal(kind);
            self.is_frozen = is_frozen;
        }
    }

    /// Requests a graceful stop with SIGTERM.
    pub fn terminate(&self) {
        if let Some(process) = &self.process {
            process.signal(SignalKind::Terminate);
        }
    }

    /// Waits until the process exits; `None` if it is not running.
    pub fn wait_exit(&mut self) -> Option<ExitStatus> {
        let mut process = self.process.take()?;
        Some(process.wait_exit())
    }

    /// Exit status of the process if it has exited without [`Self::kill`] or [`Self::wait_exit`].
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.process.as_mut()?.exit_status()
    }

    /// Whether the readiness check succeeds.
    pub fn is_ready(&self) -> bool {
        let address = SocketAddr::from((self.ip, READINESS_PORT));
        let request_status = || -> io::Result<u16> {
            let mut stream = HttpStream::connect(address, READINESS_TIMEOUT)?;
            stream.send(format!("GET {READINESS} HTTP/1.1\r\nHost: a\r\n\r\n").as_bytes())?;
            Ok(stream.read()?.status())
        };
        request_status().is_ok_and(|status| status == 200)
    }
}

/// All gateways of a run.
pub struct SoakFleet {
    /// The gateways; those with a data folder come first.
    pub gateways: Vec<SoakGateway>,
}

impl SoakFleet {
    /// Writes the settings files of a fleet and starts its gateways, of which `stores` have a data
    /// folder and `plain` have none. `network` is the second and third byte of their loopback
    /// addresses, and `list` is the address of the endpoint list.
    ///
    /// # Errors
    /// The error of the file system operation.
    pub fn start(
        folder: &Path,
        network: [u8; 2],
        stores: u8,
        plain: u8,
        list: SocketAddr,
    ) -> io::Result<Self> {
        let ip_of = |place: u8| Ipv4Addr::new(127, network[0], network[1], place + 1);
        let seeds: Vec<SocketAddrV4> = (0..stores.min(3))
            .map(|place| SocketAddrV4::new(ip_of(place), OPERATORS_PORT))
            .collect();
        let mut gateways = Vec::new();
        for place in 0..stores + plain {
            let data = (place < stores).then(|| folder.join(format!("data-{place}")));
            let settings = folder.join(format!("gateway-{place}.toml"));
            let text = settings_text(place, ip_of(place), data.as_deref(), &seeds, list);
            fs::write(&settings, text)?;
            let command = ProcessCommand {
                program: "sapphire-gateway",
                arguments: vec!["--settings".to_owned(), settings.display().to_string()],
                log: folder.join(format!("gateway-{place}.log")),
            };
            let mut gateway = SoakGateway {
                ip: ip_of(place),
                settings: settings.clone(),
                data,
                command,
                process: None,
                is_frozen: false,
            };
            gateway.start();
            gateways.push(gateway);
        }
        Ok(Self { gateways })
    }

    /// Changes `first_start` to false in the settings files, so that a restarted gateway does not
    /// take the start for the first one of the whole fleet.
    ///
    /// # Errors
    /// The error of the file system operation.
    pub fn clear_first_start(&self) -> io::Result<()> {
        for gateway in &self.gateways {
            let text = fs::read_to_string(&gateway.settings)?;
            let text = text.replace("first_start = true", "first_start = false");
            fs::write(&gateway.settings, text)?;
        }
        Ok(())
    }

    /// Waits until every gateway is ready. Returns false if this takes longer than `timeout`.
    pub fn wait_ready(&self, timeout: Duration) -> bool {
        let start = Instant::now();
        while start.elapsed() < timeout {
            if self.gateways.iter().all(SoakGateway::is_ready) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

fn settings_text(
    place: u8,
    ip: Ipv4Addr,
    data: Option<&Path>,
    seeds: &[SocketAddrV4],
    list: SocketAddr,
) -> String {
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    let data = data.map_or_else(String::new, |data| {
        format!("data = \"{}\"\n", data.display())
    });
    format!(
        "name = \"gateway-{place}\"\nfailure_domain = \"rennes\"\ncallers = \"{ip}:{CALLERS_PORT}\"\n\
         readiness = \"{ip}:{READINESS_PORT}\"\noperators = \"{ip}:{OPERATORS_PORT}\"\n\
         link = \"{ip}:{LINK_PORT}\"\nseeds = [{}]\nseed_link_port = {LINK_PORT}\n{data}\
         first_start = true\ngrace_s = {GRACE_S}\n\n[list]\naddress = \"{list}\"\ninterval_ms = 200\n\n[retries]\n",
        seeds.join(", ")
    )
}
