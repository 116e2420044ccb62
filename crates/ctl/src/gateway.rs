//! The commands for gateways.

use std::fs;
use std::io::Write;
use std::path::Path;

use serde_json::Value;
use watch::gateway_status::GatewayStatus;

use crate::args::{GatewayArgs, GatewayCommand};
use crate::client::OperatorClient;
use crate::error::{CtlError, Result};
use crate::print;

/// Path of a gateway's status.
const STATUS_PATH: &str = "/operator/gateway";
/// Path at which a gateway's catalog is read and replaced.
const CATALOG_PATH: &str = "/operator/catalog";

/// Runs a command for gateways.
///
/// # Errors
/// The file cannot be read or is not JSON, or the request failed.
pub async fn run(
    client: &OperatorClient,
    args: &GatewayArgs,
    json: bool,
    out: &mut dyn Write,
) -> Result<()> {
    match &args.command {
        GatewayCommand::Status(_) => {
            let status: GatewayStatus = client.get(STATUS_PATH, &()).await?;
            match json {
                true => print::json(out, &status),
                false => print_status(out, &status),
            }
        }
        GatewayCommand::Catalog(_) => {
            let catalog: Value = client.get(CATALOG_PATH, &()).await?;
            print::json(out, &catalog)
        }
        GatewayCommand::Replace(replace) => {
            let catalog = read_catalog(&replace.file)?;
            let response: Value = client.post(CATALOG_PATH, &catalog).await?;
            match json {
                true => print::json(out, &response),
                false => Ok(writeln!(out, "in force")?),
            }
        }
    }
}

fn read_catalog(file: &Path) -> Result<Value> {
    let unreadable = |error: String| CtlError::Usage(format!("{}: {error}", file.display()));
    let text = fs::read_to_string(file).map_err(|error| unreadable(error.to_string()))?;
    serde_json::from_str(&text).map_err(|error| unreadable(error.to_string()))
}

fn print_status(out: &mut dyn Write, status: &GatewayStatus) -> Result<()> {
    let leader = status.leader.as_deref().unwrap_or("none");
    let ready = if status.is_ready {
        "ready"
    } else {
        "not ready"
    };
    writeln!(
        out,
        "{}: {ready}, catalog {}, leader {leader}",
        status.name, status.catalog
    )?;
    writeln!(
        out,
        "list read {} ms ago, {} calls",
        status.list_age.as_millis(),
        status.calls
    )?;
    for peer in &status.peers {
        let stores = if peer.stores { ", stores" } else { "" };
        let leaving = if peer.is_leaving { ", leaving" } else { "" };
        writeln!(
            out,
            "gateway {}: catalog {}{stores}{leaving}",
            peer.address, peer.catalog
        )?;
    }
    for endpoint in &status.endpoints {
        let name = &endpoint.name;
        writeln!(
            out,
            "endpoint {name} at {}: load {}, {}",
            endpoint.address, endpoint.load, endpoint.standing
        )?;
    }
    Ok(())
}
