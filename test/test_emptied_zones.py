"""Zones that the operator has emptied, and servers that are cold."""

import threading
import time

import fleet as f
from platform_fake import Platform, chunk, event
from run_all import table
from test_platform import check

OBEY_S = 2.0  # within which a change of the configuration is in force
COLD_PER_S = 5
# Requests that a cold server gets in any second, at most: the settings' excess and slack.
COLD_BOUND = 1.5 * COLD_PER_S + 5


class TwoZones:
    """Two servers in each of the zones a and b behind some routers; the routers know each other."""

    def __init__(self, routers=2, service="plain"):
        self.platform = Platform(start=False)
        self.servers = [self.platform.add_server(service, zone=zone) for zone in "abab"]
        self.platform.start()
        for _ in range(routers - 1):
            self.platform.add_router()
        if routers > 1:
            self.platform.wait_for_routers(routers)

    def __enter__(self):
        return self

    def __exit__(self, *unused):
        self.platform.__exit__()

    def empty(self, zone="a"):
        self.platform.store.put("keyed.op", "evacuate/" + zone, {"by": "operator"})

    def take_back(self, zone="a"):
        self.platform.store.put("keyed.op", "evacuate/" + zone, None)

    def ran(self, zone):
        return sum(len(server.ran) for server in self.servers if server.zone == zone)

    # Sends requests through a router; returns how many ran in zone a and how many got 200.
    def play(self, router=0, count=30):
        before = self.ran("a")
        statuses = [self.platform.call("/safe/1", router=router).status for _ in range(count)]
        return self.ran("a") - before, statuses.count(200)


def test_an_emptied_zone_gets_no_requests_until_it_is_taken_back():
    with TwoZones() as zones:
        check(zones.play()[0] > 0)
        zones.empty()
        time.sleep(OBEY_S)
        for router in range(2):
            check(zones.play(router) == (0, 30))
        check(zones.platform.metric("limpetroad_zone_emptied_ms") > 0)
        zones.take_back()
        time.sleep(OBEY_S)
        check(zones.play()[0] > 0)


def test_a_router_that_starts_meanwhile_obeys():
    with TwoZones(routers=1) as zones:
        zones.empty()
        time.sleep(OBEY_S)
        zones.platform.add_router()
        check(zones.play(1) == (0, 30))


@table([("busy", "busy"), ("silent", "silent")])
def test_a_router_that_the_store_turns_away_hears_of_it_from_another_one(mode):
    with TwoZones(routers=1) as zones:
        second = zones.platform.add_store()
        zones.platform.add_router(store=second, seeds=[zones.platform.routers[0]["ip"]])
        zones.platform.wait_for_routers(2)
        second.mode = mode
        zones.empty()
        time.sleep(OBEY_S)
        check(zones.play(1) == (0, 30))


def test_a_zone_stays_emptied_when_the_store_comes_back_from_a_copy_without_the_record():
    with TwoZones() as zones:
        zones.empty()
        time.sleep(OBEY_S)
        zones.platform.store.play_drill(lost_s=OBEY_S + 1, away_s=0.5)
        for server in zones.servers:
            server.write("ready")
        time.sleep(OBEY_S)
        for router in range(2):
            ran, done = zones.play(router)
            check(ran == 0, ran)
            check(done > 0, done)


def test_a_stream_that_runs_in_an_emptied_zone_goes_on_to_its_end():
    with TwoZones(routers=1, service="model") as zones:
        def stream(server, message, connection):
            connection.sendall(server.head(
                message, 200, "Content-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n"))
            for number in range(1, 7):
                connection.sendall(chunk(event(number)))
                time.sleep(0.5)
            connection.sendall(b"0\r\n\r\n")
            return True
        for server in zones.servers:
            server.on_request = stream
        responses = []
        threads = [threading.Thread(target=lambda: responses.append(
            zones.platform.call("/stream/1", "POST", body=b""))) for _ in range(8)]
        for thread in threads:
            thread.start()
        time.sleep(0.3)
        check(any(len(server.seen) > 0 for server in zones.servers if server.zone == "a"))
        zones.empty()
        for thread in threads:
            thread.join()
        for response in responses:
            check(response.status == 200 and b"".join(response.chunks).count(b"id:") == 6)


def test_callers_are_refused_at_once_while_all_servers_are_in_emptied_zones():
    with TwoZones(routers=1) as zones:
        zones.empty("a")
        zones.empty("b")
        f.wait_for(lambda: zones.platform.call("/safe/1").status == 503, "a refusal")
        began = time.monotonic()
        response = zones.platform.call("/safe/1")
        check(response.status == 503 and float(response.fields["retry-after"]) > 0)
        check(time.monotonic() - began < 0.2, time.monotonic() - began)


def worst_second(times):
    times = sorted(times)
    return max((sum(begin <= at <= begin + 1 for at in times) for begin in times), default=0)


@table([("1_router", 1), ("3_routers", 3)])
def test_a_server_that_starts_cold_gets_no_more_than_it_bears(routers):
    """Callers press for more; the routers are past their first seconds."""
    times = []

    def record(server, message, connection):
        times.append(time.monotonic())
        return False

    with Platform(start=False) as platform:
        platform.configure(plain_fields={"cold_per_s": COLD_PER_S, "cold_s": 3})
        for _ in range(2):
            platform.add_server()
        platform.start()
        for _ in range(routers - 1):
            platform.add_router()
        if routers > 1:
            platform.wait_for_routers(routers)
        time.sleep(3.2)
        cold = platform.add_server(cold_s=3, on_request=record)
        end = cold.cold_until

        def press(router):
            while time.monotonic() < end:
                platform.call("/safe/1", router=router)

        threads = [threading.Thread(target=press, args=(router,))
                   for router in range(routers) for _ in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        early = [at for at in times if at < end]
        check(0 < worst_second(early) <= COLD_BOUND, worst_second(early), len(early))
