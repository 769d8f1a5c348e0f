//! The sample settings under `examples` are valid.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::path::Path;

use assert_cmd::Command;

/// Guards against sample settings that daisysilld refuses.
#[test]
fn sample_settings_are_valid() {
    for sample in ["bangkok/sathorn-1.ini", "bengal/howrah-1.ini"] {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(sample);
        let output =
            Command::cargo_bin("daisysilld").unwrap().arg("--check-settings").arg(path).output().unwrap();
        assert!(output.status.success(), "{output:?}");
    }
}
