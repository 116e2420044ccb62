//! Fenced orders to the endpoint.
//!
//! A change of placement results in an order to load a model. Each order carries a fencing token,
//! which the agent takes from the control quorum before it sends the order, so that an agent that
//! is cut off from the quorum can't send an outdated order. An endpoint that checks tokens refuses
//! older ones. For one that does not, the agent itself prevents outdated orders: it sends one order
//! at a time, and only for settings that are in force.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use bytes::Bytes;
use fault::{Fault, FaultKind};
use serde_json::json;
use settings::FleetSettings;
use tokio::time::{interval, timeout};
use wire::command::{ControlCommand, ControlReply};
use wire::id::FenceNumber;

use crate::client::send_own;
use crate::core::AgentCore;

/// Interval at which the desired models are compared with the loaded ones.
const ORDER_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of one order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(120);
/// Path at the endpoint to which orders to load a model are posted.
const LOAD_PATH: &str = "/orders/load";

/// The version and the adapter of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ModelVariant {
    version: String,
    adapter: String,
}

/// Model variants by the name of the model.
type ModelVariants = BTreeMap<String, ModelVariant>;

/// Orders the endpoint to load the models placed on it, until the process ends. After a crash of
/// the endpoint all models are ordered again.
pub async fn send_orders(core: Rc<AgentCore>) {
    let mut loaded = ModelVariants::new();
    let mut cache_epoch = core.cache_epoch.get();
    let mut ticks = interval(ORDER_CHECK_INTERVAL);
    loop {
        ticks.tick().await;
        if core.cache_epoch.get() != cache_epoch {
            cache_epoch = core.cache_epoch.get();
            loaded.clear();
        }
        if !core.is_endpoint_up.get() {
            continue;
        }
        let desired = desired_variants(&core.shared.fleet.load(), &core.shared.settings.endpoint);
        for (model, variant) in desired {
            if loaded.get(&model) == Some(&variant) {
                continue;
            }
            match send_load_order(&core, &model, &variant).await {
                Ok(fence) => {
                    log::info!("agent: endpoint loaded model {model}; fencing token {fence}.");
                    loaded.insert(model, variant);
                }
                Err(fault) => log::warn!("agent: endpoint did not load model {model}: {fault}."),
            }
        }
    }
}

/// Variants of the models that are placed on `endpoint` and have a version or an adapter set.
fn desired_variants(fleet: &FleetSettings, endpoint: &str) -> ModelVariants {
    let Some(settings) = fleet.endpoints.get(endpoint) else {
        return ModelVariants::new();
    };
    let Some(service) = fleet.services.get(&settings.service) else {
        return ModelVariants::new();
    };
    let placed = service.models.iter().filter(|(_, model)| {
        let is_here =
            model.endpoints.is_empty() || model.endpoints.iter().any(|name| name == endpoint);
        is_here && !(model.version.is_empty() && model.adapter.is_empty())
    });
    let variants = placed.map(|(name, model)| {
        let variant = ModelVariant {
            version: model.version.clone(),
            adapter: model.adapter.clone(),
        };
        (name.clone(), variant)
    });
    variants.collect()
}

async fn send_load_order(
    core: &Rc<AgentCore>,
    model: &str,
    variant: &ModelVariant,
) -> fault::Result<FenceNumber> {
    let fence = take_fence(core).await?;
    // The settings may have changed while the fencing token was taken.
    let desired = desired_variants(&core.shared.fleet.load(), &core.shared.settings.endpoint);
    if desired.get(model) != Some(variant) {
        return Err(FaultKind::Fenced.because("the settings changed"));
    }
    let body = json!({
        "model": model,
        "version": variant.version,
        "adapter": variant.adapter,
        "fence": fence,
    });
    let body = Bytes::from(body.to_string());
    let order = send_own(core, Method::POST, LOAD_PATH, &body);
    match timeout(ORDER_TIMEOUT, order).await {
        Ok(Ok(head)) if head.status.is_success() => Ok(fence),
        Ok(Ok(head)) => Err(order_fault(&head.status.to_string())),
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
