//! Answers that name their request, as those of many engines do.

use actix_web::Error;
use actix_web::body::MessageBody;
use actix_web::dev::{ServiceRequest, ServiceResponse};
use actix_web::http::header::HeaderName;
use actix_web::middleware::Next;

/// Header that identifies a request.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Repeats the id of the request in its answer.
///
/// # Errors
/// The error of the handler.
pub(crate) async fn echo_request_id(
    request: ServiceRequest,
    next: Next<impl MessageBody>,
) -> Result<ServiceResponse<impl MessageBody>, Error> {
    let id = request.headers().get(REQUEST_ID).cloned();
    let mut response = next.call(request).await?;
    if let Some(id) = id {
        response.headers_mut().insert(REQUEST_ID, id);
    }
    Ok(response)
}
