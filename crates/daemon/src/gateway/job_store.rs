//! How a batch job lies on the platform.
//!
//! A job is one object: the job as spec, its progress as status. An object holds
//! a bounded number of bytes, so what is too long for it lies in overflow, further
//! objects that never change: items of a long job, written before the job is
//! created, and the first results of a long progress. Only overflow that the job's
//! own object names count; others were left by a writer that came too late.

use super::call_reason::CallReason;
use super::node::Node;
use coordination::hash;
use platform::job;
use platform::store::{Fault, Object};
use serde::{Deserialize, Serialize};
use state::progress::{Holder, Item, Job, Outcome, Progress};

/// Share of an object's bytes that its spec may take; a status takes less than
/// the rest, so that both fit with the object's head.
const SPEC_BYTES_RATIO: f64 = 0.5;
/// Share of an object's bytes that its status may take.
const STATUS_BYTES_RATIO: f64 = 0.35;

/// A run of items or results that lies in an object of its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct OverflowObject {
    name: String,
    count: usize,
}

/// What of a job lies in overflow.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Overflow {
    items: Vec<OverflowObject>,
    results: Vec<OverflowObject>,
}

/// A job as read.
#[derive(Clone, Debug)]
pub struct StoredJob {
    /// The job.
    pub job: Job,
    /// What has happened to it.
    pub progress: Progress,
    /// What of it lies in overflow.
    pub overflow: Overflow,
    /// Revision of its object.
    pub revision: u64,
}

impl StoredJob {
    /// Whether something is left to run.
    pub fn is_open(&self) -> bool {
        !self.progress.ended && self.progress.outcomes.len() < self.job.items.len()
    }

    /// Who holds it by what is durable.
    pub fn holder(&self) -> Holder {
        self.progress.holder.unwrap_or(self.job.accepted_by)
    }
}

/// What a job's own object tells without its overflow.
#[derive(Clone, Debug)]
pub struct JobSummary {
    /// Who holds it.
    pub holder: Holder,
    /// Whether something is left to run.
    pub is_open: bool,
    /// The job, with the items of its own object only.
    pub job: Job,
    /// Tokens of all its items.
    pub tokens: u64,
}

/// Why a job could not be read.
#[derive(Clone, Debug)]
pub enum LoadError {
    /// Its objects hold something else.
    Malformed(String),
    /// The platform didn't give it.
    Fault(Fault),
}

impl std::fmt::Display for LoadError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            LoadError::Malformed(text) => write!(f, "not understood: {text}"),
            LoadError::Fault(fault) => write!(f, "not read: {fault}"),
        }
    }
}

impl From<serde_json::Error> for LoadError {
    fn from(error: serde_json::Error) -> LoadError {
        LoadError::Malformed(error.to_string())
    }
}

#[derive(Serialize, Deserialize)]
struct Spec {
    #[serde(flatten)]
    job: Job,
    /// Overflow with the items that follow those of the job; tokens of these.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "pieces")]
    overflow: Vec<OverflowObject>,
    #[serde(default)]
    #[serde(rename = "piece_tokens")]
    overflow_tokens: u64,
}

#[derive(Default, Serialize, Deserialize)]
struct Status {
    #[serde(flatten)]
    progress: Progress,
    /// Overflow with the results before those of the progress.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "pieces")]
    overflow: Vec<OverflowObject>,
}

fn count(overflow: &[OverflowObject]) -> usize {
    overflow.iter().map(|object| object.count).sum()
}

fn decode(object: &Object) -> Result<(Spec, Status), serde_json::Error> {
    let spec = serde_json::from_str(object.spec.get())?;
    let status: Option<Status> = serde_json::from_str(object.status.get())?;
    Ok((spec, status.unwrap_or_default()))
}

/// What a job's own object tells.
///
/// # Errors
///
/// What is wrong with the object.
pub fn summary(object: &Object) -> Result<JobSummary, serde_json::Error> {
    let (spec, status) = decode(object)?;
    let items = spec.job.items.len() + count(&spec.overflow);
    let results = status.progress.outcomes.len() + count(&status.overflow);
    Ok(JobSummary {
        holder: status.progress.holder.unwrap_or(spec.job.accepted_by),
        is_open: !status.progress.ended && results < items,
        tokens: spec.job.tokens() + spec.overflow_tokens,
        job: spec.job,
    })
}

/// Reads a job from its object and its overflow.
///
/// # Errors
///
/// Why it can't be read now.
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

/// Reads a job by its id; `None` when there is none.
///
/// # Errors
///
/// Why it can't be read now.
pub async fn load(
    node: &Node,
    reason: CallReason,
    id: &str,
) -> Result<Option<StoredJob>, LoadError> {
    match node.store.get(reason, job::KIND, id).await.map_err(LoadError::Fault)? {
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
    for object in overflow {
        let found = node
            .store
            .get(reason, job::PIECE_KIND, &object.name)
            .await
            .map_err(LoadError::Fault)?;
        let Some(object) = found else {
            return Err(LoadError::Malformed(format!("piece `{}` is missing", object.name)));
        };
        let mut part: Vec<T> = serde_json::from_str(object.spec.get())?;
        all.append(&mut part);
    }
    Ok(all)
}

/// Keeps a job that was accepted here.
///
/// # Errors
///
/// [`Fault::Conflict`] when it is kept already, else how a call failed.
pub async fn create(node: &Node, job: &Job) -> Result<(Object, Overflow), Fault> {
    let most = share(node, SPEC_BYTES_RATIO);
    let runs = runs(&job.items, most);
    let Some((first, rest)) = runs.split_first().filter(|(_, rest)| !rest.is_empty()) else {
        let object = node.store.create(CallReason::Submission, job::KIND, &job.id, job).await?;
        return Ok((object, Overflow::default()));
    };
    let mut items = Vec::new();
    for run in rest {
        items.push(write_overflow(node, CallReason::Submission, &job.id, run).await?);
    }
    let overflow_tokens = rest.iter().flat_map(|run| run.iter()).map(|item| item.tokens).sum();
    let spec = Spec {
        job: Job { items: first.to_vec(), ..job.clone() },
        overflow: items.clone(),
        overflow_tokens,
    };
    let object = node.store.create(CallReason::Submission, job::KIND, &job.id, &spec).await?;
    slog::info!(node.log, "long job kept in overflow"; "job" => &job.id,
        "items" => job.items.len(), "pieces" => items.len());
    Ok((object, Overflow { items, results: Vec::new() }))
}

/// Replaces a job's progress if its object has this revision; gives the object
/// and what lies in overflow from now on.
///
/// # Errors
///
/// [`Fault::Conflict`] when it has another revision, else how a call failed.
pub async fn write(
    node: &Node,
    reason: CallReason,
    id: &str,
    revision: u64,
    progress: &Progress,
    overflow: &Overflow,
) -> Result<(Object, Overflow), Fault> {
    let mut overflow = overflow.clone();
    let moved = count(&overflow.results).min(progress.outcomes.len());
    let mut left = &progress.outcomes[moved..];
    let most = share(node, STATUS_BYTES_RATIO);
    let runs = runs(left, most);
    for run in runs.split_last().map(|(_, early)| early).unwrap_or_default() {
        overflow.results.push(write_overflow(node, reason, id, run).await?);
        left = &left[run.len()..];
    }
    let progress = Progress {
        outcomes: left.to_vec(),
        holder: progress.holder,
        failures: progress.failures.clone(),
        ended: progress.ended,
    };
    let status = Status { progress, overflow: overflow.results.clone() };
    let object = node.store.set_status(reason, job::KIND, id, revision, &status).await?;
    Ok((object, overflow))
}

/// Deletes a job and its overflow.
pub async fn delete(node: &Node, id: &str, revision: u64, overflow: &Overflow) {
    if let Err(fault) = node.store.delete(CallReason::Expiry, job::KIND, id, Some(revision)).await {
        slog::info!(node.log, "job not deleted"; "job" => id, "fault" => %fault);
        return;
    }
    for object in overflow.items.iter().chain(&overflow.results) {
        if let Err(fault) =
            node.store.delete(CallReason::Expiry, job::PIECE_KIND, &object.name, None).await
        {
            slog::info!(node.log, "piece not deleted"; "piece" => &object.name, "fault" => %fault);
        }
    }
}

fn share(node: &Node, share: f64) -> usize {
    (node.settings.value_bytes as f64 * share) as usize
}

/// Cuts a list into runs whose encoded form has at most `most` bytes, an element
/// that is longer by itself.
fn runs<T: Serialize>(all: &[T], most: usize) -> Vec<&[T]> {
    let mut runs = Vec::new();
    let mut begin = 0;
    let mut bytes = 0;
    for (at, one) in all.iter().enumerate() {
        // Plain data of strings and numbers: encoding can't fail.
        let size = serde_json::to_vec(one).map_or(0, |text| text.len() + 1);
        if at > begin && bytes + size > most {
            runs.push(&all[begin..at]);
            (begin, bytes) = (at, 0);
        }
        bytes += size;
    }
    if begin < all.len() {
        runs.push(&all[begin..]);
    }
    runs
}

/// Puts a run into an object. Its name tells its contents, so that a repeated write
/// finds it there and two writers never share one by mistake.
async fn write_overflow<T: Serialize>(
    node: &Node,
    reason: CallReason,
    id: &str,
    run: &[T],
) -> Result<OverflowObject, Fault> {
    let text = serde_json::to_vec(run).map_err(|error| Fault::Away(error.to_string()))?;
    let name = format!("{id}.{:016x}", hash::bytes(&text));
    match node.store.create(reason, job::PIECE_KIND, &name, &run).await {
        Ok(_) | Err(Fault::Conflict(_)) => Ok(OverflowObject { name, count: run.len() }),
        Err(fault) => Err(fault),
    }
}
