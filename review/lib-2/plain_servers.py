"""Plain servers in one process: each answers a request after WORK_S with a sealed body of 800 bytes.

Usage: plain_servers.py COUNT WORK_S CLOSE_EVERY RECORD. One answer in CLOSE_EVERY bears "Connection: close", as
the pages say of servers; 0: none does. Writes its ports to standard output as JSON, and to RECORD one line per
event: time, event and the id of the request. Events: run, answered, cut (the connection had ended), garbled (a
head with bytes that no user sends; then the head in hexadecimal digits instead of the id)."""

import asyncio
import json
import sys
import time


class Servers:
    def __init__(self, count, work_s, close_every, path):
        self.count = count
        self.work_s = work_s
        self.close_every = close_every
        self.answers = 0
        self.record = open(path, "w", buffering=1)

    def write(self, event, name):
        self.record.write("%.6f %s %s\n" % (time.monotonic(), event, name))

    async def serve(self, name, reader, writer):
        try:
            while True:
                data = await reader.readuntil(b"\r\n\r\n")
                if not data.isascii():
                    self.write("garbled", data.hex())  # the users send ASCII only
                    return
                head = data.decode().split("\r\n")
                fields = dict(line.lower().split(": ", 1) for line in head[1:] if ": " in line)
                await reader.readexactly(int(fields.get("content-length", 0)))
                if fields.get("expect-instance", name) != name:
                    writer.write(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
                    continue
                request = fields.get("request-id", "-")
                self.write("run", request)
                await asyncio.sleep(self.work_s)
                body = b"x" * 800
                self.answers += 1
                closes = self.close_every > 0 and self.answers % self.close_every == 0
                writer.write(("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s.%s\r\nContent-Length: %d\r\n%s\r\n"
                              % (request, request, len(body), "Connection: close\r\n" if closes else "")).encode() + body)
                await writer.drain()
                self.write("cut" if reader.at_eof() else "answered", request)
                if closes:
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def main(self):
        servers = []
        for index in range(self.count):
            name = "i-plain%d" % index
            servers.append(await asyncio.start_server(
                lambda r, w, name=name: self.serve(name, r, w), "127.0.0.1", 0, backlog=512))
        print(json.dumps([server.sockets[0].getsockname()[1] for server in servers]), flush=True)
        await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(Servers(int(sys.argv[1]), float(sys.argv[2]), int(sys.argv[3]), sys.argv[4]).main())
