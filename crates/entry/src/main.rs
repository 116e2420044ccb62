//! The `sapphire-entry` program.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use argh::FromArgs;
use entry::caller::serve_http;
use entry::control::follow_control;
use entry::core::EntryCore;
use entry::pool::{LinkPool, serve_dials};
use link::control_client::ControlClient;
use link::{LinkIdentity, LinkSecret, LinkSettings, PeerRole};
use settings::process::{self, EntrySettings};

/// Takes requests from callers and streams the answers back.
#[derive(FromArgs)]
struct EntryArgs {
    /// settings file
    #[argh(option)]
    settings: PathBuf,
    /// check the settings file and exit
    #[argh(switch)]
    check: bool,
}

#[actix_web::main]
async fn main() -> std::io::Result<()> {
    let args: EntryArgs = argh::from_env();
    let settings: EntrySettings = match process::load(&args.settings) {
        Ok(settings) => settings,
        Err(faults) => {
            for fault in faults {
                eprintln!("entry: {fault}");
            }
            std::process::exit(2);
        }
    };
    if args.check {
        return Ok(());
    }
    let identity = LinkIdentity {
        name: settings.instance.name.clone(),
        role: PeerRole::Entry,
    };
    let secret = LinkSecret::load(&settings.instance.secret_file)?;
    let link_settings = LinkSettings::new(identity, secret);
    let (client, events) = ControlClient::start(settings.control.clone(), link_settings.clone());
    let (pool, dials) = LinkPool::new();
    let http = settings.instance.http;
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let incarnation = u64::try_from(since_epoch.as_nanos()).unwrap_or(u64::MAX);
    let core = Arc::new(EntryCore::new(settings, incarnation, pool.clone()));
    actix_rt::spawn(serve_dials(pool, link_settings, dials));
    actix_rt::spawn(follow_control(Arc::clone(&core), client, events));
    serve_http(http, core).await
}
