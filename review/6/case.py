"""A finished batch job of more than 16 MB of results, then two stores that lose their disks one after the other."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "tier2"))
import tier as t

ITEMS, EVENTS, EVENT_BYTES = 200, 40, 2300
TOKENS_IN, TOKENS_OUT = 1200, 20000
CATCH_UP_S = 5.6


class Model(t.Backend):
    async def handle(self, connection, message):
        ident = message.headers["request-id"]
        after = int(message.headers.get("last-event-id", 0))
        connection.begin_stream(ident, self.seal())
        for number in range(after + 1, EVENTS + 1):
            data = f"{ident}.{number}.".ljust(EVENT_BYTES, "abcdefghij "[number % 11])
            connection.chunk(t.event(number, data))
            await connection.writer.drain()
            await asyncio.sleep(0.01)
        connection.end_stream()
        await connection.writer.drain()
        self.record(f"backend {self.ident}: item {ident} run from event {after + 1} to its end")


async def run(tier, record, trouble):
    backends = t.nine_backends(Model, tier, record, "llm", 64)
    route = t.batch_route("llm", **{"max-queued-tokens": 0})
    await tier.start(backends, [route], [t.engine_service("llm")])
    job = t.hex_id()
    items = [t.item(f"{job}{n:04x}", TOKENS_IN, TOKENS_OUT) for n in range(ITEMS)]
    if not await t.submit(tier, job, items, 20):
        raise t.CannotRun("the batch job was not accepted")
    results, total = await t.read_all(tier, job, 40)
    size = sum(len(r["text"]) for r in results)
    record.say(f"read {len(results)} of {total} results, {size} bytes of text")
    if len(results) != ITEMS:
        raise t.CannotRun("the batch job did not finish")
    if trouble:
        primary, (first, _) = tier.group_of_single_job()
        for store in (first, primary):
            store.kill()
            store.lose_disk()
            await asyncio.sleep(1)
            store.start(False)
            await asyncio.sleep(CATCH_UP_S + 6)
            for other in tier.stores:
                record(f"status of {other.name}:\n{tier.status(other)}")
    again, _ = await t.read_all(tier, job, 30)
    same = [(r["id"], r["state"], r["text"]) for r in again] == [(r["id"], r["state"], r["text"]) for r in results]
    record.say(f"read again for 30 s: {len(again)} of {ITEMS} results, same as before: {same}")
    return not same


t.main(os.path.dirname(os.path.abspath(__file__)), run)
