//! Parts of a text: joined they are the text, and a change replaces few of them.

use coordination::parts;
use proptest::prelude::*;
use std::collections::HashSet;

/// A text of records that differ only at their beginnings, as routes do.
fn text(names: &[String]) -> String {
    let record = |name: &String| {
        format!(
            "{{\"name\":\"{name}\",\"kind\":\"stream\",\"timeout_ms\":5000,\"service\":\"llm\",\
             \"max_attempts\":2,\"resumable\":true,\"sticky\":false,\"priority\":0}}"
        )
    };
    names.iter().map(record).collect::<Vec<_>>().join(",")
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("route-{:x}", n.wrapping_mul(2_654_435_761))).collect()
}

/// New parts after an insertion in one place: the one that holds it, and some until the ends meet again.
const MAX_NEW_PARTS: usize = 4;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(40))]

    #[test]
    fn parts_joined_are_the_text(bytes in prop::collection::vec(any::<u8>(), 0..400_000)) {
        prop_assert_eq!(parts::split(&bytes).concat(), bytes);
    }

    /// Guards against parts that all move when something is inserted before them.
    #[test]
    fn change_in_one_place_replaces_few_parts(place in 0_usize..3_000, added in 1_usize..20) {
        let before = names(3_000);
        let mut after = before.clone();
        after.splice(place..place, (0..added).map(|n| format!("new-{n}")));
        let (before, after) = (text(&before), text(&after));
        let known: HashSet<&[u8]> = parts::split(before.as_bytes()).into_iter().collect();
        let all = parts::split(after.as_bytes());
        let new = all.iter().filter(|part| !known.contains(*part)).count();
        prop_assert!(new <= MAX_NEW_PARTS, "{} of {} parts are new", new, all.len());
        prop_assert!(all.len() >= 8, "{} parts", all.len());
    }
}
