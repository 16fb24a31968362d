"""Brittle servers stay up while callers ask for more than they can do."""

import threading
import time

from falling_fleet import ALLOWED_FALLS, FallingFleet
from run_all import table
from test_platform import check

CALM_S = 4        # the routers hear that the servers are brittle, and their queues have become short
OVERLOAD_S = 14
OVERLOAD = 1.6    # callers for each slot


# Checks the falls, and that at least half of what the servers can do is done.
def check_overload(fleet, share):
    falls = ["%.1f s %s %d" % (at - fleet.falls[0][0], name, count) for at, name, count in fleet.falls]
    check(len(falls) <= ALLOWED_FALLS and share >= 0.5, "falls", falls, "served %.2f" % share)


@table([("%s_%d_routers" % (kind, routers), kind, routers)
        for kind in ("engine", "plain") for routers in (3, 6, 9, 24)])
def test_brittle_servers_stay_up_in_a_steady_overload(kind, routers):
    with FallingFleet(kind, routers) as fleet:
        share = fleet.play(CALM_S, OVERLOAD_S, OVERLOAD, lambda at: False)
        check_overload(fleet, share)


@table([("engine", "engine"), ("plain", "plain")])
def test_brittle_servers_stay_up_when_all_callers_come_at_once(kind):
    """They pause for a second in four, and are three times as many as the slots."""
    def pause(at):
        fleet.is_paused.set() if at % 4 > 3 else fleet.is_paused.clear()

    with FallingFleet(kind, 9) as fleet:
        share = fleet.play(CALM_S, OVERLOAD_S, 3, pause)
        check_overload(fleet, share)


@table([("%s_%s_id" % (kind, name), kind, name == "same")
        for kind in ("engine", "plain") for name in ("new", "same")])
def test_brittle_servers_that_come_back_stay_up(kind, keeps_id):
    """All servers crash once, one after the other, for other reasons."""
    def crash(at):
        if len(crashed) <= at / 1.5 and servers:
            crashed.append(servers[0].id)
            fleet.crash(servers.pop(0))

    with FallingFleet(kind, 9, keeps_id) as fleet:
        crashed = []
        servers = list(fleet.platform.servers)
        share = fleet.play(CALM_S, OVERLOAD_S, OVERLOAD, crash)
        check_overload(fleet, share)


@table([("engine", "engine"), ("plain", "plain")])
def test_brittle_servers_stay_up_while_routers_are_replaced(kind):
    def replace(at):
        if len(replaced) <= at / 1.5 and len(replaced) < 7:
            replaced.append(at)
            fleet.replace_router(len(replaced))

    with FallingFleet(kind, 9) as fleet:
        replaced = []
        share = fleet.play(CALM_S, OVERLOAD_S, OVERLOAD, replace)
        check_overload(fleet, share)


@table([("engine", "engine"), ("plain", "plain")])
def test_servers_that_become_brittle_in_an_overload_stay_up(kind):
    """They are sound again after 9 s."""
    def change(at):
        if at > 1 and not changes:
            changes.append(at)
            fleet.brittle_since = time.monotonic()
        elif at > 10 and len(changes) == 1:
            changes.append(at)
            fleet.brittle_since = None

    with FallingFleet(kind, 9, is_brittle=False) as fleet:
        changes = []
        share = fleet.play(CALM_S, OVERLOAD_S, OVERLOAD, change)
        check_overload(fleet, share)


@table([("6_routers", 6), ("9_routers", 9), ("24_routers", 24)])
def test_brittle_servers_serve_nearly_all_of_a_light_load(routers):
    """A sixth of the slots is asked for; the calls come to the routers by turns."""
    with FallingFleet("plain", routers) as fleet:
        time.sleep(CALM_S)
        statuses = []

        def call(number):
            for router in range(number, 60 + number):
                statuses.append(fleet.platform.call(fleet.path, router=router % routers).status)

        callers = [threading.Thread(target=call, args=(7 * number,)) for number in range(6)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        check(not fleet.falls and statuses.count(200) >= 0.98 * len(statuses), statuses.count(200), len(statuses))
