"""Snapshots of several pages, between which the store changes or comes back from a copy."""

import json
import time

import fleet as f
from platform_fake import Platform, ROUTES, route
from run_all import table
from test_fleet_starts import FIND_S
from test_platform import check
from test_software_versions import VersionedFleet
from test_store_copies import AWAY_S, LOST_S, STABLE_S, CopiedStore, settle_before_losses

SERVERS = 12
PAGE_KEYS = 4


class PagedStore(CopiedStore):
    """One router, and servers of a service whose entries make several pages. Their ids are in the order
    of these pages."""

    def __init__(self):
        super().__init__(routers=1)
        self.paged = [self.add_server("sound", server_id="s-%02d" % number) for number in range(SERVERS)]
        self.configure(ROUTES + [route("paged", "/paged/", "safe", "sound")])
        self.wait_for_version()
        settle_before_losses()
        self.store.page_keys = PAGE_KEYS
        self.late = None

    def add_late_server(self):
        """Registers a server on the first page."""
        self.late = self.add_server("sound", server_id="s-00-late")

    def change(self):
        """Changes an entry of the first page and one of the last page."""
        self.paged[0].write("draining")
        self.paged[-1].remove()

    def lose_late_server(self):
        """The store comes back without the late server, and two others change."""
        self.store.lose_newest(LOST_S)
        self.change()

    def restart_router(self):
        self.routers.pop()["process"].kill()
        self.add_router()

    def check_servers(self, gone):
        """Checks that those that are gone get no requests, and all others some."""
        ran = {server: len(server.ran) for server in self.paged + [self.late] if server}
        with self.client() as client:
            for _ in range(12 * SERVERS):
                check(client.call("/paged/").status == 200)
        used = {server.id for server in ran if len(server.ran) > ran[server]}
        check(used == {server.id for server in ran} - {server.id for server in gone}, used)


@table([("starts", PagedStore.restart_router),
        ("follows", lambda platform: platform.store.play_drill(LOST_S, AWAY_S))])
def test_a_restoration_between_pages_of_a_snapshot_leaves_no_lost_server(read_snapshot):
    """Guards against a snapshot whose first pages are of the store before its loss."""
    with PagedStore() as platform:
        platform.add_late_server()
        platform.store.on_next_page = platform.lose_late_server
        read_snapshot(platform)
        time.sleep(STABLE_S)
        check(platform.store.on_next_page is None)
        platform.check_servers([platform.late, platform.paged[0], platform.paged[-1]])


@table([("starts", PagedStore.restart_router),
        ("follows", lambda platform: platform.store.play_drill(LOST_S, AWAY_S))])
def test_a_change_between_pages_of_a_snapshot_is_followed(read_snapshot):
    """Guards against records that are appended to an earlier page while a later one is read."""
    with PagedStore() as platform:
        platform.store.on_next_page = platform.change
        read_snapshot(platform)
        time.sleep(STABLE_S)
        check(platform.store.on_next_page is None)
        platform.check_servers([platform.paged[0], platform.paged[-1]])


def fill_router_list(store, prefix):
    """Fills several pages of the list of routers with records that are none of a router."""
    for number in range(SERVERS):
        store.put("keyed.routers", "%s-%02d" % (prefix, number), "no address")
    store.page_keys = PAGE_KEYS


def test_routers_on_a_later_page_of_the_list_are_found():
    """Guards against a router that reads the first page of the list only."""
    with Platform(start=False) as platform:
        fill_router_list(platform.store, "a")
        for _ in range(2):
            platform.add_router(wait=False)
        time.sleep(FIND_S)
        counts = [platform.metric("limpetroad_routers ", router) for router in range(2)]
        check(min(counts) == 2, counts)


def start_beside_mark(fleet, prefix, on_next_page=None):
    """Starts the router again beside a list of several pages."""
    fleet.platform.routers.pop()["process"].kill()
    fill_router_list(fleet.platform.store, prefix)
    fleet.platform.store.on_next_page = on_next_page
    fleet.platform.add_router()


def mark_as_mixed(store):
    store.put("keyed.routers", "mixed:model", {"at": int(time.time() * 1000)})


def check_no_stream_goes_on(fleet):
    """Resumes streams of unknown version until the list has been read for sure."""
    ends = time.monotonic() + FIND_S
    while time.monotonic() < ends:
        check(fleet.resume("unknown", 0, "0123456789abcdef", 5) == 503)
        time.sleep(0.05)
    check(fleet.platform.store.on_next_page is None)


def test_a_mark_on_a_later_page_of_the_list_is_known():
    """Guards against resuming a stream at another version because a mark is not on the first page."""
    with VersionedFleet(routers=1, versions=("v1",)) as fleet:
        mark_as_mixed(fleet.platform.store)
        start_beside_mark(fleet, "a")
        check_no_stream_goes_on(fleet)


def test_a_restoration_between_pages_of_the_list_hides_no_mark():
    """Guards against a list whose first page is of the store before its loss."""
    with VersionedFleet(routers=1, versions=("v1",)) as fleet:
        store = fleet.platform.store
        store.era = 1

        def restore():
            store.lose_newest(0)
            mark_as_mixed(store)

        start_beside_mark(fleet, "z", restore)
        check_no_stream_goes_on(fleet)


LIST_PATH = "log-newest?topic=keyed.routers"
READ_FAILED = "reading the router list failed"
MAX_READS = 15   # within FIND_S, with the pauses between reads; without any there are hundreds
READABLE_AGAIN_S = 15   # the longest pause between two reads is 5 s
UNREADABLE_PAGES = [
    ("empty_body", b""),
    ("no_json", b"<html>busy</html>"),
    ("half", b'{"items":[{"key":"r1","val'),
    ("no_object", b"[]"),
    ("no_items", b'{"truncated":false,"end":0}'),
    ("items_of_wrong_type", b'{"items":{},"truncated":false,"end":0}'),
    ("truncated_without_items", b'{"items":[],"truncated":true,"end":9}'),
    ("truncated_without_key", b'{"items":[{"value":"YQ==","offset":0}],"truncated":true,"end":9}'),
    ("truncated_missing", b'{"items":[],"end":9}'),
    ("truncated_null", b'{"items":[],"truncated":null,"end":9}'),
    ("truncated_of_wrong_type", b'{"items":[{"key":"b","value":"YQ==","offset":0}],"truncated":1,"end":9}'),
    ("end_of_wrong_type", b'{"items":[],"truncated":false,"end":"9"}'),
]


def registrations(store, name="r0"):
    return sum(key == name for key, _ in store.topics["keyed.routers"])


def replace_list(store, body, part=""):
    """Sends body for each page of the list of routers whose path contains part."""
    store.alter_body = lambda path, original: body if LIST_PATH in path and part in path else original


def check_unreadable_list_is_read_again(body, part):
    with VersionedFleet(routers=1, versions=("v1",)) as fleet:
        platform, store = fleet.platform, fleet.platform.store
        mark_as_mixed(store)
        replace_list(store, body, part)
        before = registrations(store)
        reads = store.count(LIST_PATH + "&part=0" + part)
        start_beside_mark(fleet, "a")
        check_no_stream_goes_on(fleet)
        reads = store.count(LIST_PATH + "&part=0" + part) - reads
        check(registrations(store) == before, "registered beside a list that it could not read")
        check(2 <= platform.log().count(READ_FAILED) <= reads <= MAX_READS, reads)
        store.alter_body = lambda path, original: original
        f.wait_for(lambda: registrations(store) > before, "the router to register", READABLE_AGAIN_S)
        check_no_stream_goes_on(fleet)


@table(UNREADABLE_PAGES)
def test_an_unreadable_list_counts_as_no_empty_one(body):
    """Guards against a router that takes a list it can't read for one without routers and marks."""
    check_unreadable_list_is_read_again(body, "")


@table(UNREADABLE_PAGES)
def test_an_unreadable_later_page_ends_no_list(body):
    """Guards against a list that counts as complete at a page that can't be read."""
    check_unreadable_list_is_read_again(body, "&after=")


def test_an_unreadable_list_removes_no_known_router():
    """Guards against routers that forget each other, or register again, at a list they can't read."""
    with CopiedStore(routers=2) as platform:
        platform.wait_for_routers(2)
        settle_before_losses()
        replace_list(platform.store, b"{}")
        before = [registrations(platform.store, name) for name in ("r0", "r1")]
        platform.store.lose_newest(0)
        ends = time.monotonic() + FIND_S
        while time.monotonic() < ends:
            counts = [platform.metric("limpetroad_routers ", router) for router in range(2)]
            check(counts == [2, 2], counts)
            time.sleep(0.2)
        check(min(platform.log(router).count(READ_FAILED) for router in range(2)) > 0)
        check([registrations(platform.store, name) for name in ("r0", "r1")] == before)


UNREADABLE_ENTRIES = [7, None, [], "r9", {}, {"key": "r8"}, {"value": "bm9uZQ=="},
                      {"key": 9, "value": "bm9uZQ=="}, {"key": "r7", "value": 5},
                      {"key": "r6", "value": "%%%"}, {"key": "r5", "value": "", "offset": "x"}, {"offset": -1}]


def add_unreadable_entries(path, body):
    if LIST_PATH not in path:
        return body
    page = json.loads(body)
    page["items"] = UNREADABLE_ENTRIES + page["items"] + [{}, None]
    return json.dumps(page).encode()


def test_unreadable_entries_of_the_list_hide_no_router():
    """Guards against a list that ends at an entry that can't be read."""
    with Platform(start=False) as platform:
        fill_router_list(platform.store, "a")
        platform.store.alter_body = add_unreadable_entries
        for _ in range(2):
            platform.add_router(wait=False)
        time.sleep(FIND_S)
        counts = [platform.metric("limpetroad_routers ", router) for router in range(2)]
        check(min(counts) == 2, counts)


def test_unreadable_entries_of_the_list_hide_no_mark():
    """Guards against a list that ends at an entry that can't be read."""
    with VersionedFleet(routers=1, versions=("v1",)) as fleet:
        mark_as_mixed(fleet.platform.store)
        fleet.platform.store.alter_body = add_unreadable_entries
        start_beside_mark(fleet, "a")
        check_no_stream_goes_on(fleet)


def test_pages_whose_keys_alternate_end_no_list_and_are_not_read_without_a_pause():
    """Guards against a list that is read for ever, page after page, while the same keys come back."""
    with VersionedFleet(routers=1, versions=("v1",)) as fleet:
        platform, store = fleet.platform, fleet.platform.store
        mark_as_mixed(store)

        def alternate(path, body):
            if LIST_PATH not in path:
                return body
            items = [{"key": "b" if "after=a" in path else "a", "value": "YQ==", "offset": 0}]
            return json.dumps({"items": items, "truncated": True, "end": 9}).encode()

        store.alter_body = alternate
        before = registrations(store)
        reads = store.count(LIST_PATH)
        start_beside_mark(fleet, "a")
        check_no_stream_goes_on(fleet)
        reads = store.count(LIST_PATH) - reads
        check(registrations(store) == before, "registered beside a list that it could not read")
        check(platform.log().count(READ_FAILED) >= 2)
        check(reads <= 3 * MAX_READS, reads)


SERVERS_PATH = "log-newest?topic=keyed.servers"


def add_to_items(entry):
    """Returns what makes a page unusable by an entry beside the others."""
    def alter(body):
        page = json.loads(body)
        page["items"].append(entry)
        return json.dumps(page).encode()
    return alter


@table([("truncated_without_items", lambda body: b'{"items":[],"truncated":true,"end":9}'),
        ("truncated_missing", lambda body: b'{"items":[],"end":9}'),
        ("key_null", add_to_items({"key": None, "value": "YQ==", "offset": 0})),
        ("value_null", add_to_items({"key": "s-00", "value": None, "offset": 0}))])
def test_an_unusable_page_removes_no_known_server(alter):
    """Guards against a snapshot that counts as complete without servers that are known."""
    with PagedStore() as platform:
        store = platform.store
        store.alter_body = lambda path, body: alter(body) if SERVERS_PATH + "&part=0&after" in path else body
        reads = store.count(SERVERS_PATH)
        store.play_drill(LOST_S, AWAY_S)
        time.sleep(STABLE_S)
        reads = store.count(SERVERS_PATH) - reads
        platform.check_servers([])
        check("read_failed cause=\"unusable page" in platform.log())
        check(4 <= reads <= 2 * MAX_READS, reads)
        platform.change()
        store.alter_body = lambda path, body: body
        time.sleep(READABLE_AGAIN_S)
        platform.check_servers([platform.paged[0], platform.paged[-1]])
