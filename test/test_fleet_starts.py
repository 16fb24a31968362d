"""Routers that start while others hold the state, and how many calls to the store a fleet makes."""

import random
import time

import fleet as f
from platform_fake import Platform, ROUTES, Store, route
from run_all import table

READY_S = 1.0
IDLE_ROUTES = 1000      # about 220 KB a configuration
STATE_TOPICS = ("keyed.op", "keyed.servers")


def check(condition, *details):
    if not condition:
        raise AssertionError(details)


class SeededFleet(Platform):
    """Routers that know the addresses of three of them from their settings."""

    def __init__(self, routers, idle_routes=0):
        idle = [route("idle-%05d" % n, "/idle-%05d/" % n, "safe", "plain")
                for n in range(idle_routes)]
        super().__init__(routes=ROUTES + idle, start=False)
        network = "127.%d.%d" % (random.randrange(1, 250), random.randrange(1, 250))
        self.ips = ["%s.%d" % (network, n + 1) for n in range(routers)]
        self.seeds = self.ips[:3]
        self.add_server()

    def start_all(self):
        for ip in self.ips:
            self.add_router(wait=False, ip=ip, seeds=self.seeds)
        for router in self.routers:
            f.wait_for(lambda: self.is_ready(router), "a router to be ready", 15)

    def restart(self, index, store=None):
        """Kills a router and returns how long its successor took to be ready."""
        self.routers[index]["process"].kill()
        started = time.monotonic()
        router = self.add_router(wait=False, ip=self.ips[index], seeds=self.seeds, store=store)
        self.routers[index] = router
        f.wait_for(lambda: self.is_ready(router), "the router to be ready", 15)
        return time.monotonic() - started

    def state_calls(self):
        return sum(self.store.count("topic=" + topic) for topic in STATE_TOPICS)


@table([("%d_routers_%s_%s" % (routers, name, topics), routers, mode, delay_s, topics)
        for routers in (3, 9)
        for name, mode, delay_s in (("silent", "silent", 0), ("busy", "busy", 0),
                                    ("reset", "reset", 0), ("slow", "ok", 3))
        for topics in ("all", "one")])
def test_a_router_that_starts_gets_the_state_from_others(routers, mode, delay_s, topics):
    """The store does not give the configuration, or nothing, to routers that start."""
    with SeededFleet(routers) as platform:
        platform.start_all()
        platform.wait_for_routers(routers)
        store = Store(platform.store.topics)
        store.only_topic = "keyed.op" if topics == "one" else None
        store.mode = mode
        store.delay_s = delay_s
        try:
            for index in (routers - 1, 1):
                took_s = platform.restart(index, store)
                check(took_s <= READY_S, took_s)
                check(platform.call("/safe/", router=index).status == 200)
        finally:
            store.listener.close()


def test_keys_that_were_taken_away_stay_so_at_a_router_that_starts():
    with SeededFleet(3) as platform:
        platform.configure(keys=("key-1", "key-2"))
        platform.start_all()
        platform.wait_for_routers(3)
        store = Store(platform.store.topics)
        store.mode = "silent"
        try:
            for number in range(5):
                platform.configure(keys=("key-1", "key-%d" % (number + 3)))
                for router in (0, 1):
                    f.wait_for(lambda: platform.call("/safe/", key="key-%d" % (number + 3),
                                                     router=router).status == 200,
                               "the new key")
                check(platform.restart(2, store) <= READY_S)
                check(platform.call("/safe/", key="key-%d" % (number + 2),
                                    router=2).status == 401)
                check(platform.call("/safe/", key="key-%d" % (number + 3),
                                    router=2).status == 200)
        finally:
            store.listener.close()


@table([("%d_routers" % routers, routers) for routers in (9, 24)])
def test_a_fleet_that_starts_at_once_reads_the_state_a_few_times(routers):
    """The calls for configuration and servers; each router made two and more before."""
    with SeededFleet(routers, IDLE_ROUTES) as platform:
        platform.start_all()
        calls = platform.state_calls()
        check(calls <= routers, calls)
        for router in range(routers):
            check(platform.call("/safe/", router=router).status == 200)


@table([("%d_routers" % routers, routers) for routers in (9, 24)])
def test_new_configurations_are_passed_on(routers):
    """Each router read each version from the store before."""
    versions = 10
    with SeededFleet(routers, IDLE_ROUTES) as platform:
        platform.start_all()
        platform.wait_for_routers(routers)
        platform.store.requested_paths.clear()
        started = time.monotonic()
        for number in range(versions):
            platform.configure(platform.routes[:-1]
                               + [route("new", "/new-%d/" % number, "safe", "plain")])
            for router in range(routers):
                f.wait_for(lambda: platform.call("/new-%d/" % number,
                                                 router=router).status == 200,
                           "the new route", 2)
        elapsed_s = time.monotonic() - started
        # Two calls a version, beside the reads that find new versions.
        bound = 2 * versions + 4 * elapsed_s / 0.7
        check(platform.store.count("topic=keyed.op") <= bound,
              platform.store.count("topic=keyed.op"), bound)


def test_routers_register_although_their_settings_name_others():
    """Otherwise a router whose settings name none that runs finds nobody."""
    with SeededFleet(9) as platform:
        platform.start_all()
        platform.wait_for_routers(9)
        f.wait_for(lambda: len(platform.store.topics.get("keyed.routers", [])) >= 4,
                   "routers to register")
        platform.add_router(seeds=["127.99.0.1"])
        f.wait_for(lambda: platform.metric("limpetroad_routers ", 9) >= 10, "the others")
