//! A stand-in for the provider: its list of runners, which lags, and its choice of a gateway for
//! each new channel.

use std::collections::VecDeque;
use std::net::{SocketAddrV4, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::Fleet;
use crate::http::Conn;
use crate::runner::Runner;

/// By how much the list lags.
pub const LAG: Duration = Duration::from_millis(800);
/// Calls a second that the list accepts.
const RATE: usize = 42;

/// An entry of another writer; empty for none.
pub type OtherEntry = Arc<Mutex<String>>;

/// Serves the list of runners. A runner that has crashed stays on the list, as it starts again soon.
pub fn serve_list(address: SocketAddrV4, runners: Vec<Arc<Runner>>, other: OtherEntry) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let history: Arc<Mutex<VecDeque<(Instant, String)>>> = Arc::default();
    let calls: Arc<Mutex<VecDeque<Instant>>> = Arc::default();
    let written = Arc::clone(&history);
    thread::spawn(move || {
        let mut shown: Vec<Option<String>> = vec![None; runners.len()];
        loop {
            let mut entries = Vec::new();
            let other = other.lock().unwrap().clone();
            entries.extend((!other.is_empty()).then_some(other));
            for (runner, shown) in runners.iter().zip(&mut shown) {
                match (runner.state(), runner.is_up()) {
                    ("", _) => *shown = None,
                    (_, true) => *shown = Some(entry(runner)),
                    (_, false) => {}
                }
                entries.extend(shown.clone());
            }
            let page = format!("{{\"instances\":[{}],\"next\":null}}", entries.join(","));
            let mut history = written.lock().unwrap();
            if history.back().is_none_or(|(_, last)| *last != page) {
                history.push_back((Instant::now(), page));
            }
            drop(history);
            thread::sleep(Duration::from_millis(10));
        }
    });
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (history, calls) = (Arc::clone(&history), Arc::clone(&calls));
            thread::spawn(move || {
                let mut conn = Conn::new(stream);
                while let Ok(_head) = conn.head(Instant::now() + Duration::from_secs(30)) {
                    let answer = answer_list(&history, &calls);
                    if conn.send(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(())
}

fn answer_list(
    history: &Mutex<VecDeque<(Instant, String)>>,
    calls: &Mutex<VecDeque<Instant>>,
) -> String {
    let now = Instant::now();
    let mut calls = calls.lock().unwrap();
    while calls.front().is_some_and(|at| now.duration_since(*at) > Duration::from_secs(1)) {
        calls.pop_front();
    }
    if calls.len() >= RATE {
        return "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n".to_owned();
    }
    calls.push_back(now);
    let history = history.lock().unwrap();
    let known = history.iter().rev().find(|(at, _)| now.duration_since(*at) >= LAG);
    let page = known.map_or("{\"instances\":[],\"next\":null}", |(_, page)| page.as_str());
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{page}",
        page.len()
    )
}

fn entry(runner: &Runner) -> String {
    format!(
        "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\"slots\":{},\"state\":\"{}\",\"coldRemainingMs\":0,\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"id\":\"{}\"}}",
        runner.service, runner.address, runner.zone, runner.version(), runner.slots, runner.state(), runner.name
    )
}

/// Asks each gateway once a second whether it is ready. After two misses it gets no new channels
/// until it answers 200 again.
pub fn follow_readiness(fleet: &Arc<Fleet>) {
    for number in 0..fleet.gateways.len() {
        let fleet = Arc::clone(fleet);
        thread::spawn(move || {
            let mut misses = 2;
            loop {
                let address = fleet.gateways[number].ready;
                let status = get(address, "/v1/readyz", Duration::from_millis(900)).map(|(status, _)| status);
                misses = if matches!(status, Ok(200)) { 0 } else { misses + 1 };
                fleet.set_ready(number, misses < 2);
                thread::sleep(Duration::from_secs(1));
            }
        });
    }
}

/// Sends a GET request and reads the whole answer.
pub fn get(address: SocketAddrV4, path: &str, limit: Duration) -> std::io::Result<(u16, Vec<u8>)> {
    let until = Instant::now() + limit;
    let mut conn = Conn::open(address, limit)?;
    conn.send(format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n").as_bytes())?;
    let head = conn.head(until)?;
    let framing = Conn::framing(&head, false);
    Ok((head.status(), conn.body(framing, until)?))
}

/// Sends a body with POST and reads the whole answer.
pub fn post(address: SocketAddrV4, path: &str, body: &str, limit: Duration) -> std::io::Result<u16> {
    let until = Instant::now() + limit;
    let mut conn = Conn::open(address, limit)?;
    let length = body.len();
    conn.send(
        format!("POST {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}")
            .as_bytes(),
    )?;
    let head = conn.head(until)?;
    let framing = Conn::framing(&head, false);
    conn.body(framing, until)?;
    Ok(head.status())
}
