//! Compatibility with releases before registers. These encode the contents of a partition as a single byte string, called a whole value
//! here, both in stored records and in messages, which are exchanged while a cluster is upgraded node by node.
//!
//! Records and messages of such a release are converted to registers when they are read or received, and messages to nodes of such a
//! release are converted when they are sent; the consensus handles registers only. The module can be removed once no stored record and
//! no running node is of such a release.

use ivyhatch_protocol::configuration::Document;
use ivyhatch_protocol::ids::PartitionId;
use ivyhatch_protocol::peer::{AcceptedValue, ConsensusMessage, LegacyAcceptorState, TransferredState};
use ivyhatch_protocol::registers::{
    RegisterChanges, RegisterKey, RegisterMap, RegisterWrite, StateUpdate, UpdateBase, Version, writes_digest,
};
use speedy::{Readable, Writable};

use super::acceptor::Acceptor;
use super::configuration_registers::{ItemPositions, configuration_registers, read_configuration};
use super::partition_state::{ConfigurationState, EvacuationState, PartitionState};

/// The contents of the configuration's partition, as releases before registers encode them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct WholeConfiguration {
    /// The current configuration.
    pub document: Document,
    /// Digests of the applied requests, oldest first.
    pub applied_digests: Vec<u64>,
}

impl From<WholeConfiguration> for ConfigurationState {
    fn from(whole: WholeConfiguration) -> Self {
        let WholeConfiguration { document, applied_digests } = whole;
        let item_positions = ItemPositions::default().updated(&Document::default(), &document);
        Self { document, applied_digests, first_applied: 0, item_positions }
    }
}

/// The registers for a whole value. A value that can't be decoded is kept unchanged in one register, as the change still counts as accepted
/// under its sequence number.
fn to_registers(partition: PartitionId, value: &[u8]) -> RegisterChanges {
    let registers = match partition {
        PartitionId::CONFIGURATION => WholeConfiguration::read_from_buffer(value)
            .map(|configuration| configuration_registers(&ConfigurationState::from(configuration))),
        PartitionId::MEMBERSHIP => Ok(vec![(RegisterKey::Membership, Some(value.to_vec().into()))]),
        _ => EvacuationState::read_from_buffer(value).map(|state| state.registers()),
    };
    registers.unwrap_or_else(|_| vec![(RegisterKey::Undecodable, Some(value.to_vec().into()))])
}

/// Converts a whole value to an update that holds all registers.
pub fn to_update(partition: PartitionId, accepted: &AcceptedValue) -> StateUpdate {
    let AcceptedValue { ballot, sequence, value } = accepted;
    let (version, sequence) = (Version { ballot: *ballot, sequence: *sequence }, *sequence);
    let write = |(key, value)| RegisterWrite { key, sequence, value };
    let writes: Vec<RegisterWrite> = to_registers(partition, value).into_iter().map(write).collect();
    let digest = writes_digest(&writes);
    StateUpdate { version, base: UpdateBase::Empty, writes, digest }
}

/// Converts an update that holds all registers to a whole value; `None` where the registers can't be decoded.
pub fn to_whole_value(partition: PartitionId, update: StateUpdate) -> Option<AcceptedValue> {
    let Version { ballot, sequence } = update.version;
    let registers = RegisterMap::from_snapshot(sequence, update.writes);
    let value = match registers.value(&RegisterKey::Undecodable) {
        Some(value) => value.to_vec(),
        None => encode_registers(partition, &registers)?,
    };
    Some(AcceptedValue { ballot, sequence, value })
}

fn encode_registers(partition: PartitionId, registers: &RegisterMap) -> Option<Vec<u8>> {
    match partition {
        PartitionId::MEMBERSHIP => registers.value(&RegisterKey::Membership).map(|value| value.to_vec()),
        PartitionId::CONFIGURATION => {
            let ConfigurationState { document, applied_digests, .. } = read_configuration(registers)?;
            WholeConfiguration { document, applied_digests }.write_to_vec().ok()
        }
        _ => match PartitionState::from_registers(partition, registers)? {
            PartitionState::Evacuations(evacuations) => evacuations.write_to_vec().ok(),
            PartitionState::Configuration(_) => None,
        },
    }
}

/// Converts what a node of a release before registers has promised and accepted.
pub fn to_transferred_state(partition: PartitionId, legacy: &LegacyAcceptorState) -> TransferredState {
    let accepted = legacy.accepted.as_ref().map(|value| to_update(partition, value));
    TransferredState { promised: legacy.promised, accepted }
}

/// What this replica has promised and accepted, for a node of a release before registers.
pub fn to_whole_state(partition: PartitionId, acceptor: &Acceptor) -> LegacyAcceptorState {
    LegacyAcceptorState { promised: acceptor.promised(), accepted: accepted_value(partition, acceptor) }
}

fn accepted_value(partition: PartitionId, acceptor: &Acceptor) -> Option<AcceptedValue> {
    let has_accepted = acceptor.accepted().sequence > 0;
    has_accepted.then(|| to_whole_value(partition, acceptor.accepted_update(None))).flatten()
}

/// Whether the sender of a message understands registers; `None` where the message does not show it.
pub fn sender_supports_registers(message: &ConsensusMessage) -> Option<bool> {
    match message {
        ConsensusMessage::LegacyPrepare { .. }
        | ConsensusMessage::LegacyPromise { .. }
        | ConsensusMessage::LegacyAccept(_)
        | ConsensusMessage::LegacyFetch { .. }
        | ConsensusMessage::LegacyCommitted(_) => Some(false),
        ConsensusMessage::Prepare { .. }
        | ConsensusMessage::Promise { .. }
        | ConsensusMessage::Accept(_)
        | ConsensusMessage::Behind { .. }
        | ConsensusMessage::Fetch { .. }
        | ConsensusMessage::Committed(_) => Some(true),
        _ => None,
    }
}

/// Converts a message of a release before registers to the corresponding message with registers; returns any other message unchanged.
pub fn to_register_message(partition: PartitionId, message: ConsensusMessage) -> ConsensusMessage {
    match message {
        ConsensusMessage::LegacyPrepare { ballot } => {
            ConsensusMessage::Prepare { ballot, committed: None, accepted: Version::default() }
        }
        ConsensusMessage::LegacyPromise { ballot, accepted } => {
            let accepted = accepted.map(|value| to_update(partition, &value));
            ConsensusMessage::Promise { ballot, accepted, committed: 0 }
        }
        ConsensusMessage::LegacyAccept(value) => ConsensusMessage::Accept(to_update(partition, &value)),
        ConsensusMessage::LegacyFetch { after } => ConsensusMessage::Fetch { committed: Some(after) },
        ConsensusMessage::LegacyCommitted(value) => ConsensusMessage::Committed(to_update(partition, &value)),
        message => message,
    }
}

/// Converts a message of this replica for a node of a release before registers; `None` where there is nothing to send to that node.
/// If the message carries contents, these are the complete contents that the acceptor has now.
pub fn to_whole_value_message(
    partition: PartitionId,
    message: &ConsensusMessage,
    acceptor: &Acceptor,
) -> Option<ConsensusMessage> {
    match message {
        ConsensusMessage::Prepare { ballot, .. } => Some(ConsensusMessage::LegacyPrepare { ballot: *ballot }),
        ConsensusMessage::Promise { ballot, .. } => {
            let accepted = accepted_value(partition, acceptor);
            Some(ConsensusMessage::LegacyPromise { ballot: *ballot, accepted })
        }
        ConsensusMessage::Accept(_) => {
            accepted_value(partition, acceptor).map(ConsensusMessage::LegacyAccept)
        }
        ConsensusMessage::Behind { .. } => None,
        ConsensusMessage::Fetch { committed } => {
            Some(ConsensusMessage::LegacyFetch { after: committed.unwrap_or_default() })
        }
        ConsensusMessage::Committed(_) => {
            to_whole_value(partition, acceptor.committed_update(None)).map(ConsensusMessage::LegacyCommitted)
        }
        message => Some(message.clone()),
    }
}
