"""Many routers, of which all but some lose power at once. The store is busy for a moment, once, shortly after. When
everything has been calm for longer than stable_window_ms, a key is taken away."""

import json
import os
import random
import socket
import subprocess
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
LIBRARY = os.path.join(FOLDER, "..", "lib-2")
sys.path.insert(0, LIBRARY)

import deployment as d  # noqa: E402

ROUTERS = 283        # the sheet has 295
STAY = 5             # of them go on
KNOWN = 240          # routers that one of these knows, before the loss
BATCH = 20           # routers that start together
BUSY_AFTER_S = 1.0   # after the loss
BUSY_S = 2.6         # the store answers 503 to all
# Bounds of the sheet.
BOUNDS = {"stable_window_ms": 5000, "ack_ms": 8000, "catch_up_s": 6, "drain_ms": 4000, "config_apply_ms": 4000,
          "outer_ms": 8000, "recover_s": 15, "retry_slack": 630}
REVOKE_AFTER_S = BUSY_S + BOUNDS["stable_window_ms"] / 1000 + 0.1  # after the store began to be busy
WATCH_S = 25         # after the key is taken away
START_S = 40         # limit for the start of all routers


class Caller:
    """Sends a request with the key every 0.1 s on a kept connection, until the first 401 at least."""

    def __init__(self, router, record):
        self.router = router
        self.record = record
        self.sent = []      # (time, id, status)
        self.is_ended = False
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def is_refused(self):
        return any(status == 401 for _, _, status in self.sent)

    def run(self):
        client = d.fake.Client(self.router)
        while not self.is_ended:
            at = time.monotonic()
            name = "%016x" % random.getrandbits(64)
            try:
                status = client.call("/safe/1", key="key-2", request_id=name).status
            except (OSError, IndexError, ValueError):
                status = 0
                client = d.fake.Client(self.router)
            self.sent.append((at, name, status))
            self.record.line("sent id=%s router=%s status=%d" % (name, self.router["name"], status), at)
            time.sleep(0.1)


def start_all(deployment):
    """Returns the routers that stay."""
    first = [deployment.add_router() for _ in range(3)]
    seeds = [router["ip"] for router in first]
    while len(deployment.routers) < ROUTERS:
        batch = [deployment.add_router(seeds, waits=False) for _ in range(BATCH)]
        for router in batch:
            d.f.wait_for(lambda: d.fake.Platform.is_ready(None, router), router["name"], START_S)
    stay = deployment.routers[-STAY:]
    d.f.wait_for(lambda: min(deployment.metric(router, "limpetroad_routers ") for router in stay) >= KNOWN,
                 "routers to be known", START_S)
    return stay


def main(record):
    deployment = d.Deployment(record, [d.fake.route("safe", "/safe/", "safe", "plain", timeout_ms=2000, goal_ms=300)],
                              memory_mb=160, bounds=BOUNDS)
    deployment.configure(keys=("key-1", "key-2"))
    server_record = os.path.join(deployment.folder, "servers")
    servers = subprocess.Popen([sys.executable, os.path.join(LIBRARY, "plain_servers.py"), "3", "0.02", "0",
                                server_record], stdout=subprocess.PIPE, text=True)
    try:
        for index, port in enumerate(json.loads(servers.stdout.readline())):
            deployment.store.put("keyed.servers", "i-plain%d" % index,
                                 {"service": "plain", "address": "127.0.0.1:%d" % port, "zone": "z", "version": "v1",
                                  "slots": 12, "state": "ready", "seq": 1, "cold_left_ms": 0, "born": 1000 + index})
        stay = start_all(deployment)
        record.line("%d routers, known to those that stay: %s"
                    % (len(deployment.routers), [int(deployment.metric(r, "limpetroad_routers ")) for r in stay]))
        callers = [Caller(router, record) for router in stay]
        time.sleep(3)
        if d.is_troubled():
            record.line("SIGKILL all routers but %s" % [router["name"] for router in stay])
            for router in deployment.routers[:-STAY]:
                router["popen"].kill()
        time.sleep(BUSY_AFTER_S)
        began = time.monotonic()
        if d.is_troubled():
            record.line("the store is busy")
            deployment.store.mode = "busy"
        time.sleep(BUSY_S)
        deployment.store.mode = "ok"
        record.line("the store is not busy")
        time.sleep(began + REVOKE_AFTER_S - time.monotonic())
        deployment.configure(keys=("key-1",))
        revoked_at = time.monotonic()
        record.line("the store acknowledged version %d without key-2" % deployment.version)
        ends = revoked_at + WATCH_S
        while time.monotonic() < ends and not all(caller.is_refused() for caller in callers):
            time.sleep(0.1)
        time.sleep(0.5)
        for caller in callers:
            caller.is_ended = True
        for caller in callers:
            caller.thread.join(5)
        return judge(record, callers, revoked_at, server_record)
    finally:
        servers.kill()
        servers.wait()
        deployment.close()


def judge(record, callers, revoked_at, server_record):
    with open(server_record) as file:
        runs = {line.split()[2] for line in file if line.endswith("\n") and line.split()[1] == "run"}
    bound_s = BOUNDS["config_apply_ms"] / 1000
    late = [(at - revoked_at, caller.router["name"]) for caller in callers for at, name, _ in caller.sent
            if at > revoked_at + bound_s and name in runs]
    text = ("requests with the key that ran though sent over %.1f s after it was taken away: %d at %d of %d routers (up to"
            " %.1f s after); refused in the end by %d; routers that ended: %d"
            % (bound_s, len(late), len({name for _, name in late}), len(callers), max(late, default=(0, ""))[0],
               sum(caller.is_refused() for caller in callers),
               sum(caller.router["popen"].poll() is not None for caller in callers)))
    return record.end(d.BROKEN if late else d.HELD, text)


d.run(FOLDER, main)
