//! Fake model engine with a prefix cache and a configurable token rate.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use actix_web::middleware::from_fn;
use actix_web::{App, HttpResponse, HttpServer, web};
use bytes::Bytes;
use futures::stream;
use kernel::http::set_nodelay;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use wire::id::{FenceNumber, PrefixHash, name_id};

use crate::request_id::echo_request_id;

/// Bytes of prompt text in one cache block.
const BLOCK_BYTES: usize = 64;
/// Tokens per cache block.
const BLOCK_TOKENS: u64 = 16;

/// Settings of a fake engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Address of the HTTP server.
    pub http: SocketAddr,
    /// Pause before the first token if at most half of the prompt is cached.
    pub prefill: Duration,
    /// Pause before each further token.
    pub token_pause: Duration,
    /// Capacity of the prefix cache in blocks.
    pub cache_blocks: usize,
    /// A prompt that contains this text aborts the process.
    pub poison: Option<String>,
    /// Whether orders with an outdated fencing token are refused.
    pub checks_fence: bool,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            http: SocketAddr::from(([127, 0, 0, 1], 0)),
            prefill: Duration::from_millis(20),
            token_pause: Duration::from_millis(2),
            cache_blocks: 4096,
            poison: None,
            checks_fence: false,
        }
    }
}

/// State shared by the workers of the HTTP server.
struct EngineState {
    settings: EngineSettings,
    /// Cached blocks, least recently used first.
    cache: Mutex<VecDeque<PrefixHash>>,
    runs: AtomicU64,
    cancels: AtomicU64,
    running: AtomicU64,
    fence: AtomicU64,
}

#[derive(Deserialize)]
struct ChatRequest {
    #[serde(default)]
    model: String,
    messages: Vec<Value>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
}

/// An order to load a model.
#[derive(Debug, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Model to load.
    pub model: String,
    /// Fencing token of the order.
    pub fence: FenceNumber,
}

/// Serves until the process is terminated.
///
/// # Errors
/// The address can't be bound, or the HTTP server fails.
pub async fn serve(settings: EngineSettings) -> std::io::Result<()> {
    let address = settings.http;
    let state = web::Data::new(EngineState {
        settings,
        cache: Mutex::default(),
        runs: AtomicU64::new(0),
        cancels: AtomicU64::new(0),
        running: AtomicU64::new(0),
        fence: AtomicU64::new(0),
    });
    HttpServer::new(move || {
        App::new()
            .wrap(from_fn(echo_request_id))
            .app_data(state.clone())
            .app_data(web::PayloadConfig::new(64 * 1024 * 1024))
            .app_data(web::JsonConfig::default().limit(64 * 1024 * 1024))
            .route("/v1/chat/completions", web::post().to(complete))
            .route("/orders/load", web::post().to(load_model))
            .route("/stats", web::get().to(stats))
            .route("/healthz", web::get().to(HttpResponse::Ok))
    })
    .on_connect(set_nodelay)
    .workers(2)
    .bind(address)?
    .run()
    .await
}

async fn complete(state: web::Data<EngineState>, body: web::Bytes) -> HttpResponse {
    let Ok(request) = serde_json::from_slice::<ChatRequest>(&body) else {
        return HttpResponse::BadRequest().json(json!({"error": "malformed request"}));
    };
    let prompt = prompt_text(&request.messages);
    if state
        .settings
        .poison
        .as_ref()
        .is_some_and(|text| prompt.contains(text))
    {
        log::error!("engine: the prompt contains the poison text; aborting the process.");
        std::process::abort();
    }
    state.runs.fetch_add(1, Ordering::Relaxed);
    let (cached, total) = touch_cache(&state, &prompt);
    let run = EngineRun::new(
        state,
        &request,
        &prompt,
        cached * BLOCK_TOKENS,
        total * BLOCK_TOKENS,
    );
    let mut response = HttpResponse::Ok();
    response.insert_header(("x-cached-tokens", run.cached_tokens.to_string()));
    if request.stream {
        response
            .content_type("text/event-stream")
            .streaming(stream_run(run))
    } else {
        response.json(run.finish_whole().await)
    }
}

/// A completion in progress.
struct EngineRun {
    state: web::Data<EngineState>,
    model: String,
    /// Hash of the prompt, by which callers check that an answer is their own.
    prompt_hash: String,
    tokens: u64,
    sent: u64,
    is_done: bool,
    cached_tokens: u64,
    prompt_tokens: u64,
}

impl EngineRun {
    fn new(
        state: web::Data<EngineState>,
        request: &ChatRequest,
        prompt: &str,
        cached_tokens: u64,
        prompt_tokens: u64,
    ) -> Self {
        state.running.fetch_add(1, Ordering::Relaxed);
        Self {
            state,
            model: request.model.clone(),
            prompt_hash: format!("{:016x}", name_id(prompt)),
            tokens: request.max_tokens.unwrap_or(16),
            sent: 0,
            is_done: false,
            cached_tokens,
            prompt_tokens,
        }
    }

    async fn pause(&self) {
        let settings = &self.state.settings;
        let is_warm = self.cached_tokens * 2 > self.prompt_tokens;
        let pause = match self.sent {
            0 if is_warm => Duration::ZERO,
            0 => settings.prefill,
            _ => settings.token_pause,
        };
        // A sleep of zero duration would still wait for the timer's next tick.
        if pause > Duration::ZERO {
            actix_rt::time::sleep(pause).await;
        }
    }

    async fn next_event(&mut self) -> Option<Bytes> {
        if self.is_done {
            return None;
        }
        if self.sent == self.tokens {
            self.is_done = true;
            return Some(Bytes::from_static(b"data: [DONE]\n\n"));
        }
        self.pause().await;
        self.sent += 1;
        let choice = json!({"index": 0, "delta": {"content": format!("w{} ", self.sent)}});
        let event = json!({"object": "chat.completion.chunk", "model": self.model,
            "prompt": self.prompt_hash, "choices": [choice]});
        Some(Bytes::from(format!("data: {event}\n\n")))
    }

    async fn finish_whole(mut self) -> Value {
        let mut text = String::new();
        while self.sent < self.tokens {
            self.pause().await;
            self.sent += 1;
            text.push_str(&format!("w{} ", self.sent));
        }
        self.is_done = true;
        json!({
            "object": "chat.completion",
            "model": self.model,
            "choices": [{"index": 0, "message": {"role": "assistant", "content": text}}],
            "usage": {"prompt_tokens": self.prompt_tokens, "completion_tokens": self.tokens,
                "prompt_tokens_details": {"cached_tokens": self.cached_tokens}},
        })
    }
}

impl Drop for EngineRun {
    fn drop(&mut self) {
        self.state.running.fetch_sub(1, Ordering::Relaxed);
        if !self.is_done {
            self.state.cancels.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn stream_run(run: EngineRun) -> impl futures::Stream<Item = Result<Bytes, std::io::Error>> {
    stream::unfold(run, |mut run| async move {
        let event = run.next_event().await?;
        Some((Ok(event), run))
    })
}

fn prompt_text(messages: &[Value]) -> String {
    let texts = messages
        .iter()
        .filter_map(|message| message.get("content")?.as_str());
    texts.collect::<Vec<_>>().join("\n")
}

/// Caches all complete blocks of the prompt as most recently used. Returns the number of blocks
/// that were cached before, and of all blocks.
fn touch_cache(state: &EngineState, prompt: &str) -> (u64, u64) {
    let mut cache = state
        .cache
        .lock()
        .expect("no thread panics while it holds the cache");
    let mut cached = 0;
    let mut total = 0;
    for end in (BLOCK_BYTES..=prompt.len()).step_by(BLOCK_BYTES) {
        let hash = name_id(&String::from_utf8_lossy(&prompt.as_bytes()[..end]));
        total += 1;
        if let Some(index) = cache.iter().position(|found| *found == hash) {
            cache.remove(index);
            cached += 1;
        }
        cache.push_back(hash);
    }
    while cache.len() > state.settings.cache_blocks {
        cache.pop_front();
    }
    (cached, total)
}

async fn load_model(state: web::Data<EngineState>, order: web::Json<EngineOrder>) -> HttpResponse {
    let newest = state.fence.fetch_max(order.fence, Ordering::Relaxed);
    if state.settings.checks_fence && order.fence < newest {
        return HttpResponse::Conflict().json(json!({"error": "outdated fencing number"}));
    }
    log::info!(
        "engine: loading model {}; fencing token {}.",
        order.model,
        order.fence
    );
    HttpResponse::Ok().json(json!({"model": order.model}))
}

async fn stats(state: web::Data<EngineState>) -> HttpResponse {
    HttpResponse::Ok().json(json!({
        "runs": state.runs.load(Ordering::Relaxed),
        "cancels": state.cancels.load(Ordering::Relaxed),
        "running": state.running.load(Ordering::Relaxed),
    }))
}
