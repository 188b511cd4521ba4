"""Stand-in for the platform's metadata store (rows, transactions, change feed)."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from . import http


class Store:
    """Rows with versions from one counter, served over HTTP/1.1 on loopback."""

    def __init__(self):
        self.version = 0
        self.era = 0
        self.rows = {}  # (table, key) -> [value in base64 or None if removed, version]
        self.address = ""
        self.changed = asyncio.Condition()
        self.n_calls = 0

    async def start(self, ip="127.0.0.1"):
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, ip, 0)
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def put(self, table, key, document):
        """Write a row as the operator or a backend does; return when acknowledged."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        await self._change({(table, key): value})

    async def put_quietly(self, table, key, document):
        """Renew an entry of which only the sequence number has changed."""
        row = self.rows.get((table, key))
        if row is None or row[0] is None:
            await self.put(table, key, document)
        else:
            row[0] = base64.b64encode(json.dumps(document).encode()).decode()

    async def remove(self, table, key):
        """Remove a row, if it exists."""
        if self.rows.get((table, key), [None])[0] is not None:
            await self._change({(table, key): None})

    async def _change(self, values):
        async with self.changed:
            self.version += 1
            for name, value in values.items():
                self.rows[name] = [value, self.version]
            self.changed.notify_all()

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await http.read_request(reader)
                if request is None:
                    return
                self.n_calls += 1
                status, document = await self._answer(request)
                body = json.dumps(document).encode()
                headers = {"Content-Type": "application/json", "Store-Era": self.era}
                await http.write_answer(writer, status, headers, body)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def _answer(self, request):
        await asyncio.sleep(0.004)
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/-/rows-tx":
            return await self._transact(json.loads(request.body))
        if url.path == "/-/rows-get":
            return 200, self._read(query)
        if url.path == "/-/rows-feed":
            return await self._feed(query)
        return 404, {}

    async def _transact(self, document):
        for condition in document.get("expectedRevision", []):
            value, version = self.rows.get(
                (condition["table"], condition["key"]), [None, 0]
            )
            if condition["ver"] != (version if value is not None else 0):
                return 412, {"rows": []}
        values = {}
        for row in document.get("puts", []):
            values[row["table"], row["key"]] = row["value"]
        for row in document.get("deletes", []):
            values[row["table"], row["key"]] = None
        if any(table in ("op", "servers") for table, _ in values):
            return 403, {}
        await self._change(values)
        return 200, {"ver": self.version, "nowS": time.monotonic()}

    def _read(self, query):
        limit = min(500, int(query.get("limit", 500)))
        first, last = query.get("from", ""), query.get("target")
        rows = [
            {"table": table, "part": "", "key": key, "value": row[0], "ver": row[1]}
            for (table, key), row in sorted(self.rows.items())
            if table == query["table"]
            and key >= first
            and (last is None or key < last)
            and row[0] is not None
        ]
        return {
            "rows": rows[:limit],
            "hasMore": len(rows) > limit,
            "ver": self.version,
            "nowS": time.monotonic(),
        }

    async def _feed(self, query):
        after = int(query["after"])
        if after > self.version:
            return 410, {}
        deadline_s = time.monotonic() + min(30000, int(query.get("waitMs", 0))) / 1000

        def find():
            rows = []
            for (table, key), (value, version) in self.rows.items():
                if table == query["table"] and version > after:
                    row = {"table": table, "part": "", "key": key, "ver": version}
                    row.update({"removed": True} if value is None else {"value": value})
                    rows.append(row)
            return sorted(rows, key=lambda row: row["ver"])

        async with self.changed:
            while not (rows := find()):
                left_s = deadline_s - time.monotonic()
                if left_s <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left_s)
                except TimeoutError:
                    break
        return 200, {"rows": rows, "ver": self.version, "nowS": time.monotonic()}
