//! Rules of an append-only log kept as objects `0, 1, 2, …` in a store with conditional creates.
//!
//! An append creates object `n` if it is absent. Whoever creates it decides entry `n`, so of two
//! writers that both believe they own the log only one succeeds: the other finds that `n` exists,
//! reads the tail and decides again. Safety needs no lease, and a writer that was suspended for
//! hours does no harm.
//!
//! The hard case is a create with an unknown outcome: the write may have taken effect, may not
//! have, or may still be in flight. Each entry carries its writer's token, so reading entry `n`
//! tells who wrote it. An absent entry proves nothing while the first create may still arrive, but
//! creating the *same* entry again is safe: of two identical creates one fails, and the entry read
//! back carries the writer's own token.

/// What the writer does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The entry is in the log.
    Committed,
    /// Read entry `n` and call [`Append::on_read`].
    ReadBack,
    /// Create the same entry at the same position again.
    RetryCreate,
    /// Another writer's entry is at that position: reload the tail and decide again.
    Conflict,
}

/// An append in progress.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Append {
    position: u64,
    token: String,
}

impl Append {
    /// An append at `position` of the entry that carries `token`.
    pub fn new(position: u64, token: impl Into<String>) -> Append {
        Append { position, token: token.into() }
    }

    /// Position of the entry in the log.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// The store confirmed the create.
    pub fn on_created(&self) -> Step {
        Step::Committed
    }

    /// The store reported that the object exists, possibly from an earlier attempt of this append.
    pub fn on_exists(&self) -> Step {
        Step::ReadBack
    }

    /// There was no response, or one that leaves the outcome unknown.
    pub fn on_unknown(&self) -> Step {
        Step::ReadBack
    }

    /// The entry was read: `token` is its writer's token, or `None` if the entry is absent.
    pub fn on_read(&self, token: Option<&str>) -> Step {
        match token {
            None => Step::RetryCreate,
            Some(found) if found == self.token => Step::Committed,
            Some(_) => Step::Conflict,
        }
    }
}

/// Place of a received entry relative to the one in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryOrder {
    /// It is the next entry: apply it.
    Next,
    /// It is in force already or older, as in a stale read or a replay: ignore it.
    Stale,
    /// Entries before it are missing: fetch them.
    Gap,
}

/// Compares an entry's generation to the one in force.
///
/// Only the very next generation is applied, whatever its origin, so a configuration never
/// reverts.
pub fn classify(in_force: u64, generation: u64) -> EntryOrder {
    if generation <= in_force {
        return EntryOrder::Stale;
    }
    if generation == in_force + 1 {
        return EntryOrder::Next;
    }
    EntryOrder::Gap
}
