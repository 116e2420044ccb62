//! Weighted fair queueing of client accounts within priority classes.
//!
//! This is start-time fair queueing. Within a class, each account with waiting requests has a flow
//! with a virtual start time, which advances by `1 / share` with each request taken from the flow.
//! The flow with the earliest virtual start time goes first.

use std::collections::VecDeque;

use wire::answer::{AttemptKey, PriorityClass};
use wire::id::AccountId;

use crate::request::AdmitRequest;

/// Number of requests of higher classes after which one batch request goes before interactive
/// ones, so that batch work is not starved.
const BATCH_INTERVAL: u32 = 16;
/// Number of priority classes.
const CLASS_COUNT: usize = 3;

/// The waiting requests of one account in one class.
#[derive(Clone, Debug)]
struct AccountFlow {
    account: AccountId,
    /// Virtual start time of the first request.
    virtual_start: f64,
    /// Oldest first; never empty between calls.
    requests: VecDeque<AdmitRequest>,
}

/// The waiting requests of one class.
#[derive(Clone, Debug, Default)]
struct ClassQueue {
    flows: Vec<AccountFlow>,
    /// Virtual start time of the request that was taken last.
    virtual_time: f64,
}

impl ClassQueue {
    fn push(&mut self, request: AdmitRequest) {
        let found = self
            .flows
            .iter_mut()
            .find(|flow| flow.account == request.account);
        if let Some(flow) = found {
            flow.requests.push_back(request);
            return;
        }
        self.flows.push(AccountFlow {
            account: request.account,
            virtual_start: self.virtual_time,
            requests: VecDeque::from([request]),
        });
    }

    /// Takes the next request among the flows whose first request satisfies `may_start`.
    fn pop(&mut self, may_start: impl Fn(&AdmitRequest) -> bool) -> Option<AdmitRequest> {
        let flows = self.flows.iter().enumerate();
        let allowed = flows.filter(|(_, flow)| flow.requests.front().is_some_and(&may_start));
        let first = allowed
            .min_by(|(_, left), (_, right)| left.virtual_start.total_cmp(&right.virtual_start));
        let (index, _) = first?;
        let flow = &mut self.flows[index];
        self.virtual_time = flow.virtual_start;
        let request = flow.requests.pop_front()?;
        flow.virtual_start += 1.0 / f64::from(request.share.max(1));
        self.remove_empty_flows();
        Some(request)
    }

    fn pop_newest(&mut self, account: AccountId) -> Option<AdmitRequest> {
        let flow = self.flows.iter_mut().find(|flow| flow.account == account)?;
        let request = flow.requests.pop_back();
        self.remove_empty_flows();
        request
    }

    fn take_if(&mut self, condition: impl Fn(&AdmitRequest) -> bool) -> Vec<AdmitRequest> {
        let mut taken = Vec::new();
        for flow in &mut self.flows {
            let (matching, rest) = flow.requests.drain(..).partition(&condition);
            let matching: VecDeque<AdmitRequest> = matching;
            taken.extend(matching);
            flow.requests = rest;
        }
        self.remove_empty_flows();
        taken
    }

    /// Removes flows without requests, and with them their virtual start times. Unless `may_start`
    /// held a flow back, such a time is ahead of the class's virtual time by one request at most,
    /// so an account whose flow is created anew gains one request at most.
    fn remove_empty_flows(&mut self) {
        self.flows.retain(|flow| !flow.requests.is_empty());
    }

    fn len(&self) -> usize {
        self.flows.iter().map(|flow| flow.requests.len()).sum()
    }

    fn iter(&self) -> impl Iterator<Item = &AdmitRequest> {
        self.flows.iter().flat_map(|flow| flow.requests.iter())
    }
}

/// All waiting requests.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    /// Indexed by [`class_index`], highest class first.
    classes: [ClassQueue; CLASS_COUNT],
    /// Requests of higher classes taken in a row while a batch request was waiting.
    taken_since_batch: u32,
}

impl FairQueue {
    /// Appends a request to the flow of its account.
    pub fn push(&mut self, request: AdmitRequest) {
        self.classes[class_index(request.class)].push(request);
    }

    /// Takes the next request to start, among flows whose first request satisfies `may_start`.
    pub fn pop(&mut self, may_start: impl Fn(&AdmitRequest) -> bool) -> Option<AdmitRequest> {
        let batch = class_index(PriorityClass::Batch);
        let urgent = class_index(PriorityClass::Urgent);
        if self.taken_since_batch >= BATCH_INTERVAL && self.classes[urgent].len() == 0 {
            self.taken_since_batch = 0;
            if let Some(request) = self.classes[batch].pop(&may_start) {
                return Some(request);
            }
        }
        let request = self
            .classes
            .iter_mut()
            .find_map(|class| class.pop(&may_start))?;
        let delays_batch = request.class != PriorityClass::Batch && self.classes[batch].len() > 0;
        self.taken_since_batch = if delays_batch {
            self.taken_since_batch + 1
        } else {
            0
        };
        Some(request)
    }

    /// Takes the newest request of `account` in the lowest class in which it has one, among
    /// `highest` and the classes below.
    pub fn pop_newest(
        &mut self,
        account: AccountId,
        highest: PriorityClass,
    ) -> Option<AdmitRequest> {
        let classes = self.classes[class_index(highest)..].iter_mut();
        classes.rev().find_map(|class| class.pop_newest(account))
    }

    /// Removes the attempt `key`.
    pub fn remove(&mut self, key: AttemptKey) -> Option<AdmitRequest> {
        self.take_if(|request| request.key == key).pop()
    }

    /// Removes and returns all requests that satisfy `condition`.
    pub fn take_if(&mut self, condition: impl Fn(&AdmitRequest) -> bool) -> Vec<AdmitRequest> {
        let classes = self.classes.iter_mut();
        classes
            .flat_map(|class| class.take_if(&condition))
            .collect()
    }

    /// Number of waiting requests.
    pub fn len(&self) -> u32 {
        self.classes.iter().map(|class| class.len() as u32).sum()
    }

    /// Whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of waiting requests of `class` and above. This estimates how many start before a new
    /// one of `class`.
    pub fn ahead_of(&self, class: PriorityClass) -> u32 {
        let classes = &self.classes[..=class_index(class)];
        classes.iter().map(|class| class.len() as u32).sum()
    }

    /// Whether `account` has a waiting request of class `highest` or below.
    pub fn has_waiting(&self, account: AccountId, highest: PriorityClass) -> bool {
        let mut classes = self.classes[class_index(highest)..].iter();
        classes.any(|class| class.flows.iter().any(|flow| flow.account == account))
    }

    /// All waiting requests.
    pub fn iter(&self) -> impl Iterator<Item = &AdmitRequest> {
        self.classes.iter().flat_map(ClassQueue::iter)
    }
}

fn class_index(class: PriorityClass) -> usize {
    match class {
        PriorityClass::Urgent => 0,
        PriorityClass::Interactive => 1,
        PriorityClass::Batch => 2,
    }
}
