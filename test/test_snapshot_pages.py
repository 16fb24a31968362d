"""Snapshots of several pages, between which the store changes or comes back from a copy."""

import time

from platform_fake import ROUTES, route
from run_all import table
from test_platform import check
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
