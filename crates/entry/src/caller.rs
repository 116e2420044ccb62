//! Connection of a caller, as far as the framing of answers depends on it.

use std::sync::Arc;
use std::time::Duration;

use actix_web::http::Version;
use actix_web::{HttpRequest, HttpResponse};
use kernel::http::{OpenConnection, ServingMark};

/// Connection on which a call arrived.
#[derive(Clone)]
pub struct CallerConnection {
    /// Whether the caller knows chunked encoding.
    pub knows_chunks: bool,
    /// `None` if the system gave no second handle.
    open: Option<Arc<OpenConnection>>,
}

impl CallerConnection {
    /// The connection of a request.
    pub fn of(request: &HttpRequest) -> Self {
        Self {
            knows_chunks: request.version() >= Version::HTTP_11,
            open: OpenConnection::of(request),
        }
    }

    /// Marks the connection as serving a call until the mark is dropped.
    pub fn serving(&self) -> Option<ServingMark> {
        self.open.clone().map(ServingMark::new)
    }

    /// Lets a response end with the connection. Until [`Self::end_until_close`], whatever closes
    /// the connection, even the end of this process, resets it.
    pub fn begin_until_close(&self, response: &mut HttpResponse) {
        response.head_mut().no_chunking(true);
        self.set_linger(Some(Duration::ZERO));
    }

    /// Lets the connection close as usual, as the whole response was handed over.
    pub fn end_until_close(&self) {
        self.set_linger(None);
    }

    fn set_linger(&self, linger: Option<Duration>) {
        let Some(open) = &self.open else {
            return;
        };
        if let Err(error) = open.socket.set_linger(linger) {
            log::warn!("entry: cannot choose how a connection ends: {error}.");
        }
    }
}
