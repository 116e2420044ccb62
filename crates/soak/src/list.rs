//! The stand-in list of endpoints.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::http::{HttpStream, whole_answer};

/// How the list answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListMood {
    /// As it should.
    #[default]
    Sound,
    /// Refuses, as over its rate.
    Refusing,
    /// Answers late.
    Slow,
    /// Mixes in entries that can't be read.
    Forged,
}

/// One endpoint of the list.
#[derive(Clone, Debug)]
pub struct ListRow {
    /// Its name.
    pub name: String,
    /// Where gateways reach it.
    pub address: SocketAddr,
    /// Whether it drains.
    pub is_draining: bool,
}

#[derive(Default)]
struct ListState {
    rows: Vec<ListRow>,
    mood: ListMood,
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
    pub fn start(rows: Vec<ListRow>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(ListState {
            rows,
            mood: ListMood::Sound,
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
    pub fn set_mood(&self, mood: ListMood) {
        self.state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .mood = mood;
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
        let (mood, rows) = {
            let state = state.lock().unwrap_or_else(PoisonError::into_inner);
            (state.mood, state.rows.clone())
        };
        if mood == ListMood::Slow {
            thread::sleep(Duration::from_secs(2));
        }
        let answer = match mood {
            ListMood::Refusing => whole_answer(429, "", ""),
            _ => whole_answer(
                200,
                "Content-Type: application/json\r\n",
                &page(&rows, mood),
            ),
        };
        stream.send(answer.as_bytes())?;
    }
}

fn page(rows: &[ListRow], mood: ListMood) -> String {
    let entry = |row: &ListRow| {
        json!({
            "id": row.name, "service": "drafts", "address": row.address.to_string(),
            "zone": "rennes", "slots": 8, "version": "v1",
            "state": if row.is_draining { "draining" } else { "ready" },
        })
    };
    let mut entries: Vec<_> = rows.iter().map(entry).collect();
    if mood == ListMood::Forged {
        entries.insert(0, json!({"id": 7, "address": "nowhere"}));
        entries.push(json!("torn"));
    }
    json!({"instances": entries, "next": null}).to_string()
}
