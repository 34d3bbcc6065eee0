//! Injects faults into a fleet and undoes them.

use super::faults::{Direction, Fault};
use super::scenario::{Scenario, VERSIONS};
use super::util::proxy::Mode;
use standin::objects;
use standin::runner;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// How to undo a fault.
pub(super) enum Undo {
    Restart(usize),
    Thaw(usize),
    PlatformConnection(usize),
    RunnerConnection(usize),
    PeerPartition,
    Stutter(usize),
    OddStatus(usize),
    PlatformFaults,
    RejectedWrites,
    Quiet,
    RunnerFaults(usize),
    /// The end of a silence of these runners.
    Silence(Vec<usize>),
    /// The replacement of a runner that drains, for the duration; at this time at the latest.
    Rollout(usize, Duration, Instant),
    /// Holds the id of the runner that was replaced.
    RunnerReplacement(usize, String),
    Ready(usize),
}

/// How long a runner may drain before it is replaced.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(3);
/// Least time between the state of a draining runner, or the end of its last run, which its senders
/// have yet to learn of, and its replacement; also how often it is checked.
const DRAIN_INTERVAL: Duration = Duration::from_millis(300);

/// Writes a second that the platform accepts.
const UNLIMITED: f64 = 1e9;
const NO_WRITES: f64 = 0.001;

impl Scenario {
    pub(super) fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(n, down) => {
                self.fleet.gateways[n].kill();
                self.undo_after(down, Undo::Restart(n));
            }
            Fault::KillAll(down) => {
                for n in 0..self.fleet.gateways.len() {
                    self.fleet.gateways[n].kill();
                    self.undo_after(down, Undo::Restart(n));
                }
            }
            Fault::Terminate(n) => {
                if self.fleet.gateways[n].is_running() {
                    self.fleet.gateways[n].thaw();
                    self.fleet.gateways[n].terminate();
                    self.undo_after(Duration::from_millis(400), Undo::Restart(n));
                }
            }
            Fault::Freeze(n, period) => {
                if self.fleet.gateways[n].is_running() {
                    self.fleet.gateways[n].freeze();
                    if let Some(suspended_for) = &mut self.suspended_for {
                        suspended_for[n] += period;
                        self.fleet.gateways[n].simulate_suspension(suspended_for[n]);
                    }
                    self.undo_after(period, Undo::Thaw(n));
                }
            }
            Fault::PlatformConnection(n, mode, period) => {
                self.platform_proxies[n].set_mode(mode);
                self.undo_after(period, Undo::PlatformConnection(n));
            }
            Fault::RunnerConnection(n, mode, period) => {
                self.runner_proxies[n].set_mode(mode);
                self.undo_after(period, Undo::RunnerConnection(n));
            }
            Fault::RunnerCrash(n, down) => {
                let software = self.fleet.runners[n].identity().software;
                self.restart_runner(n, &software, down);
            }
            Fault::RunnerReplacement(n, down) => self.replace_runner(n, down),
            Fault::Release(n, software, down) => self.restart_runner(n, software, down),
            Fault::PeerPartition(n, period) => {
                self.partition(n, Direction::Outgoing);
                self.partition(n, Direction::Incoming);
                self.undo_after(period, Undo::PeerPartition);
            }
            Fault::OneWayPartition(n, direction, period) => {
                self.partition(n, direction);
                self.undo_after(period, Undo::PeerPartition);
            }
            Fault::Stutter(n, stutter, period) => {
                self.runner_proxies[n].set_stutter(Some(stutter));
                self.undo_after(period, Undo::Stutter(n));
            }
            Fault::OddStatus(n, code, period) => {
                self.runner_proxies[n].set_status(Some(code));
                self.undo_after(period, Undo::OddStatus(n));
            }
            Fault::PlatformFaults(faults, period) => {
                self.fleet.objects.set_faults(faults);
                self.undo_after(period, Undo::PlatformFaults);
            }
            Fault::RejectedWrites(period) => {
                self.fleet.objects.set_write_rate(NO_WRITES);
                self.undo_after(period, Undo::RejectedWrites);
            }
            Fault::Quiet(period) => {
                self.is_quiet.store(true, Ordering::Relaxed);
                self.undo_after(period, Undo::Quiet);
            }
            Fault::CompactHistory => self.fleet.objects.compact_history(),
            Fault::RunnerFaults(n, faults, period) => {
                self.fleet.runners[n].set_faults(faults);
                self.undo_after(period, Undo::RunnerFaults(n));
            }
            Fault::Drain(n, period) => {
                self.fleet.set_runner_state(n, "draining");
                self.undo_after(period, Undo::Ready(n));
            }
            Fault::Silence(silent, silence, period) => {
                silent.iter().for_each(|n| self.fleet.runners[*n].set_silence(Some(silence)));
                self.undo_after(period, Undo::Silence(silent));
            }
            Fault::Rollout(n, down) => {
                self.fleet.set_runner_state(n, "draining");
                let deadline = Instant::now() + MAX_DRAIN_TIME;
                self.undo_after(DRAIN_INTERVAL, Undo::Rollout(n, down, deadline));
            }
            Fault::Reload(n) => {
                if self.fleet.gateways[n].is_running() {
                    self.fleet.gateways[n].reload();
                }
            }
            Fault::Configure => self.configure(),
        }
    }

    /// Cuts a gateway off from the others in one direction.
    fn partition(&self, n: usize, direction: Direction) {
        let gateways = &self.fleet.gateways;
        let own = gateways[n].peer_address;
        if direction == Direction::Incoming {
            let others = gateways.iter().filter(|gateway| gateway.peer_address != own);
            others.for_each(|gateway| gateway.set_unreachable(&[own]));
            return;
        }
        let peers = gateways.iter().map(|gateway| gateway.peer_address);
        let others: Vec<_> = peers.filter(|peer| *peer != own).collect();
        gateways[n].set_unreachable(&others);
    }

    /// Replaces a runner by one of the other software version.
    fn replace_runner(&mut self, n: usize, down: Duration) {
        let before = self.fleet.runners[n].identity().software;
        let other = VERSIONS.iter().find(|version| **version != before);
        self.restart_runner(n, other.expect("two versions"), down);
    }

    /// Ends a runner's process, and starts another one with another id after `down`.
    fn restart_runner(&mut self, n: usize, software: &str, down: Duration) {
        self.disturbances.replaced.push((n, Instant::now()));
        self.runner_proxies[n].set_mode(Mode::Refuse);
        self.record.on_software(n, "");
        let earlier = self.fleet.replace_runner(n, software);
        self.undo_after(down, Undo::RunnerReplacement(n, earlier));
    }

    pub(super) fn undo(&mut self, undo: Undo) {
        match undo {
            Undo::Restart(n) => {
                let is_running = self.fleet.gateways[n].is_running();
                if is_running && !self.fleet.gateways[n].is_stopping() {
                    return; // Restarted by an earlier undo.
                }
                if is_running {
                    self.undo_after(Duration::from_millis(200), Undo::Restart(n));
                    return;
                }
                self.record.on_start(n);
                self.suspended_for
                    .iter_mut()
                    .for_each(|suspended_for| suspended_for[n] = Duration::ZERO);
                self.fleet.restart(n);
                self.record.on_start(n);
            }
            Undo::Thaw(n) => {
                if self.fleet.gateways[n].is_running() {
                    self.fleet.gateways[n].thaw();
                }
            }
            Undo::PlatformConnection(n) => self.platform_proxies[n].set_mode(Mode::Pass),
            Undo::RunnerConnection(n) => self.runner_proxies[n].set_mode(Mode::Pass),
            Undo::PeerPartition => self.fleet.gateways.iter().for_each(|g| g.set_unreachable(&[])),
            Undo::Stutter(n) => self.runner_proxies[n].set_stutter(None),
            Undo::OddStatus(n) => self.runner_proxies[n].set_status(None),
            Undo::PlatformFaults => self.fleet.objects.set_faults(objects::Faults::default()),
            Undo::RejectedWrites => self.fleet.objects.set_write_rate(UNLIMITED),
            Undo::Quiet => self.is_quiet.store(false, Ordering::Relaxed),
            Undo::RunnerFaults(n) => self.fleet.runners[n].set_faults(runner::Faults::default()),
            Undo::Silence(silent) => {
                silent.iter().for_each(|n| self.fleet.runners[*n].set_silence(None));
            }
            Undo::Rollout(n, down, deadline) => {
                let is_recent = |at: Instant| at.elapsed() < DRAIN_INTERVAL;
                let runner = &self.fleet.runners[n];
                let is_busy = !runner.is_idle()
                    || runner.runs().iter().any(|run| run.ended.is_some_and(is_recent));
                if is_busy && Instant::now() < deadline {
                    self.undo_after(DRAIN_INTERVAL, Undo::Rollout(n, down, deadline));
                } else {
                    self.replace_runner(n, down);
                }
            }
            Undo::RunnerReplacement(n, earlier) => {
                self.runner_proxies[n].set_mode(Mode::Pass);
                self.fleet.register_replacement(n, &earlier);
                self.record.on_software(n, &self.fleet.runners[n].identity().software);
            }
            Undo::Ready(n) => self.fleet.set_runner_state(n, "ready"),
        }
    }

    /// Undoes all remaining faults.
    pub(super) fn undo_all(&mut self) {
        while let Some((_, undo)) = self.scheduled.pop_first() {
            self.undo(undo);
            if self.scheduled.values().all(|undo| matches!(undo, Undo::Restart(_))) {
                std::thread::sleep(Duration::from_millis(20));
            }
        }
    }
}
