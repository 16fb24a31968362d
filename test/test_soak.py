"""Chats and orders under random faults.

LIMPET_SEED sets the seed of the faults, LIMPET_SOAK_S the duration in seconds.
"""

import os
import random
import threading
import time

import fleet as f
from test_chats import check_responses
from test_orders import check_outcomes

SEED = int(os.environ.get("LIMPET_SEED", "7"))
SECONDS = float(os.environ.get("LIMPET_SOAK_S", "20"))


def choose_fault(fleet, rng):
    """Returns (name, inject, undo) of a fault that rng chooses."""
    engine, router = rng.choice(fleet.engines[1:]), rng.choice(fleet.routers[1:])
    frozen = fleet.engines[0]  # reserved for this fault: a stopped process cannot receive others
    log, service = fleet.log_port, fleet.services[0]
    no_op = lambda: None
    return rng.choice([
        ("log down", lambda: fleet.fault(log, down=1), lambda: fleet.fault(log, down=0)),
        ("log responses lost", lambda: fleet.fault(log, lose_answers=3), no_op),
        ("engine slow", lambda: fleet.fault(engine, slow=10), lambda: fleet.fault(engine, slow=1)),
        ("engine cut", lambda: fleet.fault(engine, cut_at=6, faulty_streams=3), no_op),
        ("engine frozen", frozen["process"].freeze, frozen["process"].thaw),
        ("engine connections silent", lambda: fleet.proxy(engine["id"], silence=1), no_op),
        ("service responses lost", lambda: fleet.fault(service, drop_answers=2), no_op),
        ("service refuses", lambda: fleet.fault(service, refuse=2), no_op),
        ("router frozen", router["process"].freeze, router["process"].thaw),
        ("router replaced", lambda: (router["process"].kill(),
                                     fleet.start_router(router, wait=False)), no_op),
        ("peers cut", lambda: fleet.proxy(router["id"], refuse=1, cut=1),
         lambda: fleet.proxy(router["id"], refuse=0)),
        ("log cut for one router", lambda: fleet.proxy("log-" + router["id"], refuse=1, cut=1),
         lambda: fleet.proxy("log-" + router["id"], refuse=0)),
    ])


# Injects one or two faults at a time until end and appends their names to injected.
def inject_until(fleet, end, rng, injected):
    while time.monotonic() < end:
        chosen = [choose_fault(fleet, rng) for _ in range(rng.choice([1, 1, 2]))]
        for name, inject, _ in chosen:
            injected.append(name)
            inject()
        time.sleep(rng.uniform(0.3, 1.2))
        for _, _, undo in reversed(chosen):
            undo()
        time.sleep(rng.uniform(0.2, 0.8))


def test_responses_and_outcomes_are_correct_under_random_faults():
    print("soak seed %d" % SEED)
    rng = random.Random(SEED)
    with f.Fleet(routers=3, engines=4, services=1, proxied=["log", "engines", "peers"],
                 fleet={"default_deadline_ms": 6000}).start() as fleet:
        end = time.monotonic() + SECONDS
        chats, orders, injected = [], [], []

        def send_chats(index):
            number = 0
            while time.monotonic() < end:
                number += 1
                tag = "tag%d-%d" % (index, number)
                port = fleet.routers[(index + number) % 3]["port"]
                try:
                    chats.append((tag, f.chat(port, fleet.key("team-0"), tag, 20, "c%d" % index,
                                              timeout=10)))
                except Exception:  # the caller's connection failed; no response arrived
                    chats.append((tag, None))

        def send_orders(index):
            while time.monotonic() < end:
                key = f.order_key()
                for sending in range(choose_send_count(index)):
                    port = fleet.routers[(index + sending) % 3]["port"]
                    orders.append((key, f.order(port, fleet.key("team-0"), key, "a", 1500, 8)))

        def choose_send_count(index):
            return 1 + index % 3
        threads = [threading.Thread(target=send_chats, args=(i,)) for i in range(6)]
        threads += [threading.Thread(target=send_orders, args=(i,)) for i in range(6)]
        for thread in threads:
            thread.start()
        inject_until(fleet, end, rng, injected)
        for thread in threads:
            thread.join()
        fleet.fault(fleet.services[0], refuse=0, drop_answers=0)
        complete_count = check_responses([c for c in chats if c[1] is None or c[1].error is None
                                          or c[1].error.get("type") != "cut"], 20)
        check_outcomes(fleet, orders)
        done = sum(a is not None and a.outcome == "done" for _, a in orders)
        assert complete_count > 0 and done > 0, (complete_count, done, injected)
        f.wait_for(lambda: f.order(fleet.routers[0]["port"], fleet.key("team-0"),
                                   f.order_key()).outcome == "done", "orders to run again")
