//! The `sapphire-fake` program: one stand-in in a process.

use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;
use fake::engine::{self, EngineSettings};
use fake::plain::{self, PlainSettings};
use fake::platform;

/// Runs a stand-in for a model engine, a plain service or the platform's list.
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
}

/// A model engine.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct EngineArgs {
    /// address of the HTTP server
    #[argh(option)]
    http: SocketAddr,
    /// pause before the first token of a cold prompt, in ms
    #[argh(option, default = "20")]
    prefill_ms: u64,
    /// pause between two tokens, in ms
    #[argh(option, default = "2")]
    token_ms: u64,
    /// a prompt with this text ends the process
    #[argh(option)]
    poison: Option<String>,
    /// refuse orders with an outdated fencing number
    #[argh(switch)]
    checks_fence: bool,
}

/// A plain service.
#[derive(FromArgs)]
#[argh(subcommand, name = "plain")]
struct PlainArgs {
    /// address of the HTTP server
    #[argh(option)]
    http: SocketAddr,
    /// duration of every call, in ms
    #[argh(option, default = "5")]
    pause_ms: u64,
}

/// The platform's list.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformArgs {
    /// address of the HTTP server
    #[argh(option)]
    http: SocketAddr,
}

#[actix_web::main]
async fn main() -> std::io::Result<()> {
    let args: FakeArgs = argh::from_env();
    match args.kind {
        FakeKind::Engine(args) => {
            let settings = EngineSettings {
                http: args.http,
                prefill: Duration::from_millis(args.prefill_ms),
                token_pause: Duration::from_millis(args.token_ms),
                poison: args.poison,
                checks_fence: args.checks_fence,
                ..EngineSettings::default()
            };
            engine::serve(settings).await
        }
        FakeKind::Plain(args) => {
            let pause = Duration::from_millis(args.pause_ms);
            plain::serve(PlainSettings {
                http: args.http,
                pause,
            })
            .await
        }
        FakeKind::Platform(args) => platform::serve(args.http).await,
    }
}
