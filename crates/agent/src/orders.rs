//! Fenced orders to the endpoint.
//!
//! A change of placement becomes an order to load a model. Each order carries a fencing number
//! that the agent takes from the quorum before it sends the order, so that an agent that was cut
//! off can't send an outdated one. An endpoint that checks the number refuses older ones; where
//! it does not, this agent is the gate: it sends one order at a time, and only for settings that
//! are in force.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use fault::{Fault, FaultKind};
use serde_json::json;
use settings::FleetSettings;
use tokio::time::{interval, timeout};
use wire::command::{ControlCommand, ControlReply};
use wire::id::FenceNumber;

use crate::core::AgentCore;

/// Time between two looks at what the endpoint should carry.
const ORDER_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Longest duration of one order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(120);
/// Path of the endpoint that takes orders to load a model.
const LOAD_PATH: &str = "/orders/load";

/// What an endpoint carries of one model.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ModelLoad {
    version: String,
    adapter: String,
}

/// Models by name.
type ModelLoads = BTreeMap<String, ModelLoad>;

/// Sends orders until the process ends.
pub async fn send_orders(core: Rc<AgentCore>) {
    let mut carried = ModelLoads::new();
    let mut cache_epoch = core.cache_epoch.get();
    let mut ticks = interval(ORDER_CHECK_INTERVAL);
    loop {
        ticks.tick().await;
        if core.cache_epoch.get() != cache_epoch {
            cache_epoch = core.cache_epoch.get();
            carried.clear();
        }
        if !core.is_endpoint_up.get() {
            continue;
        }
        let wanted = wanted_loads(&core.shared.fleet.load(), &core.shared.settings.endpoint);
        for (model, load) in wanted {
            if carried.get(&model) == Some(&load) {
                continue;
            }
            match order_load(&core, &model, &load).await {
                Ok(fence) => {
                    log::info!("agent: endpoint carries {model} by order {fence}.");
                    carried.insert(model, load);
                }
                Err(fault) => log::warn!("agent: endpoint does not carry {model}: {fault}."),
            }
        }
    }
}

/// Models with a stated version or adapter that are placed on `endpoint`.
fn wanted_loads(fleet: &FleetSettings, endpoint: &str) -> ModelLoads {
    let Some(settings) = fleet.endpoints.get(endpoint) else {
        return ModelLoads::new();
    };
    let Some(service) = fleet.services.get(&settings.service) else {
        return ModelLoads::new();
    };
    let placed = service.models.iter().filter(|(_, model)| {
        let is_here = model.endpoints.is_empty() || model.endpoints.iter().any(|e| e == endpoint);
        is_here && !(model.version.is_empty() && model.adapter.is_empty())
    });
    let loads = placed.map(|(name, model)| {
        let load = ModelLoad {
            version: model.version.clone(),
            adapter: model.adapter.clone(),
        };
        (name.clone(), load)
    });
    loads.collect()
}

async fn order_load(
    core: &Rc<AgentCore>,
    model: &str,
    load: &ModelLoad,
) -> fault::Result<FenceNumber> {
    let fence = take_fence(core).await?;
    // The fence is taken after the settings were read; they may have changed since.
    let wanted = wanted_loads(&core.shared.fleet.load(), &core.shared.settings.endpoint);
    if wanted.get(model) != Some(load) {
        return Err(FaultKind::Fenced.because("the settings changed"));
    }
    let uri = format!("http://{}{LOAD_PATH}", core.shared.settings.endpoint_http);
    let body = json!({
        "model": model,
        "version": load.version,
        "adapter": load.adapter,
        "fence": fence,
    });
    let order = core.clients.choose(false).post(uri).send_json(&body);
    let response = timeout(ORDER_TIMEOUT, order).await;
    match response {
        Ok(Ok(response)) if response.status().is_success() => Ok(fence),
        Ok(Ok(response)) => Err(order_fault(&response.status().to_string())),
        Ok(Err(error)) => Err(order_fault(&error.to_string())),
        Err(_) => Err(order_fault("the endpoint did not answer in time")),
    }
}

async fn take_fence(core: &Rc<AgentCore>) -> fault::Result<FenceNumber> {
    let command = ControlCommand::TakeFence {
        endpoint: core.endpoint,
    };
    match core.control.propose(command).await? {
        ControlReply::FenceTaken(fence) => Ok(fence),
        ControlReply::Refused(fault) => Err(fault),
        other => Err(order_fault(&format!(
            "control gave another answer: {other:?}"
        ))),
    }
}

fn order_fault(reason: &str) -> Fault {
    FaultKind::EndpointFailed.because(format!("the order failed: {reason}"))
}
