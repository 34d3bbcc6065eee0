//! One daemon as a process.

use super::client::{self, Response};
use super::wait_until;
use rustix::process::{Pid, Signal, kill_process};
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// A daemon's process; killed when this is dropped.
pub struct Daemon {
    /// Where callers are served.
    pub front_address: SocketAddr,
    /// Where peers are served.
    pub peer_address: SocketAddr,
    /// File of addresses that this daemon can't reach.
    pub partition_file: PathBuf,
    /// File of the suspensions that it takes for real.
    pub suspension_file: PathBuf,
    child: Child,
    is_stopping: AtomicBool,
}

impl Daemon {
    /// Starts a daemon with the settings in `ini`, to which its own cut file is
    /// added; `name` names its files in `dir`.
    #[track_caller]
    pub fn start(dir: &Path, name: &str, ini: &str) -> Daemon {
        let partition_file = dir.join(format!("{name}.cut"));
        std::fs::write(&partition_file, "").expect("a cut file");
        let suspension_file = dir.join(format!("{name}.suspended"));
        std::fs::write(&suspension_file, "").expect("a file of suspensions");
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
        std::fs::write(&settings, text).expect("a settings file");
        let stderr = std::fs::File::create(dir.join(format!("{name}.err"))).expect("a file");
        let mut child = Command::new(env!("CARGO_BIN_EXE_gatespoold"))
            .arg("--settings")
            .arg(&settings)
            .stdout(Stdio::piped())
            .stderr(stderr)
            .spawn()
            .expect("the daemon starts");
        let log = dir.join(format!("{name}.log"));
        let log = std::fs::File::options().append(true).create(true).open(log).expect("a log");
        let stdout = child.stdout.take().expect("its output");
        let (front_address, peer_address) = addresses(stdout, log, dir);
        Daemon {
            front_address,
            peer_address,
            partition_file,
            suspension_file,
            child,
            is_stopping: AtomicBool::new(false),
        }
    }

    /// Waits until it serves.
    #[track_caller]
    pub fn wait_ready(&self) {
        wait_until("the daemon is ready", || self.get("/ready").status == 200);
    }

    /// Reads.
    pub fn get(&self, path: &str) -> Response {
        client::get(self.front_address, path)
    }

    /// Generation of the configuration in force here.
    pub fn generation(&self) -> u64 {
        let response = self.get("/v1/status");
        if response.status != 200 {
            return 0;
        }
        response.json()["generation"].as_u64().unwrap_or(0)
    }

    /// Members that it takes for alive, itself counted.
    pub fn alive_members(&self) -> usize {
        let response = self.get("/v1/instances");
        if response.status != 200 {
            return 0;
        }
        let list = response.json();
        let list = list.as_array().cloned().unwrap_or_default();
        list.iter().filter(|member| member["state"] == "alive").count()
    }

    /// SIGKILL, and waits for the process to be gone.
    pub fn kill(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }

    /// SIGSTOP.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// SIGCONT.
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// SIGHUP.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// SIGTERM.
    pub fn terminate(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
        self.signal(Signal::TERM);
    }

    /// Waits for the process to end by itself.
    #[track_caller]
    pub fn wait_exit(&mut self) -> ExitStatus {
        let child = &mut self.child;
        super::wait_for("the daemon exits", || child.try_wait().expect("its status"))
    }

    /// Whether it was told to stop.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_none())
    }

    /// Has its clock count `asleep` as slept since its start.
    pub fn simulate_suspension(&self, asleep: Duration) {
        std::fs::write(&self.suspension_file, asleep.as_millis().to_string()).expect("the file");
    }

    /// Makes addresses unreachable from here; an empty list heals.
    pub fn set_unreachable(&self, addresses: &[SocketAddr]) {
        let lines: Vec<String> = addresses.iter().map(SocketAddr::to_string).collect();
        std::fs::write(&self.partition_file, lines.join("\n")).expect("the cut file");
    }

    /// Has the connections that are open to these addresses go silent for good; new ones
    /// work.
    pub fn set_unresponsive(&self, addresses: &[SocketAddr]) {
        let lines: Vec<String> = addresses.iter().map(|at| format!("silent {at}")).collect();
        std::fs::write(&self.partition_file, lines.join("\n")).expect("the cut file");
    }

    /// CPU time used, in clock ticks of 10 ms, and resident memory in KiB.
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

/// Reads the addresses from the line that tells the start, and keeps all lines.
#[track_caller]
fn addresses(
    stdout: std::process::ChildStdout,
    mut log: std::fs::File,
    dir: &Path,
) -> (SocketAddr, SocketAddr) {
    let mut lines = BufReader::new(stdout).lines();
    let mut found = None;
    while found.is_none() {
        let line = lines.next().and_then(Result::ok);
        let line = line.unwrap_or_else(|| panic!("no start; see {}", dir.display()));
        writeln!(log, "{line}").expect("the log");
        let line: serde_json::Value = serde_json::from_str(&line).expect("lines of JSON");
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
