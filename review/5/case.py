"""Two of three entries are cut off from the store for some seconds, and an engine leaves just before the cuts heal.
Watches how long the entries send requests to it once they are in touch again, and what becomes of these."""
import asyncio
import os
import random
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from world import Engine, answer_bytes, main, manifest, new_id, read_message, request_bytes, reset

APP = "wuno96b"
APP_PATH = "/cuti104/lo20/"
ENTRIES, ENGINES = 3, 3
CUT_ENTRIES = slice(1, 3)  # those that read the store for the others
CONSUMERS = 16            # of each entry that is cut off
WORK_S = 0.4
ROUNDS = 12
CUT_S = 4.6
LEAVES_BEFORE_S = 0.05    # the healing of the cuts
DRAIN_S, CONTACT_S = 2.0, 3.0
SERVES_ON_S = 3.3         # after its entry went: `drain-ms` and a little longer
PAUSE_S = 0.3             # between two rounds

ROUTE = {"name": "r-fi6y7z5", "host": "site.example", "path-prefix": "/cuti104/", "type": "mutating",
         "timeout-ms": 1500, "goal-ms": 600, "priority": 2, "service": APP, "attempts": 1, "public": False}
SERVICE = {"name": APP, "health-path": "/healthz", "max-conns": 96, "protocol": "h1", "tls": False}


class Link:
    """The way from one entry to the store. While it is cut, opening packets get no answer and bytes are held up."""

    def __init__(self, target):
        self.target = target
        self.is_open = asyncio.Event()
        self.is_open.set()
        self.fillers, self.tasks = [], set()

    async def start(self):
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(1)
        self.listener.setblocking(False)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        self.run(self.accept())

    def run(self, work):
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def accept(self):
        while True:
            await self.is_open.wait()
            connection, _ = await asyncio.get_running_loop().sock_accept(self.listener)
            if self.is_open.is_set():
                self.run(self.carry(connection))
            else:
                self.fillers.append(connection)  # it came with the cut and stays without an answer

    async def carry(self, connection):
        host, port = self.target.split(":")
        try:
            reader, writer = await asyncio.open_connection(sock=connection)
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return
        self.run(self.forward(reader, far_writer))
        self.run(self.forward(far_reader, writer))

    async def forward(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.is_open.wait()
                writer.write(data)
                await writer.drain()
            writer.close()
        except (OSError, asyncio.CancelledError):
            reset(writer)

    def cut(self):
        """Fills the queue of the listening socket, so that the kernel drops further opening packets."""
        self.is_open.clear()
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.listener.getsockname())
            self.fillers.append(filler)

    def heal(self):
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        self.is_open.set()

    def stop(self):
        for task in list(self.tasks):
            task.cancel()
        self.listener.close()


class Leaver(Engine):
    """Its entry goes without `draining`; it serves on for a while and ends."""

    left_at = None

    def leave(self):
        self.beat.cancel()
        self.left_at = time.monotonic()
        self.store.remove("servers", self.id)
        self.record.note(f"the entry of engine {self.id} goes; the store has taken that")

    async def stop(self):
        await asyncio.sleep(SERVES_ON_S)
        self.alive = False
        self.record.note(f"engine {self.id} ends, {SERVES_ON_S} s after its entry went")
        self.server.close()
        for writer in list(self.channels):
            reset(writer)


async def case(world, trouble):
    late, lost, outcomes, healed_at = set(), [], {}, [0.0]

    async def work(engine, _request, _reader, writer, headers):
        ident, now = headers["Laurelcroft-Attempt-Id"], time.monotonic()
        if engine.left_at and now > engine.left_at + DRAIN_S and now > healed_at[0] + CONTACT_S:
            late.add(ident)
            world.record.note(f"DRAIN: {ident} reaches engine {engine.id} {now - engine.left_at:.3f} s after the store took "
                              f"that it leaves, {now - healed_at[0]:.3f} s after the cuts have healed")
        await asyncio.sleep(random.uniform(0.5, 1.5) * WORK_S)
        writer.write(answer_bytes(200, headers, b"answer"))

    def new_engine():
        return Leaver(world.store, APP, world.record, work)

    links = []

    async def link_entries():
        for entry in world.entries:
            links.append(Link(world.store.address))
            await links[-1].start()
            entry.store_address = links[-1].address

    engines = [new_engine() for _ in range(ENGINES)]
    await world.start(manifest([ROUTE], [SERVICE]), engines, ENTRIES, link_entries)

    async def consumer(entry):
        reader = writer = None
        while not entry.has_ended():
            ident = new_id()
            try:
                if writer is None:
                    reader, writer = await asyncio.open_connection(entry.host, entry.ports["front"])
                world.record.note(f"consumer sends {ident} to {entry.name}")
                writer.write(request_bytes(ident, APP_PATH, ident.encode()))
                outcome = (await asyncio.wait_for(read_message(reader), 3)).status
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
                outcome, writer = type(error).__name__, None
            outcomes[outcome] = outcomes.get(outcome, 0) + 1
            world.record.note(f"consumer gets {outcome} for {ident}")
            if outcome != 200 and ident in late:
                lost.append(ident)
                world.record.note(f"{ident} was sent too late and is lost")
            await asyncio.sleep(random.uniform(0, 0.05))

    tasks = [asyncio.create_task(consumer(entry)) for entry in world.entries[CUT_ENTRIES] for _ in range(CONSUMERS)]
    for number in range(ROUNDS):
        world.record.note(f"round {number + 1}")
        for link in links[CUT_ENTRIES] if trouble else []:
            world.record.note("an entry is cut off from the store")
            link.cut()
        await asyncio.sleep(CUT_S - LEAVES_BEFORE_S)
        leaver = engines.pop(0)
        leaver.leave()
        await asyncio.sleep(LEAVES_BEFORE_S)
        healed_at[0] = time.monotonic()
        for link in links[CUT_ENTRIES] if trouble else []:
            world.record.note("the cut heals")
            link.heal()
        await leaver.stop()
        engines.append(new_engine())
        await engines[-1].start()
        await asyncio.sleep(PAUSE_S)
    await asyncio.sleep(1)
    for task in tasks:
        task.cancel()
    for link in links:
        link.stop()
    world.record.result(f"answers {outcomes}; {len(late)} requests reached an engine too late, {len(lost)} of these were lost")
    return not late


main(case)
