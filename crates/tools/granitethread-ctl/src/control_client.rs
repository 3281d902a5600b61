//! HTTP calls to the control nodes: the configuration is read and replaced.

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
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// The addresses under which control nodes take calls of operators.
pub struct ControlClient<'a> {
    nodes: &'a [SocketAddr],
}

/// An answer that is no redirect.
pub struct Answer {
    pub status: StatusCode,
    pub body: Bytes,
}

/// What a node answered, and where it redirects to.
struct NodeAnswer {
    answer: Answer,
    redirect: Option<SocketAddr>,
}

impl<'a> ControlClient<'a> {
    /// # Errors
    /// No address was given.
    pub fn new(nodes: &'a [SocketAddr]) -> Result<Self, Error> {
        if nodes.is_empty() {
            return Err(Error::AddressMissing("control"));
        }
        Ok(ControlClient { nodes })
    }

    /// The configuration in force, if there is one yet.
    ///
    /// # Errors
    /// No node answered, or none with a configuration.
    pub async fn read(&self) -> Result<Option<Value>, Error> {
        let Answer { status, body } = self.call(Method::GET, READ_PATH, Bytes::new()).await?;
        match status {
            StatusCode::OK => {
                let parsed = serde_json::from_slice(&body);
                parsed.map(Some).map_err(Error::NotJsonAnswer)
            }
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(Error::UnexpectedAnswer { status, body: String::from_utf8_lossy(&body).into_owned() }),
        }
    }

    /// Proposes a configuration; the answer may be a refusal.
    ///
    /// # Errors
    /// No node answered.
    pub async fn replace(&self, configuration: Bytes) -> Result<Answer, CallError> {
        self.call(Method::POST, REPLACE_PATH, configuration).await
    }

    /// Follows redirects to the leader, and tries again while there is none.
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
                sleep(RETRY_PAUSE).await;
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
        // A sound connection goes on until the answer is whole.
        Err(error) = connection => Err(error.into()),
    }
}

/// The address that a `Location` header names.
fn redirect_of<B>(response: &Response<B>) -> Option<SocketAddr> {
    let location = response.headers().get(LOCATION)?.to_str().ok()?;
    location.strip_prefix("http://")?.split('/').next()?.parse().ok()
}
