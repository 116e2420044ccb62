//! Answers operators' requests on the node's thread.

use std::cell::RefCell;
use std::rc::Rc;

use fault::{Fault, FaultKind};
use serde::Serialize;
use serde_json::Value;
use settings::fleet::OperatorRole;
use settings::operator::{
    BranchResponse, ChangeRequest, ChangeResponse, DiffResponse, HistoryEntry, HistoryResponse,
    LiftResponse, OriginResponse, QuarantineResponse, fingerprint_text,
};
use settings::{FleetSettings, SettingsTree};
use wire::command::{ControlCommand, ControlReply, SettingsChange};
use wire::id::{FingerprintHash, SettingsVersion};

use crate::node::ControlNode;
use crate::operator::{DiffQuery, OperatorAction, SettingsQuery};
use crate::operator_status::StatusReply;

/// Result of an operator's request.
pub type Result<T> = fault::Result<T>;

/// Answers operators' requests from the node's state and the quorum.
pub struct OperatorHandler {
    node: Rc<ControlNode>,
    /// Cache of the resolved settings, of the version that was current at the last request.
    fleet: RefCell<Rc<FleetSettings>>,
}

impl OperatorHandler {
    /// A handler for `node`.
    pub fn new(node: Rc<ControlNode>) -> Self {
        Self {
            node,
            fleet: RefCell::default(),
        }
    }

    /// Authorizes the operator and answers the request.
    ///
    /// A read waits until a quorum confirms that this instance has the latest state. The status
    /// does not, so that it is available without a quorum. A change is decided by the quorum
    /// anyway, so a recent confirmation is enough to check the operator's key.
    ///
    /// # Errors
    /// The fault to answer the operator with.
    pub async fn handle(
        &self,
        authorization: Option<&str>,
        action: OperatorAction,
    ) -> Result<Value> {
        match action {
            OperatorAction::Ready => return self.ready(),
            OperatorAction::Metrics => return self.node.expose_metrics().map(Value::String),
            OperatorAction::Status => {}
            OperatorAction::Change(_) | OperatorAction::Lift(_)
                if self.node.quorum.is_confirmed() => {}
            _ => self.node.confirm_read().await?,
        }
        let operator = self.authorize(authorization, &action)?;
        match action {
            OperatorAction::Get(query) => self.get(&query),
            OperatorAction::Change(request) => self.change(operator, request).await,
            OperatorAction::History { limit } => self.history(limit),
            OperatorAction::Diff(query) => self.diff(query),
            OperatorAction::Status => to_json(&StatusReply::of(&self.node)),
            OperatorAction::Quarantine => self.list_quarantined(),
            OperatorAction::Ready | OperatorAction::Metrics => Ok(Value::Null),
            OperatorAction::Lift(fingerprint) => self.lift(fingerprint).await,
        }
    }

    /// Ready while a quorum has confirmed recently that this instance has the latest state.
    fn ready(&self) -> Result<Value> {
        if self.node.quorum.is_confirmed() {
            return Ok(Value::String("ready".to_owned()));
        }
        Err(FaultKind::ControlUnreachable.because("no quorum confirms this instance"))
    }

    /// Returns the name of the operator if the operator's role permits the action.
    fn authorize(&self, authorization: Option<&str>, action: &OperatorAction) -> Result<String> {
        let role = match action {
            OperatorAction::Change(_) | OperatorAction::Lift(_) => OperatorRole::Change,
            _ => OperatorRole::Read,
        };
        let fleet = self.fleet();
        let (name, _) = fleet.authorize_operator(authorization, role)?;
        Ok(name.to_owned())
    }

    /// The resolved settings of the current version, from the cache if it is up to date.
    fn fleet(&self) -> Rc<FleetSettings> {
        let state = self.node.state.borrow();
        let mut fleet = self.fleet.borrow_mut();
        if fleet.version != state.settings.version() {
            *fleet = Rc::new(state.settings.resolved().unwrap_or_default());
        }
        Rc::clone(&fleet)
    }

    fn get(&self, query: &SettingsQuery) -> Result<Value> {
        let (version, tree) = self.tree(query.version)?;
        if query.origin {
            let values = tree.resolved_values(&query.path);
            let values = values.into_iter().map(Into::into).collect();
            return to_json(&OriginResponse { version, values });
        }
        let value = tree.get(&query.path);
        to_json(&BranchResponse { version, value })
    }

    /// The requested version and its tree; the current version for `None`.
    fn tree(&self, version: Option<SettingsVersion>) -> Result<(SettingsVersion, SettingsTree)> {
        let state = self.node.state.borrow();
        let version = version.unwrap_or(state.settings.version());
        let tree = state.settings.tree_at(version);
        let tree = tree.ok_or_else(|| not_kept(version))?;
        Ok((version, tree))
    }

    async fn change(&self, operator: String, request: ChangeRequest) -> Result<Value> {
        let change = SettingsChange {
            change_id: request.change_id,
            base: request.base,
            operator,
            edits: request.edits,
        };
        let command = ControlCommand::ChangeSettings(change);
        match self.node.propose_change(command).await {
            ControlReply::SettingsAccepted(version) => to_json(&ChangeResponse { version }),
            other => Err(refusal(other)),
        }
    }

    fn history(&self, limit: usize) -> Result<Value> {
        let state = self.node.state.borrow();
        let records = state.settings.records().rev().take(limit);
        to_json(&HistoryResponse {
            version: state.settings.version(),
            changes: records.map(HistoryEntry::from).collect(),
        })
    }

    fn diff(&self, query: DiffQuery) -> Result<Value> {
        let DiffQuery { from, to } = query;
        let (_, before) = self.tree(Some(from))?;
        let (_, after) = self.tree(Some(to))?;
        let edits = before.diff(&after);
        to_json(&DiffResponse { from, to, edits })
    }

    fn list_quarantined(&self) -> Result<Value> {
        let state = self.node.state.borrow();
        let fingerprints = state.suspects.quarantined();
        let quarantined = fingerprints.into_iter().map(fingerprint_text).collect();
        to_json(&QuarantineResponse { quarantined })
    }

    async fn lift(&self, fingerprint: FingerprintHash) -> Result<Value> {
        let command = ControlCommand::LiftQuarantine { fingerprint };
        match self.node.propose_change(command).await {
            ControlReply::Recorded => {
                let lifted = fingerprint_text(fingerprint);
                to_json(&LiftResponse { lifted })
            }
            other => Err(refusal(other)),
        }
    }
}

fn refusal(reply: ControlReply) -> Fault {
    match reply {
        ControlReply::Refused(fault) => fault,
        other => FaultKind::Internal.because(format!("unexpected reply {other:?}")),
    }
}

fn not_kept(version: SettingsVersion) -> Fault {
    FaultKind::MalformedRequest.because(format!("version {version} does not exist or is not kept"))
}

fn to_json(answer: &impl Serialize) -> Result<Value> {
    serde_json::to_value(answer).map_err(|error| FaultKind::Internal.because(error.to_string()))
}
