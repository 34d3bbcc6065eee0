//! `check-settings`: checks settings files and starts nothing.

use crate::exit::Exit;
use crate::options::Files;
use protocol::settings::Settings;

/// Checks every file; each fault is printed.
pub fn check(args: &Files) -> Exit {
    let mut exit = Exit::Done;
    for file in &args.files {
        match Settings::read(file) {
            Ok(_) => println!("{}: valid", file.display()),
            Err(fault) => {
                eprintln!("{fault}");
                exit = Exit::No;
            }
        }
    }
    exit
}
