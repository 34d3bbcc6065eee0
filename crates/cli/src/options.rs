//! Commands, options and their help texts.

use crate::metrics::Addresses;
use bpaf::{OptionParser, Parser, construct, long, positional};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Parsed command line.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address of the daemon to call; default 127.0.0.1:7800.
    pub address: SocketAddr,
    /// Print JSON instead of tables.
    pub json: bool,
    /// Command to run.
    pub command: Command,
}

/// Command with its arguments.
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
    /// `targets`, from the metrics of gateways if their addresses are given.
    Targets(Option<Addresses>),
    /// `workspaces`
    Workspaces(Addresses),
    /// `leave` and `return`
    Leave(Leave),
    /// `instances`
    Instances,
    /// `burn`
    Burn,
    /// `check-settings`
    CheckSettings(SettingsFiles),
    /// `explain`
    Explain(Explain),
    /// `replay`
    Replay(Replay),
}

/// Arguments of `request`.
#[derive(Clone, Debug)]
pub struct Request {
    /// Idempotency key, if any.
    pub key: Option<String>,
    /// Run at most once: the request isn't repeatable.
    pub once: bool,
    /// Stream the response.
    pub stream: bool,
    /// Maximum number of tokens to generate; not sent if absent.
    pub max_tokens: Option<u32>,
    /// Time until the deadline, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Name of the service.
    pub service: String,
    /// Text of the user message.
    pub prompt: String,
}

/// Arguments of `job submit`.
#[derive(Clone, Debug)]
pub struct Submit {
    /// Idempotency key.
    pub key: String,
    /// Wait until the job ends.
    pub wait: bool,
    /// JSON lines: the job's header, then its items.
    pub file: PathBuf,
}

/// Arguments of the other job commands.
#[derive(Clone, Debug)]
pub struct Job {
    /// Wait until the job ends.
    pub wait: bool,
    /// Id of the job.
    pub job: String,
}

/// Arguments of `config apply`.
#[derive(Clone, Debug)]
pub struct Apply {
    /// Generation on which the change is based; the one in force if absent.
    pub revision: Option<u64>,
    /// Author recorded with the change; empty by default.
    pub author: String,
    /// Wait until the change is in force on every instance.
    pub wait: bool,
    /// File with the change as JSON.
    pub file: PathBuf,
}

/// Arguments of `leave`.
#[derive(Clone, Debug)]
pub struct Leave {
    /// Revert an earlier `leave`.
    pub is_return: bool,
    /// Name of the target.
    pub target: String,
}

/// Arguments of `check-settings`.
#[derive(Clone, Debug)]
pub struct SettingsFiles {
    /// Settings files to validate.
    pub files: Vec<PathBuf>,
}

/// Arguments of `explain`.
#[derive(Clone, Debug)]
pub struct Explain {
    /// Include state events: members, targets, configuration, platform.
    pub beliefs: bool,
    /// Id of a request, an item or a job.
    pub id: String,
    /// Log files of the instances.
    pub files: Vec<PathBuf>,
}

/// Arguments of `replay`.
#[derive(Clone, Debug)]
pub struct Replay {
    /// Additional daemons; requests are sent to all daemons in turn.
    pub more: Vec<SocketAddr>,
    /// Control addresses of stand-ins.
    pub controls: Vec<Control>,
    /// Speed relative to the recording; 1.0 by default.
    pub speed: f64,
    /// How long a rejected request is retried, in seconds.
    pub patience: u64,
    /// Trace file as JSON lines.
    pub file: PathBuf,
}

/// Control address of a stand-in, written `NAME=ADDRESS`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Control {
    /// Name of the stand-in in the trace.
    pub name: String,
    /// Address of its control endpoint.
    pub address: SocketAddr,
}

impl std::str::FromStr for Control {
    type Err = String;

    fn from_str(text: &str) -> Result<Control, String> {
        let (name, address) = text.split_once('=').ok_or("expected NAME=ADDRESS")?;
        let address = address.parse().map_err(|_| "expected an IP address and port")?;
        Ok(Control { name: name.into(), address })
    }
}

/// Creates the parser of the command line.
pub fn parser() -> OptionParser<Options> {
    let address = long("address")
        .short('a')
        .env("GATESPOOL_ADDRESS")
        .help("Daemon to call, as IP address and port")
        .argument::<SocketAddr>("ADDRESS")
        .fallback(SocketAddr::from(([127, 0, 0, 1], 7800)))
        .display_fallback();
    let json = long("json").help("Print JSON instead of tables").switch();
    let command = command();
    construct!(Options { address, json, command })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Command line of gatespool")
        .footer(
            "Exit codes: 0 success, 1 negative result, 2 invalid arguments, 3 request rejected,\n\
             4 rejected or failed temporarily, 5 no response or another error.",
        )
}

fn command() -> impl Parser<Command> {
    let request = request().command("request").help("Send a request to a service");
    let job = job().command("job").help("Submit and manage batch jobs");
    let config = config().command("config").help("Show and change the configuration");
    let targets = targets().command("targets").help("List targets");
    let workspaces = workspaces().command("workspaces").help("Print the use of slots by workspace");
    let leave = leave().command("leave").help("Give a target no new work");
    let instances = bpaf::pure(Command::Instances)
        .to_options()
        .descr("Lists instances and the generation of the configuration in force on each")
        .command("instances")
        .help("List instances");
    let burn = bpaf::pure(Command::Burn)
        .to_options()
        .descr("Prints burn rates of the service levels over 5 min, 30 min, 1 h and 6 h for all instances")
        .command("burn")
        .help("Print burn rates of the service levels");
    let check = check_settings().command("check-settings").help("Check settings files");
    let replay = replay().command("replay").help("Replay a recorded trace");
    let explain =
        explain().command("explain").help("Print the log lines of one request, item or job");
    construct!([
        request, job, config, targets, workspaces, leave, instances, burn, check, explain, replay
    ])
}

fn metrics_addresses() -> impl Parser<Addresses> {
    long("metrics")
        .help("Metrics addresses of gateways, separated by commas")
        .argument::<Addresses>("ADDRESS,...")
}

fn targets() -> OptionParser<Command> {
    let addresses = metrics_addresses().optional();
    addresses
        .map(Command::Targets)
        .to_options()
        .descr(
            "Lists the targets as the called instance sees them; with --metrics, numbers of \
             targets and slots in use of gateways by service and speed class",
        )
        .footer("Example: gatespool targets --metrics 10.1.0.3:9100,10.2.0.4:9100")
}

fn workspaces() -> OptionParser<Command> {
    metrics_addresses()
        .map(Command::Workspaces)
        .to_options()
        .descr(
            "Prints slots in use, waiting requests and rejections over the quota by workspace, \
             from the metrics of gateways",
        )
        .footer("Example: gatespool workspaces --metrics 10.1.0.3:9100,10.2.0.4:9100")
}

fn request() -> OptionParser<Command> {
    let key = long("key")
        .help("Idempotency key; the same key gives the same outcome")
        .argument("KEY")
        .optional();
    let once = long("once").help("Run at most once").switch();
    let stream = long("stream").help("Print tokens as they arrive").switch();
    let max_tokens = long("max-tokens").help("Maximum number of tokens").argument("N").optional();
    let deadline_ms = long("deadline-ms")
        .help("Time until the deadline, in milliseconds")
        .argument("MS")
        .optional();
    let service = positional("SERVICE").help("Name of the service");
    let prompt = positional("PROMPT").help("Text of the user message");
    construct!(Request { key, once, stream, max_tokens, deadline_ms, service, prompt })
        .map(Command::Request)
        .to_options()
        .descr("Sends a request to a service")
        .footer("Example: gatespool request --key offer-17 --once pustak-llm 'Offer 400 rupees?'")
}

fn job() -> OptionParser<Command> {
    let submit = {
        let key = long("key")
            .help("Idempotency key; submitting it again gives the same job")
            .argument("KEY");
        let wait = long("wait").help("Wait until the job ends").switch();
        let file = positional("FILE").help("JSON lines: the job's header, then its items");
        construct!(Submit { key, wait, file })
            .map(Command::JobSubmit)
            .to_options()
            .descr("Submits a batch job")
            .footer("Example: gatespool job submit --key night-3 --wait catalogue.jsonl")
            .command("submit")
            .help("Submit a job")
    };
    let status = job_command(Command::JobStatus).command("status").help("Where a job stands");
    let results =
        job_command(Command::JobResults).command("results").help("Print the results as JSON lines");
    let cancel = job_command(Command::JobCancel).command("cancel").help("Cancel a job");
    construct!([submit, status, results, cancel])
        .to_options()
        .descr("Submits and manages batch jobs")
}

fn job_command(constructor: fn(Job) -> Command) -> OptionParser<Command> {
    let wait = long("wait").help("Wait until the job ends first").switch();
    let job = positional("JOB").help("Id of the job");
    construct!(Job { wait, job }).map(constructor).to_options()
}

fn config() -> OptionParser<Command> {
    let get = bpaf::pure(Command::ConfigGet)
        .to_options()
        .descr("The configuration in force")
        .command("get");
    let history = bpaf::pure(Command::ConfigHistory)
        .to_options()
        .descr("Prints accepted changes, newest first")
        .command("history");
    let apply = {
        let revision = long("revision")
            .help("Generation on which the change is based; default: the one in force")
            .argument("N")
            .optional();
        let author = long("author")
            .help("Author to record with the change")
            .argument("NAME")
            .fallback(String::new());
        let wait =
            long("wait").help("Wait until the change is in force on every instance").switch();
        let file = positional("FILE").help("JSON: objects to put and to delete");
        construct!(Apply { revision, author, wait, file })
            .map(Command::ConfigApply)
            .to_options()
            .descr("Applies a configuration change")
            .footer("Example: gatespool config apply --revision 12 --wait change.json")
            .command("apply")
    };
    construct!([get, apply, history]).to_options().descr("Shows and changes the configuration")
}

fn leave() -> OptionParser<Command> {
    let is_return = long("return").help("Send work to the target again").switch();
    let target = positional("TARGET").help("Name of the target");
    construct!(Leave { is_return, target }).map(Command::Leave).to_options().descr(
        "Marks a target as leaving on every instance, even while the platform is unavailable",
    )
}

fn check_settings() -> OptionParser<Command> {
    let files = positional("FILE").help("Settings file").some("expected a file");
    construct!(SettingsFiles { files })
        .map(Command::CheckSettings)
        .to_options()
        .descr("Checks settings files")
}

fn explain() -> OptionParser<Command> {
    let beliefs = long("beliefs")
        .help("Include changes of the instances' view of members, targets and configuration")
        .switch();
    let id = positional("ID").help("Id of a request, an item or a job");
    let files = positional("FILE").help("Log of an instance").some("expected a log");
    construct!(Explain { beliefs, id, files })
        .map(Command::Explain)
        .to_options()
        .descr(
            "Prints the log lines about an id from the logs of several instances, sorted by time",
        )
        .footer("Example: gatespool explain --beliefs 9c41d07be2a35f68 front-*.log")
}

fn replay() -> OptionParser<Command> {
    let more = long("more")
        .help("Additional daemon; requests are sent to all daemons in turn")
        .argument("ADDRESS")
        .many();
    let controls =
        long("control").help("Control address of a stand-in").argument("NAME=ADDRESS").many();
    let speed = long("speed").help("Speed relative to the recording").argument("N").fallback(1.0);
    let patience = long("patience")
        .help("How long to retry a rejected request, in seconds")
        .argument("SECONDS")
        .fallback(30);
    let file = positional("TRACE").help("Trace file as JSON lines");
    construct!(Replay { more, controls, speed, patience, file })
        .map(Command::Replay)
        .to_options()
        .descr("Replays a recorded trace and checks every expected outcome")
        .footer("Example: gatespool replay --more 127.0.0.1:7801 traces/book-night.jsonl")
}
