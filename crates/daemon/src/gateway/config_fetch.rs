//! Fetches a newer configuration from other instances, part by part.
//!
//! One fetch is in progress at a time. It asks one source after the other, keeps what has come
//! when a source fails, and goes on until the newest version that is known is in force or no
//! source is left. Sources that are being served themselves pass on what they have.

use super::config_parts::{PartError, Parts};
use super::message::{PeerReply, PeerRequest};
use coordination::sources::{Next, Sources};
use protocol::routing::Version;
use protocol::secret::Secret;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use transport::peer::PeerError;

/// Longest wait for a reply. A part takes a few milliseconds on a slow link.
const REPLY_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a source may have nothing new before the next one is asked.
const MAX_PENDING_TIME: Duration = Duration::from_millis(500);

/// Why a source didn't give a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FetchError {
    /// The call failed.
    Call(PeerError),
    /// The source has had nothing new for a while.
    Pending,
    /// The source is of an earlier build, which knows no parts.
    Unsupported,
    /// What it sent can't be used.
    Part(PartError),
    /// A later version has become known meanwhile, or this one is in force already.
    Superseded,
}

/// A version that was fetched.
#[derive(Debug)]
pub struct Fetched {
    /// The version.
    pub version: Version,
    /// Its text.
    pub text: Secret,
    /// The instance that sent the last part.
    pub from: SocketAddr,
    /// Bytes of the parts that were sent.
    pub bytes: usize,
    /// Time for which this instance has known of a newer version.
    pub waited: Duration,
    /// Whether it came in one piece, from an instance of an earlier build.
    is_whole: bool,
}

/// What a fetch needs of the instance that runs it.
pub trait Instance {
    /// Sends a request to another instance.
    fn call(
        &self,
        to: SocketAddr,
        request: &PeerRequest,
        timeout: Duration,
    ) -> impl Future<Output = Result<PeerReply, PeerError>>;
    /// Fetches the whole text from an instance of an earlier build.
    fn fetch_whole(&self, from: SocketAddr) -> impl Future<Output = Option<(Version, Secret)>>;
    /// Puts a version in force; `false` if it is invalid.
    fn apply(&self, fetched: &Fetched) -> bool;
    /// A source failed.
    fn on_failure(&self, from: SocketAddr, version: Version, error: &FetchError);
    /// The present time.
    fn now(&self) -> Instant;
}

/// The newest version known to be somewhere, and where.
#[derive(Default)]
pub struct Fetcher {
    /// Parts here.
    pub parts: Parts,
    wanted: Cell<Version>,
    /// Versions up to this one are in force here, or invalid.
    done: Cell<Version>,
    /// Since when a newer version is known.
    since: Cell<Option<Instant>>,
    sources: RefCell<Sources>,
    is_running: Cell<bool>,
}

impl Fetcher {
    /// Versions up to this one needn't be fetched any more.
    pub fn on_done(&self, version: Version) {
        self.done.set(version.max(self.done.get()));
        if self.wanted.get() <= self.done.get() {
            self.since.set(None);
            self.sources.take();
        }
    }

    /// Whether a version that is announced is newer than what is known to be done.
    pub fn is_news(&self, version: Version) -> bool {
        version > self.done.get()
    }

    /// Records sources of a version, the preferred one first. Returns whether [`Fetcher::run`] must
    /// be called.
    pub fn want(
        &self,
        version: Version,
        sources: &[SocketAddr],
        is_remote: bool,
        now: Instant,
    ) -> bool {
        if !self.is_news(version) {
            return false;
        }
        self.wanted.set(version.max(self.wanted.get()));
        self.since.set(self.since.get().or(Some(now)));
        let mut known = self.sources.borrow_mut();
        sources.iter().for_each(|source| known.add(*source, is_remote, now));
        !self.is_running.replace(true)
    }

    /// Age of the newest known version that isn't in force here; zero without one.
    pub fn lag(&self, now: Instant) -> Duration {
        self.since.get().map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Fetches until the newest known version is in force or no source is left.
    pub async fn run<I: Instance>(&self, instance: &I) {
        while self.wanted.get() > self.done.get() {
            let next = self.sources.borrow().next(instance.now());
            match next {
                Next::Ask(source) => self.ask(instance, source).await,
                Next::Wait(until) => tokio::time::sleep_until(until.into()).await,
                Next::Exhausted => break,
            }
        }
        // An instance may still have a version between the one in force and the one wanted.
        self.wanted.set(self.done.get());
        self.sources.take();
        self.parts.abandon();
        self.is_running.set(false);
    }

    async fn ask<I: Instance>(&self, instance: &I, source: SocketAddr) {
        let wanted = self.wanted.get();
        let mut fetched = self.fetch_from(instance, source).await;
        if matches!(fetched, Err(FetchError::Call(PeerError::OutcomeUnknown(_)))) {
            // A connection on which nothing arrives is closed, so another one is opened. Those to
            // the other sources may be dead as well.
            fetched = self.fetch_from(instance, source).await;
        }
        let fetched = match fetched {
            Err(FetchError::Unsupported) => self.fetch_whole(instance, source).await,
            fetched => fetched,
        };
        match fetched {
            Ok(fetched) => {
                // Those that wait for parts here are answered first: decoding takes longer.
                tokio::task::yield_now().await;
                match (instance.apply(&fetched), fetched.is_whole) {
                    (false, _) => self.parts.abandon(),
                    (true, false) => self.parts.commit(),
                    (true, true) => self.parts.publish(fetched.version, fetched.text.expose()),
                }
                self.on_done(fetched.version);
            }
            Err(FetchError::Superseded) => {}
            Err(error) => {
                instance.on_failure(source, wanted, &error);
                let now = instance.now();
                self.sources.borrow_mut().on_failure(source, rand::random(), now);
            }
        }
    }

    async fn fetch_from<I: Instance>(
        &self,
        instance: &I,
        source: SocketAddr,
    ) -> Result<Fetched, FetchError> {
        let wanted = self.wanted.get();
        let request = PeerRequest::ConfigManifest(wanted);
        let manifest = match self.call_until_ready(instance, source, &request, wanted).await? {
            PeerReply::ConfigManifest(manifest) if manifest.version >= wanted => manifest,
            PeerReply::ConfigManifest(_) => return Err(FetchError::Pending),
            _ => return Err(FetchError::Unsupported),
        };
        let version = manifest.version;
        self.parts.begin(manifest);
        let mut bytes = 0;
        while let Some(digest) = self.parts.first_missing() {
            if self.is_superseded(version) {
                return Err(FetchError::Superseded);
            }
            let request = PeerRequest::ConfigPart(digest);
            match self.call_until_ready(instance, source, &request, version).await? {
                PeerReply::ConfigPart(part) => {
                    bytes += part.expose().len();
                    self.parts.insert(digest, part).map_err(FetchError::Part)?;
                    self.sources.borrow_mut().on_progress(source);
                }
                _ => return Err(FetchError::Unsupported),
            }
        }
        if self.is_superseded(version) {
            return Err(FetchError::Superseded);
        }
        let text = self.parts.assemble().map_err(|error| {
            self.parts.abandon();
            FetchError::Part(error)
        })?;
        let waited = self.lag(instance.now());
        Ok(Fetched { version, text, from: source, bytes, waited, is_whole: false })
    }

    fn is_superseded(&self, version: Version) -> bool {
        self.wanted.get() > version || !self.is_news(version)
    }

    async fn fetch_whole<I: Instance>(
        &self,
        instance: &I,
        source: SocketAddr,
    ) -> Result<Fetched, FetchError> {
        let (version, text) = instance.fetch_whole(source).await.ok_or(FetchError::Unsupported)?;
        let bytes = text.expose().len();
        let waited = self.lag(instance.now());
        Ok(Fetched { version, text, from: source, bytes, waited, is_whole: true })
    }

    /// Repeats a request for a version while the source says that it will have what is asked for,
    /// and the version is still wanted.
    async fn call_until_ready<I: Instance>(
        &self,
        instance: &I,
        source: SocketAddr,
        request: &PeerRequest,
        version: Version,
    ) -> Result<PeerReply, FetchError> {
        let started = instance.now();
        loop {
            let reply = instance.call(source, request, REPLY_TIMEOUT).await;
            match reply.map_err(FetchError::Call)? {
                PeerReply::Pending => {}
                reply => return Ok(reply),
            }
            if self.is_superseded(version) {
                return Err(FetchError::Superseded);
            }
            if instance.now().saturating_duration_since(started) >= MAX_PENDING_TIME {
                return Err(FetchError::Pending);
            }
        }
    }
}
