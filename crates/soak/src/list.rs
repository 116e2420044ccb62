//! Stand-in for the endpoint list of the platform.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use platform::endpoint_list::write_page;
use serde_json::json;
use wire::gateway::ListedEndpoint;

use crate::endpoint::EndpointIdentity;
use crate::http::{HttpStream, sized_answer};

/// How the list answers requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListMode {
    /// Answers with the current list at once.
    #[default]
    Normal,
    /// Refuses requests with status 429.
    RateLimited,
    /// Answers after a delay of 2 s.
    Slow,
    /// Adds entries that can't be parsed.
    InvalidEntries,
}

#[derive(Default)]
struct ListState {
    rows: Vec<ListedEndpoint>,
    mode: ListMode,
}

/// The stand-in list. It serves until the process exits.
pub struct SoakList {
    /// Address on which it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<ListState>>,
}

impl SoakList {
    /// Starts a list with these endpoints.
    ///
    /// # Errors
    /// The error of binding the socket.
    pub fn start(rows: Vec<ListedEndpoint>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(ListState {
            rows,
            mode: ListMode::Normal,
        }));
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = Arc::clone(&shared);
                // A connection error needs no handling: the gateway polls the list again.
                thread::spawn(move || serve(&mut HttpStream::new(stream), &state));
            }
        });
        Ok(Self { address, state })
    }

    /// Sets how the list answers.
    pub fn set_mode(&self, mode: ListMode) {
        self.state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .mode = mode;
    }

    /// Shows another process of the endpoint at an address.
    pub fn set_identity(&self, address: SocketAddr, identity: &EndpointIdentity) {
        self.update(address, |row| {
            row.name.clone_from(&identity.name);
            row.version.clone_from(&identity.version);
        });
    }

    /// Sets whether the list shows the endpoint at an address as draining.
    pub fn set_draining(&self, address: SocketAddr, is_draining: bool) {
        self.update(address, |row| row.is_draining = is_draining);
    }

    fn update(&self, address: SocketAddr, change: impl Fn(&mut ListedEndpoint)) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let rows = state.rows.iter_mut();
        rows.filter(|row| SocketAddr::V4(row.address) == address)
            .for_each(change);
    }
}

fn serve(stream: &mut HttpStream, state: &Mutex<ListState>) -> io::Result<()> {
    loop {
        stream.read()?;
        let (mode, rows) = {
            let state = state.lock().unwrap_or_else(PoisonError::into_inner);
            (state.mode, state.rows.clone())
        };
        if mode == ListMode::Slow {
            thread::sleep(Duration::from_secs(2));
        }
        let answer = match mode {
            ListMode::RateLimited => sized_answer(429, "", ""),
            _ => sized_answer(
                200,
                "Content-Type: application/json\r\n",
                &page(&rows, mode),
            ),
        };
        stream.send(answer.as_bytes())?;
    }
}

fn page(rows: &[ListedEndpoint], mode: ListMode) -> String {
    let invalid_entries = match mode {
        ListMode::InvalidEntries => vec![json!({"address": "nowhere"}), json!("torn")],
        _ => Vec::new(),
    };
    write_page(rows, "rennes", invalid_entries).expect("a list of endpoints can be serialized")
}
