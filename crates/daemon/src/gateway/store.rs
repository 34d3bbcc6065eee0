//! The platform's store with a breaker in front.
//!
//! Every call is paid for, refused ones too, and a store that is away answers
//! none: after a failure, calls fail here at once until a back-off has passed.

use super::call_reason::CallReason;
use crate::clock;
use coordination::connectivity::{Policy, Tracker, Uptime};
use coordination::retry;
use platform::store::{Fault, Object, Page, Store, Unreadable};
use protocol::settings::Settings;
use serde::Serialize;
use slog::Logger;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// First back-off after a failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(150);
/// Longest back-off: a store that is back is used again within it.
const MAX_BACKOFF: Duration = Duration::from_millis(1_200);
/// Shortest outage in which entries of living targets may lapse, in heartbeats. They
/// go after three, and the last write before the outage may be one heartbeat old;
/// half a one is for heartbeats that come late.
const EXPIRY_HEARTBEATS: f64 = 1.5;

/// Objects of one answer that can't be read and get a line each.
const MAX_LOGGED_UNDECODABLE: usize = 8;

#[derive(Clone, Copy, Debug, Default)]
struct Breaker {
    failures: u32,
    until: Option<Instant>,
}

/// The store behind a breaker.
pub struct PlatformStore {
    store: Store,
    /// Calls made, by cause.
    calls: RefCell<BTreeMap<CallReason, u64>>,
    breaker: RefCell<Breaker>,
    contact: RefCell<Tracker>,
    /// Told when the store counts as lost.
    lost: Notify,
    log: Logger,
}

impl PlatformStore {
    /// The store that the settings name.
    pub fn new(settings: &Settings, log: Logger) -> PlatformStore {
        let lapse = settings.entry_heartbeat.mul_f64(EXPIRY_HEARTBEATS);
        PlatformStore {
            store: Store::new(settings.platform_address, settings.platform_timeout),
            calls: RefCell::default(),
            breaker: RefCell::default(),
            contact: RefCell::new(Tracker::new(Policy { expiry: lapse, ..Policy::default() })),
            lost: Notify::new(),
            log,
        }
    }

    /// The store without the breaker, for watches, which pace themselves.
    pub fn without_breaker(&self) -> &Store {
        &self.store
    }

    /// Whether calls fail at once now.
    pub fn is_backing_off(&self, now: Instant) -> bool {
        self.breaker.borrow().until.is_some_and(|until| now < until)
    }

    /// Whether the last call failed.
    pub fn last_call_failed(&self) -> bool {
        self.breaker.borrow().failures > 0
    }

    /// Since when the store has answered, here or elsewhere, without a break in which
    /// entries may have lapsed.
    pub fn reachable_since(&self) -> Option<Instant> {
        self.uptime().map(|series| series.since)
    }

    /// As [`Contact::series`].
    pub fn uptime(&self) -> Option<Uptime> {
        self.contact.borrow().uptime()
    }

    /// How long ago the store last answered this instance; `None` if it never did.
    pub fn silence(&self, now: Instant) -> Option<Duration> {
        self.contact.borrow().idle_time(now)
    }

    /// Whether this instance counts as cut off from the store.
    pub fn is_disconnected(&self) -> bool {
        self.contact.borrow().is_disconnected()
    }

    /// Returns once the store counts as lost.
    pub async fn disconnected(&self) {
        loop {
            let lost = self.lost.notified();
            if self.is_disconnected() {
                return;
            }
            lost.await;
        }
    }

    /// Whether a sign of life should be asked for.
    pub fn is_probe_due(&self, now: Instant) -> bool {
        self.contact.borrow().is_probe_due(now)
    }

    /// How long until a call may be made.
    pub fn backoff_remaining(&self, now: Instant) -> Duration {
        let until = self.breaker.borrow().until;
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// A call was answered.
    pub fn on_response(&self, now: Instant) {
        let failures = std::mem::take(&mut *self.breaker.borrow_mut()).failures;
        let silence = self.silence(now).map(|time| time.as_millis() as u64);
        let mut contact = self.contact.borrow_mut();
        let was_lost = contact.is_disconnected();
        contact.on_response(now);
        if failures > 0 || was_lost {
            slog::info!(self.log, "platform regained"; "failures" => failures,
                "was_lost" => was_lost, "silence_ms" => silence,
                "may_have_lapsed" => contact.uptime().is_some_and(|series| series.since == now));
        }
    }

    /// A watch broke, which alone doesn't stop other calls.
    pub fn on_watch_failed(&self) {
        self.contact.borrow_mut().on_failure();
    }

    /// A sign of life is overdue, or was refused: this instance counts as cut off.
    pub fn on_probe_failed(&self, now: Instant) {
        let silence = self.silence(now).map(|time| time.as_millis() as u64);
        let mut contact = self.contact.borrow_mut();
        if !contact.is_disconnected() {
            slog::info!(self.log, "platform contact lost"; "silence_ms" => silence);
        }
        contact.on_probe_failed();
        drop(contact);
        self.lost.notify_waiters();
    }

    /// As [`Contact::on_word`].
    pub fn on_peer_report(&self, series: Option<Uptime>, is_lost: bool) {
        self.contact.borrow_mut().on_peer_report(series, is_lost);
    }

    /// A call failed.
    pub fn on_failure(&self, fault: &Fault, now: Instant) {
        self.contact.borrow_mut().on_failure();
        let mut breaker = self.breaker.borrow_mut();
        breaker.failures += 1;
        let wait = retry::backoff(breaker.failures, MIN_BACKOFF, MAX_BACKOFF, rand::random());
        breaker.until = Some(now + wait);
        if breaker.failures == 1 {
            slog::warn!(self.log, "platform lost"; "fault" => %fault,
                "back_off_ms" => wait.as_millis() as u64);
        }
    }

    fn record_result<T>(&self, result: Result<T, Fault>) -> Result<T, Fault> {
        let now = clock::now();
        match &result {
            Err(fault @ (Fault::Away(_) | Fault::Lost(_))) => self.on_failure(fault, now),
            _ => self.on_response(now),
        }
        result
    }

    /// A call is made.
    pub fn count_call(&self, reason: CallReason) {
        *self.calls.borrow_mut().entry(reason).or_default() += 1;
    }

    /// Calls made so far, by cause.
    pub fn calls(&self) -> BTreeMap<CallReason, u64> {
        self.calls.borrow().clone()
    }

    /// Tells of objects that can't be read; the others hold.
    pub fn log_undecodable(&self, kind: &str, unreadable: &[Unreadable]) {
        for found in unreadable.iter().take(MAX_LOGGED_UNDECODABLE) {
            slog::warn!(self.log, "object not understood"; "kind" => kind,
                "name" => found.name.as_deref(), "fault" => &found.fault,
                "count" => unreadable.len());
        }
    }

    fn check_breaker(&self, reason: CallReason) -> Result<(), Fault> {
        if self.is_backing_off(clock::now()) {
            return Err(Fault::Away(String::from("backing off")));
        }
        self.count_call(reason);
        Ok(())
    }

    /// As [`Store::touch`], also while calls back off: it paces itself, and tells
    /// when they may go on.
    ///
    /// # Errors
    ///
    /// As [`Store::touch`].
    pub async fn probe(&self, kind: &str, name: &str) -> Result<(), Fault> {
        self.count_call(CallReason::Probe);
        self.record_result(self.store.touch(kind, name).await)
    }

    /// As [`Store::get`].
    ///
    /// # Errors
    ///
    /// As [`Store::get`], and [`Fault::Away`] while calls back off.
    pub async fn get(
        &self,
        reason: CallReason,
        kind: &str,
        name: &str,
    ) -> Result<Option<Object>, Fault> {
        self.check_breaker(reason)?;
        self.record_result(self.store.get(kind, name).await)
    }

    /// As [`Store::list_all`].
    ///
    /// # Errors
    ///
    /// As [`Store::list_all`], and [`Fault::Away`] while calls back off.
    pub async fn list_all(&self, reason: CallReason, kind: &str) -> Result<Vec<Object>, Fault> {
        self.check_breaker(reason)?;
        let listing = self.record_result(self.store.list_all(kind).await)?;
        self.log_undecodable(kind, &listing.unreadable);
        Ok(listing.objects)
    }

    /// As [`Store::list`].
    ///
    /// # Errors
    ///
    /// As [`Store::list`], and [`Fault::Away`] while calls back off.
    pub async fn list(
        &self,
        reason: CallReason,
        kind: &str,
        after: Option<&str>,
    ) -> Result<Page, Fault> {
        self.check_breaker(reason)?;
        let page = self.record_result(self.store.list(kind, after).await)?;
        self.log_undecodable(kind, &page.unreadable);
        Ok(page)
    }

    /// As [`Store::create`].
    ///
    /// # Errors
    ///
    /// As [`Store::create`], and [`Fault::Away`] while calls back off.
    pub async fn create<T: Serialize>(
        &self,
        reason: CallReason,
        kind: &str,
        name: &str,
        spec: &T,
    ) -> Result<Object, Fault> {
        self.check_breaker(reason)?;
        self.record_result(self.store.create(kind, name, spec).await)
    }

    /// As [`Store::replace`], whatever revision the object has.
    ///
    /// # Errors
    ///
    /// As [`Store::replace`], and [`Fault::Away`] while calls back off.
    pub async fn replace<T: Serialize>(
        &self,
        reason: CallReason,
        kind: &str,
        name: &str,
        spec: &T,
    ) -> Result<Object, Fault> {
        self.check_breaker(reason)?;
        self.record_result(self.store.replace(kind, name, None, spec).await)
    }

    /// As [`Store::set_status`].
    ///
    /// # Errors
    ///
    /// As [`Store::set_status`], and [`Fault::Away`] while calls back off.
    pub async fn set_status<T: Serialize>(
        &self,
        reason: CallReason,
        kind: &str,
        name: &str,
        revision: u64,
        status: &T,
    ) -> Result<Object, Fault> {
        self.check_breaker(reason)?;
        self.record_result(self.store.set_status(kind, name, revision, status).await)
    }

    /// As [`Store::delete`].
    ///
    /// # Errors
    ///
    /// As [`Store::delete`], and [`Fault::Away`] while calls back off.
    pub async fn delete(
        &self,
        reason: CallReason,
        kind: &str,
        name: &str,
        revision: Option<u64>,
    ) -> Result<(), Fault> {
        self.check_breaker(reason)?;
        self.record_result(self.store.delete(kind, name, revision).await)
    }
}
