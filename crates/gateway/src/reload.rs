//! Reloading of the settings file.

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::signal::unix::{SignalKind, signal};
use relay::region::DomainRegions;
use settings::process::{GatewaySettings, load};
use tokio::time::sleep;

use crate::node::GatewayNode;

/// Interval at which the file is read, as it may change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Reloads the settings on SIGHUP, and when the file has changed, until the process ends. The seeds,
/// the regions and the settings of the endpoint list take effect while the process runs. Listen addresses, the
/// data folder, the secret, the grace period and the retry budget are read at the start only.
pub async fn follow_settings(node: Rc<GatewayNode>, path: PathBuf) {
    let mut hang_up = match signal(SignalKind::hangup()) {
        Ok(hang_up) => hang_up,
        Err(error) => {
            log::error!("gateway: settings are not reloaded, as SIGHUP can't be handled: {error}");
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
                let regions = DomainRegions::new(&settings.domains);
                node.relay_state.set_regions(regions);
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
