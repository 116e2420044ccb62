//! The `sapphire-fake` program: runs one fake server, or one step of the quickstart's tour.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use fake::caller::{CallError, CallerSettings};
use fake::engine::{self, EngineSettings};
use fake::plain::{self, PlainSettings};
use fake::platform;
use fake::tour::{self, LoadSettings};

/// Runs a fake model engine, plain service or platform list, or a step of the quickstart's tour.
#[derive(FromArgs)]
struct FakeArgs {
    #[argh(subcommand)]
    kind: FakeKind,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum FakeKind {
    Engine(EngineArgs),
    Plain(PlainArgs),
    Platform(PlatformArgs),
    Tour(TourArgs),
}

/// Fake model engine.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct EngineArgs {
    /// address of the HTTP server
    #[argh(option)]
    http: SocketAddr,
    /// pause before the first token if at most half of the prompt is cached, in ms
    #[argh(option, default = "20")]
    prefill_ms: u64,
    /// pause before each further token, in ms
    #[argh(option, default = "2")]
    token_ms: u64,
    /// a prompt that contains this text aborts the process
    #[argh(option)]
    poison: Option<String>,
    /// refuse orders with an outdated fencing token
    #[argh(switch)]
    checks_fence: bool,
}

/// Fake plain service.
#[derive(FromArgs)]
#[argh(subcommand, name = "plain")]
struct PlainArgs {
    /// address of the HTTP server
    #[argh(option)]
    http: SocketAddr,
    /// duration of every call except counts and health checks, in ms
    #[argh(option, default = "5")]
    pause_ms: u64,
}

/// Fake platform API with the list of instances.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformArgs {
    /// address of the HTTP server
    #[argh(option)]
    http: SocketAddr,
}

/// One step of the quickstart's tour.
#[derive(FromArgs)]
#[argh(subcommand, name = "tour")]
struct TourArgs {
    /// address of an entry; repeat it for each entry
    #[argh(option)]
    entry: Vec<SocketAddr>,
    /// key of the client account
    #[argh(option)]
    key: String,
    /// name of the requested model
    #[argh(option, default = "String::from(\"bulletin\")")]
    model: String,
    /// idempotency key of the order
    #[argh(option, default = "String::from(\"order-1\")")]
    order: String,
    /// number of concurrent callers
    #[argh(option, default = "8")]
    callers: usize,
    /// number of calls of each caller
    #[argh(option, default = "3")]
    calls: usize,
    /// tokens of each answer under load
    #[argh(option, default = "200")]
    tokens: u64,
    /// ready, chats, refused, order or load
    #[argh(positional)]
    step: String,
}

#[actix_web::main]
async fn main() -> ExitCode {
    let args: FakeArgs = argh::from_env();
    let result = match args.kind {
        FakeKind::Engine(args) => {
            let settings = EngineSettings {
                http: args.http,
                prefill: Duration::from_millis(args.prefill_ms),
                token_pause: Duration::from_millis(args.token_ms),
                poison: args.poison,
                checks_fence: args.checks_fence,
                ..EngineSettings::default()
            };
            engine::serve(settings)
                .await
                .map_err(|error| error.to_string())
        }
        FakeKind::Plain(args) => {
            let pause = Duration::from_millis(args.pause_ms);
            let settings = PlainSettings {
                http: args.http,
                pause,
            };
            plain::serve(settings)
                .await
                .map_err(|error| error.to_string())
        }
        FakeKind::Platform(args) => platform::serve(args.http)
            .await
            .map_err(|error| error.to_string()),
        FakeKind::Tour(args) => take_step(&args).await.map_err(|error| error.to_string()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            eprintln!("fake: {reason}");
            ExitCode::FAILURE
        }
    }
}

async fn take_step(args: &TourArgs) -> fake::caller::Result<()> {
    let entries = args.entry.iter();
    let entries: Vec<CallerSettings> = entries
        .map(|entry| CallerSettings {
            entry: *entry,
            key: args.key.clone(),
        })
        .collect();
    let (Some(first), Some(last)) = (entries.first(), entries.last()) else {
        return Err(CallError {
            reason: "--entry is missing".to_owned(),
        });
    };
    match args.step.as_str() {
        "ready" => {
            for entry in &entries {
                tour::wait_until_ready(entry, &args.model).await?;
            }
            Ok(())
        }
        "chats" => tour::run_returning_chats(first, &args.model).await,
        "refused" => tour::call_with_unknown_key(first, &args.model).await,
        "order" => tour::order_twice([first, last], "guichet", &args.order).await,
        "load" => {
            let load = LoadSettings {
                model: args.model.clone(),
                callers: args.callers,
                calls: args.calls,
                tokens: args.tokens,
            };
            tour::run_load(&entries, &load).await
        }
        other => Err(CallError {
            reason: format!("unknown step {other}"),
        }),
    }
}
