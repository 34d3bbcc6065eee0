//! Streamed chat completions of engines.

use super::AttemptError;
use crate::partition::SimulatedPartition;
use crate::sse::DataParser;
use coordination::retry::Failure;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use protocol::chat::{Chunk, DONE};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// One item of a streamed response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamItem {
    /// Text of one token.
    Token(String),
    /// End of a complete response, with its finish reason.
    End(String),
}

/// A streamed response.
#[derive(Debug)]
pub struct Stream {
    body: Incoming,
    parser: DataParser,
    idle_timeout: Duration,
    finish_reason: Option<String>,
    partition: SimulatedPartition,
    from: SocketAddr,
}

impl Stream {
    /// Reads the body of a response of the target at `from`.
    pub(super) fn new(
        body: Incoming,
        from: SocketAddr,
        idle_timeout: Duration,
        partition: SimulatedPartition,
    ) -> Stream {
        Stream {
            body,
            parser: DataParser::default(),
            idle_timeout,
            finish_reason: None,
            partition,
            from,
        }
    }

    /// Returns the next item. A response is complete only after a finish reason and
    /// the terminating event; a connection that closes earlier is an error, even if
    /// the text looks complete.
    ///
    /// # Errors
    ///
    /// The stream was interrupted, or, if the error is a timeout, brought no data for too long. It
    /// may be read on after a timeout.
    pub async fn next(&mut self) -> Result<StreamItem, AttemptError> {
        loop {
            while let Some(data) = self.parser.next_data() {
                if let Some(item) = self.decode(&data)? {
                    return Ok(item);
                }
            }
            if self.partition.is_unreachable(self.from, Instant::now()) {
                return Err(AttemptError::new(
                    Failure::Unknown,
                    "unreachable (simulated partition)",
                ));
            }
            self.read_frame().await?;
        }
    }

    fn decode(&mut self, data: &str) -> Result<Option<StreamItem>, AttemptError> {
        if data == DONE {
            let finish_reason = self.finish_reason.take();
            let finish_reason = finish_reason
                .ok_or_else(|| AttemptError::new(Failure::Unknown, "no finish reason"))?;
            return Ok(Some(StreamItem::End(finish_reason)));
        }
        let chunk: Chunk = serde_json::from_str(data)
            .map_err(|error| AttemptError::new(Failure::Unknown, error.to_string()))?;
        let Some(choice) = chunk.choices.into_iter().next() else {
            return Ok(None);
        };
        if choice.finish_reason.is_some() {
            self.finish_reason = choice.finish_reason;
        }
        Ok(choice.delta.content.filter(|text| !text.is_empty()).map(StreamItem::Token))
    }

    async fn read_frame(&mut self) -> Result<(), AttemptError> {
        let frame = tokio::time::timeout(self.idle_timeout, self.body.frame()).await;
        let frame = frame.map_err(|_| {
            let message = format!("no data for {:?}", self.idle_timeout);
            AttemptError { is_timeout: true, ..AttemptError::new(Failure::Unknown, message) }
        })?;
        let Some(frame) = frame else {
            return Err(AttemptError::new(
                Failure::Unknown,
                "the stream ended before its last event",
            ));
        };
        let frame =
            frame.map_err(|error| AttemptError::new(Failure::Unknown, error.to_string()))?;
        let is_within_limit = frame.data_ref().is_none_or(|bytes| self.parser.push(bytes));
        if is_within_limit {
            Ok(())
        } else {
            Err(AttemptError::new(Failure::Unknown, "an event is too long"))
        }
    }
}
