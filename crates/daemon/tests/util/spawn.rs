//! Child processes that end with the test process, however that ends.
//!
//! Daemons of a test run that was killed would go on and send their open jobs to whatever listens at
//! their targets' addresses later, such as the stand-ins of another test.

use std::io;
use std::path::Path;
use std::process::{Child, Command};
use std::sync::mpsc::{Sender, channel};
use std::sync::{LazyLock, Mutex};

struct Order {
    command: Command,
    reply: Sender<io::Result<Child>>,
}

/// The kernel signals a child when the thread that started it ends, so a thread that never ends
/// starts all.
static SPAWNER: LazyLock<Mutex<Sender<Order>>> = LazyLock::new(|| {
    let (orders, received) = channel::<Order>();
    std::thread::spawn(move || {
        for mut order in received {
            drop(order.reply.send(order.command.spawn()));
        }
    });
    Mutex::new(orders)
});

/// A command that runs `program` and has it killed when the process that spawned it is gone.
pub fn bound_command(program: &Path) -> Command {
    let mut command = Command::new("setpriv");
    command.args(["--pdeathsig", "KILL"]).arg(program);
    command
}

/// Starts a command of [`bound_command`]. Its process has the id of the child.
pub fn spawn(command: Command) -> io::Result<Child> {
    let (reply, child) = channel();
    let orders = SPAWNER.lock().expect("the spawner").clone();
    orders.send(Order { command, reply }).expect("the spawner");
    child.recv().expect("the spawner")
}
