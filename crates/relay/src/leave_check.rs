//! Health checks of endpoints that have said that they leave although the list shows them as ready.

use std::rc::Rc;
use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::{Method, ResponseHead, StatusCode, Uri};
use bytes::Bytes;
use exchange::connection::{self, EndpointConnection, EndpointError, request_head};
use pace::statement::StatedValue;
use tokio::time::timeout;
use wire::id::{EndpointId, name_id};

use crate::call::ForwardMetadata;
use crate::state::RelayState;

/// Maximum time for a health check.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);

impl RelayState {
    /// Starts the health checks that are due.
    pub fn check_leaving(self: &Rc<Self>) {
        let due = self.table.borrow_mut().begin_leave_checks(self.now());
        for endpoint in due {
            let state = Rc::clone(self);
            log::info!(endpoint = state.endpoint_name(endpoint).as_str(); "relay: endpoint that leaves is checked");
            actix_rt::spawn(async move { state.check_leaving_endpoint(endpoint).await });
        }
    }

    /// Checks the health of an endpoint that has said that it leaves. It takes calls again if it is
    /// healthy and does not say so.
    pub async fn check_leaving_endpoint(&self, endpoint: EndpointId) {
        let sent_at = self.now();
        self.metrics.count_statement("checked");
        let Some(head) = self.health_head(endpoint).await else {
            return;
        };
        let statement = self.dialect.read_answer(head.headers()).statement;
        let statement = statement.of_answer(head.status);
        self.note_statement(endpoint, sent_at, statement);
        let is_leaving = statement.is_leaving == StatedValue::Stated(true);
        if head.status == StatusCode::OK && !is_leaving {
            let mut table = self.table.borrow_mut();
            let Some(row) = table.row_mut(endpoint) else {
                return;
            };
            row.note_returned();
            log::info!(endpoint = row.name.as_str(); "relay: endpoint that said that it leaves serves again");
        }
    }

    /// The head of the answer to a health check; `None` without an answer.
    async fn health_head(&self, endpoint: EndpointId) -> Option<ResponseHead> {
        let path = self.health_path(endpoint)?;
        match timeout(CHECK_TIMEOUT, self.exchange_health(endpoint, path)).await {
            Ok(Ok(head)) => Some(head),
            Ok(Err(error)) => {
                log::debug!("relay: health check of a leaving endpoint failed: {error}");
                None
            }
            Err(_) => None,
        }
    }

    fn health_path(&self, endpoint: EndpointId) -> Option<Uri> {
        let service = self.table.borrow().row(endpoint)?.service;
        let catalog = self.catalog()?;
        let mut rules = catalog.catalog().services.iter();
        let rule = rules.find(|rule| name_id(&rule.name) == service)?;
        rule.health_path.parse().ok()
    }

    async fn exchange_health(
        &self,
        endpoint: EndpointId,
        path: Uri,
    ) -> connection::Result<ResponseHead> {
        let (address, name) = {
            let table = self.table.borrow();
            let row = table.row(endpoint).ok_or(EndpointError::ConnectTimeout)?;
            (row.address, row.name.clone())
        };
        let limit = self.settings.connect_limit;
        let mut connection = EndpointConnection::open(address.into(), limit).await?;
        let metadata = ForwardMetadata {
            time_left: CHECK_TIMEOUT,
            endpoint: &name,
            account: None,
            rank: 0,
            resume_after: None,
            warm_source: None,
        };
        let headers = self.dialect.forward_call(&HeaderMap::new(), &metadata);
        let head = request_head(Method::GET, path, headers);
        connection.exchange(&self.http, head, &Bytes::new()).await
    }
}
