//! Calls to daemons over HTTP.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response};
use hyper_util::client::legacy::{Client as Http, connect::HttpConnector};
use hyper_util::rt::TokioExecutor;
use protocol::error::{Body, Detail};
use serde::de::DeserializeOwned;
use std::fmt;
use std::net::SocketAddr;

/// A daemon's refusal.
#[derive(Clone, Debug)]
pub struct Refused {
    /// What it said.
    pub detail: Detail,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Detail { kind, message, ran, retry_after } = &self.detail;
        let ran = serde_json::to_value(ran).unwrap_or_default();
        write!(f, "{}: {message} ({})", kind.name(), ran.as_str().unwrap_or_default())?;
        match retry_after {
            Some(seconds) => write!(f, "; come back in {seconds} s"),
            None => Ok(()),
        }
    }
}

impl std::error::Error for Refused {}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Answer {
    /// The body, or the refusal that it holds.
    ///
    /// # Errors
    ///
    /// The refusal, or a body that doesn't fit.
    pub fn read<T: DeserializeOwned>(&self) -> anyhow::Result<T> {
        self.check()?;
        Ok(serde_json::from_slice(&self.body)?)
    }

    /// Whether the daemon did what was asked.
    ///
    /// # Errors
    ///
    /// Its refusal.
    pub fn check(&self) -> anyhow::Result<()> {
        if self.status < 400 {
            return Ok(());
        }
        match serde_json::from_slice::<Body>(&self.body) {
            Ok(body) => Err(Refused { detail: body.error }.into()),
            Err(_) => anyhow::bail!("status {}", self.status),
        }
    }
}

/// A client of one daemon.
#[derive(Clone)]
pub struct Client {
    http: Http<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
}

/// Headers of a call.
pub type Headers = Vec<(&'static str, String)>;

impl Client {
    /// A client of the daemon at `address`.
    pub fn new(address: SocketAddr) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Client { http: Http::builder(TokioExecutor::new()).build(connector), address }
    }

    /// The same client for another daemon.
    pub fn at(&self, address: SocketAddr) -> Client {
        Client { http: self.http.clone(), address }
    }

    /// Where it calls.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes a call; the body is left to the caller.
    ///
    /// # Errors
    ///
    /// When no daemon answers.
    pub async fn open(
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

    /// Makes a call and reads the whole answer.
    ///
    /// # Errors
    ///
    /// When no daemon answers, or not wholly.
    pub async fn call(
        &self,
        method: &str,
        path: &str,
        headers: &Headers,
        body: Bytes,
    ) -> anyhow::Result<Answer> {
        let response = self.open(method, path, headers, body).await?;
        let status = response.status().as_u16();
        let headers = response.headers().clone();
        let body = response.into_body().collect().await?.to_bytes();
        Ok(Answer { status, headers, body })
    }

    /// Reads.
    ///
    /// # Errors
    ///
    /// As [`Client::call`], or the refusal.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> anyhow::Result<T> {
        self.call("GET", path, &Headers::new(), Bytes::new()).await?.read()
    }

    /// Sends JSON.
    ///
    /// # Errors
    ///
    /// As [`Client::call`].
    pub async fn post(
        &self,
        path: &str,
        headers: &Headers,
        body: &serde_json::Value,
    ) -> anyhow::Result<Answer> {
        self.call("POST", path, headers, Bytes::from(serde_json::to_vec(body)?)).await
    }
}
