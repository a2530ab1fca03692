"""Streams of a soak run that callers resume, while engines run two versions of their software."""

import wire
import world

# Share of the streams that a caller leaves after an event, as if its connection were lost.
LOST_CONNECTION_SHARE = 0.15
MAX_RESUMES = 3


def engine_version(number, boot):
    """The software version of a start of an engine. Every replacement changes it."""
    return f"v{1 + (number // 4 + boot) % 2}"


class StreamCaller:
    """One stream of a caller: its first request and those that resume it."""

    def __init__(self, first, rng, violations):
        self.first = first  # Id of the request that brings the first event.
        self.rng = rng
        self.violations = violations
        self.versions = set()
        self.received = 0

    def request_fields(self, request):
        """Header fields of the next request."""
        if not self.received:
            self.first = request
            return {}
        return {"last-event-id": self.received, "resumes": self.first}

    async def read(self, reader, fields, request):
        """Reads events until the end of the answer. Raises ConnectionBroken if it breaks off."""
        rest = b""
        is_lost = self.rng.random() < LOST_CONNECTION_SHARE
        async for piece in wire.read_body(reader, fields):
            rest += piece
            while b"\n\n" in rest:
                event, rest = rest.split(b"\n\n", 1)
                self.check_event(event + b"\n\n", request)
            if is_lost and self.received:
                raise wire.ConnectionBroken("the caller's connection was lost")
        if rest or self.received != world.EVENTS:
            self.violations.append(f"{request} ends as complete after {self.received} events "
                                   f"and {len(rest)} bytes")

    def check_event(self, event, request):
        """Checks that an event is the next one, and of the version that began the stream."""
        self.received += 1
        version = event.rsplit(b" ", 1)[-1].strip().decode()
        if event != world.event(request, self.received, version):
            self.violations.append(f"{request} got another event than {self.received}: {event!r}")
        self.versions.add(version)
        if len(self.versions) > 1:
            self.violations.append(f"{request}, begun by {self.first}, has events of two versions")
