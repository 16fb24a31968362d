"""Routers that stand still in turn do not keep the others from reading the store."""

import signal
import threading
import time

from platform_fake import Platform
from test_platform import check

ROUTERS = 6
IN_TURN = 3       # of them; the others are never disturbed
STANDSTILL_S = 0.4
KEYS = 13         # one is revoked each second
APPLY_S = 2       # config_apply_ms
POLL_S = 0.1


def test_keys_are_revoked_in_time_beside_routers_that_stand_still():
    with Platform(routers=ROUTERS, start=False) as platform:
        platform.add_server()
        keys = ["key-%d" % number for number in range(KEYS)]
        platform.configure(keys=keys)
        platform.start()
        platform.wait_for_routers(ROUTERS)
        end = threading.Event()
        revoked, late, refused = {}, [], []

        def stop_in_turn():
            turn, last = 0, None
            while not end.is_set():
                process = platform.routers[turn % IN_TURN]["process"]
                process.signal(signal.SIGSTOP)
                if last is not None:
                    last.signal(signal.SIGCONT)
                last = process
                turn += 1
                end.wait(STANDSTILL_S)
            last.signal(signal.SIGCONT)

        def poll(router):
            with platform.client(router) as client:
                while not end.wait(POLL_S):
                    now = time.monotonic()
                    due = [key for key, at in list(revoked.items()) if now > at + APPLY_S]
                    if due:
                        status = client.call("/safe/", key=due[-1]).status
                        (late if status == 200 else refused).append((router, due[-1], now - revoked[due[-1]]))

        threads = [threading.Thread(target=stop_in_turn)] \
            + [threading.Thread(target=poll, args=(router,)) for router in range(IN_TURN, ROUTERS)]
        for thread in threads:
            thread.start()
        try:
            while len(keys) > 1:
                time.sleep(1)
                key = keys.pop()
                platform.configure(keys=keys)
                revoked[key] = time.monotonic()
            time.sleep(APPLY_S + 1)
        finally:
            end.set()
            for thread in threads:
                thread.join()
        check(refused and not late, len(refused), late)
