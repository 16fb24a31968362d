"""The last server of a small deployment leaves without a word; its entry is removed."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-3"))
from deployment import CannotRun, DRAIN_MS, Deployment, call, route, trouble  # noqa: E402

SERVES_ON_S = 6     # "for the same time", drain_ms, "and a little longer (at times many seconds)"
MARGIN_S = 0.3      # for the way from a router to the server


def ask(deployment, router, until):
    """Asks for one thing after the other, as a few clients do; far below the server's slots."""
    while time.monotonic() < until:
        call(deployment.record, router, "/lohu930/2f", "POST", b"seat")
        time.sleep(0.1)


def play(deployment):
    record = deployment.record
    deployment.configure([route("checkout", "/lohu930/", "unsafe", "booking")], ["booking"])
    server = deployment.add_server(service="booking", work_s=0.2)
    deployment.add_routers(2)
    until = time.monotonic() + 3 + SERVES_ON_S
    threads = [threading.Thread(target=ask, args=(deployment, router, until))
               for router in deployment.routers for _ in range(2)]
    for thread in threads:
        thread.start()
    time.sleep(3)
    if not server.runs:
        raise CannotRun("no request was served before")
    removed = server.leave_registry() if trouble() else None
    time.sleep(SERVES_ON_S - 0.1)
    if trouble():
        server.exit()
    for thread in threads:
        thread.join()
    if removed is None:
        return 0
    late = [(at, request) for at, request in server.arrivals
            if at > removed + DRAIN_MS / 1000 + MARGIN_S]
    cut = [request for request in server.runs if request not in server.ended]
    record.write("verdict", "%d requests reached %s later than drain_ms after its entry was removed; "
                 "%d runs were cut as it exited" % (len(late), server.id, len(cut)))
    for at, request in late:
        record.write("verdict", "DRAIN %s, %.2f s after the removal" % (request, at - removed))
    return 1 if late else 0


try:
    with Deployment(FOLDER) as deployment:
        status = play(deployment)
except CannotRun as problem:
    print("could not run:", problem)
    status = 2
print({0: "the rule held", 1: "the rule was broken", 2: "not run"}[status])
sys.exit(status)
