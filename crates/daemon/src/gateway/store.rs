//! The platform's store behind a circuit breaker.
//!
//! Every call costs, rejected ones included. After a failed call, further ones fail locally
//! until a back-off has passed.

use super::call_reason::CallReason;
use crate::clock;
use coordination::connectivity::{Policy, Tracker, Uptime};
use coordination::retry;
use platform::store::{Changes, Listing, Object, Page, Revision, Store, StoreError, Undecodable};
use protocol::settings::Settings;
use serde::Serialize;
use slog::Logger;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

const MIN_BACKOFF: Duration = Duration::from_millis(150);
/// Bounds the time until a recovered store is used again.
const MAX_BACKOFF: Duration = Duration::from_millis(1_200);
/// Shortest outage, in heartbeat intervals, in which entries of live targets may expire.
/// Entries expire after three intervals, of which one may have passed before the outage;
/// half an interval allows for late heartbeats.
const EXPIRY_HEARTBEATS: f64 = 1.5;

/// Undecodable objects logged per response.
const MAX_LOGGED_UNDECODABLE: usize = 8;

#[derive(Clone, Copy, Debug, Default)]
struct Breaker {
    failures: u32,
    until: Option<Instant>,
}

/// The store behind a circuit breaker.
pub struct PlatformStore {
    store: Store,
    /// Calls made, by reason.
    calls: RefCell<BTreeMap<CallReason, u64>>,
    breaker: RefCell<Breaker>,
    tracker: RefCell<Tracker>,
    latest_revision: Cell<Revision>,
    /// Notified when the store counts as disconnected.
    disconnected: Notify,
    /// Notified when a call succeeds after a failure.
    regained: Notify,
    log: Logger,
}

impl PlatformStore {
    /// Connects to the platform named in the settings.
    pub fn new(settings: &Settings, log: Logger) -> PlatformStore {
        let min_outage = settings.entry_heartbeat_interval.mul_f64(EXPIRY_HEARTBEATS);
        PlatformStore {
            store: Store::new(settings.platform_address, settings.platform_timeout),
            calls: RefCell::default(),
            breaker: RefCell::default(),
            tracker: RefCell::new(Tracker::new(Policy { expiry: min_outage, ..Policy::default() })),
            latest_revision: Cell::default(),
            disconnected: Notify::new(),
            regained: Notify::new(),
            log,
        }
    }

    /// The store without the circuit breaker, for watches, which have a back-off of their
    /// own.
    pub fn without_breaker(&self) -> &Store {
        &self.store
    }

    /// Whether calls currently fail locally.
    pub fn is_backing_off(&self, now: Instant) -> bool {
        self.breaker.borrow().until.is_some_and(|until| now < until)
    }

    /// Whether the last call failed.
    pub fn last_call_failed(&self) -> bool {
        self.breaker.borrow().failures > 0
    }

    /// Start of the current period without an outage in which entries may have expired, as
    /// observed here or by other instances.
    pub fn reachable_since(&self) -> Option<Instant> {
        self.uptime().map(|uptime| uptime.since)
    }

    /// As [`Tracker::uptime`].
    pub fn uptime(&self) -> Option<Uptime> {
        self.tracker.borrow().uptime()
    }

    /// Time since the last response to this instance; `None` if there was none.
    pub fn idle_time(&self, now: Instant) -> Option<Duration> {
        self.tracker.borrow().idle_time(now)
    }

    /// Whether this instance counts as disconnected from the store.
    pub fn is_disconnected(&self) -> bool {
        self.tracker.borrow().is_disconnected()
    }

    /// Returns once this instance counts as disconnected.
    pub async fn disconnected(&self) {
        loop {
            let disconnected = self.disconnected.notified();
            if self.is_disconnected() {
                return;
            }
            disconnected.await;
        }
    }

    /// Returns at the next response after a failure, or at once if there was one since the last
    /// call. For a single task.
    pub async fn regained(&self) {
        self.regained.notified().await;
    }

    /// Whether a probe should be sent.
    pub fn is_probe_due(&self, now: Instant) -> bool {
        self.tracker.borrow().is_probe_due(now)
    }

    /// Time until a call may be made; zero if one may be made now.
    pub fn backoff_remaining(&self, now: Instant) -> Duration {
        let until = self.breaker.borrow().until;
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Records a response.
    pub fn on_response(&self, now: Instant) {
        let failures = std::mem::take(&mut *self.breaker.borrow_mut()).failures;
        let idle_time = self.idle_time(now).map(|time| time.as_millis() as u64);
        let mut tracker = self.tracker.borrow_mut();
        let was_disconnected = tracker.is_disconnected();
        tracker.on_response(now);
        if failures > 0 || was_disconnected {
            self.regained.notify_one();
            slog::info!(self.log, "platform regained"; "failures" => failures,
                "was_lost" => was_disconnected, "silence_ms" => idle_time,
                "may_have_lapsed" => tracker.uptime().is_some_and(|uptime| uptime.since == now));
        }
    }

    /// Records the store's revision from the response to a list or a watch.
    pub fn on_revision(&self, revision: Revision) {
        self.latest_revision.set(self.latest_revision.get().max(revision));
    }

    /// Highest revision of the store in any response to a list or a watch; 0 before the first.
    pub fn latest_revision(&self) -> Revision {
        self.latest_revision.get()
    }

    /// Records a failed watch, which alone doesn't open the breaker.
    pub fn on_watch_failed(&self) {
        self.tracker.borrow_mut().on_failure();
    }

    /// Records that a probe timed out or failed: this instance counts as disconnected.
    pub fn on_probe_failed(&self, now: Instant) {
        let idle_time = self.idle_time(now).map(|time| time.as_millis() as u64);
        let mut tracker = self.tracker.borrow_mut();
        if !tracker.is_disconnected() {
            slog::info!(self.log, "platform contact lost"; "silence_ms" => idle_time);
        }
        tracker.on_probe_failed(now, rand::random());
        drop(tracker);
        self.disconnected.notify_waiters();
    }

    /// As [`Tracker::on_peer_report`].
    pub fn on_peer_report(&self, uptime: Option<Uptime>, is_disconnected: bool) {
        self.tracker.borrow_mut().on_peer_report(uptime, is_disconnected);
    }

    /// As [`Tracker::on_peer_regained`].
    pub fn on_peer_regained(&self, now: Instant) {
        self.tracker.borrow_mut().on_peer_regained(now);
    }

    /// Records a failed call and opens the breaker.
    pub fn on_failure(&self, error: &StoreError, now: Instant) {
        self.tracker.borrow_mut().on_failure();
        let mut breaker = self.breaker.borrow_mut();
        breaker.failures += 1;
        let backoff = retry::backoff(breaker.failures, MIN_BACKOFF, MAX_BACKOFF, rand::random());
        breaker.until = Some(now + backoff);
        if breaker.failures == 1 {
            slog::warn!(self.log, "platform lost"; "fault" => %error,
                "back_off_ms" => backoff.as_millis() as u64);
        }
    }

    fn record_result<T>(&self, result: Result<T, StoreError>) -> Result<T, StoreError> {
        let now = clock::now();
        match &result {
            Err(error @ (StoreError::Unavailable(_) | StoreError::OutcomeUnknown(_))) => {
                self.on_failure(error, now)
            }
            _ => self.on_response(now),
        }
        result
    }

    /// Counts a call that is about to be made.
    pub fn count_call(&self, reason: CallReason) {
        *self.calls.borrow_mut().entry(reason).or_default() += 1;
    }

    /// Calls made so far, by reason.
    pub fn calls(&self) -> BTreeMap<CallReason, u64> {
        self.calls.borrow().clone()
    }

    /// Logs objects that can't be decoded.
    pub fn log_undecodable(&self, kind: &str, unreadable: &[Undecodable]) {
        for found in unreadable.iter().take(MAX_LOGGED_UNDECODABLE) {
            slog::warn!(self.log, "undecodable object"; "kind" => kind,
                "name" => found.name.as_deref(), "fault" => &found.error,
                "count" => unreadable.len());
        }
    }

    fn check_breaker(&self, reason: CallReason) -> Result<(), StoreError> {
        if self.is_backing_off(clock::now()) {
            return Err(StoreError::Unavailable(String::from("backing off")));
        }
        self.count_call(reason);
        Ok(())
    }

    /// As [`Store::probe`]. Not subject to the back-off, since probes are rate-limited and
    /// end it.
    ///
    /// # Errors
    ///
    /// As [`Store::probe`].
    pub async fn probe(&self, kind: &str, name: &str) -> Result<(), StoreError> {
        self.count_call(CallReason::Probe);
        self.record_result(self.store.probe(kind, name).await)
    }

    /// As [`Store::get`].
    ///
    /// # Errors
    ///
    /// As [`Store::get`], and [`StoreError::Unavailable`] during a back-off.
    pub async fn get(
        &self,
        reason: CallReason,
        kind: &str,
        name: &str,
    ) -> Result<Option<Object>, StoreError> {
        self.check_breaker(reason)?;
        self.record_result(self.store.get(kind, name).await)
    }

    /// As [`Store::list_all`].
    ///
    /// # Errors
    ///
    /// As [`Store::list_all`], and [`StoreError::Unavailable`] during a back-off.
    pub async fn list_all(&self, reason: CallReason, kind: &str) -> Result<Listing, StoreError> {
        self.check_breaker(reason)?;
        let listing = self.record_result(self.store.list_all(kind).await)?;
        self.log_undecodable(kind, &listing.undecodable);
        Ok(listing)
    }

    /// As [`Store::list`].
    ///
    /// # Errors
    ///
    /// As [`Store::list`], and [`StoreError::Unavailable`] during a back-off.
    pub async fn list(
        &self,
        reason: CallReason,
        kind: &str,
        after: Option<&str>,
    ) -> Result<Page, StoreError> {
        self.check_breaker(reason)?;
        let page = self.record_result(self.store.list(kind, after).await)?;
        self.log_undecodable(kind, &page.undecodable);
        Ok(page)
    }

    /// As [`Store::create`].
    ///
    /// # Errors
    ///
    /// As [`Store::create`], and [`StoreError::Unavailable`] during a back-off.
    pub async fn create<T: Serialize>(
        &self,
        reason: CallReason,
        kind: &str,
        name: &str,
        spec: &T,
    ) -> Result<Object, StoreError> {
        self.check_breaker(reason)?;
        self.record_result(self.store.create(kind, name, spec).await)
    }

    /// As [`Store::replace`], for any revision.
    ///
    /// # Errors
    ///
    /// As [`Store::replace`], and [`StoreError::Unavailable`] during a back-off.
    pub async fn replace<T: Serialize>(
        &self,
        reason: CallReason,
        kind: &str,
        name: &str,
        spec: &T,
    ) -> Result<Object, StoreError> {
        self.check_breaker(reason)?;
        self.record_result(self.store.replace(kind, name, None, spec).await)
    }

    /// As [`Store::replace`], if `revision` is the current one.
    ///
    /// # Errors
    ///
    /// As [`Store::replace`], and [`StoreError::Unavailable`] during a back-off.
    pub async fn replace_at<T: Serialize>(
        &self,
        reason: CallReason,
        kind: &str,
        name: &str,
        revision: Revision,
        spec: &T,
    ) -> Result<Object, StoreError> {
        self.check_breaker(reason)?;
        self.record_result(self.store.replace(kind, name, Some(revision), spec).await)
    }

    /// The changes of a kind after `revision`, without a wait for more.
    ///
    /// # Errors
    ///
    /// As [`Store::watch`], and [`StoreError::Unavailable`] during a back-off.
    pub async fn changes(
        &self,
        reason: CallReason,
        kind: &str,
        revision: Revision,
    ) -> Result<Changes, StoreError> {
        self.check_breaker(reason)?;
        let result = self.record_result(self.store.watch(kind, revision, Duration::ZERO).await);
        if let Ok(changes) = &result {
            self.log_undecodable(kind, &changes.undecodable);
        }
        result
    }

    /// As [`Store::set_status`].
    ///
    /// # Errors
    ///
    /// As [`Store::set_status`], and [`StoreError::Unavailable`] during a back-off.
    pub async fn set_status<T: Serialize>(
        &self,
        reason: CallReason,
        kind: &str,
        name: &str,
        revision: u64,
        status: &T,
    ) -> Result<Object, StoreError> {
        self.check_breaker(reason)?;
        self.record_result(self.store.set_status(kind, name, revision, status).await)
    }

    /// As [`Store::delete`].
    ///
    /// # Errors
    ///
    /// As [`Store::delete`], and [`StoreError::Unavailable`] during a back-off.
    pub async fn delete(
        &self,
        reason: CallReason,
        kind: &str,
        name: &str,
        revision: Option<u64>,
    ) -> Result<(), StoreError> {
        self.check_breaker(reason)?;
        self.record_result(self.store.delete(kind, name, revision).await)
    }
}
