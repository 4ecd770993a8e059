"""Tests of what may keep a gateway from starting, or end it at once."""

import asyncio
import contextlib
import functools
import math
import signal
import socket
import subprocess
import sys
from pathlib import Path
from unittest import mock

import yaml
from nose2.tools import params

from bench.fleet import reserve_ports
from bench.gatewayprocess import GatewayProcess
from bench.platform import gateway_settings
from dandelionplank.commands.assembly import build_daemon
from dandelionplank.errors import SettingsError
from dandelionplank.fleet.settings import (
    GatewayBounds,
    GatewayLimits,
    GatewaySettings,
)
from dandelionplank.fleet.sockets import RETRY_S
from dandelionplank.settings import Address, parse_yaml
from dandelionplank.yamlloader import load_document
from tests.fixtures import run_async, run_on_both_loops, wait_until
from tests.platformfleet import platform_fleet, stop

TEMPLATE = Path(__file__).parent.parent / 'deploy' / 'settings.yaml'
FIELDS = {
    'NodeName|json': '"front-a-1"',
    'Zone|json': '"Zone A"',
    'Region|json': '"r"',
    'ListenAddrs.Front|json': '"10.1.0.33:8783"',
    'ListenAddrs.Ready|json': '"10.1.0.33:8780"',
    'BindIp': '10.1.0.33',
    'PortRange.0': '7400',
    'Provider.Addr|json': '"10.200.1.7:8781"',
    'HeartbeatMs': '1200',
    'Bounds.RevokeMs': '5000',
    'Bounds.GraceS': '8',
    'Bounds.BudgetRatio': '0.2',
    'Bounds.BudgetExtra': '56',
    'Bounds.BudgetWindowS': '10',
    'Limits.MemoryMb': '160',
    'Limits.MaxFds': '1638',
    'Limits.CpuShare': '0.25',
    'Limits.CpuCores': '1.548',
}


def to_table(fields, name):
    """Return the figures of a table as the platform writes them in JSON."""
    figures = ', '.join(
        f'"{field.removeprefix(f"{name}.")}": {figure or "null"}'
        for field, figure in fields.items()
        if field.startswith(f'{name}.')
    )
    return f'{{{figures}}}'


def settings_from_template(**bounds):
    """Return the settings for some figures, as the platform fills them in."""
    text = TEMPLATE.read_text(encoding='utf-8')
    changed = {f'Bounds.{name}': figure for name, figure in bounds.items()}
    fields = {**FIELDS, **changed}
    fields['Bounds|json'] = to_table(fields, 'Bounds')
    for name, replacement in fields.items():
        text = text.replace(f'{{{{{name}}}}}', replacement)
    assert '{{' not in text
    return parse_yaml(text, GatewaySettings, origin='settings')


def test_the_settings_template_gives_valid_settings():
    """The template, filled in as by the platform, passes validation."""
    settings = settings_from_template()
    assert settings.bounds == GatewayBounds()
    assert math.isclose(settings.store.target_report_s, 1.2)
    assert settings.listen.peers == '10.1.0.33:7400'
    assert settings.instance.data_center == 'Zone A'
    assert math.isclose(settings.limits.processor_cores, 0.387)
    assert settings.limits.memory_mb == 160
    assert settings.limits.file_descriptors == 1638


def test_limits_that_the_platform_does_not_state_are_unknown():
    """A deployment that fills in no limits kept a gateway from starting."""
    for empty in ('', 'null'):
        unstated = {name: empty for name in FIELDS if name.startswith('Limits')}
        with mock.patch.dict(FIELDS, unstated):
            assert settings_from_template().limits == GatewayLimits()


@params(
    ('4500.5', 4500.5),
    ('4500.0', 4500),
    ('5e3', 5000),
    ('1E+3', 1000),
    ('1e-05', 0.00001),
    ('0.0625', 0.0625),
    ('7', 7),
)
def test_figures_may_be_fractions_in_any_form(text, figure):
    """A figure with a fraction kept each gateway from starting."""
    bounds = settings_from_template(
        RevokeMs=text, GraceS=text, BudgetRatio=text, BudgetExtra=text
    ).bounds
    assert bounds.revoked_after_s == figure / 1000
    assert bounds.grace_s == figure
    assert bounds.repeat_ratio == figure
    assert bounds.repeat_extra == figure


def test_missing_figures_have_their_defaults():
    """The platform fills nothing in for a figure that it does not state."""
    for empty in ('', 'null'):
        settings = settings_from_template(
            RevokeMs=empty,
            GraceS=empty,
            BudgetRatio=empty,
            BudgetExtra=empty,
            BudgetWindowS=empty,
        )
        assert settings.bounds == GatewayBounds()


@params(
    ({}, 1.0, 0.0),
    ({'ColdOver': '1.5', 'ColdSlack': '5'}, 1.5, 5.0),
    ({'ColdOver': '1.5', 'ColdSlack': '0'}, 1.5, 0.0),
    ({'ColdOver': '', 'ColdSlack': '5'}, 1.0, 5.0),
)
def test_bounds_of_cold_targets_may_be_missing(figures, over, slack):
    """Deployments without cold targets state none."""
    bounds = settings_from_template(**figures).bounds
    assert (bounds.cold_over, bounds.cold_slack) == (over, slack)


@params('', 'null', '{}')
def test_a_table_that_the_platform_does_not_state_has_no_fields(table):
    """A field of a missing table kept a gateway from starting."""
    text = f'cold_over: !field [ColdOver, {table}]'
    assert load_document(text) == {}


@params('1.5', '[1, {}]', '[ColdOver, 1.5]', '[ColdOver, {}, 1]')
def test_malformed_fields_are_rejected(text):
    """A mistake in the template must not pass for a missing figure."""
    with contextlib.suppress(yaml.YAMLError):
        raise AssertionError(load_document(f'cold_over: !field {text}'))


def test_retries_and_grace_may_be_zero():
    """An installation may allow none."""
    bounds = settings_from_template(
        GraceS='0', BudgetRatio='0', BudgetExtra='0'
    ).bounds
    assert (bounds.grace_s, bounds.repeat_ratio, bounds.repeat_extra) == (
        0,
        0,
        0,
    )


@params('-1', 'x', 'true', '.inf', '.nan', '1e300', '[5]')
def test_other_values_are_not_valid(text):
    """The error names the file and the place."""
    for name in ('RevokeMs', 'BudgetRatio'):
        try:
            settings_from_template(**{name: text})
        except SettingsError as error:
            assert 'settings' in error.reason
        else:
            raise AssertionError(name)


@contextlib.contextmanager
def port_in_use(ip, port, kind=socket.SOCK_STREAM):
    """Use a port as another process does while the context is open."""
    with socket.socket(socket.AF_INET, kind) as held:
        if kind == socket.SOCK_STREAM:
            held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        held.bind((ip, port))
        if kind == socket.SOCK_STREAM:
            held.listen()
        yield


def build_gateway(fleet):
    """Build a gateway of a fleet that is not started."""
    address = f'127.0.0.1:{reserve_ports(1)[0]}'
    number = len(fleet.gateways) + 7
    settings = gateway_settings(number, address, fleet.store_address)
    daemon = build_daemon(settings, fleet.settings_directory / 'none.yaml')
    fleet.resources.push_async_callback(stop, daemon)
    fleet.gateways.append(daemon)
    fleet.urls.append(f'http://{address}')
    return daemon


@run_on_both_loops
async def test_a_gateway_serves_without_its_metrics_port():
    """Another process that uses the port kept each gateway from starting."""
    async with platform_fleet(gateways=0) as fleet:
        daemon = build_gateway(fleet)
        port = daemon.settings.listen.metrics_port
        url = f'http://127.0.0.1:{port}/metrics'
        with port_in_use('127.0.0.1', port):
            await daemon.start()
            await wait_until(lambda: daemon.view.is_loaded)
            assert (await fleet.call('/look/x'))[0] == 200
        await asyncio.sleep(RETRY_S * 2)
        async with fleet.session.get(url) as page:
            assert 'dandelionplank_peers' in await page.text()


@run_on_both_loops
async def test_a_gateway_waits_for_the_ports_of_its_predecessor():
    """It does not end, and serves as soon as they are free."""
    for name, kind in (
        ('callers', socket.SOCK_STREAM),
        ('readiness', socket.SOCK_STREAM),
        ('peers', socket.SOCK_DGRAM),
    ):
        async with platform_fleet(gateways=0) as fleet:
            daemon = build_gateway(fleet)
            listen = daemon.settings.listen
            address = Address.from_text(getattr(listen, name))
            with port_in_use(address.ip, address.port, kind):
                starting = asyncio.ensure_future(daemon.start())
                await asyncio.sleep(RETRY_S * 2)
                assert not starting.done()
            await starting
            is_loaded = functools.partial(getattr, daemon.view, 'is_loaded')
            await wait_until(is_loaded)
            assert (await fleet.call('/look/x'))[0] == 200
            async with fleet.session.get(
                f'http://{listen.readiness}/v1/ready'
            ) as page:
                assert page.status == 200


@run_async
async def test_a_gateway_that_waits_for_a_port_can_be_stopped():
    """SIGTERM ends it although its sockets are not open."""
    async with platform_fleet(gateways=0) as fleet:
        directory = fleet.settings_directory
        store = Address.from_text(fleet.store_address)
        gateway = GatewayProcess(0, directory, store)
        address = Address.from_text(gateway.address)
        with port_in_use(address.ip, address.port):
            gateway.start()
            await wait_until(
                lambda: 'socket_unavailable' in gateway.log_path.read_text()
            )
            gateway.signal(signal.SIGTERM)
            assert await gateway.wait() == 0
        assert 'stopped' in gateway.log_path.read_text()


def test_signals_are_held_back_before_other_modules_are_loaded():
    """SIGHUP ends a gateway that has not come so far."""
    program = 'import sys, dandelionplank.commands.hangup; print(*sys.modules)'
    loaded = subprocess.run(
        (sys.executable, '-c', program),
        capture_output=True,
        check=True,
        encoding='utf-8',
    ).stdout.split()
    assert 'dandelionplank.commands.hangup' in loaded
    assert not {'asyncio', 'msgspec', 'yaml'}.intersection(loaded)
