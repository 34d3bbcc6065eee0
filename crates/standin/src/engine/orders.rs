//! Orders to an engine: what it loads, guarded by fencing tokens.

use super::{BODY_TIMEOUT, Engine, MAX_BODY_BYTES};
use protocol::{Error, Kind, header};
use transport::http::{self, BodyStream, RequestHead, Response};
use transport::target::Order;

impl Engine {
    /// Takes an order, and completes it after the time that the configuration states.
    pub(super) async fn order<B: BodyStream>(&self, head: RequestHead, mut body: B) -> Response {
        let order = match http::read_body(&mut body, MAX_BODY_BYTES, BODY_TIMEOUT).await {
            Ok(bytes) => serde_json::from_slice::<Order>(&bytes),
            Err(error) => return http::error(&error),
        };
        let Ok(order) = order else {
            return http::error(&Error::new(Kind::Malformed, "not an order"));
        };
        let fencing_token: u64 = head.header(header::FENCING_TOKEN).parse().unwrap_or(0);
        {
            let mut state = self.lock();
            if self.config.checks_fencing_token && fencing_token < state.fencing_token {
                state.rejected_orders += 1;
                return http::error(&Error::new(Kind::StaleRevision, "old fencing number"))
                    .with_status_409();
            }
            state.fencing_token = state.fencing_token.max(fencing_token);
            state.busy = true;
        }
        let engine = self.clone();
        tokio::spawn(async move {
            engine.sleep(engine.config.order_duration).await;
            let mut state = engine.lock();
            state.version.clone_from(&order.version);
            state.adapters.clone_from(&order.adapters);
            state.orders.push((fencing_token, order));
            state.busy = false;
        });
        http::json(200, &"taken")
    }
}

trait Status409 {
    fn with_status_409(self) -> Response;
}

impl Status409 for Response {
    fn with_status_409(mut self) -> Response {
        *self.status_mut() = hyper::StatusCode::CONFLICT;
        self
    }
}
