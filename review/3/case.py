"""Two services run batch jobs. The operator evacuates the zone that holds all backends of one of them, so that its items have
to wait. The batch jobs of the other service, whose backends are idle, must be done all the same."""

import asyncio
import copy
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import stage as staging  # noqa: E402

FINISH_S = 10
ZONE = "lowell"
OTHER_SERVICE = "wuno96b"
OTHER_LOTS = "/lohu930/"


def prepare(stage):
    """Gives the zone's backends to a second service with a batch route of its own."""
    lots = next(route for route in stage.config["routes"] if route["name"] == "r-lots")
    name = "r-z73d3zji" if os.environ.get("REVERSED") == "1" else "r-73d3zji"
    other = dict(lots, name=name, service=OTHER_SERVICE)
    other["path-prefix"] = OTHER_LOTS
    stage.config["routes"].append(other)
    service = copy.deepcopy(stage.config["services"][0])
    service["name"] = OTHER_SERVICE
    stage.config["services"].append(service)
    for backend in stage.backends:
        if backend.zone == ZONE:
            backend.service = OTHER_SERVICE


async def read_all(stage, lots, until):
    while stage.record.now() < until:
        for lot in lots:
            if lot.missing():
                await stage.read(lot)
        if not any(lot.missing() for lot in lots):
            return
        await asyncio.sleep(0.3)


async def play(stage, record, trouble):
    await asyncio.sleep(6)
    before = [staging.Lot(10) for _ in range(3)] + [staging.Lot(10, prefix=OTHER_LOTS) for _ in range(3)]
    for lot in before:
        if not await stage.submit(lot):
            raise staging.CannotRun("a batch job before the disruption was not accepted")
    await read_all(stage, before, record.now() + 10)
    if any(lot.missing() for lot in before):
        raise staging.CannotRun("the batch jobs before the disruption were not done")
    record.write("the batch jobs of both services are done")

    if trouble:
        await stage.order("POST", f"/alderhollow/evacuate/{ZONE}", 0, b"", 10)
    await asyncio.sleep(5)
    waiting = [staging.Lot(40, prefix=OTHER_LOTS) for _ in range(9)]
    for lot in waiting:
        await stage.submit(lot)
    record.write("these were for the service whose zone is evacuated; the next are for the other one")
    await asyncio.sleep(1)
    runnable = [staging.Lot(10) for _ in range(9)]
    for lot in runnable:
        await stage.submit(lot)
    accepted = [lot for lot in runnable if lot.accepted_at is not None]
    traffic_ended = record.now()
    record.write(f"traffic has ended; {len(accepted)} batch jobs of the service with idle backends were accepted")
    await read_all(stage, accepted, traffic_ended + FINISH_S)
    await asyncio.sleep(max(0, traffic_ended + FINISH_S - record.now()))
    record.write("finish-s is over")

    broken = []
    own = [backend for backend in stage.backends if backend.service == staging.ENGINE]
    arrived = {request for backend in own for at, request in backend.arrivals if at > record.now() - 5}
    ends = [at for backend in stage.backends for times in backend.finished.values() for at in times]
    recent = [sum(at > record.now() - age for at in ends) for age in (3, 5)]
    running = sum(backend.running for backend in own)
    half_full = 2 * running >= sum(backend.slots for backend in own)
    statuses = [(await stage.read(lot))[0] for lot in accepted]
    unlisted = sum(len(lot.missing()) for lot in accepted)
    # Finished items excuse, unless those of the last 5 s are under a tenth of all that wait; here of the judged ones only.
    excused = recent[0] > 0 and recent[1] * 10 >= unlisted
    record.write(f"{running} items run at the idle service, {unlisted} are unlisted; finished in the last 3 and 5 s: {recent}")
    for lot, status in zip(accepted, statuses):
        missing = lot.missing()
        record.write(f"batch job {lot.id}: {len(lot.items) - len(missing)} of {len(lot.items)} items listed ({status})")
        # Other excuses of the rule: a backend had an unlisted item in the last 5 s, or the backends were half full.
        if missing and not arrived & set(missing) and not half_full and not excused:
            broken.append(f"LOST: {len(missing)} items of batch job {lot.id} are not listed, and no backend was asked")
    return broken


if __name__ == "__main__":
    staging.main(play, prepare)
