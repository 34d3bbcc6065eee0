//! Members and news as messages.

use crate::peer_capnp::{leaving, member, note};
use coordination::leaving::Source;
use coordination::membership::{Member, State, Update};
use std::net::SocketAddr;

/// Writes a member.
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

/// Reads a member.
///
/// # Errors
///
/// What is wrong with the message.
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

fn write_witness(witness: Source) -> leaving::Witness {
    match witness {
        Source::Target => leaving::Witness::Target,
        Source::Platform => leaving::Witness::Platform,
        Source::Operator => leaving::Witness::Operator,
        Source::Controller => leaving::Witness::Controller,
    }
}

fn read_witness(witness: leaving::Witness) -> Source {
    match witness {
        leaving::Witness::Target => Source::Target,
        leaving::Witness::Platform => Source::Platform,
        leaving::Witness::Operator => Source::Operator,
        leaving::Witness::Controller => Source::Controller,
    }
}

fn read_address(text: capnp::text::Reader<'_>) -> Result<SocketAddr, capnp::Error> {
    let text = text.to_str()?;
    text.parse().map_err(|_| capnp::Error::failed(format!("not an address: {text}")))
}

/// Writes news.
pub fn write_notes(mut to: capnp::struct_list::Builder<'_, note::Owned>, from: &[Update]) {
    for (index, note) in from.iter().enumerate() {
        let mut slot = to.reborrow().get(index as u32);
        match note {
            Update::Member(member) => write_member(slot.init_member(), member),
            Update::Leaving { target, stamp: since, leaving, source: witness } => {
                let mut word = slot.init_leaving();
                word.set_target(target);
                word.set_since(*since);
                word.set_leaving(*leaving);
                word.set_witness(write_witness(*witness));
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

/// Reads news.
///
/// # Errors
///
/// What is wrong with the message.
pub fn read_notes(
    from: capnp::struct_list::Reader<'_, note::Owned>,
) -> Result<Vec<Update>, capnp::Error> {
    from.iter().map(read_note).collect()
}

fn read_note(note: note::Reader<'_>) -> Result<Update, capnp::Error> {
    match note.which()? {
        note::Which::Member(member) => Ok(Update::Member(read_member(member?)?)),
        note::Which::Leaving(word) => {
            let word = word?;
            Ok(Update::Leaving {
                target: word.get_target()?.to_string()?,
                stamp: word.get_since(),
                leaving: word.get_leaving(),
                source: read_witness(word.get_witness()?),
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
