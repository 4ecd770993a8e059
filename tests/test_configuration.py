"""Configuration: settings files, commits, conflicts and lost answers."""

import asyncio
import pathlib
import tempfile

import msgspec

from dandelionplank import SettingsError, load_settings, parse_statement
from dandelionplank.accounts import ClientAccount, Owner
from dandelionplank.configuration.model import (
    Configuration,
    check_consistency,
    cut_into_shards,
    join_shards,
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
GOOD = (EXAMPLES / 'ro-centru' / 'brasov-a-1.yaml').read_text()


def write_settings(text):
    """Write a settings file and return its path."""
    path = pathlib.Path(tempfile.mkdtemp()) / 'router.yaml'
    path.write_text(text)
    return path


def refusal_of(text):
    """Return the error that a settings file causes."""
    try:
        load_settings(write_settings(text))
    except SettingsError as error:
        return error.reason
    raise AssertionError('the settings were accepted')


def test_example_files_are_valid():
    """The examples of both deployments load."""
    files = sorted(EXAMPLES.glob('*/*.yaml'))
    assert len(files) >= 9
    for path in files:
        if path.name == 'configuration.yaml':
            check_consistency(load_yaml(path, Configuration))
        else:
            assert load_settings(path).instance.region == path.parent.name


def test_wrong_settings_are_refused_with_line_and_key():
    """Unknown keys, bad addresses and bad figures name their place."""
    lines = GOOD.splitlines()
    number = next(
        index for index, line in enumerate(lines, 1) if 'port: 8101' in line
    )
    assert f':{number}: listen.callers.port' in refusal_of(
        GOOD.replace('port: 8101', 'port: 99999')
    )
    assert 'unknown field `colour`' in refusal_of(f'{GOOD}\ncolour: red\n')
    assert 'listen.callers' in refusal_of(
        GOOD.replace('127.0.0.1', 'localhost', 1)
    )
    assert 'not valid YAML' in refusal_of('a: [')
    assert 'listen: Expected' in refusal_of('listen: 3')
    try:
        load_settings('/nowhere/router.yaml')
    except SettingsError as error:
        assert error.code is ErrorCode.SETTINGS


def with_accounts(count):
    """Return a configuration with accounts."""
    return Configuration(
        owners=(Owner('dobrescu'),),
        accounts=tuple(
            ClientAccount(f'a{number}', 'dobrescu') for number in range(count)
        ),
    )


def test_shards_are_joined_again_and_changed_one_by_one():
    """A change of one of many accounts rewrites one shard."""
    before = with_accounts(1000)
    shards = cut_into_shards(before, {})
    joined = join_shards(0, shards.values())
    assert set(joined.accounts) == set(before.accounts)
    change = Change(parse_statement('SET ACCOUNT a500 SHARE 3'))
    after = msgspec.structs.replace(change(before), revision=1)
    changed = cut_into_shards(after, shards)
    assert len(changed.keys() - shards.keys()) == 1


def commit(repository, statement, command_id=''):
    """Commit the change of a statement."""
    return repository.commit(
        Command('tester', statement, command_id),
        Change(parse_statement(statement)),
    )


@run_async
async def test_two_operators_at_once():
    """Changes of different objects both win; of the same object, one."""
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
async def test_expected_revision_is_checked():
    """A command that was written for an older revision is refused."""
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
            raise AssertionError('the command was carried out')


@run_async
async def test_commands_survive_lost_answers():
    """Each command takes effect once though answers are lost."""
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


def test_references_are_checked():
    """A configuration that refers to nothing is refused."""
    wrong = Configuration(accounts=(ClientAccount('a', 'nobody'),))
    try:
        check_consistency(wrong)
    except ConfigurationError as error:
        assert 'accounts.a.owner: nobody is not known' in error.reason
    else:
        raise AssertionError('accepted')


def test_statement_errors_point_at_the_token():
    """A syntax error names column and what was expected."""
    try:
        parse_statement('SET ACCOUNT small SHAER 3')
    except StatementError as error:
        first, _, marker = error.reason.split('\n')
        assert first == 'column 19: expected QUEUE or SHARE'
        assert marker.index('^') == 2 + 18
    else:
        raise AssertionError('accepted')
