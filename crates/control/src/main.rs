//! The `sapphire-control` program.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use control::disk::DiskReports;
use control::node::ControlNode;
use control::operator::{operator_queue, serve_http, serve_operators};
use control::platform::follow_list;
use control::quorum::ControlQuorum;
use control::server::{send_digests, serve_links};
use kernel::program;
use kernel::{ServiceKernel, TaskService};
use link::{LinkIdentity, LinkSecret, LinkSettings, PeerRole};
use settings::history::SettingsHistory;
use settings::process::ControlSettings;
use settings::tree::Result;
use settings::{SettingFault, SettingsTree};
use tokio::net::TcpListener;
use tokio::time::sleep;
use watch::ControlMetrics;
use watch::label::LabelSettings;
use wire::command::{ControlCommand, ControlReply};

/// Pause before the next check for a confirmed quorum or the next proposal of the first tree.
const FIRST_TREE_POLL_INTERVAL: Duration = Duration::from_millis(100);

#[actix_web::main]
async fn main() -> ExitCode {
    let settings: ControlSettings = match program::start("control") {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let tree = match first_tree(settings.first_tree.as_deref()) {
        Ok(tree) => tree,
        Err(faults) => {
            for fault in faults {
                log::error!("control: first settings tree not loaded: {fault}.");
            }
            return ExitCode::FAILURE;
        }
    };
    match build_kernel(settings, tree).await {
        Ok(kernel) => kernel::process::run(kernel).await,
        Err(error) => {
            log::error!("control: failed to start: {error}.");
            ExitCode::FAILURE
        }
    }
}

async fn build_kernel(
    settings: ControlSettings,
    tree: SettingsTree,
) -> std::result::Result<Rc<ServiceKernel>, Box<dyn std::error::Error>> {
    let identity = LinkIdentity {
        name: settings.instance.name.clone(),
        role: PeerRole::Control,
    };
    let secret = LinkSecret::load(&settings.instance.secret_file)?;
    let links = LinkSettings::new(identity, secret);
    let http = settings.instance.http;
    let metrics = Arc::new(ControlMetrics::new(LabelSettings {
        accounts: settings.instance.account_labels,
        ..LabelSettings::default()
    })?);
    let (quorum, reports) = ControlQuorum::open(&settings, &links).await?;
    // Only now, so that others are refused at once while the disk has no room for the folder.
    let listener = TcpListener::bind(settings.link).await?;
    let traffic = &metrics.process.traffic;
    traffic.add_source(None, Arc::clone(&links.counters));
    let node = Rc::new(ControlNode::new(settings, quorum, metrics));
    let kernel = Rc::new(ServiceKernel::new());
    let service = quorum_service(&kernel, Rc::clone(&node), reports, tree);
    kernel.register("quorum", Rc::clone(&node), service)?;
    let served = Rc::clone(&node);
    let service = TaskService::new().on_start(async move {
        actix_rt::spawn(serve_links(listener, links, Rc::clone(&served)));
        if let Some(address) = served.settings.platform_list {
            actix_rt::spawn(follow_list(Rc::clone(&served), address));
        }
        actix_rt::spawn(send_digests(served));
        Ok(())
    });
    kernel.register("links", Rc::clone(&node), service)?;
    let service = operator_service(&kernel, Rc::clone(&node), http);
    kernel.register("operators", node, service)?;
    Ok(kernel)
}

/// Runs this instance's member of the quorum; transfers the leadership on drain.
fn quorum_service(
    kernel: &Rc<ServiceKernel>,
    node: Rc<ControlNode>,
    reports: DiskReports,
    tree: SettingsTree,
) -> TaskService {
    let kernel = Rc::clone(kernel);
    let started = Rc::clone(&node);
    TaskService::new()
        .on_start(async move {
            actix_rt::spawn(propose_first_tree(tree, Rc::clone(&started)));
            actix_rt::spawn(async move {
                let reason = started.run_quorum(reports).await;
                kernel.report_failure("quorum", reason);
            });
            Ok(())
        })
        .on_drain(async move {
            node.transfer_leadership().await;
            Ok(())
        })
}

fn operator_service(
    kernel: &Rc<ServiceKernel>,
    node: Rc<ControlNode>,
    http: SocketAddr,
) -> TaskService {
    let kernel = Rc::clone(kernel);
    TaskService::new().on_start(async move {
        let (queue, requests) = operator_queue();
        let limits = node.settings.limits.clone();
        actix_rt::spawn(serve_operators(node, requests));
        actix_rt::spawn(async move {
            let served = serve_http(http, &limits, queue).await;
            let reason = served.map_or_else(
                |error| error.to_string(),
                |()| "the HTTP server ended".to_owned(),
            );
            kernel.report_failure("operators", reason);
        });
        Ok(())
    })
}

/// Proposes the settings tree of the first start until the quorum has a version or refuses it for
/// good.
async fn propose_first_tree(tree: SettingsTree, node: Rc<ControlNode>) {
    while !node.quorum.is_confirmed() {
        sleep(FIRST_TREE_POLL_INTERVAL).await;
    }
    while node.state.borrow().settings.version() == 0 {
        let first = SettingsHistory::first_change(&tree);
        match node.propose(ControlCommand::ChangeSettings(first)).await {
            ControlReply::Refused(fault) if fault.kind.answer().retry_after.is_none() => {
                log::warn!("control: the first settings tree was refused: {fault}.");
                return;
            }
            _ => sleep(FIRST_TREE_POLL_INTERVAL).await,
        }
    }
}

/// Reads and validates the settings tree of the first start; the default tree without a `path`.
fn first_tree(path: Option<&Path>) -> Result<SettingsTree> {
    let Some(path) = path else {
        return Ok(SettingsTree::default());
    };
    let text = std::fs::read_to_string(path).map_err(|error| {
        vec![SettingFault {
            path: path.display().to_string(),
            reason: error.to_string(),
        }]
    })?;
    let tree = SettingsTree::parse(&text)?;
    tree.resolve(1)?;
    Ok(tree)
}
