//! Replays recorded traces against three daemons, a platform and engines that are
//! embedded in this process, and prints the reports.
//!
//! ```text
//! cargo run --release -p gatespoold --example trial [TRACE ...]
//! ```

use anyhow::Context as _;
use cli::options::{Control, Replay};
use cli::print::Context;
use protocol::settings::Settings;
use standin::engine::{Config, Engine};
use standin::platform::Platform;
use standin::serve::{self, Server};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

const ENGINES: usize = 6;
const DATA_CENTRES: [&str; 3] = ["first", "second", "third"];
const RETRY_PERIOD_SECONDS: u64 = 30;

fn main() -> anyhow::Result<()> {
    let mut traces: Vec<PathBuf> = std::env::args().skip(1).map(PathBuf::from).collect();
    if traces.is_empty() {
        let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../traces");
        traces = vec![folder.join("book-night.jsonl"), folder.join("match.jsonl")];
    }
    let mut all_passed = true;
    for trace in traces {
        all_passed &= trial(trace)?;
    }
    anyhow::ensure!(all_passed, "a stated outcome doesn't hold");
    Ok(())
}

fn trial(trace: PathBuf) -> anyhow::Result<bool> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let platform = serve::start(any_port, Platform::default())?;
    let engines: Vec<Server> = (0..ENGINES)
        .map(|_| serve::start(any_port, Engine::new(Config::default())))
        .collect::<Result<_, _>>()?;
    let mut daemons: Vec<daemon::Daemon> = Vec::new();
    for data_centre in DATA_CENTRES {
        let settings = Settings {
            data_centre: data_centre.into(),
            platform_address: platform.address,
            platform_calls_per_second: 1000.0,
            seeds: daemons.iter().map(|daemon| daemon.peer).collect(),
            stop_grace: Duration::from_millis(200),
            ..Settings::default()
        };
        daemons.push(daemon::start(settings, daemon::logging::discard())?);
    }
    let runtime = tokio::runtime::Runtime::new()?;
    let fronts: Vec<SocketAddr> = daemons.iter().map(|daemon| daemon.front).collect();
    let context = Context { client: cli::client::Client::new(fronts[0]), json: false };
    runtime.block_on(configure(&context, &fronts, &engines))?;
    let name = trace.file_name().unwrap_or_default().to_string_lossy().into_owned();
    let text = std::fs::read_to_string(&trace).with_context(|| trace.display().to_string())?;
    let events = cli::replay::parse(&text).with_context(|| name.clone())?;
    let args = replay_args(trace, &fronts, &platform, &engines);
    let report = runtime.block_on(cli::replay::play(&context, &args, events))?;
    println!("== {name}: {} daemons, {ENGINES} engines", daemons.len());
    print!("{}", report.text());
    daemons.iter().for_each(daemon::Daemon::stop);
    daemons.into_iter().for_each(daemon::Daemon::join);
    Ok(report.all_passed())
}

fn replay_args(
    file: PathBuf,
    fronts: &[SocketAddr],
    platform: &Server,
    engines: &[Server],
) -> Replay {
    let control = |name: String, address| Control { name, address };
    let mut controls = vec![control("platform".into(), platform.address)];
    let numbered = engines.iter().enumerate();
    controls.extend(numbered.map(|(n, engine)| control(format!("engine-{n}"), engine.address)));
    Replay {
        more: fronts[1..].to_vec(),
        controls,
        speed: 1.0,
        patience: RETRY_PERIOD_SECONDS,
        file,
    }
}

/// Configures the services and their targets. All engines serve both services, so
/// that a trace that uses only one still has the whole fleet.
async fn configure(
    context: &Context,
    fronts: &[SocketAddr],
    engines: &[Server],
) -> anyhow::Result<()> {
    let mut put = vec![serde_json::json!({ "object": "version", "name": "v1", "weights": "w/v1" })];
    for service in ["pustak-llm", "scoreline-llm"] {
        put.push(serde_json::json!({
            "object": "service", "name": service, "protocol": "chat", "version": "v1",
            "levels": [{ "class": "online", "first_token_ms": 760, "share": 0.95 }],
        }));
        put.extend(engines.iter().enumerate().map(|(n, engine)| {
            serde_json::json!({
                "object": "target", "name": format!("{service}-{n}"),
                "address": engine.address.to_string(), "data_centre": DATA_CENTRES[n % 3],
                "service": service, "slots": 8, "checks_fence": true,
            })
        }));
    }
    let request = serde_json::json!({ "revision": 0, "change": { "put": put } });
    for front in fronts {
        wait_ready(&context.client.with_address(*front)).await;
    }
    context.client.post("/v1/config", &vec![], &request).await?.check()?;
    for front in fronts {
        wait_generation(&context.client.with_address(*front)).await;
    }
    Ok(())
}

async fn wait_ready(client: &cli::client::Client) {
    while client.get::<String>("/ready").await.is_err() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn wait_generation(client: &cli::client::Client) {
    loop {
        let status = client.get::<serde_json::Value>("/v1/status").await;
        if status.is_ok_and(|status| status["generation"] == 1) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
