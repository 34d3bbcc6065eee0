//! Reads the metrics of instances: text over HTTP, one series a line.

use crate::client::{Client, Headers};
use bytes::Bytes;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout for the metrics of one instance.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Metrics addresses, written `ADDRESS,ADDRESS,…`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Addresses(pub Vec<SocketAddr>);

impl std::str::FromStr for Addresses {
    type Err = String;

    fn from_str(text: &str) -> Result<Addresses, String> {
        let address = |part: &str| {
            part.trim().parse().map_err(|_| format!("{part:?}: expected an IP address and port"))
        };
        text.split(',').map(address).collect::<Result<_, _>>().map(Addresses)
    }
}

/// One series with its value.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// Name of the metric.
    pub name: String,
    /// Labels by name.
    pub labels: BTreeMap<String, String>,
    /// Current value.
    pub value: f64,
}

impl Sample {
    /// A label's value; empty if the series doesn't have it.
    pub fn label(&self, name: &str) -> &str {
        self.labels.get(name).map_or("", String::as_str)
    }
}

/// Metrics of several instances.
#[derive(Clone, Debug, Default)]
pub struct Scrape {
    /// Samples of each instance that responded.
    pub instances: Vec<Vec<Sample>>,
    /// Instances that didn't.
    pub unreachable: Vec<SocketAddr>,
}

/// Reads the metrics of all instances. Those that don't respond are reported on stderr.
///
/// # Errors
///
/// No instance responds.
pub async fn scrape(client: &Client, addresses: &Addresses) -> anyhow::Result<Scrape> {
    let responses = addresses.0.iter().map(|address| read(client.with_address(*address)));
    let responses = futures_util::future::join_all(responses).await;
    let mut scrape = Scrape::default();
    for (address, response) in addresses.0.iter().zip(responses) {
        match response {
            Ok(text) => scrape.instances.push(parse(&text)),
            Err(error) => {
                eprintln!("{address}: skipped: {error:#}");
                scrape.unreachable.push(*address);
            }
        }
    }
    anyhow::ensure!(!scrape.instances.is_empty(), "no instance responds");
    Ok(scrape)
}

async fn read(client: Client) -> anyhow::Result<String> {
    let headers = Headers::new();
    let call = client.call("GET", "/metrics", &headers, Bytes::new());
    let response = tokio::time::timeout(TIMEOUT, call).await??;
    response.check()?;
    Ok(String::from_utf8(response.body.to_vec())?)
}

/// Parses metrics; other lines are ignored.
pub fn parse(text: &str) -> Vec<Sample> {
    text.lines().filter_map(parse_line).collect()
}

fn parse_line(line: &str) -> Option<Sample> {
    let (series, value) = line.trim().rsplit_once(' ')?;
    let value = value.parse().ok()?;
    let (name, labels) = match series.split_once('{') {
        Some((name, labels)) => (name, parse_labels(labels.strip_suffix('}')?)?),
        None => (series, BTreeMap::new()),
    };
    Some(Sample { name: name.to_owned(), labels, value })
}

/// Parses `name="value",…`, in whose values `\\`, `\"` and `\n` are escapes.
fn parse_labels(text: &str) -> Option<BTreeMap<String, String>> {
    let mut labels = BTreeMap::new();
    let mut rest = text;
    while !rest.is_empty() {
        let (name, quoted) = rest.split_once("=\"")?;
        let mut value = String::new();
        let mut chars = quoted.char_indices();
        let end = loop {
            match chars.next()? {
                (at, '"') => break at,
                (_, '\\') => value.push(match chars.next()?.1 {
                    'n' => '\n',
                    other => other,
                }),
                (_, other) => value.push(other),
            }
        };
        labels.insert(name.trim_start_matches(',').to_owned(), value);
        rest = &quoted[end + 1..];
    }
    Some(labels)
}
