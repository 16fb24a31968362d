"""Starts the real router programs with stand-ins for the log, VM list, engines and services.

Used by the tests, the measurements and the demo. LIMPET_BUILD names the build directory,
LIMPET_WAIT_S the time limit of wait_for() in seconds.
"""

import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = os.path.join(ROOT, os.environ.get("LIMPET_BUILD", "build"))
WAIT_LIMIT_S = float(os.environ.get("LIMPET_WAIT_S", "40"))
ZONES = ["ke-central-a", "ke-central-b", "ke-central-c"]
MODEL = "kit-7b"


PORTS = range(12000, 32000)  # below Linux's default ephemeral port range
port_lock = threading.Lock()
# Next port to try; the first one depends on the process id, so that processes rarely share ports.
next_port = os.getpid() * 769 % len(PORTS)


def is_free(port):
    with socket.socket() as s:
        s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            s.bind(("127.0.0.1", port))
            return True
        except OSError:
            return False


def free_ports(count):
    """Returns ports that nothing listens on.

    A process gets a port a second time only after it has tried the whole range."""
    global next_port
    ports = []
    with port_lock:
        while len(ports) < count:
            port = PORTS[next_port % len(PORTS)]
            next_port += 1
            if is_free(port):
                ports.append(port)
    return ports


def free_port_range(count):
    """Returns the first of count consecutive ports that nothing listens on."""
    while True:
        ports = free_ports(count)
        if ports[-1] - ports[0] == count - 1:
            return ports[0]


def request(port, method, path, body=None, headers=None, timeout=30):
    """Sends one HTTP request; returns (status, headers, body text) of the response."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        if isinstance(body, (dict, list)):
            body = json.dumps(body)
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read().decode()
    finally:
        connection.close()


def get_json(port, path):
    return json.loads(request(port, "GET", path)[2])


def wait_for(condition, what, limit_s=None):
    """Polls until condition() is true; raises AssertionError after limit_s (default WAIT_LIMIT_S).

    Connection and parse errors in condition() count as false."""
    until = time.monotonic() + (limit_s or WAIT_LIMIT_S)
    while time.monotonic() < until:
        try:
            if condition():
                return
        except (OSError, http.client.HTTPException, ValueError, KeyError):
            pass
        time.sleep(0.02)
    raise AssertionError("timed out waiting for " + what)


class Process:
    """A child process whose output is appended to a log file."""

    def __init__(self, arguments, log_path, environment=()):
        self.log_path = log_path
        self.log = open(log_path, "ab")
        self.popen = subprocess.Popen(arguments, stdout=self.log, stderr=self.log,
                                      env=dict(os.environ, **dict(environment)))

    def signal(self, number):
        self.popen.send_signal(number)

    # Stops the process with SIGSTOP, so that it does nothing but keeps its connections.
    def freeze(self):
        self.signal(signal.SIGSTOP)

    def thaw(self):
        self.signal(signal.SIGCONT)

    def kill(self):
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGKILL)
            self.popen.wait()

    def terminate(self, limit_s=60):
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGTERM)
            self.popen.wait(limit_s)
        return self.popen.returncode

    def log_text(self):
        with open(self.log_path, errors="replace") as f:
            return f.read()


# Returns the resident memory of a process in units of 10^6 bytes.
def memory_mb(pid):
    with open("/proc/%d/statm" % pid) as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


# Returns the highest resident memory of a process in MiB.
def peak_mib(pid):
    with open("/proc/%d/status" % pid) as file:
        peak = [line for line in file if line.startswith("VmHWM")][0]
    return int(peak.split()[1]) / 1024


def program(name):
    return os.path.join(BUILD, name)


class Fleet:
    """Log, VM list, engines, plain services and routers on loopback.

    start() publishes the first bundle and starts the routers. As a context manager it kills
    every process at the end and, after an error, prints the last log lines of each router."""

    def __init__(self, routers=3, engines=4, services=1, teams=3, fleet=None, engine_options=None,
                 log_options=None, idempotent=False, retention_ms=3600000, workers=256,
                 control_bytes_per_s=3300, service_options=None, proxied=(), extra_settings=None,
                 software_versions=()):
        self.directory = tempfile.mkdtemp(prefix="limpet-")
        self.processes = []
        self.environment = {}  # variables added for the processes started from now on
        self.proxied = set(proxied)
        self.proxy_port = None
        self.extra_settings = extra_settings or {}
        self.routers, self.engines, self.services = [], [], []
        self.teams = ["team-%d" % i for i in range(teams)]
        self.fleet_settings = fleet or {}
        self.idempotent = idempotent
        self.retention_ms = retention_ms
        self.workers = workers
        self.control_bytes_per_s = control_bytes_per_s
        try:
            self.prepare(routers, engines, services, engine_options, log_options,
                         service_options, software_versions)
        except BaseException:
            self.stop()
            raise

    def prepare(self, routers, engines, services, engine_options, log_options, service_options,
                software_versions):
        """Starts the stand-ins, writes the settings of the routers and publishes the VM list."""
        self.log_port, self.vms_port = free_ports(2)
        self.start_stand_in("log", self.log_port, "--retention-ms", self.retention_ms,
                            *(log_options or []))
        self.start_stand_in("vms", self.vms_port, "--lag-ms", 300)
        ports = free_ports(engines + services)
        for i in range(engines):
            self.add_engine("e%02d" % i, ports[i], engine_options or [])
        for i in range(services):
            self.add_service("s%02d" % i, ports[engines + i], service_options or [])
        for engine, version in zip(self.engines, software_versions):
            engine["software_version"] = version
        self.approver = self.make_key("amina")
        for i in range(routers):
            self.prepare_router("r%02d" % i)
        self.start_proxy()
        self.publish_vms()

    def start_proxy(self):
        """Starts the fault-injecting proxy in front of everything that self.proxied names: "log",
        "engines", "services", "peers" and "callers". A link is called "log-R" or "callers-R" for
        router R, otherwise by the VM id of its target."""
        links = []
        if "engines" in self.proxied:
            links += [(e["id"], e, "shown_port", e["port"]) for e in self.engines]
        if "services" in self.proxied:
            links += [(s["id"], s, "shown_port", s["port"]) for s in self.services]
        if "peers" in self.proxied:
            links += [(r["id"], r, "shown_port", r["peers"]) for r in self.routers]
        if "callers" in self.proxied:
            links += [("callers-" + r["id"], r, "proxied_port", r["port"]) for r in self.routers]
        if "log" in self.proxied:
            links += [("log-" + r["id"], r, "log_port", self.log_port) for r in self.routers]
        if not links:
            return
        ports = free_ports(len(links) + 1)
        self.proxy_port = ports[-1]
        arguments = []
        for (name, entry, field, target), port in zip(links, ports):
            entry[field] = port
            arguments.append("%s:%d:%d" % (name, port, target))
        self.spawn("proxy", [program("limpetproxy"), self.proxy_port, *arguments])
        wait_for(lambda: socket.create_connection(("127.0.0.1", self.proxy_port), 1).close()
                 or True, "proxy")
        for router in self.routers:
            self.write_settings(router)

    def proxy(self, link, **fault):
        """Sets faults on a link of the proxy, by the names that limpetproxy's /fault takes."""
        status = request(self.proxy_port, "POST", "/fault", dict(fault, link=link))[0]
        assert status == 200, "limpetproxy rejected the fault for link " + link

    def spawn(self, name, arguments):
        process = Process([str(a) for a in arguments], os.path.join(self.directory, name + ".log"),
                          self.environment)
        self.processes.append(process)
        return process

    def start_stand_in(self, role, port, *options):
        process = self.spawn("%s-%d" % (role, port),
                             [program("limpetfake"), role, "--port", port, "--threads",
                              600 if role == "log" else 100, *options])
        wait_for(lambda: process.popen.poll() is not None
                 or socket.create_connection(("127.0.0.1", port), 1).close() is None, role)
        assert process.popen.poll() is None, "%s: %s" % (role, process.log_text())
        return process

    def add_target(self, targets, vm_id, port, **more):
        """Adds an entry to the VM list; targets is self.engines or self.services."""
        targets.append(dict({"id": vm_id, "port": port, "leaving": False, "incarnation": 1}, **more))

    def add_engine(self, vm_id, port, options):
        process = self.start_stand_in("engine", port, "--name", vm_id, *options)
        slots = options[options.index("--slots") + 1] if "--slots" in options else 16
        self.add_target(self.engines, vm_id, port, process=process, slots=slots)

    def add_service(self, vm_id, port, options):
        process = self.start_stand_in("service", port, "--name", vm_id, *options)
        self.add_target(self.services, vm_id, port, process=process)

    # Creates the signing key of an approver with limpetctl.
    def make_key(self, name):
        path = os.path.join(self.directory, name + ".key")
        out = self.run([program("limpetctl"), "--json", "keygen", name, path])
        return {"name": name, "path": path, "public_key": json.loads(out)["public_key"]}

    # Runs a program, which must exit with code; returns its output, with stderr if code is not 0.
    def run(self, arguments, code=0):
        result = subprocess.run([str(a) for a in arguments], capture_output=True, text=True)
        assert result.returncode == code, "%s: exit code %d, %s%s" % (
            arguments, result.returncode, result.stdout, result.stderr)
        return result.stdout + (result.stderr if code else "")

    # Runs limpetctl with the settings of the first router.
    def limpetctl(self, *arguments, code=0):
        return self.run([program("limpetctl"), "--settings", self.routers[0]["settings"],
                         *arguments], code)

    # Returns the content of the router's settings file.
    def settings(self, router):
        return {
            "name": router["id"], "zone": router["zone"],
            "callers": {"address": "127.0.0.1", "port": router["port"]},
            "operators": {"address": "127.0.0.1", "port": router["operators"]},
            "peers": {"address": "127.0.0.1", "port": router["peers"]},
            "log_url": "http://127.0.0.1:%d" % router["log_port"],
            "log_retention_ms": self.retention_ms,
            "vm_list_url": "http://127.0.0.1:%d" % self.vms_port,
            "workers": self.workers, "control_bytes_per_s": self.control_bytes_per_s,
            **self.extra_settings,
            "approvers": [{"name": "amina", "public_key": self.approver["public_key"]}],
        }

    # Adds a router and writes its settings, without starting it.
    def prepare_router(self, vm_id):
        ports = free_ports(3)
        router = {"id": vm_id, "port": ports[0], "operators": ports[1], "peers": ports[2],
                  "log_port": self.log_port, "incarnation": 1, "leaving": False,
                  "settings": os.path.join(self.directory, vm_id + ".json")}
        router["zone"] = ZONES[len(self.routers) % len(ZONES)]
        self.write_settings(router)
        self.routers.append(router)
        return router

    def write_settings(self, router):
        with open(router["settings"], "w") as f:
            f.write("// settings of one router\n")
            json.dump(self.settings(router), f)

    def start_router(self, router, wait=True):
        router["process"] = self.spawn(router["id"], [program("limpetroadd"), router["settings"]])
        if wait:
            self.wait_ready(router)

    def start_routers(self):
        for router in self.routers:
            self.start_router(router, wait=False)
        for router in self.routers:
            self.wait_ready(router)

    def wait_ready(self, router):
        wait_for(lambda: request(router["port"], "GET", "/readyz")[0] == 200,
                 router["id"] + " to be ready")

    # Returns the VM list entry of a router, engine or service. Its port is that of the proxy
    # (shown_port) if requests to it go through the proxy.
    def vm(self, kind, entry, group):
        vm = {"id": entry["id"], "kind": kind, "address": "127.0.0.1",
              "port": entry.get("shown_port", entry["peers"] if kind == "router" else
                                entry["port"]),
              "zone": ZONES[0], "group": group, "incarnation": entry["incarnation"],
              "leaving": entry["leaving"]}
        if kind == "engine":
            vm["slots"] = int(entry["slots"])
        if "software_version" in entry:
            vm["software_version"] = entry["software_version"]
        return vm

    def publish_vms(self, odd=()):
        """odd: entries that come first in the list."""
        vms = list(odd) + [self.vm("engine", e, MODEL) for e in self.engines]
        vms += [self.vm("service", s, "booking") for s in self.services]
        vms += [self.vm("router", r, "limpetroad") for r in self.routers]
        request(self.vms_port, "POST", "/vms", {"vms": vms})

    # Returns the API key of a team.
    def key(self, team):
        return "key-of-" + team

    # Returns the content of the first bundle, which limpetctl can draft.
    def bundle(self):
        hashes = {t: self.run([program("limpetctl"), "hash", self.key(t)]).strip()
                  for t in self.teams}
        return {"fleet": dict(self.fleet_settings), "models": {MODEL: {}},
                "teams": {t: {"key_hash": hashes[t], "share": 10} for t in self.teams},
                "services": {"booking": {"idempotent": self.idempotent}}}

    def write_bundle(self, content, name="bundle.json"):
        path = os.path.join(self.directory, name)
        with open(path, "w") as f:
            json.dump(content, f)
        return path

    def roll(self, content):
        """Drafts and approves a bundle, puts it in force and returns its version."""
        path = self.write_bundle(content)
        draft = json.loads(self.limpetctl("--json", "--author", "baraka", "draft", path))["draft"]
        self.limpetctl("--key", self.approver["path"], "approve", draft)
        return json.loads(self.limpetctl("--json", "--by", "baraka", "roll", draft))["offset"]

    def start(self):
        """Puts the first bundle in force and starts the routers."""
        try:
            self.version = self.roll(self.bundle())
            self.start_routers()
        except BaseException:
            self.__exit__(*sys.exc_info())
            raise
        return self

    # Sets faults of a stand-in, by the names that its /fake/fault takes.
    def fault(self, entry_or_port, **fault):
        port = entry_or_port if isinstance(entry_or_port, int) else entry_or_port["port"]
        request(port, "POST", "/fake/fault", fault)

    def runs(self):
        """Returns the number of runs of each idempotency key, from the ledgers of the services."""
        counts = {}
        for service in self.services:
            for run in get_json(service["port"], "/fake/ledger")["runs"]:
                counts[run["key"]] = counts.get(run["key"], 0) + 1
        return counts

    def executed_attempts(self):
        """Returns the ids of the attempts that the services ran, from their ledgers."""
        return {run["attempt"] for service in self.services
                for run in get_json(service["port"], "/fake/ledger")["runs"]}

    def stats(self, entry):
        return get_json(entry["port"], "/fake/stats")

    def dump(self, router):
        return get_json(router["operators"], "/dump")

    # Returns the counters of a router by name, without the prefix limpet_.
    def counters(self, router):
        text = request(router["operators"], "GET", "/metrics")[2]
        return {line.split()[0][len("limpet_"):]: int(line.split()[1])
                for line in text.splitlines() if not line.startswith("#")}

    # Returns the sum of a counter over all routers.
    def counter(self, name):
        return sum(self.counters(r)[name] for r in self.routers)

    def stop(self, keep=False):
        for process in self.processes:
            if process.popen.poll() is None:
                process.thaw()
                process.kill()
        if not keep:
            shutil.rmtree(self.directory, ignore_errors=True)

    def __enter__(self):
        return self

    def __exit__(self, kind, error, trace):
        if kind is not None:
            for process in self.processes:
                if "/r" in process.log_path:
                    sys.stderr.write("".join(
                        process.log_text().splitlines(keepends=True)[-12:]))
        self.stop()


class ChatResponse:
    """The response that a caller got to one chat.

    complete: the stream reached its end marker without an error."""

    def __init__(self, status, headers, tokens, complete, error):
        self.status, self.headers, self.tokens = status, headers, tokens
        self.complete, self.error = complete, error

    # The stand-in engine generates the tokens TAG.0, TAG.1, … for a prompt that begins with TAG.
    def is_complete(self, tag, count):
        return self.complete and self.tokens == ["%s.%d" % (tag, i) for i in range(count)]


def order_key(text=""):
    """Returns a new idempotency key, which starts with its time of issue in ms since 1970."""
    return "%d-%s" % (time.time() * 1000, (text + os.urandom(6).hex())[:60])


class OrderResponse:
    """The response that a caller got to one order (a request to a plain service)."""

    def __init__(self, status, outcome, body, headers):
        self.status, self.outcome, self.body, self.headers = status, outcome, body, headers


def order(port, team_key, key, body="reserve 10 gloves", deadline_ms=3000, timeout=30):
    """Sends one order; returns None if no complete HTTP response arrived."""
    headers = {"Authorization": "Bearer " + team_key, "Idempotency-Key": key,
               "X-Deadline-Ms": str(deadline_ms), "Content-Type": "text/plain"}
    try:
        status, response_headers, text = request(port, "POST", "/v1/services/booking/reserve", body,
                                                 headers, timeout)
    except (OSError, http.client.HTTPException):
        return None
    return OrderResponse(status, response_headers.get("X-Outcome"), text, response_headers)


def chat_body(tag, max_tokens=16, history="", stream=True):
    messages = [{"role": "system", "content": "You draft loan plans for youth groups. " * 8}]
    if history:
        messages.append({"role": "assistant", "content": history})
    messages.append({"role": "user", "content": tag + " may we borrow ten grabbers"})
    return {"model": MODEL, "stream": stream, "max_tokens": max_tokens, "messages": messages}


def read_events(response):
    """Reads an event stream; returns (tokens, whether the end marker arrived, error object)."""
    tokens, done, error = [], False, None
    for line in response.read().decode().split("\n"):
        if not line.startswith("data: "):
            continue
        if line == "data: [DONE]":
            done = True
            continue
        data = json.loads(line[6:])
        if "error" in data:
            error = data["error"]
        else:
            tokens.append(data["choices"][0]["delta"]["content"].strip())
    return tokens, done, error


def chat(port, key, tag, max_tokens=16, chat_id=None, history="", timeout=60, headers=None):
    """Sends one chat with a streamed response and reads the response to its end."""
    all_headers = {"Authorization": "Bearer " + key, "Content-Type": "application/json"}
    if chat_id:
        all_headers["X-Chat-Id"] = chat_id
    all_headers.update(headers or {})
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request("POST", "/v1/chat/completions",
                           json.dumps(chat_body(tag, max_tokens, history)), all_headers)
        response = connection.getresponse()
        if response.status != 200:
            return ChatResponse(response.status, dict(response.getheaders()), [], False,
                                json.loads(response.read().decode() or "{}").get("error"))
        try:
            tokens, done, error = read_events(response)
        except http.client.IncompleteRead as incomplete:
            return ChatResponse(200, dict(response.getheaders()), [], False,
                                {"type": "cut", "partial": incomplete.partial.decode()})
        return ChatResponse(200, dict(response.getheaders()), tokens, done and error is None, error)
    finally:
        connection.close()
