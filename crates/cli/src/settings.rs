//! `check-settings`: validates settings files without starting a daemon.

use crate::exit::Exit;
use crate::options::SettingsFiles;
use protocol::settings::Settings;

/// Validates every file and prints the errors.
pub fn check(args: &SettingsFiles) -> Exit {
    let mut exit = Exit::Success;
    for file in &args.files {
        match Settings::read(file) {
            Ok(_) => println!("{}: valid", file.display()),
            Err(error) => {
                eprintln!("{error}");
                exit = Exit::Negative;
            }
        }
    }
    exit
}
