//! Pages of registry entries carry all fields, in few bytes.

use coordination::registry::{Change, Registry};
use daemon::gateway::message::{PeerReply, decode, encode};
use daemon::gateway::target_page::TargetPage;
use protocol::routing::Target;
use std::net::SocketAddr;

/// Bytes of an entry that an instance with a link of 30 Mbit/s can receive 10,000 times in half a
/// second, beside as much other traffic.
const MAX_ENTRY_BYTES: usize = 93;

fn target(n: u32) -> Target {
    Target {
        id: format!("i-{n:010x}"),
        started_at: 1_788_667_402_000 + u64::from(n),
        service: String::from("pustak-llm"),
        address: SocketAddr::from(([10, 2, (n >> 8) as u8, n as u8], 8287)),
        data_centre: format!("bhaktapur-hall-{}", n % 3),
        slots: 8,
        leaving: n.is_multiple_of(7),
        revision: 10_000 + u64::from(n),
        cold_left_ms: u64::from(n % 2) * 900,
        software: (!n.is_multiple_of(5)).then(|| format!("v{}", n % 5)),
    }
}

#[test]
fn page_carries_all_fields() {
    let mut registry = Registry::default();
    for n in 0..500 {
        registry.on_change(Change::Present(target(n)));
    }
    registry.on_change(Change::Gone { id: target(3).id, revision: 99_999, ran: None });
    let page = registry.page(&[], 0, 10_000);
    let expected = page.changes.clone();
    let reply = PeerReply::TargetPage(TargetPage::new(page, 7));
    let Some(PeerReply::TargetPage(received)) = decode(&encode(&reply)) else {
        panic!("a page");
    };
    let mut found = received.into_changes();
    assert_eq!(found.len(), expected.len());
    for change in expected {
        let index = found.iter().position(|other| *other == change);
        found.swap_remove(index.expect("the change"));
    }
}

#[test]
fn entry_takes_few_bytes() {
    let mut registry = Registry::default();
    for n in 0..2_000 {
        let software = Some(String::from("v1"));
        let plain = Target { leaving: false, cold_left_ms: 0, software, ..target(n) };
        registry.on_change(Change::Present(plain));
    }
    let reply = PeerReply::TargetPage(TargetPage::new(registry.page(&[], 0, 10_000), 7));
    let bytes = encode(&reply).len() / 2_000;
    assert!(bytes <= MAX_ENTRY_BYTES, "{bytes} bytes an entry");
}
