//! The command line's process.

fn main() {
    let options = cli::options::parser().run();
    std::process::exit(cli::run(options).code());
}
