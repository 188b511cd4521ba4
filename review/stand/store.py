"""Stand-in of the platform's store, by PROTOCOL.md, for one part of each table."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from review.stand.http1 import make_answer, read_body, read_head


class Door:
    """An address of the store, whose path can be cut: bytes are then held up."""

    def __init__(self):
        self.address = ""
        self.calls = []
        self._open = asyncio.Event()
        self._open.set()

    def cut(self):
        """Hold up what arrives and what is answered from now on."""
        self._open.clear()

    def heal(self):
        """Let everything pass again."""
        self._open.set()

    async def pass_through(self):
        """Wait until the path is whole."""
        await self._open.wait()


class Store:
    """Rows in memory with versions from one counter, and a feed of changes."""

    def __init__(self):
        self.version = 0
        self.rows = {}
        self.changed = asyncio.Event()
        self.address = ""
        self._servers = []

    async def start(self, host="127.0.0.1"):
        """Listen on a free port, for all machines."""
        self.address = (await self.open_door(host)).address

    async def open_door(self, host="127.0.0.1"):
        """Listen on a free port, for one machine, and return the door."""
        door = Door()
        server = await asyncio.start_server(
            lambda reader, writer: self._serve(door, reader, writer), host, 0
        )
        self._servers.append(server)
        host, port = server.sockets[0].getsockname()[:2]
        door.address = f"{host}:{port}"
        return door

    def put(self, table, key, document):
        """Write a row as the operator or a server does; return its version."""
        body = document
        if not isinstance(document, bytes):
            body = json.dumps(document).encode()
        self._put(table, key, base64.b64encode(body).decode())
        return self.version

    def remove(self, table, key):
        """Remove a row, as the platform does with the entry of a silent server."""
        self._put(table, key, None)

    def _put(self, table, key, value):
        self.version += 1
        self.rows[table, key] = (self.version, value)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, door, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                method, target, _ = head.first.split(" ", 2)
                door.calls.append((time.monotonic(), method, target))
                await door.pass_through()
                status, document = await self._answer(method, target, body)
                data = json.dumps(document).encode()
                headers = [("Content-Type", "application/json"), ("Store-Era", "0")]
                await door.pass_through()
                writer.write(make_answer(status, headers, data))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, target, body):
        await asyncio.sleep(0.004)
        parts = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        if (method, parts.path) == ("POST", "/-/rows-tx"):
            return self._run_transaction(json.loads(body))
        if parts.path == "/-/rows-get":
            return self._read(query)
        if parts.path == "/-/rows-feed":
            return await self._feed(query)
        return 404, {}

    def _meta(self, **fields):
        return {**fields, "ver": self.version, "nowS": time.monotonic()}

    def _run_transaction(self, document):
        changes = [*document["puts"], *document["deletes"]]
        if any(row["table"] in ("op", "servers") for row in changes):
            return 403, {}
        for row in document["expectedRevision"]:
            held = self.rows.get((row["table"], row["key"]))
            version = held[0] if held and held[1] is not None else 0
            if version != row["ver"]:
                return 412, self._meta(rows=[])
        for row in document["puts"]:
            self._put(row["table"], row["key"], row["value"])
        for row in document["deletes"]:
            self._put(row["table"], row["key"], None)
        return 200, self._meta()

    def _read(self, query):
        first, last = query.get("from", ""), query.get("target")
        limit = int(query.get("limit", "500"))
        rows = sorted(
            (key, version, value)
            for (table, key), (version, value) in self.rows.items()
            if table == query["table"]
            and value is not None
            and key >= first
            and (last is None or key < last)
        )
        page = [{"key": k, "ver": v, "value": x} for k, v, x in rows[:limit]]
        return 200, self._meta(rows=page, hasMore=len(rows) > limit)

    async def _feed(self, query):
        after = int(query.get("after", "0"))
        ends_at = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            changed = self.changed
            rows = sorted(
                (version, key, value)
                for (table, key), (version, value) in self.rows.items()
                if table == query["table"] and version > after
            )
            left_s = ends_at - time.monotonic()
            if rows or left_s <= 0:
                break
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                pass
        entries = [
            {"key": key, "ver": version, "removed": True}
            if value is None
            else {"key": key, "ver": version, "value": value}
            for version, key, value in rows
        ]
        return 200, self._meta(rows=entries)
