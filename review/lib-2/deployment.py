"""A small deployment of the real program: settings, routers and the store.

The store is the project's own stand-in (test/platform_fake.py). All addresses are loopback addresses."""

import json
import os
import random
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "test"))

import fleet as f  # noqa: E402
import platform_fake as fake  # noqa: E402

PROGRAM = "target/limpetplatformd"  # "run" of deploy/system.toml
HELD, BROKEN, NOT_RUN = 0, 1, 2
# The bounds of DEPLOY.md.
BOUNDS = {"seed_lag_s": 3, "addr_reuse_s": 2, "stable_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
          "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
          "rollback_slack_ms": 250, "outer_ms": 5000, "strict_revoke": False, "revoke_ms": 5000,
          "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 58, "recover_s": 12, "pass_ms": 120,
          "retry_after_s": 10, "cap_x": 2}


def is_troubled():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file record.txt beside the script."""

    def __init__(self, folder):
        self.path = os.path.join(folder, "record.txt")
        self.file = open(self.path, "w")
        self.start = time.monotonic()

    def line(self, text, at=None):
        at = time.monotonic() if at is None else at
        self.file.write("%8.3f %s\n" % (at - self.start, text))
        self.file.flush()

    def end(self, code, text):
        self.line("result=%s %s" % (("held", "broken", "could not run")[code], text))
        print("%s: %s" % (("held", "broken", "could not run")[code], text))
        return code


class Deployment:
    def __init__(self, record, routes, max_fds=4100, memory_mb=260, bounds=None):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.max_fds = max_fds
        self.memory_mb = memory_mb
        self.bounds = dict(BOUNDS, **(bounds or {}))
        self.store = fake.Store()
        self.peer_port = f.free_port_range(4)
        self.routers = []
        self.processes = []
        self.version = 1
        self.routes = routes
        self.configure()

    def configure(self, routes=None, **more):
        self.version += 3
        self.routes = routes or self.routes
        self.store.put("keyed.op", "config", fake.configuration(self.version, self.routes, **more))

    def add_router(self, seeds=(), waits=True):
        ip = "127.%d.%d.%d" % (random.randrange(1, 250), random.randrange(250),
                               random.randrange(1, 250))
        name = "front-%d" % (len(self.routers) + 1)
        port, ready = f.free_ports(2)
        settings = {"node": name, "role": "router", "machine_class": "front", "serves": ["front"], "ip": ip,
                    "zone": "z", "region": "r", "zones": {"z": "r"},
                    "port_range": [self.peer_port, self.peer_port + 3],
                    "seeds": ["%s:%d" % (seed, self.peer_port) for seed in seeds],
                    "bootstrap": True, "beat_interval_ms": 1200,
                    "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": self.memory_mb,
                               "max_fds": self.max_fds, "link_mbps": 1000.0, "disk_mb": 0},
                    "listen": {"front": "%s:%d" % (ip, port), "ready": "%s:%d" % (ip, ready)},
                    "platform": {"address": "127.0.0.1:%d" % self.store.port, "form": "log",
                                 "writes_per_s": 400, "reads_per_s": 2000, "keep_s": 300},
                    "bounds": self.bounds}
        path = os.path.join(self.folder, name + ".json")
        with open(path, "w") as file:
            json.dump(settings, file)
        router = {"name": name, "ip": ip, "port": port, "ready": ready, "settings": path}
        self.routers.append(router)
        self.start_router(router, waits)
        return router

    def start_router(self, router, waits=True):
        log_path = os.path.join(self.folder, router["name"] + ".log")
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["LIMPETROAD_BOOT"] = router["settings"]
        with open(log_path, "ab") as log:
            popen = subprocess.Popen([PROGRAM], cwd=ROOT, env=env, stdout=log, stderr=log)
        resource.prlimit(popen.pid, resource.RLIMIT_NOFILE, (self.max_fds, self.max_fds))
        router.update(popen=popen, log_path=log_path)
        self.processes.append(popen)
        if not waits:
            return
        f.wait_for(lambda: fake.Platform.is_ready(None, router), router["name"] + " to be ready", 20)
        self.record.line("%s ready pid=%d" % (router["name"], popen.pid))

    def metric(self, router, name):
        """Returns the metric of a router whose line begins with name."""
        with socket.create_connection((router["ip"], 9464), 1) as connection:
            connection.sendall(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
            text = fake.Message(connection.makefile("rb")).body.decode()
        return sum(float(line.split()[-1]) for line in text.splitlines() if line.startswith(name))

    def log(self, router):
        with open(router["log_path"], errors="replace") as file:
            return file.read()

    def close(self):
        for popen in self.processes:
            if popen.poll() is None:
                popen.send_signal(signal.SIGCONT)
                popen.kill()
            popen.wait()
        self.store.listener.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def run(folder, main):
    """Calls main(record) and exits with its code; 2 if it could not run."""
    record = Record(folder)
    try:
        if not os.access(os.path.join(ROOT, PROGRAM), os.X_OK):
            code = record.end(NOT_RUN, "%s is missing: run the build of deploy/system.toml" % PROGRAM)
        else:
            code = main(record)
    except Exception as error:  # of the script or a stand-in, not of the program under test
        code = record.end(NOT_RUN, "%s: %s" % (type(error).__name__, error))
    sys.stdout.flush()
    os._exit(code)
