//! `[policy] batch_order`: which batch items are preempted where slots are short.

use std::str::FromStr;

/// Which running batch item is preempted first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BatchOrder {
    /// One that can't be in time, else the one that is due last; an item that is about to end last,
    /// one that was just started after others.
    Finish,
    /// One that was late when it started, else the one with most work remaining.
    #[default]
    Due,
}

impl FromStr for BatchOrder {
    type Err = ();

    fn from_str(text: &str) -> Result<BatchOrder, ()> {
        match text {
            "finish" => Ok(BatchOrder::Finish),
            "due" => Ok(BatchOrder::Due),
            _ => Err(()),
        }
    }
}
