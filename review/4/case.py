"""Batch items that name the version of the weights they expect, while the weights of all backends change."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "tier2"))
import tier as t

JOBS, ITEMS, EVENTS, EVENT_S = 6, 20, 10, 0.1
FINISH_S, QUIET_S = 10, 5


class Model(t.Backend):
    """A model backend with weights of one version, which may change while it runs."""

    version = 1
    running = 0
    last_seen = 0.0
    refused = 0

    async def handle(self, connection, message):
        ident = message.headers["request-id"]
        expected = message.headers.get("expect-version")
        Model.last_seen = time.monotonic()
        if expected is not None and int(expected) != self.version:
            Model.refused += 1
            self.record(f"backend {self.ident}: item {ident} expects version {expected}, has {self.version}: 421")
            connection.answer("421 Misdirected Request",
                              {"Request-Id": ident, "Instance-Id": self.ident, "Not-Executed": "1"}, b"")
            return
        Model.running += 1
        try:
            connection.writer.write((
                f"HTTP/1.1 200 OK\r\nRequest-Id: {ident}\r\nResponse-Seal: {self.seal()}\r\nVersions: {self.version}\r\n"
                "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
            sent = self.version
            for number in range(int(message.headers.get("last-event-id", 0)) + 1, EVENTS + 1):
                changed = f"versions: {self.version}\n".encode() if self.version != sent else b""
                sent = self.version
                connection.chunk(changed + t.event(number, f"{ident}.{number}"))
                await connection.writer.drain()
                await asyncio.sleep(EVENT_S)
            connection.end_stream()
            await connection.writer.drain()
            self.record(f"backend {self.ident}: item {ident} run to its end")
        finally:
            Model.running -= 1


async def hand_in(tier, expect):
    jobs = []
    for _ in range(JOBS):
        job = t.hex_id()
        items = [t.item(f"{job}{n:04x}", 1200, 400) for n in range(ITEMS)]
        for one in items:
            if expect:
                one["headers"]["Expect-Version"] = str(expect)
        if not await t.submit(tier, job, items, 10):
            raise t.CannotRun("a batch job was not accepted")
        jobs.append(job)
    return jobs


async def run(tier, record, trouble):
    backends = t.nine_backends(Model, tier, record, "llm", 8)
    await tier.start(backends, [t.batch_route("llm")], [t.engine_service("llm", 8)])
    first = await hand_in(tier, 1)
    if trouble:
        for backend in backends:
            await asyncio.sleep(0.3)
            backend.version = 2
            for entry in tier.platform.instances:
                if entry["id"] == backend.ident:
                    entry["models"] = [{"name": "m", "config-version": 2, "adapters": []}]
            record.say(f"backend {backend.ident}: its weights are now of version 2")
    await asyncio.sleep(5)
    record.say(f"{Model.refused} tries of items were answered with 421")
    second = await hand_in(tier, None)
    record.say(f"{len(second)} batch jobs that expect no version were accepted")
    read = await asyncio.gather(*(t.read_all(tier, job, 30 + FINISH_S) for job in second))
    listed = sum(len(results) for results, _ in read)
    quiet_s = time.monotonic() - Model.last_seen
    record.say(f"{listed} of {JOBS * ITEMS} of their items are listed; {Model.running} items run at the backends, "
               f"the last request reached one {quiet_s:.1f} s ago")
    broken = listed < JOBS * ITEMS and Model.running == 0 and quiet_s > QUIET_S
    if listed < JOBS * ITEMS and not broken:
        raise t.CannotRun("the items were still being run")
    return broken


t.main(os.path.dirname(os.path.abspath(__file__)), run)
