"""Odd records that another writer leaves in the topics that routers read."""

import json
import time

import fleet as f
from platform_fake import ROUTES, Platform, route
from run_all import table
from test_platform import check

DEEP = "[" * 200000
TOO_LARGE = {"2e53": str(2 ** 53), "2e63": str(2 ** 63 - 1), "2e64": str(2 ** 64), "1e300": "1e300",
             "1e999": "1e999", "negative": "-5", "minus_2e63": str(-2 ** 63), "nan": "NaN",
             "minus_1e300": "-1e300", "digits": "9" * 5000, "fraction": "7.5", "text": '"7"',
             "null": "null", "nested": "[[7]]"}


# Returns the text of a server's entry whose field has the JSON text value; a new server has the
# port 9, on which nobody listens.
def entry_text(server, is_new, field, value):
    entry = {"service": "plain", "zone": "z", "version": "v1", "slots": 8, "state": "ready",
             "address": "127.0.0.1:%d" % (9 if is_new else server.listener.port),
             "seq": server.sequence + 1, "cold_left_ms": 0, "born": server.born}
    entry[field] = "@"
    return json.dumps(entry).replace('"@"', value)


# Entries that name no server. Rows: case name, field, JSON text.
ENTRIES = [("%s_%s" % (field, name), field, text)
           for field in ("seq", "born", "slots") for name, text in TOO_LARGE.items()] \
    + [("port_%s" % port, "address", '"127.0.0.1:%s"' % port)
       for port in ("0", "-1", "65536", "8e3")] \
    + [("port_digits", "address", '"127.0.0.1:%s"' % ("9" * 400))] \
    + [("nested_deep", "zone", DEEP), ("closed_nested_deep", "zone", DEEP + "]" * 200000),
       ("long_name", "zone", '"%s"' % ("x" * 200000)),
       ("born_in_two_hours", "born", str(int(1000 * (time.time() + 7200))))]
# Entries that a server could have.
PLAUSIBLE = [("seq_high", "seq", "1000000000000"), ("seq_5000", "seq", "5000"),
             ("slots_one", "slots", "1"), ("no_listener", "address", '"127.0.0.1:9"'),
             ("other_service", "service", '"sound"'), ("other_version", "version", '"v2"')]


class OddFleet:
    """Two routers and two servers, among whose entries there are odd ones.

    entries: (key or None for that of the first server, field, JSON text)"""

    def __init__(self, entries, while_running):
        self.platform = Platform(routers=2, start=False)
        self.servers = [self.platform.add_server() for _ in range(2)]
        if while_running:
            self.platform.start()
            self.wait_served_by(self.servers[0])
        for key, field, text in entries:
            self.platform.store.put("keyed.servers", key or self.servers[0].id,
                                    entry_text(self.servers[0], key is not None, field, text))
        if not while_running:
            self.platform.start()

    def __enter__(self):
        return self

    def __exit__(self, *error):
        self.platform.__exit__(*error)

    def call(self):
        """Calls through each router; returns the servers that ran the calls."""
        before = [len(server.ran) for server in self.servers]
        for router in range(2):
            check(self.platform.call("/safe/", router=router).status == 200)
        return [server for server, count in zip(self.servers, before) if len(server.ran) > count]

    def wait_served_by(self, server):
        f.wait_for(lambda: server in self.call(), "calls at %s" % server.id, 5)

    def check_servers_are_followed(self):
        """A new server and one that writes its entry again are used; one that leaves is not, once
        the time has passed (2 s) that routers have to notice it."""
        server = self.servers[0]
        self.servers.append(self.platform.add_server())
        self.wait_served_by(self.servers[-1])
        server.write("ready")
        self.wait_served_by(server)
        server.write("draining")
        time.sleep(2)
        check(all(server not in self.call() for _ in range(10)))
        check(all(router["process"].popen.poll() is None for router in self.platform.routers))


@table([("running", True), ("start", False)])
def test_servers_are_followed_beside_odd_entries(while_running):
    entries = [("i-new-%d" % n, field, text) for n, (_, field, text) in enumerate(ENTRIES)]
    with OddFleet(entries, while_running) as fleet:
        fleet.check_servers_are_followed()


@table([(name + "_running", field, text, True) for name, field, text in ENTRIES + PLAUSIBLE]
       + [(name + "_start", field, text, False) for name, field, text in ENTRIES[::4] + PLAUSIBLE])
def test_a_server_is_followed_whose_entry_another_writer_replaced(field, text, while_running):
    with OddFleet([(None, field, text)], while_running) as fleet:
        fleet.servers[0].sequence += 1  # the other writer used a sequence number
        fleet.check_servers_are_followed()


ODD_CONFIGURATIONS = [("deep", DEEP), ("closed_deep", DEEP + "]" * 200000), ("empty", ""),
                      ("list", "[]"), ("no_version", '{"routes":[]}')] \
    + [("version_" + name, '{"version":%s,"routes":[]}' % text) for name, text in TOO_LARGE.items()]


@table(ODD_CONFIGURATIONS)
def test_configurations_are_followed_after_an_odd_one(text):
    """The configuration in force stays so until the next valid one."""
    with Platform(start=False) as platform:
        platform.add_server()
        platform.start()
        for key in ("other", "config"):
            platform.store.put("keyed.op", key, text)
        count = len(platform.store.topics["keyed.op"])
        f.wait_for(lambda: platform.metric('limpetroad_topic_offset{topic="keyed.op"}') == count,
                   "the odd one to be read")
        check(platform.call("/safe/").status == 200)
        platform.configure(ROUTES + [route("new", "/new/", "safe", "plain")])
        f.wait_for(lambda: platform.call("/new/").status == 200, "the new route", 5)


def test_a_router_starts_with_the_configuration_after_an_odd_one():
    with Platform(start=False) as platform:
        platform.add_server()
        platform.store.put("keyed.op", "config", DEEP)
        router = platform.add_router(wait=False)
        f.wait_for(lambda: "level=error" in platform.log(), "the odd one to be read")
        check(not platform.is_ready(router))
        platform.configure()
        f.wait_for(lambda: platform.is_ready(router), "the router to be ready", 5)
        check(platform.call("/safe/").status == 200)


@table([("numbers", list(TOO_LARGE.values())), ("nested", [DEEP, DEEP + "]" * 200000]),
        ("text", ["", "x", "[]", '"x"', "{}"])])
def test_routers_start_beside_odd_records_of_routers(values):
    with Platform(routers=3, start=False) as platform:
        server = platform.add_server()
        for n, value in enumerate(values):
            for text in (value, '{"depth":%s,"crashes":[{"target":%s,"at":%s}]}' % ((value,) * 3),
                         '{"at":%s}' % value, '{"hash":%s}' % value):
                for key in ("part:%x" % n, "part:", "request:%x" % n, "mixed:plain", "mixed:",
                            "software:plain", "front-%d" % n, "x" * 255):
                    platform.store.put("keyed.routers", key, text)
        platform.start()
        platform.wait_for_routers(3)
        for index in range(3):
            check(platform.call("/safe/", router=index).status == 200)
            check(platform.routers[index]["process"].popen.poll() is None)
        check(len(server.ran) == 3)
