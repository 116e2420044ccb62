//! Reading the platform's endpoint list, and publishing each reading to the other gateways.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use awc::Client;
use awc::http::StatusCode;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use platform::endpoint_list::read_page;
use platform::paths::{ENDPOINT_LIST, PAGE_PARAMETER};
use relay::origin::whole_millis;
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};
use wire::gateway::{
    ColdListNotice, GatewayDatagram, GatewayReply, GatewayRequest, ListAge, ListNotice,
    ListedEndpoint, MAX_COLD_ENDPOINTS, ReadingKey, address_of,
};
use wire::id::{EndpointId, InstanceId};

use crate::list_readings::without_duplicates;
use crate::node::GatewayNode;

/// Interval at which a gateway checks whether it has to read the list.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait for one page of the list.
const PAGE_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest wait for the whole list from another gateway.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);
/// Age up to which the notice of a reading is sent to a gateway that has just become live.
const MAX_NOTICE_AGE: Duration = Duration::from_millis(1500);
/// Longest time for all pages of one reading.
const READING_TIMEOUT: Duration = Duration::from_secs(12);
/// Delay before a page that was refused with status 429 is requested again.
const RATE_LIMIT_DELAY: Duration = Duration::from_millis(120);
/// Requests for one page at most.
const MAX_PAGE_ATTEMPTS: usize = 25;
/// HTTP status of a request above the platform's rate limit.
const TOO_MANY_REQUESTS: u16 = 429;
/// Pages of a reading at most.
const MAX_PAGES: usize = 1024;
/// Entries of a reading at most, the unreadable ones included.
const MAX_ENTRIES: usize = 16 * 1024;
/// Bytes of a page at most. An entry of another writer may be far larger than those of the platform.
const MAX_PAGE_BYTES: usize = 8 * 1024 * 1024;

/// Why a reading failed.
#[derive(Debug, derive_more::Display)]
enum ReadError {
    #[display("endpoint list is unreachable: {_0}")]
    Unreachable(String),
    #[display("endpoint list answered with status {_0}")]
    Refused(u16),
    #[display("endpoint list can't be parsed: {_0}")]
    Unreadable(String),
    #[display("endpoint list has more than {MAX_ENTRIES} entries")]
    Oversized,
    #[display("endpoint list not read within the timeout")]
    TimedOut,
}

type Result<T> = std::result::Result<T, ReadError>;

/// A list as it was read.
#[derive(Debug, Default)]
struct ReadList {
    endpoints: Vec<ListedEndpoint>,
    /// How much longer endpoints are cold after a start; of several entries, the longest.
    cold: BTreeMap<EndpointId, Duration>,
    /// Number of entries that could not be read.
    skipped: usize,
}

/// Reads the list whenever this gateway is due to, until the process ends. Of several failures in a
/// row only the first is logged, and unreadable entries only when their number changes.
pub async fn follow_list(node: Rc<GatewayNode>) {
    let client = Client::builder()
        .timeout(PAGE_TIMEOUT)
        .disable_redirects()
        .finish();
    let mut ticks = interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut has_failed = false;
    let mut skipped = 0;
    loop {
        ticks.tick().await;
        if !node.is_reading_due() {
            continue;
        }
        let began_at = node.now();
        node.readings.borrow_mut().note_attempt(began_at);
        let read = timeout(READING_TIMEOUT, node.read_list(&client)).await;
        match read.unwrap_or(Err(ReadError::TimedOut)) {
            Ok(list) => {
                if has_failed {
                    log::info!("gateway: endpoint list read again after a failure");
                }
                has_failed = false;
                if std::mem::replace(&mut skipped, list.skipped) != list.skipped {
                    log::warn!(skipped = list.skipped; "gateway: number of unreadable entries of the endpoint list changed");
                }
                node.relay_state.metrics.set_skipped_entries(skipped);
                node.publish_reading(began_at, list.endpoints);
                node.publish_cold(list.cold.into_iter().collect());
            }
            Err(error) => {
                if !has_failed {
                    log::warn!("gateway: {error}");
                }
                has_failed = true;
            }
        }
    }
}

impl GatewayNode {
    fn is_reading_due(&self) -> bool {
        let now = self.now();
        let rank = self.reader_rank(now);
        let interval = Duration::from_millis(self.settings.borrow().list.interval_ms);
        self.readings.borrow().is_due(now, interval, rank)
    }

    /// Position of this gateway in the order of readers. Before the first reading few gateways know
    /// each other, so all seeds read at once, and the others only if no reading arrives.
    fn reader_rank(&self, now: Duration) -> usize {
        let rank = self.directory.borrow().own_rank(now);
        if !self.readings.borrow().is_empty() {
            return rank;
        }
        match self.seeds().contains(&self.own) {
            true => 0,
            false => rank + 1,
        }
    }

    async fn read_list(&self, client: &Client) -> Result<ReadList> {
        let address = self.settings.borrow().list.address;
        let mut list = ReadList::default();
        let mut read_pages = BTreeSet::new();
        let mut query = String::new();
        for _ in 0..MAX_PAGES {
            let url = format!("http://{address}{ENDPOINT_LIST}{query}");
            let body = fetch_page(client, &url).await?;
            let read =
                read_page(&body).map_err(|error| ReadError::Unreadable(error.to_string()))?;
            list.skipped += read.skipped;
            list.endpoints.extend(read.endpoints);
            if list.endpoints.len() + list.skipped > MAX_ENTRIES {
                return Err(ReadError::Oversized);
            }
            for (id, remaining) in read.cold {
                let longest = list.cold.entry(id).or_default();
                *longest = remaining.max(*longest);
            }
            // A page whose token was read before would lead around in a circle.
            let Some(page) = read.next.filter(|page| read_pages.insert(page.clone())) else {
                break;
            };
            let token = utf8_percent_encode(&page, NON_ALPHANUMERIC);
            query = format!("?{PAGE_PARAMETER}={token}");
        }
        list.endpoints = self.resolve_duplicates(list.endpoints);
        Ok(list)
    }

    fn resolve_duplicates(&self, endpoints: Vec<ListedEndpoint>) -> Vec<ListedEndpoint> {
        let catalog = self.relay_state.catalog();
        without_duplicates(endpoints, |service| {
            let known = catalog.as_ref().map(|index| index.find_service(service));
            known.is_none_or(|rule| rule.is_some())
        })
    }

    /// Activates this gateway's own reading and sends a notice of it to the live gateways.
    fn publish_reading(&self, began_at: Duration, endpoints: Vec<ListedEndpoint>) {
        let now = self.now();
        let number = self.reading_number.get() + 1;
        self.reading_number.set(number);
        let reading = ReadingKey {
            incarnation: self.incarnation,
            number,
        };
        let held = self.readings.borrow().digest();
        let notice = self
            .readings
            .borrow_mut()
            .record_own(now, reading, endpoints);
        match notice.digest == held {
            true => self.relay_state.confirm_list(),
            false => self
                .relay_state
                .set_endpoints(&self.readings.borrow().list()),
        }
        self.readings
            .borrow_mut()
            .note_began(notice.digest, began_at);
        self.note_list_stated();
        let age = GatewayDatagram::ListAge(ListAge {
            digest: notice.digest,
            age_ms: whole_millis(now.saturating_sub(began_at)),
        });
        let digest_only = ListNotice {
            base_digest: 0,
            changed: Vec::new(),
            removed: Vec::new(),
            ..notice.clone()
        };
        let (notice, digest_only) = (
            GatewayDatagram::List(notice),
            GatewayDatagram::List(digest_only),
        );
        *self.last_list_notice.borrow_mut() = Some((now, digest_only.clone()));
        for (instance, _) in self.directory.borrow().live(now) {
            // If the change does not fit into a datagram, the receiver fetches the whole list.
            if !self.send_datagram(instance, &notice) {
                self.send_datagram(instance, &digest_only);
            }
            self.send_datagram(instance, &age);
        }
    }

    /// Tells the relay when the latest reading began that states its list, and asks the endpoints whose
    /// processes it may prove.
    pub fn note_list_stated(&self) {
        if let Some(began_at) = self.readings.borrow().stated_at() {
            self.relay_state.note_list_stated(began_at);
        }
        self.relay_state.find_processes();
    }

    /// Records the cold times of this gateway's own reading, and sends those that matter to the live
    /// gateways.
    fn publish_cold(&self, cold: Vec<(EndpointId, Duration)>) {
        let endpoints = self.relay_state.note_cold_reading(&cold);
        for endpoints in endpoints.chunks(MAX_COLD_ENDPOINTS) {
            let notice = GatewayDatagram::ColdList(ColdListNotice {
                age_ms: 0,
                endpoints: endpoints.to_vec(),
            });
            for (instance, _) in self.directory.borrow().live(self.now()) {
                self.send_datagram(instance, &notice);
            }
        }
    }

    /// Sends the notice of this gateway's latest reading to a gateway that has just become live, if
    /// the reading is recent.
    pub fn send_list_notice(&self, newcomer: InstanceId) {
        let last = self.last_list_notice.borrow();
        let fresh = last
            .as_ref()
            .filter(|(at, _)| self.now() < *at + MAX_NOTICE_AGE);
        if let Some((_, notice)) = fresh {
            self.send_datagram(newcomer, notice);
        }
    }

    /// Fetches the whole list from the gateway that read it, unless a fetch is running.
    pub fn fetch_list(self: &Rc<Self>, reader: InstanceId) {
        if self.is_fetching_list.replace(true) {
            return;
        }
        let node = Rc::clone(self);
        actix_rt::spawn(async move {
            match node
                .send_request(reader, &GatewayRequest::FetchList, FETCH_TIMEOUT)
                .await
            {
                Ok(GatewayReply::List(endpoints)) => {
                    let now = node.now();
                    let endpoints = node.readings.borrow_mut().replace_list(now, endpoints);
                    node.relay_state.set_endpoints(&endpoints);
                    node.note_list_stated();
                }
                Ok(_) => log::warn!(
                    "gateway: {} answered a list fetch with another reply",
                    address_of(reader)
                ),
                Err(error) => log::debug!("gateway: list fetch failed: {error}"),
            }
            node.is_fetching_list.set(false);
        });
    }
}

/// Fetches a page, again after a delay if it is refused with status 429. The platform limits the
/// rate of requests of all gateways together, and a list of many pages exceeds it.
async fn fetch_page(client: &Client, url: &str) -> Result<bytes::Bytes> {
    for _ in 1..MAX_PAGE_ATTEMPTS {
        match fetch(client, url).await {
            Err(ReadError::Refused(TOO_MANY_REQUESTS)) => sleep(RATE_LIMIT_DELAY).await,
            other => return other,
        }
    }
    fetch(client, url).await
}

async fn fetch(client: &Client, url: &str) -> Result<bytes::Bytes> {
    // The client takes an interim answer for the answer, and another one may follow it.
    let sent = client.get(url).force_close().send().await;
    let mut answer = sent.map_err(|error| ReadError::Unreachable(error.to_string()))?;
    if answer.status() != StatusCode::OK {
        return Err(ReadError::Refused(answer.status().as_u16()));
    }
    let body = answer.body().limit(MAX_PAGE_BYTES).await;
    body.map_err(|error| ReadError::Unreadable(error.to_string()))
}
