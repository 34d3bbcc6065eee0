//! Streamed bodies as their receivers see them.

use bytes::Bytes;
use futures_util::StreamExt;
use transport::body::{self, Aborted};

/// Runs `test` to its end.
fn block_on(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("create runtime").block_on(test);
}

/// Guards against a task that panics or is cancelled and leaves a part that looks complete.
#[test]
fn body_whose_sender_is_dropped_is_aborted() {
    block_on(async {
        let (sender, mut receiver) = body::channel(4);
        sender.send(Bytes::from_static(b"part")).await.expect("a receiver");
        drop(sender);
        assert_eq!(receiver.next().await, Some(Ok(Bytes::from_static(b"part"))));
        assert_eq!(receiver.next().await, Some(Err(Aborted)));
        assert_eq!(receiver.next().await, None);
    });
}

#[test]
fn finished_body_ends_without_an_error() {
    block_on(async {
        let (sender, mut receiver) = body::channel(4);
        sender.send(Bytes::from_static(b"all")).await.expect("a receiver");
        sender.finish().await;
        assert_eq!(receiver.next().await, Some(Ok(Bytes::from_static(b"all"))));
        assert_eq!(receiver.next().await, None);
    });
}
