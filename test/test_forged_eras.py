"""A datagram names an era of the store that never began."""

import random
import socket
import time

from run_all import table
from test_store_copies import AWAY_S, CopiedStore, LOST_S, ROUTERS, STABLE_S

HIGHEST_ERA = 2 ** 23 - 1


def varint(number):
    """Returns a number as Protocol Buffers write it."""
    out = b""
    while number > 127:
        out += bytes([number & 127 | 128])
        number >>= 7
    return out + bytes([number])


def announce_era(platform, era):
    """Tells each router, as another one, that the configuration has a record of the era."""
    update = b"\x10\x01\x50" + varint(era)  # TopicUpdate: end (field 2) and era (field 10)
    ip = "127.251.0.%d" % random.randrange(1, 250)
    message = b"\x0d" + socket.inet_aton(ip) + b"\x1a" + varint(len(update)) + update
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.bind((ip, platform.peer_port))
        for router in platform.routers:
            sender.sendto(message, (router["ip"], platform.peer_port))


def follow_false_era(platform, era):
    platform.write_version()
    platform.wait_for_version()
    announce_era(platform, era)
    time.sleep(STABLE_S)


@table([("highest", HIGHEST_ERA), ("half", HIGHEST_ERA // 2), ("three_quarters", 3 * 2 ** 21)])
def test_restorations_are_noticed_after_an_era_that_never_began(era):
    """Guards against an era that no later one can pass, so that offsets given out again are skipped."""
    with CopiedStore() as platform:
        follow_false_era(platform, era)
        for _ in range(2):
            platform.write_versions_to_lose(2)
            platform.store.play_drill(LOST_S, AWAY_S, write=lambda: platform.write_versions(1))
            time.sleep(STABLE_S)
            platform.check_newest_is_in_force()


@table([("highest", HIGHEST_ERA), ("three_quarters", 3 * 2 ** 21)])
def test_a_router_that_starts_after_an_era_that_never_began_follows(era):
    """Guards against a router that believes neither the others nor the store."""
    with CopiedStore() as platform:
        follow_false_era(platform, era)
        for _ in range(2):
            platform.write_versions_to_lose(2)
            platform.store.play_drill(LOST_S, AWAY_S, write=lambda: platform.write_versions(1))
            if len(platform.routers) == ROUTERS:
                platform.add_router()
            time.sleep(STABLE_S)
            platform.check_newest_is_in_force()
        platform.write_version()
        platform.wait_for_version()
