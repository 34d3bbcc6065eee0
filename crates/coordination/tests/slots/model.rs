//! Random wishes and releases against a count of one's own.

use crate::{MS, ask, ledger};
use coordination::slots::{Decision, Grant, LeaseReport, Purpose, Request};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Instant;

#[derive(Clone, Copy, Debug)]
enum Step {
    Online,
    Batch,
    Release(usize),
    Pump,
    HolderGone,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => Just(Step::Online),
        4 => Just(Step::Batch),
        6 => (0..64_usize).prop_map(Step::Release),
        2 => Just(Step::Pump),
        1 => Just(Step::HolderGone),
    ];
    proptest::collection::vec(step, 1..200)
}

/// Leases out by the holders' own count: online and those of batch that were
/// not revoked.
#[derive(Default)]
struct Model {
    out: BTreeMap<u64, (Purpose, String)>,
    revoked: Vec<u64>,
}

impl Model {
    fn on_grant(&mut self, grant: &Grant, purpose: Purpose) {
        self.out.insert(grant.lease, (purpose, grant.target.clone()));
    }

    fn count(&self, target: &str, purpose: Purpose) -> u32 {
        let fits = |(id, (p, t)): &(&u64, &(Purpose, String))| {
            t == target && *p == purpose && !self.revoked.contains(id)
        };
        self.out.iter().filter(fits).count() as u32
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    /// Whatever happens in whatever order: no target holds more online requests
    /// than it has slots, and none more in all once revoked items have stopped.
    #[test]
    fn no_target_is_ever_given_more_than_its_slots(steps in steps()) {
        let mut now = Instant::now();
        let mut ledger = ledger(3, now);
        let mut model = Model::default();
        let mut waiting = BTreeMap::new();
        for step in steps {
            now += MS * 7;
            let verdict = match step {
                Step::Online => {
                    let ask = Request { may_wait: true, ..ask(Purpose::Online, now) };
                    Some((Purpose::Online, ledger.on_request(ask, now)))
                }
                Step::Batch => {
                    let ask = Request { may_wait: true, ..ask(Purpose::Batch, now) };
                    Some((Purpose::Batch, ledger.on_request(ask, now)))
                }
                Step::Release(n) => {
                    let id = model.out.keys().nth(n % model.out.len().max(1)).copied();
                    if let Some(id) = id {
                        model.out.remove(&id);
                        ledger.on_release(id, LeaseReport::default(), now);
                    }
                    None
                }
                Step::Pump => None,
                Step::HolderGone => {
                    ledger.on_holder_lost(1);
                    model = Model::default();
                    waiting.clear();
                    None
                }
            };
            match verdict {
                Some((purpose, Decision::Granted(grant, revocation))) => {
                    model.revoked.extend(revocation.map(|r| r.lease));
                    model.on_grant(&grant, purpose);
                }
                Some((purpose, Decision::Queued(id))) => {
                    waiting.insert(id, purpose);
                }
                _ => {}
            }
            for (id, grant, revocation) in ledger.next_grants(now) {
                model.revoked.extend(revocation.map(|r| r.lease));
                let purpose = waiting.remove(&id).expect("it waited");
                model.on_grant(&grant, purpose);
            }
            for target in ["t0", "t1", "t2"] {
                let online = model.count(target, Purpose::Online);
                let batch = model.count(target, Purpose::Batch);
                prop_assert!(online <= 2 && online + batch <= 2, "{target}: {online} {batch}");
            }
        }
    }
}
