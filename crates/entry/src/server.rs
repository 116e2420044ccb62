//! The HTTP server and its routes.

use std::net::SocketAddr;
use std::sync::Arc;

use actix_web::dev::Server;
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use kernel::http::ConnectionLimiter;
use wire::id::RequestId;

use crate::answer::{fault_response, recorded_response, started_response};
use crate::caller::CallerConnection;
use crate::core::{CallGuard, EntryCore};
use crate::dispatch::{CallDispatch, CallResult};
use crate::intake::{self, CallRequest, read_chat, read_service_call};
use crate::operator;
use crate::trace::CallTrace;

/// Number of threads that serve HTTP connections.
const WORKERS: usize = 2;
/// Seconds for which the server waits for open connections after all calls have ended.
const SHUTDOWN_SECONDS: u64 = 5;

/// Binds the server. It serves while the returned future is polled.
///
/// # Errors
/// If the address cannot be bound.
pub fn bind_server(address: SocketAddr, core: Arc<EntryCore>) -> std::io::Result<Server> {
    let limiter = ConnectionLimiter::new(&core.settings.limits);
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::from(Arc::clone(&core)))
            .configure(operator::add_routes)
            .route("/v1/chat/completions", web::post().to(complete_chat))
            .route("/service/{name}", web::route().to(call_service))
            .route("/service/{name}/{path:.*}", web::route().to(call_service))
    });
    let bound = server
        .on_connect(move |connection, extensions| limiter.admit(connection, extensions))
        .workers(WORKERS)
        .disable_signals()
        .shutdown_timeout(SHUTDOWN_SECONDS)
        .bind(address)?;
    Ok(bound.run())
}

async fn complete_chat(
    core: web::Data<EntryCore>,
    request: HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    let core = core.into_inner();
    let id: RequestId = rand::random();
    let guard = match core.admit() {
        Ok(guard) => guard,
        Err(fault) => return fault_response(&fault, id),
    };
    let call = read_chat(&core, &request, payload, id).await;
    answer_call(guard, call, id, CallerConnection::of(&request)).await
}

async fn call_service(
    core: web::Data<EntryCore>,
    request: HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    let core = core.into_inner();
    let id: RequestId = rand::random();
    let guard = match core.admit() {
        Ok(guard) => guard,
        Err(fault) => return fault_response(&fault, id),
    };
    let name = request.match_info().get("name").unwrap_or_default();
    let call = read_service_call(&core, &request, name, payload, id).await;
    answer_call(guard, call, id, CallerConnection::of(&request)).await
}

async fn answer_call(
    mut guard: CallGuard,
    call: intake::Result<CallRequest>,
    id: RequestId,
    connection: CallerConnection,
) -> HttpResponse {
    let mut trace = CallTrace::new(Arc::clone(guard.core()), id);
    let call = match call {
        Ok(call) => call,
        Err(fault) => {
            trace.fail(&fault);
            return fault_response(&fault, id);
        }
    };
    trace.identify(&call);
    guard.set_serving(connection.serving());
    if call.submit.idempotent {
        return run_call(guard, call, id, trace, connection).await;
    }
    // A caller that disconnects must not leave a claim behind, so the call runs in a task of its
    // own that is not cancelled with the handler.
    let running = actix_rt::spawn(run_call(guard, call, id, trace, connection));
    match running.await {
        Ok(response) => response,
        Err(_) => HttpResponse::InternalServerError().finish(),
    }
}

async fn run_call(
    guard: CallGuard,
    call: CallRequest,
    id: RequestId,
    mut trace: CallTrace,
    connection: CallerConnection,
) -> HttpResponse {
    let result = CallDispatch::new(guard.core(), &call, &mut trace)
        .run()
        .await;
    match result {
        Ok(CallResult::Started(started)) => {
            started_response(*started, &call.hint, id, trace, guard, &connection)
        }
        Ok(CallResult::Recorded(answer)) => {
            trace.finish();
            recorded_response(answer, id)
        }
        Err(fault) => {
            trace.fail(&fault);
            fault_response(&fault, id)
        }
    }
}
