//! The sample rule files under `examples` are valid.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::path::Path;

use assert_cmd::Command;

/// Guards against sample rule files that `daisysill check` refuses.
#[test]
fn sample_rules_are_valid() {
    for deployment in ["bangkok", "bengal"] {
        let folder =
            Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(deployment).join("rules");
        let output = Command::cargo_bin("daisysill").unwrap().arg("check").arg(folder).output().unwrap();
        assert!(output.status.success(), "{output:?}");
    }
}
