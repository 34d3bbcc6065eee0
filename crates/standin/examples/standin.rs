//! Runs one stand-in until the process is killed.

use bpaf::{OptionParser, Parser, construct, long, positional};
use standin::engine::{Config, Engine};
use standin::plain::PlainService;
use standin::platform::Platform;
use std::net::SocketAddr;
use std::time::Duration;

struct Options {
    listen: SocketAddr,
    slots: u32,
    token_ms: u64,
    kind: String,
}

fn options() -> OptionParser<Options> {
    let listen = long("listen")
        .help("IP address and port to listen on")
        .argument::<SocketAddr>("ADDRESS")
        .fallback(SocketAddr::from(([127, 0, 0, 1], 0)));
    let slots = long("slots").help("Number of engine slots").argument("N").fallback(8);
    let token_ms =
        long("token-ms").help("Engine token interval in milliseconds").argument("MS").fallback(2);
    let kind = positional("KIND").help("platform, engine or plain");
    construct!(Options { listen, slots, token_ms, kind })
        .to_options()
        .descr("Runs a stand-in for an external system")
}

fn main() -> anyhow::Result<()> {
    let options = options().run();
    let running = match options.kind.as_str() {
        "platform" => standin::serve::start(options.listen, Platform::default())?,
        "plain" => standin::serve::start(options.listen, PlainService::default())?,
        "engine" => {
            let token_interval = Duration::from_millis(options.token_ms);
            let config = Config { slots: options.slots, token_interval, ..Config::default() };
            standin::serve::start(options.listen, Engine::new(config))?
        }
        other => anyhow::bail!("unknown kind `{other}`: expected platform, engine or plain"),
    };
    println!("{} listens on {}", options.kind, running.address);
    loop {
        std::thread::park();
    }
}
