//! The main loop of a process, from start to shutdown.

use std::process::ExitCode;
use std::rc::Rc;

use actix_rt::signal::unix::{Signal, SignalKind, signal};

use crate::kernel::{KernelError, Result, ServiceKernel};

/// Starts all services, waits for SIGTERM or SIGINT, and shuts down. Further signals are ignored,
/// so that running requests can finish.
///
/// Logs the error and returns a failure code when a service fails.
pub async fn run(kernel: Rc<ServiceKernel>) -> ExitCode {
    let code = match run_services(&kernel).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("kernel: {error}.");
            ExitCode::FAILURE
        }
    };
    log::logger().flush();
    code
}

async fn run_services(kernel: &ServiceKernel) -> Result<()> {
    let mut terminate = listen_for(SignalKind::terminate())?;
    let mut interrupt = listen_for(SignalKind::interrupt())?;
    kernel.start().await?;
    tokio::select! {
        _ = terminate.recv() => log::info!("kernel: received SIGTERM, shutting down."),
        _ = interrupt.recv() => log::info!("kernel: received SIGINT, shutting down."),
        error = kernel.next_failure() => return Err(error),
    }
    kernel.shut_down().await?;
    log::info!("kernel: all services have stopped.");
    Ok(())
}

fn listen_for(kind: SignalKind) -> Result<Signal> {
    signal(kind).map_err(|error| KernelError::Failed {
        name: "signals",
        reason: error.to_string(),
    })
}
