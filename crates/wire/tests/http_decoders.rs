//! Property tests: the decoders of the HTTP types do not panic on arbitrary input.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use daisysill_wire::http_types::{
    CacheEvents, ChatCompletionRequest, CompletionRequest, EngineEvent, EngineLoad, PlatformList,
    PublishRequest,
};
use proptest::{
    prelude::{Strategy, any, prop, prop_assert_eq, proptest},
    test_runner::{Config, RngSeed},
};
use serde_json::{Value, json};

const SEED: u64 = 20_261_204;

fn config() -> Config {
    Config { cases: 2_000, rng_seed: RngSeed::Fixed(SEED), failure_persistence: None, ..Config::default() }
}

/// Generates JSON of bounded depth with keys that the HTTP types use.
fn arbitrary_json() -> impl Strategy<Value = Value> {
    let leaf = proptest::prop_oneof![
        proptest::strategy::Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(|number| json!(number)),
        ".{0,12}".prop_map(Value::from),
    ];
    let key =
        "model|messages|prompt|stream|max_tokens|role|content|instances|events|seq|kind|piece|state|text";
    leaf.prop_recursive(4, 32, 4, move |inner| {
        proptest::prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            prop::collection::btree_map(key, inner, 0..6).prop_map(|map| json!(map)),
        ]
    })
}

fn decode_all(bytes: &[u8]) {
    let _ = serde_json::from_slice::<ChatCompletionRequest>(bytes);
    let _ = serde_json::from_slice::<CompletionRequest>(bytes);
    let _ = serde_json::from_slice::<EngineEvent>(bytes);
    let _ = serde_json::from_slice::<EngineLoad>(bytes);
    let _ = serde_json::from_slice::<CacheEvents>(bytes);
    let _ = serde_json::from_slice::<PlatformList>(bytes);
    let _ = serde_json::from_slice::<PublishRequest>(bytes);
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a decoder that panics on arbitrary bytes.
    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..256)) {
        decode_all(&bytes);
    }

    /// Guards against a decoder that panics on JSON of an unexpected shape.
    #[test]
    fn arbitrary_json_is_decoded_or_rejected(value in arbitrary_json()) {
        decode_all(value.to_string().as_bytes());
    }

    /// Guards against a request that changes when it is encoded and decoded again.
    #[test]
    fn a_completion_request_survives_a_round_trip(prompt in ".{0,64}", max_tokens in any::<Option<u32>>()) {
        let request = CompletionRequest {
            adapter: None,
            deadline_ms: None,
            max_tokens,
            model: "lyric-llm".to_owned(),
            prompt,
            stream: true,
        };
        let text = serde_json::to_vec(&request).unwrap();
        prop_assert_eq!(serde_json::from_slice::<CompletionRequest>(&text).unwrap(), request);
    }
}
