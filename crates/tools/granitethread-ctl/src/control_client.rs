//! HTTP client of the control nodes: reads and replaces the configuration.

use crate::error::{CallError, Error, HttpError};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::header::{CONTENT_TYPE, HOST, LOCATION};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

const READ_PATH: &str = "/-/Configuration.Read";
const REPLACE_PATH: &str = "/-/Configuration.Replace";
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(2500);
const MAX_ATTEMPTS: usize = 12;
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Client of the control nodes at their control addresses.
pub struct ControlClient<'a> {
    nodes: &'a [SocketAddr],
}

/// Status and body of an answer.
pub struct Answer {
    pub status: StatusCode,
    pub body: Bytes,
}

/// The answer of one node, and the target if it is a redirect.
struct NodeAnswer {
    answer: Answer,
    redirect: Option<SocketAddr>,
}

impl<'a> ControlClient<'a> {
    /// Creates a client.
    ///
    /// # Errors
    /// Returns an error if there are no addresses.
    pub fn new(nodes: &'a [SocketAddr]) -> Result<Self, Error> {
        if nodes.is_empty() {
            return Err(Error::AddressMissing("control"));
        }
        Ok(ControlClient { nodes })
    }

    /// Returns the current configuration, if there is one.
    ///
    /// # Errors
    /// Returns an error if no node answers, or if the answer is not a configuration.
    pub async fn read(&self) -> Result<Option<Value>, Error> {
        let Answer { status, body } = self.call(Method::GET, READ_PATH, Bytes::new()).await?;
        match status {
            StatusCode::OK => {
                let parsed = serde_json::from_slice(&body);
                parsed.map(Some).map_err(Error::AnswerNotJson)
            }
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(Error::UnexpectedAnswer { status, body: String::from_utf8_lossy(&body).into_owned() }),
        }
    }

    /// Proposes a configuration. The answer may be a refusal.
    ///
    /// # Errors
    /// Returns an error if no node answers.
    pub async fn replace(&self, configuration: Bytes) -> Result<Answer, CallError> {
        self.call(Method::POST, REPLACE_PATH, configuration).await
    }

    /// Sends a call, follows redirects to the leader, and retries failed attempts.
    async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Answer, CallError> {
        let mut redirect = None;
        let mut error = CallError::NotAttempted;
        for attempt in 0..MAX_ATTEMPTS {
            let node = redirect.take().unwrap_or(self.nodes[attempt % self.nodes.len()]);
            match timeout(ATTEMPT_TIMEOUT, send(node, method.clone(), path, body.clone())).await {
                Ok(Ok(NodeAnswer { answer, redirect: Some(leader) }))
                    if answer.status == StatusCode::TEMPORARY_REDIRECT =>
                {
                    redirect = Some(leader);
                }
                Ok(Ok(NodeAnswer { answer, .. })) if !answer.status.is_server_error() => return Ok(answer),
                Ok(Ok(NodeAnswer { answer: Answer { status, body }, .. })) => {
                    let body = String::from_utf8_lossy(&body).into_owned();
                    error = CallError::ServerError { node, status, body };
                }
                Ok(Err(reason)) => error = CallError::Http { node, reason },
                Err(_) => error = CallError::TimedOut { node },
            }
            if redirect.is_none() {
                sleep(RETRY_DELAY).await;
            }
        }
        Err(error)
    }
}

async fn send(node: SocketAddr, method: Method, path: &str, body: Bytes) -> Result<NodeAnswer, HttpError> {
    let stream = TcpStream::connect(node).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, node.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(body))?;
    let answer = async {
        let response = sender.send_request(request).await?;
        let redirect = redirect_of(&response);
        let status = response.status();
        let body = response.into_body().collect().await?.to_bytes();
        Ok(NodeAnswer { answer: Answer { status, body }, redirect })
    };
    tokio::select! {
        answer = answer => answer,
        // Without an error, the connection stays open until the answer is complete.
        Err(error) = connection => Err(error.into()),
    }
}

/// Returns the address in a `Location` header.
fn redirect_of<B>(response: &Response<B>) -> Option<SocketAddr> {
    let location = response.headers().get(LOCATION)?.to_str().ok()?;
    location.strip_prefix("http://")?.split('/').next()?.parse().ok()
}
