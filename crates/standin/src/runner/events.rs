//! Events of a runner's responses.

use super::{Runner, Silence};
use bytes::Bytes;
use std::time::{Duration, Instant};
use transport::body;

/// Time in which a chunk is sent; one that waits for the socket is lost when its response is aborted.
const FLUSH_TIME: Duration = Duration::from_millis(10);

/// Records the end of a run when dropped.
pub(super) struct RunEnd {
    pub(super) runner: Runner,
    pub(super) run_index: usize,
}

impl Drop for RunEnd {
    fn drop(&mut self) {
        if let Some(run) = self.runner.lock().runs.get_mut(self.run_index) {
            run.ended = Some(Instant::now());
        }
    }
}

/// The events of one response.
pub(super) struct EventStream {
    /// Id of the request.
    pub(super) id: String,
    /// Version of the start that generates them.
    pub(super) software: String,
    pub(super) last_event_id: Option<u64>,
    /// Whether it is truncated inside an event.
    pub(super) is_interrupted: bool,
}

impl Runner {
    /// Sends the events of a stream; whether all were sent.
    pub(super) async fn send_events(&self, stream: EventStream, tx: &body::Sender) -> bool {
        let EventStream { id, software, last_event_id, is_interrupted } = stream;
        let from = last_event_id.map_or(1, |id| id + 1);
        let event_count = self.lock().event_count.unwrap_or(self.config.event_count);
        let padding = self.lock().paddings.get(&id).cloned().unwrap_or_default();
        let event_interval = self.config.event_interval.mul_f64(self.config.slowness);
        for n in from..=event_count {
            let data = if self.config.names_software {
                versioned_event_data(&id, n, &software)
            } else {
                event_data(&id, n)
            };
            let event = format!("id: {n}\nevent: {software}\ndata: {data}{padding}\n\n");
            if is_interrupted && n >= from + 2 {
                let half = Bytes::from(event.as_bytes()[..event.len() / 2].to_vec());
                let _disconnected = tx.send(half).await;
                tokio::time::sleep(FLUSH_TIME).await;
                return false;
            }
            tokio::select! {
                is_sent = self.send_event(Bytes::from(event), tx) => if !is_sent { return false },
                () = tx.closed() => return false,
            }
            tokio::select! {
                () = tokio::time::sleep(event_interval) => {}
                () = tx.closed() => return false,
            }
        }
        true
    }

    /// Sends an event, after or around a silence; whether it was sent.
    async fn send_event(&self, event: Bytes, tx: &body::Sender) -> bool {
        self.wait_while_silent(|silence| silence != Silence::HalfEvents).await;
        if *self.silence.borrow() != Some(Silence::HalfEvents) {
            return tx.send(event).await.is_ok();
        }
        let (half, rest) = (event.slice(..event.len() / 2), event.slice(event.len() / 2..));
        if tx.send(half).await.is_err() {
            return false;
        }
        self.wait_while_silent(|_| true).await;
        tx.send(rest).await.is_ok()
    }
}

pub(super) fn event_data(id: &str, n: u64) -> String {
    format!("{id}-{n}")
}

pub(super) fn versioned_event_data(id: &str, n: u64, software: &str) -> String {
    format!("{id}-{n} {software}")
}
