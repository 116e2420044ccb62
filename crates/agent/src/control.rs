//! The connection to the control quorum.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use link::control_client::ControlEvent;
use settings::SettingsTree;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::interval;
use wire::LinkMessage;
use wire::message::SettingsUpdate;

use crate::state::AgentState;

/// Time between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Sends heartbeats and applies what control says, until the process ends.
pub async fn follow_control(state: Rc<AgentState>, mut events: UnboundedReceiver<ControlEvent>) {
    let mut ticks = interval(HEARTBEAT_INTERVAL);
    loop {
        tokio::select! {
            _ = ticks.tick() => send_heartbeat(&state),
            event = events.recv() => match event {
                Some(event) => handle_event(&state, event),
                None => return,
            },
        }
    }
}

fn send_heartbeat(state: &AgentState) {
    state
        .control
        .tell(LinkMessage::AgentHeartbeat(state.heartbeat()));
}

fn handle_event(state: &AgentState, event: ControlEvent) {
    match event {
        ControlEvent::Connected => send_heartbeat(state),
        ControlEvent::Disconnected => log::warn!("agent: control connection lost"),
        ControlEvent::Message(message) => handle_message(state, *message),
    }
}

fn handle_message(state: &AgentState, message: LinkMessage) {
    match message {
        LinkMessage::Settings(update) => {
            apply_settings(state, &update);
            send_heartbeat(state);
        }
        other => log::debug!("agent: control sent {other:?}"),
    }
}

fn apply_settings(state: &AgentState, update: &SettingsUpdate) {
    let SettingsUpdate::Full { version, text } = update else {
        return;
    };
    if *version <= state.fleet.borrow().version {
        return;
    }
    match SettingsTree::parse(text).and_then(|tree| tree.resolve(*version)) {
        Ok(fleet) => {
            log::info!("agent: settings {version} in force");
            *state.fleet.borrow_mut() = Arc::new(fleet);
        }
        Err(faults) => log::error!("agent: settings {version} are faulty: {faults:?}"),
    }
}
