//! Binary of the command line.

fn main() {
    let options = cli::options::parser().run();
    std::process::exit(cli::run(options).code());
}
