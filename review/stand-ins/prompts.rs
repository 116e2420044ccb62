//! Requests with prompts, and what is known of those whose part crashes runners.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

use crate::Site;
use crate::client::{End, Request};
use crate::runner::Arrival;

/// The part that crashes runners.
pub const PART: &str = "dead:200";

pub fn request(attempt: &str, prefix: String, limit: Duration) -> Request {
    Request {
        attempt: attempt.to_owned(),
        path: format!("/chat/{attempt}"),
        prefix,
        limit,
        body: format!("chat {attempt}"),
        resumes: None,
    }
}

/// Sound requests: a new stream after each pause, until the end.
pub struct Sound {
    is_over: Arc<AtomicBool>,
    pub sent: Arc<AtomicU32>,
    pub cut: Arc<AtomicU32>,
    pub refused: Arc<AtomicU32>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Sound {
    pub fn start(site: &Arc<Site>, pause: Duration) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let counters: [Arc<AtomicU32>; 3] = Default::default();
        let [sent, cut, refused] = counters.clone();
        let (site, over) = (Arc::clone(site), Arc::clone(&is_over));
        let thread = thread::spawn(move || {
            let mut calls = Vec::new();
            while !over.load(Ordering::SeqCst) {
                let number = sent.fetch_add(1, Ordering::SeqCst);
                let (site, cut, refused) = (Arc::clone(&site), Arc::clone(&cut), Arc::clone(&refused));
                calls.push(thread::spawn(move || {
                    let request = request(&format!("sound{number}"), format!("f1:600,b{}:200,c{number:x}:100", number % 5), Duration::from_secs(6));
                    let reply = site.client.call(site.fleet.choose(None), &request, None);
                    match reply.end {
                        End::Whole(200) => {}
                        End::Whole(503 | 429) => drop(refused.fetch_add(1, Ordering::SeqCst)),
                        _ => drop(cut.fetch_add(1, Ordering::SeqCst)),
                    }
                }));
                thread::sleep(pause);
            }
            calls.into_iter().for_each(|call| drop(call.join()));
        });
        let [sent, cut, refused] = counters;
        Self { is_over, sent, cut, refused, thread: Some(thread) }
    }

    pub fn end(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Arrivals of requests with the part at runners, in order.
pub fn arrivals(site: &Site) -> Vec<Arrival> {
    let mut all: Vec<Arrival> = Vec::new();
    for runner in &site.runners {
        all.extend(runner.arrivals.lock().unwrap().iter().filter(|one| one.prefix.contains(PART)).cloned());
    }
    all.sort_by(|one, other| one.at.total_cmp(&other.at));
    all
}

/// Times of all crashes, in order.
pub fn crashes(site: &Site) -> Vec<f64> {
    let mut all: Vec<f64> = site.runners.iter().flat_map(|runner| runner.crashes.lock().unwrap().clone()).collect();
    all.sort_by(f64::total_cmp);
    all
}

