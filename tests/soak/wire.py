"""HTTP/1.1 as the soak's own callers, engines and store need it."""

import asyncio


class Broken(Exception):
    """The connection ended before the message was whole."""


async def read_head(reader):
    """First line and fields of a message; None if the connection ended in order before it."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise Broken("head") from error
        return None
    except (ConnectionError, asyncio.LimitOverrunError) as error:
        raise Broken("head") from error
    lines = raw[:-4].decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    """Pieces of a body as they come; raises Broken if it is cut."""
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
        raise Broken("body") from error


async def whole_body(reader, fields):
    """The body as one piece."""
    return b"".join([piece async for piece in read_body(reader, fields)])


def message(first, fields, body=b""):
    """A message with a length."""
    lines = [first] + [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"content-length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def chunk(piece):
    """One chunk of a body."""
    return f"{len(piece):x}\r\n".encode() + piece + b"\r\n"


async def serve(ip, port, handle):
    """A server that gives each request to `handle(first, fields, body, writer)`; the handler says
    whether the connection stays open."""
    async def connected(reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                body = await whole_body(reader, head[1])
                if not await handle(head[0], head[1], body, writer):
                    break
        except (Broken, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
    return await asyncio.start_server(connected, ip, port)
