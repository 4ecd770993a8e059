"""Tests of settings files and of commits of the configuration."""

import asyncio
import pathlib
import tempfile

import msgspec

from dandelionplank import SettingsError, load_settings, parse_statement
from dandelionplank.accounts import ClientAccount, Owner
from dandelionplank.configuration.model import (
    Configuration,
    check_consistency,
    join_shards,
    split_into_shards,
)
from dandelionplank.configuration.repository import (
    Command,
    ConfigurationRepository,
)
from dandelionplank.errors import (
    ConfigurationError,
    ErrorCode,
    StatementError,
    StoreError,
)
from dandelionplank.operators.changes import Change
from dandelionplank.settings import load_yaml
from dandelionplank_standins.faults import Faults
from tests.fixtures import key_value_store, run_async

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
VALID_SETTINGS = (EXAMPLES / 'ro-centru' / 'brasov-a-1.yaml').read_text()


def write_settings(text):
    """Write a settings file and return its path."""
    path = pathlib.Path(tempfile.mkdtemp()) / 'router.yaml'
    path.write_text(text)
    return path


def rejection_reason(text):
    """Return the reason for which a settings file is rejected."""
    try:
        load_settings(write_settings(text))
    except SettingsError as error:
        return error.reason
    raise AssertionError('the settings were accepted')


def test_example_files_are_valid():
    """The example files of both deployments load."""
    files = sorted(EXAMPLES.glob('*/*.yaml'))
    assert len(files) >= 9
    for path in files:
        if path.name == 'configuration.yaml':
            check_consistency(load_yaml(path, Configuration))
        else:
            assert load_settings(path).instance.region == path.parent.name


def test_settings_errors_name_line_and_key():
    """Errors about unknown keys and invalid values name their position."""
    lines = VALID_SETTINGS.splitlines()
    line_number = next(
        number for number, line in enumerate(lines, 1) if 'port: 8101' in line
    )
    assert f':{line_number}: listen.callers.port' in rejection_reason(
        VALID_SETTINGS.replace('port: 8101', 'port: 99999')
    )
    assert 'unknown field `colour`' in rejection_reason(
        f'{VALID_SETTINGS}\ncolour: red\n'
    )
    assert 'listen.callers' in rejection_reason(
        VALID_SETTINGS.replace('127.0.0.1', 'localhost', 1)
    )
    assert 'not valid YAML' in rejection_reason('a: [')
    assert 'listen: Expected' in rejection_reason('listen: 3')
    try:
        load_settings('/nowhere/router.yaml')
    except SettingsError as error:
        assert error.code is ErrorCode.SETTINGS


def make_configuration(account_count):
    """Return a configuration with one owner and several accounts."""
    return Configuration(
        owners=(Owner('dobrescu'),),
        accounts=tuple(
            ClientAccount(f'a{number}', 'dobrescu')
            for number in range(account_count)
        ),
    )


def test_one_shard_is_rewritten_when_one_account_changes():
    """Shards are joined again, and one change rewrites one of them."""
    before = make_configuration(1000)
    shards = split_into_shards(before, {})
    joined = join_shards(0, shards.values())
    assert set(joined.accounts) == set(before.accounts)
    change = Change(parse_statement('SET ACCOUNT a500 SHARE 3'))
    after = msgspec.structs.replace(change(before), revision=1)
    changed = split_into_shards(after, shards)
    assert len(changed.keys() - shards.keys()) == 1


def commit(repository, statement, command_id=''):
    """Commit the change of a statement."""
    return repository.commit(
        Command('tester', statement, command_id),
        Change(parse_statement(statement)),
    )


@run_async
async def test_concurrent_changes_conflict_only_on_the_same_object():
    """Changes to different objects both succeed; to the same one, only one."""
    async with key_value_store() as (_, store):
        first = ConfigurationRepository(store, 'test/')
        second = ConfigurationRepository(store, 'test/')
        await commit(first, 'CREATE OWNER dobrescu')
        await commit(first, 'CREATE ACCOUNT a OWNER dobrescu')
        await commit(first, 'CREATE ACCOUNT b OWNER dobrescu')
        await asyncio.gather(
            commit(first, 'SET ACCOUNT a SHARE 5'),
            commit(second, 'SET ACCOUNT b SHARE 6'),
        )
        loaded = (await first.load()).configuration
        assert sorted(each.share for each in loaded.accounts) == [5, 6]
        outcomes = await asyncio.gather(
            commit(first, 'SET ACCOUNT a SHARE 7'),
            commit(second, 'SET ACCOUNT a SHARE 8'),
            return_exceptions=True,
        )
        errors = [each for each in outcomes if isinstance(each, Exception)]
        assert len(errors) == 1
        assert isinstance(errors[0], ConfigurationError)
        assert errors[0].code is ErrorCode.CONFIGURATION_CONFLICT


@run_async
async def test_command_is_refused_when_it_expects_an_older_revision():
    """A command written for an older revision is refused as a conflict."""
    async with key_value_store() as (_, store):
        repository = ConfigurationRepository(store, 'test/')
        await commit(repository, 'CREATE OWNER dobrescu')
        command = Command('tester', 'x', expected_revision=0)
        change = Change(parse_statement('CREATE OWNER other'))
        try:
            await repository.commit(command, change)
        except ConfigurationError as error:
            assert error.code is ErrorCode.CONFIGURATION_CONFLICT
        else:
            raise AssertionError('the command was applied')


@run_async
async def test_commands_are_applied_once_when_responses_are_lost():
    """A command that is retried after a lost response takes effect once."""
    async with key_value_store() as (standin, store):
        repository = ConfigurationRepository(store, 'test/')
        standin.injector.faults = Faults(lose_answers=0.4)
        for number in range(25):
            statement = f'CREATE OWNER o{number}'
            for _ in range(50):
                try:
                    await commit(repository, statement, f'c{number}')
                except StoreError:
                    continue
                break
        standin.injector.faults = Faults()
        loaded = await repository.load()
        names = [each.name for each in loaded.configuration.owners]
        assert names == [f'o{number}' for number in range(25)]
        assert loaded.manifest.revision == 25


def test_configuration_is_rejected_when_a_reference_is_unknown():
    """An account whose owner does not exist is an error."""
    invalid = Configuration(accounts=(ClientAccount('a', 'nobody'),))
    try:
        check_consistency(invalid)
    except ConfigurationError as error:
        assert 'accounts.a.owner: nobody is not known' in error.reason
    else:
        raise AssertionError('the configuration was accepted')


def test_syntax_error_points_at_the_unexpected_token():
    """A syntax error names the column and the expected words."""
    try:
        parse_statement('SET ACCOUNT small SHAER 3')
    except StatementError as error:
        first, _, marker = error.reason.split('\n')
        assert first == 'column 19: expected QUEUE or SHARE'
        assert marker.index('^') == 2 + 18
    else:
        raise AssertionError('the statement was accepted')
