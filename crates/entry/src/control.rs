//! The connection to the control quorum.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use link::control_client::{ControlClient, ControlEvent};
use settings::SettingsTree;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::interval;
use wire::LinkMessage;
use wire::id::name_id;
use wire::member::EntryHeartbeat;
use wire::message::SettingsUpdate;

use crate::core::EntryCore;

/// Time between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Sends heartbeats and applies what control says, until the process ends.
pub async fn follow_control(
    core: Arc<EntryCore>,
    client: Rc<ControlClient>,
    mut events: UnboundedReceiver<ControlEvent>,
) {
    let mut ticks = interval(HEARTBEAT_INTERVAL);
    loop {
        tokio::select! {
            _ = ticks.tick() => send_heartbeat(&core, &client),
            event = events.recv() => match event {
                Some(ControlEvent::Connected) => send_heartbeat(&core, &client),
                Some(ControlEvent::Disconnected) => log::warn!("entry: control connection lost"),
                Some(ControlEvent::Message(message)) => handle_message(&core, &client, *message),
                None => return,
            },
        }
    }
}

fn send_heartbeat(core: &EntryCore, client: &ControlClient) {
    let name = core.settings.instance.name.clone();
    client.tell(LinkMessage::EntryHeartbeat(EntryHeartbeat {
        instance: name_id(&name),
        name,
        incarnation: core.incarnation,
        settings: core.fleet.load().version,
    }));
}

fn handle_message(core: &EntryCore, client: &ControlClient, message: LinkMessage) {
    match message {
        LinkMessage::Settings(update) => {
            apply_settings(core, &update);
            send_heartbeat(core, client);
        }
        LinkMessage::Members(digest) => core.members().apply(digest),
        other => log::debug!("entry: control sent {other:?}"),
    }
}

fn apply_settings(core: &EntryCore, update: &SettingsUpdate) {
    let SettingsUpdate::Full { version, text } = update else {
        return;
    };
    if *version <= core.fleet.load().version {
        return;
    }
    match SettingsTree::parse(text).and_then(|tree| tree.resolve(*version)) {
        Ok(fleet) => {
            log::info!("entry: settings {version} in force");
            core.fleet.store(Arc::new(fleet));
        }
        Err(faults) => log::error!("entry: settings {version} are faulty: {faults:?}"),
    }
}
