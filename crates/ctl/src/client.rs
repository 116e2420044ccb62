//! HTTP client for control instances and entries, with failover.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix_rt::time::timeout;
use awc::http::{Method, StatusCode};
use awc::{Client, ClientRequest};
use serde::Serialize;
use serde::de::DeserializeOwned;
use settings::operator::FaultResponse;

use crate::args::CtlArgs;
use crate::error::{CtlError, Result};

/// Timeout of one attempt up to the head of its answer, and of reading the rest.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay before the next round of attempts, once every instance has been tried.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum accepted response body in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Client for the instances that are given on the command line.
pub struct OperatorClient {
    http: Client,
    /// Control instances, in the order in which they are tried.
    control: Vec<SocketAddr>,
    entries: Vec<SocketAddr>,
    key: String,
    timeout: Duration,
}

/// A request, independent of the instance that it is sent to.
struct OperatorCall<'a, Q, B> {
    method: Method,
    path: &'a str,
    query: &'a Q,
    body: Option<&'a B>,
}

/// Why an attempt failed.
enum AttemptError {
    /// Another instance or a later attempt may succeed.
    Retryable(CtlError),
    /// Another attempt would not help.
    Final(CtlError),
}

impl OperatorClient {
    /// Creates a client with the addresses and the timeout from the command line.
    ///
    /// # Errors
    /// There is no key.
    pub fn new(args: &CtlArgs, key: Option<String>) -> Result<Self> {
        let key = key.ok_or_else(|| {
            let message = "an operator key is needed: --key-file FILE or SAPPHIRE_OPERATOR_KEY";
            CtlError::Usage(message.to_owned())
        })?;
        let http = Client::builder()
            .timeout(ATTEMPT_TIMEOUT)
            .disable_redirects()
            .finish();
        Ok(Self {
            http,
            control: args.control.clone(),
            entries: args.entry.clone(),
            key,
            timeout: Duration::from_secs(args.timeout),
        })
    }

    /// The entries given on the command line.
    ///
    /// # Errors
    /// No entry is given.
    pub fn entries(&self) -> Result<&[SocketAddr]> {
        if self.entries.is_empty() {
            return Err(CtlError::Usage("--entry ADDRESS is needed".to_owned()));
        }
        Ok(&self.entries)
    }

    /// Sends a GET request to a control instance.
    ///
    /// # Errors
    /// The request was refused, or no instance answered in time.
    pub async fn get<T: DeserializeOwned>(&self, path: &str, query: &impl Serialize) -> Result<T> {
        let call = OperatorCall::<_, ()> {
            method: Method::GET,
            path,
            query,
            body: None,
        };
        self.send(&self.control, call).await
    }

    /// Sends a POST request to a control instance. It may be received more than once, because
    /// failed attempts are retried.
    ///
    /// # Errors
    /// The request was refused, or no instance answered in time.
    pub async fn post<T: DeserializeOwned>(&self, path: &str, body: &impl Serialize) -> Result<T> {
        let call = OperatorCall {
            method: Method::POST,
            path,
            query: &(),
            body: Some(body),
        };
        self.send(&self.control, call).await
    }

    /// Sends a POST request without a body, whose answer has none. It may be received more than
    /// once, because failed attempts are retried.
    ///
    /// # Errors
    /// The request was refused, or no instance answered in time.
    pub async fn order(&self, path: &str) -> Result<()> {
        let call = OperatorCall::<_, ()> {
            method: Method::POST,
            path,
            query: &(),
            body: None,
        };
        self.send(&self.control, call).await
    }

    /// Sends a DELETE request to a control instance.
    ///
    /// # Errors
    /// The request was refused, or no instance answered in time.
    pub async fn delete<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let call = OperatorCall::<_, ()> {
            method: Method::DELETE,
            path,
            query: &(),
            body: None,
        };
        self.send(&self.control, call).await
    }

    /// Sends a GET request to one entry.
    ///
    /// # Errors
    /// The entry refused the request, or did not answer in time.
    pub async fn get_from<T: DeserializeOwned>(
        &self,
        entry: SocketAddr,
        path: &str,
        query: &impl Serialize,
    ) -> Result<T> {
        let call = OperatorCall::<_, ()> {
            method: Method::GET,
            path,
            query,
            body: None,
        };
        self.send(&[entry], call).await
    }

    /// Sends the request to one instance after another, in rounds, until one answers. The timeout
    /// is checked after each round, so there is at least one round, and the last one may exceed it.
    async fn send<Q, B, T>(
        &self,
        instances: &[SocketAddr],
        call: OperatorCall<'_, Q, B>,
    ) -> Result<T>
    where
        Q: Serialize,
        B: Serialize,
        T: DeserializeOwned,
    {
        if instances.is_empty() {
            return Err(CtlError::Usage("--control ADDRESS is needed".to_owned()));
        }
        let deadline = Instant::now() + self.timeout;
        loop {
            let mut last = None;
            for instance in instances {
                match self.attempt(*instance, &call).await {
                    Ok(response) => return Ok(response),
                    Err(AttemptError::Final(error)) => return Err(error),
                    Err(AttemptError::Retryable(error)) => last = Some(error),
                }
            }
            if Instant::now() + RETRY_DELAY >= deadline {
                let reason = last.map(|error| error.to_string()).unwrap_or_default();
                return Err(CtlError::Unreachable(reason));
            }
            actix_rt::time::sleep(RETRY_DELAY).await;
        }
    }

    async fn attempt<Q, B, T>(
        &self,
        instance: SocketAddr,
        call: &OperatorCall<'_, Q, B>,
    ) -> std::result::Result<T, AttemptError>
    where
        Q: Serialize,
        B: Serialize,
        T: DeserializeOwned,
    {
        let request = self.request(instance, call).map_err(AttemptError::Final)?;
        let sent = match call.body {
            Some(body) => request.send_json(body).await,
            None => request.send().await,
        };
        let failed = |error: String| {
            AttemptError::Retryable(CtlError::Unreachable(format!("{instance}: {error}")))
        };
        let mut response = sent.map_err(|error| failed(error.to_string()))?;
        let reading = response.body().limit(MAX_RESPONSE_BYTES);
        let read = timeout(ATTEMPT_TIMEOUT, reading).await;
        let body = read.map_err(|_| failed("the answer does not end in time".to_owned()))?;
        let body = body.map_err(|error| failed(error.to_string()))?;
        parse_response(response.status(), &body, instance)
    }

    fn request<Q: Serialize, B>(
        &self,
        instance: SocketAddr,
        call: &OperatorCall<'_, Q, B>,
    ) -> Result<ClientRequest> {
        let url = format!("http://{instance}{}", call.path);
        self.http
            .request(call.method.clone(), url)
            .query(call.query)
            .map(|request| request.bearer_auth(&self.key))
            .map_err(|error| CtlError::Usage(error.to_string()))
    }
}

fn parse_response<T: DeserializeOwned>(
    status: StatusCode,
    body: &[u8],
    instance: SocketAddr,
) -> std::result::Result<T, AttemptError> {
    let malformed = |error: serde_json::Error| {
        let message = format!("{instance} answered {status} with a malformed body: {error}");
        AttemptError::Final(CtlError::Malformed(message))
    };
    if status.is_success() {
        // An answer without a body is read as `()`.
        let body = if body.is_empty() { b"null" } else { body };
        return serde_json::from_slice(body).map_err(malformed);
    }
    let response: FaultResponse = serde_json::from_slice(body).map_err(malformed)?;
    let refusal = response.error;
    if status == StatusCode::SERVICE_UNAVAILABLE {
        Err(AttemptError::Retryable(CtlError::Refused(refusal)))
    } else {
        Err(AttemptError::Final(CtlError::Refused(refusal)))
    }
}
