//! The `sapphire-control` program.

use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use argh::FromArgs;
use control::node::ControlNode;
use control::operator::{operator_queue, serve_http, serve_operators};
use control::server::{send_digests, serve_links};
use link::{LinkIdentity, LinkSecret, LinkSettings, PeerRole};
use settings::history::SettingsHistory;
use settings::process::{self, ControlSettings};
use settings::tree::Result;
use settings::{SettingFault, SettingsTree};
use tokio::net::TcpListener;
use wire::command::ControlCommand;

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
        .and_then(|settings| Ok((first_tree(settings.first_tree.as_deref())?, settings)));
    let (tree, settings) = match loaded {
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
        state: RefCell::default(),
        published: RefCell::default(),
        endpoints: RefCell::default(),
        peers: RefCell::default(),
    });
    let first = SettingsHistory::first_change(&tree);
    node.propose(ControlCommand::ChangeSettings(first)).await;
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

/// Reads and checks the tree of the first start.
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
