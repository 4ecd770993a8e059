"""Injects overlapping faults into gateways, their store and their targets."""

import asyncio
import contextlib
import dataclasses
import random
import signal
import time
from collections.abc import Awaitable, Callable, Iterator

from bench.evacuationorders import DATA_CENTERS
from bench.gatewayprocess import GRACE_S, REVOKED_AFTER_S
from bench.guarantees import EVACUATED_AFTER_S, UNSTABLE_STORE_S
from bench.soakfleet import SoakFleet
from dandelionplank_standins.platformstore import StoreFaults
from dandelionplank_standins.platformtarget import TargetFaults

# Time between the starts of disturbances, which overlap.
START_INTERVAL_S = (0.1, 0.9)
DURATION_S = (0.2, 3.0)
# A gateway may be cut off from the store for longer than its keys stay
# confirmed.
STORE_OUTAGE_S = (0.5, REVOKED_AFTER_S + 3)

# A data centre is evacuated for some time beyond the bound of the order.
EVACUATION_S = (
    EVACUATED_AFTER_S + UNSTABLE_STORE_S + 1,
    EVACUATED_AFTER_S + UNSTABLE_STORE_S + 4,
)

# Time until the operator and the targets write again what a store has lost.
REWRITTEN_AFTER_S = (0.05, 1.0)
# Responses without a length or chunks that a failing target gives.
UNFRAMED_RESPONSES = (0, 5, 1000)


class Disturbances:
    """Applies random faults of processes, store, targets and keys to a fleet.

    The trace holds the method names of the disturbances.
    """

    def __init__(self, fleet: SoakFleet, seed: int) -> None:
        """Seed the random choices; nothing is disturbed yet."""
        self.fleet = fleet
        self.random = random.Random(seed)
        self.reserved: set[int] = set()

    async def start(self, seconds: float) -> list[asyncio.Task[None]]:
        """Start disturbances until the time is over; return all their tasks."""
        disturbances: tuple[Callable[[], Awaitable[None]], ...] = (
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
            self.restore_store,
            self.evacuate,
        )
        tasks = []
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            disturbance = self.random.choice(disturbances)
            tasks.append(asyncio.ensure_future(self.run(disturbance)))
            await asyncio.sleep(self.random.uniform(*START_INTERVAL_S))
        return tasks

    async def run(self, disturbance: Callable[[], Awaitable[None]]) -> None:
        """Record a disturbance in the trace and run it.

        A gateway that does not become ready again in time is a violation.
        """
        self.fleet.record_event(getattr(disturbance, '__name__', 'disturbance'))
        try:
            await disturbance()
        except TimeoutError:
            self.fleet.record_violation(
                f'{disturbance}: a gateway did not become ready again'
            )

    async def sleep_for_duration(self) -> None:
        """Sleep for the random duration of a disturbance."""
        await asyncio.sleep(self.random.uniform(*DURATION_S))

    @contextlib.contextmanager
    def reserve_gateway(self) -> Iterator[int | None]:
        """Reserve a gateway for one disturbance and yield its number.

        Yield None if all gateways are reserved.
        """
        free = [
            each
            for each in range(len(self.fleet.gateways))
            if each not in self.reserved
        ]
        if not free:
            yield None
            return
        number = self.random.choice(free)
        self.reserved.add(number)
        try:
            yield number
        finally:
            self.reserved.discard(number)

    def random_target(self) -> str:
        """Return the name of a random target."""
        return self.random.choice(sorted(self.fleet.targets))

    async def freeze(self) -> None:
        """Suspend a gateway for the duration of a disturbance."""
        with self.reserve_gateway() as number:
            if number is not None:
                self.fleet.gateways[number].signal(signal.SIGSTOP)
                await self.sleep_for_duration()
                self.fleet.gateways[number].signal(signal.SIGCONT)

    async def kill(self) -> None:
        """Kill a gateway and start it again."""
        with self.reserve_gateway() as number:
            if number is not None:
                self.fleet.gateways[number].signal(signal.SIGKILL)
                await self.fleet.gateways[number].wait()
                self.fleet.gateways[number].start()
                await self.fleet.wait_until_ready(number)

    async def stop_gracefully(self) -> None:
        """Terminate a gateway and start it again."""
        with self.reserve_gateway() as number:
            if number is None:
                return
            gateway = self.fleet.gateways[number]
            started_s = time.monotonic()
            gateway.signal(signal.SIGTERM)
            status = await gateway.wait()
            elapsed_s = time.monotonic() - started_s
            if status or elapsed_s > GRACE_S:
                self.fleet.record_violation(
                    f'gateway {number} exited with {status} '
                    f'after {elapsed_s:.1f} s'
                )
            gateway.start()
            await self.fleet.wait_until_ready(number)

    async def reload(self) -> None:
        """Change a gateway's settings file, with a signal or without."""
        gateway = self.random.choice(self.fleet.gateways)
        gateway.write_settings(repeat_extra=self.random.uniform(10, 60))
        if self.random.choice((True, False)) and gateway.is_running:
            gateway.signal(signal.SIGHUP)

    async def cut_store(self) -> None:
        """Hold back all bytes between a gateway and the store."""
        relay = self.random.choice(self.fleet.gateways).relay
        relay.pause()
        await asyncio.sleep(self.random.uniform(*STORE_OUTAGE_S))
        relay.resume()
        relay.reset()

    async def silence_store(self) -> None:
        """Let the store respond to no calls."""
        await self.inject_store_faults(StoreFaults(is_silent=True))

    async def refuse_store_calls(self) -> None:
        """Let the store refuse all calls."""
        status = self.random.choice((429, 503))
        await self.inject_store_faults(StoreFaults(status=status))

    async def drop_history(self) -> None:
        """Make the store drop its history of changes."""
        self.fleet.store.drop_history()

    async def restore_store(self) -> None:
        """Restore the store from a copy; what it lacks is written again."""
        older = self.fleet.store.copy()
        await self.sleep_for_duration()
        self.fleet.store.restore(older)
        self.fleet.orders.record()
        await asyncio.sleep(self.random.uniform(*REWRITTEN_AFTER_S))
        self.fleet.write_lost_documents()

    async def lose_store_answers(self) -> None:
        """Let the store execute writes without a response."""
        await self.inject_store_faults(StoreFaults(loses_responses=True))

    async def inject_store_faults(self, faults: StoreFaults) -> None:
        """Apply faults to the store for the duration of a disturbance."""
        self.fleet.store.faults = faults
        await self.sleep_for_duration()
        self.fleet.store.faults = StoreFaults()

    async def silence_target(self) -> None:
        """Hold back all bytes between the gateways and a target."""
        relay = self.fleet.relays[self.random_target()]
        relay.pause()
        await self.sleep_for_duration()
        relay.resume()

    async def reset_target(self) -> None:
        """Reset all connections to a target."""
        self.fleet.relays[self.random_target()].reset()

    async def fail_target(self) -> None:
        """Inject a random fault into a target's handling of requests."""
        target = self.fleet.targets[self.random_target()]
        faults = self.random.choice(
            (
                TargetFaults(),
                TargetFaults(rejected_requests=5),
                TargetFaults(lost_responses=3),
                TargetFaults(truncate_after=2),
                TargetFaults(mismatched_responses=3),
                TargetFaults(server_errors=5),
                TargetFaults(delay_s=0.5),
                TargetFaults(stated_limit='4.5'),
            ),
        )
        target.faults = dataclasses.replace(
            faults,
            unframed_responses=self.random.choice(UNFRAMED_RESPONSES),
            resets_unframed=self.random.choice((False, False, True)),
        )
        await self.sleep_for_duration()
        target.faults = TargetFaults()

    async def replace_target(self) -> None:
        """Add a target to the store, then drain and remove another one."""
        name = self.random_target()
        service = name.partition('-')[0]
        await self.fleet.add_target(
            f'{service}-{next(self.fleet.numbers)}',
            self.fleet.data_centers[name],
        )
        self.fleet.removed_targets.add(name)
        self.fleet.list_target(name, State='draining')
        await self.sleep_for_duration()
        self.fleet.store.delete(f'servers/{name}')

    async def evacuate(self) -> None:
        """Order to evacuate a data centre for longer than the bound.

        Only one at a time, so that each service keeps a target: a gateway that
        is started has to become ready.
        """
        orders = self.fleet.orders
        if orders.evacuated:
            return
        orders.evacuated.add(self.random.choice(DATA_CENTERS))
        orders.write()
        await asyncio.sleep(self.random.uniform(*EVACUATION_S))
        orders.evacuated.clear()
        orders.write()

    async def revoke_key(self) -> None:
        """Revoke an API key and issue another one."""
        revoked = self.fleet.keys.pop(0)
        self.fleet.keys.append(f'key-{next(self.fleet.numbers)}')
        self.fleet.write_configuration()
        self.fleet.revoked[revoked] = time.monotonic() + REVOKED_AFTER_S
