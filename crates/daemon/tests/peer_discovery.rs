//! Instances without configured seeds discover peers by the addresses stored on the platform.

mod util;

use util::cluster::{Cluster, Plan};
use util::wait_until;

#[test]
fn instance_without_seeds_discovers_its_peers() {
    let mut cluster = Cluster::start(Plan::default());
    let unseeded = cluster.start_daemon_in("patan-hall", "peers.seeds = ");
    wait_until("the instance without seeds sees its peers", || unseeded.alive_members() == 4);
    cluster.daemons.push(unseeded);
    cluster.wait_members();
}
