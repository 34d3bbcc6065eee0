//! How much of the work of a service went to each workspace lately, and who had more than its
//! share.
//!
//! Addresses shortages in which a few workspaces ask for several times their usual work: in order
//! of deadlines alone, the others are late and rejected with them. The share of a workspace is its
//! weight among all workspaces that had work granted lately. Only what is granted counts, so a
//! request that waits in several queues counts once. What a workspace doesn't use is free for
//! others, and it has no debts or savings beyond the window.
//!
//! Each allocator keeps its own bounded state in memory. A new one starts without any: all shares are
//! equal until it has granted some work.

use protocol::WorkspaceId;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time constant with which granted work is forgotten: some waves of requests, and short against
/// the time for which a caller waits.
const WINDOW: Duration = Duration::from_secs(3);
/// Time without grants after which a workspace counts as idle and gives up its share.
const IDLE_PERIOD: Duration = Duration::from_secs(6);
/// Most workspaces that are kept; beyond it, those idle for longest are forgotten.
const MAX_WORKSPACES: usize = 1_024;
/// Minimum time between two searches for idle workspaces.
const PRUNE_INTERVAL: Duration = Duration::from_millis(200);
/// Exponent at which sums are scaled down, far below the limit of a float.
const MAX_EXPONENT: f64 = 100.0;
/// Highest level of a workspace.
const MAX_LEVEL: u8 = 3;

/// Work granted to one workspace.
#[derive(Clone, Copy, Debug)]
struct Usage {
    /// Tokens, scaled by the time of their grant so that older ones count less.
    tokens: f64,
    weight: f64,
    granted_at: Instant,
}

/// Work granted to workspaces, with weights that decay with its age.
#[derive(Clone, Debug)]
pub struct FairShare {
    usage: HashMap<WorkspaceId, Usage>,
    /// Sums over `usage`.
    tokens: f64,
    weight: f64,
    /// Work granted at this time has a scale of one.
    epoch: Instant,
    pruned_at: Instant,
}

impl FairShare {
    /// State without any granted work.
    pub fn new(now: Instant) -> FairShare {
        FairShare { usage: HashMap::new(), tokens: 0.0, weight: 0.0, epoch: now, pruned_at: now }
    }

    /// Records work granted to a workspace.
    pub fn record(&mut self, workspace: &str, weight: f64, tokens: f64, now: Instant) {
        self.prune(now);
        let tokens = tokens * self.scale(now);
        let (tokens_before, weight_before) =
            self.usage.get(workspace).map_or((0.0, 0.0), |usage| (usage.tokens, usage.weight));
        let usage = Usage { tokens: tokens_before + tokens, weight, granted_at: now };
        self.usage.insert(workspace.to_owned(), usage);
        self.tokens += tokens;
        self.weight += weight - weight_before;
    }

    /// Takes back work that was granted at `granted_at` and not done.
    pub fn take_back(&mut self, workspace: &str, tokens: f64, granted_at: Instant) {
        let scale = self.scale(granted_at);
        if let Some(usage) = self.usage.get_mut(workspace) {
            let tokens = (tokens * scale).min(usage.tokens);
            usage.tokens -= tokens;
            self.tokens -= tokens;
        }
    }

    /// How far a workspace is above its share: 0 up to the share, 1 up to twice the share, then one
    /// more for each doubling, at most 3.
    pub fn level(&self, workspace: &str, now: Instant) -> u8 {
        let Some(usage) = self.usage.get(workspace).filter(|usage| !usage.is_idle(now)) else {
            return 0;
        };
        let fair = self.tokens * usage.weight / self.weight;
        // Sums differ from their parts by rounding.
        let excess = usage.tokens / fair.max(f64::MIN_POSITIVE) * (1.0 - 1e-9);
        (excess.max(1.0).log2().ceil() as u8).min(MAX_LEVEL)
    }

    /// Parts of the granted work of the workspaces that had most of it, largest first.
    pub fn largest(&self, count: usize, now: Instant) -> Vec<(&WorkspaceId, f64)> {
        let active = self.usage.iter().filter(|(_, usage)| !usage.is_idle(now));
        let part = |usage: &Usage| usage.tokens / self.tokens.max(f64::MIN_POSITIVE);
        let mut parts: Vec<_> = active.map(|(name, usage)| (name, part(usage))).collect();
        parts.sort_by(|(name, part), (other, other_part)| {
            other_part.total_cmp(part).then_with(|| name.cmp(other))
        });
        parts.truncate(count);
        parts
    }

    /// Forgets idle workspaces, and those idle for longest if there are too many.
    fn prune(&mut self, now: Instant) {
        let is_over = self.usage.len() >= MAX_WORKSPACES;
        if !is_over && now.saturating_duration_since(self.pruned_at) < PRUNE_INTERVAL {
            return;
        }
        self.pruned_at = now;
        self.usage.retain(|_, usage| !usage.is_idle(now));
        if self.usage.len() >= MAX_WORKSPACES {
            // Half of them at once, so that the search is rare.
            let mut times: Vec<Instant> =
                self.usage.values().map(|usage| usage.granted_at).collect();
            times.sort_unstable();
            let oldest_kept = times[times.len() / 2];
            let mut room = MAX_WORKSPACES / 2;
            self.usage.retain(|_, usage| {
                let is_kept = usage.granted_at >= oldest_kept && room > 0;
                room -= usize::from(is_kept);
                is_kept
            });
        }
        self.rescale(now);
    }

    /// Recomputes the sums, and moves the epoch before numbers grow too large.
    fn rescale(&mut self, now: Instant) {
        if self.exponent(now) > MAX_EXPONENT {
            let factor = (-self.exponent(now)).exp();
            self.usage.values_mut().for_each(|usage| usage.tokens *= factor);
            self.epoch = now;
        }
        self.tokens = self.usage.values().map(|usage| usage.tokens).sum();
        self.weight = self.usage.values().map(|usage| usage.weight).sum();
    }

    /// Factor by which work granted at a time counts. Growing factors for newer work have the same
    /// effect as shrinking all earlier work, and need no update of the others.
    fn scale(&self, at: Instant) -> f64 {
        self.exponent(at).min(2.0 * MAX_EXPONENT).exp()
    }

    fn exponent(&self, at: Instant) -> f64 {
        let since = at.saturating_duration_since(self.epoch).as_secs_f64();
        let before = self.epoch.saturating_duration_since(at).as_secs_f64();
        (since - before) / WINDOW.as_secs_f64()
    }
}

impl Usage {
    fn is_idle(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.granted_at) > IDLE_PERIOD
    }
}
