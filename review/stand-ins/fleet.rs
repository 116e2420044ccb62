//! The gateways: real processes, started with the command of the deploy file and settings filled in
//! like those of its template.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::platform::post;
use crate::record::Record;

const PROGRAM: &str = "target/release/sapphire-gateway";

pub struct Gateway {
    pub name: String,
    pub front: SocketAddrV4,
    pub ready: SocketAddrV4,
    pub control: SocketAddrV4,
    zone: String,
    settings: PathBuf,
    data: PathBuf,
    log: PathBuf,
    is_ready: AtomicBool,
    process: Mutex<Option<Child>>,
}

pub struct Fleet {
    pub gateways: Vec<Gateway>,
    list: SocketAddrV4,
    folder: PathBuf,
    port: u16,
    record: Arc<Record>,
}

/// Addresses of one case: a network of its own in the loopback range, and ports.
#[derive(Clone, Copy)]
pub struct Addresses {
    pub net: [u8; 2],
    pub port: u16,
}

impl Addresses {
    /// Draws addresses whose ports are free.
    pub fn draw() -> Self {
        loop {
            let addresses = Self {
                net: [(20 + crate::random() % 100) as u8, (20 + crate::random() % 200) as u8],
                port: 21000 + (crate::random() % 9000) as u16,
            };
            let is_free = |group, number, port| {
                let host = addresses.host(group, number);
                std::net::TcpListener::bind((host, addresses.port + port)).is_ok()
            };
            let gateways = (1..=3).all(|number| [0, 1, 2, 10, 11].iter().all(|port| is_free(0, number, *port)));
            if gateways && (1..=16).all(|number| is_free(1, number, 0)) && is_free(2, 1, 0) {
                return addresses;
            }
        }
    }

    /// The loopback address with this number in a group of addresses.
    pub fn host(&self, group: u8, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net[0], self.net[1].wrapping_add(group), number)
    }
}

impl Fleet {
    pub fn new(record: &Arc<Record>, addresses: Addresses, list: SocketAddrV4, count: u8) -> std::io::Result<Arc<Self>> {
        let folder = std::env::temp_dir().join(format!("sapphire-review-{}-{}", std::process::id(), crate::random() % 100000));
        fs::create_dir_all(&folder)?;
        let mut gateways = Vec::new();
        for number in 1..=count {
            let ip = addresses.host(0, number);
            let name = format!("gateway-{number}");
            let data = folder.join(format!("{name}-data"));
            fs::create_dir_all(&data)?;
            gateways.push(Gateway {
                front: SocketAddrV4::new(ip, addresses.port),
                ready: SocketAddrV4::new(ip, addresses.port + 1),
                control: SocketAddrV4::new(ip, addresses.port + 2),
                zone: format!("zone-{number}"),
                settings: folder.join(format!("{name}.toml")),
                log: folder.join(format!("{name}.log")),
                is_ready: AtomicBool::new(false),
                process: Mutex::new(None),
                name,
                data,
            });
        }
        let port = addresses.port;
        let record = Arc::clone(record);
        Ok(Arc::new(Self { gateways, list, folder, port, record }))
    }

    fn write_settings(&self, gateway: &Gateway, is_first: bool) -> std::io::Result<()> {
        let seeds: Vec<String> = self.gateways.iter().map(|one| format!("\"{}\"", one.control)).collect();
        let ip = gateway.front.ip();
        let (link, metrics) = (self.port + 10, self.port + 11);
        let first = if is_first { "first_start = true\n" } else { "" };
        let text = format!(
            "name = \"{}\"\nfailure_domain = \"{}\"\ncallers = \"{}\"\nreadiness = \"{}\"\noperators = \"{}\"\nmetrics = \"{ip}:{metrics}\"\nlink = \"{ip}:{link}\"\nseeds = [{}]\nseed_link_port = {link}\ndata = \"{}\"\ntolerated_losses = 1\n{first}grace_s = 8\n\n[list]\naddress = \"{}\"\n\n[retries]\nratio = 0.2\nextra = 60\nwindow_s = 10\n",
            gateway.name, gateway.zone, gateway.front, gateway.ready, gateway.control,
            seeds.join(","), gateway.data.display(), self.list
        );
        fs::write(&gateway.settings, text)
    }

    pub fn start(&self, number: usize, is_first: bool) -> std::io::Result<()> {
        let gateway = &self.gateways[number];
        self.write_settings(gateway, is_first)?;
        let log = File::options().create(true).append(true).open(&gateway.log)?;
        let mut command = Command::new(PROGRAM);
        command.arg("--settings").arg(&gateway.settings).args(["--log-format", "json"]);
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        let child = command.spawn()?;
        self.record.line(&gateway.name, &format!("starts, process {}", child.id()));
        *gateway.process.lock().unwrap() = Some(child);
        Ok(())
    }

    /// Kills a gateway with SIGKILL.
    pub fn kill(&self, number: usize) {
        let gateway = &self.gateways[number];
        if let Some(mut child) = gateway.process.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&gateway.name, "is killed with SIGKILL");
        }
    }

    /// Kills a gateway and empties its data folder.
    pub fn wipe(&self, number: usize) -> std::io::Result<()> {
        self.kill(number);
        let gateway = &self.gateways[number];
        fs::remove_dir_all(&gateway.data)?;
        fs::create_dir_all(&gateway.data)?;
        self.record.line(&gateway.name, "loses its disk");
        Ok(())
    }

    /// Kills all gateways at once and starts them again after `down`.
    pub fn kill_all(&self, down: Duration) -> std::io::Result<()> {
        for gateway in &self.gateways {
            if let Some(child) = gateway.process.lock().unwrap().as_mut() {
                let _ = child.kill();
            }
        }
        (0..self.gateways.len()).for_each(|number| self.kill(number));
        thread::sleep(down);
        (0..self.gateways.len()).try_for_each(|number| self.start(number, false))
    }

    /// Starts all gateways for the first time and sends the first configuration until it is accepted
    /// and every gateway is ready.
    pub fn start_all(&self, config: &str, meanwhile: impl Fn(&Self)) -> Result<(), String> {
        for number in 0..self.gateways.len() {
            self.start(number, true).map_err(|error| format!("{PROGRAM}: {error}"))?;
        }
        meanwhile(self);
        let until = Instant::now() + Duration::from_secs(20);
        let mut turn = 0;
        loop {
            let gateway = &self.gateways[turn % self.gateways.len()];
            turn += 1;
            let status = post(gateway.control, "/v1/config/replace", config, Duration::from_secs(1));
            self.record.line("operator", &format!("first configuration at {}: {status:?}", gateway.name));
            match status {
                Ok(200) => break,
                Ok(400..=499) => return Err("the configuration was refused".to_owned()),
                _ if Instant::now() > until => return Err("no configuration was accepted".to_owned()),
                _ => thread::sleep(Duration::from_millis(200)),
            }
        }
        self.wait_ready(until)
    }

    pub fn wait_ready(&self, until: Instant) -> Result<(), String> {
        while self.ready().len() < self.gateways.len() {
            if Instant::now() > until {
                return Err("not all gateways became ready".to_owned());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    pub fn set_ready(&self, number: usize, is_ready: bool) {
        let gateway = &self.gateways[number];
        if gateway.is_ready.swap(is_ready, Ordering::SeqCst) != is_ready {
            let text = if is_ready { "gets new channels" } else { "gets no new channels" };
            self.record.line(&gateway.name, text);
        }
    }

    /// Numbers of the gateways that get new channels.
    pub fn ready(&self) -> Vec<usize> {
        let all = 0..self.gateways.len();
        all.filter(|number| self.gateways[*number].is_ready.load(Ordering::SeqCst)).collect()
    }

    /// The gateway for a new channel, other than the last one if there is a choice; any if none is
    /// ready.
    pub fn choose(&self, last: Option<usize>) -> usize {
        let mut ready = self.ready();
        if ready.is_empty() {
            ready = (0..self.gateways.len()).collect();
        }
        if ready.len() > 1 {
            ready.retain(|number| Some(*number) != last);
        }
        ready[crate::random() as usize % ready.len()]
    }

    /// Whether a gateway has ended by itself.
    pub fn ended(&self) -> Option<String> {
        self.gateways.iter().find_map(|gateway| {
            let mut process = gateway.process.lock().unwrap();
            let status = process.as_mut()?.try_wait().ok()??;
            Some(format!("{} ended by itself: {status}", gateway.name))
        })
    }

    /// Ends all gateways and removes the temporary folder.
    pub fn end(&self) {
        (0..self.gateways.len()).for_each(|number| self.kill(number));
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("kept: {}", self.folder.display());
        }
    }
}
