//! The `sapphirectl` program.

use std::process::ExitCode;

use ctl::args::{self, CtlArgs, PROGRAM};
use ctl::error::{CtlError, ExitKind, Result};
use ctl::key::{KEY_VARIABLE, operator_key};
use settings::operator::FaultResponse;

#[actix_rt::main]
async fn main() -> ExitCode {
    let texts: Vec<String> = std::env::args().skip(1).collect();
    let args = match args::parse(&texts) {
        Ok(args) => args,
        Err(exit) if exit.status.is_ok() => {
            print!("{}", exit.output);
            return exit_code(ExitKind::Done);
        }
        Err(exit) => {
            eprintln!("{PROGRAM}: {}", exit.output.trim_end());
            return exit_code(ExitKind::Usage);
        }
    };
    let json = args.json;
    match run(args).await {
        Ok(()) => exit_code(ExitKind::Done),
        Err(error) => {
            report(&error, json);
            exit_code(error.exit())
        }
    }
}

async fn run(args: CtlArgs) -> Result<()> {
    let key = operator_key(args.key_file.as_deref(), std::env::var(KEY_VARIABLE).ok())?;
    ctl::run(args, key, &mut std::io::stdout()).await
}

fn report(error: &CtlError, json: bool) {
    let response = FaultResponse {
        error: error.body(),
    };
    match serde_json::to_string(&response) {
        Ok(text) if json => eprintln!("{text}"),
        _ => eprintln!("{PROGRAM}: {error}"),
    }
}

fn exit_code(kind: ExitKind) -> ExitCode {
    ExitCode::from(kind as u8)
}
