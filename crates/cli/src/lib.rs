//! Command line of gatespool for operators and applications.
//!
//! The binary calls [`run`]. [`options`] defines the arguments; the other modules
//! implement the commands on the daemons' public HTTP API.
//!
//! ```no_run
//! let options = cli::options::parser().run();
//! std::process::exit(cli::run(options).code());
//! ```

pub mod client;
pub mod exit;
pub mod explain;
pub mod fleet;
pub mod job;
pub mod metrics;
pub mod options;
pub mod print;
pub mod replay;
pub mod request;
pub mod settings;
pub mod slots;

use exit::Exit;
use options::{Command, Options};

/// Runs one command. Errors are printed to stderr.
pub fn run(options: Options) -> Exit {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return Exit::from_error(&error.into()),
    };
    match runtime.block_on(dispatch(options)) {
        Ok(exit) => exit,
        Err(error) => Exit::from_error(&error),
    }
}

async fn dispatch(options: Options) -> anyhow::Result<Exit> {
    let Options { address, json, command } = options;
    let context = print::Context { client: client::Client::new(address), json };
    match command {
        Command::Request(args) => request::run(&context, args).await,
        Command::JobSubmit(args) => job::submit(&context, args).await,
        Command::JobStatus(args) => job::status(&context, &args).await,
        Command::JobResults(args) => job::results(&context, &args).await,
        Command::JobCancel(args) => job::cancel(&context, &args).await,
        Command::ConfigGet => fleet::config(&context).await,
        Command::ConfigApply(args) => fleet::apply(&context, args).await,
        Command::ConfigHistory => fleet::history(&context).await,
        Command::Targets(None) => fleet::targets(&context).await,
        Command::Targets(Some(addresses)) => slots::targets(&context, &addresses).await,
        Command::Workspaces(addresses) => slots::workspaces(&context, &addresses).await,
        Command::Leave(args) => fleet::leave(&context, &args).await,
        Command::Instances => fleet::instances(&context).await,
        Command::Burn => fleet::burn(&context).await,
        Command::CheckSettings(args) => Ok(settings::check(&args)),
        Command::Explain(args) => explain::run(&args),
        Command::Replay(args) => replay::run(&context, args).await,
    }
}
