//! Tests of parsing and hashing chat completion requests.

use entry::chat::{BLOCK_BYTES, ChatRequest, MAX_BLOCKS};
use fault::FaultKind;
use googletest::prelude::*;
use serde_json::json;

fn chat_of(turns: &[(&str, &str)]) -> ChatRequest {
    let messages: Vec<_> = turns
        .iter()
        .map(|(role, content)| json!({"role": role, "content": content}))
        .collect();
    let body = json!({"model": "bulletin", "messages": messages}).to_string();
    ChatRequest::read(body.as_bytes()).expect("the request is well formed")
}

fn long_text(phrase: &str) -> String {
    phrase.repeat(4 * BLOCK_BYTES / phrase.len())
}

#[gtest]
fn next_turn_of_a_chat_shares_the_prefixes_of_the_previous_turn() {
    let opening = long_text("Pardon de Sainte-Anne. ");
    let first = chat_of(&[("user", &opening)]);
    let second = chat_of(&[("user", &opening), ("assistant", &long_text("Oui. "))]);

    let (before, after) = (first.prefixes(), second.prefixes());

    let shared = before
        .iter()
        .zip(&after)
        .take_while(|(left, right)| left == right)
        .count();
    assert_that!(shared, ge(before.len() - 1));
    assert_that!(after.len(), gt(before.len()));
}

#[gtest]
fn chats_that_differ_early_share_no_prefix() {
    let left = chat_of(&[("user", &long_text("Messe à dix heures. "))]);
    let right = chat_of(&[("user", &long_text("messe à dix heures. "))]);

    let shared = left
        .prefixes()
        .iter()
        .any(|prefix| right.prefixes().contains(prefix));

    assert_that!(shared, eq(false));
}

#[gtest]
fn number_of_prefixes_is_bounded() {
    let text = "a".repeat(10 * MAX_BLOCKS * BLOCK_BYTES);

    let chat = chat_of(&[("user", &text)]);

    assert_that!(chat.prefixes(), len(eq(MAX_BLOCKS)));
}

#[gtest]
fn opening_of_a_chat_is_the_same_in_later_turns() {
    let system = ("system", "Tu rédiges le bulletin.");
    let first = chat_of(&[system, ("user", "Bonjour")]);
    let later = chat_of(&[
        system,
        ("user", "Bonjour"),
        ("assistant", "Oui"),
        ("user", "Merci"),
    ]);

    assert_that!(later.opening(), eq(&first.opening()));
}

#[gtest]
fn invalid_requests_are_malformed() {
    let bodies = [
        "",
        "[]",
        "{\"model\": \"bulletin\"}",
        "{\"model\": 1, \"messages\": []}",
    ];

    for body in bodies {
        let read = ChatRequest::read(body.as_bytes());

        let kind = read.map(|_| ()).map_err(|fault| fault.kind);
        expect_that!(kind, err(eq(FaultKind::MalformedRequest)), "{body}");
    }
}
