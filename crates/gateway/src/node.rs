//! State shared by the services of one gateway.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use catalog::CatalogIndex;
use link::{DatagramSeal, Link, LinkSettings};
use relay::region::DomainRegions;
use relay::state::RelayState;
use settings::process::GatewaySettings;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use wire::gateway::{CatalogText, GatewayDatagram, instance_at};
use wire::id::{IncarnationNumber, InstanceId};
use wire::version_record::VersionRecord;

use crate::catalog_codec::decode_catalog;
use crate::directory::GatewayDirectory;
use crate::evacuation_spread::EvacuationSpread;
use crate::list_readings::ListReadings;
use crate::quorum::GatewayQuorum;

/// State of one gateway, on one thread.
pub struct GatewayNode {
    /// Settings, replaced when the settings file changes.
    pub settings: RefCell<GatewaySettings>,
    /// Id of this gateway.
    pub own: InstanceId,
    /// Number of this process start; later starts have greater numbers.
    pub incarnation: IncarnationNumber,
    /// State shared by the calls that this gateway relays.
    pub relay_state: Rc<RelayState>,
    /// The other gateways.
    pub directory: RefCell<GatewayDirectory>,
    /// The active endpoint list, and the latest reading of each other gateway.
    pub readings: RefCell<ListReadings>,
    /// Number of this gateway's own latest reading of the endpoint list; 0 before the first.
    pub reading_number: Cell<u64>,
    /// This gateway's member of the quorum; `None` without a data folder, or while the folder is
    /// being opened.
    pub quorum: RefCell<Option<Rc<GatewayQuorum>>>,
    /// The newest catalog that this gateway knows to be committed by a quorum.
    newest_catalog: RefCell<CatalogText>,
    /// The evacuations that this gateway obeys, and whom it told.
    pub evacuations: RefCell<EvacuationSpread>,
    /// Number of heartbeats sent. One that goes to several gateways counts once.
    pub heartbeats_sent: Cell<u64>,
    /// Notified when the next heartbeat should not wait for the regular interval.
    pub heartbeat_due: Notify,
    /// The notice of this gateway's latest own reading, without the change, and when it was sent.
    pub last_list_notice: RefCell<Option<(Duration, GatewayDatagram)>>,
    /// Whether the endpoint list is being fetched from another gateway.
    pub is_fetching_list: Cell<bool>,
    /// Whether a catalog is being fetched from another gateway.
    pub is_fetching_catalog: Cell<bool>,
    /// Software versions that the lists since the start of this gateway have shown.
    pub seen_versions: RefCell<VersionRecord>,
    /// Digest of the latest list of these.
    pub seen_digest: Cell<u64>,
    /// Socket for datagrams to and from other gateways.
    pub socket: UdpSocket,
    /// Authenticates datagrams.
    pub seal: DatagramSeal,
    /// Settings of links to other gateways.
    pub link_settings: LinkSettings,
    /// Idle links to other gateways.
    pub idle_links: RefCell<HashMap<InstanceId, Vec<Link>>>,
}

impl GatewayNode {
    /// The initial state, without catalog, endpoint list and other gateways.
    pub fn new(
        settings: GatewaySettings,
        incarnation: IncarnationNumber,
        relay_state: Rc<RelayState>,
        socket: UdpSocket,
        link_settings: LinkSettings,
    ) -> Self {
        let own = instance_at(settings.link);
        relay_state.set_regions(DomainRegions::new(&settings.domains));
        Self {
            settings: RefCell::new(settings),
            own,
            incarnation,
            relay_state,
            directory: RefCell::new(GatewayDirectory::new(own)),
            readings: RefCell::default(),
            reading_number: Cell::new(0),
            quorum: RefCell::default(),
            newest_catalog: RefCell::default(),
            evacuations: RefCell::new(EvacuationSpread::new(own)),
            heartbeats_sent: Cell::new(0),
            heartbeat_due: Notify::new(),
            last_list_notice: RefCell::default(),
            is_fetching_list: Cell::new(false),
            is_fetching_catalog: Cell::new(false),
            seen_versions: RefCell::default(),
            seen_digest: Cell::new(0),
            socket,
            seal: DatagramSeal::new(&link_settings.secret),
            link_settings,
            idle_links: RefCell::default(),
        }
    }

    /// Time since the start of this gateway, on the clock of [`RelayState::now`].
    pub fn now(&self) -> Duration {
        self.relay_state.now()
    }

    /// Ids of the seeds of the current settings.
    pub fn seeds(&self) -> Vec<InstanceId> {
        let links = self.settings.borrow().seed_links();
        links.into_iter().map(instance_at).collect()
    }

    /// The newest catalog.
    pub fn newest_catalog(&self) -> CatalogText {
        self.newest_catalog.borrow().clone()
    }

    /// Version of the newest catalog; 0 for none.
    pub fn catalog_version(&self) -> u64 {
        self.newest_catalog.borrow().version
    }

    /// This gateway's member of the quorum, if it has one.
    pub fn quorum(&self) -> Option<Rc<GatewayQuorum>> {
        self.quorum.borrow().clone()
    }

    /// Activates a catalog that a quorum has committed, if it is newer than the newest known one. A
    /// catalog that can't be decoded becomes the newest known one without being activated.
    pub fn install(&self, text: CatalogText, source: &str) {
        let held = self.catalog_version();
        if text.version <= held {
            return;
        }
        match decode_catalog(&text) {
            Ok(catalog) => {
                log::info!(version = text.version, held = held, source = source; "gateway: catalog activated");
                self.relay_state.set_catalog(CatalogIndex::new(catalog));
            }
            Err(error) => log::error!(
                "gateway: catalog {} can't be decoded and is not activated: {error}",
                text.version
            ),
        }
        *self.newest_catalog.borrow_mut() = text;
        self.heartbeat_due.notify_one();
    }

    /// Whether this gateway is ready for callers: it has a catalog and an endpoint, and is not
    /// stopping.
    pub fn is_ready(&self) -> bool {
        !self.relay_state.is_stopping() && self.relay_state.is_set_up()
    }
}
