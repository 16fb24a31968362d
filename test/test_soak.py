"""Mixed load under random faults from a seed; LIMPET_SOAK_S and LIMPET_SEED for longer runs."""

import os
import random
import threading
import time

import fleet as f
from test_chats import check_own_answers
from test_orders import check_truth

SEED = int(os.environ.get("LIMPET_SEED", "7"))
SECONDS = float(os.environ.get("LIMPET_SOAK_S", "20"))


def faults(fleet, choose):
    """Returns (name, inject, heal) of a fault that choose picks."""
    engine, router = choose.choice(fleet.engines[1:]), choose.choice(fleet.routers[1:])
    frozen = fleet.engines[0]  # a frozen stand-in takes no other fault
    log, service = fleet.log_port, fleet.services[0]
    nothing = lambda: None
    return choose.choice([
        ("log down", lambda: fleet.fault(log, down=1), lambda: fleet.fault(log, down=0)),
        ("log answers lost", lambda: fleet.fault(log, lose_answers=3), nothing),
        ("engine slow", lambda: fleet.fault(engine, slow=10), lambda: fleet.fault(engine, slow=1)),
        ("engine cut", lambda: fleet.fault(engine, cut_at=6, faulty_streams=3), nothing),
        ("engine frozen", frozen["process"].freeze, frozen["process"].thaw),
        ("engine connections silent", lambda: fleet.proxy(engine["id"], silence=1), nothing),
        ("service answers lost", lambda: fleet.fault(service, drop_answers=2), nothing),
        ("service refuses", lambda: fleet.fault(service, refuse=2), nothing),
        ("router frozen", router["process"].freeze, router["process"].thaw),
        ("router replaced", lambda: (router["process"].kill(),
                                     fleet.start_router(router, wait=False)), nothing),
        ("peers cut", lambda: fleet.proxy(router["id"], refuse=1, cut=1),
         lambda: fleet.proxy(router["id"], refuse=0)),
        ("log cut for one", lambda: fleet.proxy("log-" + router["id"], refuse=1, cut=1),
         lambda: fleet.proxy("log-" + router["id"], refuse=0)),
    ])


def inject_until(fleet, end, choose, done):
    while time.monotonic() < end:
        chosen = [faults(fleet, choose) for _ in range(choose.choice([1, 1, 2]))]
        for name, inject, _ in chosen:
            done.append(name)
            inject()
        time.sleep(choose.uniform(0.3, 1.2))
        for _, _, heal in reversed(chosen):
            heal()
        time.sleep(choose.uniform(0.2, 0.8))


def test_answers_and_outcomes_hold_under_random_faults():
    print("soak seed %d" % SEED)
    choose = random.Random(SEED)
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
                except Exception:  # the caller's connection broke; nothing was told
                    chats.append((tag, None))

        def send_orders(index):
            while time.monotonic() < end:
                key = f.order_key()
                for turn in range(choose_turns(index)):
                    port = fleet.routers[(index + turn) % 3]["port"]
                    orders.append((key, f.order(port, fleet.key("team-0"), key, "a", 1500, 8)))

        def choose_turns(index):
            return 1 + index % 3
        threads = [threading.Thread(target=send_chats, args=(i,)) for i in range(6)]
        threads += [threading.Thread(target=send_orders, args=(i,)) for i in range(6)]
        for thread in threads:
            thread.start()
        inject_until(fleet, end, choose, injected)
        for thread in threads:
            thread.join()
        fleet.fault(fleet.services[0], refuse=0, drop_answers=0)
        whole = check_own_answers([c for c in chats if c[1] is None or c[1].error is None
                                   or c[1].error.get("type") != "cut"], 20)
        check_truth(fleet, orders)
        done = sum(a is not None and a.outcome == "done" for _, a in orders)
        assert whole > 0 and done > 0, (whole, done, injected)
        f.wait_for(lambda: f.order(fleet.routers[0]["port"], fleet.key("team-0"),
                                   f.order_key()).outcome == "done", "orders to run again")
