"""A plain runner that keeps the bytes of each request as they arrive.

It answers as the platform's pages say: 421 unless it is the expected runner,
else 200 with the request's id and a digest. `GET /record` returns the requests,
with all bytes as hexadecimal digits.
"""

from __future__ import annotations

import argparse
import asyncio
import hashlib
import json

_seen: list[dict[str, object]] = []


async def _serve(
    server_id: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            request_line, *lines = head[:-4].split(b"\r\n")
            fields: dict[bytes, bytes] = {}
            for line in lines:
                name, _, value = line.partition(b":")
                fields[name.strip().lower()] = value.strip()
            body = await reader.readexactly(
                int(fields.get(b"content-length", b"0"))
            )
            writer.write(_answer(server_id, request_line, fields, body))
            await writer.drain()
    except (EOFError, OSError, asyncio.LimitOverrunError):
        pass
    finally:
        writer.close()


def _answer(
    server_id: str,
    request_line: bytes,
    fields: dict[bytes, bytes],
    body: bytes,
) -> bytes:
    if request_line.startswith(b"GET /record "):
        return _encode(b"200 OK", [], json.dumps(_seen).encode())
    request_id = fields.get(b"x-request-id", b"")
    expected = fields.get(b"x-expect-instance", server_id.encode())
    own_headers = [
        b"X-Request-Id: " + request_id,
        b"X-Instance-Id: " + server_id.encode(),
    ]
    if expected != server_id.encode():
        return _encode(b"421 Misdirected Request", own_headers, b"")
    method, target, _ = request_line.split(b" ", 2)
    _seen.append(
        {
            "method": method.decode(),
            "target": target.hex(),
            "headers": {
                name.decode("latin1"): value.hex()
                for name, value in fields.items()
            },
            "body": body.hex(),
        }
    )
    content = b"done " + request_id
    stamp = hashlib.sha256(content).hexdigest()[:8].encode()
    return _encode(
        b"200 OK",
        [*own_headers, b"X-Response-Stamp: " + stamp],
        content,
    )


def _encode(status: bytes, headers: list[bytes], body: bytes) -> bytes:
    lines = [b"HTTP/1.1 " + status, *headers]
    lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join([*lines, b"", b""]) + body


async def _main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--server-id", required=True)
    options = parser.parse_args()
    server = await asyncio.start_server(
        lambda reader, writer: _serve(options.server_id, reader, writer),
        "127.0.0.1",
        0,
        limit=256 * 1024,
    )
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(_main())
