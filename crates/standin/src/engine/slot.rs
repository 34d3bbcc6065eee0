//! Slots of an engine and the queue for them.

use super::Engine;
use tokio::sync::oneshot;

pub(super) struct Waiter {
    pub(super) priority: u8,
    arrival: u64,
    slot_tx: oneshot::Sender<Slot>,
}

impl Engine {
    /// Waits for a slot; returns it with the arrival number. `None` if the engine is dropped.
    pub(super) async fn acquire_slot(&self, priority: u8) -> Option<(Slot, u64)> {
        let (slot_rx, arrival) = {
            let mut state = self.lock();
            state.events += 1;
            let arrival = state.events;
            if state.total_running() < self.config.slots {
                state.running[usize::from(priority)] += 1;
                return Some((Slot { engine: Some(self.clone()), priority }, arrival));
            }
            let (slot_tx, slot_rx) = oneshot::channel();
            state.waiters.push(Waiter { priority, arrival, slot_tx });
            (slot_rx, arrival)
        };
        slot_rx.await.ok().map(|slot| (slot, arrival))
    }
}

/// A slot in use. On drop it passes to the first waiter that still waits.
pub(super) struct Slot {
    engine: Option<Engine>,
    priority: u8,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let Some(engine) = self.engine.take() else {
            return;
        };
        let mut state = engine.lock();
        state.running[usize::from(self.priority)] -= 1;
        state.waiters.sort_by_key(|waiter| (waiter.priority, waiter.arrival));
        while !state.waiters.is_empty() {
            let Waiter { priority, slot_tx, .. } = state.waiters.remove(0);
            match slot_tx.send(Slot { engine: Some(engine.clone()), priority }) {
                Ok(()) => {
                    state.running[usize::from(priority)] += 1;
                    return;
                }
                Err(mut unused) => unused.engine = None,
            }
        }
    }
}
