//! Requests that reach an agent by the address of another one.

use std::time::Duration;

use bytes::Bytes;
use fake::fleet::TestFleet;
use fake::fleet::plan::{FLEET_SECRET, FleetPlan};
use fault::{Fault, FaultKind, RunOutcome};
use googletest::prelude::*;
use link::{LinkIdentity, LinkSecret, LinkSettings, PeerRole, connect};
use tokio::time::timeout;
use wire::LinkMessage;
use wire::answer::{AttemptKey, PriorityClass, RefuseNotice, SubmitRequest};
use wire::id::name_id;

/// Ends a test that hangs. No assertion depends on its value.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// A request for the plain service, as an entry sends it.
fn plain_request() -> SubmitRequest {
    SubmitRequest {
        key: AttemptKey {
            request: 7,
            attempt: 1,
        },
        account: name_id("mairie"),
        service: name_id("guichet"),
        model: None,
        class: PriorityClass::default(),
        idempotent: true,
        claim: None,
        fingerprint: 7,
        prefixes: Vec::new(),
        prompt_tokens: 0,
        deadline: Duration::from_secs(5),
        hops: 0,
        method: "GET".to_owned(),
        path: "/orders".to_owned(),
        headers: Vec::new(),
        body: Bytes::new(),
    }
}

/// Submits the request to the agent of an engine, and returns the refusal if there is one.
async fn submit_to_engine(fleet: &TestFleet) -> Option<RefuseNotice> {
    let identity = LinkIdentity {
        name: "entry-of-the-test".to_owned(),
        role: PeerRole::Entry,
    };
    let settings = LinkSettings::new(identity, LinkSecret::new(FLEET_SECRET));
    let mut link = connect(fleet.engines[0].link, &settings)
        .await
        .expect("the agent is up");
    let submit = LinkMessage::Submit(Box::new(plain_request()));
    link.sender.send(submit).await.expect("the link is up");
    loop {
        match link.receiver.next().await.expect("the link is up") {
            LinkMessage::Refused(notice) => return Some(notice),
            LinkMessage::Head(_) => return None,
            _ => {}
        }
    }
}

// Issue 26, the class: an endpoint is believed to be the one that had its address.
#[gtest]
fn request_runs_at_an_endpoint_of_another_service_that_has_the_address() {
    let fleet = TestFleet::start(&FleetPlan::default());

    let refusal = actix_rt::System::new().block_on(async {
        timeout(TEST_TIMEOUT, submit_to_engine(&fleet))
            .await
            .expect("the agent answers")
    });

    let fault = refusal.map(|notice| notice.fault);
    let kind = fault.as_ref().map(|fault| fault.kind);
    expect_that!(kind, some(eq(FaultKind::NoEndpoint)));
    let outcome = fault.as_ref().map(Fault::outcome);
    expect_that!(outcome, some(eq(RunOutcome::NotRun)));
}
