//! A daemon as a child process.

use super::client::{self, Response};
use super::{spawn, wait_until};
use rustix::process::{Pid, Resource, Rlimit, Signal, kill_process, prlimit};
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// A daemon process; killed on drop.
pub struct Daemon {
    /// Address that serves callers.
    pub front_address: SocketAddr,
    /// Address that serves peers.
    pub peer_address: SocketAddr,
    /// File that lists the addresses that this daemon can't reach.
    pub partition_file: PathBuf,
    /// File that holds the simulated suspended time.
    pub suspension_file: PathBuf,
    child: Child,
    is_stopping: AtomicBool,
}

impl Daemon {
    /// Starts a daemon with the settings `ini` and files for simulated faults; its files in
    /// `dir` are called `name`.
    #[track_caller]
    pub fn start(dir: &Path, name: &str, ini: &str) -> Daemon {
        Daemon::start_build(Path::new(env!("CARGO_BIN_EXE_gatespoold")), dir, name, ini)
    }

    /// As [`Daemon::start`], with the program of some build.
    #[track_caller]
    pub fn start_build(program: &Path, dir: &Path, name: &str, ini: &str) -> Daemon {
        let partition_file = dir.join(format!("{name}.cut"));
        std::fs::write(&partition_file, "").expect("the partition file is written");
        let suspension_file = dir.join(format!("{name}.suspended"));
        std::fs::write(&suspension_file, "").expect("the suspension file is written");
        let settings = dir.join(format!("{name}.ini"));
        let faults = format!(
            "[faults]\ncut = {}\nsuspended = {}\n",
            partition_file.display(),
            suspension_file.display()
        );
        let text = if ini.contains("[faults]\n") {
            ini.replace("[faults]\n", &faults)
        } else {
            format!("{ini}\n{faults}")
        };
        std::fs::write(&settings, text).expect("the settings file is written");
        let stderr =
            std::fs::File::create(dir.join(format!("{name}.err"))).expect("a file for stderr");
        let mut command = spawn::bound_command(program);
        command.arg("--settings").arg(&settings).stdout(Stdio::piped()).stderr(stderr);
        let mut child = spawn::spawn(command).expect("the daemon starts");
        let log_path = dir.join(format!("{name}.log"));
        let log =
            std::fs::File::options().append(true).create(true).open(log_path).expect("a log file");
        let stdout = child.stdout.take().expect("piped output");
        let (front_address, peer_address) = read_addresses(stdout, log, dir);
        Daemon {
            front_address,
            peer_address,
            partition_file,
            suspension_file,
            child,
            is_stopping: AtomicBool::new(false),
        }
    }

    /// Waits until the daemon reports that it is ready.
    #[track_caller]
    pub fn wait_ready(&self) {
        wait_until("the daemon is ready", || self.get("/ready").status == 200);
    }

    /// Sends a GET request.
    pub fn get(&self, path: &str) -> Response {
        client::get(self.front_address, path)
    }

    /// Generation of the configuration in force; 0 if the daemon doesn't say.
    pub fn generation(&self) -> u64 {
        let response = self.get("/v1/status");
        if response.status != 200 {
            return 0;
        }
        response.json()["generation"].as_u64().unwrap_or(0)
    }

    /// Number of members that the daemon considers alive, including itself.
    pub fn alive_members(&self) -> usize {
        let response = self.get("/v1/instances");
        if response.status != 200 {
            return 0;
        }
        let list = response.json();
        let list = list.as_array().cloned().unwrap_or_default();
        list.iter().filter(|member| member["state"] == "alive").count()
    }

    /// Sends SIGKILL and waits for the process to exit.
    pub fn kill(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }

    /// Id of the process.
    pub fn process_id(&self) -> u32 {
        self.child.id()
    }

    /// Limits the number of files and sockets that the process may have open.
    pub fn limit_open_files(&self, limit: u64) {
        let limit = Rlimit { current: Some(limit), maximum: Some(limit) };
        prlimit(Some(Pid::from_child(&self.child)), Resource::Nofile, limit)
            .expect("the limit is set");
    }

    /// Sends SIGSTOP.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Sends SIGCONT.
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// Sends SIGHUP.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
        self.signal(Signal::TERM);
    }

    /// Waits for the process to exit by itself.
    #[track_caller]
    pub fn wait_exit(&mut self) -> ExitStatus {
        let child = &mut self.child;
        super::wait_for("the daemon exits", || child.try_wait().expect("an exit status"))
    }

    /// Whether [`Daemon::terminate`] was called.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_none())
    }

    /// Simulates that the daemon was suspended for `suspended_for` in total since its start.
    pub fn simulate_suspension(&self, suspended_for: Duration) {
        std::fs::write(&self.suspension_file, suspended_for.as_millis().to_string())
            .expect("the suspension file is written");
    }

    /// Makes exactly `addresses` unreachable from this daemon.
    pub fn set_unreachable(&self, addresses: &[SocketAddr]) {
        let lines: Vec<String> = addresses.iter().map(SocketAddr::to_string).collect();
        std::fs::write(&self.partition_file, lines.join("\n"))
            .expect("the partition file is written");
    }

    /// Makes the open connections to `addresses` unresponsive for good; new connections work.
    pub fn set_unresponsive(&self, addresses: &[SocketAddr]) {
        let lines: Vec<String> = addresses.iter().map(|at| format!("silent {at}")).collect();
        std::fs::write(&self.partition_file, lines.join("\n"))
            .expect("the partition file is written");
    }

    /// CPU time in clock ticks of 10 ms, and resident memory in KiB.
    pub fn cpu_ticks_and_rss_kib(&self) -> (u64, u64) {
        let id = self.child.id();
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
        let after = stat.rsplit(')').next().unwrap_or_default();
        let fields: Vec<&str> = after.split_whitespace().collect();
        let tick = |n: usize| fields.get(n).and_then(|f| f.parse::<u64>().ok()).unwrap_or(0);
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let rss = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let rss = rss.and_then(|text| text.split_whitespace().next()?.parse().ok()).unwrap_or(0);
        (tick(11) + tick(12), rss)
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("the signal is sent");
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Reads the front and peer addresses from the `started` line, and copies all lines to `log`.
#[track_caller]
fn read_addresses(
    stdout: std::process::ChildStdout,
    mut log: std::fs::File,
    dir: &Path,
) -> (SocketAddr, SocketAddr) {
    let mut lines = BufReader::new(stdout).lines();
    let mut found = None;
    while found.is_none() {
        let line = lines.next().and_then(Result::ok);
        let line = line.unwrap_or_else(|| panic!("the daemon didn't start; see {}", dir.display()));
        writeln!(log, "{line}").expect("the log is written");
        let line: serde_json::Value = serde_json::from_str(&line).expect("a JSON log line");
        if line["msg"] == "started" {
            let address = |key: &str| line[key].as_str().expect("an address").parse();
            let front = address("front").expect("an IP number and port");
            found = Some((front, address("peers").expect("an IP number and port")));
        }
    }
    std::thread::spawn(move || {
        for line in lines.map_while(Result::ok) {
            if writeln!(log, "{line}").is_err() {
                return;
            }
        }
    });
    found.expect("the addresses")
}
