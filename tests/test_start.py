"""Tests of what may keep a gateway from starting, or end it at once."""

import math
from pathlib import Path

from nose2.tools import params

from dandelionplank.errors import SettingsError
from dandelionplank.fleet.settings import GatewayBounds, GatewaySettings
from dandelionplank.settings import parse_yaml

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
}


def settings_from_template(**bounds):
    """Return the settings for some figures, as the platform fills them in."""
    text = TEMPLATE.read_text(encoding='utf-8')
    changed = {f'Bounds.{name}': figure for name, figure in bounds.items()}
    for name, replacement in {**FIELDS, **changed}.items():
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
