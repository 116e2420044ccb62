//! The `sapphire-gateway` program.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use gateway::crash_notices::send_crash_notices;
use gateway::datagrams::receive_datagrams;
use gateway::endpoint_list::follow_list;
use gateway::heartbeat::send_heartbeats;
use gateway::http::{HttpAudience, serve_http};
use gateway::node::GatewayNode;
use gateway::origin_file::keep_origins;
use gateway::peer_requests::serve_peers;
use gateway::peers::GatewayPeers;
use gateway::process_file::keep_processes;
use gateway::quorum::open_quorum;
use gateway::reload::follow_settings;
use gateway::suspect_file::keep_suspects;
use kernel::{ServiceKernel, TaskFuture, TaskService, program};
use link::{LinkIdentity, LinkSecret, LinkSettings, PeerRole};
use platform::PlatformDialect;
use quota::connections::ConnectionLimits;
use quota::progress::ProgressLimits;
use relay::admission::AdmissionSettings;
use relay::budget::BudgetSettings;
use relay::caller_limits::CallerLimits;
use relay::cold_sharing::send_cold_notices;
use relay::drain::{DrainSettings, drain_callers};
use relay::fleet_watch::MAX_STALL;
use relay::origin::OriginSettings;
use relay::origin_confirmation::repeat_origins;
use relay::server::serve_callers;
use relay::state::{RelaySettings, RelayState};
use settings::process::{GatewaySettings, LimitSettings};
use tokio::net::{TcpListener, UdpSocket};
use watch::GatewayMetrics;
use watch::label::LabelSettings;
use wire::gateway::instance_at;
use wire::id::name_id;

/// Time before the end of the grace period at which a drain ends, even if calls are still running.
const GRACE_MARGIN: Duration = Duration::from_millis(400);
/// Longest time for connecting a link, and again for its handshake.
const LINK_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Share of the file descriptors, as a divisor, that is not left to callers' connections: those that
/// the machine itself needs (200 of 4,100), and those of connections to endpoints, of links, of the
/// listeners for checks, and of files.
const RESERVED_DESCRIPTORS_DIVISOR: usize = 4;

type BoxedError = Box<dyn std::error::Error>;

#[actix_web::main]
async fn main() -> ExitCode {
    let (settings, path) = match program::start_file::<GatewaySettings>("gateway") {
        Ok(started) => started,
        Err(code) => return code,
    };
    match build_kernel(settings, path).await {
        Ok(kernel) => kernel::process::run(kernel).await,
        Err(error) => {
            log::error!("gateway: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn build_kernel(
    settings: GatewaySettings,
    path: PathBuf,
) -> Result<Rc<ServiceKernel>, BoxedError> {
    log::info!(name = settings.name.as_str(), first_start = settings.first_start; "gateway: starting");
    let callers = TcpListener::bind(settings.callers).await?;
    let readiness = TcpListener::bind(settings.readiness).await?;
    let operators = TcpListener::bind(settings.operators).await?;
    let link_listener = TcpListener::bind(SocketAddr::V4(settings.link)).await?;
    let socket = UdpSocket::bind(SocketAddr::V4(settings.link)).await?;
    let relay_state = Rc::new(RelayState::new(
        relay_settings(&settings),
        Rc::new(PlatformDialect),
        GatewayMetrics::new(LabelSettings::default())?,
    ));
    let links = link_settings(&settings)?;
    let metrics = match settings.metrics {
        Some(address) => Some(TcpListener::bind(address).await?),
        None => None,
    };
    let data = settings.data.clone();
    let grace = Duration::from_secs_f64(settings.grace_s);
    let incarnation = program::new_incarnation();
    let node = GatewayNode::new(
        settings,
        incarnation,
        Rc::clone(&relay_state),
        socket,
        links,
    );
    let node = Rc::new(node);
    // The cell is new, so it is empty.
    let _ = relay_state.peers.set(Rc::new(GatewayPeers::new(&node)));
    let kernel = Rc::new(ServiceKernel::new());
    let shared = || Rc::clone(&node);
    let peers = TaskService::spawning(vec![
        Box::pin(receive_datagrams(shared())),
        Box::pin(serve_peers(link_listener, shared())),
        Box::pin(send_heartbeats(shared())),
        Box::pin(send_crash_notices(shared())),
        Box::pin(send_cold_notices(Rc::clone(&relay_state))),
        Box::pin(repeat_origins(Rc::clone(&relay_state))),
        Box::pin(follow_settings(shared(), path)),
    ]);
    kernel.register("peers", shared(), peers)?;
    let quorum = quorum_service(&kernel, shared(), data);
    kernel.register("quorum", shared(), quorum)?;
    let list = TaskService::spawning(vec![Box::pin(follow_list(shared()))]);
    kernel.register("list", shared(), list)?;
    let mut served: Vec<TaskFuture> = vec![
        Box::pin(serve_http(operators, HttpAudience::Operators, shared())),
        Box::pin(serve_http(readiness, HttpAudience::Checks, shared())),
    ];
    if let Some(metrics) = metrics {
        served.push(Box::pin(serve_http(
            metrics,
            HttpAudience::Checks,
            shared(),
        )));
    }
    let operators = TaskService::spawning(served);
    kernel.register("operators", shared(), operators)?;
    let relay = TaskService::spawning(vec![Box::pin(serve_callers(
        callers,
        Rc::clone(&relay_state),
    ))]);
    let relay = relay.on_drain(drain(node, grace));
    kernel.register("relay", relay_state, relay)?;
    Ok(kernel)
}

fn quorum_service(
    kernel: &Rc<ServiceKernel>,
    node: Rc<GatewayNode>,
    data: Option<PathBuf>,
) -> TaskService {
    let Some(data) = data else {
        return TaskService::new();
    };
    let kernel = Rc::clone(kernel);
    let suspects = keep_suspects(Rc::clone(&node), data.clone());
    let origins = keep_origins(Rc::clone(&node.relay_state), data.clone());
    let processes = keep_processes(Rc::clone(&node.relay_state), data.clone());
    let quorum = async move {
        if let Err(reason) = open_quorum(node, data).await {
            kernel.report_failure("quorum", reason);
        }
    };
    TaskService::spawning(vec![
        Box::pin(suspects),
        Box::pin(origins),
        Box::pin(processes),
        Box::pin(quorum),
    ])
}

fn relay_settings(settings: &GatewaySettings) -> RelaySettings {
    RelaySettings {
        instance: instance_at(settings.link),
        domain: name_id(&settings.failure_domain),
        is_first_start: settings.first_start,
        admission: AdmissionSettings {
            shares_accounts: settings.share_accounts,
            ..AdmissionSettings::default()
        },
        list_lag: Duration::from_millis(settings.list.lag_ms) + MAX_STALL,
        budget: BudgetSettings {
            ratio: settings.retries.ratio,
            extra: settings.retries.extra,
            window: Duration::from_secs_f64(settings.retries.window_s),
        },
        callers: caller_limits(&settings.limits),
        origins: OriginSettings {
            is_storing: settings.data.is_some(),
            ..OriginSettings::default()
        },
        ..RelaySettings::default()
    }
}

fn caller_limits(limits: &LimitSettings) -> CallerLimits {
    let connections =
        kernel::limits::descriptor_limit().map_or(limits.connections, |descriptors| {
            let reserved = descriptors / RESERVED_DESCRIPTORS_DIVISOR;
            limits.connections.min(descriptors - reserved)
        });
    if connections < limits.connections {
        log::warn!(
            connections = connections, configured = limits.connections;
            "gateway: fewer connections of callers than configured, as descriptors are short"
        );
    }
    let progress = ProgressLimits {
        bytes_per_second: limits.min_bytes_per_s,
        grace: Duration::from_secs_f64(limits.grace_s),
        total: Duration::MAX,
    };
    CallerLimits {
        budget_bytes: limits.budget_bytes(),
        connections: ConnectionLimits {
            connections,
            per_address: limits.connections_per_address,
            waiting: 0,
            closing: 0,
        },
        pipelined_requests: limits.pipelined_requests,
        body_timeout: Duration::from_millis(limits.body_pause_ms),
        body_progress: ProgressLimits {
            total: Duration::from_secs_f64(limits.body_time_s),
            ..progress
        },
        answer_progress: progress,
    }
}

fn link_settings(settings: &GatewaySettings) -> Result<LinkSettings, BoxedError> {
    let secret = match &settings.secret_file {
        Some(path) => LinkSecret::load(path)?,
        None => LinkSecret::new(Vec::new()),
    };
    let identity = LinkIdentity {
        name: settings.name.clone(),
        role: PeerRole::Control,
    };
    Ok(LinkSettings {
        connect_limit: LINK_CONNECT_TIMEOUT,
        ..LinkSettings::new(identity, secret)
    })
}

/// Transfers the leadership and drains the relay, at most until [`GRACE_MARGIN`] before the end of
/// the grace period.
async fn drain(node: Rc<GatewayNode>, grace: Duration) -> kernel::service::StepResult {
    let relay_state = Rc::clone(&node.relay_state);
    let settings = DrainSettings {
        time_limit: grace.saturating_sub(GRACE_MARGIN),
        ..DrainSettings::default()
    };
    let transfer = async {
        node.heartbeat_due.notify_one();
        node.transfer_leadership().await;
    };
    let (cut, ()) = tokio::join!(drain_callers(&relay_state, settings), transfer);
    log::info!(cut = cut; "gateway: drained");
    Ok(())
}
