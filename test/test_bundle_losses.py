"""Bundles when the log comes back from a copy that lacks its newest records, whose offsets it gives
out again."""

import json
import time

import fleet as f
from run_all import table
from test_bundles import check_versions_only_increase, versions

RECORDS_OF_A_ROLL = 3  # draft, approval, roll
# docs/CAPACITY.md: a change is in force in 4 s.
IN_FORCE_S = 4


def bundle_with_share(fleet, share):
    """Another part differs between bundles before and after a loss only, so that changes to one
    after it do not fit one before it."""
    bundle = fleet.bundle()
    bundle["teams"]["team-0"]["share"] = share
    bundle["teams"]["team-1"]["share"] = 5 if share < 30 else 6
    return bundle


def roll_again(fleet, share):
    """Rolls a bundle like an operator, who tries again if another record took effect first."""
    for _ in range(5):
        try:
            fleet.roll(bundle_with_share(fleet, share))
            return
        except AssertionError:
            if shown_share(fleet) == share:
                return
    raise AssertionError("no roll took effect")


def shown(fleet):
    return json.loads(fleet.limpetctl("--json", "show"))


def shown_share(fleet):
    return shown(fleet)["parts"]["team/team-0"]["share"]


def wait_in_force(fleet, share):
    """Waits until the log and all routers have the bundle with this share under one version."""
    def in_force():
        bundle = shown(fleet)
        states = [fleet.dump(r)["bundle"] for r in fleet.routers]
        return bundle["parts"]["team/team-0"]["share"] == share and all(
            (s["version"], s["root"]) == (bundle["version"], bundle["root"]) for s in states)
    f.wait_for(in_force, "the bundle with share %d" % share, IN_FORCE_S)


def freeze(fleet, frozen):
    for router in fleet.routers:
        (router["process"].freeze if frozen else router["process"].thaw)()


# Each row: whether the routers stand still from before the loss until the new records are written,
# the rolls lost, the shares rolled after it, and the eras that the log names before and after it.
@table([
    ("end_falls", False, 2, [30], None, None),
    ("end_falls_and_grows", True, 2, [30], None, None),
    ("same_end", True, 2, [30, 31], None, None),
    ("offsets_passed", True, 1, [30, 31], None, None),
    ("written_again", True, 2, [21], None, None),
    ("written_again_and_newer", True, 3, [22, 30], None, None),
    ("new_era_offsets_passed", True, 1, [30, 31], 1, 2),
    ("new_era_same_end", True, 1, [30], 1, 2),
    ("new_era_two_lost", False, 2, [30, 31], 1, 2),
    ("new_era_written_again", True, 2, [21, 22], 1764990000000, 1764990009000),
    ("era_falls", True, 1, [30], 7, 3),
    ("first_era_is_negative", True, 2, [30], -1, -2),
    ("era_is_text", True, 2, [30], "one", "two"),
    ("era_is_named_no_longer", True, 2, [30], 4, None),
])
def test_bundles_at_offsets_given_out_again_come_into_force(late, lost, shares, era, new_era):
    with f.Fleet(routers=3, engines=1) as fleet:
        fleet.fault(fleet.log_port, era=era)
        fleet.start()
        for share in (20, 21, 22):
            fleet.roll(bundle_with_share(fleet, share))
        wait_in_force(fleet, 22)
        if late:
            freeze(fleet, True)
        fleet.fault(fleet.log_port, lose_newest_bundles=lost * RECORDS_OF_A_ROLL, era=new_era)
        for share in shares:
            roll_again(fleet, share)
        if late:
            freeze(fleet, False)
        wait_in_force(fleet, shares[-1])
        fleet.roll(bundle_with_share(fleet, 40))
        wait_in_force(fleet, 40)
        check_versions_only_increase(fleet)
        check_era_lines(fleet, era, new_era)


# Checks that each router has a line about an era that is none, or lower than the one before.
def check_era_lines(fleet, era, new_era):
    odd = [e for e in (era, new_era) if e is not None and not (isinstance(e, int) and e >= 0)]
    fell = not odd and None not in (era, new_era) and new_era < era
    for router in fleet.routers:
        text = router["process"].log_text()
        assert ("names an invalid era" in text) == bool(odd), text
        assert ("era of the log fell" in text) == fell, text


@table([("two_rolls", 2, None), ("all_rolls", 4, None), ("two_rolls_new_era", 2, 5)])
def test_a_bundle_that_the_copy_lacks_stays_in_force(lost, era):
    """Also after all routers have started again."""
    with f.Fleet(routers=3, engines=1) as fleet:
        fleet.fault(fleet.log_port, era=4)
        fleet.start()
        for share in (20, 21, 22):
            version = fleet.roll(bundle_with_share(fleet, share))
        wait_in_force(fleet, 22)
        fleet.fault(fleet.log_port, lose_newest_bundles=lost * RECORDS_OF_A_ROLL, era=era)
        wait_in_force(fleet, 22)
        assert versions(fleet) == [version] * 3
        check_versions_only_increase(fleet)
        for router in fleet.routers:
            router["process"].kill()
        fleet.start_routers()
        assert versions(fleet) == [version] * 3
        fleet.roll(bundle_with_share(fleet, 40))
        wait_in_force(fleet, 40)


def test_bundles_after_an_absence_without_eras_come_into_force():
    """The log ends where it did before, so that only the last known record shows the loss."""
    with f.Fleet(routers=3, engines=1).start() as fleet:
        for share in (20, 21):
            fleet.roll(bundle_with_share(fleet, share))
        wait_in_force(fleet, 21)
        fleet.fault(fleet.log_port, down=1)
        f.wait_for(lambda: all(not fleet.dump(r)["bundle"]["log_is_up"] for r in fleet.routers),
                   "the absence to be noticed")
        freeze(fleet, True)
        fleet.fault(fleet.log_port, down=0, lose_newest_bundles=RECORDS_OF_A_ROLL)
        roll_again(fleet, 30)
        time.sleep(0.1)
        freeze(fleet, False)
        wait_in_force(fleet, 30)
        check_versions_only_increase(fleet)


def test_a_version_above_its_offset_can_be_rolled_back_to():
    """Guards against commands that take the version of a bundle for the offset of its roll."""
    with f.Fleet(routers=1, engines=1).start() as fleet:
        for share in (20, 21, 22):
            fleet.roll(bundle_with_share(fleet, share))
        wait_in_force(fleet, 22)
        freeze(fleet, True)
        fleet.fault(fleet.log_port, lose_newest_bundles=3 * RECORDS_OF_A_ROLL)
        roll_again(fleet, 30)
        freeze(fleet, False)
        wait_in_force(fleet, 30)
        old = shown(fleet)["version"]
        offset = fleet.roll(bundle_with_share(fleet, 40))
        wait_in_force(fleet, 40)
        assert shown(fleet)["version"] == old + 1 > offset
        draft = json.loads(fleet.limpetctl("--json", "--author", "baraka", "rollback",
                                           old))["draft"]
        fleet.limpetctl("--key", fleet.approver["path"], "approve", draft)
        rolled = json.loads(fleet.limpetctl("--json", "--by", "baraka", "roll", draft))
        wait_in_force(fleet, 30)
        assert shown(fleet)["version"] == rolled["version"] == old + 2


def lose_and_roll(fleet, routers, lost, share):
    """Loses rolls and rolls another bundle while the routers stand still."""
    for router in routers:
        router["process"].freeze()
    fleet.fault(fleet.log_port, lose_newest_bundles=lost * RECORDS_OF_A_ROLL)
    roll_again(fleet, share)
    for router in routers:
        router["process"].thaw()


def one_router_behind(fleet):
    fleet.routers[2]["process"].freeze()
    fleet.roll(bundle_with_share(fleet, 23))
    f.wait_for(lambda: len(set(versions(fleet, fleet.routers[:2]))) == 1, "the roll")
    lose_and_roll(fleet, fleet.routers, 2, 30)


def one_router_has_bundles_from_peers(fleet):
    fleet.proxy("log-r02", refuse=1, cut=1)
    version = fleet.roll(bundle_with_share(fleet, 23))
    f.wait_for(lambda: versions(fleet) == [version] * 3, "the bundle at the router cut off")
    lose_and_roll(fleet, fleet.routers[:2], 1, 30)
    f.wait_for(lambda: min(versions(fleet, fleet.routers[:2])) > version, "the new bundle")
    fleet.proxy("log-r02", refuse=0)


def router_with_bundles_from_peers_reads_first(fleet):
    """It does not know that the log's bundle is newer than its own, nor that it is no ancestor."""
    fleet.proxy("log-r02", refuse=1, cut=1)
    for share in (23, 24):
        version = fleet.roll(bundle_with_share(fleet, share))
        f.wait_for(lambda: versions(fleet) == [version] * 3, "the bundle at the router cut off")
    others = fleet.routers[:2]
    for router in others:
        router["process"].freeze()
    fleet.fault(fleet.log_port, lose_newest_bundles=2 * RECORDS_OF_A_ROLL)
    roll_again(fleet, 30)
    fleet.proxy("log-r02", refuse=0)
    f.wait_for(lambda: fleet.dump(fleet.routers[2])["bundle"]["log_is_up"], "the log to be read")
    time.sleep(1)
    for router in others:
        router["process"].thaw()


def one_router_starts_during_the_loss(fleet):
    fleet.routers[2]["process"].kill()
    lose_and_roll(fleet, fleet.routers[:2], 2, 30)
    fleet.start_router(fleet.routers[2])


def lost_again_at_once(fleet):
    lose_and_roll(fleet, fleet.routers, 2, 31)
    lose_and_roll(fleet, fleet.routers, 2, 30)


def lost_again_after_the_restoration(fleet):
    lose_and_roll(fleet, fleet.routers, 2, 31)
    wait_in_force(fleet, 31)
    lose_and_roll(fleet, fleet.routers, 2, 30)


def appends_refused_for_a_second(fleet):
    lose_and_roll(fleet, fleet.routers, 2, 30)
    fleet.fault(fleet.log_port, down=1)
    time.sleep(1)
    fleet.fault(fleet.log_port, down=0)


@table([(case.__name__, case) for case in (
    one_router_behind, one_router_has_bundles_from_peers,
    router_with_bundles_from_peers_reads_first, one_router_starts_during_the_loss,
    lost_again_at_once, lost_again_after_the_restoration, appends_refused_for_a_second)])
def test_a_roll_after_a_loss_holds_beside_another_fault(lose):
    with f.Fleet(routers=3, engines=1, proxied=["log"]).start() as fleet:
        for share in (20, 21, 22):
            fleet.roll(bundle_with_share(fleet, share))
        wait_in_force(fleet, 22)
        lose(fleet)
        wait_in_force(fleet, 30)
        fleet.roll(bundle_with_share(fleet, 40))
        wait_in_force(fleet, 40)
        check_versions_only_increase(fleet)
