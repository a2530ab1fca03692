"""An engine as a process of its own, so that the system ends its channels when it is killed.

Usage: engineprocess2.py IP PORT ID VERSION EVENTS EVENT_S. Streams have neither length nor chunks,
and end with their channel. Its entries in the store are written by whoever starts it.
"""

import asyncio
import pathlib
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from standins2 import Server, head, message


class StreamingEngine:
    """Answers each request with a stream."""

    def __init__(self, name, version, events, event_s):
        self.id, self.version, self.events, self.event_s = name, version, events, event_s
        self.running = 0

    async def handle(self, _start_line, fields, _body, _reader, writer):
        request_id = fields.get("lagoonbank-attempt-id", "")
        own = {"Lagoonbank-Attempt-Id": request_id, "Lagoonbank-Instance-Id": self.id}
        if fields.get("lagoonbank-expect-instance", self.id) != self.id:
            writer.write(message("HTTP/1.1 421 Misdirected Request", own))
            return True
        self.running += 1
        try:
            await self.stream(int(fields.get("last-event-id", "0")), own, writer)
        finally:
            self.running -= 1
        return False

    async def stream(self, after, own, writer):
        writer.write(head("HTTP/1.1 200 OK", own | {
            "Lagoonbank-Server-Seal": f"{self.id}.{own['Lagoonbank-Attempt-Id']}",
            "Lagoonbank-Engine-Load": f"{self.running},0,256", "Connection": "close",
            "Content-Type": "text/event-stream"}))
        for number in range(after + 1, self.events + 1):
            writer.write(f"id: {number}\ndata: {self.version}\n\n".encode())
            await writer.drain()
            await asyncio.sleep(self.event_s)


async def main():
    ip, port, name, version, events, event_s = sys.argv[1:]
    engine = StreamingEngine(name, version, int(events), float(event_s))
    await Server(ip, int(port), engine.handle).listen()
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
