//! The commands for gateways.

use std::fs;
use std::io::Write;
use std::path::Path;

use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use serde::Serialize;
use serde_json::Value;
use watch::gateway_status::{EvacuatedDomainStatus, GatewayStatus};

use crate::args::{EvacuateCommand, GatewayArgs, GatewayCommand};
use crate::client::OperatorClient;
use crate::error::{CtlError, Result};
use crate::print;

/// Path of a gateway's status.
const STATUS_PATH: &str = "/operator/gateway";
/// Path at which a gateway's catalog is read and replaced.
const CATALOG_PATH: &str = "/operator/catalog";
/// Path under which failure domains are evacuated.
const EVACUATIONS_PATH: &str = "/v1/evacuations";

/// The evacuations that one gateway obeys, and the revisions that it knows of the others.
#[derive(Serialize)]
struct EvacuationView<'a> {
    name: &'a str,
    evacuation_revision: u64,
    evacuated: &'a [EvacuatedDomainStatus],
    peers: Vec<PeerRevision<'a>>,
}

#[derive(Serialize)]
struct PeerRevision<'a> {
    address: &'a str,
    evacuation_revision: u64,
}

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
        GatewayCommand::Evacuate(evacuate) => match &evacuate.command {
            EvacuateCommand::Begin(begin) => {
                order(client, &begin.domain, "begin").await?;
                print_order(out, json, &begin.domain, "evacuated")
            }
            EvacuateCommand::Finish(finish) => {
                order(client, &finish.domain, "finish").await?;
                print_order(out, json, &finish.domain, "in service")
            }
            EvacuateCommand::Show(_) => {
                let status: GatewayStatus = client.get(STATUS_PATH, &()).await?;
                match json {
                    true => print::json(out, &evacuation_view(&status)),
                    false => print_evacuations(out, &status),
                }
            }
        },
    }
}

async fn order(client: &OperatorClient, domain: &str, action: &str) -> Result<()> {
    let domain = utf8_percent_encode(domain, NON_ALPHANUMERIC);
    client
        .order(&format!("{EVACUATIONS_PATH}/{domain}/{action}"))
        .await
}

fn print_order(out: &mut dyn Write, json: bool, domain: &str, state: &str) -> Result<()> {
    match json {
        true => print::json(
            out,
            &serde_json::json!({ "domain": domain, "message": state }),
        ),
        false => Ok(writeln!(out, "{domain}: {state}")?),
    }
}

fn evacuation_view(status: &GatewayStatus) -> EvacuationView<'_> {
    let peers = status.peers.iter().map(|peer| PeerRevision {
        address: &peer.address,
        evacuation_revision: peer.evacuation_revision,
    });
    EvacuationView {
        name: &status.name,
        evacuation_revision: status.evacuation_revision,
        evacuated: &status.evacuated,
        peers: peers.collect(),
    }
}

fn print_evacuations(out: &mut dyn Write, status: &GatewayStatus) -> Result<()> {
    let own = status.evacuation_revision;
    writeln!(out, "{}: revision {own}", status.name)?;
    for domain in &status.evacuated {
        let since = print::utc_text(domain.since_unix_ms);
        writeln!(out, "{} evacuated since {since}", domain.domain)?;
    }
    for peer in &status.peers {
        let behind = match peer.evacuation_revision < own {
            true => ", behind",
            false => "",
        };
        let (address, revision) = (&peer.address, peer.evacuation_revision);
        writeln!(out, "gateway {address}: revision {revision}{behind}")?;
    }
    Ok(())
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
