//! The life of a process, from its start to SIGTERM.

use std::process::ExitCode;
use std::rc::Rc;

use actix_rt::signal::unix::{Signal, SignalKind, signal};

use crate::kernel::{KernelError, Result, ServiceKernel};

/// Starts all services, waits for SIGTERM or SIGINT, and shuts down. A second signal changes
/// nothing: a planned stop lets every request finish.
///
/// Returns failure when a service fails, after a line in the log that names it.
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
    let mut terminate = listen(SignalKind::terminate())?;
    let mut interrupt = listen(SignalKind::interrupt())?;
    kernel.start().await?;
    tokio::select! {
        _ = terminate.recv() => log::info!("kernel: told to stop."),
        _ = interrupt.recv() => log::info!("kernel: interrupted."),
        error = kernel.next_failure() => return Err(error),
    }
    kernel.shut_down().await?;
    log::info!("kernel: all services have stopped.");
    Ok(())
}

fn listen(kind: SignalKind) -> Result<Signal> {
    signal(kind).map_err(|error| KernelError::Failed {
        name: "signals",
        reason: error.to_string(),
    })
}
