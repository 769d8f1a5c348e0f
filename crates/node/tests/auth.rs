//! Authentication of callers by the customers of the settings.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use actix_web::test::TestRequest;
use daisysill_core::result_code::ResultCode;
use daisysill_node::{auth::Authenticator, config::Config};

const SETTINGS: &str = "[node]\nname = a\navailability_zone = z\ncaller_listen = 127.0.0.1:0\nadmin_listen = 127.0.0.1:0\n\
    [cluster]\npeer_listen = 127.0.0.1:0\nsecret = 0123456789abcdef0123456789abcdef\n\
    [platform]\nurl = http://127.0.0.1:1\n[service.draft]\nkind = model\n";

/// Returns the code of the refusal of a request with this bearer token; `None` if it is admitted.
fn refusal(settings: &str, token: &str) -> Option<ResultCode> {
    let authenticator = Authenticator::new(&Config::parse("node.ini", settings).unwrap());
    let request = TestRequest::default().insert_header(("authorization", format!("Bearer {token}")));
    authenticator.authenticate(&request.to_http_request()).err().map(|refusal| refusal.code)
}

/// Guards against settings without a customer, the last of which was removed, that admit everyone.
#[test]
fn settings_without_customers_admit_no_token() {
    let digest = blake3::hash(b"token-1").to_hex();
    let customer = format!("{SETTINGS}[customer.house]\ntoken_digest = {digest}\nservices = draft\n");
    assert_eq!(refusal(&customer, "token-1"), None);
    assert_eq!(refusal(&customer, "token-9"), Some(ResultCode::TokenUnknown));
    assert_eq!(refusal(SETTINGS, "token-1"), Some(ResultCode::TokenUnknown));
}
