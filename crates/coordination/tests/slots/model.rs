//! Random requests and releases, checked against a model of the holders.

use crate::{MS, allocator, request};
use coordination::slots::{Decision, Grant, LeaseReport, Purpose, Request};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Instant;

#[derive(Clone, Copy, Debug)]
enum Step {
    Online,
    Batch,
    Release(usize),
    Grant,
    HolderGone,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => Just(Step::Online),
        4 => Just(Step::Batch),
        6 => (0..64_usize).prop_map(Step::Release),
        2 => Just(Step::Grant),
        1 => Just(Step::HolderGone),
    ];
    proptest::collection::vec(step, 1..200)
}

/// Active leases as the holders count them.
#[derive(Default)]
struct Model {
    active: BTreeMap<u64, (Purpose, String)>,
    revoked: Vec<u64>,
}

impl Model {
    fn on_grant(&mut self, grant: &Grant, purpose: Purpose) {
        self.active.insert(grant.lease, (purpose, grant.target.clone()));
    }

    fn count(&self, target: &str, purpose: Purpose) -> u32 {
        let is_match = |(id, (p, t)): &(&u64, &(Purpose, String))| {
            t == target && *p == purpose && !self.revoked.contains(id)
        };
        self.active.iter().filter(is_match).count() as u32
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    /// No target runs more online requests than it has slots, nor more leases in all once revoked
    /// items have stopped.
    #[test]
    fn targets_never_exceed_their_slots(steps in steps()) {
        let mut now = Instant::now();
        let mut allocator = allocator(3, now);
        let mut model = Model::default();
        let mut waiting = BTreeMap::new();
        for step in steps {
            now += MS * 7;
            let decision = match step {
                Step::Online => {
                    let request = Request { may_wait: true, ..request(Purpose::Online, now) };
                    Some((Purpose::Online, allocator.on_request(request, now)))
                }
                Step::Batch => {
                    let request = Request { may_wait: true, ..request(Purpose::Batch, now) };
                    Some((Purpose::Batch, allocator.on_request(request, now)))
                }
                Step::Release(n) => {
                    let id = model.active.keys().nth(n % model.active.len().max(1)).copied();
                    if let Some(id) = id {
                        model.active.remove(&id);
                        allocator.on_release(id, LeaseReport::default(), now);
                    }
                    None
                }
                Step::Grant => None,
                Step::HolderGone => {
                    allocator.on_holder_lost(1);
                    model = Model::default();
                    waiting.clear();
                    None
                }
            };
            match decision {
                Some((purpose, Decision::Granted(grant, revocation))) => {
                    model.revoked.extend(revocation.map(|r| r.lease));
                    model.on_grant(&grant, purpose);
                }
                Some((purpose, Decision::Queued(id))) => {
                    waiting.insert(id, purpose);
                }
                _ => {}
            }
            for (id, grant, revocation) in allocator.next_grants(now) {
                model.revoked.extend(revocation.map(|r| r.lease));
                let purpose = waiting.remove(&id).expect("a queued request");
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
