"""Clients that send holds on kept connections."""

import time

from . import client
from .case import HOST


async def hold(record, name, address, until_s):
    """Send holds one after another on a kept connection."""
    connection = client.Connection(address)
    number = 0
    while time.time() < until_s:
        number += 1
        request_id = f"{name}.{number}"
        headers = {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": 5000}
        record({"what": "sent", "id": request_id, "is_kept": number > 1})
        try:
            answer = await connection.send("POST", "/hold/1", headers, b"seat")
        except (OSError, EOFError) as error:
            record({"what": "cut", "id": request_id, "error": repr(error)})
            return
        record({"what": "answered", "id": request_id, "status": answer.status})
        if answer.headers.get("connection", "").lower() == "close":
            number = 0
