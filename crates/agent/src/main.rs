//! The `sapphire-agent` program.

use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use agent::control::follow_control;
use agent::http::serve_http;
use agent::server::serve_links;
use agent::state::AgentState;
use argh::FromArgs;
use link::control_client::ControlClient;
use link::{LinkIdentity, LinkSecret, LinkSettings, PeerRole};
use settings::process::{self, AgentSettings};
use tokio::net::TcpListener;

/// Admits, runs and accounts for the work of one endpoint.
#[derive(FromArgs)]
struct AgentArgs {
    /// settings file
    #[argh(option)]
    settings: PathBuf,
    /// check the settings file and exit
    #[argh(switch)]
    check: bool,
}

#[actix_web::main]
async fn main() -> std::io::Result<()> {
    let args: AgentArgs = argh::from_env();
    let settings: AgentSettings = match process::load(&args.settings) {
        Ok(settings) => settings,
        Err(faults) => {
            for fault in faults {
                eprintln!("agent: {fault}");
            }
            std::process::exit(2);
        }
    };
    if args.check {
        return Ok(());
    }
    let identity = LinkIdentity {
        name: settings.instance.name.clone(),
        role: PeerRole::Agent,
    };
    let secret = LinkSecret::load(&settings.instance.secret_file)?;
    let link_settings = LinkSettings::new(identity, secret);
    let (control, events) = ControlClient::start(settings.control.clone(), link_settings.clone());
    let listener = TcpListener::bind(settings.link).await?;
    let http = settings.instance.http;
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let state = Rc::new(AgentState {
        settings,
        incarnation: u64::try_from(since_epoch.as_nanos()).unwrap_or(u64::MAX),
        fleet: RefCell::default(),
        control,
        attempts: RefCell::default(),
        is_stopping: Cell::new(false),
        sequence: Cell::new(0),
    });
    actix_rt::spawn(follow_control(Rc::clone(&state), events));
    actix_rt::spawn(serve_links(listener, link_settings, Rc::clone(&state)));
    serve_http(http).await
}
