"""A backend that begins its work while a long body still arrives, and crashes before it has read all of it."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "tier2"))
import tier as t

BODY_BYTES = 2_000_000
READ_BEFORE_WORK = 64 * 1024
REQUESTS = 5


class Service(t.Backend):
    """Reads a long body piece by piece and works on it as it comes in."""

    crash_next = False
    runs = {}

    async def start(self):
        # A backend takes a long body in as it works: it reads no more than this ahead.
        self.server = await asyncio.start_server(self.connected, *self.address, limit=READ_BEFORE_WORK // 2)

    async def connected(self, reader, writer):
        connection = t.Connection(reader, writer)
        try:
            while True:
                start, headers = await t.read_head(reader)
                if start.split()[1] == "/healthz":
                    connection.answer("200 OK", {"Instance-Id": self.ident}, b"")
                    continue
                ident, length = headers["request-id"], int(headers.get("content-length", 0))
                got = len(await reader.readexactly(min(length, READ_BEFORE_WORK)))
                Service.runs.setdefault(ident, []).append(self.ident)
                self.record(f"backend {self.ident}: begins to work on {ident}, {got} of {length} bytes are in")
                if Service.crash_next:
                    Service.crash_next = False
                    await asyncio.sleep(0.2)
                    self.record(f"backend {self.ident}: crashes; its connections are reset")
                    writer.transport.abort()
                    return
                while got < length:
                    got += len(await reader.read(min(length - got, READ_BEFORE_WORK)))
                body = f"done {ident}".encode()
                connection.answer("200 OK", {"Request-Id": ident, "Response-Seal": self.seal()}, body)
                await writer.drain()
                self.record(f"backend {self.ident}: answers {ident} with 200")
        except t.FAILURES:
            pass
        finally:
            writer.close()


async def run(tier, record, trouble):
    backends = t.nine_backends(Service, tier, record, "api", 6)
    route = {"name": "r-post", "hostname": "post.example", "path-prefix": "/post/", "route-type": "non_idempotent",
             "timeout-ms": 5000, "target-latency-ms": 1500, "priority": 0, "service": "api", "max-attempts": 2}
    await tier.start(backends, [route], [t.plain_service("api")])
    broken = False
    for number in range(REQUESTS):
        ident = t.hex_id()
        Service.crash_next = trouble and number == 2
        answer = await t.call(tier.front(number % 3), "POST", f"/post/{number}",
                              {"Host": "post.example", "Request-Id": ident, "Deadline-Ms": "5000"},
                              os.urandom(BODY_BYTES), 6)
        await asyncio.sleep(0.5)
        runs = Service.runs.get(ident, [])
        record.say(f"client: {ident}: {answer.status} {answer.headers.get('response-seal', 'no seal')}; run by {runs}")
        if len(runs) > 1 or (runs and answer.status in (408, 421, 429, 503)):
            broken = True
        if not trouble and answer.status != 200:
            raise t.CannotRun("a request was not served")
    return broken


t.main(os.path.dirname(os.path.abspath(__file__)), run)
