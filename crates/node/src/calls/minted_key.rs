//! Idempotency keys that this VM mints: their texts and signatures.

use crate::state::NodeShared;
use skylarkshed_core::{CustomerName, IncarnationId, ServiceName, VmName};

const KEY_PREFIX: &str = "mk1";
const SEPARATOR: char = '~';

/// A minted key, parsed from its text.
#[derive(Clone, Debug)]
pub(crate) struct MintedKey {
    pub(crate) vm: VmName,
    pub(crate) incarnation: IncarnationId,
    pub(crate) serial: u64,
}

impl MintedKey {
    /// Reports whether this process minted the key. Two VMs that start in the same
    /// millisecond have the same incarnation.
    pub(crate) fn is_own(&self, shared: &NodeShared) -> bool {
        self.vm == shared.settings.name && self.incarnation == shared.incarnation
    }
}

/// Mints keys for a customer and a service; fewer if the limit of kept keys is reached.
pub(crate) fn mint(
    shared: &NodeShared,
    customer: &CustomerName,
    service: &ServiceName,
    count: usize,
) -> Vec<String> {
    let mut minted_keys = shared.minted_keys.lock().expect("not poisoned");
    let serials = (0..count).map_while(|_| minted_keys.mint());
    serials
        .map(|serial| format_key(shared, customer, service, serial))
        .collect()
}

/// Reports whether a text has the form of a minted key.
pub(crate) fn has_minted_form(text: &str) -> bool {
    text.split(SEPARATOR).next() == Some(KEY_PREFIX) && text.contains(SEPARATOR)
}

/// Parses a minted key; returns `None` if it was not minted for this customer and service.
pub(crate) fn parse_key(
    shared: &NodeShared,
    customer: &CustomerName,
    service: &ServiceName,
    text: &str,
) -> Option<MintedKey> {
    let fields: Vec<&str> = text.split(SEPARATOR).collect();
    let [KEY_PREFIX, vm, incarnation, serial, code] = <[&str; 5]>::try_from(fields).ok()? else {
        return None;
    };
    let signed_text = format!("{KEY_PREFIX}~{vm}~{incarnation}~{serial}");
    let expected = code_hex(shared, customer, service, &signed_text);
    // The comparison of `blake3` hashes takes constant time.
    if blake3::hash(expected.as_bytes()) != blake3::hash(code.as_bytes()) {
        return None;
    }
    Some(MintedKey {
        vm: vm.into(),
        incarnation: incarnation.parse().ok()?,
        serial: serial.parse().ok()?,
    })
}

fn format_key(
    shared: &NodeShared,
    customer: &CustomerName,
    service: &ServiceName,
    serial: u64,
) -> String {
    let vm = &shared.settings.name;
    let signed_text = format!("{KEY_PREFIX}~{vm}~{}~{serial}", shared.incarnation);
    let code = code_hex(shared, customer, service, &signed_text);
    format!("{signed_text}~{code}")
}

fn code_hex(
    shared: &NodeShared,
    customer: &CustomerName,
    service: &ServiceName,
    signed_text: &str,
) -> String {
    let code = shared
        .peer_key
        .authentication_code(format!("{customer}~{service}~{signed_text}").as_bytes());
    code.iter().map(|byte| format!("{byte:02x}")).collect()
}
