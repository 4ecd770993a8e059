"""Disturbances of gateways, their store and their targets; they overlap."""

import asyncio
import contextlib
import random
import signal
import time
from collections.abc import Awaitable, Callable, Iterator

from bench.gatewayprocess import GRACE_S, REVOKED_AFTER_S
from bench.platform import entry_of
from bench.soakfleet import SoakFleet
from dandelionplank_standins.platformengine import TargetFaults
from dandelionplank_standins.platformstore import StoreFaults

# A disturbance begins after this time, while others still last.
PAUSE_S = (0.1, 0.9)
LASTS_S = (0.2, 3.0)
# A gateway may be cut off from the store for longer than keys stay proven.
CUT_S = (0.5, REVOKED_AFTER_S + 3)


class Disturbances:
    """Does at random what the platform's days do to a fleet."""

    def __init__(self, fleet: SoakFleet, seed: int) -> None:
        """Start without any."""
        self.fleet = fleet
        self.random = random.Random(seed)
        self.busy: set[int] = set()

    async def begin(self, seconds: float) -> list[asyncio.Task[None]]:
        """Begin disturbances until the time is over."""
        verbs: tuple[Callable[[], Awaitable[None]], ...] = (
            self.freeze,
            self.kill,
            self.stop_gracefully,
            self.reload,
            self.cut_store,
            self.silence_store,
            self.refuse_store_calls,
            self.drop_history,
            self.lose_store_answers,
            self.silence_target,
            self.reset_target,
            self.fail_target,
            self.replace_target,
            self.revoke_key,
        )
        begun = []
        ends_s = time.monotonic() + seconds
        while time.monotonic() < ends_s:
            verb = self.random.choice(verbs)
            begun.append(asyncio.ensure_future(self.guard(verb)))
            await asyncio.sleep(self.random.uniform(*PAUSE_S))
        return begun

    async def guard(self, verb: Callable[[], Awaitable[None]]) -> None:
        """Note a disturbance, and what it finds."""
        self.fleet.note(getattr(verb, '__name__', 'disturbance'))
        try:
            await verb()
        except TimeoutError:
            self.fleet.violate(f'{verb}: a gateway did not come back')

    async def last(self) -> None:
        """Let a disturbance last for a while."""
        await asyncio.sleep(self.random.uniform(*LASTS_S))

    @contextlib.contextmanager
    def victim(self) -> Iterator[int | None]:
        """Yield a gateway that nothing else is done to, if there is one."""
        free = [
            each
            for each in range(len(self.fleet.gateways))
            if each not in self.busy
        ]
        if not free:
            yield None
            return
        number = self.random.choice(free)
        self.busy.add(number)
        try:
            yield number
        finally:
            self.busy.discard(number)

    def any_target(self) -> str:
        """Return the name of a target."""
        return self.random.choice(sorted(self.fleet.targets))

    async def freeze(self) -> None:
        """Suspend a gateway for a while."""
        with self.victim() as number:
            if number is not None:
                self.fleet.gateways[number].signal(signal.SIGSTOP)
                await self.last()
                self.fleet.gateways[number].signal(signal.SIGCONT)

    async def kill(self) -> None:
        """Kill a gateway and start it again."""
        with self.victim() as number:
            if number is not None:
                self.fleet.gateways[number].signal(signal.SIGKILL)
                await self.fleet.gateways[number].wait()
                self.fleet.gateways[number].start()
                await self.fleet.wait_until_ready(number)

    async def stop_gracefully(self) -> None:
        """Terminate a gateway and start it again."""
        with self.victim() as number:
            if number is None:
                return
            gateway = self.fleet.gateways[number]
            began_s = time.monotonic()
            gateway.signal(signal.SIGTERM)
            status = await gateway.wait()
            took_s = time.monotonic() - began_s
            if status or took_s > GRACE_S:
                self.fleet.violate(
                    f'{number} ended with {status} in {took_s:.1f} s'
                )
            gateway.start()
            await self.fleet.wait_until_ready(number)

    async def reload(self) -> None:
        """Change the settings of a gateway, with a signal or without."""
        gateway = self.random.choice(self.fleet.gateways)
        gateway.write_settings(repeat_extra=self.random.uniform(10, 60))
        if self.random.choice((True, False)) and gateway.is_running:
            gateway.signal(signal.SIGHUP)

    async def cut_store(self) -> None:
        """Hold back all bytes between a gateway and the store."""
        relay = self.random.choice(self.fleet.gateways).relay
        relay.cut()
        await asyncio.sleep(self.random.uniform(*CUT_S))
        relay.join()
        relay.reset()

    async def silence_store(self) -> None:
        """Let the store answer nobody."""
        await self.disturb_store(StoreFaults(is_silent=True))

    async def refuse_store_calls(self) -> None:
        """Let the store refuse all calls."""
        status = self.random.choice((429, 503))
        await self.disturb_store(StoreFaults(status=status))

    async def drop_history(self) -> None:
        """Make the store forget its changes."""
        self.fleet.store.drop_history()

    async def lose_store_answers(self) -> None:
        """Let the store do writes without an answer."""
        await self.disturb_store(StoreFaults(loses_answers=True))

    async def disturb_store(self, faults: StoreFaults) -> None:
        """Let the store fail for a while."""
        self.fleet.store.faults = faults
        await self.last()
        self.fleet.store.faults = StoreFaults()

    async def silence_target(self) -> None:
        """Hold back all bytes between the gateways and a target."""
        relay = self.fleet.relays[self.any_target()]
        relay.cut()
        await self.last()
        relay.join()

    async def reset_target(self) -> None:
        """Reset all connections to a target."""
        self.fleet.relays[self.any_target()].reset()

    async def fail_target(self) -> None:
        """Let a target refuse, lose, break off, mix up or fail requests."""
        target = self.fleet.targets[self.any_target()]
        target.faults = self.random.choice(
            (
                TargetFaults(sheds=5),
                TargetFaults(loses=3),
                TargetFaults(breaks_after=2),
                TargetFaults(strays=3),
                TargetFaults(fails=5),
                TargetFaults(delay_s=0.5),
            ),
        )
        await self.last()
        target.faults = TargetFaults()

    async def replace_target(self) -> None:
        """Drain a target and list another one."""
        name = self.any_target()
        service = name.partition('-')[0]
        await self.fleet.add_target(f'{service}-{next(self.fleet.numbers)}')
        port = self.fleet.relays[name].port
        self.fleet.store.put(
            f'servers/{name}',
            entry_of(name, service, f'127.0.0.1:{port}', State='draining'),
        )
        await self.last()
        self.fleet.store.delete(f'servers/{name}')

    async def revoke_key(self) -> None:
        """Take a key away and give out another one."""
        revoked = self.fleet.keys.pop(0)
        self.fleet.keys.append(f'key-{next(self.fleet.numbers)}')
        self.fleet.configure()
        self.fleet.revoked[revoked] = time.monotonic() + REVOKED_AFTER_S
