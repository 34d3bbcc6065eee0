//! Instances whose settings name no seed find each other by the addresses that
//! they leave on the platform.

mod util;

use util::cluster::{Cluster, Plan};
use util::wait_until;

#[test]
fn an_instance_without_seeds_finds_the_others() {
    let mut cluster = Cluster::start(Plan::default());
    let lone = cluster.start_daemon_in("patan-hall", "peers.seeds = ");
    wait_until("it meets the others", || lone.alive_members() == 4);
    cluster.daemons.push(lone);
    cluster.wait_members();
}
