"""A resumable stream that its first server began with a chunked answer goes on at a server whose answer has no length.
Both servers are killed on the way, one after the other."""

import os
import random
import socket
import subprocess
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
LIBRARY = os.path.join(FOLDER, "..", "lib-2")
sys.path.insert(0, LIBRARY)

import deployment as d  # noqa: E402
import stream_server  # noqa: E402

SERVERS = 12     # two of them are down at a time: a share of 0.17
STREAMS = 80     # at most
ROUNDS = 4       # streams that were cut twice; enough then
KILL_AFTER_S = 0.4
DOWN_S = 4.5
LIMIT_S = 85


class Servers:
    def __init__(self, deployment):
        self.deployment = deployment
        self.path = os.path.join(deployment.folder, "runs")
        open(self.path, "w").close()
        self.running = {}   # id -> Popen
        self.down = []      # (time to start again, framing, id)
        self.count = 0

    def start(self, framing):
        self.count += 1
        name = "i-%s%d" % (framing, self.count)
        popen = subprocess.Popen([sys.executable, os.path.join(LIBRARY, "stream_server.py"), name, framing, self.path],
                                 stdout=subprocess.PIPE, text=True)
        port = int(popen.stdout.readline())
        self.running[name] = popen
        self.deployment.store.put("keyed.servers", name,
                                  {"service": "model", "address": "127.0.0.1:%d" % port, "zone": "z", "version": "v1",
                                   "slots": 8, "state": "ready", "seq": 1, "cold_left_ms": 0, "stage": "both",
                                   "models": [{"name": "m", "version": 1, "adapters": []}], "born": 1000 + self.count})

    def kill(self, name):
        self.deployment.record.line("SIGKILL server %s" % name)
        popen = self.running.pop(name)
        popen.kill()
        popen.wait()
        self.down.append((time.monotonic() + DOWN_S, name.split("-")[1].rstrip("0123456789"), name))

    def restart(self):
        """Starts servers whose time is over again, as new incarnations with new ids."""
        for entry in [entry for entry in self.down if entry[0] < time.monotonic()]:
            self.down.remove(entry)
            self.deployment.store.put("keyed.servers", entry[2], None)
            self.start(entry[1])

    def runs(self, request):
        with open(self.path) as file:
            return [line.split() for line in file if line.endswith("\n") and line.split()[2] == request]

    def close(self):
        for popen in self.running.values():
            popen.kill()
            popen.wait()


class Stream:
    """A stream as a client sees it."""

    def __init__(self, router):
        self.id = "%016x" % random.getrandbits(64)
        self.data = b""
        self.is_open = True
        self.is_orderly = False
        self.socket = socket.create_connection((router["ip"], router["port"]), 1)
        self.socket.sendall(("POST /resume/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nModel: m\r\n"
                             "Token-Usage: 1460,80\r\nPrompt-Prefix: %s:800,%s:250\r\nDeadline-Ms: 10000\r\n"
                             "Authorization: Token key-1\r\nContent-Length: 1\r\n\r\nx"
                             % (self.id, self.id[8:], self.id[:8])).encode())

    def read(self, seconds):
        ends = time.monotonic() + seconds
        while self.is_open and time.monotonic() < ends and not self.is_chunked_to_end():
            self.socket.settimeout(max(0.01, ends - time.monotonic()))
            try:
                data = self.socket.recv(65536)
                self.data += data
                self.is_open = len(data) > 0
                self.is_orderly = not data
            except socket.timeout:
                return
            except OSError:
                self.is_open = False

    def is_chunked(self):
        return b"transfer-encoding: chunked" in self.data.split(b"\r\n\r\n")[0].lower()

    def is_chunked_to_end(self):
        return self.is_chunked() and self.data.endswith(b"\r\n0\r\n\r\n")

    def pieces(self):
        return [int(line[4:]) for line in self.data.split(b"\n") if line.startswith(b"id: ")]


def play(router, servers, record):
    """Returns (whether the case came about, whether the rule was broken)."""
    stream = Stream(router)
    record.line("sent id=%s" % stream.id)
    killed = []
    for number, framing in enumerate(("chunked", "close")):
        stream.read(KILL_AFTER_S)
        runs = servers.runs(stream.id)
        if len(runs) != number + 1 or runs[-1][3] != framing:
            break
        if d.is_troubled():
            servers.kill(runs[-1][1])
            killed.append(runs[-1][1])
    stream.read(5)
    stream.socket.close()
    runs = servers.runs(stream.id)
    pieces = stream.pieces()
    is_cut = len(killed) == 2 if d.is_troubled() else len(runs) > 0
    # A chunked answer is complete with its last chunk, whatever happens to the connection.
    is_broken = stream.is_chunked_to_end() and pieces != list(range(1, stream_server.EVENTS + 1))
    for run in runs:
        record.line("run id=%s server=%s framing=%s first_event=%s" % (run[2], run[1], run[3], run[4]), float(run[0]))
    record.line("answer id=%s status=%s chunked=%s last_chunk=%s orderly_close=%s pieces=%s of %d killed=%s broken=%s"
                % (stream.id, stream.data[9:12].decode() or "-", stream.is_chunked(), stream.is_chunked_to_end(),
                   stream.is_orderly, "%d-%d" % (pieces[0], pieces[-1]) if pieces else "-", stream_server.EVENTS,
                   ",".join(killed) or "-", is_broken))
    return is_cut, is_broken


def main(record):
    deployment = d.Deployment(record, [d.fake.route("resume", "/resume/", "streaming", "model", resumable=True,
                                                    timeout_ms=10000, goal_ms=300)])
    servers = Servers(deployment)
    try:
        for index in range(SERVERS):
            servers.start("chunked" if index % 2 == 0 else "close")
        router = deployment.add_router()
        time.sleep(1)
        cut = broken = 0
        began = time.monotonic()
        for _ in range(STREAMS):
            while servers.down:
                time.sleep(0.05)
                servers.restart()
            is_cut, is_broken = play(router, servers, record)
            cut += is_cut
            broken += is_broken
            if cut >= ROUNDS or time.monotonic() - began > LIMIT_S:
                break
        if cut == 0 and broken == 0:
            return record.end(d.NOT_RUN, "no stream was cut twice")
        return record.end(d.BROKEN if broken else d.HELD, "streams cut twice: %d, of these complete for the client with"
                          " pieces missing: %d" % (cut if d.is_troubled() else 0, broken))
    finally:
        servers.close()
        deployment.close()


d.run(FOLDER, main)
