//! Fixtures of the simulations in virtual time.

use protocol::routing::Target;
use std::net::SocketAddr;

/// Targets of one service in one data centre.
pub fn targets(count: u16, slots: u32) -> Vec<Target> {
    let target = |n: u16| Target {
        id: format!("t{n}"),
        started_at: 0,
        service: String::from("llm"),
        address: SocketAddr::from(([127, 0, 0, 1], 1_000 + n)),
        data_centre: String::from("east"),
        slots,
        leaving: false,
        revision: 1,
        cold_left_ms: 0,
        software: None,
    };
    (0..count).map(target).collect()
}
