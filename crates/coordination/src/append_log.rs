//! Rules of an append-only chain kept as objects `0, 1, 2, …` in a store with
//! conditional creates.
//!
//! Appending is *create object `n` if it is absent*. Whoever creates it decides
//! what entry `n` is, so two writers that both think they own the chain can't
//! both succeed: the second finds `n` taken, reads the tail, and decides again
//! on what it then knows. No lease is needed for safety, and a writer that was
//! paused for hours is harmless.
//!
//! The hard case is a create whose answer is lost. The write may have taken
//! effect, may not have, or may still be under way. The entry carries a token
//! of its writer; reading back tells whose entry `n` is. An absent entry proves
//! nothing while the first create may still arrive, but creating the *same*
//! entry again is safe: of two identical creates one fails, and reading back
//! finds our own token.

/// What the writer does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The entry is in the chain.
    Committed,
    /// Read entry `n` and call [`Append::on_found`].
    ReadBack,
    /// Create the same entry at the same place again.
    RetryCreate,
    /// Another entry stands there: reload the tail and decide anew.
    Conflict,
}

/// One append under way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Append {
    position: u64,
    token: String,
}

impl Append {
    /// An append of the entry with `token` at `position`.
    pub fn new(position: u64, token: impl Into<String>) -> Append {
        Append { position, token: token.into() }
    }

    /// Where the entry goes.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// The store said that the entry was created.
    pub fn on_created(&self) -> Step {
        Step::Committed
    }

    /// The store said that the place is taken; it may be by our own earlier try.
    pub fn on_exists(&self) -> Step {
        Step::ReadBack
    }

    /// No answer came, or one that tells nothing.
    pub fn on_unknown(&self) -> Step {
        Step::ReadBack
    }

    /// The entry was read: `token` is its writer's, `None` when it is absent.
    pub fn on_read(&self, token: Option<&str>) -> Step {
        match token {
            None => Step::RetryCreate,
            Some(found) if found == self.token => Step::Committed,
            Some(_) => Step::Conflict,
        }
    }
}

/// What a reader does with an entry that it was shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryOrder {
    /// It is the next one: apply it.
    Next,
    /// It is in force already, or older: a stale read, a replay, a lagging copy.
    Stale,
    /// Entries before it are missing: ask for them.
    Gap,
}

/// Judges an entry at `generation` by the one in force.
///
/// This is the whole of the rule that a configuration never reverts: nothing
/// but the very next generation is applied, whoever shows it.
pub fn classify(in_force: u64, generation: u64) -> EntryOrder {
    if generation <= in_force {
        return EntryOrder::Stale;
    }
    if generation == in_force + 1 {
        return EntryOrder::Next;
    }
    EntryOrder::Gap
}
