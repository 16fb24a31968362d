"""Routers stand still in turn, one at a time; see claim.txt."""

import os
import signal
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
import standins as s

ROUTERS = 6
STALLING = 3         # of the routers; the others are never disturbed
STALL_S = 0.4
KEYS = 16
REVOKE_EACH_S = 1.0
APPLY_S = 2.0        # config_apply_ms
POLL_S = 0.1


def case(deployment, trouble):
    def answer(server, message, connection):
        connection.sendall(server.head(message, "Content-Length: 2\r\n") + b"ok")

    def configure(keys):
        deployment.configure([s.route("r-0", "/cufi504/", "safe", "plain", timeout_ms=2000,
                                      goal_ms=300)], keys=keys)
        return s.now()

    def client(router):
        """Sends, on a kept connection, requests with a key that was revoked."""
        connection = socket.create_connection(router.front, 1)
        file = connection.makefile("rb")
        while not done:
            time.sleep(POLL_S)
            with lock:
                due = [key for key, at in revoked.items() if s.now() > at + APPLY_S]
            if not due:
                continue
            key, sent = due[-1], s.now()  # the one whose time ran out last
            request_id = s.new_id()
            connection.sendall(s.request_head("GET", "/cufi504/x", request_id, 2000, key=key))
            got = s.read_answer(connection, s.Answer(), 5, file)
            late = "%s to %s with %s, revoked %.2f s before: status %d" % (
                request_id, router.name, key, sent - revoked[key], got.status)
            deployment.record.line("client sends " + late)
            if got.status == 200:
                breaches.append(late)
            else:
                refused.append(late)

    def stall():
        """Stops the next router as the one before goes on."""
        last = None
        while not done:
            for router in deployment.routers[:STALLING]:
                router.signal(signal.SIGSTOP)
                if last is not None:
                    last.signal(signal.SIGCONT)
                last = router
                time.sleep(STALL_S)
        last.signal(signal.SIGCONT)

    lock = threading.Lock()
    revoked, breaches, refused, done = {}, [], [], []
    for _ in range(3):
        deployment.add_server("plain", answer, slots=6)
    keys = ["key-%d" % number for number in range(KEYS)]
    configure(keys)
    time.sleep(0.5)
    deployment.start_routers()
    threads = [threading.Thread(target=client, args=(router,), daemon=True)
               for router in deployment.routers[STALLING:]]
    if trouble:
        threads.append(threading.Thread(target=stall, daemon=True))
    for thread in threads:
        thread.start()
    while len(keys) > 1:
        time.sleep(REVOKE_EACH_S)
        key = keys.pop()
        at = configure(keys)
        deployment.record.line("key %s is revoked" % key)
        with lock:
            revoked[key] = at
    time.sleep(APPLY_S + 1)
    done.append(True)
    for thread in threads:
        thread.join(10)
    if not refused:
        raise s.Broken("no request was refused")
    return breaches


case.routers = ROUTERS
s.run_case(case, FOLDER)
