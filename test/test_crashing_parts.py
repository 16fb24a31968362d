"""Requests whose prompt has a part that crashes each server that begins to respond."""

import threading
import time

import fleet as f
from crashing_fleet import CrashingFleet
from platform_fake import Platform, route
from run_all import table
from test_platform import check, stream_events

CRASHING_PART = "bad0"
FIRST_PART = "51"
STABLE_WINDOW_S = 3   # stable_window_ms of the users' small sites
RESTART_S = 1.0       # a crashed server is replaced after this time
SERVERS = 6


class PartsFleet(CrashingFleet):
    """Routers with servers that crash under CRASHING_PART, and clients.

    framing, start: framing fields and start of the body of the response that a server sends before
    it crashes.
    arrivals: times at which requests with the part reached a server; crashes: times of the
    crashes; served: (time, whether it was served) of each request without the part."""

    def __init__(self, routers=3, framing="Transfer-Encoding: chunked", start=b"10\r\nid: 1\n"):
        self.head = "Content-Type: text/event-stream\r\n%s\r\n\r\n" % framing
        self.start = start
        self.arrivals = []
        self.is_crashing = True
        super().__init__([
            route("resume", "/resume/", "streaming", "model", resumable=True, max_attempts=3),
            route("stream", "/stream/", "streaming", "model")], "model", SERVERS, routers, RESTART_S)

    def on_request(self, server, message, connection):
        parts = [part.split(":")[0] for part in message.fields["prompt-prefix"].split(",")]
        if CRASHING_PART not in parts[:-1]:
            stream_events(server, connection, message, 1, 3)
            return True
        self.arrivals.append(time.monotonic())
        connection.sendall(server.head(message, 200, self.head) + self.start)
        time.sleep(0.02)
        if self.is_crashing:
            self.crash(server, time.monotonic())
        raise OSError("closed")

    # Sends one request; returns whether it was served completely.
    def request(self, path, number, has_part, router):
        parts = [FIRST_PART + ":64", "c%d:500" % (number % 5), "e%x:20" % number]
        if has_part:
            parts.insert(1 + number % 2, CRASHING_PART + ":100")
        try:
            response = self.platform.call(path, "POST", body=b"p", router=router,
                                          fields=[("Prompt-Prefix", ",".join(parts))])
            return response.status == 200
        except (OSError, ValueError):
            return False

    def send(self, has_part, interval_s, until):
        """Sends requests to the routers in turn until the function until returns true."""
        number = 0
        while not until() and not self.stopped.is_set():
            path = "/resume/" if number % 3 == 0 else "/stream/"
            router = number % len(self.platform.routers)
            served = self.request(path, number, has_part, router)
            if not has_part:
                self.served.append((time.monotonic(), served))
            number += 1
            time.sleep(interval_s)

    def play(self, seconds):
        """Sends requests with the part and without it for this time."""
        end = time.monotonic() + seconds
        senders = [threading.Thread(target=self.send, daemon=True,
                                    args=(has_part, interval_s, lambda: time.monotonic() > end))
                   for has_part, interval_s in ((True, 0.12), (True, 0.12), (False, 0.02),
                                                (False, 0.02))]
        for sender in senders:
            sender.start()
        for sender in senders:
            sender.join()

    # Returns the number of requests with the part that reached a server after the time.
    def arrivals_after(self, at):
        return sum(arrived > at for arrived in self.arrivals)


@table([("chunked", "Transfer-Encoding: chunked", b"10\r\nid: 1\n"),
        ("without_length", "Connection: close", b"id: 1\n"),
        ("without_length_or_body", "Connection: close", b"")])
def test_a_part_that_crashes_servers_is_kept_from_them(framing, start):
    """At most three requests with the part reach servers from 3 s after the fifth crash on."""
    with PartsFleet(framing=framing, start=start) as fleet:
        fleet.play(10)
        bound_at = (fleet.crashes[4] if len(fleet.crashes) > 4 else fleet.crashes[-1]) \
            + STABLE_WINDOW_S
        check(fleet.arrivals_after(bound_at) <= 3, len(fleet.crashes), len(fleet.arrivals),
              fleet.arrivals_after(bound_at))
        check(fleet.served_after(bound_at + STABLE_WINDOW_S) >= 0.5, len(fleet.served))


@table([("one", 1), ("all", 3)])
def test_restarted_routers_know_the_part_that_crashes_servers(count):
    """At most three requests with the part reach servers from 3 s after the restart on."""
    with PartsFleet() as fleet:
        fleet.play(5)
        for router in fleet.platform.routers[:count]:
            router["process"].kill()
        del fleet.platform.routers[:count]
        for _ in range(count):
            fleet.platform.add_router()
        time.sleep(STABLE_WINDOW_S)
        restarted_at = time.monotonic()
        fleet.play(5)
        check(fleet.arrivals_after(restarted_at) <= 3, fleet.arrivals_after(restarted_at))
        check(fleet.served_after(restarted_at) >= 0.5, len(fleet.served))


def test_malformed_records_of_quarantined_parts_are_ignored():
    with Platform(start=False) as platform:
        platform.add_server("model", on_request=lambda s, m, c: stream_events(s, c, m, 1, 3) or True)
        for key, value in (("part:1", "{"), ("part:2", "[]"), ("part:", {"crashes": 7}),
                           ("part:3", {"crashes": [{"target": "x"}] * 9}), ("r9", "no address"),
                           ("part:4", {"depth": -1, "crashes": [{"at": -1, "target": -1}] * 3})):
            platform.store.put("keyed.routers", key, value)
        platform.start()
        f.wait_for(lambda: "record ignored" in platform.log(), "the log line")
        for part in range(1, 5):
            response = platform.call("/stream/", "POST", body=b"p",
                                     fields=[("Prompt-Prefix", "%d:9,77:9" % part)])
            check(response.status == 200, part, response.line)
