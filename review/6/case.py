"""Two routers, 6,400 users, three in four with a kept connection. One router is lost; its users come to the other."""

import json
import os
import resource
import subprocess
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))

import deployment as d  # noqa: E402

USERS = 6400
CROWDS = 8       # processes
PAUSE_S = 7     # between two requests of a user; less than four fifths of idle_timeout_ms (15 s)
MAX_FDS = 4100   # DEPLOY.md, settings of a process
SERVERS = 12
CLOSE_EVERY = "10"  # answers, of which one bears "Connection: close"
WORK_S = 0.2     # of a request at its server
TROUBLE_AT_S = 22
WATCH_S = 60     # after the loss
RESTART_S = 0.5  # "restarted after a short delay"
LOST_MOST = 3    # RULES.md: "more than three times"
TIMEOUT_S = 2.0  # timeout_ms of the routes
LATE_S = 0.5     # RULES.md, CONFIG: "no answer half a second later"; the users wait for 3 s
LATE_LEAST = 8   # "Eight or more of them"


def read(path):
    with open(path) as file:
        return [line.split() for line in file if line.endswith("\n")]


def main(record):
    if resource.getrlimit(resource.RLIMIT_NOFILE)[1] < MAX_FDS:
        return record.end(d.NOT_RUN, "the hard limit of descriptors is below %d" % MAX_FDS)
    deployment = d.Deployment(record, [d.fake.route("safe", "/safe/", "safe", "plain", timeout_ms=2000, goal_ms=300),
                                       d.fake.route("unsafe", "/unsafe/", "unsafe", "plain", timeout_ms=2000, goal_ms=300)],
                              max_fds=MAX_FDS)
    children = []
    try:
        library = os.path.join(FOLDER, "..", "lib-2")
        server_record = os.path.join(deployment.folder, "servers")
        servers = subprocess.Popen([sys.executable, os.path.join(library, "plain_servers.py"), str(SERVERS), str(WORK_S),
                                    CLOSE_EVERY, server_record], stdout=subprocess.PIPE, text=True)
        children.append(servers)
        for index, port in enumerate(json.loads(servers.stdout.readline())):
            deployment.store.put("keyed.servers", "i-plain%d" % index,
                                 {"service": "plain", "address": "127.0.0.1:%d" % port, "zone": "z", "version": "v1",
                                  "slots": 12, "state": "ready", "seq": 1, "cold_left_ms": 0, "born": 1000 + index})
        first = deployment.add_router()
        second = deployment.add_router(seeds=[first["ip"]])
        addresses = ["%s:%d" % (router["ip"], router["port"]) for router in (first, second)]
        crowd_records = [os.path.join(deployment.folder, "users-%d" % index) for index in range(CROWDS)]
        crowds = [subprocess.Popen([sys.executable, os.path.join(library, "users.py"), "mixed", str(USERS // CROWDS),
                                    str(PAUSE_S), str(PAUSE_S), path] + addresses, stdin=subprocess.PIPE, text=True)
                  for path in crowd_records]
        children += crowds
        time.sleep(TROUBLE_AT_S)
        for router in (first, second):
            record.line("%s descriptors=%d" % (router["name"], len(os.listdir("/proc/%d/fd" % router["popen"].pid))))
        if d.is_troubled():
            record.line("SIGKILL %s (%s), which does not come back" % (first["name"], addresses[0]))
            first["popen"].kill()
            for crowd in crowds:
                crowd.stdin.write("remove %s\n" % addresses[0])
                crowd.stdin.flush()
        ends = time.monotonic() + WATCH_S
        codes = []
        while time.monotonic() < ends:
            time.sleep(0.05)
            code = second["popen"].poll()
            if code is None:
                continue
            codes.append(code)
            record.line("%s ended by itself, status=%d" % (second["name"], code))
            for line in deployment.log(second).splitlines()[-3:]:
                if "level=" not in line:
                    record.line("its output: %s" % line)
            time.sleep(RESTART_S)
            deployment.start_router(second)
        record.line("%s descriptors=%d" % (second["name"], len(os.listdir("/proc/%d/fd" % second["popen"].pid))))
        for child in reversed(children):  # the users first
            child.kill()
            child.wait()
        return judge(record, addresses[1], codes, server_record, crowd_records)
    finally:
        for child in children:
            child.kill()
        deployment.close()


def judge(record, address, codes, server_record, crowd_records):
    events = [line for path in crowd_records for line in read(path)]
    served = read(server_record)
    runs = {line[2]: float(line[0]) for line in served if line[1] == "run"}
    garbled = [line for line in served if line[1] == "garbled"]
    for line in garbled:
        record.line("a server got a head that no user sent: %r" % bytes.fromhex(line[2]), float(line[0]))
    for line in sorted(events, key=lambda line: float(line[0])):
        record.line("%s id=%s router=%s answers_before=%s status=%s run=%s"
                    % (line[1], line[2], line[3], line[4], line[5], "yes" if line[2] in runs else "no"), float(line[0]))
    sent_at = {line[2]: float(line[0]) for line in events if line[1] == "sent" and line[3] == address}
    ends = [float(line[0]) - sent_at[line[2]] for line in events if line[1] != "sent" and line[2] in sent_at]
    slow = sum(seconds > TIMEOUT_S for seconds in ends)
    late = sum(seconds > TIMEOUT_S + LATE_S for seconds in ends)
    is_hung = late >= LATE_LEAST and late > slow / 2
    lost = [line for line in events if line[1] == "closed" and line[3] == address and int(line[4]) > 0
            and line[2] in runs]
    counts = {}
    for line in events:
        if line[3] == address:
            counts[line[5] if line[1] == "answer" else line[1]] = counts.get(line[5] if line[1] == "answer" else line[1], 0) + 1
    text = ("second router: ends by itself=%s lost=%d (most %d) without an answer at timeout_ms=%d and %.1f s"
            " later=%d garbled heads at servers=%d events=%s"
            % (codes, len(lost), LOST_MOST, slow, LATE_S, late, len(garbled), counts))
    return record.end(d.BROKEN if len(lost) > LOST_MOST or is_hung else d.HELD, text)


d.run(FOLDER, main)
