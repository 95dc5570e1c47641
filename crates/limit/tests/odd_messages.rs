//! Authentic messages with content that no sound daemon sends.

use std::{sync::Arc, time::Duration};

use ids::{AccountId, MonoTime, TokenAmount, TokenRate, VmId};
use limit::{
    AccountLimit, CellKey, CellMap, CellMember, GroupId, LeaseId, LeaseRequestId, LeaseResponse,
    LimitAction, LimitEvent, LimitMessage, LimitNode, TakeId,
};
use proptest::{prelude::*, test_runner::RngSeed};

const VMS: usize = 6;

fn vm(index: usize) -> VmId {
    format!("vm-{index}").parse().unwrap()
}

fn account(index: usize) -> AccountId {
    format!("account-{index}").parse().unwrap()
}

fn number_strategy() -> impl Strategy<Value = u64> {
    prop_oneof![any::<u64>(), 0..8_u64, Just(u64::MAX)]
}

fn count_strategy() -> impl Strategy<Value = u32> {
    prop_oneof![any::<u32>(), 0..8_u32, Just(u32::MAX)]
}

fn cell_strategy() -> impl Strategy<Value = CellKey> {
    let number = prop_oneof![0..2_u16, any::<u16>()];
    (number.clone(), number).prop_map(|(group, cell)| CellKey {
        group: GroupId(group),
        cell,
    })
}

fn message_strategy() -> impl Strategy<Value = LimitMessage> {
    let name = || (0..4_usize).prop_map(account);
    prop_oneof![
        (number_strategy(), name(), count_strategy()).prop_map(|(request, account, want)| {
            LimitMessage::LeaseRequest {
                request: LeaseRequestId(request),
                account,
                want,
            }
        }),
        (
            (number_strategy(), name(), number_strategy()),
            (count_strategy(), count_strategy(), count_strategy()),
            any::<bool>(),
        )
            .prop_map(
                |((request, account, lease), (amount, valid_ms, retry_ms), can_grant)| {
                    LimitMessage::LeaseResponse(LeaseResponse {
                        request: LeaseRequestId(request),
                        account,
                        lease: LeaseId(lease),
                        amount,
                        valid_ms,
                        retry_ms,
                        can_grant,
                    })
                }
            ),
        (name(), number_strategy(), count_strategy()).prop_map(|(account, lease, amount)| {
            LimitMessage::LeaseReturn {
                account,
                lease: LeaseId(lease),
                amount,
            }
        }),
        (
            cell_strategy(),
            number_strategy(),
            number_strategy(),
            any::<[bool; 2]>()
        )
            .prop_map(|(cell, digest, number, flags)| LimitMessage::ShareRequest {
                cell,
                digest,
                number,
                holds_for_others: flags[0],
                has_quorum: flags[1],
            }),
        (cell_strategy(), number_strategy())
            .prop_map(|(cell, digest)| LimitMessage::CellLeft { cell, digest }),
        (
            cell_strategy(),
            number_strategy(),
            number_strategy(),
            number_strategy()
        )
            .prop_map(|(cell, digest, number, homes)| LimitMessage::ShareLoan {
                cell,
                digest,
                number,
                homes,
            }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_333),
        ..ProptestConfig::default()
    })]

    // Guards against a daemon that one malformed message ends, or one that admits
    // more than its account may have because of such messages.
    #[test]
    fn any_message_is_survived(
        steps in proptest::collection::vec((message_strategy(), 0..VMS, 0..300_u64, 0..4_usize), 1..60),
    ) {
        let limit = AccountLimit {
            rate: TokenRate::per_second(10),
            burst: TokenAmount::whole(5),
        };
        let lookup = |account: &AccountId| (account.as_str() != "account-3").then_some(limit);
        let start = MonoTime::from_millis(1);
        let mut now = start;
        let mut node = LimitNode::new(vm(0), now, u64::MAX - 5);
        let member = |index: usize| CellMember {
            vm: vm(index),
            zone: format!("zone-{}", index % 2).parse().unwrap(),
            region: "region".parse().unwrap(),
            rack: format!("rack-{index}").parse().unwrap(),
            live: true,
        };
        let members: Vec<CellMember> = (0..VMS).map(member).collect();
        node.handle(now, LimitEvent::Map(Arc::new(CellMap::new(&members))), &lookup);
        node.set_zone(&"zone-0".parse().unwrap());
        for (number, (message, from, millis, taker)) in steps.into_iter().enumerate() {
            now = now + Duration::from_millis(millis);
            let from = vm(from);
            let mut actions = node.handle(now, LimitEvent::Message { from, message }, &lookup);
            let take = LimitEvent::Take {
                take: TakeId(number as u64),
                account: account(taker),
            };
            actions.extend(node.handle(now, take, &lookup));
            actions.extend(node.handle(now, LimitEvent::Tick, &lookup));
            for action in actions {
                // As a home it grants no more than the burst at once.
                if let LimitAction::Send { message: LimitMessage::LeaseResponse(response), .. } = action {
                    let granted = TokenAmount::whole(u64::from(response.amount));
                    prop_assert!(granted <= limit.burst, "{response:?}");
                }
            }
        }
    }
}
