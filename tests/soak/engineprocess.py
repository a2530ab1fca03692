#!/usr/bin/python3
"""Runs engines as processes of their own, so that the system ends their connections with them.

Usage: engineprocess.py
Reads one JSON object per line from standard input, the start of an engine, and prints the id of its
process. The processes are forked from this one, so that one starts within a few milliseconds. They
are ended by whoever runs this program.
"""

import asyncio
import json
import os
import signal
import sys

import wire
import world

PLAIN_S = 0.2  # Between the halves of the answer to a plain call.


class ProcessEngine(world.Engine):
    """An engine whose answers are framed as its start says."""

    def __init__(self, start):
        super().__init__(start["name"], "", "", {}, world.random_generator(1, start["name"]))
        self.boot = start["boot"]
        self.version_of_boot = lambda boot: start["version"]
        self.on_arrival = lambda engine, request: None
        self.is_framed = start["is_framed"]
        self.events, self.event_s = start["events"], start["event_s"]

    async def handle(self, start_line, fields, body, writer):
        """Handles one request; the answer to a plain one takes some time."""
        is_plain = start_line.split(" ")[1].startswith(("/i/", "/n/"))
        is_other = fields.get("lagoonbank-expect-instance") != self.id
        if not is_plain or is_other or self.is_framed:
            return await super().handle(start_line, fields, body, writer)
        request = fields["lagoonbank-attempt-id"]
        answer = world.plain_body(request)
        head = wire.unframed_head("HTTP/1.1 200 OK", world.answer_head(request, self.id))
        writer.write(head + answer[:len(answer) // 2])
        await writer.drain()
        await asyncio.sleep(PLAIN_S)
        writer.write(answer[len(answer) // 2:])
        return False

    async def stream(self, request, after, head, writer):
        """Streams the events after number `after`; the end follows the last one at once."""
        framing = {"transfer-encoding": "chunked"} if self.is_framed else {}
        writer.write(wire.unframed_head("HTTP/1.1 200 OK", head | framing))
        for number in range(after + 1, self.events + 1):
            if number > after + 1:
                await self.work(self.event_s)
            piece = world.event(request, number, self.version)
            writer.write(wire.chunk(piece) if self.is_framed else piece)
            await writer.drain()
        if self.is_framed:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        return self.is_framed


async def serve(start):
    """Serves as an engine for as long as the process lives."""
    ip, port = start["address"].split(":")
    server = await wire.serve(ip, int(port), ProcessEngine(start).handle)
    await server.serve_forever()


def main():
    """Forks a process for each line."""
    signal.signal(signal.SIGCHLD, signal.SIG_IGN)
    for line in sys.stdin:
        process = os.fork()
        if process == 0:
            sys.stdin.close()
            asyncio.run(serve(json.loads(line)))
        print(process, flush=True)


if __name__ == "__main__":
    main()
