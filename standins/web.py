"""WSGI helpers for the stand-ins."""

from urllib.parse import parse_qsl

import msgspec


def read_json(environ) -> object:
    length = int(environ.get("CONTENT_LENGTH") or 0)
    return msgspec.json.decode(environ["wsgi.input"].read(length))


def query(environ) -> dict[str, str]:
    return dict(parse_qsl(environ["QUERY_STRING"]))


def reply(start_response, status: int, body: object) -> list[bytes]:
    data = msgspec.json.encode(body)
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(data))),
    ]
    start_response(f"{status} Status", headers)
    return [data]
