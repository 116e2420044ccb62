//! HTTP to control instances and entries, with failover.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use awc::http::{Method, StatusCode};
use awc::{Client, ClientRequest};
use serde::Serialize;
use serde::de::DeserializeOwned;
use settings::operator::FaultResponse;

use crate::args::CtlArgs;
use crate::error::{CtlError, Result};

/// Time for one try.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause after every instance was tried.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Largest accepted answer in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Reaches the instances that the command line names.
pub struct OperatorClient {
    http: Client,
    /// Control instances, in the order in which they are tried.
    control: Vec<SocketAddr>,
    entries: Vec<SocketAddr>,
    key: String,
    timeout: Duration,
}

/// What is asked of an instance.
struct OperatorCall<'a, Q, B> {
    method: Method,
    path: &'a str,
    query: &'a Q,
    body: Option<&'a B>,
}

/// How one try failed.
enum AttemptError {
    /// Another instance, or a later try, may answer.
    Retryable(CtlError),
    /// The answer stands.
    Final(CtlError),
}

impl OperatorClient {
    /// A client with the addresses and the timeout of the command line.
    ///
    /// # Errors
    /// No key.
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

    /// The entries of the command line.
    ///
    /// # Errors
    /// There is none.
    pub fn entries(&self) -> Result<&[SocketAddr]> {
        if self.entries.is_empty() {
            return Err(CtlError::Usage("--entry ADDRESS is needed".to_owned()));
        }
        Ok(&self.entries)
    }

    /// Reads from a control instance.
    ///
    /// # Errors
    /// The refusal, or that nobody answered in time.
    pub async fn get<T: DeserializeOwned>(&self, path: &str, query: &impl Serialize) -> Result<T> {
        let call = OperatorCall::<_, ()> {
            method: Method::GET,
            path,
            query,
            body: None,
        };
        self.send(&self.control, call).await
    }

    /// Sends a change to a control instance. It may arrive more than once.
    ///
    /// # Errors
    /// The refusal, or that nobody answered in time.
    pub async fn post<T: DeserializeOwned>(&self, path: &str, body: &impl Serialize) -> Result<T> {
        let call = OperatorCall {
            method: Method::POST,
            path,
            query: &(),
            body: Some(body),
        };
        self.send(&self.control, call).await
    }

    /// Deletes at a control instance.
    ///
    /// # Errors
    /// The refusal, or that nobody answered in time.
    pub async fn delete<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let call = OperatorCall::<_, ()> {
            method: Method::DELETE,
            path,
            query: &(),
            body: None,
        };
        self.send(&self.control, call).await
    }

    /// Reads from one entry.
    ///
    /// # Errors
    /// The refusal, or that it did not answer in time.
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

    /// Asks one instance after another until one answers or the time is over.
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
                    Ok(answer) => return Ok(answer),
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
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
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
        let message = format!("{instance} answered {status} with what is no answer: {error}");
        AttemptError::Final(CtlError::Malformed(message))
    };
    if status.is_success() {
        return serde_json::from_slice(body).map_err(malformed);
    }
    let reply: FaultResponse = serde_json::from_slice(body).map_err(malformed)?;
    let refusal = reply.error;
    if status == StatusCode::SERVICE_UNAVAILABLE {
        Err(AttemptError::Retryable(CtlError::Refused(refusal)))
    } else {
        Err(AttemptError::Final(CtlError::Refused(refusal)))
    }
}
