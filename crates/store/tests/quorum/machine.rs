//! The state machine of a simulated member: a list of values. Tests of other crates replace it by
//! their own.

/// All values that were applied, in order.
#[derive(Default)]
pub(crate) struct FakeMachine {
    pub(crate) values: Vec<u64>,
}

impl FakeMachine {
    pub(crate) fn apply(&mut self, command: &[u8]) {
        self.values.extend(decode_values(command));
    }

    pub(crate) fn snapshot(&self) -> Vec<u8> {
        self.values.iter().copied().flat_map(command_of).collect()
    }

    pub(crate) fn restore(state: &[u8]) -> Self {
        Self {
            values: decode_values(state),
        }
    }
}

/// The command that adds a value.
pub(crate) fn command_of(value: u64) -> Vec<u8> {
    value.to_le_bytes().to_vec()
}

fn decode_values(bytes: &[u8]) -> Vec<u64> {
    let chunks = bytes.chunks_exact(8);
    let parse = |chunk: &[u8]| u64::from_le_bytes(chunk.try_into().expect("chunk has 8 bytes"));
    chunks.map(parse).collect()
}
