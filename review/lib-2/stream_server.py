"""One model server: answers a streaming request with EVENTS events, one each GAP_S, and goes on at Last-Event-Id.

Usage: stream_server.py ID FRAMING RECORD, FRAMING: "chunked", or "close" for an answer without a length that ends with
its connection. Writes its port to standard output, and to RECORD a line when it begins to run a request: time, the id of
the server, the id of the request, its framing, and the number of the first event."""

import asyncio
import sys
import time

EVENTS = 40
GAP_S = 0.05


def event(number):
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


async def serve(name, framing, record, reader, writer):
    is_chunked = framing == "chunked"
    try:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
            fields = dict(line.lower().split(": ", 1) for line in head[1:] if ": " in line)
            await reader.readexactly(int(fields.get("content-length", 0)))
            if fields.get("expect-instance", name) != name:
                writer.write(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
                continue
            first = int(fields.get("last-event-id", 0)) + 1
            record.write("%.6f %s %s %s %d\n" % (time.monotonic(), name, fields["request-id"], framing, first))
            writer.write(("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s.%s.%s\r\nServer-Load: 1,0,8\r\n"
                          "Content-Type: text/event-stream\r\n%s\r\n"
                          % (fields["request-id"], name, fields["request-id"],
                             "Transfer-Encoding: chunked\r\n" if is_chunked else "")).encode())
            for number in range(first, EVENTS + 1):
                data = event(number)
                writer.write(b"%x\r\n%s\r\n" % (len(data), data) if is_chunked else data)
                await writer.drain()
                await asyncio.sleep(GAP_S)
            if not is_chunked:
                return
            writer.write(b"0\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()


async def main(name, framing, path):
    record = open(path, "a", buffering=1)
    server = await asyncio.start_server(lambda r, w: serve(name, framing, record, r, w), "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:4]))
