"""Documents, settings and servers for gateways on stand-ins of the platform."""

from collections.abc import Sequence
from typing import Any

from aiohttp import web

from bench.fleet import reserve_ports
from dandelionplank.fleet.settings import (
    GatewayBounds,
    GatewayInstance,
    GatewayListen,
    GatewaySettings,
    GatewayStore,
)

HOST = 'shop.example'
ROUTES: tuple[tuple[str, str, str, dict[str, Any]], ...] = (
    ('stream', '/chat/', 'streaming', {'GapTargetMs': 300}),
    ('resume', '/draft/', 'streaming', {'CanResume': True, 'Attempts': 2}),
    ('unsafe', '/book/', 'unsafe', {'Public': True}),
    ('safe', '/look/', 'safe', {'Public': True, 'Attempts': 2}),
    ('keyed', '/mine/', 'safe', {}),
)
SERVICES = {'stream': 'llm', 'resume': 'llm'}
MODEL_HEADERS = {
    'Dandelionplank-Model': 'm',
    'Dandelionplank-Token-Usage': '300,20',
    'Dandelionplank-Prefix-Hash': 'ab:200,cd:100',
}
# The complete response of a stand-in of a model engine.
COMPLETE_STREAM = b''.join(
    b'id: %d\ndata: x\n\n' % number for number in range(1, 6)
)


def configuration(
    version: int,
    keys: Sequence[str] = ('key-a',),
    **changes: dict[str, Any],
) -> dict[str, Any]:
    """Return a configuration document, as the operator writes it."""
    routes = []
    for name, prefix, kind, extra in ROUTES:
        route = {
            'Name': name,
            'Host': HOST,
            'Prefix': prefix,
            'Kind': kind,
            'TimeoutMs': 3000,
            'GoalMs': 1000,
            'Attempts': 1,
            'Service': SERVICES.get(name, 'plain'),
            **extra,
            **changes.get(name, {}),
        }
        routes.append(route)
    return {
        'Version': version,
        'Routes': routes,
        'Services': [
            {'Name': 'llm', 'Engine': {'Slots': 8, 'KvTokens': 90_000}},
            {'Name': 'plain'},
        ],
        'Limits': {'MaxBodyBytes': 10_000, 'IdleTimeoutMs': 5000},
        'Tenants': [{'Name': 'account-a', 'ApiKeys': list(keys)}],
    }


def request_headers(request_id: str, key: str) -> dict[str, str]:
    """Return the headers that every caller sends."""
    return {
        'Host': HOST,
        'Dandelionplank-Request-Id': request_id,
        'Dandelionplank-Deadline-Ms': '3000',
        'Dandelionplank-Key': key,
    }


def target_entry(
    name: str,
    service: str,
    address: str,
    **changes: Any,
) -> dict[str, Any]:
    """Return a target's entry in the store."""
    return {
        'Service': service,
        'Addr': address,
        'Zone': 'a',
        'Version': '1',
        'Slots': 8,
        'State': 'ready',
        **changes,
    }


def gateway_settings(
    number: int,
    address: str,
    store_address: str,
    **bounds: Any,
) -> GatewaySettings:
    """Return the settings of a gateway."""
    ports = reserve_ports(4)
    return GatewaySettings(
        GatewayInstance(f'front-{number}', 'a', 'r'),
        GatewayListen(
            address,
            f'127.0.0.1:{ports[0]}',
            f'127.0.0.1:{ports[1]}',
            ports[2],
        ),
        GatewayStore(store_address, call_timeout_s=0.3),
        GatewayBounds(**bounds),
    )


async def start_server(
    application: web.Application,
) -> tuple[str, web.AppRunner]:
    """Start a server for an application; return its address and its runner."""
    address = f'127.0.0.1:{reserve_ports(1)[0]}'
    runner = web.AppRunner(application, shutdown_timeout=0.1)
    await runner.setup()
    ip, _, port = address.partition(':')
    await web.TCPSite(runner, ip, int(port)).start()
    return address, runner
