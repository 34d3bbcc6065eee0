//! Runs one case of the review: `review-case CASE FOLDER PROGRAM`.
//!
//! Exits with 0 if the rule held, 1 if it was broken, and 2 if the case couldn't run. With
//! `TROUBLE=0` in the environment, the disruption is left out.

mod catch_all;
mod fleet;
mod http;
mod large_result;
mod new_route;
mod record;
mod sized_runner;
mod store_limit;
mod wire;

use fleet::Error;
use record::Record;
use std::path::PathBuf;
use std::process::ExitCode;

/// What a case needs.
pub struct Setup {
    /// The project's daemon.
    pub program: PathBuf,
    /// Temporary folder for settings and logs.
    pub dir: PathBuf,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
    pub record: Record,
}

/// What a case found: the ways in which the rule was broken.
pub type Verdict = Result<Vec<String>, Error>;

fn run(case: &str, folder: PathBuf, program: PathBuf) -> Verdict {
    let dir = std::env::temp_dir().join(format!("gatespool-review-{}", std::process::id()));
    std::fs::create_dir_all(&dir)?;
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let setup = Setup { program, dir: dir.clone(), has_trouble, record: Record::create(&folder)? };
    setup.record.line(format!("case {case}, disruption: {has_trouble}"));
    let verdict = match case {
        "catch-all" => catch_all::run(&setup),
        "large-result" => large_result::run(&setup),
        "new-route" => new_route::run(&setup),
        other => Err(format!("unknown case {other}").into()),
    };
    match &verdict {
        Ok(broken) if broken.is_empty() => setup.record.line("the rule held"),
        Ok(broken) => broken.iter().for_each(|what| setup.record.line(format!("BROKEN: {what}"))),
        Err(error) => setup.record.line(format!("the case couldn't run: {error}")),
    }
    if std::env::var_os("KEEP_LOGS").is_none() {
        std::fs::remove_dir_all(&dir)?;
    }
    verdict
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder, program] = &arguments[..] else {
        eprintln!("usage: review-case CASE FOLDER PROGRAM");
        return ExitCode::from(2);
    };
    match run(case, PathBuf::from(folder), PathBuf::from(program)) {
        Ok(broken) if broken.is_empty() => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(1),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
