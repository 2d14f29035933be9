//! Decoding of arbitrary datagrams.

use juniper_membership::Message;
use quickcheck::{Gen, QuickCheck};

const CASES: u64 = 3_000;
const SIZE: usize = 120;
const SEED: u64 = 0x3e3b;

#[test]
fn random_payloads_never_panic_and_decode_to_the_same_message_again() {
    fn property(bytes: Vec<u8>) -> bool {
        match minicbor::decode::<Message>(&bytes) {
            Ok(message) => {
                let encoded = minicbor::to_vec(&message).expect("plain data");
                minicbor::decode::<Message>(&encoded).is_ok_and(|decoded| decoded == message)
            }
            Err(_) => true,
        }
    }
    let generator = Gen::from_size_and_seed(SIZE, SEED);
    QuickCheck::new().rng(generator).tests(CASES).quickcheck(property as fn(Vec<u8>) -> bool);
}
