//! `replay`: replays a recorded trace and checks every expected outcome.

mod events;
mod report;

use crate::exit::Exit;
use crate::options::Replay;
use crate::print::Context;
use anyhow::Context as _;
use protocol::trace::Event;
pub use report::{OutcomeCheck, Report};
use std::time::Duration;

/// Parses a trace of JSON lines; blank lines are skipped.
///
/// # Errors
///
/// The number of the first invalid line, and why it is invalid.
pub fn parse(text: &str) -> anyhow::Result<Vec<Event>> {
    let lines = text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty());
    let parse = |(number, line): (usize, &str)| {
        serde_json::from_str(line).with_context(|| format!("line {}", number + 1))
    };
    lines.map(parse).collect()
}

/// Replays a trace and prints the report.
///
/// # Errors
///
/// The trace can't be read or parsed.
pub async fn run(context: &Context, args: Replay) -> anyhow::Result<Exit> {
    let name = args.file.display().to_string();
    let text = std::fs::read_to_string(&args.file).with_context(|| name.clone())?;
    let events = parse(&text).with_context(|| name)?;
    let report = play(context, &args, events).await?;
    if context.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{}", report.text());
    }
    Ok(if report.all_passed() { Exit::Success } else { Exit::Negative })
}

/// Replays events against the daemons that `args` and `context` name.
///
/// # Errors
///
/// A task of the replay panics.
pub async fn play(context: &Context, args: &Replay, events: Vec<Event>) -> anyhow::Result<Report> {
    let mut addresses = vec![context.client.address()];
    addresses.extend(&args.more);
    let player = events::Player {
        client: context.client.clone(),
        addresses,
        controls: args.controls.clone(),
        speed: args.speed,
        patience: Duration::from_secs(args.patience),
    };
    player.play(events).await
}
