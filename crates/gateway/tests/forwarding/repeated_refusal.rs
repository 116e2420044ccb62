//! A faulty endpoint that writes an earlier refusal once more on a kept connection, at each moment of
//! the next call. What "not run" promises is judged by what the endpoints ran.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use googletest::prelude::*;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::fixture::{ScriptedEndpoint, call, length_of, read_exactly, read_head, request};
use crate::{listed_at, relay_of, run};

/// Time for which the endpoint runs a call, and in which bytes arrive.
const RUN_TIME: Duration = Duration::from_millis(20);

/// When the refusal is written once more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RepeatMoment {
    /// Together with the first time.
    AtOnce,
    /// While the connection is idle.
    Idle,
    /// When the next call has begun to arrive.
    AfterHead,
    /// When the next call has arrived.
    BeforeRun,
    /// While the next call runs.
    Running,
    /// In two parts, before and while the next call runs.
    Split,
}

const MOMENTS: [RepeatMoment; 6] = [
    RepeatMoment::AtOnce,
    RepeatMoment::Idle,
    RepeatMoment::AfterHead,
    RepeatMoment::BeforeRun,
    RepeatMoment::Running,
    RepeatMoment::Split,
];

/// An endpoint that refuses its first call, and runs all others.
struct FaultyEndpoint {
    moment: RepeatMoment,
    refusal: String,
    /// Bodies of the calls that it ran.
    ran: RefCell<Vec<String>>,
    has_refused: RefCell<bool>,
}

impl FaultyEndpoint {
    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        // What is left to be written of the repeated refusal on this connection.
        let mut repeated = String::new();
        while let Some(head) = read_head(&mut stream).await {
            if self.moment == RepeatMoment::AfterHead {
                write(&mut stream, &std::mem::take(&mut repeated)).await;
            }
            let body = read_exactly(&mut stream, length_of(&head)).await;
            if !self.has_refused.replace(true) {
                write(&mut stream, &self.refusal).await;
                repeated = self.refusal.clone();
                if self.moment == RepeatMoment::Idle {
                    sleep(RUN_TIME).await;
                }
                if matches!(self.moment, RepeatMoment::AtOnce | RepeatMoment::Idle) {
                    write(&mut stream, &std::mem::take(&mut repeated)).await;
                }
                continue;
            }
            let rest = repeated.split_off(match self.moment {
                RepeatMoment::BeforeRun => repeated.len(),
                RepeatMoment::Split => repeated.len() / 2,
                _ => 0,
            });
            write(&mut stream, &repeated).await;
            self.ran.borrow_mut().push(body);
            sleep(RUN_TIME).await;
            write(&mut stream, &rest).await;
            repeated.clear();
            let id = head
                .lines()
                .find(|line| line.to_ascii_lowercase().starts_with("x-attempt-id: "));
            let id = id.map(|line| format!("{line}\r\n")).unwrap_or_default();
            let answer =
                format!("HTTP/1.1 200 X\r\n{id}X-Server-Stamp: s1\r\nContent-Length: 2\r\n\r\nok");
            write(&mut stream, &answer).await;
        }
    }
}

async fn write(stream: &mut TcpStream, text: &str) {
    // The relay may have closed the connection.
    let _ = stream.write_all(text.as_bytes()).await;
}

/// The ids of the two calls, and the one that the refusal names; empty for none.
#[derive(Clone, Copy, Debug)]
struct CallIds {
    first: &'static str,
    second: &'static str,
    refusal: &'static str,
}

/// What the second call's caller was told, and how often it ran.
struct SecondCall {
    status: u16,
    runs: usize,
}

async fn second_call(path: &str, moment: RepeatMoment, ids: CallIds) -> SecondCall {
    let named = |id: &str| match id {
        "" => String::new(),
        id => format!("X-Attempt-Id: {id}\r\n"),
    };
    let faulty = Rc::new(FaultyEndpoint {
        moment,
        refusal: format!(
            "HTTP/1.1 503 X\r\n{}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
            named(ids.refusal)
        ),
        ran: RefCell::default(),
        has_refused: RefCell::default(),
    });
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback works");
    let address = listener.local_addr().expect("loopback works").to_string();
    let address = address.parse().expect("an IPv4 address");
    let accepting = Rc::clone(&faulty);
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            actix_rt::spawn(Rc::clone(&accepting).serve(stream));
        }
    });
    let other = ScriptedEndpoint::start("e2", vec![]).await;
    let listed = [
        listed_at("e1", address, 0),
        listed_at("e2", other.address, 1),
    ];
    let relay = relay_of(&listed).await;
    let call_with = |id: &str, body: &str| {
        let text = request(path, body);
        text.replace("X-Attempt-Id: a1\r\n", &named(id))
    };
    call(relay.address, &call_with(ids.first, "first")).await;
    sleep(RUN_TIME * 2).await;
    let answer = call(relay.address, &call_with(ids.second, "second")).await;
    // A call that the relay has given up may still run.
    sleep(RUN_TIME * 2).await;
    let ran = faulty.ran.borrow();
    let at_first = ran.iter().filter(|body| *body == "second").count();
    let received = other.received.borrow();
    let at_other = received.iter().filter(|text| text.ends_with("second"));
    SecondCall {
        status: answer.status(),
        runs: at_first + at_other.count(),
    }
}

/// Ids with which the refusal could be taken for that of the second call.
const ALL_IDS: [CallIds; 5] = [
    CallIds {
        first: "a1",
        second: "a2",
        refusal: "a1",
    },
    CallIds {
        first: "a1",
        second: "a2",
        refusal: "",
    },
    CallIds {
        first: "a1",
        second: "a1",
        refusal: "a1",
    },
    CallIds {
        first: "a1",
        second: "",
        refusal: "a1",
    },
    CallIds {
        first: "",
        second: "",
        refusal: "",
    },
];

// An operator's report: clients were told "not run" for calls that an endpoint ran, or these ran twice.
#[gtest]
fn repeated_refusal_is_taken_for_that_of_the_next_call() {
    for path in ["/unsafe/x", "/stream/x"] {
        for moment in MOMENTS {
            for ids in ALL_IDS {
                let call = run(second_call(path, moment, ids));

                let is_promise = [408, 421, 429, 503].contains(&call.status);
                let case = format!("{path} {moment:?} {ids:?}, status {}", call.status);
                expect_that!(call.runs, le(1), "{case}");
                expect_that!(is_promise && call.runs > 0, eq(false), "{case}");
            }
        }
    }
}
