//! Finds the suspects that explain crashes.

use super::history::History;
use super::{Policy, Suspect, TargetStart};
use protocol::PartFingerprint;
use std::collections::{BTreeSet, HashMap};

/// Why a suspect is quarantined.
#[derive(Clone, Debug, Default)]
pub(super) struct Quarantine {
    /// Number of crashes that no other suspect explains.
    pub(super) crashes: usize,
    /// Other quarantined parts that ran on exactly the same crashed targets as this one. Which of
    /// them crashes targets isn't known, so a request is quarantined only if it has all of them:
    /// the outcome of one that has some of them tells them apart.
    pub(super) companions: Vec<PartFingerprint>,
}

type Quarantined = HashMap<Suspect, Quarantine>;

/// The suspects to be quarantined. Those with most crashes come first, since a crash that one
/// explains doesn't count against others.
pub(super) fn quarantined(histories: &HashMap<Suspect, History>, policy: &Policy) -> Quarantined {
    if policy.max_crashes == 0 {
        return HashMap::new();
    }
    let mut quarantined = certain(histories, policy);
    let explaining = histories.iter().filter(|(suspect, _)| quarantined.contains_key(suspect));
    let mut explained: BTreeSet<&TargetStart> =
        explaining.flat_map(|(_, history)| history.uncleared_starts()).collect();
    loop {
        let others = histories.iter().filter(|(suspect, _)| !quarantined.contains_key(suspect));
        let counts: Vec<(Suspect, usize)> = others
            .map(|(suspect, history)| {
                let unexplained =
                    history.uncleared_starts().filter(|start| !explained.contains(start));
                (*suspect, unexplained.count())
            })
            .collect();
        let max_count = counts.iter().map(|(_, count)| *count).max().unwrap_or(0);
        if max_count < policy.max_crashes {
            break;
        }
        // Nothing distinguishes suspects with equal counts: quarantine all of them.
        for (suspect, crashes) in counts.into_iter().filter(|(_, count)| *count == max_count) {
            quarantined.insert(suspect, Quarantine { crashes, ..Quarantine::default() });
            if let Some(history) = histories.get(&suspect) {
                explained.extend(history.uncleared_starts());
            }
        }
    }
    add_companions(&mut quarantined, histories);
    quarantined
}

/// Requests with so many crashes that they are quarantined even if others explain them all. A part
/// is in many requests that aren't alike, so that it also runs without what explains its crashes.
fn certain(histories: &HashMap<Suspect, History>, policy: &Policy) -> Quarantined {
    let min_crashes = policy.max_crashes + policy.shared_margin;
    let requests = histories.iter().filter(|(suspect, _)| !suspect.is_part());
    let counts = requests.map(|(suspect, history)| (*suspect, history.uncleared().count()));
    let certain = counts.filter(|(_, crashes)| *crashes >= min_crashes);
    certain
        .map(|(suspect, crashes)| (suspect, Quarantine { crashes, ..Quarantine::default() }))
        .collect()
}

fn add_companions(quarantined: &mut Quarantined, histories: &HashMap<Suspect, History>) {
    let mut groups: HashMap<Vec<&TargetStart>, Vec<PartFingerprint>> = HashMap::new();
    for suspect in quarantined.keys() {
        if let (Suspect::Part(part), Some(history)) = (suspect, histories.get(suspect)) {
            groups.entry(history.uncleared_starts().collect()).or_default().push(*part);
        }
    }
    for group in groups.values() {
        for part in group {
            if let Some(quarantine) = quarantined.get_mut(&Suspect::Part(*part)) {
                quarantine.companions =
                    group.iter().filter(|other| *other != part).copied().collect();
            }
        }
    }
}
