//! The steps of the quickstart's tour. Each prints its observations and fails if a guarantee is
//! violated.

use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::caller::{CallAnswer, CallError, CallerSettings, ChatCall, FleetCaller, Result};

/// Number of returning chats.
const RETURNING_CHATS: usize = 6;
/// Number of turns of each returning chat.
const TURNS: usize = 3;
/// Longest time to wait until the fleet is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause between two readiness checks.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Parameters of the load step.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Name of the requested model.
    pub model: String,
    /// Number of concurrent callers.
    pub callers: usize,
    /// Number of calls of each caller.
    pub calls: usize,
    /// Number of tokens of each answer.
    pub tokens: u64,
}

/// Waits until an entry answers a request for `model`.
///
/// # Errors
/// The entry does not do so within the time limit.
pub async fn wait_until_ready(settings: &CallerSettings, model: &str) -> Result<()> {
    let caller = FleetCaller::new(settings.clone());
    let deadline = Instant::now() + READY_TIMEOUT;
    loop {
        let call = ChatCall {
            model: model.to_owned(),
            tokens: 1,
            ..ChatCall::default()
        };
        let last = match caller.chat(&call).await {
            Ok(answer) if answer.status == 200 => return Ok(()),
            Ok(answer) => answer.body,
            Err(error) => error.reason,
        };
        if Instant::now() >= deadline {
            return Err(failure(format!("the fleet is not ready: {last}")));
        }
        sleep(READY_POLL_INTERVAL).await;
    }
}

/// Runs chats of several turns and checks that every later turn finds cached tokens. Prints the id
/// of the last request.
///
/// # Errors
/// An answer is incomplete, or a later turn found no cached tokens.
pub async fn run_returning_chats(settings: &CallerSettings, model: &str) -> Result<()> {
    let caller = FleetCaller::new(settings.clone());
    let (mut warm, mut returned) = (0, 0);
    let mut last = CallAnswer::default();
    for chat in 0..RETURNING_CHATS {
        let mut call = ChatCall {
            model: model.to_owned(),
            chat: format!("chat-{chat}"),
            prompt: opening_prompt(chat),
            tokens: 20,
            hint: String::new(),
        };
        for turn in 0..TURNS {
            last = caller.chat(&call).await?;
            let tokens = last.stream_tokens()?;
            ensure(
                tokens == call.tokens,
                "an answer does not have the requested length",
            )?;
            println!(
                "  chat {chat} turn {turn}: {tokens} tokens, {} cached",
                last.cached_tokens
            );
            if turn > 0 {
                returned += 1;
                warm += usize::from(last.cached_tokens > 0);
            }
            call.hint = last.hint.clone();
            call.prompt
                .push_str(" Merci. Et pour le dimanche suivant, que faut-il annoncer ?");
        }
    }
    println!("  {warm} of {returned} returning turns found cached tokens.");
    println!("  request {}", last.request);
    ensure(
        warm == returned,
        "a returning chat found no cached tokens although nothing failed",
    )
}

/// Calls with a key that belongs to no client account.
///
/// # Errors
/// The call is not refused with status 401 and outcome `not-run`.
pub async fn call_with_unknown_key(settings: &CallerSettings, model: &str) -> Result<()> {
    let settings = CallerSettings {
        key: "no-such-key".to_owned(),
        ..settings.clone()
    };
    let call = ChatCall {
        model: model.to_owned(),
        ..ChatCall::default()
    };
    let answer = FleetCaller::new(settings).chat(&call).await?;
    println!(
        "  status {}, outcome {}: {}",
        answer.status, answer.outcome, answer.body
    );
    ensure(
        answer.status == 401 && answer.outcome == "not-run",
        "the call with an unknown key was not refused as not run",
    )
}

/// Sends one order twice under the same idempotency key, through two entries.
///
/// # Errors
/// The order did not run exactly once, or the answers differ.
pub async fn order_twice(entries: [&CallerSettings; 2], service: &str, key: &str) -> Result<()> {
    let path = format!("/service/{service}/orders");
    let order = json!({"letters": 120, "postage": "lettre verte"});
    let [first, second] = entries.map(|settings| FleetCaller::new(settings.clone()));
    let before = count_orders(&first, &path).await?;
    let answer = first.post(&path, key, &order).await?;
    let repeated = second.post(&path, key, &order).await?;
    let after = count_orders(&first, &path).await?;
    println!("  first:  {} {}", answer.status, answer.body);
    println!("  second: {} {}", repeated.status, repeated.body);
    println!("  orders at the service: {before} before, {after} after");
    ensure(after == before + 1, "the order did not run exactly once")?;
    ensure(answer.status == 201, "the order was not placed")?;
    ensure(
        answer.body == repeated.body,
        "the second answer differs from the first one",
    )
}

/// Runs concurrent callers and checks that each answer is complete.
///
/// # Errors
/// A call was refused, or an answer was cut off or had another length.
pub async fn run_load(entries: &[CallerSettings], load: &LoadSettings) -> Result<()> {
    let load = Rc::new(load.clone());
    let callers = (0..load.callers).map(|index| {
        let settings = entries[index % entries.len()].clone();
        run_caller(settings, Rc::clone(&load), index)
    });
    let results = join_all(callers).await;
    let mut whole = 0;
    for result in results {
        whole += result?;
    }
    println!("  {whole} answers of {} tokens, all complete", load.tokens);
    ensure(whole == load.callers * load.calls, "an answer is missing")
}

async fn run_caller(
    settings: CallerSettings,
    load: Rc<LoadSettings>,
    index: usize,
) -> Result<usize> {
    let caller = FleetCaller::new(settings);
    let mut whole = 0;
    for number in 0..load.calls {
        let call = ChatCall {
            model: load.model.clone(),
            chat: format!("load-{index}"),
            prompt: format!("{} {number}", opening_prompt(index)),
            tokens: load.tokens,
            hint: String::new(),
        };
        let answer = caller.chat(&call).await?;
        if answer.status != 200 {
            return Err(failure(format!(
                "a call was refused: {} {}",
                answer.status, answer.body
            )));
        }
        ensure(
            answer.stream_tokens()? == load.tokens,
            "an answer does not have the requested length",
        )?;
        whole += 1;
    }
    Ok(whole)
}

async fn count_orders(caller: &FleetCaller, path: &str) -> Result<u64> {
    let answer = caller.get(path).await?;
    let body: Value = serde_json::from_str(&answer.body)
        .map_err(|error| failure(format!("{error}: {}", answer.body)))?;
    body["orders"]
        .as_u64()
        .ok_or_else(|| failure(format!("missing order count: {}", answer.body)))
}

fn opening_prompt(chat: usize) -> String {
    let sentence = "Rédige le bulletin de la paroisse avec les messes, le pardon et les obsèques. ";
    format!("Paroisse {chat}. {}", sentence.repeat(6))
}

fn ensure(holds: bool, reason: &str) -> Result<()> {
    if holds {
        Ok(())
    } else {
        Err(failure(reason.to_owned()))
    }
}

fn failure(reason: String) -> CallError {
    CallError { reason }
}
