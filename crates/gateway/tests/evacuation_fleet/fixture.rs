//! A fleet of gateway processes on loopback, a list of endpoints and endpoints that count requests.

use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tempfile::TempDir;

const CALLERS_PORT: u16 = 9001;
const READINESS_PORT: u16 = 9002;
const OPERATORS_PORT: u16 = 9003;
const LINK_PORT: u16 = 9004;
/// Ends a wait for a condition that never holds. No assertion depends on its value.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Timeout of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Gateways that have a data folder. They come first.
pub(crate) const STORES: usize = 3;
/// All gateways of the fleet.
pub(crate) const GATEWAYS: usize = 5;

/// Waits until a condition holds.
pub(crate) fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < TEST_TIMEOUT, "waited too long: {what}");
        thread::sleep(POLL_INTERVAL);
    }
}

/// Sends a request on a new connection. Returns the status and the body of the answer; status 0 if
/// there is none.
pub(crate) fn request(address: SocketAddr, method: &str, path: &str, body: &str) -> (u16, String) {
    exchange(address, method, path, body).unwrap_or_default()
}

fn exchange(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, REQUEST_TIMEOUT)?;
    stream.set_read_timeout(Some(REQUEST_TIMEOUT))?;
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: a1\r\nX-Deadline-Ms: 4000\r\n\
         Connection: close\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(head.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let (start, length) = read_head(&mut reader)?;
    let mut answer = vec![0; length];
    reader.read_exact(&mut answer)?;
    let status = start.split(' ').nth(1).and_then(|code| code.parse().ok());
    let text = String::from_utf8_lossy(&answer).into_owned();
    Ok((status.unwrap_or(0), text))
}

/// Reads a head. Returns its first line and the length of the body.
fn read_head(reader: &mut impl BufRead) -> io::Result<(String, usize)> {
    let mut start = String::new();
    if reader.read_line(&mut start)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let Some((name, value)) = line.split_once(':') else {
            return Ok((start, length));
        };
        if name.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse().unwrap_or(0);
        }
    }
}

/// Answers each request with `answer`, and counts them, until the process ends.
fn serve(answer: impl Fn() -> String + Clone + Send + 'static) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback works");
    let address = listener.local_addr().expect("loopback works");
    let served = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&served);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (answer, counter) = (answer.clone(), Arc::clone(&counter));
            thread::spawn(move || -> io::Result<()> {
                let mut reader = BufReader::new(stream);
                loop {
                    let (_, length) = read_head(&mut reader)?;
                    reader.read_exact(&mut vec![0; length])?;
                    counter.fetch_add(1, Ordering::SeqCst);
                    reader.get_mut().write_all(answer().as_bytes())?;
                }
            });
        }
    });
    (address, served)
}

fn sized_answer(headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
}

/// One endpoint in each of two failure domains.
pub(crate) struct Endpoints {
    list: SocketAddr,
    counts: Vec<(&'static str, Arc<AtomicUsize>)>,
}

impl Endpoints {
    pub(crate) fn start(zones: [&'static str; 2]) -> Self {
        let signed = "X-Attempt-Id: a1\r\nX-Server-Stamp: s1\r\n";
        let mut entries = Vec::new();
        let mut counts = Vec::new();
        for zone in zones {
            let (address, count) = serve(move || sized_answer(signed, "done"));
            entries.push(json!({
                "id": format!("endpoint-{zone}"), "service": "plain", "address": address.to_string(),
                "zone": zone, "version": "v1", "slots": 8, "state": "ready",
            }));
            counts.push((zone, count));
        }
        let page = json!({ "instances": entries, "next": null }).to_string();
        let (list, _) = serve(move || sized_answer("Content-Type: application/json\r\n", &page));
        Self { list, counts }
    }

    /// Requests that the endpoint of a failure domain has received.
    pub(crate) fn received(&self, zone: &str) -> usize {
        let mut counts = self.counts.iter();
        let count = counts.find(|(name, _)| *name == zone);
        count.map_or(0, |(_, count)| count.load(Ordering::SeqCst))
    }
}

/// A fleet of gateways; the first [`STORES`] have a data folder.
pub(crate) struct GatewayFleet {
    folder: TempDir,
    network: [u8; 2],
    processes: Vec<Option<Child>>,
}

impl GatewayFleet {
    /// Starts a fleet with a catalog, and waits until all gateways are ready. `number`, below
    /// 8, keeps the addresses of fleets in one process apart.
    pub(crate) fn start(number: u8, endpoints: &Endpoints) -> Self {
        let id = std::process::id();
        let mut fleet = Self {
            folder: tempfile::tempdir().expect("a folder"),
            network: [(64 + id % 64) as u8, (number << 5) | (id / 64 % 32) as u8],
            processes: (0..GATEWAYS).map(|_| None).collect(),
        };
        for place in 0..GATEWAYS {
            let text = fleet.settings_text(place, endpoints.list);
            fs::write(fleet.settings_path(place), text).expect("the folder is writable");
        }
        fleet.start_all();
        let catalog = catalog_body();
        wait_until("the catalog is acknowledged", || {
            request(fleet.operators(0), "POST", "/v1/config/replace", &catalog).0 == 200
        });
        fleet.wait_ready();
        for place in 0..GATEWAYS {
            let path = fleet.settings_path(place);
            let text = fs::read_to_string(&path).expect("the folder is readable");
            let text = text.replace("first_start = true", "first_start = false");
            fs::write(path, text).expect("the folder is writable");
        }
        fleet
    }

    pub(crate) fn start_all(&mut self) {
        for place in 0..GATEWAYS {
            self.start_one(place);
        }
    }

    pub(crate) fn start_one(&mut self, place: usize) {
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.path().join(format!("{place}.log")))
            .expect("the folder is writable");
        let child = Command::new(env!("CARGO_BIN_EXE_sapphire-gateway"))
            .arg("--settings")
            .arg(self.settings_path(place))
            .stdout(log.try_clone().expect("the log is open"))
            .stderr(Stdio::from(log))
            .spawn();
        self.processes[place] = Some(child.expect("the program was built"));
    }

    /// Kills a gateway with SIGKILL.
    pub(crate) fn kill(&mut self, place: usize) {
        if let Some(mut process) = self.processes[place].take() {
            process.kill().expect("the process is a child");
            process.wait().expect("the process is a child");
        }
    }

    pub(crate) fn kill_all(&mut self) {
        for place in 0..GATEWAYS {
            self.kill(place);
        }
    }

    /// Deletes the data folder of a gateway.
    pub(crate) fn wipe(&self, place: usize) {
        fs::remove_dir_all(self.data_path(place)).expect("the folder is writable");
    }

    pub(crate) fn wait_ready(&self) {
        for place in 0..GATEWAYS {
            let address = self.address(place, READINESS_PORT);
            wait_until("all gateways are ready", || {
                request(address, "GET", "/v1/readyz", "").0 == 200
            });
        }
    }

    /// Sends an order to a gateway, and to others until it is acknowledged. Returns the last status.
    pub(crate) fn order(&self, first: usize, path: &str) -> u16 {
        let mut status = 0;
        let mut place = first;
        wait_until("the order is answered", || {
            status = request(self.operators(place), "POST", path, "").0;
            place = (place + 1) % GATEWAYS;
            status != 0 && status != 503
        });
        status
    }

    /// Sends an order to one gateway, once.
    pub(crate) fn order_once(&self, place: usize, path: &str) -> (u16, String) {
        request(self.operators(place), "POST", path, "")
    }

    /// The status report of a gateway; null without an answer.
    pub(crate) fn status(&self, place: usize) -> Value {
        let (_, body) = request(self.operators(place), "GET", "/operator/gateway", "");
        serde_json::from_str(&body).unwrap_or_default()
    }

    /// The metrics of a gateway.
    pub(crate) fn metrics(&self, place: usize) -> String {
        request(self.operators(place), "GET", "/metrics", "").1
    }

    /// The failure domains that a gateway shows as evacuated, separated by commas.
    pub(crate) fn evacuated(&self, place: usize) -> Option<String> {
        let status = self.status(place);
        let domains = status["evacuated"].as_array()?.iter();
        let names: Vec<_> = domains.filter_map(|one| one["domain"].as_str()).collect();
        Some(names.join(","))
    }

    /// Waits until all gateways show these evacuated failure domains.
    pub(crate) fn wait_evacuated(&self, domains: &str) {
        for place in 0..GATEWAYS {
            wait_until("all gateways obey the evacuations", || {
                self.evacuated(place).as_deref() == Some(domains)
            });
        }
    }

    /// Sends calls to each gateway. Returns the statuses of the answers.
    pub(crate) fn call_all(&self, calls: usize) -> Vec<u16> {
        let mut statuses = Vec::new();
        for place in 0..GATEWAYS {
            let address = self.address(place, CALLERS_PORT);
            let calls = (0..calls).map(|_| request(address, "POST", "/plain/x", "a").0);
            statuses.extend(calls);
        }
        statuses
    }

    pub(crate) fn operators(&self, place: usize) -> SocketAddr {
        self.address(place, OPERATORS_PORT)
    }

    fn address(&self, place: usize, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(place).into(), port)
    }

    fn ip(&self, place: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network[0], self.network[1], place as u8 + 1)
    }

    fn data_path(&self, place: usize) -> PathBuf {
        self.folder.path().join(format!("data-{place}"))
    }

    fn settings_path(&self, place: usize) -> PathBuf {
        self.folder.path().join(format!("{place}.toml"))
    }

    fn settings_text(&self, place: usize, list: SocketAddr) -> String {
        let ip = self.ip(place);
        let seeds = (0..STORES).map(|seed| SocketAddrV4::new(self.ip(seed), OPERATORS_PORT));
        let seeds: Vec<String> = seeds.map(|seed| format!("\"{seed}\"")).collect();
        let data = match place < STORES {
            true => format!("data = \"{}\"\n", self.data_path(place).display()),
            false => String::new(),
        };
        format!(
            "name = \"gateway-{place}\"\nfailure_domain = \"rennes\"\n\
             domains = {{ rennes = \"west\", paris = \"centre\", empty = \"east\" }}\n\
             callers = \"{ip}:{CALLERS_PORT}\"\nreadiness = \"{ip}:{READINESS_PORT}\"\n\
             operators = \"{ip}:{OPERATORS_PORT}\"\nlink = \"{ip}:{LINK_PORT}\"\n\
             seeds = [{}]\nseed_link_port = {LINK_PORT}\n{data}first_start = true\n\n\
             [list]\naddress = \"{list}\"\ninterval_ms = 200\n\n[retries]\n",
            seeds.join(", ")
        )
    }
}

impl Drop for GatewayFleet {
    fn drop(&mut self) {
        for process in self.processes.iter_mut().flatten() {
            // The process may have exited already.
            let _ = process.kill();
            let _ = process.wait();
        }
        if thread::panicking() {
            for place in 0..GATEWAYS {
                let log = fs::read_to_string(self.folder.path().join(format!("{place}.log")));
                eprintln!("gateway {place}:\n{}", log.unwrap_or_default());
            }
        }
    }
}

fn catalog_body() -> String {
    let catalog = json!({
        "version": 1,
        "services": [{ "name": "plain", "healthPath": "/healthz" }],
        "routes": [{
            "name": "plain", "host": "a.example", "pathPrefix": "/plain/", "routeKind": "safe",
            "timeoutMs": 4000, "targetLatencyMs": 500, "service": "plain", "public": true,
        }],
    });
    catalog.to_string()
}
