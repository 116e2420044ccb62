//! The `sapphire-control` program.

use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use argh::FromArgs;
use control::node::ControlNode;
use control::operator::{operator_queue, serve_http, serve_operators};
use control::server::{send_digests, serve_links};
use control::state::ControlState;
use link::{LinkIdentity, LinkSecret, LinkSettings, PeerRole};
use settings::SettingsTree;
use settings::process::{self, ControlSettings};
use settings::tree::Result;
use tokio::net::TcpListener;

/// Keeps the settings, claims and fences of the fleet.
#[derive(FromArgs)]
struct ControlArgs {
    /// settings file
    #[argh(option)]
    settings: PathBuf,
    /// check the settings file and exit
    #[argh(switch)]
    check: bool,
}

#[actix_web::main]
async fn main() -> std::io::Result<()> {
    let args: ControlArgs = argh::from_env();
    let loaded = process::load::<ControlSettings>(&args.settings)
        .and_then(|settings| Ok((first_state(settings.first_tree.as_deref())?, settings)));
    let (state, settings) = match loaded {
        Ok(loaded) => loaded,
        Err(faults) => {
            for fault in faults {
                eprintln!("control: {fault}");
            }
            std::process::exit(2);
        }
    };
    if args.check {
        return Ok(());
    }
    let identity = LinkIdentity {
        name: settings.instance.name.clone(),
        role: PeerRole::Control,
    };
    let secret = LinkSecret::load(&settings.instance.secret_file)?;
    let listener = TcpListener::bind(settings.link).await?;
    let http = settings.instance.http;
    let node = Rc::new(ControlNode {
        settings,
        state: RefCell::new(state),
        endpoints: RefCell::default(),
        peers: RefCell::default(),
    });
    let (queue, requests) = operator_queue();
    actix_rt::spawn(serve_links(
        listener,
        LinkSettings::new(identity, secret),
        Rc::clone(&node),
    ));
    actix_rt::spawn(send_digests(Rc::clone(&node)));
    actix_rt::spawn(serve_operators(node, requests));
    serve_http(http, queue).await
}

fn first_state(path: Option<&Path>) -> Result<ControlState> {
    let text = match path {
        Some(path) => std::fs::read_to_string(path).unwrap_or_default(),
        None => String::new(),
    };
    ControlState::first(SettingsTree::parse(&text)?)
}
