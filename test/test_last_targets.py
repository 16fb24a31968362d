"""The last target of a list leaves. Routers stop sending to it as to any other, and refuse at once."""

import threading
import time

import fleet as f
from platform_fake import Platform
from run_all import table
from test_platform import check

DRAIN_S = 2           # the setting drain_ms of the routers
REFUSED_WITHIN_S = 1  # a call that no target can serve
WORK_S = 1
CALLS = 20


def leave(server, how):
    server.remove() if how == "removed" else server.write("draining")


# Calls a path again and again, and checks that each call is refused at once and without a run.
def check_refused(platform, path):
    for _ in range(CALLS):
        start = time.monotonic()
        response = platform.call(path, "POST", body=b"x")
        elapsed = time.monotonic() - start
        check(response.status == 503, response.status)
        check(float(response.fields["retry-after"]) > 0)
        check(elapsed < REFUSED_WITHIN_S, elapsed)


@table([
    ("one_server_removed", "plain", "/unsafe/", 1, "removed"),
    ("three_servers_removed", "plain", "/unsafe/", 3, "removed"),
    ("three_servers_draining", "plain", "/unsafe/", 3, "draining"),
    ("one_engine_removed", "model", "/stream/", 1, "removed"),
])
def test_servers_get_nothing_more_once_none_is_left(service, path, count, how):
    """Guards against routers that ignored a registry without servers, and sent to the last ones until
    these exited (review/12)."""
    with Platform(start=False) as platform:
        servers = [platform.add_server(service) for _ in range(count)]
        platform.start()
        check(platform.call(path, "POST", body=b"x").status == 200)
        for server in servers:
            leave(server, how)
        time.sleep(DRAIN_S)
        seen = [len(server.seen) for server in servers]
        check_refused(platform, path)
        check([len(server.seen) for server in servers] == seen, seen)


def test_a_router_without_servers_stays_ready_and_sends_to_the_next_one():
    with Platform(start=False) as platform:
        first = platform.add_server()
        platform.start()
        first.remove()
        time.sleep(DRAIN_S)
        check_refused(platform, "/safe/")
        check(platform.is_ready(platform.routers[0]))
        second = platform.add_server()
        f.wait_for(lambda: platform.call("/safe/").status == 200, "a call to be served")
        check(len(second.ran) > 0)


def test_a_request_under_way_at_the_last_server_is_completed():
    def work(server, message, connection):
        time.sleep(WORK_S)
        return False

    with Platform(start=False) as platform:
        server = platform.add_server(on_request=work)
        platform.start()
        responses = []
        thread = threading.Thread(
            target=lambda: responses.append(platform.call("/unsafe/", "POST", body=b"x")))
        thread.start()
        f.wait_for(lambda: server.seen, "the server to get the request")
        server.remove()
        thread.join()
        check(responses[0].status == 200, responses[0].status)


def test_servers_come_back_at_once_after_all_entries_were_lost():
    """A registry that loses all entries while the store is away gets them again from the servers."""
    with Platform(start=False) as platform:
        servers = [platform.add_server() for _ in range(3)]
        platform.start()
        for server in servers:
            server.remove()
        time.sleep(DRAIN_S)
        check_refused(platform, "/safe/")
        for server in servers:
            server.write("ready")
        f.wait_for(lambda: platform.call("/safe/").status == 200, "a call to be served")
        for _ in range(CALLS):
            check(platform.call("/safe/").status == 200)
        check(sum(len(server.ran) > 0 for server in servers) > 1)


def test_engines_get_no_new_chats_once_the_vm_list_has_none():
    """Own interface: the list still names the routers."""
    with f.Fleet(routers=1, engines=1, services=0) as fleet:
        fleet.start()
        router = fleet.routers[0]
        check(f.chat(router["port"], fleet.key("team-0"), "a").status == 200)
        engine = fleet.engines.pop()
        fleet.publish_vms()
        f.wait_for(lambda: f.chat(router["port"], fleet.key("team-0"), "b").status == 503,
                   "the router to refuse chats")
        chats = fleet.stats(engine)
        check(f.chat(router["port"], fleet.key("team-0"), "c").status == 503)
        check(fleet.stats(engine) == chats)


def test_a_vm_list_without_any_vm_changes_nothing():
    """Own interface: a list that lacks even the routers is not that of this fleet."""
    with f.Fleet(routers=1, engines=1, services=0) as fleet:
        fleet.start()
        router = fleet.routers[0]
        f.request(fleet.vms_port, "POST", "/vms", {"vms": []})
        f.wait_for(lambda: "names no VM" in router["process"].log_text(), "the list to be refused")
        check(f.chat(router["port"], fleet.key("team-0"), "a").status == 200)
