"""The store answers some reads as of some seconds ago, though it loses and refuses nothing."""

import copy
import random
import threading
import time
import urllib.parse

import fleet as f
from platform_fake import ROUTES, Store, route
from run_all import table
from test_platform import check
from test_store_copies import APPLY_S, CopiedStore, DrillSeries, LOST_S, POLL_S, STABLE_S, settle_before_losses

ROUTERS = 6
STALE_S = 3.0
STALE_PART = 1 / 3
PLAY_S = 32


class StaleStore(Store):
    """Answers a part of the reads of a store by the records that it had STALE_S ago."""

    def __init__(self, store, seed, part=STALE_PART):
        super().__init__(store.topics)
        self.era, self.appended = store.era, store.appended
        self.rng = random.Random(seed)
        self.part = part
        self.is_stale = False

    def respond(self, path, message):
        if not self.is_stale or "/log-append" in path or self.rng.random() >= self.part:
            return super().respond(path, message)
        topic = dict(urllib.parse.parse_qsl(urllib.parse.urlparse(path).query))["topic"]
        with self.lock:
            kept = sum(at < time.monotonic() - STALE_S for at in self.appended.get(topic, ()))
            old = copy.copy(self)
            old.lock, old.topics = threading.Lock(), {topic: self.topics.get(topic, [])[:kept]}
        return Store.respond(old, path, message)


class StalePlatform(CopiedStore):
    """Its routers and servers use a store of which some reads are stale."""

    def __init__(self, seed, era):
        self.seed = seed
        super().__init__(routers=ROUTERS, era=era)

    def start(self):
        self.store.listener.close()
        self.store = StaleStore(self.store, self.seed)
        for server in self.servers:
            server.store = self.store
        super().start()


@table([("no_eras_seed_%d" % seed, seed, None) for seed in (7, 8)] + [("eras_seed_7", 7, 1)])
def test_stale_reads_keep_no_change_from_coming_into_force(seed, era):
    """Guards against a stale read that stands for the newest state until it is too late."""
    with StalePlatform(seed, era) as platform:
        series = DrillSeries(platform, seed, 0, 0, every_s=PLAY_S, drills=0)
        platform.store.is_stale = True
        series.play()


@table([("no_eras", None), ("eras", 1)])
def test_routers_that_get_stale_reads_only_follow_the_others(era):
    """Guards against a stale read that counts for more than what other routers have announced."""
    with CopiedStore(routers=ROUTERS // 2, era=era) as platform:
        stale = StaleStore(platform.store, 1, part=1)
        platform.second_store = stale
        for _ in range(ROUTERS // 2):
            platform.add_router(store=stale)
        platform.wait_for_routers(ROUTERS)
        series = DrillSeries(platform, 1, 0, 0, every_s=PLAY_S / 2, drills=0)
        stale.is_stale = True
        series.play()


class StaleSnapshots(Store):
    """Answers the next stale_left reads of a snapshot of the servers by stale_records. tells_first: 410 names
    the first retained offset."""

    def __init__(self, store):
        super().__init__(store.topics)
        self.era, self.appended = store.era, store.appended
        self.stale_left, self.stale_records = 0, []
        self.tells_first = True

    def respond(self, path, message):
        if not self.stale_left or "/log-newest" not in path or "keyed.servers" not in path:
            status, body = super().respond(path, message)
            return status, body if status != 410 or self.tells_first else b"{}"
        self.stale_left -= 1
        old = copy.copy(self)
        old.lock, old.topics = threading.Lock(), {"keyed.servers": self.stale_records}
        return Store.respond(old, path, message)


class DroppedHistory(CopiedStore):
    """One router whose next read of the servers is from an offset that is no longer retained. The newest
    server, the only one of its service, stands in the record before that offset."""

    def __init__(self, era):
        super().__init__(routers=1, era=era)
        self.configure(ROUTES + [route("newest", "/newest/", "safe", "sound")])
        self.stale_records = list(self.store.topics["keyed.servers"])
        self.newest = self.add_server("sound")
        f.wait_for(lambda: self.call("/newest/").status == 200, "the server to be in use", APPLY_S)

    def start(self):
        self.store.listener.close()
        self.store = StaleSnapshots(self.store)
        for server in self.servers:
            server.store = self.store
        super().start()

    def drop_history(self, stale_reads):
        with self.store.lock:
            self.store.stale_records, self.store.stale_left = self.stale_records, stale_reads
            for server in self.servers[:2]:
                server.write("ready")
            self.store.drop_history("keyed.servers")


@table([("eras", 1), ("no_eras", None)])
def test_an_outdated_snapshot_after_dropped_records_takes_no_server_away(era):
    """Guards against a snapshot that ends before the records which the router had."""
    with DroppedHistory(era) as platform:
        platform.drop_history(stale_reads=4)
        ends = time.monotonic() + STABLE_S
        while time.monotonic() < ends:
            check(platform.call("/newest/").status == 200, platform.store.stale_left)
            time.sleep(POLL_S)
        check(platform.store.stale_left == 0)
        platform.newest.remove()
        f.wait_for(lambda: platform.call("/newest/").status == 503, "the removal", APPLY_S)


def test_a_store_that_lost_records_and_tells_no_first_offset_is_followed():
    """Guards against refusing the snapshots of such a store for ever."""
    with DroppedHistory(None) as platform:
        settle_before_losses()
        for server in platform.servers[:2] * 2:
            server.write("ready")
        f.wait_for(lambda: platform.metric('limpetroad_topic_end{topic="keyed.servers"}')
                   == len(platform.store.topics["keyed.servers"]), "the entries", APPLY_S)
        platform.store.tells_first = False
        platform.store.lose_newest(LOST_S)
        platform.newest.write("draining")
        f.wait_for(lambda: platform.call("/newest/").status == 503, "the leaving", STABLE_S)
