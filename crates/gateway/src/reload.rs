//! Settings that changed.

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::signal::unix::{SignalKind, signal};
use settings::process::{GatewaySettings, load};
use tokio::time::sleep;

use crate::node::GatewayNode;

/// Time between two looks at the file, which may change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Follows the settings file until the process ends. Only the seeds and the list take effect while
/// the process runs.
pub async fn follow_settings(node: Rc<GatewayNode>, path: PathBuf) {
    let mut hang_up = match signal(SignalKind::hangup()) {
        Ok(hang_up) => hang_up,
        Err(error) => {
            log::error!("gateway: no reload on SIGHUP: {error}");
            return;
        }
    };
    loop {
        tokio::select! {
            _ = hang_up.recv() => {}
            () = sleep(POLL_INTERVAL) => {}
        }
        match load::<GatewaySettings>(&path) {
            Ok(settings) if settings != *node.settings.borrow() => {
                log::info!(seeds = format!("{:?}", settings.seeds).as_str(); "gateway: settings reloaded");
                *node.settings.borrow_mut() = settings;
            }
            Ok(_) => {}
            Err(faults) => {
                for fault in faults {
                    log::warn!("gateway: settings not reloaded: {fault}");
                }
            }
        }
    }
}
