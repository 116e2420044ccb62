//! The `sapphire-agent` program.

use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use agent::admission::watch_deadlines;
use agent::control::{ControlLinks, abandon_claims, follow_control, send_heartbeats};
use agent::core::{AgentCore, AgentShared};
use agent::endpoint::watch_health;
use agent::http::bind_server;
use agent::orders::send_orders;
use agent::server::serve_links;
use argh::FromArgs;
use kernel::{ServiceKernel, TaskService};
use link::{LinkIdentity, LinkSecret, LinkSettings, PeerRole};
use settings::process::{self, AgentSettings};
use tokio::net::TcpListener;
use watch::label::LabelSettings;
use watch::{AgentMetrics, LogSettings};

/// Pause between two looks at the attempts that are still active during a stop.
const DRAIN_PAUSE: Duration = Duration::from_millis(50);

/// Time for the last frames to leave.
const FLUSH_GRACE: Duration = Duration::from_millis(250);

/// Admits, runs and accounts for the work of one endpoint.
#[derive(FromArgs)]
struct AgentArgs {
    /// settings file
    #[argh(option)]
    settings: PathBuf,
    /// check the settings file and exit
    #[argh(switch)]
    check: bool,
    /// log level: off, error, warn, info, debug or trace
    #[argh(option)]
    log_level: Option<String>,
    /// log format: text or json
    #[argh(option)]
    log_format: Option<String>,
}

#[actix_web::main]
async fn main() -> ExitCode {
    let args: AgentArgs = argh::from_env();
    let settings: AgentSettings = match process::load(&args.settings) {
        Ok(settings) => settings,
        Err(faults) => {
            for fault in faults {
                eprintln!("agent: {fault}");
            }
            return ExitCode::from(2);
        }
    };
    if args.check {
        return ExitCode::SUCCESS;
    }
    let logs = LogSettings::choose(args.log_level.as_deref(), args.log_format.as_deref());
    if let Err(error) = logs.and_then(LogSettings::install) {
        eprintln!("agent: {error}");
        return ExitCode::from(2);
    }
    match build_kernel(settings).await {
        Ok(kernel) => kernel::process::run(kernel).await,
        Err(error) => {
            log::error!("agent: {error}.");
            ExitCode::FAILURE
        }
    }
}

async fn build_kernel(
    settings: AgentSettings,
) -> Result<Rc<ServiceKernel>, Box<dyn std::error::Error>> {
    let identity = LinkIdentity {
        name: settings.instance.name.clone(),
        role: PeerRole::Agent,
    };
    let secret = LinkSecret::load(&settings.instance.secret_file)?;
    let link_settings = LinkSettings::new(identity, secret);
    let (links, events) = ControlLinks::start(&settings.control, &link_settings);
    let listener = TcpListener::bind(settings.link).await?;
    let http = settings.instance.http;
    let metrics = AgentMetrics::new(LabelSettings::default())?;
    let shared = Arc::new(AgentShared::new(settings, metrics));
    let server = bind_server(http, Arc::clone(&shared))?;
    let core = Rc::new(AgentCore::new(Arc::clone(&shared), incarnation(), links));

    let kernel = Rc::new(ServiceKernel::new());
    let handle = server.handle();
    let failures = Rc::clone(&kernel);
    let serve = async move {
        if let Err(error) = server.await {
            failures.report_failure("http", error.to_string());
        }
    };
    let http_service = spawning(vec![Box::pin(serve)]).on_stop(async move {
        handle.stop(true).await;
        Ok(())
    });
    kernel.register("http", Rc::new(shared), http_service)?;
    let mut tasks: Vec<TaskFuture> = vec![
        Box::pin(send_heartbeats(Rc::clone(&core))),
        Box::pin(abandon_claims(Rc::clone(&core))),
    ];
    for (index, events) in events.into_iter().enumerate() {
        tasks.push(Box::pin(follow_control(Rc::clone(&core), index, events)));
    }
    kernel.register("control", Rc::clone(&core), spawning(tasks))?;
    let tasks: Vec<TaskFuture> = vec![
        Box::pin(watch_health(Rc::clone(&core))),
        Box::pin(send_orders(Rc::clone(&core))),
    ];
    kernel.register("endpoint", Rc::clone(&core), spawning(tasks))?;
    let tasks: Vec<TaskFuture> = vec![
        Box::pin(watch_deadlines(Rc::clone(&core))),
        Box::pin(serve_links(listener, link_settings, Rc::clone(&core))),
    ];
    let admission = spawning(tasks).on_drain(drain_attempts(Rc::clone(&core)));
    kernel.register("admission", core, admission)?;
    Ok(kernel)
}

type TaskFuture = std::pin::Pin<Box<dyn Future<Output = ()>>>;

/// A service that spawns `tasks` at its start.
fn spawning(tasks: Vec<TaskFuture>) -> TaskService {
    TaskService::new().on_start(async move {
        for task in tasks {
            actix_rt::spawn(task);
        }
        Ok(())
    })
}

/// Refuses new work and waits until every answer has reached its entry and every end is recorded.
async fn drain_attempts(core: Rc<AgentCore>) -> Result<(), String> {
    core.stop();
    while core.has_unfinished() {
        actix_rt::time::sleep(DRAIN_PAUSE).await;
    }
    // The last frames leave before the connections close.
    actix_rt::time::sleep(FLUSH_GRACE).await;
    Ok(())
}

/// A number that grows from one life of this instance to the next.
fn incarnation() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_nanos()).unwrap_or(u64::MAX)
}
