//! Every datagram that the encoder writes is decoded to what was encoded.
#![allow(clippy::unwrap_used, missing_docs)]
use proptest::prelude::*;
use tidewall_coordination::codec::DatagramItem::{self, *};
use tidewall_coordination::codec::LeaseReply::*;
use tidewall_coordination::codec::LeaseRequest::*;
use tidewall_coordination::codec::{
    decode_header, decode_items, encode_header, encode_item, open, seal, DatagramHeader,
    MAX_DATAGRAM,
};
use tidewall_lease::ballot::BALLOT_COUNT_LIMIT;
use tidewall_lease::grantor::Grant;
use tidewall_membership::{MemberState, MemberUpdate};
use tidewall_vrrp::packet::Keys;

fn small() -> impl Strategy<Value = u32> {
    prop_oneof![0..300u32, any::<u32>()]
}

fn index() -> impl Strategy<Value = usize> {
    small().prop_map(|n| n as usize)
}

fn ballot_count() -> impl Strategy<Value = u64> {
    prop_oneof![0..300u64, 0..BALLOT_COUNT_LIMIT]
}

fn update(states: &'static [MemberState]) -> impl Strategy<Value = MemberUpdate> {
    let state = proptest::sample::select(states);
    (any::<u64>(), small(), state).prop_map(|(incarnation, refutation, state)| MemberUpdate {
        incarnation,
        refutation,
        state,
    })
}

fn grant() -> impl Strategy<Value = Grant> {
    (any::<u64>(), index(), any::<u64>()).prop_map(|(epoch, member, incarnation)| Grant {
        epoch,
        member,
        incarnation,
    })
}

fn membership_item() -> impl Strategy<Value = DatagramItem> {
    prop_oneof![
        small().prop_map(|sequence| Ping { sequence }),
        (index(), small()).prop_map(|(target, sequence)| IndirectPing { target, sequence }),
        (index(), small()).prop_map(|(subject, sequence)| Ack { subject, sequence }),
        (index(), update(&MemberState::ALL)).prop_map(|(member, update)| Gossip { member, update }),
    ]
}

fn request() -> impl Strategy<Value = DatagramItem> {
    prop_oneof![
        (index(), ballot_count())
            .prop_map(|(task, ballot_count)| Request(Prepare { task, ballot_count })),
        (index(), ballot_count(), small()).prop_map(|(task, ballot_count, tag)| Request(Accept {
            task,
            ballot_count,
            tag
        })),
        (index(), ballot_count())
            .prop_map(|(task, ballot_count)| Request(Release { task, ballot_count })),
        index().prop_map(|task| HandedOver { task }),
    ]
}

fn reply() -> impl Strategy<Value = DatagramItem> {
    let lease = || (index(), ballot_count(), small());
    let state = || (any::<u64>(), grant(), any::<u64>());
    prop_oneof![
        (lease(), state()).prop_map(|((task, ballot_count, _), (_, accepted, remaining))| {
            Reply(Promised {
                task,
                ballot_count,
                accepted,
                remaining,
            })
        }),
        (lease(), state()).prop_map(
            |((task, ballot_count, _), (promised, accepted, remaining))| {
                Reply(PrepareRejected {
                    task,
                    ballot_count,
                    promised,
                    accepted,
                    remaining,
                })
            }
        ),
        lease().prop_map(|(task, ballot_count, tag)| Reply(Accepted {
            task,
            ballot_count,
            tag
        })),
        (lease(), state()).prop_map(
            |((task, ballot_count, tag), (promised, accepted, remaining))| Reply(AcceptRejected {
                task,
                ballot_count,
                tag,
                promised,
                accepted,
                remaining,
            })
        ),
    ]
}

fn header() -> impl Strategy<Value = DatagramHeader> {
    let sender = update(&[MemberState::Alive, MemberState::Left]);
    (index(), index(), any::<u64>(), sender, any::<u64>()).prop_map(
        |(from, to, to_incarnation, sender, sequence)| DatagramHeader {
            from,
            to,
            to_incarnation,
            sender,
            sequence,
        },
    )
}

proptest! {
    #[test]
    fn an_encoded_datagram_is_decoded_to_the_same(
        header in header(),
        items in proptest::collection::vec(
            prop_oneof![membership_item(), request(), reply()], 0..12),
    ) {
        let keys = Keys(vec![(3, b"key".to_vec())]);
        let mut datagram = Vec::new();
        encode_header(&mut datagram, &header);
        let mut fitting = items;
        fitting.retain(|item| encode_item(&mut datagram, item));
        seal(&mut datagram, &keys);
        prop_assert!(datagram.len() <= MAX_DATAGRAM);
        let body = open(&datagram, &keys).unwrap();
        let (decoded, items_start) = decode_header(body).unwrap();
        prop_assert_eq!(decoded, header);
        let items = decode_items(&body[items_start..]).unwrap();
        prop_assert_eq!(items.collect::<Vec<_>>(), fitting);
    }
}
