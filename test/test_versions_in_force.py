"""Routers answer by the newest configuration although datagrams between them come late."""

import random
import signal
import socket
import struct
import subprocess
import threading
import time

import fleet as f
from platform_fake import Platform, ROUTES, route
from run_all import table
from test_platform import check

ROUTERS = 6
APPLY_S = 2            # config_apply_ms
INTERVAL_S = 2.6       # between two versions
VERSIONS = 10
POLL_S = 0.05
STANDSTILL_S = (0.05, 0.4)
RUN_S = (0.01, 0.04)   # between two standstills


class VersionSeries:
    """Writes versions, each with a new route and a new key in place of the last ones, and checks at
    all routers which of them are in force."""

    def __init__(self, platform):
        self.platform = platform
        self.begun, self.written = 0, []   # versions; times at which they were in the store
        self.right, self.wrong = [], []
        self.end = threading.Event()

    def write(self):
        self.begun += 1
        number = len(self.written)
        self.platform.configure(ROUTES + [route("new", "/new-%d/" % number, "safe", "plain")],
                                keys=("key-1", "key-of-%d" % number))
        self.written.append(time.monotonic())

    def poll(self, router):
        with self.platform.client(router) as client:
            while not self.end.wait(POLL_S):
                newest = self.begun - 1
                for path, key, wanted in (("/new-%d/" % newest, "key-1", 200),
                                          ("/safe/", "key-of-%d" % newest, 200),
                                          ("/new-%d/" % (newest - 1), "key-1", 404),
                                          ("/safe/", "key-of-%d" % (newest - 1), 401)):
                    if newest < 1 or len(self.written) <= newest:
                        continue
                    late_s = time.monotonic() - self.written[newest]
                    status = client.call(path, key=key).status
                    if late_s > APPLY_S and self.begun - 1 == newest:
                        (self.right if status == wanted else self.wrong).append(
                            (router, newest, status, wanted, late_s))

    def play(self):
        threads = [threading.Thread(target=self.poll, args=(router,)) for router in range(ROUTERS)]
        for thread in threads:
            thread.start()
        try:
            for _ in range(VERSIONS):
                self.write()
                time.sleep(INTERVAL_S)
        finally:
            self.end.set()
            for thread in threads:
                thread.join()
        check(self.right and not self.wrong, len(self.right), len(self.wrong), self.wrong[:5])


class SlowRouter:
    """A router behind a slow link: it passes on each datagram of another router to all of them, as
    its own, delay_s after it was sent."""

    def __init__(self, platform, delay_s):
        self.routers = [router["ip"] for router in platform.routers]
        self.port = platform.peer_port
        self.delay_s = delay_s
        self.ip = "127.%d.%d.%d" % (random.randrange(1, 250), random.randrange(250),
                                    random.randrange(1, 250))
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((self.ip, self.port))
        self.pass_on(b"")
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while True:
            try:
                data, (sender, _) = self.socket.recvfrom(8192)
            except OSError:
                return
            # The first field of a message (fixed32) is the sender's address.
            if sender in self.routers and data[:1] == b"\x0d":
                threading.Timer(self.delay_s, self.pass_on, (data[5:],)).start()

    def pass_on(self, fields):
        address = struct.unpack("<I", socket.inet_aton(self.ip))[0]
        for router in self.routers:
            try:
                self.socket.sendto(struct.pack("<BI", 0x0d, address) + fields, (router, self.port))
            except OSError:
                return  # closed

    def close(self):
        self.socket.close()


@table([("%d_ms" % (1000 * delay_s), delay_s) for delay_s in (0.4, 0.6)])
def test_a_slow_link_of_a_router_does_not_keep_the_others_from_reading(delay_s):
    """Guards against ages that leave out the time that a datagram was under way: with each hop the
    last read of the store seemed newer, and all routers put off theirs."""
    with Platform(routers=ROUTERS, start=False) as platform:
        platform.add_server()
        platform.start()
        platform.wait_for_routers(ROUTERS)
        slow = SlowRouter(platform, delay_s)
        try:
            VersionSeries(platform).play()
        finally:
            slow.close()


def test_routers_with_a_small_share_of_a_processor_follow_the_versions():
    """Guards against ages that leave out the time that a datagram waited in a router's socket."""
    with Platform(routers=ROUTERS, start=False) as platform:
        platform.add_server()
        platform.start()
        platform.wait_for_routers(ROUTERS)
        series = VersionSeries(platform)

        def run_in_turns(router):
            rng = random.Random(router)
            process = platform.routers[router]["process"]
            while not series.end.wait(rng.uniform(*RUN_S)):
                process.signal(signal.SIGSTOP)
                time.sleep(rng.uniform(*STANDSTILL_S))
                process.signal(signal.SIGCONT)

        threads = [threading.Thread(target=run_in_turns, args=(router,))
                   for router in range(ROUTERS)]
        for thread in threads:
            thread.start()
        try:
            series.play()
        finally:
            series.end.set()
            for thread in threads:
                thread.join()


def play_simulated_fleets(tests):
    result = subprocess.run([f.program("test_liblimpetroad"), tests],
                            capture_output=True, text=True, errors="replace")
    check(result.returncode == 0, result.stdout[-2000:])


def test_clocks_that_jump_mislead_no_simulated_router():
    """Guards against reads put off or believed to be newer, 20 seeds of simulated fleets each."""
    play_simulated_fleets("--clock-jumps")


def test_jitter_makes_no_read_newer_for_simulated_routers():
    """Guards against reads believed to be newer, 20 seeds of simulated fleets each."""
    play_simulated_fleets("--clock-limits")
