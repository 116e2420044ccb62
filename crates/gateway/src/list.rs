//! Reading the platform's list.

use std::rc::Rc;
use std::time::Duration;

use awc::Client;
use platform::endpoint_list::read_page;
use platform::paths::{ENDPOINT_LIST, PAGE_PARAMETER};
use tokio::time::{MissedTickBehavior, interval, timeout};
use wire::gateway::{GatewayDatagram, ListPart, ListedEndpoint, ReadingKey};

use crate::node::GatewayNode;

/// Time between two looks at whether a reading is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Longest duration of a reading.
const READ_LIMIT: Duration = Duration::from_millis(900);
/// Endpoints in one datagram.
const PART_ENDPOINTS: usize = 18;
/// Pages of a reading at most.
const MAX_PAGES: usize = 64;
/// Bytes of a page at most.
const MAX_PAGE_BYTES: usize = 1024 * 1024;

/// Why a reading failed.
#[derive(Debug, derive_more::Display)]
enum ReadError {
    #[display("the list does not answer: {_0}")]
    Unreachable(String),
    #[display("the list answered with status {_0}")]
    Refused(u16),
    #[display("the list is unreadable: {_0}")]
    Unreadable(String),
    #[display("the list did not answer in time")]
    Late,
}

type Result<T> = std::result::Result<T, ReadError>;

/// Reads the list whenever it is this gateway's turn, until the process ends.
pub async fn follow_list(node: Rc<GatewayNode>) {
    let client = Client::builder().timeout(READ_LIMIT).finish();
    let mut ticks = interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut has_failed = false;
    loop {
        ticks.tick().await;
        if !node.is_reading_due() {
            continue;
        }
        node.readings.borrow_mut().note_try(node.now());
        let read = timeout(READ_LIMIT, node.read_list(&client)).await;
        match read.unwrap_or(Err(ReadError::Late)) {
            Ok(endpoints) => {
                if has_failed {
                    log::info!("gateway: the list answers again");
                }
                has_failed = false;
                node.spread_reading(&endpoints);
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
        let rank = self.directory.borrow().own_rank(now);
        let interval = Duration::from_millis(self.settings.borrow().list.interval_ms);
        self.readings.borrow().is_due(now, interval, rank)
    }

    async fn read_list(&self, client: &Client) -> Result<Vec<ListedEndpoint>> {
        let address = self.settings.borrow().list.address;
        let mut endpoints = Vec::new();
        let mut page: Option<String> = None;
        for _ in 0..MAX_PAGES {
            let query = page.map_or_else(String::new, |page| format!("?{PAGE_PARAMETER}={page}"));
            let url = format!("http://{address}{ENDPOINT_LIST}{query}");
            let body = fetch(client, &url).await?;
            let read =
                read_page(&body).map_err(|error| ReadError::Unreadable(error.to_string()))?;
            if read.skipped > 0 {
                log::warn!(skipped = read.skipped; "gateway: entries of the list are unreadable");
            }
            endpoints.extend(read.endpoints);
            page = read.next;
            if page.is_none() {
                break;
            }
        }
        Ok(endpoints)
    }

    /// Obeys an own reading and sends it to the other gateways.
    fn spread_reading(&self, endpoints: &[ListedEndpoint]) {
        let now = self.now();
        self.readings.borrow_mut().note_own(now);
        self.take_reading(endpoints);
        let number = self.reading_number.get() + 1;
        self.reading_number.set(number);
        let reading = ReadingKey {
            incarnation: self.incarnation,
            number,
        };
        let parts = endpoints.chunks(PART_ENDPOINTS);
        let count = u16::try_from(parts.len().max(1)).unwrap_or(u16::MAX);
        let live: Vec<_> = {
            let directory = self.directory.borrow();
            directory.live(now).map(|(instance, _)| instance).collect()
        };
        for (part, endpoints) in (0..count).zip(parts) {
            let datagram = GatewayDatagram::List(ListPart {
                reading,
                part,
                parts: count,
                endpoints: endpoints.to_vec(),
            });
            for instance in &live {
                self.send_datagram(*instance, &datagram);
            }
        }
    }

    /// Obeys a reading.
    pub fn take_reading(&self, endpoints: &[ListedEndpoint]) {
        self.desk.set_endpoints(endpoints);
    }
}

async fn fetch(client: &Client, url: &str) -> Result<bytes::Bytes> {
    let sent = client.get(url).send().await;
    let mut answer = sent.map_err(|error| ReadError::Unreachable(error.to_string()))?;
    if !answer.status().is_success() {
        return Err(ReadError::Refused(answer.status().as_u16()));
    }
    let body = answer.body().limit(MAX_PAGE_BYTES).await;
    body.map_err(|error| ReadError::Unreadable(error.to_string()))
}
