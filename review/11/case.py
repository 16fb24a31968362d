"""Nearly all routers are killed at once; the few that are left put off their reads of the registry."""

import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-3"))
from deployment import CannotRun, DRAIN_MS, Deployment, call, route, trouble  # noqa: E402

ROUTERS = 80
# What an engine tells of its weights; its entry of some 1.5 KB is no rarity with so many adapters.
MODELS = [{"name": "m", "version": 1, "adapters": ["team-%02d-loan-plan-2026" % n for n in range(56)]}]
FIELDS = (("Model", "m"), ("Token-Usage", "1460,80"), ("Prompt-Prefix", "5c1e07a2:800,e4402b7d:250"))
LEFT = 4            # routers that are not killed
ROUNDS = 6          # the delays are drawn at random: a round may show nothing
LAST_ROUND_S = 75   # no round begins later: a round and its restarts take 25 s at most
LINGER_S = 6        # a server that leaves serves on for drain_ms "and a little longer (at times many seconds)"
MARGIN_S = 0.3      # for the way from a router to the server


class Load:
    """Clients that ask the routers that are left for one thing after the other."""

    def __init__(self, deployment, routers):
        self.is_on = True
        self.threads = [threading.Thread(target=self.ask, args=(deployment, router))
                        for router in routers for _ in range(2)]
        for thread in self.threads:
            thread.start()

    def ask(self, deployment, router):
        while self.is_on:
            call(deployment.record, router, "/lohu930/2f", "POST", b"seat", fields=FIELDS)
            time.sleep(0.05)

    def stop(self):
        self.is_on = False
        for thread in self.threads:
            thread.join()


def add_engine(deployment):
    deployment.add_server(service="pamoja-llm", slots=12, models=MODELS)


def play_round(deployment, number):
    """Returns the requests that reached a server too late after it said that it leaves."""
    record = deployment.record
    left, others = deployment.routers[:LEFT], deployment.routers[LEFT:]
    leaver = deployment.servers[number]
    load = Load(deployment, left)
    try:
        time.sleep(0.5)
        add_engine(deployment)  # all routers hear of it, and each reads its entry from the store
        time.sleep(1.1)
        if trouble():
            for router in others:
                router.process.send_signal(signal.SIGKILL)
            record.write("operator", "%d of %d routers are killed" % (len(others), ROUTERS))
        time.sleep(0.1)
        leaves = leaver.drain()
        time.sleep(LINGER_S)
    finally:
        load.stop()
    leaver.exit()
    for router in others:
        if trouble():
            router.process.wait()
            router.start()
    return [(at - leaves, request) for at, request in leaver.arrivals
            if at > leaves + DRAIN_MS / 1000 + MARGIN_S]


def play(deployment):
    deployment.configure([route("plan", "/lohu930/", "streaming", "pamoja-llm", sticky=True)],
                         [], ["pamoja-llm"])
    for _ in range(ROUNDS + 1):
        add_engine(deployment)
    deployment.add_routers(ROUTERS)
    for number in range(ROUNDS):
        if deployment.record.now() > LAST_ROUND_S:
            break
        late = play_round(deployment, number)
        deployment.record.write("verdict", "round %d: %d requests reached the leaving server later than drain_ms"
                                % (number + 1, len(late)))
        for after, request in late:
            deployment.record.write("verdict", "DRAIN %s, %.2f s after the acknowledgement" % (request, after))
        if late:
            return 1
        if number + 1 < ROUNDS:
            deployment.wait_in_touch(limit_s=10)
    return 0


try:
    with Deployment(FOLDER) as deployment:
        status = play(deployment)
except CannotRun as problem:
    print("could not run:", problem)
    status = 2
print({0: "the rule held", 1: "the rule was broken", 2: "not run"}[status])
sys.exit(status)
