//! The replicated state of a gateway as the state machine of a simulated member. Each value stands
//! for one order.

use gateway::evacuation::{
    LogCommand, apply_order, decode_command, decode_snapshot, encode_command, encode_snapshot,
};
use wire::codec;
use wire::gateway::{CatalogText, EvacuationAction, EvacuationOrder, EvacuationState};

/// Failure domains that orders name.
const DOMAINS: u64 = 3;

#[derive(Default)]
pub(crate) struct FakeMachine {
    /// The applied orders. The catalog of a snapshot carries them.
    pub(crate) values: Vec<u64>,
    pub(crate) evacuations: EvacuationState,
}

impl FakeMachine {
    pub(crate) fn apply(&mut self, command: &[u8]) {
        match decode_command(command).expect("an order") {
            LogCommand::Evacuate(order) => {
                self.values.push(order.at_ms);
                apply_order(&mut self.evacuations, &order);
            }
            LogCommand::Catalog(_) => panic!("an order was read as a catalog"),
        }
    }

    pub(crate) fn snapshot(&self) -> Vec<u8> {
        let catalog = CatalogText {
            version: 1,
            compressed: codec::encode_state(&self.values).expect("values have an encoding"),
        };
        encode_snapshot(&catalog, &self.evacuations).expect("the state has an encoding")
    }

    pub(crate) fn restore(state: &[u8]) -> Self {
        let (catalog, evacuations) = decode_snapshot(state).expect("a snapshot");
        Self {
            values: codec::decode_state(&catalog.compressed).expect("values"),
            evacuations,
        }
    }
}

/// The order for which a value stands. Begins and revocations alternate irregularly, so that some
/// orders change nothing.
pub(crate) fn order_of(value: u64) -> EvacuationOrder {
    EvacuationOrder {
        domain: format!("domain-{}", value % DOMAINS),
        action: match (value / DOMAINS) % 5 {
            0 | 2 => EvacuationAction::Begin,
            _ => EvacuationAction::Finish,
        },
        at_ms: value,
    }
}

/// The command that carries the order of a value.
pub(crate) fn command_of(value: u64) -> Vec<u8> {
    encode_command(&LogCommand::Evacuate(order_of(value))).expect("a small command")
}
