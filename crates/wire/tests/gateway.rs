//! Datagrams between gateways of different builds.

use std::net::{Ipv4Addr, SocketAddrV4};

use googletest::prelude::*;
use wire::codec::{decode_as, encode};
use wire::gateway::{
    AccountCount, AccountNotice, ColdListNotice, CrashNotice, EvacuationNotice, GatewayDatagram,
    ListAge, ListNotice, ListedEndpoint, MAX_COLD_ENDPOINTS, MAX_DATAGRAM_BYTES,
    MAX_NOTICE_ACCOUNTS, VersionlessEndpoint, VersionlessNotice,
};
use wire::statement::{
    CallRate, ColdNotice, LimitMessage, LimitNotice, MAX_COLD_WISHES, MAX_NOTICES, MAX_WISHES,
    TokenAsk, TokenOutcome, TokenShortage, TokenWish,
};
use wire::stream::{MAX_RESTART_SIGNS, OriginQuery, RestartNotice, RestartSign, StreamMessage};
use wire::version_record::VersionRecord;

/// Number by which postcard names the variant of a datagram.
fn variant_of(datagram: &GatewayDatagram) -> u8 {
    encode(datagram).expect("a small datagram")[0]
}

fn versionless() -> VersionlessEndpoint {
    VersionlessEndpoint {
        name: "endpoint-1".to_owned(),
        service: "drafts".to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 80),
        domain: 3,
        slots: 64,
        is_draining: false,
    }
}

#[gtest]
fn datagrams_keep_their_numbers() {
    let query = OriginQuery {
        request: 1,
        stream: None,
    };
    let datagrams = [
        GatewayDatagram::Heartbeat(Box::default()),
        GatewayDatagram::VersionlessList(VersionlessNotice::default()),
        GatewayDatagram::Replica(Vec::new()),
        GatewayDatagram::Crashes(CrashNotice::default()),
        GatewayDatagram::PartCrashes(CrashNotice::default()),
        GatewayDatagram::List(ListNotice::default()),
        GatewayDatagram::Stream(StreamMessage::Query(query)),
        GatewayDatagram::Limit(LimitMessage::Reply {
            id: 1,
            outcome: TokenOutcome::NotKeeper,
        }),
        GatewayDatagram::Evacuations(EvacuationNotice::default()),
        GatewayDatagram::ColdList(ColdListNotice::default()),
        GatewayDatagram::Restarts(RestartNotice::default()),
        GatewayDatagram::ListAge(ListAge::default()),
        GatewayDatagram::Versions(VersionRecord::default()),
        GatewayDatagram::Accounts(AccountNotice::default()),
    ];

    let numbers: Vec<u8> = datagrams.iter().map(variant_of).collect();

    expect_that!(
        numbers,
        eq(&vec![0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13])
    );
}

// The bytes of an earlier build: a notice without change, and one with an endpoint.
#[gtest]
fn list_notice_of_an_earlier_gateway_is_recognised() {
    let unchanged = vec![1, 9, 2, 7, 0, 0, 0];
    let changed = GatewayDatagram::VersionlessList(VersionlessNotice {
        changed: vec![versionless()],
        ..VersionlessNotice::default()
    });

    let decoded = decode_as::<GatewayDatagram>(&unchanged).expect("a datagram");
    let bytes = encode(&changed).expect("a small datagram");

    expect_that!(
        decoded,
        matches_pattern!(GatewayDatagram::VersionlessList(_))
    );
    expect_that!(decode_as::<GatewayDatagram>(&bytes), ok(eq(&changed)));
}

#[gtest]
fn software_version_of_an_endpoint_is_sent() {
    let endpoint = versionless();
    let notice = GatewayDatagram::List(ListNotice {
        changed: vec![ListedEndpoint {
            name: endpoint.name,
            service: endpoint.service,
            address: endpoint.address,
            domain: endpoint.domain,
            slots: endpoint.slots,
            is_draining: endpoint.is_draining,
            version: "v2".to_owned(),
        }],
        ..ListNotice::default()
    });

    let bytes = encode(&notice).expect("a small datagram");

    expect_that!(decode_as::<GatewayDatagram>(&bytes), ok(eq(&notice)));
}

#[gtest]
fn largest_messages_on_limits_fit_into_a_datagram() {
    let notice = LimitNotice {
        endpoint: u64::MAX,
        address: SocketAddrV4::new(Ipv4Addr::BROADCAST, u16::MAX),
        limit: CallRate::from_per_second(1e300),
        sent_age_ms: u32::MAX,
        read_age_ms: u32::MAX,
    };
    let wish = TokenWish {
        notice,
        count: u16::MAX,
    };
    let shortage = TokenShortage {
        endpoint: u64::MAX,
        next_ms: u32::MAX,
    };
    let cold = ColdNotice {
        endpoint: u64::MAX,
        address: SocketAddrV4::new(Ipv4Addr::BROADCAST, u16::MAX),
        sign_age_ms: Some(u32::MAX),
        answer_age_ms: Some(u32::MAX),
        remaining_ms: Some(u32::MAX),
    };
    let messages = [
        LimitMessage::Notices {
            notices: vec![notice; MAX_NOTICES],
            forward: u16::MAX,
        },
        LimitMessage::Ask(TokenAsk {
            id: u64::MAX,
            wishes: vec![wish; MAX_WISHES],
        }),
        LimitMessage::Cold {
            notices: vec![cold; MAX_NOTICES],
            is_whole: true,
            forward: u16::MAX,
        },
        LimitMessage::ColdAsk {
            ask: TokenAsk {
                id: u64::MAX,
                wishes: vec![wish; MAX_COLD_WISHES],
            },
            notices: vec![cold; MAX_COLD_WISHES],
        },
        LimitMessage::Reply {
            id: u64::MAX,
            outcome: TokenOutcome::Kept {
                lot: None,
                shortages: vec![shortage; MAX_WISHES],
            },
        },
    ];
    for message in messages {
        let bytes = encode(&GatewayDatagram::Limit(message)).expect("a small datagram");

        expect_that!(bytes.len(), le(MAX_DATAGRAM_BYTES));
    }
}

/// A notice that is too large for a datagram would not be sent.
#[gtest]
fn largest_notice_of_restarts_fits_into_a_datagram() {
    let sign = RestartSign {
        endpoint: u64::MAX,
        age_ms: u32::MAX,
    };
    let notice = RestartNotice {
        watched_ms: u32::MAX,
        signs: vec![sign; MAX_RESTART_SIGNS],
    };

    let bytes = encode(&GatewayDatagram::Restarts(notice)).expect("it can be encoded");

    expect_that!(bytes.len(), le(MAX_DATAGRAM_BYTES));
}

#[gtest]
fn largest_notice_of_cold_endpoints_fits_into_a_datagram() {
    let notice = ColdListNotice {
        age_ms: u32::MAX,
        endpoints: vec![(u64::MAX, u32::MAX); MAX_COLD_ENDPOINTS],
    };

    let bytes = encode(&GatewayDatagram::ColdList(notice)).expect("a small datagram");

    expect_that!(bytes.len(), le(MAX_DATAGRAM_BYTES));
}

// A larger notice would not be sent at all, and with it the shares of all accounts.
#[gtest]
fn largest_account_notice_fits_into_a_datagram() {
    let count = AccountCount {
        account: u64::MAX,
        running: u16::MAX,
        refused: u16::MAX,
    };
    let notice = AccountNotice {
        service: u64::MAX,
        is_short: true,
        accounts: vec![count; MAX_NOTICE_ACCOUNTS],
    };

    let bytes = encode(&GatewayDatagram::Accounts(notice)).expect("a small datagram");

    expect_that!(bytes.len(), le(410));
}
