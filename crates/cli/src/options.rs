//! Every command and flag, with its help.

use bpaf::{OptionParser, Parser, construct, long, positional};
use std::net::SocketAddr;
use std::path::PathBuf;

/// A whole command line.
#[derive(Clone, Debug)]
pub struct Options {
    /// Daemon to call.
    pub address: SocketAddr,
    /// Print JSON rather than tables.
    pub json: bool,
    /// Command.
    pub command: Command,
}

/// Commands.
#[derive(Clone, Debug)]
pub enum Command {
    /// `request`
    Request(Request),
    /// `job submit`
    JobSubmit(Submit),
    /// `job status`
    JobStatus(Job),
    /// `job results`
    JobResults(Job),
    /// `job cancel`
    JobCancel(Job),
    /// `config get`
    ConfigGet,
    /// `config apply`
    ConfigApply(Apply),
    /// `config history`
    ConfigHistory,
    /// `targets`
    Targets,
    /// `leave` and `return`
    Leave(Leave),
    /// `instances`
    Instances,
    /// `burn`
    Burn,
    /// `check-settings`
    CheckSettings(Files),
    /// `explain`
    Explain(Explain),
    /// `replay`
    Replay(Replay),
}

/// Arguments of `request`.
#[derive(Clone, Debug)]
pub struct Request {
    /// Key.
    pub key: Option<String>,
    /// At most one run.
    pub once: bool,
    /// Print tokens as they come.
    pub stream: bool,
    /// Most tokens.
    pub max_tokens: Option<u32>,
    /// Deadline.
    pub deadline_ms: Option<u64>,
    /// Service.
    pub service: String,
    /// Prompt.
    pub prompt: String,
}

/// Arguments of `job submit`.
#[derive(Clone, Debug)]
pub struct Submit {
    /// Key.
    pub key: String,
    /// Wait for the end.
    pub wait: bool,
    /// Body.
    pub file: PathBuf,
}

/// Arguments of the other job commands.
#[derive(Clone, Debug)]
pub struct Job {
    /// Wait for the end.
    pub wait: bool,
    /// Id.
    pub job: String,
}

/// Arguments of `config apply`.
#[derive(Clone, Debug)]
pub struct Apply {
    /// Revision it was made on; the one in force when left out.
    pub revision: Option<u64>,
    /// Who offers it.
    pub author: String,
    /// Wait until it is in force everywhere.
    pub wait: bool,
    /// The change.
    pub file: PathBuf,
}

/// Arguments of `leave`.
#[derive(Clone, Debug)]
pub struct Leave {
    /// Take the word back.
    pub back: bool,
    /// Target.
    pub target: String,
}

/// Arguments of `check-settings`.
#[derive(Clone, Debug)]
pub struct Files {
    /// Settings files.
    pub files: Vec<PathBuf>,
}

/// Arguments of `explain`.
#[derive(Clone, Debug)]
pub struct Explain {
    /// Show what the instances came to believe meanwhile.
    pub beliefs: bool,
    /// Id of a request, an item or a job.
    pub id: String,
    /// Log files.
    pub files: Vec<PathBuf>,
}

/// Arguments of `replay`.
#[derive(Clone, Debug)]
pub struct Replay {
    /// More daemons; requests go to all in turn.
    pub more: Vec<SocketAddr>,
    /// Control addresses of stand-ins, `name=address`.
    pub controls: Vec<Control>,
    /// How many times as fast as recorded.
    pub speed: f64,
    /// Seconds that a refused request is tried again for.
    pub patience: u64,
    /// Trace.
    pub file: PathBuf,
}

/// A stand-in's control address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Control {
    /// Name in the trace.
    pub name: String,
    /// Address.
    pub address: SocketAddr,
}

impl std::str::FromStr for Control {
    type Err = String;

    fn from_str(text: &str) -> Result<Control, String> {
        let (name, address) = text.split_once('=').ok_or("expected NAME=ADDRESS")?;
        let address = address.parse().map_err(|_| "expected an IP number and port")?;
        Ok(Control { name: name.into(), address })
    }
}

/// The parser of the whole command line.
pub fn parser() -> OptionParser<Options> {
    let address = long("address")
        .short('a')
        .env("GATESPOOL_ADDRESS")
        .help("Daemon to call, an IP number and port")
        .argument::<SocketAddr>("ADDRESS")
        .fallback(SocketAddr::from(([127, 0, 0, 1], 7800)))
        .display_fallback();
    let json = long("json").help("Print JSON").switch();
    let command = command();
    construct!(Options { address, json, command })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Command line of gatespool")
        .footer(
            "Exit codes: 0 done, 1 a verdict of no, 2 wrong arguments, 3 refused for good,\n\
             4 refused or failed for now, 5 nothing answered.",
        )
}

fn command() -> impl Parser<Command> {
    let request = request().command("request").help("Ask a service one question");
    let job = job().command("job").help("Batch jobs");
    let config = config().command("config").help("Configuration");
    let targets = bpaf::pure(Command::Targets)
        .to_options()
        .descr("Targets as one instance sees them")
        .command("targets")
        .help("List targets");
    let leave = leave().command("leave").help("Give a target no new work");
    let instances = bpaf::pure(Command::Instances)
        .to_options()
        .descr("Instances and the configuration in force on each")
        .command("instances")
        .help("List instances");
    let burn = bpaf::pure(Command::Burn)
        .to_options()
        .descr("Burn of the service levels over 5 min, 30 min, 1 h and 6 h, all instances added up")
        .command("burn")
        .help("Report service-level burn");
    let check = check().command("check-settings").help("Check settings files");
    let replay = replay().command("replay").help("Replay a recorded trace");
    let explain = explain().command("explain").help("The story of one request, item or job");
    construct!([request, job, config, targets, leave, instances, burn, check, explain, replay])
}

fn request() -> OptionParser<Command> {
    let key =
        long("key").help("Key; the same key gives the same outcome").argument("KEY").optional();
    let once = long("once").help("Run at most once").switch();
    let stream = long("stream").help("Print tokens as they come").switch();
    let max_tokens = long("max-tokens").help("Most tokens").argument("N").optional();
    let deadline_ms = long("deadline-ms").help("How long to wait").argument("MS").optional();
    let service = positional("SERVICE").help("Service");
    let prompt = positional("PROMPT").help("Question");
    construct!(Request { key, once, stream, max_tokens, deadline_ms, service, prompt })
        .map(Command::Request)
        .to_options()
        .descr("Asks a service one question")
        .footer("Example: gatespool request --key offer-17 --once pustak-llm 'Offer 400 rupees?'")
}

fn job() -> OptionParser<Command> {
    let submit = {
        let key = long("key").help("Key; a resend with it is the same job").argument("KEY");
        let wait = long("wait").help("Wait for the end").switch();
        let file = positional("FILE").help("JSON lines: the job's header, then its items");
        construct!(Submit { key, wait, file })
            .map(Command::JobSubmit)
            .to_options()
            .descr("Submits a batch job")
            .footer("Example: gatespool job submit --key night-3 --wait catalogue.jsonl")
            .command("submit")
            .help("Submit a job")
    };
    let status = one_job(Command::JobStatus).command("status").help("Where a job stands");
    let results = one_job(Command::JobResults).command("results").help("Results as JSON lines");
    let cancel = one_job(Command::JobCancel).command("cancel").help("Stop a job");
    construct!([submit, status, results, cancel]).to_options().descr("Batch jobs")
}

fn one_job(make: fn(Job) -> Command) -> OptionParser<Command> {
    let wait = long("wait").help("Wait for the end of the job first").switch();
    let job = positional("JOB").help("Id of the job");
    construct!(Job { wait, job }).map(make).to_options()
}

fn config() -> OptionParser<Command> {
    let get = bpaf::pure(Command::ConfigGet)
        .to_options()
        .descr("The configuration in force")
        .command("get");
    let history = bpaf::pure(Command::ConfigHistory)
        .to_options()
        .descr("Accepted changes, newest first")
        .command("history");
    let apply = {
        let revision = long("revision")
            .help("Generation the change was made on; the one in force when left out")
            .argument("N")
            .optional();
        let author = long("author").help("Who offers it").argument("NAME").fallback(String::new());
        let wait = long("wait").help("Wait until it is in force on every instance").switch();
        let file = positional("FILE").help("JSON: objects to put and to delete");
        construct!(Apply { revision, author, wait, file })
            .map(Command::ConfigApply)
            .to_options()
            .descr("Offers a change of the configuration")
            .footer("Example: gatespool config apply --revision 12 --wait change.json")
            .command("apply")
    };
    construct!([get, apply, history]).to_options().descr("Configuration")
}

fn leave() -> OptionParser<Command> {
    let back = long("return").help("Give it work again").switch();
    let target = positional("TARGET").help("Target");
    construct!(Leave { back, target })
        .map(Command::Leave)
        .to_options()
        .descr("Tells every instance that a target leaves; works while the platform is away")
}

fn check() -> OptionParser<Command> {
    let files = positional("FILE").help("Settings file").some("expected a file");
    construct!(Files { files })
        .map(Command::CheckSettings)
        .to_options()
        .descr("Checks settings files")
}

fn explain() -> OptionParser<Command> {
    let beliefs = long("beliefs")
        .help("Also what the instances came to believe: members, targets, configuration")
        .switch();
    let id = positional("ID").help("Id of a request, an item or a job");
    let files = positional("FILE").help("Log of an instance").some("expected a log");
    construct!(Explain { beliefs, id, files })
        .map(Command::Explain)
        .to_options()
        .descr("Tells the story of an id from the logs of several instances, in order of time")
        .footer("Example: gatespool explain --beliefs 9c41d07be2a35f68 front-*.log")
}

fn replay() -> OptionParser<Command> {
    let more =
        long("more").help("Another daemon; requests go to all in turn").argument("ADDRESS").many();
    let controls =
        long("control").help("Control address of a stand-in").argument("NAME=ADDRESS").many();
    let speed = long("speed").help("How many times as fast").argument("N").fallback(1.0);
    let patience = long("patience")
        .help("Seconds that a refused request is tried again for, when told to come back")
        .argument("SECONDS")
        .fallback(30);
    let file = positional("TRACE").help("Trace, JSON lines");
    construct!(Replay { more, controls, speed, patience, file })
        .map(Command::Replay)
        .to_options()
        .descr("Replays a recorded trace and judges every stated outcome")
        .footer("Example: gatespool replay --more 127.0.0.1:7801 traces/book-night.jsonl")
}
