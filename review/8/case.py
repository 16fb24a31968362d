"""Two routers, 5,200 users with a kept connection each. One router is lost; its users come to the other. Then a key is
taken away."""

import json
import os
import resource
import subprocess
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
LIBRARY = os.path.join(FOLDER, "..", "lib-2")
sys.path.insert(0, LIBRARY)

import deployment as d  # noqa: E402

USERS = 5200
CROWDS = 8           # processes
PAUSE_S = 8          # between two requests of a user; less than four fifths of idle_timeout_ms (15 s)
MAX_FDS = 4100       # DEPLOY.md, settings of a process
SERVERS = 12
WORK_S = 0.06
TROUBLE_AT_S = 18
REVOKE_AFTER_S = 45  # after the loss, at most; TROUBLE=0: 15
FULL_S = 10          # the router has had no descriptor left for this time when the key is taken away
RESTART_S = 0.5      # "restarted after a short delay"
WATCH_S = 15         # after the key is taken away
CONFIG_APPLY_S = d.BOUNDS["config_apply_ms"] / 1000


def read(path):
    with open(path) as file:
        return [line.split() for line in file if line.endswith("\n")]


def descriptors(router):
    try:
        return len(os.listdir("/proc/%d/fd" % router["popen"].pid))
    except OSError:
        return 0  # it has just ended


def wait_until_full(deployment, router):
    """Also starts a router again that ends by itself (case 6), as the platform does."""
    if not d.is_troubled():
        time.sleep(15)
        return
    ends = time.monotonic() + REVOKE_AFTER_S
    full_since = None
    while time.monotonic() < ends and (full_since is None or time.monotonic() - full_since < FULL_S):
        time.sleep(0.1)
        if router["popen"].poll() is not None:
            deployment.record.line("%s ended by itself, status=%d" % (router["name"], router["popen"].poll()))
            time.sleep(RESTART_S)
            deployment.start_router(router)
        if descriptors(router) < MAX_FDS - 5:
            full_since = None
        elif full_since is None:
            full_since = time.monotonic()


def main(record):
    if resource.getrlimit(resource.RLIMIT_NOFILE)[1] < MAX_FDS:
        return record.end(d.NOT_RUN, "the hard limit of descriptors is below %d" % MAX_FDS)
    deployment = d.Deployment(record, [d.fake.route("safe", "/safe/", "safe", "plain", timeout_ms=2000, goal_ms=300)],
                              max_fds=MAX_FDS)
    deployment.configure(keys=("key-1", "key-2"))
    children = []
    try:
        server_record = os.path.join(deployment.folder, "servers")
        servers = subprocess.Popen([sys.executable, os.path.join(LIBRARY, "plain_servers.py"), str(SERVERS), str(WORK_S),
                                    "0", server_record], stdout=subprocess.PIPE, text=True)
        children.append(servers)
        for index, port in enumerate(json.loads(servers.stdout.readline())):
            deployment.store.put("keyed.servers", "i-plain%d" % index,
                                 {"service": "plain", "address": "127.0.0.1:%d" % port, "zone": "z", "version": "v1",
                                  "slots": 12, "state": "ready", "seq": 1, "cold_left_ms": 0, "born": 1000 + index})
        first = deployment.add_router()
        second = deployment.add_router(seeds=[first["ip"]])
        addresses = ["%s:%d" % (router["ip"], router["port"]) for router in (first, second)]
        crowd_records = [os.path.join(deployment.folder, "users-%d" % index) for index in range(CROWDS)]
        crowds = [subprocess.Popen([sys.executable, os.path.join(LIBRARY, "users.py"), "kept", str(USERS // CROWDS),
                                    str(PAUSE_S), str(PAUSE_S), path] + addresses, stdin=subprocess.PIPE, text=True)
                  for path in crowd_records]
        children += crowds
        time.sleep(TROUBLE_AT_S)
        record.line("descriptors: %s=%d %s=%d" % (first["name"], descriptors(first), second["name"], descriptors(second)))
        if d.is_troubled():
            record.line("SIGKILL %s (%s), which does not come back" % (first["name"], addresses[0]))
            first["popen"].kill()
            for crowd in crowds:
                crowd.stdin.write("remove %s\n" % addresses[0])
                crowd.stdin.flush()
        wait_until_full(deployment, second)
        record.line("descriptors: %s=%d" % (second["name"], descriptors(second)))
        deployment.configure(keys=("key-1",))
        revoked_at = time.monotonic()
        record.line("the store acknowledged version %d without key-2" % deployment.version)
        time.sleep(WATCH_S)
        code = second["popen"].poll()
        if code is None:
            record.line("descriptors: %s=%d" % (second["name"], descriptors(second)))
        for child in reversed(children):  # the users first
            child.kill()
            child.wait()
        return judge(record, addresses[1], code, revoked_at, server_record, crowd_records)
    finally:
        for child in children:
            child.kill()
        deployment.close()


def judge(record, address, code, revoked_at, server_record, crowd_records):
    events = [line for path in crowd_records for line in read(path)]
    runs = {line[2] for line in read(server_record) if line[1] == "run"}
    for line in sorted(events, key=lambda line: float(line[0])):
        record.line("%s id=%s router=%s answers_before=%s status=%s key=%s run=%s"
                    % (line[1], line[2], line[3], line[4], line[5], line[6], "yes" if line[2] in runs else "no"),
                    float(line[0]))
    late = {line[2]: float(line[0]) - revoked_at for line in events
            if line[1] == "sent" and line[3] == address and line[6] == "key-2"
            and float(line[0]) > revoked_at + CONFIG_APPLY_S}
    ran = [seconds for name, seconds in late.items() if name in runs]
    refused = sum(line[1] == "answer" and line[5] == "401" for line in events if line[2] in late)
    text = ("second router: exit=%s; requests with the key sent over %.1f s after it was taken away: %d, of which ran: %d"
            " (up to %.1f s after), answered 401: %d" % (code, CONFIG_APPLY_S, len(late), len(ran), max(ran, default=0),
                                                         refused))
    return record.end(d.BROKEN if ran else d.HELD, text)


d.run(FOLDER, main)
