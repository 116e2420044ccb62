//! The `sapphire-entry` program.

use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use entry::control::{ProposalQueue, follow_control, serve_proposals};
use entry::core::EntryCore;
use entry::pool::{LinkPool, serve_dials};
use entry::server::bind_server;
use kernel::program::{self, new_incarnation};
use kernel::{ServiceKernel, TaskService};
use link::control_client::ControlClient;
use link::{LinkIdentity, LinkSecret, LinkSettings, PeerRole};
use settings::process::EntrySettings;
use watch::label::LabelSettings;
use watch::{EntryMetrics, InstanceRole};

/// Interval at which a drain checks whether calls are still active.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time between failing readiness and refusing calls, for the load balancer to react.
const BALANCER_GRACE: Duration = Duration::from_millis(500);

#[actix_web::main]
async fn main() -> ExitCode {
    let settings: EntrySettings = match program::start("entry") {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    match build_kernel(settings) {
        Ok(kernel) => kernel::process::run(kernel).await,
        Err(error) => {
            log::error!("entry: failed to start: {error}.");
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
    let control_link_settings = LinkSettings::new(identity.clone(), secret.clone());
    let agent_link_settings = LinkSettings::new(identity, secret);
    let (client, events) =
        ControlClient::start(settings.control.clone(), control_link_settings.clone());
    let (pool, dials) = LinkPool::new();
    let (proposals, requests) = ProposalQueue::new();
    let http = settings.instance.http;
    let metrics = EntryMetrics::new(LabelSettings {
        accounts: settings.instance.account_labels,
        ..LabelSettings::default()
    })?;
    let traffic = &metrics.process.traffic;
    traffic.add_source(Some(InstanceRole::Control), control_link_settings.counters);
    traffic.add_source(
        Some(InstanceRole::Agent),
        Arc::clone(&agent_link_settings.counters),
    );
    let core = EntryCore::new(
        settings,
        new_incarnation(),
        pool.clone(),
        proposals,
        metrics,
    );
    let core = Arc::new(core);
    let server = bind_server(http, Arc::clone(&core))?;

    let kernel = Rc::new(ServiceKernel::new());
    let follow = follow_control(Arc::clone(&core), Rc::clone(&client), events);
    let propose = serve_proposals(Rc::clone(&client), requests);
    kernel.register(
        "control",
        client,
        TaskService::spawning(vec![Box::pin(follow), Box::pin(propose)]),
    )?;
    let dial = serve_dials(pool.clone(), agent_link_settings, dials);
    kernel.register(
        "links",
        Rc::new(pool),
        TaskService::spawning(vec![Box::pin(dial)]),
    )?;
    let handle = server.handle();
    let reporter = Rc::clone(&kernel);
    let serve = async move {
        if let Err(error) = server.await {
            reporter.report_failure("http", error.to_string());
        }
    };
    let service = TaskService::spawning(vec![Box::pin(serve)])
        .on_drain(drain_calls(Arc::clone(&core)))
        .on_stop(async move {
            handle.stop(true).await;
            Ok(())
        });
    kernel.register("http", Rc::new(core), service)?;
    Ok(kernel)
}

/// Fails readiness, then refuses new calls and waits until every answer has ended.
async fn drain_calls(core: Arc<EntryCore>) -> Result<(), String> {
    core.fail_readiness();
    actix_rt::time::sleep(BALANCER_GRACE).await;
    core.stop_admitting();
    while core.active() > 0 {
        actix_rt::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    Ok(())
}
