"""The store answers some reads as of some seconds ago, though it loses and refuses nothing."""

import copy
import random
import threading
import time
import urllib.parse

from platform_fake import Store
from run_all import table
from test_store_copies import CopiedStore, DrillSeries

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
