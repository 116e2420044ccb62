//! The `sapphire-entry` program.

use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use argh::FromArgs;
use entry::control::{ProposalQueue, follow_control, serve_proposals};
use entry::core::EntryCore;
use entry::pool::{LinkPool, serve_dials};
use entry::server::bind_server;
use kernel::{ServiceKernel, TaskService};
use link::control_client::ControlClient;
use link::{LinkIdentity, LinkSecret, LinkSettings, PeerRole};
use settings::process::{self, EntrySettings};
use watch::{EntryMetrics, LogSettings};

/// Pause between two looks at the calls that are still active during a stop.
const DRAIN_PAUSE: Duration = Duration::from_millis(50);
/// Time between failing readiness and refusing calls, for the balancer to notice.
const BALANCER_GRACE: Duration = Duration::from_millis(500);

/// Takes requests from callers and streams the answers back.
#[derive(FromArgs)]
struct EntryArgs {
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
    let args: EntryArgs = argh::from_env();
    let settings: EntrySettings = match process::load(&args.settings) {
        Ok(settings) => settings,
        Err(faults) => {
            for fault in faults {
                eprintln!("entry: {fault}");
            }
            return ExitCode::from(2);
        }
    };
    if args.check {
        return ExitCode::SUCCESS;
    }
    let logs = LogSettings::choose(args.log_level.as_deref(), args.log_format.as_deref());
    if let Err(error) = logs.and_then(LogSettings::install) {
        eprintln!("entry: {error}");
        return ExitCode::from(2);
    }
    match build_kernel(settings) {
        Ok(kernel) => kernel::process::run(kernel).await,
        Err(error) => {
            log::error!("entry: {error}.");
            ExitCode::FAILURE
        }
    }
}

fn build_kernel(settings: EntrySettings) -> Result<Rc<ServiceKernel>, Box<dyn std::error::Error>> {
    let identity = LinkIdentity {
        name: settings.instance.name.clone(),
        role: PeerRole::Entry,
    };
    let secret = LinkSecret::load(&settings.instance.secret_file)?;
    let link_settings = LinkSettings::new(identity, secret);
    let (client, events) = ControlClient::start(settings.control.clone(), link_settings.clone());
    let (pool, dials) = LinkPool::new();
    let (proposals, requests) = ProposalQueue::new();
    let http = settings.instance.http;
    let metrics = EntryMetrics::new(watch::label::LabelSettings::default())?;
    let core = EntryCore::new(settings, incarnation(), pool.clone(), proposals, metrics);
    let core = Arc::new(core);
    let server = bind_server(http, Arc::clone(&core))?;

    let kernel = Rc::new(ServiceKernel::new());
    let follow = follow_control(Arc::clone(&core), Rc::clone(&client), events);
    let propose = serve_proposals(Rc::clone(&client), requests);
    kernel.register(
        "control",
        client,
        spawning([Box::pin(follow), Box::pin(propose)]),
    )?;
    let dial = serve_dials(pool.clone(), link_settings, dials);
    kernel.register("links", Rc::new(pool), spawning([Box::pin(dial)]))?;
    let handle = server.handle();
    let failures = Rc::clone(&kernel);
    let serve = async move {
        if let Err(error) = server.await {
            failures.report_failure("http", error.to_string());
        }
    };
    let service = spawning([Box::pin(serve)])
        .on_drain(drain_calls(Arc::clone(&core)))
        .on_stop(async move {
            handle.stop(true).await;
            Ok(())
        });
    kernel.register("http", Rc::new(core), service)?;
    Ok(kernel)
}

type TaskFuture = std::pin::Pin<Box<dyn Future<Output = ()>>>;

/// A service that spawns `tasks` at its start.
fn spawning<const COUNT: usize>(tasks: [TaskFuture; COUNT]) -> TaskService {
    TaskService::new().on_start(async move {
        for task in tasks {
            actix_rt::spawn(task);
        }
        Ok(())
    })
}

/// Fails readiness, refuses new calls, and waits until every answer is finished.
async fn drain_calls(core: Arc<EntryCore>) -> Result<(), String> {
    core.stop_ready();
    actix_rt::time::sleep(BALANCER_GRACE).await;
    core.stop();
    while core.active() > 0 {
        actix_rt::time::sleep(DRAIN_PAUSE).await;
    }
    Ok(())
}

/// A number that grows from one life of this instance to the next.
fn incarnation() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_nanos()).unwrap_or(u64::MAX)
}
