"""Minimal HTTP/1.1 for the callers, engines and store of the soak tests."""

import asyncio


class ConnectionBroken(Exception):
    """The connection ended before the message was complete."""


async def read_head(reader):
    """Start line and header fields of a message; None if the connection was closed before it."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionBroken("head") from error
        return None
    except (ConnectionError, asyncio.LimitOverrunError) as error:
        raise ConnectionBroken("head") from error
    lines = raw[:-4].decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    """Yields a body as it arrives; raises ConnectionBroken if it is incomplete."""
    try:
        if fields.get("transfer-encoding") == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                piece = await reader.readexactly(size + 2)
                if size == 0:
                    return
                yield piece[:-2]
        length = int(fields.get("content-length", "0"))
        if length:
            yield await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        raise ConnectionBroken("body") from error


async def read_whole_body(reader, fields):
    """Reads the complete body."""
    return b"".join([piece async for piece in read_body(reader, fields)])


def message(start_line, fields, body=b""):
    """A message with a content-length."""
    lines = [start_line] + [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"content-length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def unframed_head(start_line, fields):
    """Start line and header fields without a content-length."""
    lines = [start_line] + [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def chunk(piece):
    """One chunk in the chunked transfer coding."""
    return f"{len(piece):x}\r\n".encode() + piece + b"\r\n"


async def serve(ip, port, handle):
    """Starts a server that passes each request to `handle(start_line, fields, body, writer)`.

    The handler returns whether the connection stays open; writer.has_left() tells it whether the
    caller has closed the connection."""
    async def connected(reader, writer):
        writer.has_left = lambda: reader.at_eof() or writer.is_closing()
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_whole_body(reader, head[1])
                if not await handle(head[0], head[1], body, writer):
                    break
        except (ConnectionBroken, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
    return await asyncio.start_server(connected, ip, port)
