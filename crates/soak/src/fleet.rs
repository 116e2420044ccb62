//! The gateways, their settings and signals.

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
/// Seconds from SIGTERM to the end at the latest.
const GRACE_S: f64 = 5.0;
/// Longest wait for an answer about readiness.
const READY_LIMIT: Duration = Duration::from_millis(500);

/// One gateway.
pub struct SoakGateway {
    /// Its address on loopback.
    pub ip: Ipv4Addr,
    /// Its settings file.
    settings: PathBuf,
    /// Its data folder, if it stores.
    data: Option<PathBuf>,
    command: ProcessCommand,
    process: Option<FleetProcess>,
    is_frozen: bool,
}

impl SoakGateway {
    /// Address for callers.
    pub fn callers(&self) -> SocketAddr {
        (self.ip, CALLERS_PORT).into()
    }

    /// Address for operators.
    pub fn operators(&self) -> SocketAddr {
        (self.ip, OPERATORS_PORT).into()
    }

    /// Whether it runs and is not frozen.
    pub fn is_up(&self) -> bool {
        self.process.is_some() && !self.is_frozen
    }

    /// Whether it stores the catalog.
    pub fn has_data(&self) -> bool {
        self.data.is_some()
    }

    /// Starts the process.
    pub fn start(&mut self) {
        if self.process.is_none() {
            self.process = Some(FleetProcess::start(self.command.clone()));
        }
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            process.kill();
        }
        self.is_frozen = false;
    }

    /// Destroys the data folder of a gateway that does not run.
    ///
    /// # Errors
    /// The error of the file system.
    pub fn wipe(&mut self) -> io::Result<()> {
        match &self.data {
            Some(data) if self.process.is_none() => fs::remove_dir_all(data),
            _ => Ok(()),
        }
    }

    /// Freezes or thaws the process.
    pub fn freeze(&mut self, is_frozen: bool) {
        if let Some(process) = &self.process {
            let kind = match is_frozen {
                true => SignalKind::Suspend,
                false => SignalKind::Resume,
            };
            process.signal(kind);
            self.is_frozen = is_frozen;
        }
    }

    /// Asks for a graceful stop.
    pub fn terminate(&self) {
        if let Some(process) = &self.process {
            process.signal(SignalKind::Terminate);
        }
    }

    /// Waits for the end of a process that was asked to stop.
    pub fn wait_end(&mut self) -> Option<ExitStatus> {
        let mut process = self.process.take()?;
        Some(process.wait_exit())
    }

    /// The status of a process that ended by itself.
    pub fn own_end(&mut self) -> Option<ExitStatus> {
        self.process.as_mut()?.exit_status()
    }

    /// Whether it says that callers may be sent to it.
    pub fn is_ready(&self) -> bool {
        let address = SocketAddr::from((self.ip, READINESS_PORT));
        let ask = || -> io::Result<u16> {
            let mut stream = HttpStream::connect(address, READY_LIMIT)?;
            stream.send(format!("GET {READINESS} HTTP/1.1\r\nHost: a\r\n\r\n").as_bytes())?;
            Ok(stream.read()?.status())
        };
        ask().is_ok_and(|status| status == 200)
    }
}

/// All gateways of a run.
pub struct SoakFleet {
    /// The gateways; those with a data folder first.
    pub gateways: Vec<SoakGateway>,
}

impl SoakFleet {
    /// Writes the settings of a fleet and starts it.
    ///
    /// # Errors
    /// The error of the file system.
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

    /// Writes into the settings that later starts are not the first of the fleet.
    ///
    /// # Errors
    /// The error of the file system.
    pub fn end_first_start(&self) -> io::Result<()> {
        for gateway in &self.gateways {
            let text = fs::read_to_string(&gateway.settings)?;
            let text = text.replace("first_start = true", "first_start = false");
            fs::write(&gateway.settings, text)?;
        }
        Ok(())
    }

    /// Waits until every gateway is ready. Returns whether all are in time.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let start = Instant::now();
        while start.elapsed() < limit {
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
