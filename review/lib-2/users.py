"""Users who keep a connection each and send a request on it now and then.

Usage: users.py KIND COUNT FIRST_PAUSE_S PAUSE_S RECORD ADDRESS... (IP:PORT of the routers in rotation; a user takes the
first one that accepts, from a place of its own in the list). Reads commands from standard input: "remove ADDRESS" takes
a router out of rotation. KIND mixed: one user in four opens a new connection for each request and closes it after the
answer; every second one sends unsafe requests. KIND kept: all keep their connection, send safe requests, and one in four
uses key-2. Writes one line per event to RECORD: time, event, id, router, number of earlier answers on the
connection, the status, and the key.

As the pages say: a user reuses a connection that has been idle for less than four fifths of idle_timeout_ms, retries a
request once on a new connection (an unsafe one only after a promise that it has not run), and allows one second to connect."""

import asyncio
import random
import sys
import time

REUSE_S = 0.8 * 15


class User:
    def __init__(self, crowd, index):
        self.crowd = crowd
        self.index = index
        self.reader = self.writer = self.router = None
        self.answers = 0
        self.used_at = 0
        self.key = "-"

    def drop(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def connect(self):
        self.drop()
        routers = self.crowd.routers
        self.router = routers[self.index % len(routers)]
        ip, port = self.router.split(":")
        self.answers = 0
        self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 1)

    async def attempt(self):
        """Returns whether there is nothing to be retried."""
        is_mixed = self.crowd.kind == "mixed"
        is_unsafe = is_mixed and self.index % 2 == 1
        self.key = "key-2" if not is_mixed and self.index % 8 < 2 else "key-1"
        name = "%016x" % random.getrandbits(64)
        is_open = self.writer is not None and not self.reader.at_eof()
        try:
            if not is_open or time.monotonic() - self.used_at >= REUSE_S:
                await self.connect()
        except (OSError, asyncio.TimeoutError):
            self.crowd.write("unconnected", name, self, "-")
            self.drop()
            return False
        self.crowd.write("sent", name, self, "-")
        status = "closed"
        try:
            self.writer.write(("%s/%s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nDeadline-Ms: 2500\r\n"
                               "Authorization: Token %s\r\n%s\r\n"
                               % ("POST /unsafe" if is_unsafe else "GET /safe", name, name, self.key,
                                  "Content-Length: 0\r\n" if is_unsafe else "")).encode())
            head = (await asyncio.wait_for(self.reader.readuntil(b"\r\n\r\n"), 3)).decode().split("\r\n")
            fields = dict(line.lower().split(": ", 1) for line in head[1:] if ": " in line)
            await asyncio.wait_for(self.reader.readexactly(int(fields["content-length"])), 3)
            status = head[0].split()[1]
            self.crowd.write("answer", name, self, status)
            self.answers += 1
            self.used_at = time.monotonic()
            if fields.get("connection") == "close" or (is_mixed and self.index % 8 < 2):
                self.drop()
        except asyncio.TimeoutError:
            status = "timeout"
        except (OSError, asyncio.IncompleteReadError):
            pass
        if not status.isdigit():
            self.crowd.write(status, name, self, "-")
            self.drop()
        return status == "200" or (is_unsafe and status not in ("503", "429"))

    async def run(self):
        await asyncio.sleep(random.uniform(0, self.crowd.first_pause_s))
        while True:
            if not await self.attempt():
                await asyncio.sleep(0.2)
                await self.attempt()
            await asyncio.sleep(self.crowd.pause_s * random.uniform(0.9, 1.1))


class Crowd:
    def __init__(self, kind, count, first_pause_s, pause_s, path, routers):
        self.kind = kind
        self.first_pause_s = first_pause_s
        self.pause_s = pause_s
        self.record = open(path, "w", buffering=1)
        self.routers = routers
        self.users = [User(self, index) for index in range(count)]

    def write(self, event, name, user, status):
        self.record.write("%.6f %s %s %s %d %s %s\n"
                          % (time.monotonic(), event, name, user.router, user.answers, status, user.key))

    async def command(self):
        reader = asyncio.StreamReader()
        loop = asyncio.get_running_loop()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        while True:
            line = (await reader.readline()).decode().split()
            if not line:
                sys.exit()
            self.routers = [router for router in self.routers if router != line[1]]

    async def main(self):
        await asyncio.gather(self.command(), *[user.run() for user in self.users])


if __name__ == "__main__":
    asyncio.run(Crowd(sys.argv[1], int(sys.argv[2]), float(sys.argv[3]), float(sys.argv[4]), sys.argv[5], sys.argv[6:]).main())
