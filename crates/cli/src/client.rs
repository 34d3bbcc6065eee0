//! HTTP client of the daemons.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response};
use hyper_util::client::legacy::{Client as HttpClient, connect::HttpConnector};
use hyper_util::rt::TokioExecutor;
use protocol::error::{Body, Detail};
use serde::de::DeserializeOwned;
use std::fmt;
use std::net::SocketAddr;

/// Error response of a daemon.
#[derive(Clone, Debug)]
pub struct ApiError {
    /// Error that the body holds.
    pub detail: Detail,
}

impl fmt::Display for ApiError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Detail { kind, message, ran, retry_after } = &self.detail;
        let ran = serde_json::to_value(ran).unwrap_or_default();
        write!(f, "{}: {message} ({})", kind.name(), ran.as_str().unwrap_or_default())?;
        match retry_after {
            Some(seconds) => write!(f, "; retry after {seconds} s"),
            None => Ok(()),
        }
    }
}

impl std::error::Error for ApiError {}

/// Response with its complete body.
#[derive(Clone, Debug)]
pub struct BufferedResponse {
    /// HTTP status code.
    pub status: u16,
    /// Response headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl BufferedResponse {
    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// [`ApiError`] for an error response; otherwise a body that isn't a valid `T`.
    pub fn json<T: DeserializeOwned>(&self) -> anyhow::Result<T> {
        self.check()?;
        Ok(serde_json::from_slice(&self.body)?)
    }

    /// Returns an error if the status is 400 or higher.
    ///
    /// # Errors
    ///
    /// [`ApiError`] if the body holds an error, otherwise the status.
    pub fn check(&self) -> anyhow::Result<()> {
        if self.status < 400 {
            return Ok(());
        }
        match serde_json::from_slice::<Body>(&self.body) {
            Ok(body) => Err(ApiError { detail: body.error }.into()),
            Err(_) => anyhow::bail!("status {}", self.status),
        }
    }
}

/// Client of one daemon.
#[derive(Clone)]
pub struct Client {
    http: HttpClient<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
}

/// Request headers.
pub type Headers = Vec<(&'static str, String)>;

impl Client {
    /// Creates a client of the daemon at `address`.
    pub fn new(address: SocketAddr) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Client { http: HttpClient::builder(TokioExecutor::new()).build(connector), address }
    }

    /// Creates a client of another daemon that shares the connection pool.
    pub fn with_address(&self, address: SocketAddr) -> Client {
        Client { http: self.http.clone(), address }
    }

    /// Address of the daemon.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and returns the response before its body is read.
    ///
    /// # Errors
    ///
    /// The request is invalid or no response arrives.
    pub async fn send(
        &self,
        method: &str,
        path: &str,
        headers: &Headers,
        body: Bytes,
    ) -> anyhow::Result<Response<Incoming>> {
        let uri = format!("http://{}{path}", self.address);
        let mut builder = Request::builder().method(method).uri(uri);
        for (name, value) in headers {
            builder = builder.header(*name, value);
        }
        let request = builder.body(Full::new(body))?;
        let response = self.http.request(request).await;
        response.map_err(|error| anyhow::anyhow!("{}: {error}", self.address))
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// As [`Client::send`], or the body is incomplete.
    pub async fn call(
        &self,
        method: &str,
        path: &str,
        headers: &Headers,
        body: Bytes,
    ) -> anyhow::Result<BufferedResponse> {
        let response = self.send(method, path, headers, body).await?;
        let status = response.status().as_u16();
        let headers = response.headers().clone();
        let body = response.into_body().collect().await?.to_bytes();
        Ok(BufferedResponse { status, headers, body })
    }

    /// Sends a `GET` request and parses the response as JSON.
    ///
    /// # Errors
    ///
    /// As [`Client::call`] and [`BufferedResponse::json`].
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> anyhow::Result<T> {
        self.call("GET", path, &Headers::new(), Bytes::new()).await?.json()
    }

    /// Sends a `POST` request with a JSON body.
    ///
    /// # Errors
    ///
    /// As [`Client::call`].
    pub async fn post(
        &self,
        path: &str,
        headers: &Headers,
        body: &serde_json::Value,
    ) -> anyhow::Result<BufferedResponse> {
        self.call("POST", path, headers, Bytes::from(serde_json::to_vec(body)?)).await
    }
}
