//! The stand-in list of endpoints.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use platform::endpoint_list::write_page;
use serde_json::json;
use wire::gateway::ListedEndpoint;

use crate::http::{HttpStream, sized_answer};

/// How the list answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListMode {
    /// As it should.
    #[default]
    Normal,
    /// Refuses, as over its rate.
    RateLimited,
    /// Answers late.
    Slow,
    /// Mixes in entries that can't be read.
    InvalidEntries,
}

#[derive(Default)]
struct ListState {
    rows: Vec<ListedEndpoint>,
    mode: ListMode,
}

/// The stand-in list. It listens for as long as the process runs.
pub struct SoakList {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<ListState>>,
}

impl SoakList {
    /// Starts a list.
    ///
    /// # Errors
    /// The socket's error.
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
                // Whoever hangs up asks again.
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

    /// Sets whether an endpoint drains.
    pub fn set_draining(&self, name: &str, is_draining: bool) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        for row in state.rows.iter_mut().filter(|row| row.name == name) {
            row.is_draining = is_draining;
        }
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
    write_page(rows, "rennes", invalid_entries).expect("endpoints have a text")
}
