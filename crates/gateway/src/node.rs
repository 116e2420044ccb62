//! What the services of one gateway share.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use catalog::CatalogIndex;
use link::{DatagramSeal, Link, LinkSettings};
use relay::desk::RelayDesk;
use settings::process::GatewaySettings;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use wire::gateway::{CatalogText, GatewayDatagram, instance_at};
use wire::id::{IncarnationNumber, InstanceId};

use crate::catalog_codec::decode_catalog;
use crate::directory::GatewayDirectory;
use crate::list_readings::ListReadings;
use crate::quorum::GatewayQuorum;

/// One gateway, on one thread.
pub struct GatewayNode {
    /// Its settings; replaced when the file changes.
    pub settings: RefCell<GatewaySettings>,
    /// Its id.
    pub own: InstanceId,
    /// This life of it.
    pub incarnation: IncarnationNumber,
    /// What its calls share.
    pub desk: Rc<RelayDesk>,
    /// The other gateways.
    pub directory: RefCell<GatewayDirectory>,
    /// Readings of the list.
    pub readings: RefCell<ListReadings>,
    /// Number of its latest reading.
    pub reading_number: Cell<u64>,
    /// Its member of the quorum; none without a data folder, or while that opens.
    pub quorum: RefCell<Option<Rc<GatewayQuorum>>>,
    /// The newest catalog that it knows a quorum to hold.
    newest: RefCell<CatalogText>,
    /// Heartbeats sent.
    pub heartbeats_sent: Cell<u64>,
    /// Told when a heartbeat is worth sending at once.
    pub heartbeat_due: Notify,
    /// What this gateway told of its latest reading, and when.
    pub last_list_notice: RefCell<Option<(Duration, GatewayDatagram)>>,
    /// Whether a list is being fetched.
    pub is_fetching_list: Cell<bool>,
    /// Whether a catalog is being fetched.
    pub is_fetching_catalog: Cell<bool>,
    /// Sends and receives datagrams.
    pub socket: UdpSocket,
    /// Authenticates datagrams.
    pub seal: DatagramSeal,
    /// How links are made.
    pub links: LinkSettings,
    /// Idle links to other gateways.
    pub idle_links: RefCell<HashMap<InstanceId, Vec<Link>>>,
}

impl GatewayNode {
    /// A gateway that knows nothing yet.
    pub fn new(
        settings: GatewaySettings,
        incarnation: IncarnationNumber,
        desk: Rc<RelayDesk>,
        socket: UdpSocket,
        links: LinkSettings,
    ) -> Self {
        let own = instance_at(settings.link);
        Self {
            settings: RefCell::new(settings),
            own,
            incarnation,
            desk,
            directory: RefCell::new(GatewayDirectory::new(own)),
            readings: RefCell::default(),
            reading_number: Cell::new(0),
            quorum: RefCell::default(),
            newest: RefCell::default(),
            heartbeats_sent: Cell::new(0),
            heartbeat_due: Notify::new(),
            last_list_notice: RefCell::default(),
            is_fetching_list: Cell::new(false),
            is_fetching_catalog: Cell::new(false),
            socket,
            seal: DatagramSeal::new(&links.secret),
            links,
            idle_links: RefCell::default(),
        }
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.desk.now()
    }

    /// The seeds' ids.
    pub fn seeds(&self) -> Vec<InstanceId> {
        let links = self.settings.borrow().seed_links();
        links.into_iter().map(instance_at).collect()
    }

    /// The newest catalog.
    pub fn newest(&self) -> CatalogText {
        self.newest.borrow().clone()
    }

    /// Version of the newest catalog; 0 for none.
    pub fn version(&self) -> u64 {
        self.newest.borrow().version
    }

    /// This gateway's member of the quorum.
    pub fn quorum(&self) -> Option<Rc<GatewayQuorum>> {
        self.quorum.borrow().clone()
    }

    /// Puts a catalog in force that a quorum holds, unless a newer one is.
    pub fn install(&self, text: CatalogText, source: &str) {
        let held = self.version();
        if text.version <= held {
            return;
        }
        match decode_catalog(&text) {
            Ok(catalog) => {
                log::info!(version = text.version, held = held, source = source; "gateway: catalog in force");
                self.desk.set_catalog(CatalogIndex::new(catalog));
            }
            Err(error) => log::error!("gateway: catalog {} is unreadable: {error}", text.version),
        }
        *self.newest.borrow_mut() = text;
        self.heartbeat_due.notify_one();
    }

    /// Whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        !self.desk.sends_away() && self.desk.is_set_up()
    }
}
