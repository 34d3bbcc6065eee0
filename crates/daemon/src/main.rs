//! The daemon's binary: options, settings and signals.

use anyhow::Context;
use bpaf::{OptionParser, Parser, construct, long};
use protocol::settings::{Role, Settings};
use std::path::PathBuf;
use tokio::signal::unix::{SignalKind, signal};

struct Options {
    check: bool,
    settings: PathBuf,
}

fn options() -> OptionParser<Options> {
    let check = long("check").help("Check the settings, start nothing").switch();
    let settings = long("settings")
        .short('s')
        .help("INI file with the settings of this instance")
        .argument::<PathBuf>("FILE");
    construct!(Options { check, settings })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Serves online and batch inference on one fleet")
        .footer("Example: gatespoold --settings etc/isb-a-1.ini")
}

fn main() -> anyhow::Result<()> {
    let options = options().run();
    let settings = Settings::read(&options.settings)?;
    if options.check {
        println!("{}: the settings are valid", options.settings.display());
        return Ok(());
    }
    let log = daemon::logging::json(&settings.log_level, &settings.data_centre);
    match settings.role {
        Role::Standalone => {}
        Role::Gateway => return daemon::gateway::run(settings, &options.settings, log),
        Role::Standby => return daemon::standby::run(&log),
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let mut signals = {
        let _guard = runtime.enter();
        let terminate = signal(SignalKind::terminate()).context("SIGTERM")?;
        let interrupt = signal(SignalKind::interrupt()).context("SIGINT")?;
        (terminate, interrupt)
    };
    let daemon = daemon::start(settings, log)?;
    runtime.block_on(async {
        tokio::select! {
            _ = signals.0.recv() => {}
            _ = signals.1.recv() => {}
        }
    });
    daemon.stop();
    daemon.join();
    Ok(())
}
