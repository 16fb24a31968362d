"""The first requests that a program gets after it listens, while it still starts.

slow_handlers.c makes each start slow, so that a program that answers before it knows all of its
paths does so at every start."""

import threading
import time

import fleet as f
from run_all import table

ASKING_S = 0.8  # from the first response; longer than the handlers of any program take to add


def statuses_while_starting(fleet, port, method, path, body, start):
    """Calls start() while a thread sends requests to port. Returns the statuses of the responses
    up to ASKING_S after the first."""
    statuses = []
    done = threading.Event()

    def ask():
        while not done.is_set():
            try:
                statuses.append(f.request(port, method, path, body)[0])
            except OSError:
                time.sleep(0.002)  # nothing listens yet

    thread = threading.Thread(target=ask)
    thread.start()
    fleet.environment["LD_PRELOAD"] = f.program("libslow_handlers.so")
    try:
        start()
        f.wait_for(lambda: statuses, "the first response")
        time.sleep(ASKING_S)
    finally:
        done.set()
        thread.join()
    return statuses


@table([
    ("log", "log", "/streams/bundles/records"),
    ("vm_list", "vms", "/vms"),
    ("engine", "engine", "/v1/load"),
    ("service", "service", "/fake/ledger"),
])
def test_a_stand_in_knows_its_paths_from_its_first_response(role, path):
    port = f.free_ports(1)[0]
    with f.Fleet(routers=0, engines=0) as fleet:
        statuses = statuses_while_starting(fleet, port, "GET", path, None,
                                           lambda: fleet.start_stand_in(role, port))
    assert set(statuses) == {200}, statuses[:20]


def test_the_proxy_knows_its_links_from_its_first_response():
    control, link = f.free_ports(2)
    with f.Fleet(routers=0, engines=0) as fleet:
        statuses = statuses_while_starting(
            fleet, control, "POST", "/fault", {"link": "log"},
            lambda: fleet.spawn("proxy", [f.program("limpetproxy"), control,
                                          "log:%d:%d" % (link, fleet.log_port)]))
    assert set(statuses) == {200}, statuses[:20]


@table([
    ("chat", "port", "POST", "/v1/chat/completions", {"model": f.MODEL, "messages": []}),
    ("models", "port", "GET", "/v1/models", None),
    ("readiness", "port", "GET", "/readyz", None),
    ("readiness_for_operators", "operators", "GET", "/readyz", None),
    ("metrics", "operators", "GET", "/metrics", None),
])
def test_a_router_knows_its_paths_from_its_first_response(port, method, path, body):
    """A caller that gets a 404 gives up, though the router serves the model."""
    with f.Fleet(routers=1, engines=1) as fleet:
        fleet.roll(fleet.bundle())
        router = fleet.routers[0]
        statuses = statuses_while_starting(fleet, router[port], method, path, body,
                                           lambda: fleet.start_router(router, wait=False))
    assert 404 not in statuses, statuses[:20]


@table([("stand_in", ["--no-such-option", "1"], "engine: ", 3),
        ("bundle", [], "bundle.fleet: is missing", 4)])
def test_a_fleet_that_cannot_start_leaves_no_process(engine_options, message, processes):
    exit_codes = []

    class UnstartableFleet(f.Fleet):
        def bundle(self):
            return {"models": {}}

        def stop(self, keep=False):
            super().stop(keep)
            exit_codes.extend(p.popen.poll() for p in self.processes)

    try:
        UnstartableFleet(routers=1, engines=1, engine_options=engine_options).start()
        raise ValueError("the fleet has started")
    except AssertionError as error:
        assert message in str(error), error
    assert len(exit_codes) == processes and None not in exit_codes, exit_codes
