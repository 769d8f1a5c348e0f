//! Sound responses with some bytes changed, or joined with others: what is read as a whole response has to be one by the grammar.
//! `PROPTEST_CASES=200000 cargo test -p daisysill-http --test mutations` runs longer.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support {
    pub(crate) mod grammar;
    pub(crate) mod read;
}

use daisysill_testkit::malformed_responses::{Body, sound_responses};
use proptest::{
    prelude::{ProptestConfig, Strategy, any, prop, prop_assert_eq, prop_oneof, proptest},
    sample::Index,
};
use support::{
    grammar,
    read::{Outcome, read},
};

const FIELDS: &str = "X-Request-Id: r1\r\n";
/// Cases of a run, unless `PROPTEST_CASES` says otherwise.
const CASES: u32 = 20_000;
/// What lenient parsers tend to pass over, and the parts of heads.
const FRAGMENTS: [&[u8]; 24] = [
    b" ",
    b"\t",
    b"\r",
    b"\n",
    b"\r\n",
    b":",
    b";",
    b",",
    b"+",
    b"-",
    b"=",
    b"\"",
    b"\\",
    b"\0",
    b"\x01",
    b"\x0b",
    b"\x7f",
    b"\xa0",
    b"\xc2\xa0",
    b"0",
    b"Content-Length: 15\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"HTTP/1.1 200 OK",
    b"X-Sum: 1\r\n",
];

/// A change to the bytes of a response.
#[derive(Clone, Debug)]
enum Edit {
    Replace(Index, u8),
    Insert(Index, &'static [u8]),
    Remove(Index, usize),
    /// Puts the start of another response before it.
    Join(Index, Index),
}

impl Edit {
    fn apply(&self, bytes: &mut Vec<u8>) {
        match self {
            Self::Replace(index, byte) => {
                let at = index.index(bytes.len() + 1);
                if let Some(replaced) = bytes.get_mut(at) {
                    *replaced = *byte;
                }
            }
            Self::Insert(index, fragment) => {
                let at = index.index(bytes.len() + 1);
                bytes.splice(at..at, fragment.iter().copied());
            }
            Self::Remove(index, count) => {
                let at = index.index(bytes.len() + 1);
                bytes.drain(at..bytes.len().min(at + count));
            }
            Self::Join(number, cut) => {
                let sound = sound_responses();
                let other = number.get(&sound).bytes(FIELDS, &Body::events());
                bytes.splice(0..0, other[..cut.index(other.len())].iter().copied());
            }
        }
    }
}

fn edit() -> impl Strategy<Value = Edit> {
    prop_oneof![
        4 => (any::<Index>(), any::<u8>()).prop_map(|(index, byte)| Edit::Replace(index, byte)),
        6 => (any::<Index>(), prop::sample::select(FRAGMENTS.to_vec()))
            .prop_map(|(index, fragment)| Edit::Insert(index, fragment)),
        3 => (any::<Index>(), 1..20_usize).prop_map(|(index, count)| Edit::Remove(index, count)),
        1 => (any::<Index>(), any::<Index>()).prop_map(|(number, cut)| Edit::Join(number, cut)),
    ]
}

/// Sound responses with up to three changes.
fn mutated() -> impl Strategy<Value = Vec<u8>> {
    let sound = prop::sample::select(sound_responses());
    (sound, prop::collection::vec(edit(), 0..4)).prop_map(|(sound, edits)| {
        let mut bytes = sound.bytes(FIELDS, &Body::events());
        for edit in &edits {
            edit.apply(&mut bytes);
        }
        bytes
    })
}

fn config() -> ProptestConfig {
    let default = ProptestConfig::default();
    let is_set = std::env::var_os("PROPTEST_CASES").is_some();
    ProptestConfig { cases: if is_set { default.cases } else { CASES }, failure_persistence: None, ..default }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a changed response that is read as a whole one although the grammar does not allow it, or with another body
    /// or status than it has.
    #[test]
    fn what_is_read_as_a_response_is_one(bytes in mutated()) {
        if let Outcome::Complete { status, body, bytes: count } = read([&bytes[..]]) {
            prop_assert_eq!(grammar::parse(&bytes[..count]), Some((status, body)));
        }
    }

    /// Guards against a sound response that is refused: whatever the grammar allows is read as it says.
    #[test]
    fn what_the_grammar_allows_is_read(bytes in mutated()) {
        if let Some((status, body)) = grammar::parse(&bytes) {
            prop_assert_eq!(read([&bytes[..]]), Outcome::Complete { status, body, bytes: bytes.len() });
        }
    }

    /// Guards against a response that is read in another way because it arrives in pieces.
    #[test]
    fn pieces_make_no_difference(bytes in mutated(), cuts in prop::collection::vec(any::<Index>(), 0..6)) {
        let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut.index(bytes.len() + 1)).collect();
        cuts.extend([0, bytes.len()]);
        cuts.sort_unstable();
        let pieces = cuts.windows(2).map(|cut| &bytes[cut[0]..cut[1]]);
        let whole = read([&bytes[..]]);
        prop_assert_eq!(&read(pieces), &whole);
        prop_assert_eq!(&read(bytes.chunks(1)), &whole);
    }
}

/// Guards against a grammar in this test that allows nothing.
#[test]
fn the_grammar_allows_sound_responses() {
    for sound in sound_responses() {
        assert_eq!(
            grammar::parse(&sound.bytes(FIELDS, &Body::events())),
            Some((200, Body::events().text().into_bytes())),
            "{}",
            sound.name
        );
    }
}
