//! Connections from entries.

use std::rc::Rc;
use std::time::{Duration, Instant};

use claim::ResumeVerdict;
use fault::{Fault, FaultKind};
use kernel::limits::max_links;
use link::{Link, LinkSender, LinkSettings, PeerRole, accept};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;
use wire::LinkMessage;
use wire::answer::{AttemptKey, RefuseNotice, ResumeRequest};
use wire::message::DecisionReply;

use crate::core::AgentCore;

/// Pause after `accept` failed. The usual cause is a lack of file descriptors, so that an immediate
/// retry would fail as well.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections from entries until the process ends.
pub async fn serve_links(listener: TcpListener, settings: LinkSettings, core: Rc<AgentCore>) {
    let max_links = max_links();
    // Each open link holds a clone.
    let open = Rc::new(());
    loop {
        match listener.accept().await {
            Ok(_) if Rc::strong_count(&open) > max_links => {
                log::warn!("agent: link closed: limit of {max_links} links reached.");
            }
            Ok((stream, _)) => {
                let link = serve_link(stream, settings.clone(), Rc::clone(&core));
                let counted = Rc::clone(&open);
                actix_rt::spawn(async move {
                    link.await;
                    drop(counted);
                });
            }
            Err(error) => {
                log::warn!("agent: failed to accept a connection: {error}.");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_link(stream: TcpStream, settings: LinkSettings, core: Rc<AgentCore>) {
    let Link {
        peer,
        sender,
        mut receiver,
    } = match accept(stream, &settings).await {
        Ok(link) => link,
        Err(error) => {
            log::warn!("agent: closed an incoming connection whose handshake failed: {error}.");
            return;
        }
    };
    if peer.role != PeerRole::Entry {
        log::warn!(
            "agent: closed a connection from {}, which is not an entry.",
            peer.name
        );
        return;
    }
    loop {
        match receiver.next().await {
            Ok(message) => handle_message(&core, &sender, message),
            Err(error) => {
                log::debug!("agent: connection from {} ended: {error}.", peer.name);
                return;
            }
        }
    }
}

fn handle_message(core: &Rc<AgentCore>, sender: &LinkSender, message: LinkMessage) {
    match message {
        LinkMessage::Submit(submit) => core.submit(*submit, sender.clone()),
        LinkMessage::Ack(ack) => {
            if let Some(session) = core.session(ack.key) {
                session.ack(ack.offset);
            }
        }
        LinkMessage::Cancel(cancel) => {
            let fault = FaultKind::ConnectionLost.because("the caller left");
            core.cancel_attempt(cancel.key, fault);
        }
        LinkMessage::Resume(resume) => resume_attempt(core, sender, &resume),
        LinkMessage::QueryDecisions(request) => {
            let records = serde_json::to_string(&core.shared.decisions().find(request));
            let records = records.unwrap_or_default();
            let _ = sender.try_send(LinkMessage::Decisions(DecisionReply { request, records }));
        }
        other => log::debug!(
            "agent: ignored an unexpected message from an entry: {}.",
            other.kind()
        ),
    }
}

fn resume_attempt(core: &Rc<AgentCore>, sender: &LinkSender, resume: &ResumeRequest) {
    let key = resume.key;
    let verdict = core.attempts.borrow_mut().resume(Instant::now(), key);
    match (verdict, core.session(key)) {
        (ResumeVerdict::Refused(kind), _) => {
            refuse(core, sender, key, kind.because("the attempt was refused"));
        }
        (ResumeVerdict::Wait | ResumeVerdict::Stream, Some(session)) => {
            if let Err(error) = session.resume(resume, sender.clone()) {
                refuse(core, sender, key, lost_fault(&error.to_string()));
            }
        }
        (ResumeVerdict::Wait | ResumeVerdict::Stream, None) => {
            refuse(
                core,
                sender,
                key,
                lost_fault("the answer is no longer kept"),
            );
        }
        (ResumeVerdict::Lost, _) => {
            refuse(
                core,
                sender,
                key,
                lost_fault("this life of the agent has not seen it"),
            );
        }
    }
}

fn refuse(core: &AgentCore, sender: &LinkSender, key: AttemptKey, fault: Fault) {
    let notice = RefuseNotice {
        key,
        fault,
        load: core.load(),
    };
    let _ = sender.try_send(LinkMessage::Refused(notice));
}

fn lost_fault(message: &str) -> Fault {
    FaultKind::ConnectionLost.because(message)
}
