//! Conversion of members and updates to and from capnp messages.

use crate::peer_capnp::{leaving, member, note};
use coordination::leaving::Source;
use coordination::membership::{Member, State, Update};
use std::net::SocketAddr;

/// Writes a member into a message.
pub fn write_member(mut to: member::Builder<'_>, from: &Member) {
    to.set_id(from.id);
    to.set_peer(from.peer.to_string());
    to.set_http(from.http.to_string());
    to.set_data_centre(&from.data_centre);
    to.set_incarnation(from.incarnation);
    to.set_generation(from.generation);
    to.set_state(match from.state {
        State::Alive => member::State::Alive,
        State::Suspect => member::State::Suspect,
        State::Leaving => member::State::Leaving,
        State::Dead => member::State::Dead,
    });
}

/// Reads a member from a message.
///
/// # Errors
///
/// The message is malformed.
pub fn read_member(from: member::Reader<'_>) -> Result<Member, capnp::Error> {
    let state = match from.get_state()? {
        member::State::Alive => State::Alive,
        member::State::Suspect => State::Suspect,
        member::State::Leaving => State::Leaving,
        member::State::Dead => State::Dead,
    };
    Ok(Member {
        id: from.get_id(),
        peer: read_address(from.get_peer()?)?,
        http: read_address(from.get_http()?)?,
        data_centre: from.get_data_centre()?.to_string()?,
        incarnation: from.get_incarnation(),
        generation: from.get_generation(),
        state,
    })
}

fn write_source(source: Source) -> leaving::Witness {
    match source {
        Source::Target => leaving::Witness::Target,
        Source::Platform => leaving::Witness::Platform,
        Source::Operator => leaving::Witness::Operator,
        Source::Controller => leaving::Witness::Controller,
    }
}

fn read_source(source: leaving::Witness) -> Source {
    match source {
        leaving::Witness::Target => Source::Target,
        leaving::Witness::Platform => Source::Platform,
        leaving::Witness::Operator => Source::Operator,
        leaving::Witness::Controller => Source::Controller,
    }
}

fn read_address(text: capnp::text::Reader<'_>) -> Result<SocketAddr, capnp::Error> {
    let text = text.to_str()?;
    text.parse().map_err(|_| capnp::Error::failed(format!("invalid address: {text}")))
}

/// Writes updates into a message.
pub fn write_updates(mut to: capnp::struct_list::Builder<'_, note::Owned>, from: &[Update]) {
    for (index, update) in from.iter().enumerate() {
        let mut slot = to.reborrow().get(index as u32);
        match update {
            Update::Member(member) => write_member(slot.init_member(), member),
            Update::Leaving { target, stamp, leaving, source } => {
                let mut notice = slot.init_leaving();
                notice.set_target(target);
                notice.set_since(*stamp);
                notice.set_leaving(*leaving);
                notice.set_witness(write_source(*source));
            }
            Update::JobCancelled(job) => slot.set_cancel(job),
            Update::Generation(generation) => slot.set_generation(*generation),
            Update::JobAccepted(shard, at) => {
                let mut work = slot.init_work();
                work.set_shard(*shard);
                work.set_at(*at);
            }
        }
    }
}

/// Reads updates from a message.
///
/// # Errors
///
/// The message is malformed.
pub fn read_updates(
    from: capnp::struct_list::Reader<'_, note::Owned>,
) -> Result<Vec<Update>, capnp::Error> {
    from.iter().map(read_update).collect()
}

fn read_update(update: note::Reader<'_>) -> Result<Update, capnp::Error> {
    match update.which()? {
        note::Which::Member(member) => Ok(Update::Member(read_member(member?)?)),
        note::Which::Leaving(notice) => {
            let notice = notice?;
            Ok(Update::Leaving {
                target: notice.get_target()?.to_string()?,
                stamp: notice.get_since(),
                leaving: notice.get_leaving(),
                source: read_source(notice.get_witness()?),
            })
        }
        note::Which::Cancel(job) => Ok(Update::JobCancelled(job?.to_string()?)),
        note::Which::Generation(generation) => Ok(Update::Generation(generation)),
        note::Which::Work(work) => {
            let work = work?;
            Ok(Update::JobAccepted(work.get_shard(), work.get_at()))
        }
    }
}
