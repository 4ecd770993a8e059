"""TLS for callers, between routers and to the store; signed probes."""

import asyncio
import ssl
import tempfile
from pathlib import Path

import aiohttp
import trustme
from aiohttp import web

from dandelionplank.messages import SyncRequest
from dandelionplank.platform.etcd import EtcdStore
from dandelionplank.router.links import Links
from dandelionplank.router.tls import (
    PeerTls,
    ProbeSigner,
    ServerTls,
    authority_context,
)
from dandelionplank.settings import Address, MembershipSettings, TlsSettings
from dandelionplank_standins.keyvalue import KeyValueStandin
from tests.fixtures import reserve_ports, run_async


class Authority:
    """A certificate authority that writes certificates and keys to files."""

    def __init__(self):
        self.directory = Path(tempfile.mkdtemp())
        self.issuer = trustme.CA()
        self.authority_file = self.directory / 'authority.pem'
        self.issuer.cert_pem.write_to_path(self.authority_file)

    def issue(self, name):
        """Write a certificate for loopback and return its settings."""
        certificate = self.issuer.issue_cert('127.0.0.1')
        chain = self.directory / f'{name}.pem'
        key = self.directory / f'{name}.key'
        chain.write_bytes(certificate.cert_chain_pems[0].bytes())
        key.write_bytes(certificate.private_key_pem.bytes())
        return TlsSettings(str(chain), str(key), str(self.authority_file))


class FixedAddressBook:
    """An address book with one entry."""

    def __init__(self, address):
        self.address = address

    def address_of(self, instance):
        """Return the only address."""
        assert instance
        return self.address


async def is_message_delivered(near_tls, far_tls):
    """Return whether a message from one router reaches another."""
    address = Address('127.0.0.1', reserve_ports(1)[0])
    settings = MembershipSettings()
    near = Links('near', settings, FixedAddressBook(address.text), near_tls)
    far = Links('far', settings, FixedAddressBook(''), far_tls)
    received = []
    far.subscribe((SyncRequest,), lambda *pair: received.append(pair))
    await far.listen(address)
    near.send('far', SyncRequest('pool'))
    for _ in range(20):
        await asyncio.sleep(0.05)
        if received:
            break
    await near.close()
    await far.close()
    return bool(received)


@run_async
async def test_links_require_certificates_of_the_same_authority():
    """Only routers with a certificate of the fleet's authority can connect."""
    fleet, other = Authority(), Authority()
    far = PeerTls(fleet.issue('far'))
    assert await is_message_delivered(PeerTls(fleet.issue('near')), far)
    assert not await is_message_delivered(PeerTls(other.issue('near')), far)
    assert not await is_message_delivered(None, far)


@run_async
async def test_renewed_certificate_is_served_without_a_restart():
    """New connections get the certificate that has replaced the old one."""
    authority = Authority()
    settings = authority.issue('callers')
    tls = ServerTls(settings)
    port = reserve_ports(1)[0]
    application = web.Application()
    runner = web.AppRunner(application)
    await runner.setup()
    await web.TCPSite(
        runner, '127.0.0.1', port, ssl_context=tls.context
    ).start()

    def fetch_certificate():
        return ssl.get_server_certificate(('127.0.0.1', port))

    loop = asyncio.get_running_loop()
    before = await loop.run_in_executor(None, fetch_certificate)
    authority.issue('callers')
    tls.loaded_mtimes_ns = (0, 0)
    tls.reload_if_changed()
    after = await loop.run_in_executor(None, fetch_certificate)
    await runner.cleanup()
    assert before != after


@run_async
async def test_store_certificate_of_another_authority_is_rejected():
    """A client accepts only certificates of the authority it is given."""
    authority, other = Authority(), Authority()
    tls = ServerTls(authority.issue('store'))
    port = reserve_ports(1)[0]
    runner = web.AppRunner(KeyValueStandin().application)
    await runner.setup()
    await web.TCPSite(
        runner, '127.0.0.1', port, ssl_context=tls.context
    ).start()
    url = f'https://127.0.0.1:{port}'
    trusting = authority_context(str(authority.authority_file))
    store = EtcdStore.from_url(url, 2, trusting)
    await store.put('key', b'payload')
    assert (await store.get('key')).payload == b'payload'
    await store.close()
    distrusting = authority_context(str(other.authority_file))
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(ssl=distrusting)
    ) as session:
        try:
            await session.get(url)
        except aiohttp.ClientSSLError:
            refused = True
        else:
            refused = False
    await runner.cleanup()
    assert refused


def test_probe_is_rejected_without_a_valid_signature():
    """Altered, unsigned and otherwise signed probes are rejected."""
    signer = ProbeSigner(b'secret')
    signed = signer.sign(b'payload')
    assert signer.unsign(signed) == b'payload'
    assert signer.unsign(b'%bx' % signed[:-1]) is None
    assert signer.unsign(b'payload') is None
    assert ProbeSigner(b'other').unsign(signed) is None
