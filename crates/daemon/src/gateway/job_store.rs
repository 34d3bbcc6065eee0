//! Storage format of batch jobs on the platform.
//!
//! A job is one object, with the job as its spec and its progress as its status. Objects
//! are limited in size, so items and results that don't fit are stored in overflow objects,
//! which are immutable. Items overflow before the job is created, results with each write.
//! Only overflow objects named by the job's own object count; others were left by a failed
//! write.

use super::call_reason::CallReason;
use super::node::Node;
use super::stored_job::{JobSummary, LoadError, Overflow, OverflowObject, StoredJob};
use coordination::hash;
use platform::job;
use platform::store::{Object, StoreError};
use serde::{Deserialize, Serialize};
use state::progress::{Item, Job, MAX_ITEM_TOKENS, Outcome, Progress, at_most};

/// Maximum share of an object's bytes for its spec. Spec, status and metadata must fit
/// together.
const SPEC_BYTES_RATIO: f64 = 0.5;
/// Maximum share of an object's bytes for its status.
const STATUS_BYTES_RATIO: f64 = 0.35;
/// Maximum of the tokens in a job's overflow objects.
const MAX_JOB_TOKENS: u64 = MAX_ITEM_TOKENS << 16;

#[derive(Serialize, Deserialize)]
struct Spec {
    #[serde(flatten)]
    job: Job,
    /// Items that follow those of the job, and their tokens.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "pieces")]
    overflow: Vec<OverflowObject>,
    #[serde(default)]
    #[serde(rename = "piece_tokens", deserialize_with = "at_most::<MAX_JOB_TOKENS, _>")]
    overflow_tokens: u64,
}

#[derive(Default, Serialize, Deserialize)]
struct Status {
    #[serde(flatten)]
    progress: Progress,
    /// Results that precede those of the progress.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "pieces")]
    overflow: Vec<OverflowObject>,
}

fn count(overflow: &[OverflowObject]) -> usize {
    overflow.iter().map(|object| object.count as usize).sum()
}

fn decode(object: &Object) -> Result<(Spec, Status), serde_json::Error> {
    let spec = serde_json::from_str(object.spec.get())?;
    let status: Option<Status> = serde_json::from_str(object.status.get())?;
    Ok((spec, status.unwrap_or_default()))
}

/// Decodes a job's own object.
///
/// # Errors
///
/// The object holds something else.
pub fn summary(object: &Object) -> Result<JobSummary, serde_json::Error> {
    let (spec, status) = decode(object)?;
    let items = spec.job.items.len() + count(&spec.overflow);
    let results = status.progress.outcomes.len() + count(&status.overflow);
    Ok(JobSummary {
        holder: status.progress.holder.unwrap_or(spec.job.accepted_by),
        is_open: !status.progress.ended && results < items,
        tokens: spec.job.tokens() + spec.overflow_tokens,
        job: spec.job,
        overflow: Overflow { items: spec.overflow, results: status.overflow },
    })
}

/// Loads a job from its object and its overflow objects.
///
/// # Errors
///
/// An object is malformed or can't be read now.
pub async fn read(
    node: &Node,
    reason: CallReason,
    object: &Object,
) -> Result<StoredJob, LoadError> {
    let (spec, status) = decode(object)?;
    let (mut job, mut progress) = (spec.job, status.progress);
    job.items.extend(fetch::<Item>(node, reason, &spec.overflow).await?);
    if !status.overflow.is_empty() {
        let mut outcomes = fetch::<Outcome>(node, reason, &status.overflow).await?;
        outcomes.append(&mut progress.outcomes);
        progress.outcomes = outcomes;
    }
    let overflow = Overflow { items: spec.overflow, results: status.overflow };
    Ok(StoredJob { job, progress, overflow, revision: object.revision })
}

/// Loads a job by its id; `None` if there is none.
///
/// # Errors
///
/// As [`read`].
pub async fn load(
    node: &Node,
    reason: CallReason,
    id: &str,
) -> Result<Option<StoredJob>, LoadError> {
    match node.store.get(reason, job::KIND, id).await.map_err(LoadError::Store)? {
        Some(object) => read(node, reason, &object).await.map(Some),
        None => Ok(None),
    }
}

async fn fetch<T: for<'a> Deserialize<'a>>(
    node: &Node,
    reason: CallReason,
    overflow: &[OverflowObject],
) -> Result<Vec<T>, LoadError> {
    let mut all = Vec::new();
    for reference in overflow {
        let found = node
            .store
            .get(reason, job::OVERFLOW_KIND, &reference.name)
            .await
            .map_err(LoadError::Store)?;
        let Some(object) = found else {
            return Err(LoadError::Malformed(format!(
                "overflow object `{}` is missing",
                reference.name
            )));
        };
        let mut part: Vec<T> = serde_json::from_str(object.spec.get())?;
        all.append(&mut part);
    }
    Ok(all)
}

/// Stores a newly accepted job.
///
/// # Errors
///
/// [`StoreError::Conflict`] if the job exists, else the error of the failed call.
pub async fn create(node: &Node, job: &Job) -> Result<(Object, Overflow), StoreError> {
    let max_bytes = byte_limit(node, SPEC_BYTES_RATIO);
    let runs = runs(&job.items, max_bytes);
    let kept =
        runs.first().filter(|run| run.bytes <= max_bytes).map_or(0, |run| run.elements.len());
    let (kept, rest) = job.items.split_at(kept);
    if rest.is_empty() {
        let object = node.store.create(CallReason::Submission, job::KIND, &job.id, job).await?;
        return Ok((object, Overflow::default()));
    }
    let mut items = Vec::new();
    for run in runs.iter().skip(usize::from(!kept.is_empty())) {
        items.push(write_overflow(node, CallReason::Submission, &job.id, run.elements).await?);
    }
    let overflow_tokens = rest.iter().map(|item| item.tokens).sum();
    let spec = Spec {
        job: Job { items: kept.to_vec(), ..job.clone() },
        overflow: items.clone(),
        overflow_tokens,
    };
    let object = node.store.create(CallReason::Submission, job::KIND, &job.id, &spec).await?;
    slog::info!(node.log, "job stored with overflow objects"; "job" => &job.id,
        "items" => job.items.len(), "pieces" => items.len());
    Ok((object, Overflow { items, results: Vec::new() }))
}

/// Replaces a job's progress if its object has this revision. Returns the object and the
/// updated overflow.
///
/// # Errors
///
/// [`StoreError::Conflict`] if the revision differs, else the error of the failed call.
pub async fn write(
    node: &Node,
    reason: CallReason,
    id: &str,
    revision: u64,
    progress: &Progress,
    overflow: &Overflow,
) -> Result<(Object, Overflow), StoreError> {
    let max_bytes = byte_limit(node, STATUS_BYTES_RATIO);
    match write_keeping(node, reason, id, revision, progress, overflow, max_bytes).await {
        // Earlier versions left less room than that beside a large item.
        Err(StoreError::Rejected(_)) => {
            write_keeping(node, reason, id, revision, progress, overflow, 0).await
        }
        result => result,
    }
}

/// As [`write`]; the last results stay in the job's own object if they have at most `max_bytes`.
async fn write_keeping(
    node: &Node,
    reason: CallReason,
    id: &str,
    revision: u64,
    progress: &Progress,
    overflow: &Overflow,
    max_bytes: usize,
) -> Result<(Object, Overflow), StoreError> {
    let mut overflow = overflow.clone();
    let overflowed = count(&overflow.results).min(progress.outcomes.len());
    let mut remaining = &progress.outcomes[overflowed..];
    let mut runs = runs(remaining, byte_limit(node, STATUS_BYTES_RATIO));
    runs.pop_if(|last| last.bytes <= max_bytes);
    for run in runs {
        overflow.results.push(write_overflow(node, reason, id, run.elements).await?);
        remaining = &remaining[run.elements.len()..];
    }
    let progress = Progress {
        outcomes: remaining.to_vec(),
        holder: progress.holder,
        failures: progress.failures.clone(),
        ended: progress.ended,
    };
    let status = Status { progress, overflow: overflow.results.clone() };
    let object = node.store.set_status(reason, job::KIND, id, revision, &status).await?;
    Ok((object, overflow))
}

/// Deletes a job and its overflow objects.
pub async fn delete(node: &Node, id: &str, revision: u64, overflow: &Overflow) {
    if let Err(error) = node.store.delete(CallReason::Expiry, job::KIND, id, Some(revision)).await {
        slog::info!(node.log, "job not deleted"; "job" => id, "fault" => %error);
        return;
    }
    for object in overflow.items.iter().chain(&overflow.results) {
        if let Err(error) =
            node.store.delete(CallReason::Expiry, job::OVERFLOW_KIND, &object.name, None).await
        {
            slog::info!(node.log, "overflow object not deleted";
                "piece" => &object.name, "fault" => %error);
        }
    }
}

fn byte_limit(node: &Node, ratio: f64) -> usize {
    (node.settings.max_value_bytes as f64 * ratio) as usize
}

/// Consecutive elements of a list.
struct Run<'a, T> {
    elements: &'a [T],
    /// Size of their encoded form.
    bytes: usize,
}

/// Splits a list into runs whose encoded form has at most `max_bytes` bytes each. A larger
/// element gets a run of its own.
fn runs<T: Serialize>(all: &[T], max_bytes: usize) -> Vec<Run<'_, T>> {
    let mut runs = Vec::new();
    let mut start = 0;
    let mut bytes = 0;
    for (index, element) in all.iter().enumerate() {
        // Strings and numbers only: encoding can't fail.
        let size = serde_json::to_vec(element).map_or(0, |text| text.len() + 1);
        if index > start && bytes + size > max_bytes {
            runs.push(Run { elements: &all[start..index], bytes });
            (start, bytes) = (index, 0);
        }
        bytes += size;
    }
    if start < all.len() {
        runs.push(Run { elements: &all[start..], bytes });
    }
    runs
}

/// Writes a run to an overflow object. The name contains a hash of the contents, so a
/// repeated write is idempotent and writers never collide.
async fn write_overflow<T: Serialize>(
    node: &Node,
    reason: CallReason,
    id: &str,
    run: &[T],
) -> Result<OverflowObject, StoreError> {
    let text =
        serde_json::to_vec(run).map_err(|error| StoreError::Unavailable(error.to_string()))?;
    let name = format!("{id}.{:016x}", hash::bytes(&text));
    match node.store.create(reason, job::OVERFLOW_KIND, &name, &run).await {
        Ok(_) | Err(StoreError::Conflict(_)) => {
            Ok(OverflowObject { name, count: run.len() as u32 })
        }
        Err(error) => Err(error),
    }
}
