//! The `sapphire-agent` program.

use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use agent::admission::watch_deadlines;
use agent::control::{ControlLinks, abandon_claims, follow_control, send_heartbeats};
use agent::core::{AgentCore, AgentShared};
use agent::endpoint::watch_health;
use agent::http::bind_server;
use agent::orders::send_orders;
use agent::server::serve_links;
use kernel::program::{self, new_incarnation};
use kernel::{ServiceKernel, TaskFuture, TaskService};
use link::{LinkIdentity, LinkSecret, LinkSettings, PeerRole};
use settings::process::AgentSettings;
use tokio::net::TcpListener;
use watch::label::LabelSettings;
use watch::{AgentMetrics, InstanceRole};

/// Interval at which a drain checks whether work is unfinished.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Delay between the end of a drain and the closing of connections, for the last frames to be sent.
const FLUSH_DELAY: Duration = Duration::from_millis(250);

#[actix_web::main]
async fn main() -> ExitCode {
    let settings: AgentSettings = match program::start("agent") {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    match build_kernel(settings).await {
        Ok(kernel) => kernel::process::run(kernel).await,
        Err(error) => {
            log::error!("agent: failed to start: {error}.");
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
    let link_settings = LinkSettings::new(identity.clone(), secret.clone());
    let entry_settings = LinkSettings::new(identity, secret);
    let (links, events) = ControlLinks::start(&settings.control, &link_settings);
    let listener = TcpListener::bind(settings.link).await?;
    let http = settings.instance.http;
    let metrics = AgentMetrics::new(LabelSettings {
        accounts: settings.instance.account_labels,
        ..LabelSettings::default()
    })?;
    let traffic = &metrics.process.traffic;
    traffic.add_source(Some(InstanceRole::Control), link_settings.counters);
    traffic.add_source(
        Some(InstanceRole::Entry),
        Arc::clone(&entry_settings.counters),
    );
    let limits = settings.limits.clone();
    let shared = Arc::new(AgentShared::new(settings, metrics));
    let server = bind_server(http, &limits, Arc::clone(&shared))?;
    let core = Rc::new(AgentCore::new(
        Arc::clone(&shared),
        new_incarnation(),
        links,
    ));

    let kernel = Rc::new(ServiceKernel::new());
    let handle = server.handle();
    let failure_reporter = Rc::clone(&kernel);
    let serve = async move {
        if let Err(error) = server.await {
            failure_reporter.report_failure("http", error.to_string());
        }
    };
    let http_service = TaskService::spawning(vec![Box::pin(serve)]).on_stop(async move {
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
    kernel.register("control", Rc::clone(&core), TaskService::spawning(tasks))?;
    let tasks: Vec<TaskFuture> = vec![
        Box::pin(watch_health(Rc::clone(&core))),
        Box::pin(send_orders(Rc::clone(&core))),
    ];
    kernel.register("endpoint", Rc::clone(&core), TaskService::spawning(tasks))?;
    let tasks: Vec<TaskFuture> = vec![
        Box::pin(watch_deadlines(Rc::clone(&core))),
        Box::pin(serve_links(listener, entry_settings, Rc::clone(&core))),
    ];
    let admission = TaskService::spawning(tasks).on_drain(drain_attempts(Rc::clone(&core)));
    kernel.register("admission", core, admission)?;
    Ok(kernel)
}

/// Refuses new work and waits until every answer has been delivered to its entry and control has
/// recorded the end of every claimed attempt.
async fn drain_attempts(core: Rc<AgentCore>) -> Result<(), String> {
    core.stop();
    while core.has_unfinished_work() {
        actix_rt::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    actix_rt::time::sleep(FLUSH_DELAY).await;
    Ok(())
}
