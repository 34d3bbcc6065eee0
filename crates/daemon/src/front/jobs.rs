//! Batch jobs: submission, status, results and cancellation.

use super::HttpHandler;
use crate::clock;
use crate::retry_queue::is_transient;
use crate::shared::Shared;
use bytes::Bytes;
use coordination::membership::Update;
use platform::key_value::Condition;
use protocol::config::Protocol;
use protocol::job::{Item, JobHeader, Outcome, Phase, ResultLine, ResultPage, Status};
use protocol::{Error, JobId, Kind, header};
use state::command::{ChunkResults, Command, Reply};
use state::object_key;
use state::part::{ChunkItems, ChunkProgress, ResultPart};
use state::record::JobSpec;
use std::sync::Arc;
use transport::http::{self, BodyStream, LineReader, RequestHead, Response};
use xxhash_rust::xxh3::{Xxh3Default, xxh3_128};

const MAX_ITEMS: u64 = 300_000;
const MAX_LINE_BYTES: usize = 256 * 1024;
const MAX_WRITE_ATTEMPTS: u32 = 3;
/// Default and maximum number of items in a page of results.
const MAX_PAGE_ITEMS: u64 = 1000;

/// Accepts a job. The chunks are written before the record that names them, so
/// that a partial upload is never accepted.
///
/// # Errors
///
/// Why the job was not accepted; with `Undetermined` it may have been.
pub async fn submit<B: BodyStream>(
    handler: &HttpHandler,
    head: &RequestHead,
    body: B,
) -> Result<Response, Error> {
    let shared = &handler.shared;
    let key = head.header(header::IDEMPOTENCY_KEY);
    if key.is_empty() {
        let text = format!("header `{}`: a job needs a key", header::IDEMPOTENCY_KEY);
        return Err(Error::new(Kind::Malformed, text));
    }
    let scoped = format!("{}/{key}", head.header(header::CALLER));
    let job = format!("job-{:032x}", xxh3_128(scoped.as_bytes()));
    let status = shared.shards.submit(shared, Command::Status { job: job.clone() }).await;
    if let Err(error) = &status
        && error.kind != Kind::NotFound
    {
        return Err(error.clone());
    }
    let lines = LineReader::new(body, MAX_LINE_BYTES, shared.settings.body_timeout);
    let mut upload = Upload::new(shared.clone(), job.clone(), status.is_ok());
    let spec = upload.read(lines).await?;
    match shared.shards.submit(shared, Command::Accept(spec.clone())).await {
        Ok(Reply::Status(status)) => Ok(http::json(200, &status)),
        Ok(_) => {
            upload.is_referenced = true;
            slog::info!(shared.log, "job accepted"; "job" => &job, "items" => spec.items);
            Ok(http::json(201, &initial_status(&spec)))
        }
        Err(error) => {
            upload.is_referenced = error.kind == Kind::Undetermined;
            Err(error)
        }
    }
}

fn initial_status(spec: &JobSpec) -> Status {
    Status {
        job: spec.job.clone(),
        service: spec.service.clone(),
        phase: Phase::Running,
        items: spec.items,
        done: 0,
        failed: 0,
        due: spec.due,
        claims: 0,
    }
}

/// Writes the body of a job to chunk objects.
struct Upload {
    shared: Arc<Shared>,
    job: JobId,
    /// Upload id, part of the chunks' object keys.
    name: String,
    is_duplicate: bool,
    digest: Xxh3Default,
    chunk: ChunkItems,
    /// Length of the lines of `chunk`.
    bytes: usize,
    items: u64,
    /// Index of the first item of each chunk.
    starts: Vec<u64>,
    /// Whether an accepted job refers, or may refer, to the written chunks.
    is_referenced: bool,
}

impl Upload {
    /// A duplicate of an accepted job is only hashed, not written.
    fn new(shared: Arc<Shared>, job: JobId, is_duplicate: bool) -> Upload {
        Upload {
            shared,
            job,
            is_duplicate,
            name: format!("{:013}-{:016x}", clock::millis(), rand::random::<u64>()),
            digest: Xxh3Default::new(),
            chunk: ChunkItems::default(),
            bytes: 0,
            items: 0,
            starts: Vec::new(),
            is_referenced: false,
        }
    }

    async fn read<B: BodyStream>(&mut self, mut lines: LineReader<B>) -> Result<JobSpec, Error> {
        let first = lines.next().await?;
        let first = first.ok_or_else(|| Error::new(Kind::Malformed, "the body is empty"))?;
        let header: JobHeader = parse(&first, 1)?;
        self.check_service(&header.service)?;
        self.digest.update(&first);
        while let Some(line) = lines.next().await? {
            let item: Item = parse(&line, self.items + 2)?;
            self.add(item, &line).await?;
        }
        self.flush().await?;
        if self.items == 0 {
            return Err(Error::new(Kind::Malformed, "the job has no items"));
        }
        Ok(JobSpec {
            job: self.job.clone(),
            digest: self.digest.digest(),
            upload: self.name.clone(),
            service: header.service,
            due: header.due,
            items: self.items,
            starts: self.starts.clone(),
            accepted_at: clock::millis(),
        })
    }

    fn check_service(&self, name: &str) -> Result<(), Error> {
        let view = self.shared.view();
        let service = view.document.services.get(name);
        if service.is_some_and(|service| service.protocol == Protocol::Chat) {
            return Ok(());
        }
        Err(Error::new(Kind::UnknownService, format!("no service `{name}`")))
    }

    async fn add(&mut self, item: Item, line: &[u8]) -> Result<(), Error> {
        if self.items >= MAX_ITEMS {
            let text = format!("a job has at most {MAX_ITEMS} items");
            return Err(Error::new(Kind::TooLarge, text));
        }
        self.digest.update(b"\n");
        self.digest.update(line);
        let is_full = self.bytes + line.len() > object_key::MAX_VALUE_BYTES / 2;
        if is_full || self.chunk.items.len() >= self.shared.settings.max_chunk_items {
            self.flush().await?;
        }
        if self.chunk.items.is_empty() {
            self.starts.push(self.items);
        }
        self.chunk.items.push(item);
        self.bytes += line.len();
        self.items += 1;
        Ok(())
    }

    async fn flush(&mut self) -> Result<(), Error> {
        let chunk = std::mem::take(&mut self.chunk);
        self.bytes = 0;
        if chunk.items.is_empty() || self.is_duplicate {
            return Ok(());
        }
        let number = self.starts.len() as u32 - 1;
        let key = object_key::chunk(&self.job, &self.name, number);
        let bytes = Bytes::from(serde_json::to_vec(&chunk).unwrap_or_default());
        let mut last_error = None;
        for _ in 0..MAX_WRITE_ATTEMPTS {
            match self.shared.store.put(&key, bytes.clone(), Condition::Any).await {
                Ok(_) => return Ok(()),
                Err(error) => last_error = Some(error.to_string()),
            }
        }
        let text = format!("the job is not accepted: {}", last_error.unwrap_or_default());
        Err(Error::new(Kind::PlatformUnavailable, text))
    }
}

/// Deletes the chunks of an upload that wasn't accepted, also when its caller
/// disconnected.
impl Drop for Upload {
    fn drop(&mut self) {
        if self.is_duplicate || self.is_referenced || self.starts.is_empty() {
            return;
        }
        let (shared, job, name) = (self.shared.clone(), self.job.clone(), self.name.clone());
        let chunks = self.starts.len() as u32;
        tokio::spawn(async move {
            for number in 0..chunks {
                drop(shared.store.delete(&object_key::chunk(&job, &name, number)).await);
            }
        });
    }
}

fn parse<T: serde::de::DeserializeOwned>(line: &[u8], number: u64) -> Result<T, Error> {
    serde_json::from_slice(line)
        .map_err(|error| Error::new(Kind::Malformed, format!("line {number}: {error}")))
}

/// Returns the status of a job.
///
/// # Errors
///
/// `NotFound`, or why the log can't be read.
pub async fn status(handler: &HttpHandler, job: &str) -> Result<Response, Error> {
    let command = Command::Status { job: job.into() };
    match handler.shared.shards.submit(&handler.shared, command).await? {
        Reply::Status(status) => Ok(http::json(200, &status)),
        _ => Err(Error::new(Kind::Internal, "unexpected reply from the log")),
    }
}

/// Cancels a job: on this instance and its peers at once, in the log as soon as
/// it is reachable.
///
/// # Errors
///
/// `NotFound`; `NotRecorded` while the platform is unavailable.
pub async fn cancel(handler: &HttpHandler, job: &str) -> Result<Response, Error> {
    let shared = &handler.shared;
    let command = Command::Cancel { job: job.into() };
    match shared.shards.submit(shared, command.clone()).await {
        Ok(Reply::Status(status)) => {
            if status.phase == Phase::Cancelled {
                shared.broadcast(Update::JobCancelled(job.into()));
            }
            Ok(http::json(200, &status))
        }
        Ok(_) => Err(Error::new(Kind::Internal, "unexpected reply from the log")),
        Err(error) if is_transient(error.kind) => {
            shared.broadcast(Update::JobCancelled(job.into()));
            shared.retry_queue.push(command);
            let text = "the job was stopped, but its cancellation isn't recorded yet";
            Err(Error { kind: Kind::NotRecorded, message: text.into(), ..error })
        }
        Err(error) => Err(error),
    }
}

/// Returns a page of results.
///
/// # Errors
///
/// `NotFound`, `Malformed`, or why the platform can't be read.
pub async fn results(
    handler: &HttpHandler,
    head: &RequestHead,
    job: &str,
) -> Result<Response, Error> {
    let shared = &handler.shared;
    let from = number_parameter(head, "from")?.unwrap_or(0);
    let limit = number_parameter(head, "limit")?.unwrap_or(MAX_PAGE_ITEMS).clamp(1, MAX_PAGE_ITEMS);
    let command = Command::Results { job: job.into(), from, limit };
    let reply = shared.shards.submit(shared, command).await?;
    let Reply::Results { status, mut chunks, archived } = reply else {
        return Err(Error::new(Kind::Internal, "unexpected reply from the log"));
    };
    if archived {
        let index: Vec<ChunkResults> = read_object(shared, &object_key::index(&status.job)).await?;
        chunks = index.into_iter().filter(|c| c.start < from + limit && c.end > from).collect();
    }
    let mut lines = Vec::new();
    for chunk in &chunks {
        lines.extend(chunk_lines(shared, &status, chunk).await?);
    }
    let end = from.saturating_add(limit);
    lines.retain(|line| line.item >= from && line.item < end);
    let next = Some(end).filter(|next| *next < status.items);
    Ok(http::json(200, &ResultPage { results: lines, next }))
}

async fn chunk_lines(
    shared: &Shared,
    status: &Status,
    chunk: &ChunkResults,
) -> Result<Vec<ResultLine>, Error> {
    let mut progress = ChunkProgress::default();
    for part in &chunk.parts {
        let key = object_key::result_part(&status.job, chunk.chunk, part.attempt, part.part);
        progress.apply(read_object::<ResultPart>(shared, &key).await?);
    }
    let items = chunk.start..chunk.end;
    let outcome = |item: u64| {
        let found = progress.outcomes.get(&((item - chunk.start) as u32)).cloned();
        let is_cancelled = status.phase == Phase::Cancelled;
        found
            .or(is_cancelled.then_some(Outcome::Cancelled))
            .map(|outcome| ResultLine { item, outcome })
    };
    Ok(items.filter_map(outcome).collect())
}

async fn read_object<T: serde::de::DeserializeOwned>(
    shared: &Shared,
    key: &str,
) -> Result<T, Error> {
    let unavailable =
        |text: String| Error::new(Kind::PlatformUnavailable, format!("`{key}`: {text}"));
    let found = shared.store.get(key).await.map_err(|error| unavailable(error.to_string()))?;
    let found = found.ok_or_else(|| unavailable("missing".into()))?;
    serde_json::from_slice(&found.bytes).map_err(|error| unavailable(error.to_string()))
}

fn number_parameter(head: &RequestHead, name: &str) -> Result<Option<u64>, Error> {
    let parse = |text: &str| {
        text.parse()
            .map_err(|_| Error::new(Kind::Malformed, format!("`{name}`: expected a number")))
    };
    head.value(name).map(parse).transpose()
}
