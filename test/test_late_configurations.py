"""Routers that lose responses of the store, or get them slowly, and configurations meanwhile."""

import re
import time
from datetime import datetime

import fleet as f
from platform_fake import Platform, ROUTES, Store, route
from run_all import table
from test_platform import check

IDLE_ROUTES = 250       # about 55 KB a configuration
# Limits of the users' small sites and, from LARGE_FLEET routers on, of their grown ones.
CONFIG_APPLY_S = (2.0, 3.0)
STABLE_WINDOW_S = (3.0, 4.0)
LARGE_FLEET = 24
CATCH_UP_S = 4
DRAIN_S = 2
OUTAGE_S = 9
SLOW_BYTES_PER_S = 60000


class LateFleet:
    """Routers of which the first third, at least one, has a store of its own with own faults."""

    def __init__(self, routers):
        self.is_large = routers >= LARGE_FLEET
        idle = [route("idle-%05d" % n, "/idle-%05d/" % n, "safe", "plain")
                for n in range(IDLE_ROUTES)]
        self.platform = Platform(routes=ROUTES + idle, start=False)
        self.platform.add_server()
        self.written = []   # (version, time)
        self.stores = []
        try:
            for _ in range(max(1, routers // 3)):
                self.stores.append(Store(self.platform.store.topics))
                self.platform.add_router(store=self.stores[-1])
            for _ in range(routers - len(self.stores)):
                self.platform.add_router()
            self.platform.wait_for_routers(routers)
        except BaseException:
            self.__exit__()
            raise

    def __enter__(self):
        return self

    def __exit__(self, *unused):
        self.platform.__exit__()
        for store in self.stores:
            store.listener.close()

    def set_mode(self, mode):
        for store in self.stores:
            store.mode = mode

    def write(self):
        """Writes a configuration in which the last route has another prefix and the second key is
        another one."""
        number = len(self.written)
        self.platform.configure(self.platform.routes[:-1]
                                + [route("new", "/new-%d/" % number, "safe", "plain")],
                                keys=("key-1", "key-of-%d" % number))
        self.written.append((self.platform.version, time.time()))

    def check_newest_is_in_force(self):
        newest = len(self.written) - 1
        for router in range(len(self.platform.routers)):
            for number, status, key_status in ((newest, 200, 200), (newest - 1, 404, 401)):
                check(self.platform.call("/new-%d/" % number, router=router).status == status)
                check(self.platform.call("/safe/", key="key-of-%d" % number,
                                         router=router).status == key_status)

    def applied(self, router):
        """Returns (version, time) of each version that a router has put in force."""
        return [(int(version), datetime.fromisoformat(at + "+00:00").timestamp())
                for at, version in re.findall(r"time=(\S+)Z .*step=configuration .*version=(\d+)",
                                              self.platform.log(router))]

    def wait_for_newest(self, limit_s):
        """Waits until the newest version is in force at all routers, and returns when it was at the
        last one."""
        version = self.written[-1][0]
        for router in range(len(self.platform.routers)):
            f.wait_for(lambda: self.applied(router)[-1][0] == version,
                       "version %d at router %d" % (version, router), limit_s)
        return max(self.applied(router)[-1][1] for router in range(len(self.platform.routers)))

    def lateness_s(self):
        """Returns the longest time that any version, or a later one, took to be in force at the
        last router."""
        longest = 0
        for router in range(len(self.platform.routers)):
            applied = self.applied(router)
            for version, written in self.written:
                longest = max(longest, min(at for known, at in applied if known >= version) - written)
        return longest


@table([("%d_routers_%s" % (routers, name), routers, faults, bytes_per_s)
        for routers in (1, 3, 9, 24)
        for name, faults, bytes_per_s in (("answers", [], 0), ("one_lost", ["lost"], 0),
                                          ("two_lost", ["lost"] * 2, 0), ("half", ["half"], 0),
                                          ("slow", [], SLOW_BYTES_PER_S))
        if routers > 1 or not bytes_per_s])
def test_routers_have_the_newest_configuration_in_time_after_a_cut(routers, faults, bytes_per_s):
    """Versions are written while a third of the routers is cut off from the store."""
    with LateFleet(routers) as fleet:
        fleet.set_mode("silent")
        until = time.monotonic() + OUTAGE_S
        while time.monotonic() < until:
            fleet.write()
            time.sleep(0.3)
        for store in fleet.stores:
            store.faults = list(faults)
            store.bytes_per_s = bytes_per_s
        fleet.set_mode("ok")
        returned = time.time()
        late_s = fleet.wait_for_newest(15) - returned
        check(late_s < STABLE_WINDOW_S[fleet.is_large], late_s)
        fleet.check_newest_is_in_force()


@table([("%d_routers_%s" % (routers, name), routers, faults, bytes_per_s)
        for routers in (1, 3, 9, 24)
        for name, faults, bytes_per_s in (("one_lost", ["lost"], 0), ("two_lost", ["lost"] * 2, 0),
                                          ("half", ["half"], 0), ("slow", [], SLOW_BYTES_PER_S))
        if routers > 1 or not bytes_per_s])
def test_versions_in_series_are_in_force_in_time(routers, faults, bytes_per_s):
    """A third of the routers loses responses at each fourth version."""
    with LateFleet(routers) as fleet:
        for store in fleet.stores:
            store.bytes_per_s = bytes_per_s
        for n in range(20):
            if n % 4 == 0:
                for store in fleet.stores:
                    store.faults = list(faults)
            fleet.write()
            time.sleep(0.3 + 0.7 * (n % 4 == 3))
        fleet.wait_for_newest(15)
        late_s = fleet.lateness_s()
        check(late_s < CONFIG_APPLY_S[fleet.is_large], late_s)
        fleet.check_newest_is_in_force()


@table([("one_lost", 1), ("two_lost", 2), ("three_lost", 3)])
def test_a_router_that_loses_responses_to_the_list_of_routers_finds_the_others(count):
    """Within catch_up_s of the users' small sites."""
    with Platform(routers=3, start=False) as platform:
        platform.add_server()
        platform.start()
        platform.wait_for_routers(3)
        store = platform.add_store()
        store.faulty_topic = "keyed.routers"
        store.faults = ["lost"] * count
        started = time.monotonic()
        platform.add_router(store=store)
        f.wait_for(lambda: platform.metric("limpetroad_routers ", 3) == 4, "the other routers")
        late_s = time.monotonic() - started
        check(late_s < CATCH_UP_S, late_s)


@table([("one_lost", 1), ("two_lost", 2)])
def test_a_draining_server_gets_no_requests_from_a_router_that_loses_responses(count):
    """Within drain_ms of the users' small sites."""
    with Platform(start=False) as platform:
        draining, _ = platform.add_server(), platform.add_server()
        platform.start()
        platform.store.faulty_topic = "keyed.servers"
        for _ in range(5):
            draining.write("ready")
            f.wait_for(lambda: not platform.store.faults, "a good response")
            platform.store.faults = ["lost"] * count
            draining.write("draining")
            time.sleep(DRAIN_S)
            seen = len(draining.seen)
            for _ in range(20):
                check(platform.call("/safe/").status == 200)
            check(len(draining.seen) == seen, len(draining.seen), seen)
            draining.born += 1000
            draining.sequence = 0


@table([("%d_routers" % routers, routers) for routers in (3, 9, 24)])
def test_routers_cut_off_from_the_store_follow_the_others(routers):
    with LateFleet(routers) as fleet:
        fleet.set_mode("silent")
        for _ in range(10):
            fleet.write()
            time.sleep(0.5)
        fleet.wait_for_newest(15)
        late_s = fleet.lateness_s()
        check(late_s < CONFIG_APPLY_S[fleet.is_large], late_s)
        fleet.check_newest_is_in_force()


def test_a_repeated_response_of_the_store_is_not_taken_for_the_next_one():
    """The store sends each response again, late, when the next request has come."""
    with Platform(start=False) as platform:
        platform.add_server()
        platform.store.repeats = True
        platform.start()
        for number in range(5):
            platform.configure(platform.routes[:-1]
                               + [route("new", "/new-%d/" % number, "safe", "plain")])
            f.wait_for(lambda: platform.call("/new-%d/" % number).status == 200,
                       "the new route", CONFIG_APPLY_S[0])
            platform.add_server("sound" if number % 2 else "plain")
        offset = len(platform.store.topics["keyed.servers"])
        f.wait_for(lambda: platform.metric(
            'limpetroad_topic_offset{topic="keyed.servers"}') == offset, "the servers", 3)
        check(platform.metric('limpetroad_topic_end{topic="keyed.servers"}') == offset)
        check(platform.call("/new-0/").status == 404)
